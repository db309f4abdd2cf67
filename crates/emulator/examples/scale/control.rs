//! Distribution of configuration over the target's control machines, and beside it what whole copies would cost.

use super::report::{resident, thread_cpu, Run, Size};
use super::Output;
use clap::Args;
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::baseline::{Contents, InForce, WholeCopies, DAY};
use reelfall_emulator::control::check::BUDGET;
use reelfall_emulator::control::layout::{Sizes, ITEMS};
use reelfall_emulator::control::plays::{self, Outcome};
use reelfall_emulator::control::times::Times;
use reelfall_emulator::control::world::{links, World};

/// Configuration changes of a day.
const CHANGES_A_DAY: usize = 13_000;
/// Times between two whole lists that a node asks for, in seconds.
const LISTS_EVERY: f64 = 60.0;
/// A region that holds more nodes than a quarter of them.
const REGION: u16 = 0;
/// A zone of that region.
const ZONE: u16 = 1;
/// A region without the author that holds the lease.
const FAR_REGION: u16 = 3;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Nodes of the fleet.
    #[arg(long, default_value_t = 6_000)]
    nodes: u32,
    /// What is played, in this order.
    #[arg(long, value_delimiter = ',', default_values_t = ["day", "ten-days", "burst", "region", "relay", "half", "apart", "author", "back", "zone"].map(str::to_owned))]
    plays: Vec<String>,
    /// How long steady rates are played, in seconds.
    #[arg(long, default_value_t = 300.0)]
    seconds: f64,
    /// How long regions are apart, in seconds.
    #[arg(long, default_value_t = 600.0)]
    apart: f64,
}

pub fn play(arguments: &Arguments) -> Result<(), String> {
    let sizes = Sizes { nodes: arguments.nodes, ..Sizes::TARGET };
    let before = resident();
    let mut world = World::new(sizes, links(), arguments.output.seed)?;
    world.network.measure_cpu(thread_cpu);
    let control_memory = resident() - before;
    let start = plays::start_all(&mut world);
    let memory = (resident() - before - control_memory) / f64::from(arguments.nodes);
    println!(
        "memory: {:.1} MB for all control machines, {:.3} MB a node",
        control_memory / 1e6,
        memory / 1e6
    );
    let mut runs = vec![run(&start, sizes, memory)];
    report(&start, &runs[0]);
    for name in &arguments.plays {
        let outcome = play_one(&mut world, name, arguments)?;
        let run = run(&outcome, sizes, memory);
        report(&outcome, &run);
        runs.push(run);
    }
    println!("not delivered: {:?}", world.network.undelivered());
    runs.extend(whole_copies(sizes));
    arguments.output.write(runs.iter().map(Run::to_json).collect())
}

fn play_one(world: &mut World, name: &str, arguments: &Arguments) -> Result<Outcome, String> {
    let rate = CHANGES_A_DAY as f64 / DAY;
    let seconds = arguments.seconds;
    Ok(match name {
        "day" => plays::steady(world, "day's rate", rate, seconds),
        "ten-days" => plays::steady(world, "ten times the day's rate", 10.0 * rate, seconds),
        "burst" => plays::burst(world, 500),
        "region" => plays::region_starts(world, REGION),
        "relay" => {
            let lost = [world.layout.relays()[0]];
            plays::control_lost(world, "a relay lost", &lost, rate, seconds)
        }
        "half" => {
            let lost = half(world);
            plays::control_lost(world, "half of the control machines lost", &lost, rate, seconds)
        }
        "apart" => plays::region_apart(world, FAR_REGION, rate, arguments.apart),
        "author" => plays::author_apart(world, rate, seconds),
        "back" => plays::taken_back(world, 10.0),
        "zone" => plays::zone_lost(world, ZONE, rate, seconds),
        _ => return Err(format!("there is no play {name}")),
    })
}

/// Every other control machine, with the author that writes.
fn half(world: &World) -> Vec<u32> {
    let all: Vec<u32> = world.layout.control().collect();
    let others = all.iter().copied().filter(|machine| Some(*machine) != world.leader());
    let others = others.skip(1).step_by(2).take(all.len() / 2 - 1);
    world.leader().into_iter().chain(others).collect()
}

fn size(sizes: Sizes) -> Size {
    Size {
        nodes: sizes.nodes as usize,
        services: sizes.services as usize,
        changes: CHANGES_A_DAY,
        ..Size::default()
    }
}

fn run(outcome: &Outcome, sizes: Sizes, memory: f64) -> Run<'static> {
    Run {
        name: format!("configuration: {}", outcome.name),
        source: "virtual-time",
        size: size(sizes),
        seconds: outcome.seconds,
        kind: "configuration",
        usage: outcome.nodes,
        memory,
        in_force: outcome.in_force,
    }
}

fn report(outcome: &Outcome, run: &Run) {
    run.print();
    let Usage { bytes_in, bytes_out, cpu, .. } = outcome.control;
    println!(
        "    control machines: in {bytes_in:.0} B/s, out {bytes_out:.0} B/s, cpu {:.2} %; {} of the changes' nodes without them; faults {}",
        cpu * 100.0,
        outcome.missing,
        outcome.faults.len(),
    );
    if let Some(Times { p50, p99, last }) = outcome.caught_up {
        println!("    had all again: p50 {p50:.2} p99 {p99:.2} last {last:.2} s");
    }
    outcome.faults.iter().take(5).for_each(|fault| println!("    {fault}"));
}

/// What whole copies need at the target, and of what is played here; by formulas.
fn whole_copies(sizes: Sizes) -> Vec<Run<'static>> {
    let played = Contents { servers: 0, services: sizes.services as usize, routes: 0, tenants: 0 };
    println!("whole copies, by formulas, {} resources of each service played above:", ITEMS.len());
    let mut runs = Vec::new();
    for (name, contents) in [("target", Contents::TARGET), ("services alone", played)] {
        for (rate_name, times) in [("day's rate", 1.0), ("ten times the day's rate", 10.0)] {
            let changes = times * CHANGES_A_DAY as f64 / DAY;
            let copies = WholeCopies { contents, changes, lists_every: LISTS_EVERY, budget: BUDGET };
            let without_lists = WholeCopies { lists_every: f64::INFINITY, ..copies };
            println!(
                "    {name}, {rate_name}: {:.1} MB a change, {:.0} B/s a node; in force {:?}, with the newest file alone and no lists {:?}",
                copies.bytes_of_one_change() / 1e6,
                copies.demand(),
                copies.in_force(),
                without_lists.in_force_coalesced(),
            );
            let in_force = match without_lists.in_force_coalesced() {
                InForce::Within { least, most } => {
                    Some(Times { p50: (least + most) / 2.0, p99: most, last: most })
                }
                InForce::Never => None,
            };
            let Contents { servers, services, routes, tenants } = contents;
            let size = Size { servers, services, routes, tenants, ..size(sizes) };
            runs.push(Run {
                name: format!("whole copies of settings, newest alone: {name}, {rate_name}"),
                source: "computation",
                size,
                seconds: 0.0,
                kind: "configuration",
                usage: Usage { bytes_in: without_lists.demand(), ..Usage::default() },
                memory: 0.0,
                in_force,
            });
        }
    }
    runs
}
