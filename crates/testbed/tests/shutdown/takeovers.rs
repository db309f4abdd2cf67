//! SIGTERM to a process that takes over, or to one that is taken over from.

use crate::fixtures::program;
use reelfall_testbed::scripted::{
    call_management, connect, get, read_request, read_response, write_request, Discovery,
    GatedServer, Node, Server,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixListener;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

const MAX_SOCKETS: usize = 256;
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Longer than a process accepts connections after SIGTERM, and shorter than it may take to answer a request.
const AFTER_ACCEPT_GRACE: Duration = Duration::from_millis(1000);

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

/// Guards against clients that nobody accepts: a process that has taken over is told to end, answers its last request, and
/// its predecessor, which was not told to end, waits for its exit.
#[test]
fn predecessor_serves_while_its_successor_shuts_down() {
    let GatedServer {
        server,
        arrived,
        release,
    } = GatedServer::start();
    let fixture = Fixture::start(&server);
    let mut successor = fixture.node.start_successor(&program());
    let mut last_client = connect(fixture.node.address);
    last_client
        .write_all(read_request("last").as_bytes())
        .unwrap();
    arrived.wait();
    successor.signal("TERM");
    let terminated_at = Instant::now();
    while terminated_at.elapsed() < AFTER_ACCEPT_GRACE {
        assert!(is_accepted_and_answered(fixture.node.address));
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(
        successor.is_running(),
        "no other process accepted connections until the successor ended"
    );
    release.wait();
    let last = read_response(&last_client);
    assert_eq!(last.map(|response| response.status), Some(200));
    assert!(successor.wait());
    assert!(is_accepted_and_answered(fixture.node.address));
}

/// Whether a health check on a new connection is answered with 200; no server sees it.
fn is_accepted_and_answered(address: SocketAddr) -> bool {
    health(address) == Some(200)
}

/// The status of a health check on a new connection; `None` if it is not answered.
fn health(address: SocketAddr) -> Option<u16> {
    let mut stream = connect(address);
    let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n");
    read_response(&stream).map(|response| response.status)
}

/// Guards against clients that nobody accepts: a process that has the sockets but no list of servers does not notice that its
/// predecessor has ended.
#[test]
fn standby_process_accepts_once_its_predecessor_has_ended() {
    let server = Server::healthy();
    let mut fixture = Fixture::start(&server);
    let standby = fixture.start_standby();
    fixture.node.kill();
    // Without a list, requests are rejected, which a client may repeat.
    assert_eq!(get(standby.address, "early").status, 503);
    fixture.discovery.set_unavailable(false);
    let started_at = Instant::now();
    while get(standby.address, "late").status != 200 {
        assert!(started_at.elapsed() < reelfall_testbed::scripted::WAIT_TIMEOUT);
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against connections that a process accepts right before its end, though its successor has the sockets too: the process
/// ended with their requests unread.
#[test]
fn connection_right_before_the_end_is_left_to_the_successor() {
    /// SIGKILL may come this long after SIGTERM: the deadline is longer than the 3 s that count.
    const TIME_TO_KILL: Duration = Duration::from_millis(3700);
    const CONNECT_BEFORE_KILL: Duration = Duration::from_millis(200);
    const STALL_BEFORE_KILL: Duration = Duration::from_millis(180);
    /// The process goes on after it should have ended.
    const RESUME_BEFORE_KILL: Duration = Duration::from_millis(60);
    let GatedServer {
        server, arrived, ..
    } = GatedServer::start();
    let fixture = Fixture::start(&server);
    let _standby = fixture.start_standby();
    // Keeps the process until its time is up.
    let mut held = connect(fixture.node.address);
    held.write_all(write_request("held", "content-length: 1", "x").as_bytes())
        .unwrap();
    arrived.wait();
    let killed_at = Instant::now() + TIME_TO_KILL;
    let sleep_until_before_kill = |time: Duration| {
        std::thread::sleep((killed_at - time).saturating_duration_since(Instant::now()))
    };
    fixture.node.signal("TERM");
    sleep_until_before_kill(CONNECT_BEFORE_KILL);
    let mut client = connect(fixture.node.address);
    sleep_until_before_kill(STALL_BEFORE_KILL);
    fixture.node.signal("STOP");
    client.write_all(read_request("last").as_bytes()).unwrap();
    sleep_until_before_kill(RESUME_BEFORE_KILL);
    fixture.node.signal("CONT");
    let response = read_response(&client);
    assert!(
        response.is_some(),
        "the connection was closed without an answer"
    );
}

/// Guards against clients that nobody accepts while a process that was told to end forwards a long answer, and its successor is
/// not ready.
#[test]
fn standby_process_accepts_while_its_predecessor_forwards_a_long_answer() {
    const HALF_LEN: usize = 200_000;
    let release = Arc::new(Barrier::new(2));
    let released = release.clone();
    let server = Server::start(move |_, _, stream| {
        let length = 2 * HALF_LEN;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&[b'x'; HALF_LEN]);
        released.wait();
        let _ = stream.write_all(&[b'x'; HALF_LEN]);
    });
    let mut fixture = Fixture::start(&server);
    let mut client = connect(fixture.node.address);
    client.write_all(read_request("long").as_bytes()).unwrap();
    let mut first_byte = [0];
    client.peek(&mut first_byte).unwrap();
    let standby = fixture.start_standby();
    fixture.node.signal("TERM");
    let terminated_at = Instant::now();
    // The predecessor is ready, the standby is not.
    while health(standby.address) != Some(503) {
        assert!(terminated_at.elapsed() < reelfall_testbed::scripted::WAIT_TIMEOUT);
        std::thread::sleep(POLL_INTERVAL);
    }
    assert!(fixture.node.is_running(), "the answer was cut off");
    release.wait();
    let response = read_response(&client);
    assert_eq!(
        response.map(|response| response.body.len()),
        Some(2 * HALF_LEN)
    );
    assert!(fixture.node.wait());
}
