//! Clients that leave while a server holds up their body, and nodes that end, upgrade or reload meanwhile.

use crate::clients::{
    at_once, piece_sizes_around_full_buffers, request_parts, ClientWrite, Framing, Upload,
    TIME_LEFT,
};
use crate::nodes::{for_each_kind, program, settings, start_node};
use crate::servers::{
    hang, open_connections, read_body, read_bytes, read_head, serve, Runs, OK_RESPONSE,
};
use reelfall_testbed::scripted::{listener_with_full_backlog, wait_for_connection_attempt};
use reelfall_testbed::test_node::{NodeKind, NodeProcess};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Size of a body in bytes that a client can write although its server reads nothing.
const LENGTH: usize = 4_300_000;
/// What the server reads before it hangs, in bytes.
const READ_BYTES: usize = 50_000;

/// How long the connection to a server may stay open without a client: less than a server may pause.
const MAX_TIME_UNTIL_CLOSED: Duration = Duration::from_secs(5);

/// Servers that hang in the middle of each body.
struct HangingServers {
    addresses: Vec<SocketAddr>,
    /// Receives a message for each body whose beginning was read.
    hangs: Receiver<()>,
    /// A server waits here before it reads on.
    resume: Arc<Barrier>,
    /// Receives whether a body was read to its end.
    ends: Receiver<bool>,
}

impl HangingServers {
    fn start(runs: &Runs) -> HangingServers {
        let (hang_sender, hangs) = channel();
        let (end_sender, ends) = channel();
        let resume = Arc::new(Barrier::new(2));
        let (runs, resumed) = (runs.clone(), resume.clone());
        let senders = std::sync::Mutex::new((hang_sender, end_sender));
        let addresses = serve(move |mut reader, mut stream| {
            let (hang_sender, end_sender) = senders.lock().unwrap().clone();
            while let Some(mut head) = read_head(&mut reader) {
                if read_bytes(&mut reader, READ_BYTES).is_none() {
                    return;
                }
                let _ = hang_sender.send(());
                resumed.wait();
                head.length = head.length.map(|length| length - READ_BYTES);
                let is_complete = read_body(&mut reader, &head).is_some();
                if is_complete {
                    runs.record(&head.id);
                    let _ = stream.write_all(OK_RESPONSE);
                }
                let _ = end_sender.send(is_complete);
            }
        });
        HangingServers {
            addresses,
            hangs,
            resume,
            ends,
        }
    }
}

fn writes(id: &str) -> Vec<ClientWrite> {
    at_once(request_parts(id, Framing::Announced, &[LENGTH]))
}

#[test]
fn upload_of_a_client_that_leaves_does_not_run_and_its_connection_ends() {
    for_each_kind(|kind| {
        let runs = Runs::default();
        let servers = HangingServers::start(&runs);
        let node = start_node(kind, &servers.addresses);
        let upload = Upload::start(node.address, writes("left"));
        servers.hangs.recv().unwrap();
        upload.abort();
        wait_until_closed(&servers.addresses, &format!("{kind:?}"));
        servers.resume.wait();
        assert!(
            !servers.ends.recv().unwrap(),
            "{kind:?}: the request has run"
        );
        assert_eq!(runs.count("left"), 0);
    });
}

/// An upload that its server holds up is refused, and does not run when the server reads on.
#[test]
fn refused_upload_does_not_run_when_its_server_reads_on() {
    for_each_kind(|kind| {
        let runs = Runs::default();
        let servers = HangingServers::start(&runs);
        let node = start_node(kind, &servers.addresses);
        let upload = Upload::start(node.address, writes("refused"));
        servers.hangs.recv().unwrap();
        let ending = upload.wait();
        assert!(ending.is_in_time(), "{kind:?}: {ending:?}");
        servers.resume.wait();
        assert!(
            !servers.ends.recv().unwrap(),
            "{kind:?}: the request has run"
        );
        assert_eq!((ending.is_refused(), runs.count("refused")), (true, 0));
    });
}

#[test]
fn upload_that_its_server_holds_up_is_answered_in_time_during_a_shutdown() {
    for_each_kind(|kind| {
        let servers = HangingServers::start(&Runs::default());
        let node = start_node(kind, &servers.addresses);
        let upload = Upload::start(node.address, writes("shutdown"));
        servers.hangs.recv().unwrap();
        node.signal("TERM");
        let ending = upload.wait();
        assert!(ending.is_in_time(), "{kind:?}: {ending:?}");
    });
}

#[test]
fn upload_that_its_server_holds_up_is_answered_in_time_during_an_upgrade() {
    let servers = HangingServers::start(&Runs::default());
    let node = start_node(NodeKind::Platform, &servers.addresses);
    let NodeProcess::Platform { node: process, .. } = &node.process else {
        panic!("a node of the platform");
    };
    let upload = Upload::start(node.address, writes("upgrade"));
    servers.hangs.recv().unwrap();
    let _successor = process.spawn_successor(&program());
    node.signal("TERM");
    let ending = upload.wait();
    assert!(ending.is_in_time(), "{ending:?}");
}

