//! Servers, settings, a node and requests for the tests of reloads.

use crate::settings::HEAD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::node::{Node, WAIT_TIMEOUT};
use reelfall_testbed::pool::{Server, ServerBehavior};
use reelfall_testbed::scripted::Program;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of requests that a server processes concurrently.
const SERVER_WORKERS: usize = 64;
const SERVICE_TIME: Duration = Duration::from_millis(1);
const SERVER_SEED: u64 = 1;
/// Pause between two checks of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1);

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Waits for a future, and panics with a description of it if it takes longer than [`WAIT_TIMEOUT`].
pub async fn within_timeout<T>(description: &str, future: impl Future<Output = T>) -> T {
    tokio::time::timeout(WAIT_TIMEOUT, future)
        .await
        .unwrap_or_else(|_| panic!("timeout: {description}"))
}

/// A `[[service]]` section for `NAME.example.org` with routes of these paths.
pub fn service_section(name: &str, paths: &[&str], servers: &str) -> String {
    let class =
        "[[service.class]]\nname = \"c\"\nrepeat = \"safe\"\naim = \"500ms\"\ndeadline = \"60s\"\n";
    let mut text = format!("[[service]]\nname = \"{name}\"\n{class}");
    for path in paths {
        text += &format!("[[service.route]]\nhost = \"{name}.example.org\"\npath = \"{path}\"\n");
    }
    text + servers
}

/// A `[[service.server]]` section.
pub fn server_section(name: &str, address: SocketAddr) -> String {
    format!("[[service.server]]\nname = \"{name}\"\naddress = \"{address}\"\n")
}

/// A settings file with service `a`, routes of these paths and one server.
pub fn settings_for(paths: &[&str], server: &Server) -> String {
    HEAD.to_owned() + &service_section("a", paths, &server_section("s", server.address))
}

pub async fn start_healthy_server(name: &str) -> Server {
    Server::start(
        name,
        SERVER_WORKERS,
        ServerBehavior::healthy(SERVICE_TIME),
        SERVER_SEED,
    )
    .await
    .unwrap()
}

/// Starts a node, and waits until it is healthy.
pub async fn start_node(settings: &str) -> Node {
    let node = Node::start(&program(), settings).await.unwrap();
    node.wait_for_health("/_health", true).await.unwrap();
    node
}

/// Sends a request and waits for its response.
pub async fn get(client: &Client, host: &str, path: &str, id: &str) -> ClientResponse {
    let request = Request::get(path)
        .header("host", host)
        .header("x-correlation-id", id);
    let request = request.body(Full::new(Bytes::new())).unwrap();
    within_timeout("a response", client.send(request))
        .await
        .expect("a response")
}

/// Sends a request to service `a`; returns the status of the response.
pub async fn get_status(client: &Client, path: &str, id: &str) -> u16 {
    get(client, "a.example.org", path, id).await.status.as_u16()
}
