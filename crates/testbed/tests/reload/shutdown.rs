//! Shutdowns of the node while it reads a settings file.

use crate::fixtures::{
    get, settings_for, start_healthy_server, start_node, within_timeout, POLL_INTERVAL,
};
use crate::pending_read::PendingRead;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::Server;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Pauses the server and sends a request; returns once the server has received it.
async fn send_to_paused_server(node: &Node, server: &Server) -> JoinHandle<ClientResponse> {
    set_paused(server, true);
    let address = node.address();
    let requests_before = server.requests_received();
    let response =
        tokio::spawn(
            async move { get(&Client::new(address), "a.example.org", "/api", "held").await },
        );
    let arrival = async {
        while server.requests_received() == requests_before {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    within_timeout("the request at its server", arrival).await;
    response
}

fn set_paused(server: &Server, is_paused: bool) {
    server.update_behavior(|behavior| behavior.is_frozen = is_paused);
}

async fn wait_for_closed_listener(address: SocketAddr) {
    let closed = async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    within_timeout("the listener is closed", closed).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_waits_for_requests_in_flight_but_not_for_pending_read() {
    let server = start_healthy_server("s").await;
    let mut node = start_node(&settings_for(&["/api"], &server)).await;
    let response = send_to_paused_server(&node, &server).await;
    let _read = PendingRead::start(&node).await;
    node.signal("TERM").unwrap();
    set_paused(&server, false);
    assert_eq!(
        within_timeout("the response", response)
            .await
            .unwrap()
            .status,
        200
    );
    assert!(node.wait_for_exit().await.unwrap());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn file_read_during_shutdown_is_not_applied() {
    let server = start_healthy_server("s").await;
    let settings = settings_for(&["/api"], &server);
    let mut node = start_node(&settings).await;
    let response = send_to_paused_server(&node, &server).await;
    let read = PendingRead::start(&node).await;
    node.signal("TERM").unwrap();
    wait_for_closed_listener(node.address()).await;
    let new_settings = settings.replace("name = \"client\"", "name = \"other\"");
    read.complete(&new_settings, &new_settings).await;
    node.wait_for_log("is ignored: the node is shutting down")
        .await
        .unwrap();
    set_paused(&server, false);
    assert_eq!(
        within_timeout("the response", response)
            .await
            .unwrap()
            .status,
        200
    );
    assert!(node.wait_for_exit().await.unwrap());
}

/// The deadline of a request that must be answered before the process exits.
const SHORT_DEADLINE: Duration = Duration::from_secs(1);
/// SIGKILL is sent at the earliest this long after SIGTERM plus the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long after SIGTERM a request is completed, so that its deadline is after the exit of the process.
const LATE_REQUEST_TIME: Duration = Duration::from_millis(800);

/// Sends a request whose last byte is written late in a shutdown, while its server is paused; returns everything that the
/// node sends until it closes the connection.
async fn write_late_request(host: &str, body: &str, settings: &str, server: &Server) -> String {
    let mut node = start_node(settings).await;
    set_paused(server, true);
    let mut client = TcpStream::connect(node.address()).await.unwrap();
    let request = format!(
        "POST /api HTTP/1.1\r\nhost: {host}\r\nx-correlation-id: late\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let (start, last_byte) = request.split_at(request.len() - 1);
    client.write_all(start.as_bytes()).await.unwrap();
    node.signal("TERM").unwrap();
    let terminated_at = Instant::now();
    tokio::time::sleep_until((terminated_at + LATE_REQUEST_TIME).into()).await;
    client.write_all(last_byte.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = within_timeout(
        "the end of the connection",
        client.read_to_string(&mut response),
    )
    .await;
    assert!(read.is_ok(), "{read:?}");
    assert!(node.wait_for_exit().await.unwrap());
    assert!(terminated_at.elapsed() < SHORT_DEADLINE + KILL_MARGIN);
    response
}

/// Guards against requests that are not answered because the process exits before their deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_outlives_the_process_is_answered() {
    let server = start_healthy_server("s").await;
    let settings = settings_for(&["/api"], &server)
        .replace("repeat = \"safe\"", "repeat = \"unsafe\"")
        .replace("deadline = \"60s\"", "deadline = \"1s\"");
    let response = write_late_request("a.example.org", "body", &settings, &server).await;
    assert!(response.starts_with("HTTP/1.1 504"), "{response:?}");
}

/// The same for a GraphQL operation and a GraphQL batch, whose responses are awaited by other code.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graphql_request_that_outlives_the_process_is_answered() {
    let mutation = r#"{"query":"mutation { toggle }"}"#;
    let batch = format!("[{mutation},{mutation}]");
    for body in [mutation, &batch] {
        let server = start_healthy_server("s").await;
        let settings = settings_for(&["/api"], &server)
            .replace("repeat = \"safe\"", "repeat = \"unsafe\"")
            .replace("deadline = \"60s\"", "deadline = \"1s\"")
            + "[service.graphql]\nother_query = \"c\"\nother_mutation = \"c\"\n";
        let response = write_late_request("a.example.org", body, &settings, &server).await;
        assert!(response.starts_with("HTTP/1.1 "), "{response:?}");
        assert!(response.contains("\"errors\""), "{response:?}");
    }
}
