//! Connections that are closed while a request, a response or pipelined bytes are in flight: the real program over loopback
//! sockets. The tests force the order of the events.

use reelfall_testbed::scripted::{
    connect, get, listener_with_full_backlog, ok_response, read_request, read_response, serve,
    wait_for_connection_attempt, write_request, Discovery, GatedServer, ListedServer, Message,
    Node, Program, Server, WAIT_TIMEOUT,
};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

const MAX_SOCKETS: usize = 256;
/// Time that the node has to detect that a client has closed its connection.
const ABORT_DETECTION_TIME: Duration = Duration::from_millis(100);
/// Longest time for which an idle connection is kept after a rejection. Without rejections it would be kept for 4 s.
const MAX_IDLE_AFTER_REJECTION: Duration = Duration::from_secs(3);

fn start_node(server: SocketAddr) -> (Discovery, Node) {
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server, "active")]);
    let program = Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"));
    let node = Node::start(&program, discovery.address, MAX_SOCKETS);
    (discovery, node)
}

/// A server that closes the connection of the first request without a response, and serves all others.
struct ServerFailingOnce {
    server: Server,
    /// The server waits here when the first request has arrived.
    arrived: Arc<Barrier>,
    /// The server waits here before it closes the connection.
    release: Arc<Barrier>,
    /// The ids of all requests that have arrived.
    ids: Arc<Mutex<Vec<String>>>,
}

impl ServerFailingOnce {
    fn start() -> ServerFailingOnce {
        let (arrived, release) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
        let (server_arrived, server_release) = (arrived.clone(), release.clone());
        let ids = Arc::new(Mutex::new(Vec::new()));
        let received_ids = ids.clone();
        let server = Server::start(move |request, number, stream| {
            let id = request.header("x-correlation-id").unwrap_or("none");
            received_ids.lock().unwrap().push(id.to_owned());
            if number == 0 {
                server_arrived.wait();
                server_release.wait();
                let _ = stream.shutdown(Shutdown::Both);
            } else {
                let _ = stream.write_all(&ok_response(request));
            }
        });
        ServerFailingOnce {
            server,
            arrived,
            release,
            ids,
        }
    }

    /// Number of requests with this id that have arrived.
    fn requests_with_id(&self, id: &str) -> usize {
        let ids = self.ids.lock().unwrap();
        ids.iter().filter(|received| *received == id).count()
    }
}

/// Sends a request and waits for its response. By then the node has processed all earlier events.
fn wait_for_served_request(node: &Node, id: &str) {
    assert_eq!(get(node.address, id).status, 200);
}

#[test]
fn client_abort_after_pipelined_bytes_prevents_retry() {
    let pipelined_variants = [
        String::new(),
        read_request("next"),
        read_request("next").repeat(60),
        write_request("next", "content-length: 200000", &"x".repeat(200_000)),
        write_request("next", "content-length: 40", "half"),
    ];
    for pipelined in pipelined_variants {
        let failing = ServerFailingOnce::start();
        let (_discovery, node) = start_node(failing.server.address);
        let mut client = connect(node.address);
        client
            .write_all((read_request("gone") + &pipelined).as_bytes())
            .unwrap();
        failing.arrived.wait();
        drop(client);
        let (closed, mut n) = (Instant::now(), 0);
        while closed.elapsed() < ABORT_DETECTION_TIME {
            wait_for_served_request(&node, &format!("t-{n}"));
            n += 1;
        }
        failing.release.wait();
        wait_for_served_request(&node, "last");
        // The request is idempotent and within its deadline, but no client waits for a retry.
        assert_eq!(
            failing.requests_with_id("gone"),
            1,
            "retried although the client had disconnected, after {} pipelined bytes",
            pipelined.len()
        );
    }
}

#[test]
fn pipelined_requests_are_answered_in_order_until_connection_ends() {
    const FEW_REQUESTS: usize = 20;
    /// More than the node buffers.
    const MANY_REQUESTS: usize = 2_000;
    let server = Server::healthy();
    let (_discovery, node) = start_node(server.address);
    let mut client = connect(node.address);
    let requests: String = (0..FEW_REQUESTS)
        .map(|n| read_request(&format!("p-{n}")))
        .collect();
    client.write_all(requests.as_bytes()).unwrap();
    let mut reader = BufReader::new(client);
    for n in 0..FEW_REQUESTS {
        assert_eq!(
            Message::read(&mut reader).expect("a response").body,
            format!("p-{n}").as_bytes()
        );
    }
    // Each request gets its own response, until the connection is closed between two responses.
    let client = connect(node.address);
    let mut writer = client.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        let requests: String = (0..MANY_REQUESTS)
            .map(|n| read_request(&format!("q-{n}")))
            .collect();
        let _ = writer.write_all(requests.as_bytes());
        let _ = writer.shutdown(Shutdown::Write);
    });
    let mut reader = BufReader::new(client);
    let mut responses = 0;
    while let Some(response) = Message::read(&mut reader) {
        assert_eq!(response.body, format!("q-{responses}").as_bytes());
        responses += 1;
    }
    sender.join().unwrap();
    assert!(responses >= 1);
}

#[test]
fn request_of_aborted_client_is_not_sent_on_new_connection() {
    let listener = listener_with_full_backlog();
    let address = listener.local_addr().unwrap();
    let (_discovery, node) = start_node(address);
    let filler = TcpStream::connect(address).unwrap();
    let mut client = connect(node.address);
    client.write_all(read_request("gone").as_bytes()).unwrap();
    wait_for_connection_attempt(address.port());
    drop(client);
    let (filler_peer, _) = listener.accept().unwrap();
    drop((filler, filler_peer));
    // Now the node's connection is established. The first request on it must be one that a client still waits for.
    let (stream, _) = listener.accept().unwrap();
    let node_address = node.address;
    let waiting_client = std::thread::spawn(move || get(node_address, "wanted"));
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let request = Message::read(&mut reader).expect("a request");
    assert_eq!(request.header("x-correlation-id"), Some("wanted"));
    (&stream).write_all(&ok_response(&request)).unwrap();
    assert_eq!(waiting_client.join().unwrap().status, 200);
}

