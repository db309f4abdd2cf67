//! Names that tests choose for nodes which are not to probe a server.

use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::is_prober;
use reelfall_testbed::fleet::probers::names_that_never_probe;
use reelfall_testbed::fleet::server_name;

const NODE_COUNT: usize = 7;
/// The smallest number of members that a node of this cluster may know of while it has a quorum.
const MIN_MEMBERS: usize = NODE_COUNT / 2 + 1;
/// Turns that a test reaches.
const TURN_COUNT: u64 = 2;

/// Whether a node of this name probes the server in any of the first turns, however many members it knows of.
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
    // Some of the default names probe, so that the choice makes the difference.
    assert!(nodes.iter().any(|node| probes(&format!("n{node}"))));
}
