//! Measures a cluster in which hundreds of nodes join at once, and more than half of them are later killed at once.

use super::{cluster_with, membership};
use reelfall_emulator::cluster::Cluster;

/// How long to wait for nodes to discover each other, in seconds.
const JOIN_TIMEOUT: f64 = 120.0;
/// Interval at which this is checked, in seconds.
const JOIN_POLL_INTERVAL: f64 = 0.1;
/// Fraction of pairs of nodes that know each other beyond which nearly all nodes have joined.
const NEARLY_ALL: f64 = 0.99;
/// How long the cluster settles before nodes are killed, in seconds.
const SETTLE_SECONDS: f64 = 5.0;
/// How long to wait for the other nodes to detect the deaths, in seconds.
const DETECTION_TIMEOUT: f64 = 300.0;
/// Interval at which this is checked, in seconds.
const DETECTION_POLL_INTERVAL: f64 = 0.5;

/// Prints how long it takes until all running nodes know each other after the join, and after the deaths.
pub fn print(nodes: usize, killed: usize, seed: u64) {
    let mut cluster = cluster_with(nodes, seed, membership(nodes));
    join(&mut cluster, nodes);
    cluster.run(SETTLE_SECONDS);
    (0..killed).for_each(|index| cluster.kill(nodes - 1 - index));
    detect(&mut cluster, killed);
}

fn join(cluster: &mut Cluster, nodes: usize) {
    let (mut nearly_joined_at, mut now) = (None, 0.0);
    while !cluster.is_converged() && cluster.now < JOIN_TIMEOUT {
        cluster.run(JOIN_POLL_INTERVAL);
        now = cluster.now;
        if known_pair_fraction(cluster) > NEARLY_ALL {
            nearly_joined_at.get_or_insert(now);
        }
    }
    println!(
        "{nodes} join at once: 99 % of all pairs know each other after {:.1} s, all after {now:.1} s; {:.1} datagrams per node and second",
        nearly_joined_at.unwrap_or(f64::NAN),
        cluster.datagrams_sent as f64 / nodes as f64 / now
    );
}

fn known_pair_fraction(cluster: &Cluster) -> f64 {
    let running: Vec<usize> = (0..cluster.processes.len())
        .filter(|node| cluster.processes[*node].is_some())
        .collect();
    let others = running.len() - 1;
    let known: usize = running
        .iter()
        .map(|node| cluster.member_count(*node).min(others))
        .sum();
    known as f64 / (running.len() * others) as f64
}

fn detect(cluster: &mut Cluster, killed: usize) {
    let (killed_at, before) = (cluster.now, cluster.false_positives);
    while !cluster.is_converged() && cluster.now - killed_at < DETECTION_TIMEOUT {
        cluster.run(DETECTION_POLL_INTERVAL);
    }
    let elapsed = cluster.now - killed_at;
    let false_positives = cluster.false_positives - before;
    println!("{killed} are killed at once: all remaining nodes know after {elapsed:.1} s; {false_positives} false detections of running nodes");
}
