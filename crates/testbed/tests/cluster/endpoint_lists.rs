//! Verdicts and bans while nodes have different versions of the endpoint list.

use crate::fleets::{
    assert_no_violations, attempt_count, reserve_fleet, run_for, spec_with_short_slow_start, start,
    wait_until_attempted, wait_until_ejected, wait_until_errors_reported, wait_until_explained,
};
use reelfall_testbed::discovery::{ListedServer, ServerStatus};
use reelfall_testbed::fleet::history::{Event, TimedEvent};
use reelfall_testbed::fleet::probers::names_that_never_probe;
use reelfall_testbed::fleet::{server_name, FleetSpec, TestFleet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const ALL_NODES: [usize; 7] = [0, 1, 2, 3, 4, 5, 6];
/// Nodes with traffic that use the first discovery service, whose list is updated first.
const AHEAD: [usize; 4] = [0, 2, 4, 6];
/// Nodes with traffic that use the second discovery service, whose list lags behind.
const BEHIND: [usize; 2] = [1, 3];
/// A node that uses the second discovery service and has no traffic at first.
const IDLE: usize = 5;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verdicts_and_bans_hold_while_endpoint_lists_disagree() {
    let _reservation = reserve_fleet().await;
    let fleet_settings = Some("verdicts = { trial_every = \"60s\", lasts = \"60s\" }".to_owned());
    // No node probes the server: a successful probe would withdraw one of the three reports that eject it.
    let node_names = names_that_never_probe(ALL_NODES.len(), &ALL_NODES, &[0]);
    let fleet = start(FleetSpec {
        node_count: ALL_NODES.len(),
        server_count: 6,
        discovery_count: 2,
        fleet_settings,
        node_names,
        ..spec_with_short_slow_start()
    })
    .await;
    // A server is replaced by one with the same name and address. The first list has the new server, which fails.
    let replacement = restarted_server(&fleet, 0, ServerStatus::Active);
    fleet.discoveries[0].update(std::slice::from_ref(&replacement));
    run_for(0.5).await;
    let is_lag = |event: &Event| matches!(event, Event::Logged { node: 1, line } if line.contains("has index 1 here and 2 at other nodes"));
    fleet.history.wait_for(0, is_lag).await.unwrap();
    fleet.servers[0].update_behavior(|behavior| behavior.error_ratio = 1.0);
    // The rate is low because nodes that lack processor time report all servers as slow, and then send to any.
    let load = fleet.start_load_at(&AHEAD, 20.0, 0.2, 27);
    wait_until_explained(&fleet, "s0", "fails several nodes").await;
    wait_until_errors_reported(&fleet, "s0", 3).await;
    wait_until_ejected(&fleet, 0, &AHEAD).await;
    // Nodes that know only the former server do not eject it.
    fleet.servers[0].update_behavior(|behavior| behavior.error_ratio = 0.0);
    let load_behind = fleet.start_load_at(&BEHIND, 20.0, 0.2, 28);
    wait_until_attempted(&fleet, 0, &BEHIND).await;
    // The second list is updated: the verdict applies at once, also at a node that has observed no failure.
    fleet.discoveries[1].update(&[replacement]);
    run_for(1.0).await;
    let since = fleet.history.now();
    let load_at_idle = fleet.start_load_at(&[IDLE], 40.0, 0.2, 29);
    wait_until_attempted(&fleet, 1, &[IDLE]).await;
    wait_until_requested(&fleet, since, IDLE, 150).await;
    assert_eq!(
        attempt_count(&fleet, 0, since, &[IDLE]),
        0,
        "attempts at an ejected server\n{}",
        fleet.history.tail(20)
    );

    // A banned server stays banned when an updated list has a restarted server of that name.
    fleet.ban_server(0, 1, None).await.unwrap();
    run_for(1.5).await;
    let since = fleet.history.now();
    fleet.discoveries[1].update(&[restarted_server(&fleet, 1, ServerStatus::Active)]);
    run_for(6.0).await;
    assert_eq!(
        attempt_count(&fleet, 1, since, &ALL_NODES),
        0,
        "attempts at a banned server after an update of the list"
    );
    // A server that one list marks as draining drains at the nodes with that list; lifting a ban does not readmit it.
    fleet.discoveries[0].update(&[restarted_server(&fleet, 2, ServerStatus::Draining)]);
    run_for(0.6).await;
    fleet.lift_ban(1, 2).await.unwrap();
    let since = fleet.history.now();
    run_for(6.0).await;
    assert_eq!(
        attempt_count(&fleet, 2, since, &AHEAD),
        0,
        "attempts at a draining server"
    );
    assert!(
        attempt_count(&fleet, 2, since, &BEHIND) > 0,
        "the server is not draining in the second list, but got no attempts"
    );
    for load in [load, load_behind, load_at_idle] {
        load.stop().await;
    }
    assert_no_violations(&fleet);
}

/// Waits until clients have sent a number of requests to a node since a time.
async fn wait_until_requested(fleet: &TestFleet, since: Duration, node: usize, requests: usize) {
    let is_counted = |TimedEvent { at, event }: &&TimedEvent| {
        *at >= since && matches!(event, Event::RequestSent { node: to, .. } if *to == node)
    };
    fleet
        .wait_until("requests at a node", async |fleet| {
            fleet.history.events().iter().filter(is_counted).count() >= requests
        })
        .await
        .unwrap();
}

/// A list entry of a server that has just restarted at its former address.
fn restarted_server(fleet: &TestFleet, server: usize, status: ServerStatus) -> ListedServer {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let since_ms = now.as_millis() as u64;
    ListedServer {
        status,
        since_ms,
        ..ListedServer::active(&server_name(server), fleet.servers[server].address)
    }
}
