//! Names under which nodes do not probe a condemned server.
//!
//! Which nodes probe a server follows from their names, the server's and the turn. A test of what nodes do that do not
//! probe has to choose the names, or it tests whatever the names at hand lead to.

use super::{name, server_name};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::is_prober;
use std::ops::RangeInclusive;

/// Turns in which a node with a chosen name does not probe, since its start.
const TURNS: u64 = 2;

/// Names for these nodes of a fleet under which none of them probes any of these servers in its first two turns, also
/// while it takes some of the others, but less than half, for gone.
pub fn names_that_never_probe(
    fleet: usize,
    nodes: &[usize],
    servers: &[usize],
) -> Vec<(usize, String)> {
    let servers: Vec<ServerInstance> = servers
        .iter()
        .map(|n| ServerInstance {
            name: server_name(*n),
            since: 0,
        })
        .collect();
    let members = fleet / 2 + 1..=fleet;
    let of_node = |n: usize| {
        let mut candidates = (0u32..).map(|suffix| format!("{}-{suffix}", name(n)));
        candidates
            .find(|name| !probes(name, &members, &servers))
            .unwrap_or_default()
    };
    nodes.iter().map(|n| (*n, of_node(*n))).collect()
}

/// Whether a node probes any of the servers, in a fleet of any of these sizes.
fn probes(node: &str, members: &RangeInclusive<usize>, servers: &[ServerInstance]) -> bool {
    let in_turn =
        |server: &ServerInstance, turn| members.clone().any(|n| is_prober(server, turn, node, n));
    servers
        .iter()
        .any(|server| (0..TURNS).any(|turn| in_turn(server, turn)))
}
