//! What a fleet costs once nodes have joined and nothing happens, by how long it has been left alone, and what its datagrams
//! contain. `cargo run --release -p reelfall-emulator --example quiet -- --nodes 1500 --settle 10,30,60,120`

use clap::Parser;
use reelfall_emulator::inspect::{Contents, Inspector};
use reelfall_emulator::together::{rules, secret, World};
use reelfall_fleet::fleet::Config;
use reelfall_fleet::members::MembershipConfig;

/// Joining is waited for so long at most, in seconds.
const JOIN_WAIT: f64 = 60.0;

#[derive(Parser)]
struct Arguments {
    /// Nodes of the fleet.
    #[arg(long, default_value_t = 1_500)]
    nodes: usize,
    /// When windows begin, in seconds after the joining was waited for.
    #[arg(long, value_delimiter = ',', default_values_t = [10.0, 30.0, 60.0, 120.0])]
    settle: Vec<f64>,
    /// Length of each window, in seconds.
    #[arg(long, default_value_t = 20.0)]
    window: f64,
    /// The seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() {
    let arguments = Arguments::parse();
    let size = arguments.nodes as u32;
    let config =
        move |_| Config { membership: MembershipConfig { size, ..MembershipConfig::default() }, ..rules() };
    let mut world = World::new(arguments.nodes, arguments.seed, config);
    world.inspector = Some(Inspector::new(secret()));
    while !world.gathered() && world.t < JOIN_WAIT {
        world.run(0.1);
    }
    let joined = world.t;
    println!("{} nodes: {} after {joined:.1} s", arguments.nodes, knowledge(&world));
    for settle in &arguments.settle {
        let begin = joined + settle;
        if begin > world.t {
            world.run(begin - world.t);
        }
        let (before, gone) = (seen(&world), world.wrongly_gone);
        world.run(arguments.window);
        let contents = seen(&world).since(&before);
        print_window(&arguments, world.t - joined, contents);
        println!(
            "    {}; {} times one was wrongly taken for gone",
            knowledge(&world),
            world.wrongly_gone - gone
        );
    }
}

fn seen(world: &World) -> Contents {
    world.inspector.as_ref().map_or_else(Contents::default, |inspector| inspector.seen)
}

/// How many pairs of nodes know each other.
fn knowledge(world: &World) -> String {
    let nodes = world.nodes.len();
    let known: usize = (0..nodes).map(|node| world.members(node)).sum();
    format!("{known} of {} pairs know each other", nodes * (nodes - 1))
}

fn print_window(arguments: &Arguments, end: f64, contents: Contents) {
    let node_seconds = arguments.nodes as f64 * arguments.window;
    let rate = |count: u64| count as f64 / node_seconds;
    println!(
        "{:>6.0} to {end:.0} s: {:.2} datagrams/s, {:.0} B/s out, of them {:.0} B/s of the membership protocol; \
         {:.2} members/s in answers, {:.2} entries/s",
        end - arguments.window,
        rate(contents.datagrams),
        rate(contents.bytes),
        rate(contents.swim_bytes),
        rate(contents.members),
        rate(contents.entries),
    );
}
