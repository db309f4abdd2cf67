//! A flapping server entry: removals take effect immediately, and readmission is delayed with exponential backoff.

use super::support::{
    count_successes, request, start_node, start_server, wait_until, wait_until_requested,
    wait_until_within,
};
use hyper::StatusCode;
use reelfall_testbed::client::Client;
use reelfall_testbed::membership::RegisteredServer;
use reelfall_testbed::node::Node;
use reelfall_testbed::pool::Server;
use reelfall_testbed::registry::Registry;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Number of times that the entry is removed and created again.
const RETURN_COUNT: usize = 30;
/// Number of requests after each return. A readmitted server is very unlikely to receive none of them.
const REQUESTS_PER_RETURN: usize = 10;
/// Number of services of the node. Each has its own session and reads the entry.
const SERVICE_COUNT: u64 = 2;
/// Readmission delay of the second return, in seconds. It doubles with each further return, up to the maximum.
const INITIAL_DELAY_SECONDS: f64 = 1.0;
/// Maximum readmission delay, in seconds.
const MAX_DELAY_SECONDS: f64 = 30.0;

/// Maximum number of readmissions within a time that starts before the first removal: one immediately, then one after each
/// delay.
fn max_admitted_returns(elapsed: Duration) -> usize {
    let mut admitted = 1;
    let mut delay_seconds = INITIAL_DELAY_SECONDS;
    let mut next_return_seconds = INITIAL_DELAY_SECONDS;
    while next_return_seconds <= elapsed.as_secs_f64() {
        admitted += 1;
        delay_seconds = (2.0 * delay_seconds).min(MAX_DELAY_SECONDS);
        next_return_seconds += delay_seconds;
    }
    admitted
}

/// A server with a flapping entry, and the node that also uses a steady server.
struct FlappingServer {
    client: Client,
    node: Node,
    server: Server,
    registry: Registry,
}

impl FlappingServer {
    fn register(&self) -> RegisteredServer {
        RegisteredServer::register(&self.registry, &self.server, "flappy", 0)
    }

    async fn wait_until_disconnected(&self, what: &str) {
        wait_until(what, async || self.server.open_connections() == 0).await;
    }

    /// Sends requests until one has reached the frozen server and waits there.
    async fn start_requests(&self) -> JoinSet<StatusCode> {
        let mut requests = JoinSet::new();
        let address = self.node.address();
        let received_before = self.server.requests_received();
        wait_until("a request in flight at the frozen server", async || {
            let correlation_id = format!("in-flight-{}", requests.len());
            requests.spawn(async move {
                Client::new(address)
                    .send(request("GET", "evaluate", &correlation_id))
                    .await
                    .expect("the node responds")
                    .status
            });
            self.server.requests_received() > received_before
        })
        .await;
        requests
    }

    /// Expires the session while requests are in flight, and checks that they still succeed. Returns the time of the
    /// expiry.
    async fn expire_with_requests_in_flight(&self, registration: &RegisteredServer) -> Instant {
        self.server
            .update_behavior(|behavior| behavior.is_frozen = true);
        let mut requests = self.start_requests().await;
        let expired_at = Instant::now();
        registration.expire_session(&self.registry);
        while let Some(status) = requests.join_next().await {
            assert_eq!(status.unwrap(), 200, "a request in flight failed");
        }
        self.server
            .update_behavior(|behavior| behavior.is_frozen = false);
        expired_at
    }

    /// Registers the server again and waits until both services read its entry. By then they have received its previous
    /// removal.
    async fn register_and_wait_until_read(&self) -> RegisteredServer {
        let registry = &self.registry;
        let requests_before = registry.counters().requests;
        let registration = self.register();
        wait_until("the reads of the entry", async || {
            registry.counters().requests >= requests_before + SERVICE_COUNT
        })
        .await;
        registration
    }

    /// Creates the entry again and removes it. Returns whether the server received requests in between.
    async fn return_once(&self, index: usize) -> bool {
        let received_before = self.server.requests_received();
        let registration = self.register_and_wait_until_read().await;
        if index == 0 {
            wait_until_requested(&self.client, &self.server, "first-return").await;
        }
        let run = format!("return-{index}");
        assert_eq!(
            count_successes(&self.client, &run, REQUESTS_PER_RETURN).await,
            REQUESTS_PER_RETURN
        );
        let is_admitted = self.server.requests_received() > received_before;
        registration.expire_session(&self.registry);
        // A node that has received the removal closes idle connections. If there is no connection, the removal can't be
        // observed.
        self.wait_until_disconnected("the end of the server's connections")
            .await;
        if is_admitted {
            let received_before = self.server.requests_received();
            let run = format!("end-{index}");
            assert_eq!(
                count_successes(&self.client, &run, REQUESTS_PER_RETURN).await,
                REQUESTS_PER_RETURN
            );
            assert_eq!(
                self.server.requests_received(),
                received_before,
                "requests were sent to a server whose entry has been removed"
            );
        }
        is_admitted
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn flapping_server_is_readmitted_with_backoff() {
    let registry = Registry::start(1).await.unwrap();
    let steady = start_server("steady").await;
    let server = start_server("flappy").await;
    let _steady_registration = RegisteredServer::register(&registry, &steady, "steady", 0);
    let registration = RegisteredServer::register(&registry, &server, "flappy", 0);
    let node = start_node(&registry, "", "").await;
    let client = Client::new(node.address());
    let flapping = FlappingServer {
        client,
        node,
        server,
        registry,
    };
    wait_until_requested(&flapping.client, &flapping.server, "before").await;
    let expired_at = flapping.expire_with_requests_in_flight(&registration).await;
    flapping
        .wait_until_disconnected("the first end of the server's connections")
        .await;
    let mut admitted = 0;
    for index in 0..RETURN_COUNT {
        admitted += usize::from(flapping.return_once(index).await);
    }
    let max_admitted = max_admitted_returns(expired_at.elapsed());
    assert!(
        admitted <= max_admitted,
        "{admitted} of {RETURN_COUNT} returns were readmitted, expected at most {max_admitted}"
    );
    // An entry that stays is readmitted eventually. The delay is about as long as the test has run so far.
    let _last_registration = flapping.register();
    let timeout = Duration::from_secs_f64(2.0 * MAX_DELAY_SECONDS);
    wait_until_within(timeout, "the readmission of the server", async || {
        let received_before = flapping.server.requests_received();
        let run = format!("last-{received_before}-{}", steady.requests_received());
        count_successes(&flapping.client, &run, REQUESTS_PER_RETURN).await;
        flapping.server.requests_received() > received_before
    })
    .await;
}
