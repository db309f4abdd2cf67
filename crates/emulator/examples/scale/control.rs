//! Distribution of configuration over the target's control machines, and beside it what whole copies would cost.

use super::report::{print, resident, thread_cpu};
use super::Output;
use clap::Args;
use reelfall_distribution::DRIFT;
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::baseline::{Contents, InForce, WholeCopies, DAY};
use reelfall_emulator::control::check::BUDGET;
use reelfall_emulator::control::plays::{self, Outcome};
use reelfall_emulator::control::report::{PerNode, Played, Run, Size, Source};
use reelfall_emulator::control::sizes::Sizes;
use reelfall_emulator::control::times::Times;
use reelfall_emulator::control::topology::Scope;
use reelfall_emulator::control::world::{links, Ages, World};

/// Configuration changes of a day.
const CHANGES_A_DAY: usize = 13_000;
/// Restarts of servers a second, where a day's 18,000 fall within two hours.
const RESTARTS: f64 = 18_000.0 / 7_200.0;
/// Times between two whole lists that a node asks for, in seconds.
const LISTS_EVERY: f64 = 60.0;
/// A region that holds more nodes than a quarter of them.
const REGION: u16 = 0;
/// A zone of that region.
const ZONE: u16 = 1;
/// A region without the author that holds the lease.
const FAR_REGION: u16 = 3;
/// Nodes that meet tenants, spread over all of them.
const MEETING_NODES: usize = 60;
/// Tenants are met for so long, in seconds.
const MEETING_SECONDS: f64 = 10.0;
/// Requests a second at each node of the target: 1,700,000 over 6,000 nodes. Were all of tenants not met before, so many
/// would wait.
const REQUESTS: f64 = 283.0;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Nodes of the fleet.
    #[arg(long, default_value_t = Sizes::TARGET.nodes)]
    nodes: u32,
    /// Machines that can write.
    #[arg(long, default_value_t = Sizes::TARGET.authors)]
    authors: u32,
    /// Machines that serve nodes.
    #[arg(long, default_value_t = Sizes::TARGET.relays)]
    relays: u32,
    /// Routes that are resources of their own.
    #[arg(long, default_value_t = 0)]
    routes: u32,
    /// Tenants that are resources.
    #[arg(long, default_value_t = 0)]
    tenants: u32,
    /// Lets clocks run between the bounds that the distribution allows, and compares the ages that nodes state.
    #[arg(long)]
    drift: bool,
    /// What is played, in this order.
    #[arg(long, value_delimiter = ',', default_values_t = ["day", "ten-days", "burst", "one-resource", "back", "region", "relay", "rack", "zone", "half", "author", "apart"].map(str::to_owned))]
    plays: Vec<String>,
    /// How long steady rates are played, in seconds.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// How long regions are apart, in seconds.
    #[arg(long, default_value_t = 120.0)]
    apart: f64,
}

impl Arguments {
    fn sizes(&self) -> Sizes {
        let Arguments {
            nodes,
            authors,
            relays,
            routes,
            tenants,
            ..
        } = *self;
        Sizes {
            nodes,
            authors,
            relays,
            routes,
            tenants,
            ..Sizes::TARGET
        }
    }

