//! Updates of the endpoint list from a discovery service that stalls, sends in small pieces, indents its JSON or is down.

use reelfall_testbed::scripted::{
    connect, endpoint_list, get, listener_with_full_backlog, read_request, read_response, serve,
    ListedServer, Message, Node, Program, Server, WAIT_TIMEOUT,
};
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An update is assumed to be known to the node this long after discovery has it, even if it has not arrived.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// An update that is sent between two watches counts as known at once, so that the gap has to fit into the shortest grace
/// period of a drain, 0.2 s and 0.05 s more.
const MAX_GAP_BETWEEN_WATCHES: Duration = Duration::from_millis(200);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const MAX_SOCKETS: usize = 256;

const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// The query parameter by which a request asks for a watch.
const WATCH_PARAMETER: &str = "watch=1";

fn start_node(discovery: SocketAddr, max_sockets: usize) -> Node {
    let program = Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"));
    Node::start(&program, discovery, max_sockets)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A snapshot with one active server.
fn snapshot(index: u64, name: &str, address: SocketAddr) -> String {
    endpoint_list(index, true, &[ListedServer::new(name, address, "active")])
}

/// The beginning of the response to a watch: its head, and this list as the first line.
fn watch_with(list: &str) -> String {
    WATCH_HEAD.to_owned() + &chunk(&format!("{list}\n"))
}

/// Starts a discovery service and returns its address. `respond` writes the response to each request; it gets the request
/// line and the number of the connection, counted from 0.
fn serve_discovery(
    respond: impl Fn(&str, usize, &mut TcpStream) + Send + Sync + 'static,
) -> SocketAddr {
    serve(move |mut stream, number| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = Message::read(&mut reader) {
            respond(&request.start_line, number, &mut stream);
        }
    })
}

/// Writes the response to a request that asks for the list without a watch.
fn write_list(stream: &mut TcpStream, list: &str) {
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
        list.len()
    );
}

/// Sends heartbeats but no update on a watch, until the client closes the connection.
fn send_heartbeats(stream: &mut TcpStream) {
    while stream.write_all(chunk("\n").as_bytes()).is_ok() {
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
}

/// Sends nothing until the client closes the connection.
fn stay_silent(stream: &mut TcpStream) {
    let _ = stream.read(&mut [0; 1]);
}

/// Sends requests until one reaches the server.
fn send_until_server_is_used(node: &Node, server: &Server) {
    let (started, mut n) = (Instant::now(), 0);
    while server.requests() == 0 {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the update did not arrive in time"
        );
        get(node.address, &format!("u-{n}"));
        n += 1;
    }
}

/// An endpoint list as JSON with indentation and line breaks.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::to_string_pretty(&value).unwrap() + "\n"
}

#[test]
fn indented_lists_in_small_pieces_are_parsed() {
    let (old_server, new_server) = (Server::healthy(), Server::healthy());
    let (old_address, new_address) = (old_server.address, new_server.address);
    let (send_updates, may_send_updates) = channel::<()>();
    let may_send_updates = Mutex::new(may_send_updates);
    let discovery = serve_discovery(move |request_line, _, stream| {
        let first = indented(&snapshot(5, "s-1", old_address));
        if !request_line.contains(WATCH_PARAMETER) {
            return write_list(stream, &first);
        }
        let _ = stream.write_all((WATCH_HEAD.to_owned() + &chunk(&first)).as_bytes());
        if may_send_updates.lock().unwrap().recv().is_err() {
            return;
        }
        // Two updates that follow each other at once, in pieces of a few bytes.
        let removed = [ListedServer::new("s-1", old_address, "left")];
        let added = [ListedServer::new("s-2", new_address, "active")];
        let updates = indented(&endpoint_list(6, false, &removed))
            + &indented(&endpoint_list(7, false, &added));
        for piece in updates.as_bytes().chunks(7) {
            let _ = stream.write_all(chunk(std::str::from_utf8(piece).unwrap()).as_bytes());
        }
        send_heartbeats(stream);
    });
    let node = start_node(discovery, MAX_SOCKETS);
    assert_eq!(get(node.address, "r-1").status, 200);
    send_updates.send(()).unwrap();
    send_until_server_is_used(&node, &new_server);
}

