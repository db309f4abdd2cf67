//! Starts the nodes and servers of these tests, and sends requests.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::load::Workload;
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::scripted::Program;
use std::time::{Duration, Instant};

/// Longest wait for an event; events normally take a small part of it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const FAST_SERVICE_TIME: Duration = Duration::from_millis(1);
const WORKERS: usize = 64;
const SERVER_SEED: u64 = 1;

/// The program under test.
pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Starts a node and waits until it is healthy.
pub async fn start_node(settings: &str) -> Node {
    let node = Node::start(&program(), settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    node
}

/// Starts a server that answers within about a millisecond.
pub async fn fast_server(name: &str) -> Server {
    healthy_server(name, FAST_SERVICE_TIME).await
}

/// Starts a server that never fails.
pub async fn healthy_server(name: &str, service_time: Duration) -> Server {
    let behavior = ServerBehavior::healthy(service_time);
    Server::start(name, WORKERS, behavior, SERVER_SEED)
        .await
        .unwrap()
}

/// A request with the given correlation id, or without one.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    correlation_id: Option<&str>,
) -> Request<Full<Bytes>> {
    let body = if method == "GET" {
        Bytes::new()
    } else {
        Bytes::from_static(b"{}")
    };
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", host);
    if let Some(correlation_id) = correlation_id {
        request = request.header("x-correlation-id", correlation_id);
    }
    request.body(Full::new(body)).unwrap()
}

/// Sends an idempotent request to a service.
pub async fn get(client: &Client, service: &str, correlation_id: &str) -> ClientResponse {
    let host = format!("{service}.example.org");
    client
        .send(request("GET", &host, "/api/x", Some(correlation_id)))
        .await
        .expect("a response")
}

/// A correlation id that is unique among those with the same `prefix` and `started_at`.
pub fn unique_id(prefix: &str, started_at: Instant) -> String {
    format!("{prefix}-{}", started_at.elapsed().as_nanos())
}

/// The body of a response as text, for messages of failed assertions.
pub fn body_text(response: &ClientResponse) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}

/// Idempotent requests to the service that is named by the part of `name` before its first hyphen.
pub fn workload(name: &str, requests_per_second: f64) -> Workload {
    Workload {
        name: name.to_owned(),
        host: format!("{}.example.org", name.split('-').next().unwrap()),
        method: "GET",
        path: "/api".to_owned(),
        headers: vec![],
        body: None,
        deadline: Duration::from_secs(5),
        rate: requests_per_second,
    }
}
