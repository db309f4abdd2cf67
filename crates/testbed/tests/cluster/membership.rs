//! Nodes that pause, restart during a partition, or have the name of another node.

use crate::fleets::{
    assert_no_violations, late_attempts, program, reserve_fleet, run_for,
    spec_with_short_slow_start, start, wait_until_attempted, wait_until_explained, SECOND,
};
use crate::ALL_NODES;
use reelfall_testbed::fleet::history::Event;
use reelfall_testbed::fleet::{queries, FleetSpec, TestFleet};
use std::time::Duration;

/// Text in the log line of a node whose name is in use by another process.
const NAME_CONFLICT: &str = "another process has this node's name";

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_node_neither_applies_nor_spreads_expired_bans() {
    let _reservation = reserve_fleet().await;
    let mut fleet = start(spec_with_short_slow_start()).await;
    // The paused node has no traffic: requests in flight during the pause would look like slow servers.
    let load = fleet.start_load_at(&[0, 1, 2, 3], 40.0, 0.2, 3);
    // It knows the first ban when it is paused; the second arrives in its receive buffer during the pause.
    fleet.ban_server(0, 0, Some(12)).await.unwrap();
    run_for(1.0).await;
    fleet.set_paused(4, true);
    fleet.ban_server(1, 1, Some(12)).await.unwrap();
    run_for(13.0).await;
    fleet.set_paused(4, false);
    let resumed_at = fleet.history.now();
    let load_after_pause = fleet.start_load_at(&[4], 40.0, 0.2, 4);
    for server in [0, 1] {
        wait_until_attempted(&fleet, server, &[4]).await;
    }
    let readmission_time = fleet.history.now() - resumed_at;
    assert!(
        readmission_time < Duration::from_secs(8),
        "expired bans were applied for {readmission_time:?}"
    );
    run_for(3.0).await;
    // No other node applied them as new bans: all other nodes kept sending attempts to both servers.
    for server in [0, 1] {
        let attempts = queries::attempts(
            &fleet.history.events(),
            server,
            resumed_at - SECOND,
            Duration::MAX,
            &[0, 1, 2, 3],
        );
        let gaps = attempts.windows(2).map(|pair| pair[1].at - pair[0].at);
        let longest = gaps.max().unwrap();
        assert!(
            longest < Duration::from_secs(6),
            "server {server} got no attempt for {longest:?}"
        );
    }
    load.stop().await;
    load_after_pause.stop().await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ban_by_a_node_restarted_during_a_partition_spreads_after_it() {
    let _reservation = reserve_fleet().await;
    let mut fleet = start(FleetSpec::default()).await;
    fleet.network().partition(&[4], &[0, 1, 2, 3], true);
    fleet.kill(4);
    fleet.start_node(4).await.unwrap();
    fleet.ban_server(4, 0, Some(300)).await.unwrap();
    run_for(6.0).await;
    fleet.network().heal();
    wait_until_explained(&fleet, "s0", "s0: out by hand").await;
    // The ban by the new incarnation is valid although the former one had the same name.
    let load = fleet.start_load(40.0, 0.2, 6);
    let since = fleet.history.now();
    run_for(3.0).await;
    assert_eq!(late_attempts(&fleet, 0, since, &ALL_NODES), []);
    load.stop().await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_processes_with_the_same_name_becomes_passive() {
    let _reservation = reserve_fleet().await;
    let spec = FleetSpec {
        node_count: 4,
        node_names: [(3, "n2".to_owned())].into(),
        ..spec_with_short_slow_start()
    };
    let fleet = TestFleet::start(&program(), &spec).await.unwrap();
    let load = fleet.start_load(40.0, 0.2, 22);
    fleet
        .wait_until("a node logs the name conflict", async |fleet| {
            conflicting_node(fleet).is_some()
        })
        .await
        .unwrap();
    let (passive, active) = if conflicting_node(&fleet) == Some(3) {
        (3, 2)
    } else {
        (2, 3)
    };
    assert!(
        fleet.ban_server(passive, 0, Some(300)).await.is_err(),
        "both processes accepted bans"
    );
    for (by, server) in [(active, 1), (0, 2)] {
        fleet.ban_server(by, server, Some(300)).await.unwrap();
        let since = fleet.history.now();
        run_for(2.5).await;
        assert_eq!(
            late_attempts(&fleet, server, since, &[0, 1, 2, 3]),
            [],
            "attempts at a banned server"
        );
    }
    load.stop().await;
    assert_no_violations(&fleet);
}

/// The first node that logged a name conflict.
fn conflicting_node(fleet: &TestFleet) -> Option<usize> {
    let events = fleet.history.events();
    events.iter().find_map(|entry| match &entry.event {
        Event::Logged { node, line } if line.contains(NAME_CONFLICT) => Some(*node),
        _ => None,
    })
}
