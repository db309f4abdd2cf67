//! Requests that arrive on open connections late in a shutdown.

use crate::fixtures::{
    set_down, set_frozen, set_response_delay, settings, start_registered_node, start_registry,
    start_server, ENTRY_PATH,
};
use crate::late_clients::{Ending, LateClients};
use reelfall_testbed::registry::Registry;
use std::time::Duration;

/// How a node with disturbed registries is ended.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    deadline: Duration,
    /// How long the server takes for a late request.
    service_time: Duration,
    ending: Ending,
}

/// The server answers shortly before a client's time is up.
const PLAIN: Shutdown = Shutdown {
    deadline: Duration::from_millis(1200),
    service_time: Duration::from_millis(1100),
    ending: Ending::Plain,
};

impl Shutdown {
    /// Ends a node whose registries the test disturbs, and checks that no request is lost.
    async fn check(self, registries: &[&Registry], disturb: impl FnOnce()) {
        let server = start_server(Duration::ZERO).await;
        let settings = settings(registries, &server, self.deadline);
        let mut node = start_registered_node(&settings, registries).await;
        let clients = LateClients::connect(&node, &server).await;
        server.update_behavior(|behavior| behavior.service_time = self.service_time);
        disturb();
        let lost = clients
            .lost_in_shutdown(&mut node, self.ending, self.deadline)
            .await;
        assert!(lost.is_empty(), "{self:?}: lost: {lost:?}");
    }

    /// The check with one registry, which is silent.
    async fn check_beside_silent_registry(self) {
        let registry = start_registry().await;
        self.check(&[&registry], || set_frozen(&registry, true))
            .await;
    }
}

/// Guards against a shutdown whose times count from the end of the withdrawal of the node's entry: the process accepted
/// requests for longer, and SIGKILL found them unanswered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_registry_costs_no_request() {
    PLAIN.check_beside_silent_registry().await;
}

/// The same with a registry that closes its connections and accepts no new ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn registry_that_is_down_costs_no_request() {
    let registry = start_registry().await;
    PLAIN
        .check(&[&registry], || set_down(&registry, true))
        .await;
}

/// The same with a second registry, which responds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_silent_registry_of_two_costs_no_request() {
    let (silent, other) = (start_registry().await, start_registry().await);
    PLAIN
        .check(&[&silent, &other], || set_frozen(&silent, true))
        .await;
    assert!(other.entry(ENTRY_PATH).is_none());
}

/// The same with short deadlines, after which SIGKILL comes soon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_registry_costs_no_request_with_short_deadlines() {
    for (deadline_ms, service_time_ms) in [(600, 500), (200, 150)] {
        let shutdown = Shutdown {
            deadline: Duration::from_millis(deadline_ms),
            service_time: Duration::from_millis(service_time_ms),
            ..PLAIN
        };
        shutdown.check_beside_silent_registry().await;
    }
}

/// The same with a server that answers too late, so that the node has to.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_registry_and_late_server_cost_no_request() {
    let shutdown = Shutdown {
        service_time: 2 * PLAIN.deadline,
        ..PLAIN
    };
    shutdown.check_beside_silent_registry().await;
}

/// The same with a process that is held up at SIGTERM, or gets further signals after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_registry_costs_no_request_however_the_signals_come() {
    for ending in [Ending::HeldUp, Ending::FurtherSignals] {
        let shutdown = Shutdown { ending, ..PLAIN };
        shutdown.check_beside_silent_registry().await;
    }
}

/// A registry that is slow, and not silent, changes nothing either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_registry_costs_no_request() {
    let registry = start_registry().await;
    let delay = Duration::from_millis(150);
    PLAIN
        .check(&[&registry], || set_response_delay(&registry, delay))
        .await;
    assert!(registry.entry(ENTRY_PATH).is_none());
}
