//! One run at one size: simulated and real nodes of one fleet at rest and under changes, and fault scenarios.

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

/// Timeout for a new fleet to converge.
const START_TIMEOUT: Duration = Duration::from_secs(150);
/// Wait between convergence and the first measurement.
const SETTLE_DURATION: Duration = Duration::from_secs(10);
/// Time that has to remain before the deadline for a fault scenario to start.
const MAX_SCENARIO_DURATION: Duration = Duration::from_secs(45);

/// Default number of threads that drive simulated nodes: half of the cores, which leaves the others for real nodes and
/// clients.
pub fn default_threads() -> usize {
    (machine::cores() / 2).max(1)
}

/// Runs the plan. The record has notes on parts that were omitted because of failures or the deadline.
///
/// # Errors
/// If the size exceeds the limits of the machine, or the nodes can't be started.
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

/// Notes how the figures of this run are measured.
fn note_setup(plan: &Plan, network: &Network, real: &RealNodes, record: &mut Record) {
    record.note(format!(
        "{} hollow nodes on {} threads of one process and {} real nodes; a change is an operator's ban; list updates \
         reach hollow nodes over a channel within the process; memory of a hollow node is the growth of the process divided \
         by their number; traffic by kind is estimated from one datagram in {SAMPLING_INTERVAL}",
        plan.size.nodes,
        network.thread_count(),
        real.count(),
    ));
    if plan.size.servers > MAX_LISTED_SERVERS {
        record.note(format!(
            "the list of the real nodes has {MAX_LISTED_SERVERS} servers: nodes reject longer lists"
        ));
    }
}

/// Waits until the new fleet has converged. Returns whether it did so within the timeout.
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
        Some(seconds) => record.note(format!(
            "start: all nodes know each other after {seconds:.1} s"
        )),
        None => {
            record.note_omission(format!(
                "all: not all nodes know each other after {timeout:?}"
            ));
        }
    }
    seconds.is_some()
}

/// Measures a window without changes and requests, which shows the cost of control alone.
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

/// Runs the fault scenarios one after another.
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

/// Notes the failure of one part as an omission, so that the other parts still run.
fn note_failure(record: &mut Record, part: &str, result: Result<()>) {
    if let Err(error) = result {
        record.note_omission(format!("{part}: {error}"));
    }
}
