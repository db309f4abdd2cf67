//! Names that tests choose for nodes that are not to probe a server.

use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::quorum::is_prober;
use reelfall_testbed::fleet::probers::names_that_never_probe;
use reelfall_testbed::fleet::server_name;

const NODES: usize = 7;

fn probes(name: &str) -> bool {
    let server = ServerInstance {
        name: server_name(0),
        since: 0,
    };
    let in_turn =
        |turn| (NODES / 2 + 1..=NODES).any(|members| is_prober(&server, turn, name, members));
    (0..2).any(in_turn)
}

#[test]
fn nodes_of_the_chosen_names_probe_in_no_turn_that_a_test_reaches() {
    let all: Vec<usize> = (0..NODES).collect();
    let named = names_that_never_probe(NODES, &all, &[0]);
    assert_eq!(named.keys().copied().collect::<Vec<_>>(), all);
    assert!(named.values().all(|name| !probes(name)), "{named:?}");
    // The names that nodes have otherwise do not keep to it, so that the choice is what does.
    assert!(all.iter().any(|n| probes(&format!("n{n}"))));
}
