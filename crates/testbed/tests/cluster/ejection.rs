//! Outlier ejection by a quorum of nodes: detection time, limit of ejected servers, and readmission.

use crate::fleets::{
    assert_no_violations, attempt_count, reserve_fleet, run_for, spec_with_short_slow_start, start,
    wait_until_attempted, wait_until_ejected, wait_until_explained, SECOND,
};
use reelfall_cluster::quorum::Quorum;
use reelfall_testbed::fleet::history::{Event, TimedEvent};
use reelfall_testbed::fleet::probers::names_that_never_probe;
use reelfall_testbed::fleet::schedule::{execute, Step};
use reelfall_testbed::fleet::{queries, FleetSpec, TestFleet};
use std::collections::BTreeSet;
use std::time::Duration;

/// What a node logs when it ejects a server.
const EJECTED: &str = "is ejected, a quorum";
/// What a node logs when it readmits a server.
const READMITTED: &str = "is no longer ejected";
/// Nodes with traffic from the start, in fleets of six.
const BUSY: [usize; 4] = [0, 1, 2, 3];
/// Nodes without traffic at first.
const IDLE: [usize; 2] = [4, 5];
/// A server that is not ejected gets more attempts than this in two seconds; an ejected one gets one probe per second.
const MAX_PROBES: usize = 8;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_ejected_by_a_quorum_is_avoided_by_nodes_without_traffic() {
    let _reservation = reserve_fleet().await;
    // The prober of the server does not change during the test and is not one of the idle nodes.
    let fleet_settings = Some("verdicts = { trial_every = \"60s\" }".to_owned());
    let node_names = names_that_never_probe(6, &IDLE, &[0]);
    let fleet = start(FleetSpec {
        node_count: 6,
        server_count: 8,
        fleet_settings,
        node_names,
        ..FleetSpec::default()
    })
    .await;
    let load = fleet.start_load_at(&BUSY, 60.0, 0.2, 4);
    wait_until_attempted(&fleet, 0, &BUSY).await;
    fleet.servers[0].update_behavior(|behavior| behavior.error_ratio = 1.0);
    let failing_since = fleet.history.now();
    wait_until_explained(&fleet, "s0", "fails several nodes").await;
    let detection_time = fleet.history.now() - failing_since;
    assert!(
        detection_time < Duration::from_secs(8),
        "{detection_time:?}"
    );
    wait_until_ejected(&fleet, 0, &IDLE).await;
    // The idle nodes, which have observed no failure, send it no attempts once they have traffic.
    let since = fleet.history.now();
    let load_at_idle = fleet.start_load_at(&IDLE, 100.0, 0.2, 5);
    wait_until_attempted(&fleet, 1, &IDLE).await;
    run_for(1.0).await;
    let attempts = queries::attempts(&fleet.history.events(), 0, since, Duration::MAX, &IDLE);
    assert_eq!(
        attempts,
        [],
        "attempts at an ejected server\n{}",
        fleet.history.tail(20)
    );
    // The server responds again: the prober detects this or the verdict expires, and all nodes send it attempts.
    fleet.servers[0].update_behavior(|behavior| behavior.error_ratio = 0.0);
    wait_until_explained(&fleet, "s0", "not condemned").await;
    wait_until_attempted(&fleet, 0, &IDLE).await;
    load_at_idle.stop().await;
    // Nodes that have observed its failures send it about one of 200 requests, so their load is increased.
    let more_load = fleet.start_load_at(&BUSY, 60.0, 0.2, 6);
    wait_until_attempted(&fleet, 0, &BUSY).await;
    load.stop().await;
    more_load.stop().await;
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ejection_is_limited_when_most_servers_fail() {
    const ALL_NODES: [usize; 6] = [0, 1, 2, 3, 4, 5];
    const SERVER_COUNT: usize = 8;
    let _reservation = reserve_fleet().await;
    let mut fleet = start(FleetSpec {
        node_count: ALL_NODES.len(),
        server_count: SERVER_COUNT,
        ..spec_with_short_slow_start()
    })
    .await;
    let load = fleet.start_load(50.0, 0.0, 24);
    run_for(2.0).await;
    // Two of eight servers fail. At most a fifth of the list is ejected, over all services: one server.
    let first_event = fleet.history.len();
    set_failures(&mut fleet, 0..2, 1.0).await;
    let is_ejection =
        |event: &Event| matches!(event, Event::Logged { line, .. } if line.contains(EJECTED));
    fleet
        .history
        .wait_for(first_event, is_ejection)
        .await
        .unwrap();
    run_for(2.5).await;
    let maximum = ALL_NODES
        .iter()
        .map(|node| max_concurrent_ejections(&fleet, first_event, *node))
        .max();
    assert_eq!(maximum, Some(1), "{}", fleet.history.tail(30));
    // All servers fail: most of them still get attempts.
    set_failures(&mut fleet, 0..SERVER_COUNT, 1.0).await;
    run_for(1.5).await;
    let since = fleet.history.now();
    run_for(2.0).await;
    let attempts: Vec<usize> = (0..SERVER_COUNT)
        .map(|server| attempt_count(&fleet, server, since, &ALL_NODES))
        .collect();
    let admitted = attempts.iter().filter(|count| **count > MAX_PROBES).count();
    assert!(admitted >= 6, "{attempts:?}");
    // All servers respond again: within three seconds requests are served.
    set_failures(&mut fleet, 0..SERVER_COUNT, 0.0).await;
    run_for(3.0).await;
    let since = fleet.history.now();
    run_for(3.0).await;
    load.stop().await;
    let queries::ServedRatio { ratio, requests } =
        queries::served_ratio(&fleet.history.events(), since, since + 2 * SECOND);
    assert!(ratio > 0.9, "{ratio} of {requests}");
    assert_no_violations(&fleet);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_server_is_ejected_early_and_readmitted_when_it_responds() {
    let _reservation = reserve_fleet().await;
    let fleet_settings = Some("verdicts = { trial_every = \"60s\", lasts = \"60s\" }".to_owned());
    let mut fleet = start(FleetSpec {
        node_count: 6,
        server_count: 8,
        fleet_settings,
        ..spec_with_short_slow_start()
    })
    .await;
    let load = fleet.start_load_at(&BUSY, 60.0, 0.2, 25);
    wait_until_attempted(&fleet, 0, &BUSY).await;
    let first_event = fleet.history.len();
    set_paused(&mut fleet, 0, true).await;
    let paused_at = fleet.history.now();
    let is_ejection = |event: &Event| matches!(event, Event::Logged { line, .. } if line.contains("s0 is ejected, a quorum"));
    let ejected_at = fleet
        .history
        .wait_for(first_event, is_ejection)
        .await
        .unwrap();
    let ejected_after = ejected_at - paused_at;
    // The time at which three nodes have sent an attempt is random. After it, a tenth of the two seconds that an attempt may
    // take is enough to detect late responses, and reports reach all nodes within a second.
    let quorum_at = quorum_reached_at(&fleet, 0, paused_at, ejected_at, &BUSY);
    let detection_time = ejected_at - quorum_at;
    assert!(
        detection_time < SECOND,
        "{detection_time:?} of {ejected_after:?}"
    );
    set_paused(&mut fleet, 0, false).await;
    wait_until_explained(&fleet, "s0", "not condemned").await;
    let readmitted_after = fleet.history.now() - paused_at - ejected_after;
    assert!(
        readmitted_after < 4 * SECOND,
        "the server responded, but was still ejected for {readmitted_after:?}"
    );
    // All nodes send it attempts again, including those that had no traffic before.
    let load_at_idle = fleet.start_load_at(&IDLE, 60.0, 0.2, 26);
    wait_until_attempted(&fleet, 0, &[0, 1, 2, 3, 4, 5]).await;
    load.stop().await;
    load_at_idle.stop().await;
    assert_no_violations(&fleet);
}

async fn set_failures(fleet: &mut TestFleet, servers: std::ops::Range<usize>, ratio: f64) {
    let steps: Vec<Step> = servers
        .map(|server| Step::SetServerFailures { server, ratio })
        .collect();
    execute(fleet, &steps).await.unwrap();
}

async fn set_paused(fleet: &mut TestFleet, server: usize, paused: bool) {
    let step = Step::SetServerPaused { server, paused };
    execute(fleet, &[step]).await.unwrap();
}

/// Maximum number of servers that were ejected at a node at the same time, from an index of the history on.
fn max_concurrent_ejections(fleet: &TestFleet, first_event: usize, node: usize) -> usize {
    let mut ejected = BTreeSet::new();
    let mut maximum = 0;
    for TimedEvent { event, .. } in fleet.history.events().into_iter().skip(first_event) {
        let Event::Logged { node: by, line } = event else {
            continue;
        };
        let Some((_, line)) = line.split_once("fleet: ").filter(|_| by == node) else {
            continue;
        };
        let server = line.split(' ').next().unwrap_or_default().to_owned();
        if line.contains(EJECTED) {
            ejected.insert(server);
        } else if line.contains(READMITTED) {
            ejected.remove(&server);
        }
        maximum = maximum.max(ejected.len());
    }
    maximum
}

/// When a quorum of these nodes had sent an attempt to a server between two times; `from` if none did, since attempts that
/// were already in flight are evidence, too.
fn quorum_reached_at(
    fleet: &TestFleet,
    server: usize,
    from: Duration,
    to: Duration,
    nodes: &[usize],
) -> Duration {
    let events = fleet.history.events();
    let first_attempt = |node: &usize| {
        let attempts = queries::attempts(&events, server, from, to, &[*node]);
        Some(attempts.first()?.at)
    };
    let mut first_attempts: Vec<Duration> = nodes.iter().filter_map(first_attempt).collect();
    first_attempts.sort_unstable();
    first_attempts.truncate(Quorum::default().min_reporters);
    first_attempts.last().copied().unwrap_or(from)
}
