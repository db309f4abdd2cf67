//! What single computations of a node cost: reading a settings file, and taking a list of servers into the decision
//! module.
//!
//! Each is done in a process of its own that reads its input from a file which another process has written. The most
//! memory of that process is then of the computation, and nothing that an earlier one or the generator left in the
//! allocator.

use super::machine;
use super::report::{PerNode, Run, Size, Source};
use super::settings::settings_file;
use reelfall_balancer::interface::{Action, Endpoint, Event, ServerState, UpdateKind};
use reelfall_balancer::settings::{ListedEndpoint, NameRegistry};
use reelfall_balancer::Balancer;
use reelfall_testbed::node::Folder;
use reelfall_testbed::Result;
use serde::{Deserialize, Serialize};
use std::ffi::OsStr;
use std::path::Path;
use std::time::Duration;
use tokio::process::Command;

/// How often a computation is repeated, each time in a new process; the median counts.
pub const REPEATS: usize = 3;
/// Time that all repeats of one computation may take.
pub const MEASURED_MOST: Duration = Duration::from_secs(60);
/// Changes of one server over which the cost of one is averaged.
const CHANGES: usize = 200;

/// A computation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Computation {
    /// Reading and checking a settings file.
    Settings,
    /// Reading a whole list of servers into the decision module.
    ServerList,
    /// Reading a change of one server of it.
    ServerChange,
}

impl Computation {
    /// Its name in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Computation::Settings => "settings",
            Computation::ServerList => "server-list",
            Computation::ServerChange => "server-change",
        }
    }
}

/// What one computation took.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Most memory that the process has held, in bytes.
    pub peak: f64,
    /// Bytes that were read.
    pub bytes: usize,
}

/// What a computation reads: a settings file, or a list of servers with its changes on further lines.
pub fn input(computation: Computation, size: &Size) -> String {
    let servers = size.servers;
    let list = || list_text(servers, 0..servers, 0);
    let change = |n: usize| {
        let server = n % servers.max(1);
        list_text(servers, server..server + 1, n as u64 + 1)
    };
    match computation {
        Computation::Settings => settings_file(size),
        Computation::ServerList => list(),
        Computation::ServerChange => {
            let lines: Vec<String> = std::iter::once(list())
                .chain((0..CHANGES).map(change))
                .collect();
            lines.join("\n")
        }
    }
}

/// Does a computation once, in this process.
///
/// # Errors
/// If what is to be read is refused.
pub fn once(computation: Computation, size: &Size) -> Result<Cost> {
    of_text(computation, input(computation, size))
}

/// Does a computation once, in this process, on an input that was written to a file.
///
/// # Errors
/// If there is no such file, or what is to be read is refused.
pub fn of_file(computation: Computation, file: &Path) -> Result<Cost> {
    of_text(computation, std::fs::read_to_string(file)?)
}

