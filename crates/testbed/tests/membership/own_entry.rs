//! The entry of the node itself, which exists while the node is ready.

use super::support::{program, request, start_server, wait_until};
use hyper::StatusCode;
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::{node_settings, RegisteredServer};
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::Server;
use reelfall_testbed::registry::{EntrySnapshot, Registry};
use tokio::task::JoinHandle;

/// Path of the node's entry.
const ENTRY_PATH: &str = "/nodes/n1";
/// Owner of persistent entries, which belong to no session.
const NO_SESSION: i64 = 0;

/// The entry of the running node, if it exists. `former_session` is the owner of the entry of a previous process.
fn entry_of_node(registry: &Registry, former_session: i64) -> Option<EntrySnapshot> {
    registry
        .entry(ENTRY_PATH)
        .filter(|entry| entry.owner != former_session && entry.owner != NO_SESSION)
}

/// Settings of a node that also registers itself.
fn settings_with_own_entry(registry: &Registry) -> String {
    let entry_section =
        format!("[registry.entry]\npath = \"{ENTRY_PATH}\"\nname = \"n1\"\nsite = \"ikeja-dc\"");
    let registry_lines = format!("session = \"2s\"\n{entry_section}");
    node_settings(registry, "", &registry_lines)
}

/// Sends a request and waits until the frozen server has received it. The task returns the status code of the response.
async fn start_request(node: &Node, server: &Server) -> JoinHandle<StatusCode> {
    let address = node.address();
    let in_flight = tokio::spawn(async move {
        Client::new(address)
            .send(request("GET", "evaluate", "last"))
            .await
            .unwrap()
            .status
    });
    let received_before = server.requests_received();
    wait_until("the request at the frozen server", async || {
        server.requests_received() > received_before || server.requests_received() > 0
    })
    .await;
    in_flight
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn node_is_registered_from_readiness_to_shutdown() {
    let registry = Registry::start(3).await.unwrap();
    let one = start_server("one").await;
    // The entry of a previous process of the node.
    let former_session = registry.open_session();
    registry.put(
        ENTRY_PATH,
        br#"{"name":"n1","address":"127.0.0.1:1","incarnation":1,"started":1}"#,
        former_session,
    );
    let settings = settings_with_own_entry(&registry);
    let mut node = Node::start(&program(), &settings).await.unwrap();
    // Without a server the node is not ready, and does not replace the entry of the previous process.
    node.wait_for_health("/_health", false).await.unwrap();
    assert_eq!(
        registry.entry(ENTRY_PATH).map(|entry| entry.owner),
        Some(former_session)
    );
    let _registration = RegisteredServer::register(&registry, &one, "one", 0);
    node.wait_for_health("/_health", true).await.unwrap();
    let own_entry = || entry_of_node(&registry, former_session);
    wait_until("the entry of the node", async || own_entry().is_some()).await;
    let EntrySnapshot { data, owner } = own_entry().unwrap();
    let data: serde_json::Value = serde_json::from_slice(&data).unwrap();
    assert_eq!(
        (data["site"].as_str(), data["address"].as_str()),
        (Some("ikeja-dc"), Some(&*node.address().to_string()))
    );
    // After the session has expired, the node creates the entry again with a new session.
    registry.expire_session(owner);
    wait_until("the entry of the node with a new session", async || {
        own_entry().is_some_and(|recreated| recreated.owner != owner)
    })
    .await;
    // On shutdown the entry is removed first, while a request is still in flight.
    one.update_behavior(|behavior| behavior.is_frozen = true);
    let in_flight = start_request(&node, &one).await;
    node.signal("TERM").unwrap();
    wait_until("the removal of the node's entry", async || {
        registry.entry(ENTRY_PATH).is_none()
    })
    .await;
    one.update_behavior(|behavior| behavior.is_frozen = false);
    assert_eq!(in_flight.await.unwrap(), 200);
    assert!(node.wait_for_exit().await.unwrap());
    assert!(registry.children("/nodes").is_empty());
}
