//! Management requests, drains and upgrades of the real program, over loopback sockets.

use reelfall_testbed::scripted::{
    call_management, connect, exchange, get, read_request, read_response, Discovery, ListedServer,
    Node, Program, Response, Server, WAIT_TIMEOUT,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// A node before two servers.
fn node() -> (Server, Server, Discovery, Node) {
    let (a, b) = (Server::healthy(), Server::healthy());
    let discovery = Discovery::start();
    discovery.send_snapshot(
        1,
        &[
            ListedServer::new("s-a", a.address, "active"),
            ListedServer::new("s-b", b.address, "active"),
        ],
    );
    let node = Node::start(&program(), discovery.address, 256);
    (a, b, discovery, node)
}

/// Asks until a server is reached.
fn until_seen(node: &Node, server: &Server) {
    let (before, began) = (server.requests(), Instant::now());
    for n in 0.. {
        // What is cold may be sent little, and what finds no other server is refused.
        assert!(matches!(
            get(node.address, &format!("u-{n}")).status,
            200 | 503
        ));
        if server.requests() > before {
            return;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "a server stays unused");
    }
}

#[test]
fn a_banned_server_gets_nothing_until_its_ban_is_lifted_whatever_its_list_says() {
    let (a, b, discovery, node) = node();
    until_seen(&node, &a);
    until_seen(&node, &b);
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    let before = a.requests();
    // The list drops it, renews it, moves it back and forth.
    discovery.send_delta(2, &[ListedServer::new("s-a", a.address, "left")]);
    for n in 0..20 {
        assert_eq!(get(node.address, &format!("d-{n}")).status, 200);
    }
    discovery.send_delta(3, &[ListedServer::new("s-a", a.address, "active")]);
    discovery.send_snapshot(
        4,
        &[
            ListedServer::new("s-a", a.address, "active"),
            ListedServer::new("s-b", b.address, "active"),
        ],
    );
    for n in 0..40 {
        assert_eq!(get(node.address, &format!("r-{n}")).status, 200);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(
        a.requests(),
        before,
        "a server that is out by hand is sent to"
    );
    // With all out, requests are refused and run nowhere.
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-b/disable"),
        200
    );
    let before = (a.requests(), b.requests());
    assert_eq!(get(node.address, "none").status, 503);
    assert_eq!((a.requests(), b.requests()), before);
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-b/enable"),
        200
    );
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/enable"),
        200
    );
    until_seen(&node, &a);
    until_seen(&node, &b);
}

#[test]
fn unknown_management_requests_are_rejected_with_a_reason() {
    let (_a, _b, _discovery, node) = node();
    for (method, path, status) in [
        ("GET", "/-/ready", 200),
        ("POST", "/-/ready", 405),
        ("POST", "/-/servers/s-c/disable", 404),
        ("POST", "/-/servers/s-c/enable", 404),
        ("POST", "/-/servers//enable", 400),
        ("POST", "/-/servers/%fe/disable", 400),
        ("GET", "/-/servers/s-a/disable", 405),
        ("GET", "/api", 404),
    ] {
        assert_eq!(
            call_management(node.management, method, path),
            status,
            "{method} {path}"
        );
    }
    let body = b"POST /-/drain HTTP/1.1\r\nhost: n\r\ncontent-length: 3\r\n\r\nabc";
    assert_eq!(exchange(node.management, body).map(|g| g.status), Some(400));
    assert_eq!(get(node.address, "still-served").status, 200);
}

#[test]
fn the_command_line_reports_success_rejection_and_an_unreachable_node() {
    let (_a, _b, _discovery, node) = node();
    let run = |args: &[&str], to: SocketAddr| {
        let mut command = program().command();
        command
            .args(args)
            .args(["--management", &to.to_string()])
            .output()
            .unwrap()
            .status
            .code()
    };
    assert_eq!(run(&["ready"], node.management), Some(0));
    assert_eq!(run(&["disable", "s-a"], node.management), Some(0));
    assert_eq!(run(&["enable", "s-a"], node.management), Some(0));
    assert_eq!(run(&["disable", "s/../x"], node.management), Some(1));
    for verb in ["drain", "resume"] {
        assert_eq!(run(&[verb], node.management), Some(0));
    }
    drop(node);
    let nobody = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(run(&["ready"], nobody), Some(69));
}

