//! A registry that is silent, down, slow or lagging: known servers stay in use, and removed servers never return.

use super::support::{
    count_successes, program, start_node, start_server, wait_until, wait_until_requested,
};
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::{node_settings, RegisteredServer};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::Server;
use reelfall_testbed::registry::Registry;
use std::time::{Duration, Instant};

/// Number of members of a registry that keeps a majority if one of them fails.
const MEMBER_COUNT: usize = 3;
/// Number of registry sessions of the node: one for each of its services.
const SESSION_COUNT: usize = 2;
/// A number of watch events that is higher than any test causes.
const ALL_WATCH_EVENTS: u64 = 1000;
/// Replication lag of a member, long enough that it has not applied a removal yet.
const REPLICATION_LAG: Duration = Duration::from_millis(1500);
/// How long requests are sent while the node is connected to a lagging member.
const LAG_LOAD_DURATION: Duration = Duration::from_millis(800);

fn set_all_frozen(registry: &Registry, is_frozen: bool) {
    for member in 0..MEMBER_COUNT {
        registry.set_member_frozen(member, is_frozen);
    }
}

fn set_all_down(registry: &Registry, is_down: bool) {
    for member in 0..MEMBER_COUNT {
        registry.set_member_down(member, is_down);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_registry_removes_no_server() {
    let registry = Registry::start(MEMBER_COUNT).await.unwrap();
    let (one, two) = (start_server("one").await, start_server("two").await);
    let _registration_of_one = RegisteredServer::register(&registry, &one, "one", 0);
    let registration_of_two = RegisteredServer::register(&registry, &two, "two", 0);
    let registry_lines = "session = \"400ms\"\nconnect = \"100ms\"";
    let mut node = start_node(&registry, "", registry_lines).await;
    let client = Client::new(node.address());
    wait_until_requested(&client, &two, "before").await;
    // The members accept connections but never respond, and the sessions of the node expire.
    set_all_frozen(&registry, true);
    registration_of_two.expire_session(&registry);
    let expired_before = registry.counters().expired_sessions;
    wait_until("the expiry of the node's sessions", async || {
        registry.counters().expired_sessions >= expired_before + SESSION_COUNT as u64
    })
    .await;
    assert_eq!(count_successes(&client, "silent", 100).await, 100);
    wait_until_requested(&client, &one, "silent-one").await;
    wait_until_requested(&client, &two, "silent-two").await;
    // Changes during the outage take effect as soon as the registry responds again.
    set_all_frozen(&registry, false);
    wait_until("the removal", async || two.open_connections() == 0).await;
    let received_before = two.requests_received();
    assert_eq!(count_successes(&client, "healed", 100).await, 100);
    assert_eq!(two.requests_received(), received_before);
    node.signal("TERM").unwrap();
    assert!(node.wait_for_exit().await.unwrap());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_rejected_while_list_is_stale() {
    let registry = Registry::start(1).await.unwrap();
    let one = start_server("one").await;
    let _registration = RegisteredServer::register(&registry, &one, "one", 0);
    let service_options = ", stale = \"refuse\", stale_after = \"1s\"";
    let registry_lines = "session = \"300ms\"\nconnect = \"100ms\"";
    let node = start_node(&registry, service_options, registry_lines).await;
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "before", 20).await, 20);
    let health_request = Request::get("/_health/evaluate")
        .header("host", "h")
        .body(Full::default())
        .unwrap();
    let health = client.send(health_request).await.unwrap();
    assert!(
        String::from_utf8_lossy(&health.body).starts_with("registry heard "),
        "{health:?}"
    );
    registry.set_member_down(0, true);
    node.wait_for_health("/_health/evaluate", false)
        .await
        .unwrap();
    assert_eq!(count_successes(&client, "stale", 5).await, 0);
    registry.set_member_down(0, false);
    node.wait_for_health("/_health/evaluate", true)
        .await
        .unwrap();
    // On a busy machine some of the first requests may be rejected by admission control.
    wait_until_requested(&client, &one, "fresh").await;
}

/// Guards against the use of an outdated list. Two mechanisms prevent it, and each of them suffices: the client sends the
/// last transaction that it has seen when it connects and compares it with each response, and it syncs before it reads the
/// list. This test fails only without both; the tests of sessions cover the first one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lagging_member_never_restores_removed_server() {
    let registry = Registry::start(2).await.unwrap();
    let (one, two) = (start_server("one").await, start_server("two").await);
    let _registration_of_one = RegisteredServer::register(&registry, &one, "one", 0);
    let registration_of_two = RegisteredServer::register(&registry, &two, "two", 0);
    let registry_lines = "session = \"5s\"\nconnect = \"200ms\"";
    let node = start_node(&registry, "", registry_lines).await;
    let client = Client::new(node.address());
    wait_until_requested(&client, &two, "before").await;
    // One member applies the removal immediately while the other one lags; then the first one goes down.
    for (current, lagging) in [(0, 1), (1, 0)] {
        connect_to_current_member(&registry, current, lagging).await;
        registry.set_replication_lag(lagging, REPLICATION_LAG);
        if current == 0 {
            registration_of_two.expire_session(&registry);
        } else {
            registry.put("/elsewhere", b"", 0);
        }
        // A node that has received the removal closes idle connections. The absence of requests would prove nothing, since
        // the server receives only a small fraction of them.
        wait_until("the removal reported by the current member", async || {
            two.open_connections() == 0
        })
        .await;
        registry.set_member_down(current, true);
        let received_before = two.requests_received();
        let started_at = Instant::now();
        while started_at.elapsed() < LAG_LOAD_DURATION {
            let run = format!("lag-{current}-{:?}", started_at.elapsed());
            assert_eq!(count_successes(&client, &run, 5).await, 5);
        }
        assert_eq!(
            two.requests_received(),
            received_before,
            "the node used an outdated list"
        );
        registry.set_replication_lag(lagging, Duration::ZERO);
        registry.set_member_down(current, false);
    }
}

