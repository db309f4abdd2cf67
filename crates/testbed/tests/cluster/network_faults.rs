//! Partial partitions, unresponsive links, floods, full receive buffers, and datagrams that the system does not send.

use crate::fleets::{
    assert_no_violations, attempt_count, late_attempts, reserve_fleet, run_for,
    spec_with_short_slow_start, start, wait_until_attempted, wait_until_explained, SECOND,
};
use crate::ALL_NODES;
use reelfall_testbed::fleet::history::{Event, TimedEvent};
use reelfall_testbed::fleet::{queries, server_name, FleetSpec, ManagementResponse, TestFleet};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partial_partitions_separate_no_members() {
    /// Time in which a node would probe and suspect an unreachable member and declare it down, in seconds.
    const DETECTION_TIME: f64 = 9.0;
    let _reservation = reserve_fleet().await;
    let fleet = start(FleetSpec::default()).await;
    // Nodes 0 and 1 receive no datagrams from each other, and node 3 none from node 2; all reach node 4.
    fleet.network().partition(&[0], &[1], true);
    fleet.network().partition(&[2], &[3], false);
    let first_event = fleet.history.len();
    let load = fleet.start_load(40.0, 0.2, 21);
    wait_until_attempted(&fleet, 0, &ALL_NODES).await;
    run_for(DETECTION_TIME).await;
    assert!(
        !is_any_member_down(&fleet, first_event),
        "{}",
        fleet.history.tail(20)
    );
    for (node, server) in [(0, 0), (2, 1)] {
        fleet.ban_server(node, server, Some(300)).await.unwrap();
        let since = fleet.history.now();
        run_for(2.5).await;
        assert_eq!(
            late_attempts(&fleet, server, since, &ALL_NODES),
            [],
            "attempts at a banned server"
        );
    }
    load.stop().await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_links_and_a_flood_do_not_affect_other_nodes() {
    const FAULTY_NODE: usize = 5;
    const FLOODED_NODE: usize = 1;
    let _reservation = reserve_fleet().await;
    let mut fleet = start(FleetSpec {
        node_count: 6,
        ..FleetSpec::default()
    })
    .await;
    set_links_frozen(&fleet, FAULTY_NODE, true);
    let load = fleet.start_load(40.0, 0.2, 5);
    let from = fleet.history.now();
    for _ in 0..10 {
        fleet.network().flood(FLOODED_NODE, 2000).await;
        run_for(0.3).await;
    }
    run_for(4.0).await;
    let to = fleet.history.now();
    let events = fleet.history.events();
    // The reports of the faulty node eject no server at any time, and each is used.
    assert_eq!(ejection_lines(&events), Vec::<String>::new());
    for server in 0..fleet.servers.len() {
        assert_not_ejected(&fleet, server).await;
        let attempts = queries::attempts(&events, server, to - 4 * SECOND, to, &ALL_NODES);
        assert!(!attempts.is_empty(), "server {server} got no attempt");
    }
    set_links_frozen(&fleet, FAULTY_NODE, false);
    fleet.kill(FAULTY_NODE);
    load.stop().await;
    // A sixth of the requests was sent to the faulty node.
    let queries::ServedRatio { ratio, requests } =
        queries::served_ratio(&events, from, to - 5 * SECOND);
    assert!(ratio > 0.8, "{ratio} of {requests}");
    let ManagementResponse { body: members, .. } = fleet
        .call_management(FLOODED_NODE, "GET", "/-/fleet/members")
        .await
        .unwrap();
    for reason in ["not under this fleet's key", "repeated"] {
        assert!(members.contains(reason), "{members}");
    }
    fleet.ban_server(0, 0, None).await.unwrap();
    fleet
        .wait_until("a ban at the flooded node", async |fleet| {
            let response = fleet
                .call_management(FLOODED_NODE, "GET", "/-/fleet/servers/s0")
                .await
                .unwrap();
            response.body.contains("s0: out by hand")
        })
        .await
        .unwrap();
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_receive_buffer_and_failed_sends_do_not_prevent_a_ban() {
    const PAUSED_NODE: usize = 4;
    let _reservation = reserve_fleet().await;
    // The system refuses to send datagrams to a broadcast address.
    let seeds = (1..6)
        .map(|port| ([127, 255, 255, 255], port).into())
        .collect();
    let mut fleet = start(FleetSpec {
        seeds,
        ..spec_with_short_slow_start()
    })
    .await;
    fleet
        .wait_until("a failed send", has_failed_send)
        .await
        .unwrap();
    // The flood fills the receive buffer of the paused process, so later gossip is lost.
    fleet.set_paused(PAUSED_NODE, true);
    fleet.network().flood(PAUSED_NODE, 8000).await;
    fleet.ban_server(0, 0, Some(300)).await.unwrap();
    run_for(2.0).await;
    fleet.set_paused(PAUSED_NODE, false);
    wait_until_explained(&fleet, "s0", "s0: out by hand").await;
    let load = fleet.start_load(40.0, 0.2, 23);
    let since = fleet.history.now();
    run_for(3.0).await;
    assert_eq!(
        attempt_count(&fleet, 0, since, &ALL_NODES),
        0,
        "attempts at a banned server"
    );
    load.stop().await;
    assert_no_violations(&fleet);
}

/// Whether any node logged that a member is down, from an index of the history on.
fn is_any_member_down(fleet: &TestFleet, first_event: usize) -> bool {
    let events = fleet.history.events();
    events
        .iter()
        .skip(first_event)
        .any(|entry| matches!(&entry.event, Event::Logged { line, .. } if line.contains("is down")))
}

/// The log lines of nodes that applied an ejection.
fn ejection_lines(events: &[TimedEvent]) -> Vec<String> {
    let lines = events.iter().filter_map(|entry| match &entry.event {
        Event::Logged { node, line } if line.contains("is ejected") => {
            Some(format!("{:?} node {node}: {line}", entry.at))
        }
        _ => None,
    });
    lines.collect()
}

/// Asserts that no node explains the server's state as ejected. Nodes may drop log lines, but not this answer.
async fn assert_not_ejected(fleet: &TestFleet, server: usize) {
    let path = format!("/-/fleet/servers/{}", server_name(server));
    for node in ALL_NODES {
        let response = fleet.call_management(node, "GET", &path).await.unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(
            !response.body.contains("fails several nodes"),
            "node {node}: {}",
            response.body
        );
    }
}

/// Sets whether the links from a node to all servers forward nothing.
fn set_links_frozen(fleet: &TestFleet, node: usize, is_frozen: bool) {
    for server in 0..fleet.servers.len() {
        fleet
            .server_link(node, server)
            .update_faults(|faults| faults.is_frozen = is_frozen);
    }
}

/// Whether a node counts a datagram that the system did not send. False if a node asked before it does not respond.
async fn has_failed_send(fleet: &TestFleet) -> bool {
    for node in ALL_NODES {
        let response = fleet.call_management(node, "GET", "/-/fleet/members").await;
        let Ok(ManagementResponse { status: 200, body }) = response else {
            return false;
        };
        if !body.contains(" 0 not taken by the system") {
            return true;
        }
    }
    false
}