    /// What is unlike in this system, for the names of its runs.
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

pub fn play(arguments: &Arguments) -> Result<(), String> {
    let sizes = arguments.sizes();
    let before = resident();
    let drift = if arguments.drift { DRIFT } else { 0.0 };
    let mut world = World::with_drift(sizes, links(), arguments.output.seed, drift)?;
    println!(
        "all relays have all {} resources after {:.0} s",
        sizes.resources().count(),
        world.network.now()
    );
    world.ages = arguments.drift.then(Ages::default);
    world.network.measure_cpu(thread_cpu);
    let control_memory = (resident() - before) / world.layout.control().count() as f64;
    let loaded = resident();
    let start = plays::start_all(&mut world);
    let memory = (resident() - loaded) / f64::from(arguments.nodes);
    println!(
        "memory, with what stands for the disks: {:.1} MB a control machine, {:.3} MB a node",
        control_memory / 1e6,
        memory / 1e6
    );
    let to_run = |outcome: &Outcome| run(outcome, arguments, memory, control_memory);
    let mut runs = vec![to_run(&start)];
    report(&start, &runs[0]);
    for name in &arguments.plays {
        let outcome = play_one(&mut world, name, arguments)?;
        let run = to_run(&outcome);
        report(&outcome, &run);
        runs.push(run);
    }
    println!("not delivered: {:?}", world.network.undelivered());
    if sizes == Sizes::TARGET {
        runs.extend(whole_copies(sizes));
    }
    arguments.output.write(runs)
}

fn play_one(world: &mut World, name: &str, arguments: &Arguments) -> Result<Outcome, String> {
    let rate = CHANGES_A_DAY as f64 / DAY;
    let seconds = arguments.seconds;
    Ok(match name {
        "day" => plays::steady(world, "the day's rate", rate, seconds),
        "ten-days" => plays::steady(world, "ten times the day's rate", 10.0 * rate, seconds),
        "burst" => plays::burst(world, 500),
        "one-resource" => plays::one_resource(world, 500),
        "restarts" => plays::restarts(world, RESTARTS, seconds),
        "region" => plays::region_starts(world, REGION),
        "relay" => {
            let lost = [world.layout.relays()[0]];
            plays::control_lost(world, "a relay lost", &lost, rate, seconds)
        }
        "half" => {
            let lost = half(world);
            let name = format!(
                "{} of the {} control machines lost, the author among them",
                lost.len(),
                world.layout.control().count()
            );
            plays::control_lost(world, &name, &lost, rate, seconds)
        }
        "apart" => plays::region_apart(world, FAR_REGION, rate, arguments.apart),
        "author" => plays::author_apart(world, rate, seconds),
        "back" => plays::taken_back(world, 10.0),
        "rack" => plays::nodes_lost(world, "a rack", Scope::Rack(ZONE, 0), rate, seconds),
        "zone" => plays::nodes_lost(world, "a zone", Scope::Zone(ZONE), rate, seconds),
        "import" => plays::import(world, 500, 4.0),
        "tenants-1" => plays::tenants_met(world, &meeting(world), 1.0, MEETING_SECONDS),
        "tenants-10" => plays::tenants_met(world, &meeting(world), 10.0, MEETING_SECONDS),
        "tenants-all" => plays::tenants_met(world, &meeting(world), REQUESTS, MEETING_SECONDS),
        _ => return Err(format!("there is no play {name}")),
    })
}

/// Every other control machine, with the author that writes.
fn half(world: &World) -> Vec<u32> {
    let all: Vec<u32> = world.layout.control().collect();
    let others = all
        .iter()
        .copied()
        .filter(|machine| Some(*machine) != world.leader());
    let others = others.skip(1).step_by(2).take(all.len() / 2 - 1);
    world.leader().into_iter().chain(others).collect()
}

/// Nodes that meet tenants.
fn meeting(world: &World) -> Vec<u32> {
    let nodes = world.layout.nodes();
    let step = (nodes.len() / MEETING_NODES).max(1);
    nodes.step_by(step).take(MEETING_NODES).collect()
}

fn size(sizes: Sizes) -> Size {
    Size {
        nodes: sizes.nodes as usize,
        services: sizes.services as usize,
        routes: sizes.routes as usize,
        tenants: sizes.tenants as usize,
        changes: CHANGES_A_DAY,
        ..Size::default()
    }
}

fn run(outcome: &Outcome, arguments: &Arguments, memory: f64, control_memory: f64) -> Run {
    let title = format!("{}{}", arguments.variant(), outcome.name);
    Run {
        name: format!("configuration: {title}"),
        source: Source::VirtualTime,
        size: size(arguments.sizes()),
        seconds: outcome.seconds,
        per_node: PerNode::of("configuration", &outcome.nodes, Some(memory)),
        in_force: outcome.in_force,
        requests: None,
        read_bytes: None,
        played: Some(Played::of(title, outcome, control_memory)),
    }
}

fn report(outcome: &Outcome, run: &Run) {
    print(run, outcome.nodes.long_most);
    let Usage {
        bytes_in,
        bytes_out,
        cpu,
        ..
    } = outcome.control;
    println!(
        "    control machines: in {bytes_in:.0} B/s, out {bytes_out:.0} B/s, cpu {:.2} %; {} of the changes' nodes without them; faults {}",
        cpu * 100.0,
        outcome.missing,
        outcome.faults_seen,
    );
    if let Some(Times { p50, p99, last }) = outcome.caught_up {
        println!("    had all again: p50 {p50:.2} p99 {p99:.2} last {last:.2} s");
    }
    if let Some(ages) = outcome.ages {
        println!("    ages: {ages:?}");
    }
    outcome
        .faults
        .iter()
        .take(5)
        .for_each(|fault| println!("    {fault}"));
}

/// What whole copies need at the target, and of what is played here; by formulas.
fn whole_copies(sizes: Sizes) -> Vec<Run> {
    let played = Contents {
        servers: 0,
        services: sizes.services as usize,
        routes: 0,
        tenants: 0,
    };
    println!("whole copies, by formulas:");
    let mut runs = Vec::new();
    for (name, contents) in [("target", Contents::TARGET), ("services alone", played)] {
        for (rate_name, times) in [("day's rate", 1.0), ("ten times the day's rate", 10.0)] {
            let changes = times * CHANGES_A_DAY as f64 / DAY;
            let copies = WholeCopies {
                contents,
                changes,
                lists_every: LISTS_EVERY,
                budget: BUDGET,
            };
            let without_lists = WholeCopies {
                lists_every: f64::INFINITY,
                ..copies
            };
            println!(
                "    {name}, {rate_name}: {:.1} MB a change, {:.0} B/s a node; in force {:?}, with the newest file alone and no lists {:?}",
                copies.bytes_of_one_change() / 1e6,
                copies.demand(),
                copies.in_force(),
                without_lists.in_force_coalesced(),
            );
            let in_force = match without_lists.in_force_coalesced() {
                InForce::Within { least, most } => Some(Times {
                    p50: (least + most) / 2.0,
                    p99: most,
                    last: most,
                }),
                InForce::Never => None,
            };
            let Contents {
                servers,
                services,
                routes,
                tenants,
            } = contents;
            let size = Size {
                servers,
                services,
                routes,
                tenants,
                ..size(sizes)
            };
            let usage = Usage {
                bytes_in: without_lists.demand(),
                ..Usage::default()
            };
            runs.push(Run {
                name: format!("whole copies of settings, newest alone: {name}, {rate_name}"),
                source: Source::Computation,
                size,
                seconds: 0.0,
                per_node: PerNode::of("configuration", &usage, None),
                in_force,
                requests: None,
                read_bytes: None,
                played: None,
            });
        }
    }
    runs
}
