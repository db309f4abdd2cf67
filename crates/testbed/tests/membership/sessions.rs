//! Expiry of the sessions of servers, with and without load.

use super::support::{
    count_successes, program, request, start_node_with, start_server, wait_until,
    wait_until_preferred, wait_until_requested,
};
use hyper::StatusCode;
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::{node_settings, RegisteredServer};
use reelfall_testbed::pool::Server;
use reelfall_testbed::registry::Registry;
use reelfall_testbed::scenario::membership as scenario;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// Service time of a server that is much slower than the others.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(10);
/// Number of `toggle` requests in flight when a session expires.
const TOGGLE_COUNT: usize = 8;
/// Number of requests after a change of the endpoint list.
const REQUEST_COUNT: usize = 200;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sessions_expired_under_load_lose_no_request() {
    let report = scenario::run(&program(), scenario::Scale::SMALL)
        .await
        .unwrap();
    assert!(report.passed(), "{:#?}", report.violations());
}

/// Starts `toggle` requests without waiting for their responses. The tasks return the status codes.
fn start_toggles(node: SocketAddr) -> JoinSet<StatusCode> {
    let mut toggles = JoinSet::new();
    for index in 0..TOGGLE_COUNT {
        toggles.spawn(async move {
            Client::new(node)
                .send(request("POST", "toggle", &format!("in-flight-{index}")))
                .await
                .unwrap()
                .status
        });
    }
    toggles
}

/// Fails if a request has taken effect more than once at the same server.
fn assert_effects_are_unique(one: &Server, two: &Server) {
    let (effects_of_one, effects_of_two) = (one.effect_counts(), two.effect_counts());
    assert!(
        effects_of_one
            .iter()
            .chain(&effects_of_two)
            .all(|(_, count)| *count == 1),
        "a request took effect more than once at the same server"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn expired_session_stops_only_new_requests() {
    let registry = Registry::start(3).await.unwrap();
    let (one, two) = (start_server("one").await, start_server("two").await);
    let registration = RegisteredServer::register(&registry, &one, "one", 0);
    let _registration_of_two = RegisteredServer::register(&registry, &two, "two", 0);
    // The `toggle` requests must stay in flight until the other requests are done, even on a slow machine.
    let settings =
        node_settings(&registry, "", "").replace("deadline = \"2s\"", "deadline = \"60s\"");
    let node = start_node_with(&settings).await;
    let client = Client::new(node.address());
    // The distribution of requests between equal servers varies, but a much faster server always receives most of them.
    two.update_behavior(|behavior| behavior.service_time = SLOW_SERVICE_TIME);
    wait_until_preferred(&client, &one, "before").await;
    // The session expires while `toggle` requests are in flight.
    one.update_behavior(|behavior| behavior.is_frozen = true);
    two.update_behavior(|behavior| behavior.is_frozen = true);
    let received_by_one = one.requests_received();
    let received_by_both = received_by_one + two.requests_received();
    let mut toggles = start_toggles(node.address());
    wait_until("the `toggle` requests at the servers", async || {
        one.requests_received() + two.requests_received() >= received_by_both + TOGGLE_COUNT as u64
    })
    .await;
    let in_flight_at_one = (one.requests_received() - received_by_one) as usize;
    registration.expire_session(&registry);
    two.update_behavior(|behavior| behavior.is_frozen = false);
    // A node that has received the watch event closes idle connections, so that only those of the requests in flight
    // remain. The absence of new requests would prove nothing.
    wait_until("the watch event", async || {
        one.open_connections() <= in_flight_at_one
    })
    .await;
    let received_before = one.requests_received();
    assert_eq!(
        count_successes(&client, "after", REQUEST_COUNT).await,
        REQUEST_COUNT
    );
    assert_eq!(
        one.requests_received(),
        received_before,
        "new requests were sent to a server whose session has expired"
    );
    one.update_behavior(|behavior| behavior.is_frozen = false);
    while let Some(status) = toggles.join_next().await {
        assert_eq!(status.unwrap(), 200, "a request in flight failed");
    }
    assert_effects_are_unique(&one, &two);
    wait_until("the end of idle connections", async || {
        one.open_connections() == 0
    })
    .await;
    assert_return_without_slow_start(&registry, &client, &one, &two).await;
}

/// Registers a server again whose process was never restarted, and checks that it is used immediately, without slow start.
async fn assert_return_without_slow_start(
    registry: &Registry,
    client: &Client,
    returning: &Server,
    other: &Server,
) {
    let _registration = RegisteredServer::register(registry, returning, "one", 0);
    wait_until_requested(client, returning, "back").await;
    let received_before = returning.requests_received();
    let other_received_before = other.requests_received();
    assert_eq!(
        count_successes(client, "warm", REQUEST_COUNT).await,
        REQUEST_COUNT
    );
    let received = returning.requests_received() - received_before;
    let other_received = other.requests_received() - other_received_before;
    // During slow start, even a fast server would receive only a few requests in such a short time.
    assert!(
        received > other_received,
        "the server received only {received} of {} requests: it is in slow start",
        received + other_received
    );
}