#[test]
fn upload_that_its_server_holds_up_is_answered_in_time_during_reloads() {
    let servers = HangingServers::start(&Runs::default());
    let mut node = start_node(NodeKind::SettingsFile, &servers.addresses);
    let upload = Upload::start(node.address, writes("reload"));
    servers.hangs.recv().unwrap();
    let NodeProcess::SettingsFile {
        node: process,
        runtime,
    } = &mut node.process
    else {
        panic!("a node with a settings file");
    };
    // The first reload replaces the pool, the second one removes the server.
    let replaced = settings(&servers.addresses).replace("500ms", "400ms");
    let other = HangingServers::start(&Runs::default());
    for text in [replaced, settings(&other.addresses)] {
        runtime.block_on(process.reload(&text)).unwrap();
    }
    let ending = upload.wait();
    assert!(ending.is_in_time(), "{ending:?}");
}

/// Waits until no connection to these servers is open.
fn wait_until_closed(servers: &[SocketAddr], test: &str) {
    let started = Instant::now();
    while open_connections(servers) > 0 {
        assert!(
            started.elapsed() < MAX_TIME_UNTIL_CLOSED,
            "{test}: {} connections to the servers are open",
            open_connections(servers)
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// How a client ends an upload before it has written all of its body.
#[derive(Clone, Copy, Debug)]
enum ClientEnd {
    /// It closes its connection.
    Leaves,
    /// It writes nothing more, and stays until the node ends the connection.
    Stops,
}

/// Checks that the connections to servers that read nothing end after their clients have ended their uploads.
fn check_connections_after(end: ClientEnd) {
    const REQUESTS_PER_NODE: usize = 40;
    const REST: usize = 1_500_000;
    let pieces = piece_sizes_around_full_buffers();
    for_each_kind(|kind| {
        for pieces in pieces.chunks(REQUESTS_PER_NODE) {
            let servers = serve(|mut reader, _stream| {
                let _ = read_head(&mut reader);
                hang()
            });
            let node = start_node(kind, &servers);
            let start = |piece: &usize| {
                let lengths = [*piece, REST];
                let mut parts = request_parts(&piece.to_string(), Framing::Announced, &lengths);
                parts.truncate(2);
                Upload::start(node.address, at_once(parts))
            };
            let uploads: Vec<Upload> = pieces.iter().map(start).collect();
            std::thread::sleep(TIME_LEFT / 2);
            for upload in uploads {
                match end {
                    ClientEnd::Leaves => upload.abort(),
                    ClientEnd::Stops => assert!(upload.wait().status.is_some()),
                }
            }
            wait_until_closed(&servers, &format!("{kind:?}, {end:?}"));
        }
    });
}

#[test]
fn connections_to_servers_that_read_nothing_end_after_their_clients_have_left() {
    check_connections_after(ClientEnd::Leaves);
}

/// Guards against: a connection stayed open for 900 s if its server had stopped reading just when its client stopped writing.
#[test]
fn connections_to_servers_that_read_nothing_end_after_their_clients_have_stopped() {
    check_connections_after(ClientEnd::Stops);
}

/// Guards against: a client that had left was taken for one that waits as long as unread input lay before the end of its
/// connection.
#[test]
fn no_attempt_is_made_for_a_client_that_has_left_behind_unread_input() {
    const ID: &str = "left";
    let listener = listener_with_full_backlog();
    let address = listener.local_addr().unwrap();
    let fills_backlog = TcpStream::connect(address).unwrap();
    let node = start_node(NodeKind::Platform, &[address]);
    // The client's system sends the end of its connection only behind all data, so that has to fit into the node's buffer.
    let mut parts = request_parts(ID, Framing::Announced, &[READ_BYTES / 2, LENGTH]);
    parts.truncate(2);
    let head = String::from_utf8(parts[0].clone()).unwrap();
    parts[0] = head.replace("time-left: 1.000", "time-left: 5.000").into();
    let upload = Upload::start(node.address, at_once(parts));
    wait_for_connection_attempt(address.port());
    upload.abort();
    drop(fills_backlog);
    listener.set_nonblocking(true).unwrap();
    let (started, mut heads) = (Instant::now(), Vec::new());
    // The system tries again to connect after a second.
    while started.elapsed() < TIME_LEFT * 3 {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            stream.set_read_timeout(Some(TIME_LEFT)).unwrap();
            let head = read_head(&mut BufReader::new(stream));
            heads.extend(head.map(|head| head.id));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(!heads.contains(&ID.to_owned()), "an attempt was made");
}
