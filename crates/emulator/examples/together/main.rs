//! How fast bans are disseminated in a cluster, what that costs, and which nodes are declared dead by mistake, in virtual
//! time. `cargo run --release -p reelfall-emulator --example together -- [seeds] [nodes...]`, or `members` for how soon dead
//! nodes are detected, and how impaired nodes affect the others.

mod arguments;
mod detection;
mod dissemination;
mod storm;

use arguments::{ArgumentError, Arguments};
use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_emulator::cluster::{default_config, Cluster};

/// Loss of links for which dissemination is measured.
const LOSSES: [f64; 4] = [0.0, 0.01, 0.05, 0.2];
/// Sizes of clusters for which detection is measured.
const DETECTION_SIZES: [usize; 3] = [30, 128, 300];
/// Nodes that are killed for a mean time of detection.
const KILLED_NODES: usize = 20;
/// Size of the cluster with impaired nodes.
const IMPAIRED_SIZE: usize = 128;
/// Nodes that join at once, and how many of them are killed at once.
const STORM_SIZE: usize = 500;
const STORM_KILLED: usize = 300;

/// A cluster with this membership configuration and otherwise the default one.
fn cluster_with(nodes: usize, seed: u64, membership: MembershipConfig) -> Cluster {
    Cluster::new(nodes, seed, move |_| Config {
        membership,
        ..default_config()
    })
}

/// The membership configuration of a cluster of this size.
fn membership(nodes: usize) -> MembershipConfig {
    MembershipConfig {
        expected_nodes: nodes as u32,
        ..MembershipConfig::default()
    }
}

fn main() -> Result<(), ArgumentError> {
    match Arguments::from_command_line(std::env::args().skip(1))? {
        Arguments::Members => print_members(),
        Arguments::Dissemination { seeds, sizes } => print_dissemination(seeds, &sizes),
    }
    Ok(())
}

fn print_members() {
    for nodes in DETECTION_SIZES {
        let detection::DetectionTimes { first, last } = detection::measure(nodes, KILLED_NODES, 1);
        println!("{nodes} nodes: one that ends is taken for gone after {first:.2} s by the first, {last:.2} s by the last (means of 20)");
    }
    detection::print_impaired(IMPAIRED_SIZE);
}

fn print_dissemination(seeds: usize, sizes: &[usize]) {
    println!("nodes loss seed  p50 s  p99 s  last s | quiet/s bytes/s | busy/s bytes/s | wrongly gone/node/min broken");
    for nodes in sizes {
        for loss in LOSSES {
            for seed in 0..seeds as u64 {
                let figures = dissemination::measure(*nodes, loss, seed + 1);
                figures.print(*nodes, loss, seed);
            }
        }
    }
    storm::print(STORM_SIZE, STORM_KILLED, 1);
}
