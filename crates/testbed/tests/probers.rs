//! Names that tests choose for nodes that must not probe a server.

use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::is_prober;
use reelfall_testbed::fleet::probers::names_that_never_probe;
use reelfall_testbed::fleet::server_name;

const NODE_COUNT: usize = 7;
/// Smallest number of members that a node may consider alive while it has a quorum.
const MIN_MEMBERS: usize = NODE_COUNT / 2 + 1;
/// Number of turns that a test may reach.
const TURN_COUNT: u64 = 2;

/// Whether a node of this name probes the server in any of the first turns, with any number of live members.
fn probes(node_name: &str) -> bool {
    let server = ServerInstance {
        name: server_name(0),
        started_ms: 0,
    };
    let probes_in_turn = |turn| {
        (MIN_MEMBERS..=NODE_COUNT).any(|members| is_prober(&server, turn, node_name, members))
    };
    (0..TURN_COUNT).any(probes_in_turn)
}

#[test]
fn chosen_names_never_probe() {
    let nodes: Vec<usize> = (0..NODE_COUNT).collect();
    let names = names_that_never_probe(NODE_COUNT, &nodes, &[0]);
    assert_eq!(names.keys().copied().collect::<Vec<_>>(), nodes);
    assert!(names.values().all(|name| !probes(name)), "{names:?}");
    // Some of the default names probe, so the choice of names matters.
    assert!(nodes.iter().any(|node| probes(&format!("n{node}"))));
}
