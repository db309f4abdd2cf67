//! One fleet of a sweep, in a process of its own: what its memory is then is of this fleet alone.

use super::faults::{keep, GATHERS_IN};
use super::limits::Deadline;
use super::lists::Lists;
use super::network::Network;
use super::record::Record;
use super::report::Size;
use super::single::threads;
use super::window::{measure, until_gathered, Rates, DRAIN};
use reelfall_testbed::node::Folder;
use reelfall_testbed::Result;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::process::Command;

/// How long a fleet rests after all know all.
pub const SETTLES: Duration = Duration::from_secs(6);
/// How much longer than its own deadline a process may take to start and to end.
const PROCESS_MORE: Duration = Duration::from_secs(10);

/// What is played on one fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// How large it is.
    pub size: Size,
    /// The rates of each window, one after another.
    pub windows: Vec<Rates>,
    /// Seconds of each window.
    pub seconds: f64,
    /// For all draws.
    pub seed: u64,
}

impl Plan {
    /// How long one window takes.
    pub fn window(&self) -> Duration {
        Duration::try_from_secs_f64(self.seconds).unwrap_or_default() + DRAIN
    }
}

/// Plays the windows of one fleet in this process.
///
/// # Errors
/// If something does not start, or the system does not tell what is used.
pub async fn play(plan: &Plan, deadline: Deadline) -> Result<Record> {
    let size = &plan.size;
    let mut record = Record::new(plan.seed);
    let lists = Arc::new(Lists::new(size.servers, size.services));
    let network = Network::start(size.nodes, lists, plan.seed, threads())?;
    if until_gathered(&network, 0, GATHERS_IN.min(deadline.left()))
        .await
        .is_none()
    {
        record.left_out(format!(
            "{} nodes: not all know each other in {GATHERS_IN:?}",
            size.nodes
        ));
        return Ok(record);
    }
    tokio::time::sleep(SETTLES).await;
    for (n, rates) in plan.windows.iter().enumerate() {
        if !deadline.allows(plan.window()) {
            record.left_out(format!(
                "{} nodes, a window at {rates:?}: the time is over",
                size.nodes
            ));
            continue;
        }
        let mut measured =
            measure(&network, "sweep", size, *rates, plan.seconds, plan.seed).await?;
        if n > 0 {
            // The process has played the former windows as well.
            measured.run.per_node.memory = None;
        }
        keep(&mut record, measured);
    }
    Ok(record)
}

/// Plays them in a process of its own, of the rig's program.
///
/// # Errors
/// If the program can't be started, fails, or does not end in time.
pub async fn in_process(rig: &Path, plan: &Plan, deadline: Deadline) -> Result<Record> {
    let folder = Folder::new()?;
    let file = folder.path().join("fleet.json");
    let left = deadline.left();
    let mut command = Command::new(rig);
    command.args(["scale", "fleet", "--plan", &serde_json::to_string(plan)?]);
    command
        .args(["--deadline", &left.as_secs_f64().to_string()])
        .arg("--json")
        .arg(&file);
    let ended = command.kill_on_drop(true).status();
    let status = tokio::time::timeout(left + PROCESS_MORE, ended)
        .await
        .map_err(|_| {
            format!(
                "{} nodes: their process has not ended in time",
                plan.size.nodes
            )
        })??;
    if !status.success() {
        return Err(format!(
            "{} nodes: their process has failed: {status}",
            plan.size.nodes
        )
        .into());
    }
    Record::from_json(&std::fs::read_to_string(&file)?)
}
