//! Single computations of a node: reading a settings file, and applying a list of servers to the decision module.
//! [`computation_process`](super::computation_process) runs each in a process of its own.

use super::error::ScaleError;
use super::machine;
use super::report::Size;
use super::settings::settings_file;
use reelfall_balancer::interface::{Action, Endpoint, Event, ServerState, UpdateKind};
use reelfall_balancer::settings::{ListedEndpoint, NameRegistry};
use reelfall_balancer::Balancer;
use reelfall_testbed::Result;
use serde::{Deserialize, Serialize};
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// Number of single-server updates over which the cost of one is averaged.
const CHANGE_COUNT: usize = 200;
/// Interval between two updates of a list, in seconds.
const UPDATE_INTERVAL: f64 = 0.01;
/// Number of errors of a settings file that are quoted in a [`ScaleError`].
const QUOTED_ERRORS: usize = 3;
/// The lowest port of a listed server.
const FIRST_PORT: usize = 1024;
/// Ports of listed servers.
const PORTS: usize = 60_000;
/// Zones of listed servers.
const ZONES: usize = 3;
/// The settings of the decision module.
const MODULE_SETTINGS: &str =
    r#"{"categories":[{"name":"a","promise":0.2,"deadline":2.0,"effect":"idempotent"}]}"#;

/// A computation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Computation {
    /// Reading and checking a settings file.
    Settings,
    /// Applying a snapshot of a list of servers to the decision module.
    ServerList,
    /// Applying an update of one server of the list.
    ServerChange,
}

impl Computation {
    /// Returns the name in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Computation::Settings => "settings",
            Computation::ServerList => "server-list",
            Computation::ServerChange => "server-change",
        }
    }
}

/// The cost of one computation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Peak memory of the process, in bytes.
    #[serde(rename = "peak")]
    pub peak_memory: f64,
    /// Length of the input, in bytes.
    pub bytes: usize,
}

/// Generates the input of a computation: a settings file, or a list of servers with updates on further lines.
pub fn input(computation: Computation, size: &Size) -> String {
    let servers = size.servers;
    let snapshot = || list_text(servers, 0..servers, 0);
    let update = |number: usize| {
        let server = number % servers.max(1);
        list_text(servers, server..server + 1, number as u64 + 1)
    };
    match computation {
        Computation::Settings => settings_file(size),
        Computation::ServerList => snapshot(),
        Computation::ServerChange => {
            let lines: Vec<String> = std::iter::once(snapshot())
                .chain((0..CHANGE_COUNT).map(update))
                .collect();
            lines.join("\n")
        }
    }
}

/// Runs a computation once, in this process.
///
/// # Errors
/// If the input is rejected.
pub fn run_once(computation: Computation, size: &Size) -> Result<Cost> {
    run_on_text(computation, input(computation, size))
}

/// Runs a computation once, in this process, on an input in a file.
///
/// # Errors
/// If the file can't be read, or the input is rejected.
pub fn run_on_file(computation: Computation, file: &Path) -> Result<Cost> {
    run_on_text(computation, std::fs::read_to_string(file)?)
}

