//! How soon all nodes leave a server with a fault, once there is evidence of three nodes.

use super::{wait_until_converged, Scale};
use crate::fleet::probers::names_that_never_probe;
use crate::fleet::schedule::{self, Step};
use crate::fleet::verdict_stats::distribution_ms;
use crate::fleet::{queries, FleetSpec, TestFleet, LATENCY_OBJECTIVE};
use crate::scripted::Program;
use crate::Result;
use serde_json::Value;
use std::time::Duration;

/// So many servers have a fault, one after another.
const FAULTY_SERVERS: usize = 5;
/// Time without a fault before each, and the duration of each.
const PHASE: Duration = Duration::from_secs(4);
/// So many nodes have to report a fault before a server is ejected.
const REPORTERS: usize = 3;
/// No node probes an ejected server during the phase.
const FLEET_SETTINGS: &str = "verdicts = { trial_every = \"60s\" }";
const SEED: u64 = 8;

/// Servers answer all requests with errors.
pub(super) async fn of_failing_server(program: &Program, scale: &Scale) -> Result<Value> {
    let set_fault = |server, is_faulty| Step::SetServerFailures {
        server,
        ratio: if is_faulty { 1.0 } else { 0.0 },
    };
    measure(program, scale, Duration::ZERO, set_fault).await
}

/// Servers stop answering: there is evidence once attempts have waited for longer than the latency objective.
pub(super) async fn of_paused_server(program: &Program, scale: &Scale) -> Result<Value> {
    let set_fault = |server, paused| Step::SetServerPaused { server, paused };
    measure(program, scale, LATENCY_OBJECTIVE, set_fault).await
}

/// The distribution of the detection times of one server after another. An attempt is evidence `evidence_delay` after its
/// start.
async fn measure(
    program: &Program,
    scale: &Scale,
    evidence_delay: Duration,
    set_fault: impl Fn(usize, bool) -> Step,
) -> Result<Value> {
    let faulty_servers: Vec<usize> = (0..scale.servers.min(FAULTY_SERVERS)).collect();
    let spec = FleetSpec {
        node_names: names_that_never_probe(scale.nodes, &scale.all_nodes(), &faulty_servers),
        ..scale.fleet_spec(Some(FLEET_SETTINGS))
    };
    let mut fleet = TestFleet::start(program, &spec).await?;
    wait_until_converged(&fleet).await?;
    let load = fleet.start_load(scale.rate, 0.0, SEED);
    let mut detection_times = Vec::new();
    for server in faulty_servers {
        let start_fault = [Step::Wait(PHASE), set_fault(server, true)];
        schedule::execute(&mut fleet, &start_fault).await?;
        let from = fleet.history.now();
        schedule::execute(&mut fleet, &[Step::Wait(PHASE)]).await?;
        let to = fleet.history.now();
        schedule::execute(&mut fleet, &[set_fault(server, false)]).await?;
        detection_times.extend(detection_time(&fleet, server, from, to, evidence_delay));
    }
    load.stop().await;
    detection_times.sort_unstable();
    Ok(distribution_ms(&detection_times))
}

/// From the evidence of the last reporter that is needed to the last attempt by any node.
fn detection_time(
    fleet: &TestFleet,
    server: usize,
    from: Duration,
    to: Duration,
    evidence_delay: Duration,
) -> Option<Duration> {
    let events = fleet.history.events();
    let nodes: Vec<usize> = (0..fleet.node_count()).collect();
    let first_attempt = |node: &usize| {
        let attempts = queries::attempts(&events, server, from, to, &[*node]);
        attempts.first().map(|attempt| attempt.at)
    };
    let mut first_attempts: Vec<Duration> = nodes.iter().filter_map(first_attempt).collect();
    first_attempts.sort_unstable();
    let evidence_at = *first_attempts.get(REPORTERS - 1)? + evidence_delay;
    let attempts = queries::attempts(&events, server, from, to, &nodes);
    let last_attempt = attempts.last()?.at;
    Some(last_attempt.saturating_sub(evidence_at))
}
