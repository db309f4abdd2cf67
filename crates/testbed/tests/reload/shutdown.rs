//! Shutdowns of the node while it reads a settings file.

use crate::fixtures::{
    get, settings_for, start_healthy_server, start_node, within_timeout, POLL_INTERVAL,
};
use crate::pending_read::PendingRead;
use reelfall_testbed::client::{Client, ClientResponse};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::Server;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Pauses the server and sends a request, which is in flight at the server when this returns.
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
    node.wait_for_log("is not taken in: the node is ending")
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