#[test]
fn request_during_close_of_idle_connection_causes_no_reset() {
    let server = Server::healthy();
    let (_discovery, mut node) = start_node(server.address);
    let mut client = connect(node.address);
    client.write_all(read_request("r-1").as_bytes()).unwrap();
    let response = read_response(&client);
    assert_eq!(response.map(|response| response.status), Some(200));
    node.signal("TERM");
    let mut buffer = [0; 64];
    assert_eq!(
        client.read(&mut buffer).unwrap(),
        0,
        "the node did not close the idle connection"
    );
    // A client that has not seen the close yet may still send a request.
    client.write_all(read_request("r-2").as_bytes()).unwrap();
    // On loopback a reset would arrive before the write returns.
    assert!(
        client.take_error().unwrap().is_none(),
        "the connection was reset"
    );
    assert_eq!(
        client.read(&mut buffer).unwrap(),
        0,
        "the close was not orderly"
    );
    drop(client);
    assert!(node.wait());
    assert_eq!(
        server.requests(),
        1,
        "a request that arrived after the close was forwarded"
    );
}

#[test]
fn last_response_is_not_lost_before_pipelined_bytes() {
    let GatedServer {
        server,
        arrived,
        release,
    } = GatedServer::start();
    let (_discovery, mut node) = start_node(server.address);
    let mut client = connect(node.address);
    client.write_all(read_request("a-1").as_bytes()).unwrap();
    arrived.wait();
    node.signal("TERM");
    let mut writer = client.try_clone().unwrap();
    let pipelined = write_request("a-2", "content-length: 150000", &"x".repeat(150_000));
    let sender = std::thread::spawn(move || drop(writer.write_all(pipelined.as_bytes())));
    // The close of an idle connection shows that the node has received the signal.
    let idle = connect(node.address);
    assert_eq!(read_response(&idle), None);
    release.wait();
    let mut response = String::new();
    let result = client.read_to_string(&mut response);
    assert!(
        response.ends_with("\r\n\r\na-1"),
        "{response:?}, {result:?}"
    );
    assert!(result.is_ok(), "{result:?}");
    sender.join().unwrap();
    // No reset can arrive after the exit of the process.
    assert!(node.wait());
    assert!(
        client.take_error().unwrap().is_none(),
        "the connection was reset"
    );
    assert_eq!(server.requests(), 1);
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(stream);
}

#[test]
fn truncated_response_without_length_does_not_look_complete() {
    let server_stream: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    let response_sent = Arc::new(Barrier::new(2));
    let (shared_stream, server_sent) = (server_stream.clone(), response_sent.clone());
    let server = serve(move |mut stream, _| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if Message::read(&mut reader).is_none() {
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_owned();
        let response = head + &"z".repeat(700_000);
        stream.write_all(response.as_bytes()).unwrap();
        shared_stream.lock().unwrap().replace(stream);
        server_sent.wait();
    });
    let (_discovery, node) = start_node(server);
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        let mut client = connect(node.address);
        client
            .write_all(read_request("cut").replace("HTTP/1.1", version).as_bytes())
            .unwrap();
        let mut first_bytes = vec![0; 1_000];
        client.read_exact(&mut first_bytes).unwrap();
        response_sent.wait();
        let stream = server_stream.lock().unwrap().take();
        reset(stream.expect("the server's end of the connection"));
        let mut rest = Vec::new();
        let result = client.read_to_end(&mut rest);
        let has_last_chunk = rest.ends_with(b"0\r\n\r\n");
        let looks_complete = has_last_chunk || (version == "HTTP/1.0" && result.is_ok());
        assert!(
            !looks_complete,
            "{version}: {result:?} after {} bytes",
            rest.len()
        );
        if let Err(error) = result {
            assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        }
    }
}

#[test]
fn idle_connection_to_rejecting_server_is_closed_sooner() {
    let (arrived, release) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (server_arrived, server_release) = (arrived.clone(), release.clone());
    let (idle_time_sender, idle_times) = channel();
    let server = serve(move |mut stream, number| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let Some(request) = Message::read(&mut reader) else {
            return;
        };
        if number > 0 {
            let head =
                "HTTP/1.1 503 Service Unavailable\r\nx-unprocessed: 1\r\nconnection: close\r\n";
            let _ = stream.write_all((head.to_owned() + "content-length: 0\r\n\r\n").as_bytes());
            return;
        }
        server_arrived.wait();
        server_release.wait();
        let _ = stream.write_all(&ok_response(&request));
        let idle_since = Instant::now();
        // Returns once the node closes the connection.
        let _ = stream.read(&mut [0; 1]);
        let _ = idle_time_sender.send(idle_since.elapsed());
    });
    let (_discovery, node) = start_node(server);
    let mut first_client = connect(node.address);
    first_client
        .write_all(read_request("held").as_bytes())
        .unwrap();
    arrived.wait();
    assert_eq!(get(node.address, "away").status, 503);
    release.wait();
    let response = read_response(&first_client);
    assert_eq!(response.map(|response| response.status), Some(200));
    let idle_time = idle_times.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(idle_time < MAX_IDLE_AFTER_REJECTION, "{idle_time:?}");
}
