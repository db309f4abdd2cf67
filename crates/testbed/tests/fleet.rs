//! A node whose discovery service is unavailable or sends invalid endpoint lists.

use reelfall_testbed::scripted::{
    get, Discovery, ListedServer, Node, Program, Server, WAIT_TIMEOUT,
};
use std::time::{Duration, Instant};

/// Number of sockets that the node may open.
const MAX_SOCKETS: usize = 256;
/// Number of requests after each event.
const REQUEST_COUNT: u32 = 10;
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long the discovery service is unavailable.
const OUTAGE_DURATION: Duration = Duration::from_secs(4);
/// Pause between two batches of requests during the outage.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Waits until a condition holds; fails with this message if it does not.
fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "{failure}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A node that follows a discovery service, which lists one server.
struct Deployment {
    node: Node,
    discovery: Discovery,
    server: Server,
}

impl Deployment {
    fn start() -> Deployment {
        let (server, discovery) = (Server::healthy(), Discovery::start());
        discovery.send_snapshot(5, &[listed("s-a", &server)]);
        let node = Node::start(&program(), discovery.address, MAX_SOCKETS);
        Deployment {
            node,
            discovery,
            server,
        }
    }

    /// Sends a request with this correlation id; returns whether it was answered 200.
    fn is_served(&self, correlation_id: &str) -> bool {
        get(self.node.address, correlation_id).status == 200
    }

    /// Sends [`REQUEST_COUNT`] requests with correlation ids numbered from `first`; asserts that all are answered 200.
    fn assert_served(&self, first: u32) {
        for index in first..first + REQUEST_COUNT {
            assert_eq!(get(self.node.address, &format!("r-{index}")).status, 200);
        }
    }
}

fn listed<'a>(name: &'a str, server: &Server) -> ListedServer<'a> {
    ListedServer::new(name, server.address, "active")
}

#[test]
fn invalid_lines_are_skipped() {
    let deployment = Deployment::start();
    let discovery = &deployment.discovery;
    let lines = [
        "{\"index\":6,\"snap",
        "[]",
        "null",
        "{\"endpoints\":[]}",
        "{\"index\":-1,\"endpoints\":[]}",
        "\u{0}\u{1}",
    ];
    for (index, line) in (0..).zip(lines) {
        // When the node sends the next poll, it has read the line.
        let polls_before = discovery.requests();
        discovery.send_line(line);
        wait_until("the node did not poll again after an invalid line", || {
            discovery.requests() > polls_before
        });
        deployment.assert_served(REQUEST_COUNT * index);
    }
    assert_eq!(
        deployment.server.requests(),
        REQUEST_COUNT as usize * lines.len()
    );
    // The next valid list is applied.
    let added = Server::healthy();
    discovery.send_snapshot(7, &[listed("s-b", &added)]);
    wait_until("a valid list after invalid lines was not applied", || {
        deployment.is_served("n") && added.requests() > 0
    });
}

/// An endpoint of a list, as discovery sends it.
fn endpoint(name: &str, address: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"k","group":1,"status":"active","weight":1.0,"since_ms":0}}"#
    )
}

#[test]
fn invalid_and_duplicate_endpoints_are_skipped() {
    let deployment = Deployment::start();
    let added = Server::healthy();
    let first_address = deployment.server.address.to_string();
    let endpoints = [
        endpoint("s-a", &first_address),
        endpoint("s-a", &first_address),
        endpoint("s-x", "nowhere"),
        "{}".to_owned(),
        "7".to_owned(),
        endpoint("s-b", &added.address.to_string()),
    ];
    deployment.discovery.send_line(&format!(
        r#"{{"index":6,"snapshot":true,"endpoints":[{}]}}"#,
        endpoints.join(",")
    ));
    wait_until("a valid endpoint among invalid ones was not used", || {
        deployment.is_served("n") && added.requests() > 0
    });
    let requests_before = deployment.server.requests();
    wait_until("an endpoint that is listed twice was not used", || {
        deployment.is_served("m") && deployment.server.requests() > requests_before
    });
}

#[test]
fn list_with_lower_index_is_applied() {
    let deployment = Deployment::start();
    let added = Server::healthy();
    deployment
        .discovery
        .send_snapshot(2, &[listed("s-b", &added)]);
    wait_until("a list with a lower index was not applied", || {
        deployment.is_served("n") && added.requests() > 0
    });
}

#[test]
fn unavailable_discovery_is_polled_with_backoff() {
    let deployment = Deployment::start();
    let discovery = &deployment.discovery;
    discovery.wait_for_watch();
    discovery.set_unavailable(true);
    let polls_before = discovery.requests();
    let started_at = Instant::now();
    let mut first = 0;
    while started_at.elapsed() < OUTAGE_DURATION {
        deployment.assert_served(first);
        first += REQUEST_COUNT;
        std::thread::sleep(BATCH_INTERVAL);
    }
    // Without backoff there would be about eighty.
    let polls = discovery.requests() - polls_before;
    assert!((1..25).contains(&polls), "{polls} polls in four seconds");
    discovery.set_unavailable(false);
    let added = Server::healthy();
    discovery.send_snapshot(9, &[listed("s-b", &added)]);
    let requests_before = deployment.server.requests();
    wait_until("the list after the outage was not applied", || {
        deployment.is_served("n") && added.requests() > 0
    });
    assert!(deployment.server.requests() >= requests_before);
}
