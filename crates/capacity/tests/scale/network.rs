//! Fleets of simulated and real nodes on sockets.

use crate::{PROGRAM, SIZE, TIMEOUT};
use reelfall_capacity::scale::discovery_stub::DiscoveryStub;
use reelfall_capacity::scale::fleet_state::{NodeState, ZONES};
use reelfall_capacity::scale::network::Network;
use reelfall_capacity::scale::real::{request_times, RealNodes};
use reelfall_capacity::scale::report::Traffic;
use reelfall_capacity::scale::schedule::{Rates, SECONDS_PER_DAY};
use reelfall_capacity::scale::window::{measure, wait_until_converged, Window};
use reelfall_testbed::scripted::Program;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest number of windows that are measured until one has a sampled datagram of the membership protocol.
const MAX_WINDOWS: u64 = 5;

fn network(nodes: usize) -> Network {
    let discovery = Arc::new(DiscoveryStub::new(SIZE.servers, SIZE.services));
    Network::start(nodes, discovery, 1, 2).expect("a network")
}

#[tokio::test(flavor = "multi_thread")]
async fn simulated_nodes_converge_and_apply_bans_and_lists() {
    let network = network(12);
    wait_until_converged(&network, 0, TIMEOUT)
        .await
        .expect("all nodes know each other");
    // Two bans and four restarts per second.
    let rates = Rates {
        changes: 2 * SECONDS_PER_DAY as usize,
        restarts: 4 * SECONDS_PER_DAY as usize,
    };
    let window = Window {
        name: "test",
        size: &SIZE,
        rates,
        seconds: 2.0,
        seed: 1,
    };
    let measured = measure(&network, &window).await.expect("figures");
    assert_eq!((measured.applied.bans, measured.applied.restarts), (4, 8));
    assert_eq!(measured.missing_bans, 0);
    let run = measured.run;
    assert_eq!(
        (run.size.changes, run.size.restarts),
        (rates.changes, rates.restarts)
    );
    let in_force = run.in_force.expect("bans");
    assert!(in_force.p50 <= in_force.p99 && in_force.p99 <= in_force.last);
    assert!(measured.list_propagation.is_some());
    let by_kind: BTreeMap<&str, &Traffic> = run
        .per_node
        .traffic
        .iter()
        .map(|traffic| (traffic.kind.as_str(), traffic))
        .collect();
    // No node receives an update twice.
    let updates = by_kind["list"].messages_in * run.seconds;
    assert!(updates > 0.0 && updates < 8.0 + 1e-6, "{updates}");
    assert!(by_kind["verdicts"].bytes_out > 0.0);
    let has_membership = by_kind["membership"].messages_out > 0.0;
    assert!(has_membership || samples_membership(&network, window).await);
    assert!(run.per_node.cpu > 0.0 && run.per_node.peak_bytes > 0.0 && measured.utilization > 0.0);
}

/// Measures further windows until one has a sampled datagram of the membership protocol. Returns whether one does. Only one
/// datagram in 16 is sampled, so a single window may have none by chance.
async fn samples_membership(network: &Network, window: Window<'_>) -> bool {
    for seed in 2..=MAX_WINDOWS {
        let window = Window { seed, ..window };
        let measured = measure(network, &window).await.expect("figures");
        let mut traffic = measured.run.per_node.traffic.iter();
        if traffic.any(|traffic| traffic.kind == "membership" && traffic.messages_out > 0.0) {
            return true;
        }
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn stopped_node_is_removed_and_restarted_node_is_added() {
    let network = network(ZONES);
    wait_until_converged(&network, 0, TIMEOUT)
        .await
        .expect("all nodes know each other");
    network.set_state(4, NodeState::Stopped);
    assert_eq!(network.running_nodes(), [0, 1, 2, 3, 5]);
    wait_until_converged(&network, 0, TIMEOUT)
        .await
        .expect("the other nodes have removed the stopped one");
    network.set_state(4, NodeState::Running);
    wait_until_converged(&network, 0, TIMEOUT)
        .await
        .expect("all nodes know each other again");
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zones_do_not_reach_each_other() {
    let network = network(2 * ZONES);
    let state = &network.state;
    let address = |node: usize| state.nodes[node].address;
    assert!(state.is_reachable(1, address(4)));
    network.set_partitioned(4, 1, true);
    assert!(!state.is_reachable(1, address(4)) && !state.is_reachable(4, address(1 + ZONES)));
    assert!(state.is_reachable(1, address(3)) && state.is_reachable(0, address(4)));
    let outside = SocketAddr::from(([127, 0, 0, 1], 9));
    assert!(state.is_reachable(1, outside));
    network.add_external(outside, 4);
    assert!(!state.is_reachable(1, outside));
    network.set_partitioned(1, 4, false);
    assert!(state.is_reachable(1, address(4)));
    assert_eq!(network.nodes_in_zones(1..3), [1, 2, 7, 8]);
}

#[tokio::test(flavor = "multi_thread")]
async fn real_nodes_join_the_simulated_ones_and_serve() {
    let network = network(ZONES);
    let program = Program::in_testbed(PROGRAM);
    let real = RealNodes::start(&program, 1, &network, SIZE.servers)
        .await
        .expect("a real node");
    wait_until_converged(&network, real.count(), TIMEOUT)
        .await
        .expect("all nodes know each other");
    let before = real.usage().expect("processor time");
    real.list_restart(5);
    let latency = real.load(1.0, 1).await.expect("response times");
    let run = real.run("requests", &SIZE, &before, 1.0).expect("figures");
    assert!(run.per_node.cpu > 0.0 && run.per_node.memory.is_some_and(|memory| memory > 0.0));
    let times = request_times(&[latency.clone(), latency.clone()], &[latency])
        .expect("times")
        .expect("some");
    assert_eq!(times.at_rest, times.under_changes);
    assert!(times.at_rest.p50 > 0.0 && times.at_rest.p50 <= times.at_rest.last);
    assert_eq!(request_times(&[], &[]).expect("times"), None);
}
