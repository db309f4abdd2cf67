//! One fleet of a [`sweep`](super::sweep), in a process of its own, so that the memory of the process is that of this
//! fleet alone.

use super::discovery_stub::DiscoveryStub;
use super::error::ScaleError;
use super::faults::CONVERGENCE_TIMEOUT;
use super::limits::Deadline;
use super::network::Network;
use super::record::Record;
use super::report::Size;
use super::schedule::Rates;
use super::single::default_threads;
use super::window::{measure, wait_until_converged, Window, DRAIN_DURATION};
use reelfall_testbed::node::Folder;
use reelfall_testbed::Result;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::process::Command;

/// Wait between convergence and the first window.
pub const SETTLE_DURATION: Duration = Duration::from_secs(6);
/// Time that a process may take beyond its deadline to start and to exit.
const PROCESS_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// The parameters of a fleet, as its process gets them in JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The size of the system.
    pub size: Size,
    /// The rates of each window, in order.
    pub windows: Vec<Rates>,
    /// Length of each window, in seconds.
    #[serde(rename = "seconds")]
    pub window_seconds: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Plan {
    /// Returns the duration of one window, including the wait for its last change to propagate.
    pub fn window_duration(&self) -> Duration {
        Duration::try_from_secs_f64(self.window_seconds).unwrap_or_default() + DRAIN_DURATION
    }
}

/// Runs the windows of one fleet in this process.
///
/// # Errors
/// If the network can't be started, or the system does not report the resource usage.
pub async fn run(plan: &Plan, deadline: Deadline) -> Result<Record> {
    let size = &plan.size;
    let mut record = Record::new(plan.seed);
    let discovery = Arc::new(DiscoveryStub::new(size.servers, size.services));
    let network = Network::start(size.nodes, discovery, plan.seed, default_threads())?;
    let timeout = CONVERGENCE_TIMEOUT.min(deadline.remaining());
    if wait_until_converged(&network, 0, timeout).await.is_none() {
        record.note_omission(format!(
            "{} nodes: not all know each other in {CONVERGENCE_TIMEOUT:?}",
            size.nodes
        ));
        return Ok(record);
    }
    tokio::time::sleep(SETTLE_DURATION).await;
    for (index, rates) in plan.windows.iter().enumerate() {
        if !deadline.allows(plan.window_duration()) {
            record.note_omission(format!(
                "{} nodes, a window at {rates:?}: the time is over",
                size.nodes
            ));
            continue;
        }
        let window = Window {
            name: "sweep",
            size,
            rates: *rates,
            seconds: plan.window_seconds,
            seed: plan.seed,
        };
        let mut measured = measure(&network, &window).await?;
        let is_first = index == 0;
        if !is_first {
            // The memory of the process includes that of the earlier windows.
            measured.run.per_node.memory = None;
        }
        measured.add_to(&mut record);
    }
    Ok(record)
}

/// Runs the windows of one fleet in a process of this program.
///
/// # Errors
/// If the program can't be started, fails, or does not exit in time.
pub async fn run_in_process(program: &Path, plan: &Plan, deadline: Deadline) -> Result<Record> {
    let nodes = plan.size.nodes;
    let folder = Folder::new()?;
    let file = folder.path().join("fleet.json");
    let remaining = deadline.remaining();
    let mut command = Command::new(program);
    command
        .args(["scale", "fleet", "--plan", &serde_json::to_string(plan)?])
        .args(["--deadline", &remaining.as_secs_f64().to_string()])
        .arg("--json")
        .arg(&file);
    let exited = command.kill_on_drop(true).status();
    let status = tokio::time::timeout(remaining + PROCESS_GRACE_PERIOD, exited)
        .await
        .map_err(|_| ScaleError::FleetTimeout { nodes })??;
    if !status.success() {
        return Err(ScaleError::FleetFailed { nodes, status }.into());
    }
    Record::from_json(&std::fs::read_to_string(&file)?)
}
