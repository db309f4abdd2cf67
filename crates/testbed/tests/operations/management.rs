//! Management requests and the command line that sends them.

use crate::fixtures::{program, Fixture};
use reelfall_testbed::scripted::{call_management, connect, exchange, get, read_response};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// More connections than the management address serves at the same time.
const SILENT_CONNECTIONS: usize = 40;
/// Exit code of the command line if no node listens (`EX_UNAVAILABLE`).
const EXIT_UNAVAILABLE: i32 = 69;

#[test]
fn unknown_management_requests_are_rejected_with_reason() {
    let fixture = Fixture::start();
    let node = &fixture.node;
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
    let request_with_body = b"POST /-/drain HTTP/1.1\r\nhost: n\r\ncontent-length: 3\r\n\r\nabc";
    let response = exchange(node.management, request_with_body);
    assert_eq!(response.map(|response| response.status), Some(400));
    assert_eq!(get(node.address, "still-served").status, 200);
}

/// Runs the program's command line against a management address; returns the exit code.
fn run_command(args: &[&str], management: SocketAddr) -> Option<i32> {
    let mut command = program().command();
    command
        .args(args)
        .args(["--management", &management.to_string()])
        .output()
        .unwrap()
        .status
        .code()
}

#[test]
fn command_line_reports_success_rejection_and_unreachable_node() {
    let fixture = Fixture::start();
    let management = fixture.node.management;
    assert_eq!(run_command(&["ready"], management), Some(0));
    assert_eq!(run_command(&["disable", "s-a"], management), Some(0));
    assert_eq!(run_command(&["enable", "s-a"], management), Some(0));
    assert_eq!(run_command(&["disable", "s/../x"], management), Some(1));
    for verb in ["drain", "resume"] {
        assert_eq!(run_command(&[verb], management), Some(0));
    }
    drop(fixture.node);
    let closed_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(
        run_command(&["ready"], closed_address),
        Some(EXIT_UNAVAILABLE)
    );
}

#[test]
fn silent_and_incomplete_management_requests_do_not_delay_others() {
    let fixture = Fixture::start();
    let node = &fixture.node;
    let silent_connections: Vec<_> = (0..SILENT_CONNECTIONS)
        .map(|n| {
            let mut stream = connect(node.management);
            let _ = stream.write_all(if n % 2 == 0 { b"" } else { b"POST /-/dr" });
            stream
        })
        .collect();
    for _ in 0..10 {
        let sent = Instant::now();
        assert_eq!(call_management(node.management, "GET", "/-/ready"), 200);
        assert!(
            sent.elapsed() < Duration::from_secs(1),
            "silent connections delayed a management request"
        );
    }
    // The node serves at most sixteen management connections at a time: it has closed the first one to admit later ones.
    let sent = Instant::now();
    let _ = read_response(&silent_connections[0]);
    assert!(
        sent.elapsed() < Duration::from_secs(2),
        "silent connections accumulate"
    );
}
