//! Names under which nodes do not probe an ejected server.
//!
//! Which nodes probe a server depends on their names, the server's name and the turn. Tests that need nodes which do not
//! probe choose the names with [`names_that_never_probe`], since some of the default names probe.

use super::{node_name, server_name};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::is_prober;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Number of turns since the start of a node in which it does not probe under a chosen name.
const TURNS_WITHOUT_PROBE: u64 = 2;

/// Returns names for these nodes under which none of them probes any of these servers in its first two turns, whether it
/// considers all nodes alive or only a majority of them.
pub fn names_that_never_probe(
    node_count: usize,
    nodes: &[usize],
    servers: &[usize],
) -> BTreeMap<usize, String> {
    let servers: Vec<ServerInstance> = servers
        .iter()
        .map(|server| ServerInstance {
            name: server_name(*server),
            started_ms: 0,
        })
        .collect();
    let live_nodes = node_count / 2 + 1..=node_count;
    let name_of = |node: usize| {
        let mut candidates = (0u32..).map(|suffix| format!("{}-{suffix}", node_name(node)));
        candidates
            .find(|name| !probes_any(name, &live_nodes, &servers))
            .unwrap_or_default()
    };
    nodes.iter().map(|node| (*node, name_of(*node))).collect()
}

/// Whether a node of this name probes any of the servers with any of these numbers of live nodes.
fn probes_any(node: &str, live_nodes: &RangeInclusive<usize>, servers: &[ServerInstance]) -> bool {
    let probes = |server: &ServerInstance, turn| {
        live_nodes
            .clone()
            .any(|count| is_prober(server, turn, node, count))
    };
    servers
        .iter()
        .any(|server| (0..TURNS_WITHOUT_PROBE).any(|turn| probes(server, turn)))
}
