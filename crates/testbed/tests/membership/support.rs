//! Common helpers: servers, nodes, requests, and waits for conditions.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::node_settings;
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::registry::Registry;
use reelfall_testbed::scripted::Program;
use std::time::{Duration, Instant};

/// Service time of a healthy server.
const SERVICE_TIME: Duration = Duration::from_millis(1);
/// Number of requests that a server processes concurrently.
const WORKERS: usize = 64;
/// Seed of the random number generator of a server.
const SERVER_SEED: u64 = 1;
/// Default timeout of a wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The program under test.
pub(crate) fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Starts a healthy server.
pub(crate) async fn start_server(name: &str) -> Server {
    let behavior = ServerBehavior::healthy(SERVICE_TIME);
    Server::start(name, WORKERS, behavior, SERVER_SEED)
        .await
        .unwrap()
}

/// Starts a node with the settings of [`node_settings`], and waits until all its services are healthy.
pub(crate) async fn start_node(
    registry: &Registry,
    service_options: &str,
    registry_lines: &str,
) -> Node {
    let settings = node_settings(registry, service_options, registry_lines);
    start_node_with(&settings).await
}

/// Starts a node with these settings, and waits until all its services are healthy.
pub(crate) async fn start_node_with(settings: &str) -> Node {
    let node = Node::start(&program(), settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    node
}

/// Builds a request to a service: `GET` without a body, or another method with an empty JSON object.
pub(crate) fn request(method: &str, service: &str, correlation_id: &str) -> Request<Full<Bytes>> {
    let body = if method == "GET" {
        Bytes::new()
    } else {
        Bytes::from_static(b"{}")
    };
    Request::builder()
        .method(method)
        .uri("/api/x")
        .header("host", format!("{service}.example.org"))
        .header("x-correlation-id", correlation_id)
        .body(Full::new(body))
        .unwrap()
}

/// Sends requests to the service `evaluate`, one after another; returns how many succeeded. `run` is a prefix of their
/// correlation ids.
pub(crate) async fn count_successes(client: &Client, run: &str, request_count: usize) -> usize {
    let mut successes = 0;
    for index in 0..request_count {
        let response = client
            .send(request("GET", "evaluate", &format!("{run}-{index}")))
            .await
            .expect("the node responds");
        successes += usize::from(response.status == 200);
    }
    successes
}

/// Waits until a condition holds. `what` names it in the message of a timeout.
pub(crate) async fn wait_until(what: &str, condition: impl AsyncFnMut() -> bool) {
    wait_until_within(WAIT_TIMEOUT, what, condition).await;
}

/// Waits until a condition holds, with the given timeout.
pub(crate) async fn wait_until_within(
    timeout: Duration,
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) {
    let started_at = Instant::now();
    while !condition().await {
        assert!(
            started_at.elapsed() < timeout,
            "timed out waiting for {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends requests in batches until a server receives at least 90% of a batch.
pub(crate) async fn wait_until_preferred(client: &Client, server: &Server, run: &str) {
    const BATCH_LEN: usize = 50;
    let mut batch = 0;
    wait_until("a preference for the server", async || {
        let received_before = server.requests_received();
        batch += 1;
        count_successes(client, &format!("{run}-{batch}"), BATCH_LEN).await;
        (server.requests_received() - received_before) as usize * 10 >= BATCH_LEN * 9
    })
    .await;
}

/// Sends requests until a server receives at least one.
pub(crate) async fn wait_until_requested(client: &Client, server: &Server, run: &str) {
    const BATCH_LEN: usize = 3;
    let received_before = server.requests_received();
    let mut batch = 0;
    wait_until("a request to the server", async || {
        batch += 1;
        count_successes(client, &format!("{run}-{batch}"), BATCH_LEN).await;
        server.requests_received() > received_before
    })
    .await;
}