#[test]
fn silent_and_incomplete_management_requests_delay_nobody() {
    let (_a, _b, _discovery, node) = node();
    let crowd: Vec<_> = (0..40)
        .map(|n| {
            let mut silent = connect(node.management);
            let _ = silent.write_all(if n % 2 == 0 { b"" } else { b"POST /-/dr" });
            silent
        })
        .collect();
    for _ in 0..10 {
        let asked = Instant::now();
        assert_eq!(call_management(node.management, "GET", "/-/ready"), 200);
        assert!(
            asked.elapsed() < Duration::from_secs(1),
            "a call is held up by callers that say nothing"
        );
    }
    // Sixteen have a place at most: the first has long made room for the others.
    let asked = Instant::now();
    let _ = read_response(&crowd[0]);
    assert!(
        asked.elapsed() < Duration::from_secs(2),
        "callers that say nothing pile up"
    );
}

#[test]
fn a_drain_closes_connections_without_losing_a_request_and_ends_without_a_trace() {
    let (_a, _b, _discovery, node) = node();
    let mut used = connect(node.address);
    let ask = |stream: &mut std::net::TcpStream, id: &str| {
        stream.write_all(read_request(id).as_bytes()).unwrap();
        read_response(stream)
    };
    assert_eq!(ask(&mut used, "d-1").map(|g| g.status), Some(200));
    let idle = connect(node.address);
    assert_eq!(call_management(node.management, "POST", "/-/drain"), 200);
    let health = b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";
    assert_eq!(exchange(node.address, health).map(|g| g.status), Some(503));
    // What a client still asks on an open connection is answered, and the answer ends the connection.
    assert_eq!(
        ask(&mut used, "d-2"),
        Some(Response {
            status: 200,
            body: "d-2".to_owned()
        })
    );
    assert_eq!(read_response(&used), None);
    let began = Instant::now();
    assert_eq!(read_response(&idle), None);
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "an idle connection outlives the drain's patience"
    );
    assert_eq!(call_management(node.management, "GET", "/-/ready"), 200);
    for path in ["/-/resume", "/-/drain", "/-/resume"] {
        assert_eq!(call_management(node.management, "POST", path), 200);
    }
    assert_eq!(exchange(node.address, health).map(|g| g.status), Some(200));
    let mut again = connect(node.address);
    for n in 0..3 {
        assert_eq!(
            ask(&mut again, &format!("e-{n}")).map(|g| g.status),
            Some(200)
        );
    }
}

/// Clients that send one request after the other on connections of their own, until told to stop.
struct Load {
    stop: Arc<AtomicBool>,
    /// Number of requests that have ended, of all clients.
    ended: Arc<AtomicUsize>,
    clients: Vec<std::thread::JoinHandle<LoadReport>>,
}

/// What became of the requests of a load.
#[derive(Default)]
struct LoadReport {
    /// Number of requests.
    requests: usize,
    /// Those that were not served, with what was seen instead.
    lost: Vec<String>,
}

impl Load {
    /// Every third client connects anew for each request; the others keep their connections, and rest between requests
    /// so that some are idle at any time.
    fn start(node: SocketAddr, clients: usize) -> Load {
        let (stop, ended) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let start = |client| {
            let (stop, ended) = (Arc::clone(&stop), Arc::clone(&ended));
            std::thread::spawn(move || Self::run_client(node, client, &stop, &ended))
        };
        Load {
            clients: (0..clients).map(start).collect(),
            stop,
            ended,
        }
    }

