//! Runs scenarios of configuration distribution with the control machines of the target system, and compares them with the
//! cost of full snapshots.

use super::error::ScaleError;
use super::report::{print, resident_memory, thread_cpu};
use super::target::{size, CHANGES_PER_DAY};
use super::{baseline, Output};
use clap::Args;
use reelfall_distribution::DRIFT;
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::baseline::SECONDS_PER_DAY;
use reelfall_emulator::control::report::{PerNode, Played, Run, Source};
use reelfall_emulator::control::scenarios::{self, Outcome};
use reelfall_emulator::control::sizes::Sizes;
use reelfall_emulator::control::times::Times;
use reelfall_emulator::control::topology::Scope;
use reelfall_emulator::control::world::{links, Ages, World};

/// Server restarts per second if the 18,000 of a day occur within two hours.
const RESTARTS_PER_SECOND: f64 = 18_000.0 / 7_200.0;
/// A region with more than a quarter of the nodes.
const REGION: u16 = 0;
/// A zone of that region.
const ZONE: u16 = 1;
/// A region without the publisher that holds the lease.
const FAR_REGION: u16 = 3;
/// Number of nodes that receive requests of tenants, spread evenly over all nodes.
const TENANT_NODES: usize = 60;
/// Duration of the requests of tenants, in seconds.
const TENANT_SECONDS: f64 = 10.0;
/// Requests per second at each node of the target system: 1,700,000 over 6,000 nodes. It bounds the rate of first requests of
/// tenants.
const REQUESTS_PER_SECOND: f64 = 283.0;

/// Maximum number of violations that are printed for a scenario.
const PRINTED_VIOLATIONS: usize = 5;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Number of nodes.
    #[arg(long, default_value_t = Sizes::TARGET.nodes)]
    nodes: u32,
    /// Number of publishers.
    #[arg(long, default_value_t = Sizes::TARGET.publishers)]
    authors: u32,
    /// Number of relays.
    #[arg(long, default_value_t = Sizes::TARGET.relays)]
    relays: u32,
    /// Number of routes that are separate resources.
    #[arg(long, default_value_t = 0)]
    routes: u32,
    /// Number of tenants that are separate resources.
    #[arg(long, default_value_t = 0)]
    tenants: u32,
    /// Let clocks drift within the permitted bounds, and check the staleness that nodes report.
    #[arg(long)]
    drift: bool,
    /// Scenarios to run, in this order.
    #[arg(long, value_delimiter = ',', default_values_t = ["day", "ten-days", "burst", "one-resource", "back", "region", "relay", "rack", "zone", "half", "author", "apart"].map(str::to_owned))]
    plays: Vec<String>,
    /// Duration of scenarios with a constant rate of changes, in seconds.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Duration of the partition of a region, in seconds.
    #[arg(long, default_value_t = 120.0)]
    apart: f64,
}

impl Arguments {
    fn sizes(&self) -> Sizes {
        let Arguments {
            nodes,
            authors: publishers,
            relays,
            routes,
            tenants,
            ..
        } = *self;
        Sizes {
            nodes,
            publishers,
            relays,
            routes,
            tenants,
            ..Sizes::TARGET
        }
    }

    /// How this system differs from the default, as a prefix of the titles of its runs.
    fn variant(&self) -> String {
        let mut variant = String::new();
        if self.routes + self.tenants > 0 {
            variant += &format!("{} routes and {} tenants: ", self.routes, self.tenants);
        }
        if self.drift {
            variant += "clocks drift: ";
        }
        variant
    }
}

pub fn run_scenarios(arguments: &Arguments) -> Result<(), ScaleError> {
    let sizes = arguments.sizes();
    let before = resident_memory();
    let drift = if arguments.drift { DRIFT } else { 0.0 };
    let mut world = World::with_drift(sizes, links(), arguments.output.seed, drift)?;
    println!(
        "all relays have received all {} resources after {:.0} s",
        sizes.resources().count(),
        world.network.now()
    );
    world.ages = arguments.drift.then(Ages::default);
    world.network.measure_cpu(thread_cpu);
    let control_memory =
        (resident_memory() - before) / world.layout.control_machines().count() as f64;
    let loaded = resident_memory();
    let start = scenarios::start_all(&mut world);
    let memory = (resident_memory() - loaded) / f64::from(arguments.nodes);
    println!(
        "memory, including emulated disks: {:.1} MB per control machine, {:.3} MB per node",
        control_memory / 1e6,
        memory / 1e6
    );
    let run_of = |outcome: &Outcome| run(outcome, arguments, memory, control_memory);
    let mut runs = vec![run_of(&start)];
    print_outcome(&start, &runs[0]);
    for name in &arguments.plays {
        let outcome = run_scenario(&mut world, name, arguments)?;
        let run = run_of(&outcome);
        print_outcome(&outcome, &run);
        runs.push(run);
    }
    println!("undelivered frames: {:?}", world.network.undelivered());
    if sizes == Sizes::TARGET {
        runs.extend(baseline::runs(sizes));
    }
    arguments.output.write(runs)
}

