//! The clusters and calls that the cases of this test share.

use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_emulator::cluster::{default_config, Cluster};

/// A cluster whose nodes all have each other as members.
pub fn gathered_world(nodes: usize, seed: u64) -> Cluster {
    let mut world = Cluster::new(nodes, seed, |_| default_config());
    world.run_until(20.0, Cluster::is_converged);
    world
}

/// Whether a server is banned on each running node.
pub fn is_banned_on_all(world: &Cluster, server: &str) -> bool {
    running_nodes(world).all(|node| world.banned_servers(node).contains(server))
}

/// Whether a server is banned on no running node.
pub fn is_banned_on_none(world: &Cluster, server: &str) -> bool {
    running_nodes(world).all(|node| !world.banned_servers(node).contains(server))
}

fn running_nodes(world: &Cluster) -> impl Iterator<Item = usize> + '_ {
    (0..world.processes.len()).filter(|node| world.processes[*node].is_some())
}

pub fn server(index: usize) -> ServerInstance {
    ServerInstance {
        name: format!("server-{index}"),
        started_ms: 5,
    }
}

/// The names of the servers that a node considers faulty.
pub fn ejected_servers(world: &Cluster, node: usize) -> Vec<String> {
    let process = world.processes[node].as_ref().unwrap();
    let all = process
        .fleet
        .ejected_servers(process.local_time(world.now), world.listed_servers);
    all.into_iter().map(|ejected| ejected.server.name).collect()
}

/// Each of these nodes records this outcome of an attempt at each of these servers.
pub fn record_outcomes(
    world: &mut Cluster,
    nodes: &[usize],
    servers: &[usize],
    outcome: AttemptOutcome,
) {
    for node in nodes {
        for index in servers {
            world.with_node(*node, |fleet, now| {
                fleet.record_outcome(now, &server(*index), outcome)
            });
        }
    }
}