#[test]
fn malformed_update_is_repaired_by_snapshot() {
    for malformed in [
        "nonsense\n",
        "{\"index\":\"x\"}\n",
        "{\"index\":7,\"endpoints\":{}}\n",
        "{]\n",
        "[1]\n",
    ] {
        let (old_server, new_server) = (Server::healthy(), Server::healthy());
        let (old_address, new_address) = (old_server.address, new_server.address);
        let discovery = serve_discovery(move |request_line, _, stream| {
            // A watch that resumes at version 5 gets the same malformed update again.
            if !request_line.contains(WATCH_PARAMETER) {
                write_list(stream, &snapshot(8, "s-2", new_address));
            } else if request_line.contains("after=8") {
                let _ = stream.write_all(WATCH_HEAD.as_bytes());
                send_heartbeats(stream);
            } else {
                let first = watch_with(&snapshot(5, "s-1", old_address));
                let _ = stream.write_all((first + &chunk(malformed)).as_bytes());
                send_heartbeats(stream);
            }
        });
        let node = start_node(discovery, MAX_SOCKETS);
        send_until_server_is_used(&node, &new_server);
    }
}

/// What a discovery service does after it has received a request.
enum Stall {
    /// It has stalled until the client closed the connection.
    Stalled,
    /// It proceeds to respond.
    Respond,
}

/// The time that an update takes to reach a node whose discovery service stalls. The first connection is sent a first list;
/// then every request calls `stall` and, unless that has stalled, is sent the update. The time counts from the sending of the
/// first list.
fn update_delay_with(stall: fn(usize, &mut TcpStream) -> Stall) -> Duration {
    let (old_server, new_server) = (Server::healthy(), Server::healthy());
    let (old_address, new_address) = (old_server.address, new_server.address);
    let (first_list_sent, first_list_times): (Sender<Instant>, _) = channel();
    let discovery = serve_discovery(move |request_line, number, stream| {
        if number == 0 {
            let first = watch_with(&snapshot(5, "s-1", old_address));
            let _ = stream.write_all(first.as_bytes());
            let _ = first_list_sent.send(Instant::now());
        }
        if let Stall::Stalled = stall(number, stream) {
            return;
        }
        let update = snapshot(9, "s-2", new_address);
        if request_line.contains(WATCH_PARAMETER) {
            let _ = stream.write_all(watch_with(&update).as_bytes());
            send_heartbeats(stream);
        } else {
            write_list(stream, &update);
        }
    });
    let node = start_node(discovery, MAX_SOCKETS);
    let sent = first_list_times.recv().unwrap();
    send_until_server_is_used(&node, &new_server);
    sent.elapsed()
}

#[test]
fn two_silent_watches_delay_update_less_than_its_deadline() {
    let delay = update_delay_with(|number, stream| {
        if number >= 2 {
            return Stall::Respond;
        }
        stay_silent(stream);
        Stall::Stalled
    });
    assert!(delay < UPDATE_DEADLINE, "{delay:?}");
}

#[test]
fn incomplete_update_does_not_count_as_heartbeat() {
    let delay = update_delay_with(|number, stream| {
        if number > 0 {
            return Stall::Respond;
        }
        // The update continues byte by byte and is never complete.
        let _ = stream.write_all(chunk("{\"index\":6,").as_bytes());
        while stream.write_all(chunk(" ").as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(200));
        }
        Stall::Stalled
    });
    assert!(delay < UPDATE_DEADLINE, "{delay:?}");
}

/// Accepts connections for a discovery service whose second connection is established late and then stays silent. Later
/// connections are sent the update.
fn serve_late_connection(
    listener: &TcpListener,
    first: &str,
    update: &str,
    first_list_sent: &Sender<Instant>,
) {
    let (mut stream, _) = listener.accept().unwrap();
    let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
    let _ = stream.write_all(watch_with(first).as_bytes());
    first_list_sent.send(Instant::now()).unwrap();
    // The node closes the silent watch and connects again while the backlog is full. The kernel retries a connection attempt
    // that finds a full backlog only after a second.
    stay_silent(&mut stream);
    std::thread::sleep(Duration::from_millis(300));
    drop((listener.accept().unwrap(), filler));
    let (mut late_stream, _) = listener.accept().unwrap();
    std::thread::spawn(move || {
        Message::read(&mut BufReader::new(late_stream.try_clone().unwrap()));
        // Each step on its own takes less than the deadline.
        std::thread::sleep(Duration::from_millis(1200));
        let _ = late_stream.write_all(WATCH_HEAD.as_bytes());
        stay_silent(&mut late_stream);
    });
    for mut stream in listener.incoming().map_while(Result::ok) {
        let watch = watch_with(update);
        std::thread::spawn(move || {
            Message::read(&mut BufReader::new(stream.try_clone().unwrap()));
            let _ = stream.write_all(watch.as_bytes());
            send_heartbeats(&mut stream);
        });
    }
}

#[test]
fn late_and_silent_connection_has_one_deadline_for_all_steps() {
    let (old_server, new_server) = (Server::healthy(), Server::healthy());
    let listener = listener_with_full_backlog();
    let discovery = listener.local_addr().unwrap();
    let first = snapshot(5, "s-1", old_server.address);
    let update = snapshot(9, "s-2", new_server.address);
    let (first_list_sent, first_list_times) = channel();
    std::thread::spawn(move || {
        serve_late_connection(&listener, &first, &update, &first_list_sent);
    });
    let node = start_node(discovery, MAX_SOCKETS);
    let sent = first_list_times.recv().unwrap();
    send_until_server_is_used(&node, &new_server);
    let delay = sent.elapsed();
    assert!(delay < UPDATE_DEADLINE, "{delay:?}");
}

