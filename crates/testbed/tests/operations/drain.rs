//! Draining a node and resuming it.

use crate::fixtures::{health_status, ok, program, send, Fixture, MAX_SOCKETS};
use reelfall_testbed::scripted::{
    call_management, connect, ok_response, read_request, read_response, Discovery, ListedServer,
    Node, Server,
};
use std::io::Write;
use std::time::{Duration, Instant};

const MAX_IDLE_DURING_DRAIN: Duration = Duration::from_secs(4);
/// Long enough for the drain and the signal to arrive while a request is in flight.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(700);

#[test]
fn drain_closes_connections_without_lost_requests_and_can_be_undone() {
    let fixture = Fixture::start();
    let node = &fixture.node;
    let mut used = connect(node.address);
    assert_eq!(send(&mut used, "d-1").map(|got| got.status), Some(200));
    let idle = connect(node.address);
    assert_eq!(call_management(node.management, "POST", "/-/drain"), 200);
    assert_eq!(health_status(node.address), Some(503));
    // A request on an open connection is still served, and the node closes the connection after the response.
    assert_eq!(send(&mut used, "d-2"), ok("d-2"));
    assert_eq!(read_response(&used), None);
    let started = Instant::now();
    assert_eq!(read_response(&idle), None);
    assert!(
        started.elapsed() < MAX_IDLE_DURING_DRAIN,
        "an idle connection stayed open past the drain timeout"
    );
    assert_eq!(call_management(node.management, "GET", "/-/ready"), 200);
    for path in ["/-/resume", "/-/drain", "/-/resume"] {
        assert_eq!(call_management(node.management, "POST", path), 200);
    }
    assert_eq!(health_status(node.address), Some(200));
    let mut connection = connect(node.address);
    for n in 0..3 {
        let response = send(&mut connection, &format!("e-{n}"));
        assert_eq!(response.map(|response| response.status), Some(200));
    }
}

#[test]
fn drained_node_stays_drained_after_upgrade() {
    let mut fixture = Fixture::start();
    let management = fixture.node.management;
    assert_eq!(call_management(management, "POST", "/-/drain"), 200);
    let successor = fixture.node.start_successor(&program());
    fixture.node.signal("TERM");
    assert!(fixture.node.wait());
    assert_eq!(health_status(successor.address), Some(503));
    assert_eq!(
        call_management(successor.management, "POST", "/-/resume"),
        200
    );
    assert_eq!(health_status(successor.address), Some(200));
}

#[test]
fn drained_process_answers_request_in_flight_and_exits_on_sigterm() {
    let server = Server::start(|request, _, stream| {
        std::thread::sleep(SLOW_SERVICE_TIME);
        let _ = stream.write_all(&ok_response(request));
    });
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server.address, "active")]);
    let mut node = Node::start(&program(), discovery.address, MAX_SOCKETS);
    let mut client = connect(node.address);
    client.write_all(read_request("open").as_bytes()).unwrap();
    while server.requests() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(call_management(node.management, "POST", "/-/drain"), 200);
    node.signal("TERM");
    assert_eq!(read_response(&client), ok("open"));
    assert!(node.wait());
}