fn run_scenario(
    world: &mut World,
    name: &str,
    arguments: &Arguments,
) -> Result<Outcome, ScaleError> {
    let rate = CHANGES_PER_DAY as f64 / SECONDS_PER_DAY;
    let seconds = arguments.seconds;
    Ok(match name {
        "day" => scenarios::steady_changes(world, "the day's rate", rate, seconds),
        "ten-days" => {
            scenarios::steady_changes(world, "ten times the day's rate", 10.0 * rate, seconds)
        }
        "burst" => scenarios::burst(world, 500),
        "one-resource" => scenarios::changes_of_one_resource(world, 500),
        "restarts" => scenarios::server_restarts(world, RESTARTS_PER_SECOND, seconds),
        "region" => scenarios::region_cold_start(world, REGION),
        "relay" => {
            let lost = [world.layout.relays()[0]];
            scenarios::control_machines_lost(world, "a relay lost", &lost, rate, seconds)
        }
        "half" => {
            let lost = half_of_control_machines(world);
            let name = format!(
                "{} of the {} control machines lost, the author among them",
                lost.len(),
                world.layout.control_machines().count()
            );
            scenarios::control_machines_lost(world, &name, &lost, rate, seconds)
        }
        "apart" => scenarios::region_partitioned(world, FAR_REGION, rate, arguments.apart),
        "author" => scenarios::publisher_partitioned(world, rate, seconds),
        "back" => scenarios::change_reverted(world, 10.0),
        "rack" => scenarios::nodes_lost(
            world,
            "a rack",
            Scope::Rack {
                zone: ZONE,
                rack: 0,
            },
            rate,
            seconds,
        ),
        "zone" => scenarios::nodes_lost(world, "a zone", Scope::Zone(ZONE), rate, seconds),
        "import" => scenarios::republish_tenants(world, 500, 4.0),
        "tenants-1" => scenarios::new_tenants(world, &tenant_nodes(world), 1.0, TENANT_SECONDS),
        "tenants-10" => scenarios::new_tenants(world, &tenant_nodes(world), 10.0, TENANT_SECONDS),
        "tenants-all" => scenarios::new_tenants(
            world,
            &tenant_nodes(world),
            REQUESTS_PER_SECOND,
            TENANT_SECONDS,
        ),
        _ => return Err(ScaleError::UnknownScenario(name.to_owned())),
    })
}

/// Half of the control machines, including the publisher that holds the lease.
fn half_of_control_machines(world: &World) -> Vec<u32> {
    let all: Vec<u32> = world.layout.control_machines().collect();
    let others = all
        .iter()
        .copied()
        .filter(|machine| Some(*machine) != world.leader());
    let others = others.skip(1).step_by(2).take(all.len() / 2 - 1);
    world.leader().into_iter().chain(others).collect()
}

/// The nodes that receive requests of tenants.
fn tenant_nodes(world: &World) -> Vec<u32> {
    let nodes = world.layout.nodes();
    let step = (nodes.len() / TENANT_NODES).max(1);
    nodes.step_by(step).take(TENANT_NODES).collect()
}

fn run(outcome: &Outcome, arguments: &Arguments, memory: f64, control_memory: f64) -> Run {
    let title = format!("{}{}", arguments.variant(), outcome.name);
    Run {
        name: format!("configuration: {title}"),
        source: Source::VirtualTime,
        size: size(arguments.sizes()),
        seconds: outcome.seconds,
        per_node: PerNode::of("configuration", &outcome.nodes, Some(memory)),
        in_force: outcome.apply_times,
        requests: None,
        read_bytes: None,
        played: Some(Played::of(title, outcome, control_memory)),
    }
}

fn print_outcome(outcome: &Outcome, run: &Run) {
    print(run, outcome.nodes.long_window_max);
    let Usage {
        bytes_in,
        bytes_out,
        cpu,
        ..
    } = outcome.control;
    println!(
        "    control machines: in {bytes_in:.0} B/s, out {bytes_out:.0} B/s, cpu {:.2} %; {} missing changes at nodes; {} violations",
        cpu * 100.0,
        outcome.missing,
        outcome.violation_count,
    );
    if let Some(Times { p50, p99, last }) = outcome.catch_up_times {
        println!("    catch-up time: p50 {p50:.2} p99 {p99:.2} max {last:.2} s");
    }
    if let Some(ages) = outcome.ages {
        println!("    staleness: {ages:?}");
    }
    outcome
        .violations
        .iter()
        .take(PRINTED_VIOLATIONS)
        .for_each(|violation| println!("    {violation}"));
}
