//! Ids that come back on another connection or at another process.

use crate::servers::{self, Servers};
use crate::{program, start_node};
use reelfall_testbed::scripted::{
    connect, read_response, write_request, Message, Response, WAIT_TIMEOUT,
};
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long servers take for a request whose id names one of these times.
const SERVER_TIMES_MS: [u64; 3] = [0, 60, 700];
/// How long after its client has left an id comes back.
const RETURN_TIMES_MS: [u64; 4] = [0, 50, 200, 500];

/// The id of a request for which a server takes this long.
fn id(test: &str, server_ms: u64, return_ms: u64) -> String {
    format!("{test}-{server_ms}-{return_ms}")
}

/// How long a server takes for a request.
fn server_time(request: &Message) -> Duration {
    let id = request.header("x-correlation-id").unwrap_or("");
    let milliseconds = id.split('-').nth(1).and_then(|text| text.parse().ok());
    Duration::from_millis(milliseconds.unwrap_or(0))
}

fn send_unsafe(node: SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(node);
    let request = write_request(id, "content-length: 1", "x");
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Sends an unsafe request and leaves once it runs.
fn send_and_leave(node: SocketAddr, servers: &Servers, id: &str) {
    let stream = send_unsafe(node, id);
    servers.runs.wait_for(id);
    let _ = stream.shutdown(Shutdown::Both);
}

/// Sends an unsafe request again after this time, and checks that it has run once.
fn come_back(node: SocketAddr, servers: &Servers, id: &str, return_ms: u64) -> Option<Response> {
    std::thread::sleep(Duration::from_millis(return_ms));
    let response = read_response(&send_unsafe(node, id));
    let runs = servers.runs.of(id).len();
    assert_eq!(
        runs, 1,
        "{id} ran {runs} times; the second answer: {response:?}"
    );
    response
}

/// Guards against an id that is forgotten as soon as its request has ended, though its client did not see the answer.
#[test]
fn unsafe_request_whose_client_left_does_not_run_again_on_another_connection() {
    let servers = servers::start(server_time);
    let (_discovery, node) = start_node(&servers.addresses);
    std::thread::scope(|scope| {
        for server_ms in SERVER_TIMES_MS {
            for return_ms in RETURN_TIMES_MS {
                let (servers, node) = (&servers, &node);
                scope.spawn(move || {
                    let id = id("c", server_ms, return_ms);
                    send_and_leave(node.address, servers, &id);
                    come_back(node.address, servers, &id, return_ms);
                });
            }
        }
    });
}

/// Guards against an id that ends with its connection, where the client comes back before the node has seen the end.
#[test]
fn unsafe_request_that_was_answered_does_not_run_again() {
    let servers = servers::start(server_time);
    let (_discovery, node) = start_node(&servers.addresses);
    let stream = send_unsafe(node.address, "a-0-0");
    assert_eq!(
        read_response(&stream).map(|response| response.status),
        Some(200)
    );
    let again = come_back(node.address, &servers, "a-0-0", 0);
    assert_eq!(again.map(|response| response.status), Some(409));
}

/// Guards against ids that stay claimed where nothing has run: such a request may be sent again at once.
#[test]
fn unsafe_request_that_never_ran_may_come_back() {
    let servers = servers::start(server_time);
    let (discovery, node) = start_node(&servers.addresses);
    let unlisted = [];
    discovery.send_snapshot(2, &unlisted);
    let send = || read_response(&send_unsafe(node.address, "n-0-0")).expect("an answer");
    let mut response = send();
    while response.status == 409 {
        response = send();
    }
    // Until the list without servers has arrived, the request may have run.
    let has_run = !servers.runs.of("n-0-0").is_empty();
    assert!(has_run || response.status != 409, "{response:?}");
}

/// Guards against an id that the other process of an upgrade does not know.
#[test]
fn unsafe_request_whose_client_left_does_not_run_again_at_the_successor() {
    let servers = servers::start(server_time);
    let (_discovery, node) = start_node(&servers.addresses);
    let requests: Vec<(String, u64, TcpStream)> = SERVER_TIMES_MS
        .into_iter()
        .flat_map(|server_ms| RETURN_TIMES_MS.map(|return_ms| (server_ms, return_ms)))
        .map(|(server_ms, return_ms)| {
            let id = id("u", server_ms, return_ms);
            let stream = send_unsafe(node.address, &id);
            servers.runs.wait_for(&id);
            (id, return_ms, stream)
        })
        .collect();
    let successor = node.start_successor(&program());
    node.signal("TERM");
    std::thread::scope(|scope| {
        for (id, return_ms, stream) in requests {
            let (servers, successor) = (&servers, &successor);
            scope.spawn(move || {
                let _ = stream.shutdown(Shutdown::Both);
                come_back(successor.address, servers, &id, return_ms);
            });
        }
    });
}

/// Guards against the same while the old process serves on: a request is sent there while the successor starts.
#[test]
fn unsafe_request_that_runs_during_an_upgrade_does_not_run_again() {
    let servers = servers::start(server_time);
    let (_discovery, node) = start_node(&servers.addresses);
    std::thread::scope(|scope| {
        for number in 0..30 {
            let (servers, address) = (&servers, node.address);
            scope.spawn(move || {
                std::thread::sleep(Duration::from_millis(20 * number));
                let id = id(&format!("d{number}"), 60, 0);
                send_and_leave(address, servers, &id);
                come_back(address, servers, &id, 0);
            });
        }
        let successor = node.start_successor(&program());
        std::thread::sleep(Duration::from_millis(400));
        drop(successor);
    });
}

/// How many unsafe requests are sent one after the other while both processes of an upgrade run.
const REQUESTS_DURING_UPGRADE: usize = 1_500;

/// Guards against requests that are refused since the other process does not take notice of their ids fast enough.
#[test]
fn unsafe_requests_are_served_while_both_processes_of_an_upgrade_run() {
    let servers = servers::start(|_| Duration::ZERO);
    let (_discovery, node) = start_node(&servers.addresses);
    let successor = node.start_successor(&program());
    let mut stream = connect(successor.address);
    for number in 0..REQUESTS_DURING_UPGRADE {
        let request = write_request(&format!("s-0-{number}"), "content-length: 1", "x");
        stream.write_all(request.as_bytes()).unwrap();
        let status = read_response(&stream).map(|response| response.status);
        assert_eq!(status, Some(200), "request {number}");
    }
}

/// Guards against a process that is stopped and holds up the unsafe requests of the other one for good.
#[test]
fn unsafe_requests_are_served_again_though_the_other_process_is_stopped() {
    let servers = servers::start(|_| Duration::ZERO);
    let (_discovery, node) = start_node(&servers.addresses);
    let successor = node.start_successor(&program());
    node.signal("STOP");
    let (started, mut served) = (Instant::now(), 0);
    // Far more than the socket between the processes holds.
    for number in 0.. {
        let id = format!("t-0-{number}");
        let status = read_response(&send_unsafe(successor.address, &id)).map(|it| it.status);
        served = if status == Some(200) { served + 1 } else { 0 };
        assert!(matches!(status, Some(200 | 503)), "{status:?}");
        if served > REQUESTS_DURING_UPGRADE {
            break;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{served} served in a row");
    }
    node.signal("CONT");
}