/// The state of a discovery service during a test.
#[derive(Clone, Copy, PartialEq)]
enum DiscoveryState {
    FirstList,
    /// Connections are closed without a response.
    Down,
    SecondList,
}

#[test]
fn idle_clients_on_all_sockets_do_not_block_updates() {
    const SCARCE_SOCKETS: usize = 64;
    /// Far more than the node has sockets for.
    const IDLE_CLIENTS: usize = 200;
    let (old_server, new_server) = (Server::healthy(), Server::healthy());
    let (old_address, new_address) = (old_server.address, new_server.address);
    let current_state = Arc::new(Mutex::new(DiscoveryState::FirstList));
    let state_of_service = current_state.clone();
    let discovery = serve_discovery(move |request_line, _, stream| {
        let state = *state_of_service.lock().unwrap();
        let list = match state {
            DiscoveryState::FirstList => snapshot(5, "s-1", old_address),
            DiscoveryState::Down => return drop(stream.shutdown(Shutdown::Both)),
            DiscoveryState::SecondList => snapshot(9, "s-2", new_address),
        };
        if !request_line.contains(WATCH_PARAMETER) {
            return write_list(stream, &list);
        }
        let _ = stream.write_all(watch_with(&list).as_bytes());
        while *state_of_service.lock().unwrap() == state
            && stream.write_all(chunk("\n").as_bytes()).is_ok()
        {
            std::thread::sleep(Duration::from_millis(50));
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
    let node = start_node(discovery, SCARCE_SOCKETS);
    let mut first_client = connect(node.address);
    first_client
        .write_all(read_request("r-1").as_bytes())
        .unwrap();
    *current_state.lock().unwrap() = DiscoveryState::Down;
    let idle_clients: Vec<TcpStream> = (0..IDLE_CLIENTS).map(|_| connect(node.address)).collect();
    *current_state.lock().unwrap() = DiscoveryState::SecondList;
    let available_since = Instant::now();
    let mut n = 0;
    while new_server.requests() == 0 {
        assert!(
            available_since.elapsed() < WAIT_TIMEOUT,
            "the update did not arrive in time"
        );
        let mut stream = connect(node.address);
        let _ = stream.write_all(read_request(&format!("n-{n}")).as_bytes());
        let _ = read_response(&stream);
        n += 1;
    }
    let delay = available_since.elapsed();
    assert!(delay < UPDATE_DEADLINE, "{delay:?}");
    drop(idle_clients);
}

/// The number of a connection, and the time of an event on it.
struct ConnectionEvent {
    connection: usize,
    time: Instant,
}

impl ConnectionEvent {
    fn now(connection: usize) -> ConnectionEvent {
        let time = Instant::now();
        ConnectionEvent { connection, time }
    }
}

#[test]
fn next_watch_follows_silent_one_without_pause() {
    let silent_connections = 1..6;
    let (old_server, new_server) = (Server::healthy(), Server::healthy());
    let (old_address, new_address) = (old_server.address, new_server.address);
    let (request_received, requests) = channel::<ConnectionEvent>();
    let (closed_by_node, closes) = channel::<ConnectionEvent>();
    let discovery = serve_discovery(move |request_line, number, stream| {
        let _ = request_received.send(ConnectionEvent::now(number));
        if silent_connections.contains(&number) {
            stay_silent(stream);
            let _ = closed_by_node.send(ConnectionEvent::now(number));
            return;
        }
        let is_first = number == 0;
        let list = if is_first {
            snapshot(5, "s-1", old_address)
        } else {
            snapshot(9, "s-2", new_address)
        };
        if request_line.contains(WATCH_PARAMETER) {
            let _ = stream.write_all(watch_with(&list).as_bytes());
        } else {
            write_list(stream, &list);
        }
        if is_first {
            stay_silent(stream);
        } else {
            send_heartbeats(stream);
        }
    });
    let node = start_node(discovery, MAX_SOCKETS);
    send_until_server_is_used(&node, &new_server);
    let request_times: HashMap<usize, Instant> = requests
        .try_iter()
        .map(|event| (event.connection, event.time))
        .collect();
    for closed in closes.try_iter() {
        let next_request = request_times[&(closed.connection + 1)];
        let gap = next_request.saturating_duration_since(closed.time);
        assert!(
            gap < MAX_GAP_BETWEEN_WATCHES,
            "{gap:?} after the watch {}",
            closed.connection
        );
    }
}
