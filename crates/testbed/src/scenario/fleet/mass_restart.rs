//! Kills 60 % of the nodes at once and starts them again: measures how soon the remaining nodes detect the loss, and how
//! soon all nodes agree after the restart.

use super::{wait_until_converged, Scale, AT_MOST_ONCE_RATIO, REPORTED_VIOLATIONS};
use crate::fleet::verdict_stats::VerdictStats;
use crate::fleet::{invariants, TestFleet};
use crate::scenario::Report;
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};
use std::time::Duration;

/// How long the load runs before the nodes are killed.
const WARM_UP: Duration = Duration::from_secs(2);
const SEED: u64 = 11;

/// Runs the phase on a separate fleet and returns its figures.
pub(super) async fn run(program: &Program, scale: &Scale, report: &mut Report) -> Result<Value> {
    let mut fleet = TestFleet::start(program, &scale.fleet_spec(Some(""))).await?;
    wait_until_converged(&fleet).await?;
    let load = fleet.start_load(scale.rate, AT_MOST_ONCE_RATIO, SEED);
    tokio::time::sleep(WARM_UP).await;
    let killed = scale.nodes * 3 / 5;
    let killed_at = fleet.history.now();
    (0..killed).for_each(|node| fleet.kill(node));
    fleet
        .wait_until("the remaining nodes detect the loss", async |fleet| {
            fleet.is_converged().await
        })
        .await?;
    let detection_time = fleet.history.now() - killed_at;
    let restarted_at = fleet.history.now();
    for node in 0..killed {
        fleet.start_node(node).await?;
    }
    wait_until_converged(&fleet).await?;
    let recovery_time = fleet.history.now() - restarted_at;
    load.stop().await;
    let events = fleet.history.events();
    let violations = invariants::violations(&events);
    for violation in violations.iter().take(REPORTED_VIOLATIONS) {
        report.check(false, || format!("mass restart: {violation}"));
    }
    let stats = VerdictStats::from_events(&events);
    Ok(json!({
        "killed": killed,
        "known_s": detection_time.as_secs_f64(),
        "back_s": recovery_time.as_secs_f64(),
        "mistaken": stats.unfounded_ejections.len(),
    }))
}
