//! Measures how soon all nodes stop sending to a faulty server after three nodes have evidence of the fault.

use super::{wait_until_converged, Scale};
use crate::fleet::probers::names_that_never_probe;
use crate::fleet::schedule::{self, Step};
use crate::fleet::verdict_stats::distribution_ms;
use crate::fleet::{queries, FleetSpec, TestFleet, LATENCY_OBJECTIVE};
use crate::scripted::Program;
use crate::Result;
use serde_json::Value;
use std::time::Duration;

/// Number of servers that get a fault, one after another.
const FAULTY_SERVERS: usize = 5;
/// Duration of each fault, and of the fault-free time before it.
const PHASE: Duration = Duration::from_secs(4);
/// Number of nodes that must report a fault before the fleet ejects a server.
const REPORTERS: usize = 3;
/// The interval between trials is longer than a fault, so that no node probes an ejected server during it.
const FLEET_SETTINGS: &str = "verdicts = { trial_every = \"60s\" }";
const SEED: u64 = 8;

/// Detection times of servers that answer all requests with errors.
pub(super) async fn of_failing_server(program: &Program, scale: &Scale) -> Result<Value> {
    let set_fault = |server, is_faulty| Step::SetServerFailures {
        server,
        ratio: if is_faulty { 1.0 } else { 0.0 },
    };
    measure(program, scale, Duration::ZERO, set_fault).await
}

/// Detection times of servers that stop answering. An attempt is evidence once it has waited for the latency objective.
pub(super) async fn of_paused_server(program: &Program, scale: &Scale) -> Result<Value> {
    let set_fault = |server, paused| Step::SetServerPaused { server, paused };
    measure(program, scale, LATENCY_OBJECTIVE, set_fault).await
}

/// Sets a fault on one server after another and returns the distribution of the detection times. An attempt counts as
/// evidence `evidence_delay` after its start.
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

/// The time from the first evidence of the `REPORTERS`th node to the last attempt by any node; `None` if fewer nodes sent
/// an attempt.
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
