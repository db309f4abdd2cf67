//! Clusters and helper functions that several tests use.

use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_emulator::cluster::{default_config, Cluster};

/// A cluster in which every node has all others as members.
pub fn converged_cluster(nodes: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(nodes, seed, |_| default_config());
    cluster.run_until(20.0, Cluster::is_converged);
    cluster
}

/// Whether a server is banned on every running node.
pub fn is_banned_on_all(cluster: &Cluster, server: &str) -> bool {
    running_nodes(cluster).all(|node| cluster.banned_servers(node).contains(server))
}

/// Whether a server is banned on no running node.
pub fn is_banned_on_none(cluster: &Cluster, server: &str) -> bool {
    running_nodes(cluster).all(|node| !cluster.banned_servers(node).contains(server))
}

fn running_nodes(cluster: &Cluster) -> impl Iterator<Item = usize> + '_ {
    (0..cluster.processes.len()).filter(|node| cluster.processes[*node].is_some())
}

pub fn server(index: usize) -> ServerInstance {
    ServerInstance {
        name: format!("server-{index}"),
        started_ms: 5,
    }
}

/// The names of the servers that are ejected according to a node.
pub fn ejected_servers(cluster: &Cluster, node: usize) -> Vec<String> {
    let process = cluster.processes[node].as_ref().unwrap();
    let all = process
        .fleet
        .ejected_servers(process.local_time(cluster.now), cluster.listed_servers);
    all.into_iter().map(|ejected| ejected.server.name).collect()
}

/// Records one attempt of each of `nodes` at each of `servers`, with the same outcome.
pub fn record_outcomes(
    cluster: &mut Cluster,
    nodes: &[usize],
    servers: &[usize],
    outcome: AttemptOutcome,
) {
    for node in nodes {
        for index in servers {
            cluster.with_node(*node, |fleet, now| {
                fleet.record_outcome(now, &server(*index), outcome)
            });
        }
    }
}
