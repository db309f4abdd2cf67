//! The clusters and calls that the cases of this test share.

use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_emulator::together::{rules, World};

/// A cluster whose nodes all have each other as members.
pub fn gathered_world(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, seed, |_| rules());
    world.until(20.0, World::gathered);
    world
}

/// Whether a server is banned on each running node.
pub fn is_banned_on_all(world: &World, server: &str) -> bool {
    running_nodes(world).all(|node| world.out(node).contains(server))
}

/// Whether a server is banned on no running node.
pub fn is_banned_on_none(world: &World, server: &str) -> bool {
    running_nodes(world).all(|node| !world.out(node).contains(server))
}

fn running_nodes(world: &World) -> impl Iterator<Item = usize> + '_ {
    (0..world.nodes.len()).filter(|node| world.nodes[*node].is_some())
}

pub fn server(index: usize) -> ServerInstance {
    ServerInstance {
        name: format!("server-{index}"),
        since: 5,
    }
}

/// The names of the servers that a node considers faulty.
pub fn condemned_servers(world: &World, node: usize) -> Vec<String> {
    let process = world.nodes[node].as_ref().unwrap();
    let all = process
        .fleet
        .condemned_servers(process.clock(world.t), world.listed);
    all.into_iter()
        .map(|condemned| condemned.server.name)
        .collect()
}

/// Each of these nodes records this outcome of an attempt at each of these servers.
pub fn record_outcomes(
    world: &mut World,
    nodes: &[usize],
    servers: &[usize],
    outcome: AttemptOutcome,
) {
    for node in nodes {
        for index in servers {
            world.at(*node, |fleet, now| {
                fleet.record_outcome(now, &server(*index), outcome)
            });
        }
    }
}
