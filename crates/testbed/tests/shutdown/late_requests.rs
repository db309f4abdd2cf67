//! Requests that arrive on open connections late in a shutdown.

use crate::fixtures::{
    set_down, set_frozen, settings, start_registered_node, start_registry, start_server,
};
use crate::late_clients::LateClients;
use reelfall_testbed::registry::Registry;
use std::time::Duration;

/// The longest deadline.
const DEADLINE: Duration = Duration::from_millis(1200);
/// The server answers shortly before a client's time is up.
const SERVICE_TIME: Duration = Duration::from_millis(1100);

/// Ends a node whose registries the test has disturbed, and checks that no request is lost.
async fn check_shutdown(registries: &[&Registry], disturb: impl FnOnce()) {
    let server = start_server(Duration::ZERO).await;
    let settings = settings(registries, &server, DEADLINE);
    let mut node = start_registered_node(&settings, registries).await;
    let clients = LateClients::connect(&node, &server).await;
    server.update_behavior(|behavior| behavior.service_time = SERVICE_TIME);
    disturb();
    let lost = clients.lost_in_shutdown(&mut node, DEADLINE).await;
    assert!(lost.is_empty(), "lost: {lost:?}");
}

/// Guards against a shutdown whose times count from the end of the withdrawal of the node's entry: the process accepted
/// requests for longer, and SIGKILL found them unanswered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_registry_costs_no_request() {
    let registry = start_registry().await;
    check_shutdown(&[&registry], || set_frozen(&registry, true)).await;
}

/// The same with a registry that closes its connections and accepts no new ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registry_that_is_down_costs_no_request() {
    let registry = start_registry().await;
    check_shutdown(&[&registry], || set_down(&registry, true)).await;
}

/// The same with a second registry, which responds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_silent_registry_of_two_costs_no_request() {
    let (silent, other) = (start_registry().await, start_registry().await);
    check_shutdown(&[&silent, &other], || set_frozen(&silent, true)).await;
    assert!(other.entry(crate::fixtures::ENTRY_PATH).is_none());
}
