//! Requests and connections during a graceful shutdown.

use crate::fixtures::{ok, Fixture};
use reelfall_testbed::scripted::{
    connect, read_request, read_response, write_request, GatedServer,
};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longest time for which a node accepts connections after the signal.
const MAX_TIME_TO_CLOSED_LISTENER: Duration = Duration::from_secs(4);

#[test]
fn shutdown_answers_request_in_flight_and_exits() {
    let GatedServer {
        server,
        arrived,
        release,
    } = GatedServer::start();
    let mut fixture = Fixture::start(&server);
    let node = &mut fixture.node;
    let idle = connect(node.address);
    let mut client = connect(node.address);
    client.write_all(read_request("t-1").as_bytes()).unwrap();
    arrived.wait();
    node.signal("TERM");
    assert_eq!(read_response(&idle), None);
    release.wait();
    let response = read_response(&client);
    assert_eq!(response.map(|response| response.status), Some(200));
    assert!(node.wait(), "the process exited with a failure");
}

#[test]
fn listener_is_closed_while_last_request_is_in_flight() {
    let GatedServer {
        server,
        arrived,
        release,
    } = GatedServer::start();
    let mut fixture = Fixture::start(&server);
    let node = &mut fixture.node;
    let mut client = connect(node.address);
    client
        .write_all(write_request("open", "content-length: 1", "x").as_bytes())
        .unwrap();
    arrived.wait();
    node.signal("TERM");
    // The node accepts connections for a short time, then closes the listener although a client is still connected.
    let started = Instant::now();
    while TcpStream::connect(node.address).is_ok() {
        assert!(
            started.elapsed() < MAX_TIME_TO_CLOSED_LISTENER,
            "a node that is shutting down still accepts connections"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    release.wait();
    assert_eq!(read_response(&client), Some(ok("open")));
    assert!(node.wait());
}
