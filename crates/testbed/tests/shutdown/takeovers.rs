//! SIGTERM to a process that takes over, or to one that is taken over from.

use crate::fixtures::program;
use reelfall_testbed::scripted::{call_management, get, read_response, Discovery, Node, Server};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

const MAX_SOCKETS: usize = 256;
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

struct Fixture {
    node: Node,
    discovery: Discovery,
}

impl Fixture {
    fn start(server: &Server) -> Fixture {
        let discovery = Discovery::listing(&[server.address]);
        let node = Node::start(&program(), discovery.address, MAX_SOCKETS);
        Fixture { node, discovery }
    }

    /// Starts a process that takes over the sockets of the node and gets no list of servers, so that it does not serve.
    fn start_standby(&self) -> Node {
        self.discovery.set_unavailable(true);
        let standby = self.node.spawn_successor(&program());
        // The management address is served once the process has the sockets.
        let started_at = Instant::now();
        while TcpStream::connect(standby.management).is_err() {
            assert!(started_at.elapsed() < reelfall_testbed::scripted::WAIT_TIMEOUT);
            std::thread::sleep(POLL_INTERVAL);
        }
        assert_eq!(call_management(standby.management, "GET", "/-/ready"), 503);
        standby
    }
}

/// Guards against a process that is told to end while it waits for its predecessor, and only then begins to serve: the clock
/// of its shutdown started when it had started.
#[test]
fn starting_process_ends_without_serving() {
    let server = Server::healthy();
    let Fixture {
        mut node,
        discovery: _discovery,
    } = Fixture::start(&server);
    node.kill();
    // Stands for a predecessor that is held up.
    let handover_socket = node.folder().join("reelfall-n0.takeover");
    std::fs::remove_file(&handover_socket).unwrap();
    let predecessor = UnixListener::bind(&handover_socket).unwrap();
    let mut starting = node.spawn_successor(&program());
    let (_exchange, _) = predecessor.accept().unwrap();
    starting.signal("TERM");
    while starting.is_running() {
        assert!(
            TcpStream::connect(starting.management).is_err(),
            "the process serves although it was told to end"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(starting.wait());
}

/// Guards against a process that is told to end before it serves, and then takes the connections that its predecessor would
/// accept.
#[test]
fn standby_process_ends_without_serving() {
    let server = Server::healthy();
    let fixture = Fixture::start(&server);
    let mut standby = fixture.start_standby();
    standby.signal("TERM");
    fixture.discovery.set_unavailable(false);
    let mut requests = 0;
    while standby.is_running() {
        assert_eq!(
            get(fixture.node.address, &format!("r-{requests}")).status,
            200
        );
        requests += 1;
        assert_ne!(
            try_ready(standby.management),
            Some(200),
            "the process takes over although it was told to end"
        );
    }
    assert!(standby.wait());
    assert_eq!(get(fixture.node.address, "after").status, 200);
}

/// The status of the readiness path; `None` if the process no longer answers.
fn try_ready(management: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(management).ok()?;
    let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nhost: n\r\n\r\n");
    read_response(&stream).map(|response| response.status)
}