fn of_text(computation: Computation, text: String) -> Result<Cost> {
    match computation {
        Computation::Settings => read_settings(text),
        Computation::ServerList => server_list(&text),
        Computation::ServerChange => server_changes(&text),
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// If there is none or it is refused.
pub fn read_settings(text: impl Into<String>) -> Result<Cost> {
    let text = text.into();
    if text.is_empty() {
        return Err("there is no generator of settings files of this size".into());
    }
    let (bytes, begun) = (text.len(), machine::thread_cpu()?);
    let model =
        reelfall_config::reader::toml("scale.toml", &text).map_err(|faults| refused(&faults))?;
    // As the program does: a check takes memory of its own.
    drop(text);
    let plan = reelfall_config::check(model).map_err(|faults| refused(&faults))?;
    let cpu = machine::thread_cpu()?.saturating_sub(begun);
    let cost = cost(cpu, bytes);
    drop(plan);
    cost
}

/// The first mistakes of a settings file, and how many there are.
fn refused(faults: &reelfall_config::Faults) -> String {
    let first: Vec<String> = faults.0.iter().take(3).map(ToString::to_string).collect();
    format!(
        "the settings file is refused, {} mistakes: {}",
        faults.0.len(),
        first.join("; ")
    )
}

fn cost(cpu: Duration, bytes: usize) -> Result<Cost> {
    Ok(Cost {
        cpu: cpu.as_secs_f64(),
        peak: machine::peak()? as f64,
        bytes,
    })
}

/// Takes a whole list of servers into the decision module.
fn server_list(text: &str) -> Result<Cost> {
    let mut module = Module::new()?;
    let begun = machine::thread_cpu()?;
    module.take_in(text, UpdateKind::Snapshot)?;
    cost(machine::thread_cpu()?.saturating_sub(begun), text.len())
}

/// Takes a whole list of servers into the decision module and then some changes of it: the cost of one change.
fn server_changes(text: &str) -> Result<Cost> {
    let mut lines = text.lines();
    let mut module = Module::new()?;
    module.take_in(lines.next().ok_or("no list")?, UpdateKind::Snapshot)?;
    let changes: Vec<&str> = lines.collect();
    let begun = machine::thread_cpu()?;
    for change in &changes {
        module.take_in(change, UpdateKind::Delta)?;
    }
    let count = u32::try_from(changes.len()).unwrap_or(u32::MAX).max(1);
    let cpu = machine::thread_cpu()?.saturating_sub(begun) / count;
    cost(cpu, changes.first().map_or(0, |change| change.len()))
}

/// A list as list services write it.
fn list_text(listed: usize, servers: std::ops::Range<usize>, since_ms: u64) -> String {
    let line = |n: usize| {
        serde_json::json!({
            "name": super::lists::server_name(n), "address": format!("127.0.0.1:{}", 1024 + n % 60_000),
            "zone": format!("zone-{}", n % 3), "type": "k", "group": 1, "status": "active", "weight": 1.0,
            "since_ms": since_ms * 1000,
        })
    };
    let whole = servers.len() == listed;
    let lines: Vec<_> = servers.map(line).collect();
    serde_json::json!({ "index": 1, "snapshot": whole, "endpoints": lines }).to_string()
}

/// A decision module with the names of its servers.
struct Module {
    balancer: Balancer,
    names: NameRegistry,
    actions: Vec<Action>,
    now: f64,
}

impl Module {
    fn new() -> Result<Module> {
        let json =
            r#"{"categories":[{"name":"a","promise":0.2,"deadline":2.0,"effect":"idempotent"}]}"#;
        let (settings, names, _) = reelfall_balancer::settings::read(json)?;
        let balancer = Balancer::new(settings, 1, 0.0)?;
        Ok(Module {
            balancer,
            names,
            actions: Vec::new(),
            now: 0.0,
        })
    }

    fn take_in(&mut self, text: &str, list: UpdateKind) -> Result<()> {
        let read: serde_json::Value = serde_json::from_str(text)?;
        let lines = read
            .get("endpoints")
            .and_then(|lines| lines.as_array())
            .ok_or("no endpoints")?;
        let entries: Vec<Endpoint> = lines.iter().filter_map(|line| self.entry(line)).collect();
        self.now += 0.01;
        self.balancer.handle(
            self.now,
            Event::EndpointUpdate {
                kind: list,
                endpoints: entries,
            },
            &mut self.actions,
        );
        self.actions.clear();
        Ok(())
    }

    fn entry(&mut self, line: &serde_json::Value) -> Option<Endpoint> {
        let text = |name: &str| line.get(name).and_then(|value| value.as_str());
        let listed = ListedEndpoint {
            name: text("name")?,
            zone: text("zone"),
            machine_type: text("type"),
            cell: 1,
            state: ServerState::Up,
            weight: line.get("weight").and_then(|weight| weight.as_f64()),
            started_at: line
                .get("since_ms")
                .and_then(|ms| ms.as_f64())
                .map(|ms| ms / 1e3),
        };
        Some(self.names.endpoint(&listed))
    }
}

/// Does a computation in processes of its own, of the rig's program, and takes the medians.
///
/// # Errors
/// If the program can't be started, the computation refuses what it is to read, or it takes too long.
pub async fn measured(
    program: &Path,
    computation: Computation,
    size: &Size,
    most: Duration,
) -> Result<Run> {
    let folder = Folder::new()?;
    let file = folder.path().join("input");
    let mut costs = Vec::with_capacity(REPEATS);
    let all = async {
        write_input(program, computation, size, &file).await?;
        for _ in 0..REPEATS {
            costs.push(in_process(program, computation, &file).await?);
        }
        Result::Ok(())
    };
    let most = most.min(MEASURED_MOST);
    tokio::time::timeout(most, all)
        .await
        .map_err(|_| format!("not done in {most:?}"))??;
    let median = |of: fn(&Cost) -> f64| {
        let mut all: Vec<f64> = costs.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let memory = match computation {
        Computation::Settings | Computation::ServerList => Some(median(|c| c.peak)),
        // The most was held by the whole list before the changes.
        Computation::ServerChange => None,
    };
    let per_node = PerNode {
        cpu: median(|c| c.cpu),
        memory,
        ..PerNode::default()
    };
    Ok(Run {
        name: computation.name().to_owned(),
        source: Source::Computation,
        size: *size,
        // Its processor time is for one computation: as if one were done in each second.
        seconds: 1.0,
        per_node,
        in_force: None,
        requests: None,
        read_bytes: costs.first().map(|cost| cost.bytes as u64),
        played: None,
    })
}

/// Writes what a computation reads, by a process of the rig's program.
async fn write_input(
    program: &Path,
    computation: Computation,
    size: &Size,
    file: &Path,
) -> Result<()> {
    let size = serde_json::to_string(size)?;
    output(
        program,
        "computation-input",
        computation,
        ["--size".as_ref(), size.as_ref()],
        file,
    )
    .await?;
    Ok(())
}

async fn in_process(program: &Path, computation: Computation, file: &Path) -> Result<Cost> {
    let printed = output(program, "computation", computation, [], file).await?;
    Ok(serde_json::from_slice(&printed)?)
}

/// What a subcommand of the rig's program prints.
async fn output<const N: usize>(
    program: &Path,
    subcommand: &str,
    computation: Computation,
    more: [&OsStr; N],
    file: &Path,
) -> Result<Vec<u8>> {
    let mut command = Command::new(program);
    command
        .args(["scale", subcommand, computation.name(), "--file"])
        .arg(file)
        .args(more);
    let output = command.kill_on_drop(true).output().await?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr)
            .trim()
            .to_owned()
            .into());
    }
    Ok(output.stdout)
}
