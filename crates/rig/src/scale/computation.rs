//! What single computations of a node cost: reading a settings file, and taking a list of servers into the decision
//! module.
//!
//! Each is done in a process of its own, so that the memory it keeps is the process's growth and nothing that an
//! earlier one left in the allocator.

use super::machine;
use super::report::{PerNode, Run, Size, Source};
use super::settings::settings_file;
use crate::Result;
use reelfall_core::interface::{Action, Entry, Event, ListKind, ServerState};
use reelfall_core::settings::{Listed, Vocabulary};
use reelfall_core::Balancer;
use serde::{Deserialize, Serialize};
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
    /// Memory that its result holds, in bytes.
    pub memory: f64,
    /// Bytes that were read.
    pub bytes: usize,
}

/// Does a computation once, in this process.
///
/// # Errors
/// If what is to be read is refused.
pub fn once(computation: Computation, size: &Size) -> Result<Cost> {
    match computation {
        Computation::Settings => read_settings(&settings_file(size)),
        Computation::ServerList => server_list(size.servers, false),
        Computation::ServerChange => server_list(size.servers, true),
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// If there is none or it is refused.
pub fn read_settings(text: &str) -> Result<Cost> {
    if text.is_empty() {
        return Err("there is no generator of settings files of this size".into());
    }
    let (resident, begun) = (machine::resident()?, machine::thread_cpu()?);
    let read = reelfall_conf::reader::toml("scale.toml", text).and_then(reelfall_conf::check);
    let cpu = machine::thread_cpu()?.saturating_sub(begun);
    let plan = read.map_err(|faults| refused(&faults))?;
    let cost = cost(cpu, resident, text.len());
    drop(plan);
    cost
}

/// The first mistakes of a settings file, and how many there are.
fn refused(faults: &reelfall_conf::Faults) -> String {
    let first: Vec<String> = faults.0.iter().take(3).map(ToString::to_string).collect();
    format!("the settings file is refused, {} mistakes: {}", faults.0.len(), first.join("; "))
}

fn cost(cpu: Duration, resident_before: u64, bytes: usize) -> Result<Cost> {
    let memory = machine::resident()?.saturating_sub(resident_before) as f64;
    Ok(Cost { cpu: cpu.as_secs_f64(), memory, bytes })
}

/// Takes a list of so many servers into the decision module, and some changes of it if those are what is measured.
fn server_list(servers: usize, changes: bool) -> Result<Cost> {
    let text = list_text(servers, 0..servers, 0);
    let mut module = Module::new()?;
    let (resident, begun) = (machine::resident()?, machine::thread_cpu()?);
    module.take_in(&text, ListKind::Full)?;
    if !changes {
        let cpu = machine::thread_cpu()?.saturating_sub(begun);
        return cost(cpu, resident, text.len());
    }
    let of = |n: usize| list_text(servers, n % servers.max(1)..n % servers.max(1) + 1, n as u64 + 1);
    let texts: Vec<String> = (0..CHANGES).map(of).collect();
    let (resident, begun) = (machine::resident()?, machine::thread_cpu()?);
    for text in &texts {
        module.take_in(text, ListKind::Delta)?;
    }
    let cpu = machine::thread_cpu()?.saturating_sub(begun) / CHANGES as u32;
    cost(cpu, resident, texts.first().map_or(0, String::len))
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
    names: Vocabulary,
    actions: Vec<Action>,
    now: f64,
}

impl Module {
    fn new() -> Result<Module> {
        let json = r#"{"categories":[{"name":"a","promise":0.2,"deadline":2.0,"effect":"idempotent"}]}"#;
        let (settings, names, _) = reelfall_core::settings::read(json)?;
        let balancer = Balancer::new(settings, 1, 0.0)?;
        Ok(Module { balancer, names, actions: Vec::new(), now: 0.0 })
    }

    fn take_in(&mut self, text: &str, list: ListKind) -> Result<()> {
        let read: serde_json::Value = serde_json::from_str(text)?;
        let lines = read.get("endpoints").and_then(|lines| lines.as_array()).ok_or("no endpoints")?;
        let entries: Vec<Entry> = lines.iter().filter_map(|line| self.entry(line)).collect();
        self.now += 0.01;
        self.balancer.handle(self.now, Event::Members { list, entries }, &mut self.actions);
        self.actions.clear();
        Ok(())
    }

    fn entry(&mut self, line: &serde_json::Value) -> Option<Entry> {
        let text = |name: &str| line.get(name).and_then(|value| value.as_str());
        let listed = Listed {
            name: text("name")?,
            zone: text("zone"),
            kind: text("type"),
            cell: 1,
            state: ServerState::Up,
            weight: line.get("weight").and_then(|weight| weight.as_f64()),
            ready_at: line.get("since_ms").and_then(|ms| ms.as_f64()).map(|ms| ms / 1e3),
        };
        Some(self.names.entry(&listed))
    }
}

/// Does a computation in processes of its own, of the rig's program, and takes the medians.
///
/// # Errors
/// If the program can't be started, the computation refuses what it is to read, or it takes too long.
pub async fn measured(program: &Path, computation: Computation, size: &Size, most: Duration) -> Result<Run> {
    let mut costs = Vec::with_capacity(REPEATS);
    let all = async {
        for _ in 0..REPEATS {
            costs.push(in_process(program, computation, size).await?);
        }
        Result::Ok(())
    };
    let most = most.min(MEASURED_MOST);
    tokio::time::timeout(most, all).await.map_err(|_| format!("not done in {most:?}"))??;
    let median = |of: fn(&Cost) -> f64| {
        let mut all: Vec<f64> = costs.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        all[all.len() / 2]
    };
    let per_node = PerNode { cpu: median(|c| c.cpu), memory: median(|c| c.memory), ..PerNode::default() };
    Ok(Run {
        name: computation.name().to_owned(),
        source: Source::Computation,
        size: *size,
        // Its processor time is for one computation: as if one were done in each second.
        seconds: 1.0,
        per_node,
        in_force: None,
        requests: None,
    })
}

async fn in_process(program: &Path, computation: Computation, size: &Size) -> Result<Cost> {
    let size = serde_json::to_string(size)?;
    let mut command = Command::new(program);
    command.args(["scale", "computation", computation.name(), "--size", &size]).kill_on_drop(true);
    let output = command.output().await?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).trim().to_owned().into());
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}