    fn run_client(
        node: SocketAddr,
        client: usize,
        stop: &AtomicBool,
        ended: &AtomicUsize,
    ) -> LoadReport {
        let mut report = LoadReport::default();
        let mut connection = Err("not connected".to_owned());
        while !stop.load(Ordering::SeqCst) {
            let id = format!("l-{client}-{}", report.requests);
            if client.is_multiple_of(3) || connection.is_err() {
                connection = TcpStream::connect(node).map_err(|error| error.to_string());
            }
            connection = connection.and_then(|stream| Self::request(stream, &id));
            if let Err(seen) = &connection {
                report.lost.push(format!("{id}: {seen}"));
            }
            report.requests += 1;
            ended.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(client as u64 % 7));
        }
        report
    }

    /// Sends a request and returns the connection if it was served; otherwise what was seen instead.
    fn request(mut stream: TcpStream, id: &str) -> Result<TcpStream, String> {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let sent = stream.write_all(read_request(id).as_bytes());
        match read_response(&stream) {
            Some(response) if response.status == 200 && response.body == id => Ok(stream),
            response => Err(format!("{sent:?} {response:?}")),
        }
    }

    /// Waits until more than this number of requests have ended.
    fn wait_for_more_than(&self, requests: usize) {
        let began = Instant::now();
        while self.ended.load(Ordering::SeqCst) <= requests {
            assert!(began.elapsed() < WAIT_TIMEOUT, "the load has stopped");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn stop(self) -> LoadReport {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = LoadReport::default();
        for client in self.clients {
            let report = client.join().unwrap();
            all.requests += report.requests;
            all.lost.extend(report.lost);
        }
        all
    }
}

#[test]
fn twenty_upgrades_under_load_lose_no_request_and_no_connection() {
    let (a, _b, _discovery, mut node) = node();
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    let before = a.requests();
    let load = Load::start(node.address, 12);
    for _ in 0..20 {
        let next = node.start_successor(&program());
        node.signal("TERM");
        assert!(node.wait(), "the old process ends with a failure");
        node = next;
    }
    let LoadReport { requests, lost } = load.stop();
    assert!(
        lost.is_empty(),
        "{} of {requests} requests were lost: {lost:?}",
        lost.len()
    );
    assert_eq!(a.requests(), before, "a ban does not outlive an upgrade");
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/enable"),
        200
    );
    until_seen(&node, &a);
}

#[test]
fn a_successor_that_dies_before_or_after_it_serves_leaves_the_old_process_serving() {
    let (_a, _b, _discovery, node) = node();
    let load = Load::start(node.address, 6);
    for n in 0..6 {
        let mut successor = node.spawn_successor(&program());
        std::thread::sleep(Duration::from_millis(15 * n));
        successor.kill();
        std::thread::sleep(Duration::from_millis(50));
    }
    load.wait_for_more_than(100);
    let LoadReport { requests, lost } = load.stop();
    // Clients that a successor had accepted end with it; the old process takes the next ones.
    assert!(
        requests > 100 && lost.len() <= 6 * 6,
        "{} of {requests}: {lost:?}",
        lost.len()
    );
    for n in 0..20 {
        assert_eq!(get(node.address, &format!("after-{n}")).status, 200);
    }
}

#[test]
fn after_a_successor_that_served_has_died_the_next_one_takes_over_the_connections() {
    let (_a, _b, _discovery, mut node) = node();
    let mut first = node.start_successor(&program());
    first.kill();
    let request = |stream: &mut TcpStream, id: &str| {
        stream.write_all(read_request(id).as_bytes()).unwrap();
        let served = Response {
            status: 200,
            body: id.to_owned(),
        };
        assert_eq!(read_response(stream), Some(served));
    };
    // The old process serves this one: there is no other.
    let mut connection = connect(node.address);
    request(&mut connection, "before");
    let _second = node.start_successor(&program());
    node.signal("TERM");
    assert!(node.wait());
    request(&mut connection, "after");
}

