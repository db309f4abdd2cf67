//! One run at one size: simulated nodes at rest and under changes, real nodes beside them, and fault scenarios. Called
//! by [`command`](super::command).

use super::computation::Computation;
use super::computation_process;
use super::discovery_stub::DiscoveryStub;
use super::faults::{FaultRun, Scenario};
use super::machine;
use super::network::Network;
use super::plan::Plan;
use super::real::{RealNodes, MAX_LISTED_SERVERS};
use super::record::{Convergence, Record};
use super::report::Size;
use super::request_rounds;
use super::sampler::SAMPLING_INTERVAL;
use super::schedule::Rates;
use super::window::{measure, wait_until_converged, Window};
use reelfall_testbed::Result;
use std::sync::Arc;
use std::time::Duration;

/// Time in which a new fleet has to converge.
const START_TIMEOUT: Duration = Duration::from_secs(150);
/// How long a fleet rests after it has converged, before anything is measured.
const SETTLE_DURATION: Duration = Duration::from_secs(10);
/// Time that has to remain for a fault scenario.
const MAX_SCENARIO_DURATION: Duration = Duration::from_secs(45);

/// Threads that drive simulated nodes: half of the cores, so that some are left for real nodes and clients.
pub fn default_threads() -> usize {
    (machine::cores() / 2).max(1)
}

/// Runs it. The record has notes on what did not fit into the time.
///
/// # Errors
/// If the size does not fit the machine, or something does not start.
pub async fn run(plan: &Plan) -> Result<Record> {
    machine::detect()?.check(&plan.size, plan.real_nodes)?;
    let mut record = Record::new(plan.seed);
    run_computations(plan, &mut record).await;
    let discovery = Arc::new(DiscoveryStub::new(plan.size.servers, plan.size.services));
    let network = Network::start(plan.size.nodes, discovery, plan.seed, plan.threads)?;
    let servers = plan.size.servers;
    let real = RealNodes::start(&plan.node_program, plan.real_nodes, &network, servers).await?;
    note_setup(plan, &network, &real, &mut record);
    if !await_start(plan, &network, &real, &mut record).await {
        return Ok(record);
    }
    tokio::time::sleep(SETTLE_DURATION).await;
    let result = measure_at_rest(plan, &network, &real, &mut record).await;
    note_failure(&mut record, "quiet", result);
    let result = request_rounds::run(plan, &network, &real, &mut record).await;
    note_failure(&mut record, "requests", result);
    run_scenarios(plan, &network, real.count(), &mut record).await;
    Ok(record)
}

async fn run_computations(plan: &Plan, record: &mut Record) {
    let list = Size {
        servers: plan.size.servers / plan.size.services.max(1),
        ..plan.size
    };
    let computations = [
        (Computation::Settings, plan.size),
        (Computation::ServerList, list),
        (Computation::ServerChange, list),
    ];
    for (computation, size) in computations {
        let timeout = plan.deadline.remaining();
        match computation_process::measure(&plan.own_program, computation, &size, timeout).await {
            Ok(run) => record.add(run),
            Err(error) => record.note_omission(format!("{}: {error}", computation.name())),
        }
    }
}

/// Notes how the figures of this run came about.
fn note_setup(plan: &Plan, network: &Network, real: &RealNodes, record: &mut Record) {
    record.note(format!(
        "{} hollow nodes on {} threads of one process and {} real nodes; a change is a ban by hand; a list's line \
         reaches hollow nodes over a channel of the process; memory of a hollow node is the growth of the process over \
         all of them; kinds by one datagram of {SAMPLING_INTERVAL}",
        plan.size.nodes,
        network.thread_count(),
        real.count(),
    ));
    if plan.size.servers > MAX_LISTED_SERVERS {
        record.note(format!(
            "the list of the real nodes has {MAX_LISTED_SERVERS} servers: a longer one is refused by nodes"
        ));
    }
}

/// Waits until the new fleet has converged; whether it has in time.
async fn await_start(
    plan: &Plan,
    network: &Network,
    real: &RealNodes,
    record: &mut Record,
) -> bool {
    let timeout = START_TIMEOUT.min(plan.deadline.remaining());
    let seconds = wait_until_converged(network, real.count(), timeout).await;
    record.convergences.push(Convergence {
        after: "start".to_owned(),
        seconds,
    });
    match seconds {
        Some(seconds) => record.note(format!("start: all know all after {seconds:.1} s")),
        None => {
            record.note_omission(format!(
                "all: not all nodes know each other after {timeout:?}"
            ));
        }
    }
    seconds.is_some()
}

/// A window without changes and requests: the cost of control by itself.
async fn measure_at_rest(
    plan: &Plan,
    network: &Network,
    real: &RealNodes,
    record: &mut Record,
) -> Result<()> {
    let before = real.usage()?;
    let window = Window {
        name: "quiet",
        size: &plan.size,
        rates: Rates::NONE,
        seconds: plan.window_seconds,
        seed: plan.seed,
    };
    let measured = measure(network, &window).await?;
    let (size, seconds) = (measured.run.size, measured.run.seconds);
    measured.add_to(record);
    if real.count() > 0 {
        record.add(real.run(window.name, &size, &before, seconds)?);
    }
    Ok(())
}

/// The fault scenarios, one after another.
async fn run_scenarios(plan: &Plan, network: &Network, external_nodes: usize, record: &mut Record) {
    let fault_run = FaultRun {
        network,
        external_nodes,
        size: &plan.size,
        deadline: plan.deadline,
    };
    for scenario in Scenario::ALL {
        let label = scenario.label();
        if !plan.deadline.allows(MAX_SCENARIO_DURATION) {
            record.note_omission(format!("{label}: the time is over"));
            continue;
        }
        let result = fault_run.play(scenario, record).await;
        note_failure(record, label, result);
    }
}

/// Notes the failure of one part, so that the others still run.
fn note_failure(record: &mut Record, part: &str, result: Result<()>) {
    if let Err(error) = result {
        record.note_omission(format!("{part}: {error}"));
    }
}