fn run_on_text(computation: Computation, text: String) -> Result<Cost> {
    match computation {
        Computation::Settings => read_settings(text),
        Computation::ServerList => apply_snapshot(&text),
        Computation::ServerChange => apply_updates(&text),
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// If the text is empty, or the reader rejects it.
pub fn read_settings(text: impl Into<String>) -> Result<Cost> {
    let text = text.into();
    if text.is_empty() {
        return Err(ScaleError::NoSettings.into());
    }
    let bytes = text.len();
    let started = machine::thread_cpu_time()?;
    let model =
        reelfall_config::reader::parse_toml("scale.toml", &text).map_err(settings_rejected)?;
    // The node program drops the text before the check too, which allocates memory of its own.
    drop(text);
    let plan = reelfall_config::check(model).map_err(settings_rejected)?;
    let cost = cost_since(started, bytes);
    // Dropped after the measurement, so that the peak memory includes the plan.
    drop(plan);
    cost
}

fn settings_rejected(errors: reelfall_config::ConfigErrors) -> ScaleError {
    let first: Vec<String> = errors
        .0
        .iter()
        .take(QUOTED_ERRORS)
        .map(ToString::to_string)
        .collect();
    ScaleError::SettingsRejected {
        count: errors.0.len(),
        first: first.join("; "),
    }
}

fn cost_since(started: Duration, bytes: usize) -> Result<Cost> {
    cost(machine::thread_cpu_time()?.saturating_sub(started), bytes)
}

fn cost(cpu: Duration, bytes: usize) -> Result<Cost> {
    Ok(Cost {
        cpu: cpu.as_secs_f64(),
        peak_memory: machine::peak_memory()? as f64,
        bytes,
    })
}

/// Applies a snapshot to the decision module.
fn apply_snapshot(text: &str) -> Result<Cost> {
    let mut module = DecisionModule::new()?;
    let started = machine::thread_cpu_time()?;
    module.apply(text, UpdateKind::Snapshot)?;
    cost_since(started, text.len())
}

/// Applies a snapshot to the decision module, then updates. Returns the mean cost of one update.
fn apply_updates(text: &str) -> Result<Cost> {
    let mut lines = text.lines();
    let mut module = DecisionModule::new()?;
    let snapshot = lines.next().ok_or(ScaleError::NoList)?;
    module.apply(snapshot, UpdateKind::Snapshot)?;
    let updates: Vec<&str> = lines.collect();
    let started = machine::thread_cpu_time()?;
    for update in &updates {
        module.apply(update, UpdateKind::Delta)?;
    }
    let count = u32::try_from(updates.len()).unwrap_or(u32::MAX).max(1);
    let cpu = machine::thread_cpu_time()?.saturating_sub(started) / count;
    cost(cpu, updates.first().map_or(0, |update| update.len()))
}

/// Renders a snapshot or an update in the JSON format of discovery services.
fn list_text(listed: usize, servers: Range<usize>, started: u64) -> String {
    let endpoint = |server: usize| {
        serde_json::json!({
            "name": super::discovery_stub::server_name(server),
            "address": format!("127.0.0.1:{}", FIRST_PORT + server % PORTS),
            "zone": format!("zone-{}", server % ZONES), "type": "k", "group": 1, "status": "active", "weight": 1.0,
            "since_ms": started * 1000,
        })
    };
    let is_snapshot = servers.len() == listed;
    let endpoints: Vec<_> = servers.map(endpoint).collect();
    serde_json::json!({ "index": 1, "snapshot": is_snapshot, "endpoints": endpoints }).to_string()
}

/// A decision module with the registry of its servers' names.
struct DecisionModule {
    balancer: Balancer,
    names: NameRegistry,
    actions: Vec<Action>,
    now: f64,
}

impl DecisionModule {
    fn new() -> Result<DecisionModule> {
        let (settings, names, _) = reelfall_balancer::settings::read(MODULE_SETTINGS)?;
        let balancer = Balancer::new(settings, 1, 0.0)?;
        Ok(DecisionModule {
            balancer,
            names,
            actions: Vec::new(),
            now: 0.0,
        })
    }

    fn apply(&mut self, text: &str, kind: UpdateKind) -> Result<()> {
        let list: serde_json::Value = serde_json::from_str(text)?;
        let lines = list
            .get("endpoints")
            .and_then(|lines| lines.as_array())
            .ok_or(ScaleError::NoEndpoints)?;
        let endpoints: Vec<Endpoint> = lines
            .iter()
            .filter_map(|line| self.endpoint(line))
            .collect();
        self.now += UPDATE_INTERVAL;
        let event = Event::EndpointUpdate { kind, endpoints };
        self.balancer.handle(self.now, event, &mut self.actions);
        self.actions.clear();
        Ok(())
    }

    fn endpoint(&mut self, line: &serde_json::Value) -> Option<Endpoint> {
        let text = |name: &str| line.get(name).and_then(|value| value.as_str());
        let number = |name: &str| line.get(name).and_then(|value| value.as_f64());
        let listed = ListedEndpoint {
            name: text("name")?,
            zone: text("zone"),
            machine_type: text("type"),
            cell: 1,
            state: ServerState::Up,
            weight: number("weight"),
            started_at: number("since_ms").map(|ms| ms / 1e3),
        };
        Some(self.names.endpoint(&listed))
    }
}