#[test]
fn garbage_or_silence_on_the_handover_socket_prevents_no_upgrade() {
    let (_a, _b, _discovery, mut node) = node();
    let socket = node.folder().join("reelfall-n0.takeover");
    let mut garbage = std::os::unix::net::UnixStream::connect(&socket).unwrap();
    garbage.write_all(b"\xff\xff\xff\xffnonsense").unwrap();
    let _silent = std::os::unix::net::UnixStream::connect(&socket).unwrap();
    let load = Load::start(node.address, 4);
    let next = node.start_successor(&program());
    node.signal("TERM");
    assert!(node.wait());
    let LoadReport { requests, lost } = load.stop();
    assert!(lost.is_empty(), "{} of {requests}: {lost:?}", lost.len());
    // What a killed process leaves there is in nobody's way.
    node = next;
    node.kill();
    let after = node.start_successor(&program());
    assert_eq!(get(after.address, "after").status, 200);
}

#[test]
fn a_drained_node_stays_drained_across_an_upgrade() {
    let (_a, _b, _discovery, mut node) = node();
    assert_eq!(call_management(node.management, "POST", "/-/drain"), 200);
    let next = node.start_successor(&program());
    node.signal("TERM");
    assert!(node.wait());
    let health = b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";
    assert_eq!(exchange(next.address, health).map(|g| g.status), Some(503));
    assert_eq!(call_management(next.management, "POST", "/-/resume"), 200);
    assert_eq!(exchange(next.address, health).map(|g| g.status), Some(200));
}

#[test]
fn a_ban_outlives_an_upgrade_in_which_the_list_drops_the_server_and_names_it_again() {
    let (a, b, discovery, mut node) = node();
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    let before = a.requests();
    discovery.send_snapshot(2, &[ListedServer::new("s-b", b.address, "active")]);
    let next = node.start_successor(&program());
    // Told to the new process, in force in the old one too; and known though no list names it at this moment.
    assert_eq!(
        call_management(next.management, "POST", "/-/servers/s-a/disable"),
        200
    );
    node.signal("TERM");
    assert!(node.wait());
    discovery.send_snapshot(
        3,
        &[
            ListedServer::new("s-a", a.address, "active"),
            ListedServer::new("s-b", b.address, "active"),
        ],
    );
    for n in 0..60 {
        assert_eq!(get(next.address, &format!("d-{n}")).status, 200);
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(a.requests(), before);
    assert_eq!(
        call_management(next.management, "POST", "/-/servers/s-a/enable"),
        200
    );
    until_seen(&next, &a);
}

#[test]
fn a_change_that_cannot_be_stored_is_applied_and_reported_as_an_error() {
    let (a, _b, _discovery, node) = node();
    std::fs::remove_dir_all(node.folder()).unwrap();
    assert_eq!(
        call_management(node.management, "POST", "/-/servers/s-a/disable"),
        500
    );
    let before = a.requests();
    for n in 0..30 {
        assert_eq!(get(node.address, &format!("w-{n}")).status, 200);
    }
    assert_eq!(a.requests(), before);
}

#[test]
fn a_frozen_process_does_not_keep_a_new_one_from_serving() {
    let (_a, _b, _discovery, mut node) = node();
    node.signal("STOP");
    let next = node.start_successor(&program());
    node.kill();
    for n in 0..20 {
        assert_eq!(get(next.address, &format!("f-{n}")).status, 200);
    }
}

#[test]
fn a_drained_process_ends_on_sigterm_and_answers_what_it_has() {
    let server = Server::start(|request, _, stream| {
        std::thread::sleep(Duration::from_millis(700));
        let _ = stream.write_all(&reelfall_testbed::scripted::ok_response(request));
    });
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server.address, "active")]);
    let mut node = Node::start(&program(), discovery.address, 256);
    let mut open = connect(node.address);
    open.write_all(read_request("open").as_bytes()).unwrap();
    while server.requests() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(call_management(node.management, "POST", "/-/drain"), 200);
    node.signal("TERM");
    assert_eq!(
        read_response(&open),
        Some(Response {
            status: 200,
            body: "open".to_owned()
        })
    );
    assert!(node.wait());
}
