//! A server stops answering for some seconds: counts the attempts sent to it and the requests that are not served.

use super::{wait_until_converged, Scale, AT_MOST_ONCE_RATIO};
use crate::fleet::invariants::PROPAGATION_TIME;
use crate::fleet::{queries, TestFleet};
use crate::scripted::Program;
use crate::Result;
use serde_json::{json, Value};
use std::time::Duration;

/// Index of the server that stops answering.
const SERVER: usize = 0;
/// How long the load runs before the server stops answering.
const WARM_UP: Duration = Duration::from_secs(4);
/// How long the server does not answer.
const SILENCE: Duration = Duration::from_secs(10);
const SEED: u64 = 7;

/// The cost of a server that does not answer, counted while it does not.
pub(super) struct SilenceCost {
    /// Attempts sent to the server.
    pub(super) attempts: usize,
    /// Attempts within the time that an update takes to reach all nodes; with gossip, later attempts are probes.
    early_attempts: usize,
    /// Number of nodes that sent an attempt to the server.
    nodes: usize,
    /// Number of requests that were not served in time.
    unserved: usize,
    /// Number of requests in all.
    requests: usize,
}

impl SilenceCost {
    /// The counts as an object of the report.
    pub(super) fn figures(&self) -> Value {
        json!({
            "attempts": self.attempts,
            "in_the_first_second": self.early_attempts,
            "nodes": self.nodes,
            "not_served": self.unserved,
            "asked": self.requests,
        })
    }
}

/// Runs the phase on a separate fleet; without `fleet_settings` its nodes exchange no gossip.
pub(super) async fn run(
    program: &Program,
    scale: &Scale,
    fleet_settings: Option<&str>,
) -> Result<SilenceCost> {
    let fleet = TestFleet::start(program, &scale.fleet_spec(fleet_settings)).await?;
    if fleet_settings.is_some() {
        wait_until_converged(&fleet).await?;
    }
    let load = fleet.start_load(scale.rate, AT_MOST_ONCE_RATIO, SEED);
    tokio::time::sleep(WARM_UP).await;
    fleet.servers[SERVER].update_behavior(|behavior| behavior.is_frozen = true);
    let from = fleet.history.now();
    tokio::time::sleep(SILENCE).await;
    let to = fleet.history.now();
    fleet.servers[SERVER].update_behavior(|behavior| behavior.is_frozen = false);
    load.stop().await;
    let events = fleet.history.events();
    let nodes = scale.all_nodes();
    let attempts = |to, nodes: &[usize]| queries::attempts(&events, SERVER, from, to, nodes).len();
    let served = queries::served_ratio(&events, from, to);
    let served_requests = (served.ratio * served.requests as f64).round() as usize;
    Ok(SilenceCost {
        attempts: attempts(to, &nodes),
        early_attempts: attempts(from + PROPAGATION_TIME, &nodes),
        nodes: nodes
            .iter()
            .filter(|node| attempts(to, &[**node]) > 0)
            .count(),
        unserved: served.requests - served_requests,
        requests: served.requests,
    })
}
