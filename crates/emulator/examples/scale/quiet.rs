//! Measures the cost and the contents of membership datagrams at rest, by time since all nodes have discovered each other.

use super::error::ScaleError;
use super::report::resident_memory;
use super::Output;
use clap::Args;
use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_emulator::cluster::{default_config, secret, Cluster};
use reelfall_emulator::control::account::Usage;
use reelfall_emulator::control::report::{PerNode, Run, Size, Source};
use reelfall_emulator::inspect::{DatagramStats, Inspector};

/// How long to wait for nodes to discover each other, in seconds.
const JOIN_TIMEOUT: f64 = 60.0;

#[derive(Args)]
pub struct Arguments {
    #[command(flatten)]
    output: Output,
    /// Number of nodes.
    #[arg(long, default_value_t = 1_500)]
    nodes: usize,
    /// Starts of the measured windows, in seconds after all nodes know each other.
    #[arg(long, value_delimiter = ',', default_values_t = [10.0, 30.0, 60.0, 120.0])]
    settle: Vec<f64>,
    /// Length of each window, in seconds.
    #[arg(long, default_value_t = 20.0)]
    window: f64,
}

pub fn run_windows(arguments: &Arguments) -> Result<(), ScaleError> {
    let before = resident_memory();
    let mut cluster = join(arguments);
    let joined = cluster.now;
    println!(
        "{} nodes: {} after {joined:.1} s",
        arguments.nodes,
        knowledge(&cluster)
    );
    let memory = (resident_memory() - before) / arguments.nodes as f64;
    let mut runs = Vec::new();
    for settle in &arguments.settle {
        let begin = joined + settle;
        if begin > cluster.now {
            cluster.run(begin - cluster.now);
        }
        let (before, false_positives) = (stats(&cluster), cluster.false_positives);
        cluster.run(arguments.window);
        let contents = stats(&cluster).since(&before);
        print_window(arguments, *settle, contents);
        println!(
            "    {}; {} running nodes falsely declared dead",
            knowledge(&cluster),
            cluster.false_positives - false_positives
        );
        runs.push(run(arguments, *settle, contents, memory));
    }
    arguments.output.write(runs)
}

/// Starts all nodes at once, and runs until they have discovered each other or the time limit is reached.
fn join(arguments: &Arguments) -> Cluster {
    let expected_nodes = arguments.nodes as u32;
    let config = move |_| Config {
        membership: MembershipConfig {
            expected_nodes,
            ..MembershipConfig::default()
        },
        ..default_config()
    };
    let mut cluster = Cluster::new(arguments.nodes, arguments.output.seed, config);
    cluster.inspector = Some(Inspector::new(secret()));
    while !cluster.is_converged() && cluster.now < JOIN_TIMEOUT {
        cluster.run(0.1);
    }
    cluster
}

fn stats(cluster: &Cluster) -> DatagramStats {
    cluster
        .inspector
        .as_ref()
        .map_or_else(DatagramStats::default, |inspector| inspector.stats)
}

/// Describes how many pairs of nodes know each other.
fn knowledge(cluster: &Cluster) -> String {
    let nodes = cluster.processes.len();
    let known: usize = (0..nodes).map(|node| cluster.member_count(node)).sum();
    format!("{known} of {} pairs know each other", nodes * (nodes - 1))
}

/// Converts a count within a window to a rate per node and second.
fn rate(arguments: &Arguments, count: u64) -> f64 {
    count as f64 / (arguments.nodes as f64 * arguments.window)
}

fn print_window(arguments: &Arguments, settle: f64, contents: DatagramStats) {
    println!(
        "{settle:>6.0} to {:.0} s: {:.2} datagrams/s, {:.0} B/s sent, of which {:.0} B/s for the membership protocol; \
         {:.2} members/s in anti-entropy responses, {:.2} entries/s",
        settle + arguments.window,
        rate(arguments, contents.datagrams),
        rate(arguments, contents.bytes),
        rate(arguments, contents.swim_bytes),
        rate(arguments, contents.members),
        rate(arguments, contents.entries),
    );
}

/// Creates the run of a window. Nothing is lost, so that nodes receive as much as they send.
fn run(arguments: &Arguments, settle: f64, contents: DatagramStats, memory: f64) -> Run {
    let (bytes, datagrams) = (
        rate(arguments, contents.bytes),
        rate(arguments, contents.datagrams),
    );
    let usage = Usage {
        bytes_in: bytes,
        bytes_out: bytes,
        messages_in: datagrams,
        messages_out: datagrams,
        ..Usage::default()
    };
    Run {
        name: format!("fleet at rest, from {settle:.0} s after joining on"),
        source: Source::VirtualTime,
        size: Size {
            nodes: arguments.nodes,
            ..Size::default()
        },
        seconds: arguments.window,
        per_node: PerNode::of("gossip", &usage, Some(memory)),
        in_force: None,
        requests: None,
        read_bytes: None,
        played: None,
    }
}
