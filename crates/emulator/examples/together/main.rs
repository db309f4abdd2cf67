//! Measures cluster membership and gossip in virtual time: how fast bans are disseminated, the traffic for that, and how
//! often nodes are falsely declared dead.
//!
//! `cargo run --release -p reelfall-emulator --example together -- [seeds] [nodes...]`; with `members` instead of numbers, it
//! measures how soon dead nodes are detected and how impaired nodes affect others.

mod arguments;
mod detection;
mod dissemination;
mod mass_join;

use arguments::{ArgumentError, Arguments};
use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_emulator::cluster::{default_config, Cluster};

/// Loss rates of links for which dissemination is measured.
const LOSSES: [f64; 4] = [0.0, 0.01, 0.05, 0.2];
/// Sizes of clusters for which detection is measured.
const DETECTION_SIZES: [usize; 3] = [30, 128, 300];
/// Number of nodes that are killed to measure the mean detection time.
const KILLED_NODES: usize = 20;
/// Size of the clusters with impaired nodes.
const IMPAIRED_SIZE: usize = 128;
/// Number of nodes that join at once.
const MASS_JOIN_SIZE: usize = 500;
/// Number of these nodes that are killed at once.
const MASS_JOIN_KILLED: usize = 300;

/// A cluster with this membership configuration and defaults otherwise.
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
        println!("{nodes} nodes: a dead node is detected after {first:.2} s by the first, {last:.2} s by the last node (means of 20)");
    }
    detection::print_impaired(IMPAIRED_SIZE);
}

fn print_dissemination(seeds: usize, sizes: &[usize]) {
    println!("nodes loss seed  p50 s  p99 s  last s |  rest/s bytes/s | bans/s bytes/s | false deaths/node/min violations");
    for nodes in sizes {
        for loss in LOSSES {
            for seed in 0..seeds as u64 {
                let figures = dissemination::measure(*nodes, loss, seed + 1);
                figures.print(*nodes, loss, seed);
            }
        }
    }
    mass_join::print(MASS_JOIN_SIZE, MASS_JOIN_KILLED, 1);
}