/// Makes the node connect to the member that will be current. A node that is connected to the lagging member can't learn of
/// the removal.
async fn connect_to_current_member(registry: &Registry, current: usize, lagging: usize) {
    registry.set_member_down(lagging, true);
    wait_until("both sessions at the current member", async || {
        registry.connected_sessions(current) == SESSION_COUNT
    })
    .await;
    registry.set_member_down(lagging, false);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_waits_for_registry_and_recovers_from_lost_watch_events() {
    let registry = Registry::start(MEMBER_COUNT).await.unwrap();
    let one = start_server("one").await;
    set_all_down(&registry, true);
    let settings = node_settings(&registry, ", reread = \"1s\"", "connect = \"100ms\"");
    let node = Node::start(&program(), &settings).await.unwrap();
    node.wait_for_health("/_health", false).await.unwrap();
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "early", 3).await, 0);
    let mut registration = RegisteredServer::register(&registry, &one, "one", 0);
    set_all_down(&registry, false);
    node.wait_for_health("/_health", true).await.unwrap();
    wait_until_requested(&client, &one, "first").await;
    // No watch event reports the next changes.
    let two = start_server("two").await;
    registry.drop_watch_events(ALL_WATCH_EVENTS);
    let _registration_of_two = RegisteredServer::register(&registry, &two, "two", 0);
    wait_until_requested(&client, &two, "lost-event").await;
    registry.drop_watch_events(ALL_WATCH_EVENTS);
    registration.expire_session(&registry);
    wait_until("the removal without a watch event", async || {
        one.open_connections() == 0
    })
    .await;
    registry.drop_watch_events(0);
    registration = RegisteredServer::register(&registry, &one, "one", 0);
    wait_until_requested(&client, &one, "again").await;
    drop(registration);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn configured_servers_are_used_until_registry_responds() {
    let registry = Registry::start(1).await.unwrap();
    let (known, listed) = (start_server("known").await, start_server("listed").await);
    registry.set_member_down(0, true);
    let node = start_node_with_known_server(&registry, &known).await;
    let client = Client::new(node.address());
    assert_eq!(count_successes(&client, "configured", 20).await, 20);
    assert_eq!(known.requests_received(), 20);
    let _registration = RegisteredServer::register(&registry, &listed, "listed", 0);
    registry.set_member_down(0, false);
    wait_until_requested(&client, &listed, "listed").await;
    // A server that the registry does not list is removed.
    let received_before = known.requests_received();
    assert_eq!(count_successes(&client, "after", 100).await, 100);
    assert_eq!(
        known.requests_received(),
        received_before,
        "requests were sent to a server that the registry does not list"
    );
}

async fn start_node_with_known_server(registry: &Registry, known: &Server) -> Node {
    let service_options = format!(
        ", known = [{{ name = \"known\", address = \"{}\" }}]",
        known.address
    );
    start_node(registry, &service_options, "connect = \"100ms\"").await
}
