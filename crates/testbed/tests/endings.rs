//! What is still owed when something ends: the real program over loopback sockets, each crossing forced by events.

use reelfall_testbed::scripted::{
    connect, get, listener_with_full_backlog, ok_response, read_request, read_response, serve,
    wait_for_connection_attempt, write_request, Discovery, GatedServer, ListedServer, Message,
    Node, Program, Server, WAIT_TIMEOUT,
};
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Barrier, Mutex};
use std::time::{Duration, Instant};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

fn before(server: SocketAddr) -> (Discovery, Node) {
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server, "active")]);
    let node = Node::start(&program(), discovery.address, 256);
    (discovery, node)
}

type Ids = Arc<Mutex<Vec<String>>>;

/// A server that holds its first request until told to break its connection, and answers all others. The barriers tell that
/// the request has come, and let it break. The ids of all that came are kept.
fn breaks_the_first() -> (Server, [Arc<Barrier>; 2], Ids) {
    let (arrived, release) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (at, until) = (arrived.clone(), release.clone());
    let ids = Ids::default();
    let keeps = ids.clone();
    let server = Server::start(move |request, number, stream| {
        keeps.lock().unwrap().push(
            request
                .header("x-correlation-id")
                .unwrap_or("none")
                .to_owned(),
        );
        if number == 0 {
            at.wait();
            until.wait();
            let _ = stream.shutdown(std::net::Shutdown::Both);
        } else {
            let _ = stream.write_all(&ok_response(request));
        }
    });
    (server, [arrived, release], ids)
}

/// The node has turned since: it has answered somebody who came later.
fn turn(node: &Node, id: &str) {
    assert_eq!(get(node.address, id).status, 200);
}

#[test]
fn a_client_that_goes_is_missed_behind_whatever_it_sent_ahead() {
    let ahead = [
        String::new(),
        read_request("next"),
        read_request("next").repeat(60),
        write_request("next", "content-length: 200000", &"x".repeat(200_000)),
        write_request("next", "content-length: 40", "half"),
    ];
    for ahead in ahead {
        let (server, [arrived, release], ids) = breaks_the_first();
        let (_discovery, node) = before(server.address);
        let mut client = connect(node.address);
        client
            .write_all((read_request("gone") + &ahead).as_bytes())
            .unwrap();
        arrived.wait();
        drop(client);
        // A tenth of a second is what a node has to find out.
        let (left, mut n) = (Instant::now(), 0);
        while left.elapsed() < Duration::from_millis(100) {
            turn(&node, &format!("t-{n}"));
            n += 1;
        }
        release.wait();
        turn(&node, "last");
        // It may be repeated, and there is time: but nobody waits for it.
        let gone = ids
            .lock()
            .unwrap()
            .iter()
            .filter(|id| *id == "gone")
            .count();
        assert_eq!(
            gone,
            1,
            "a further attempt, behind {} bytes sent ahead",
            ahead.len()
        );
    }
}

#[test]
fn what_is_sent_ahead_is_answered_in_turn_or_its_connection_ends_in_order() {
    let server = Server::healthy();
    let (_discovery, node) = before(server.address);
    let mut client = connect(node.address);
    let few = 20;
    let all: String = (0..few).map(|n| read_request(&format!("p-{n}"))).collect();
    client.write_all(all.as_bytes()).unwrap();
    let mut reader = BufReader::new(client);
    for n in 0..few {
        assert_eq!(
            Message::read(&mut reader).expect("an answer").body,
            format!("p-{n}").as_bytes()
        );
    }
    // More than is kept: each request has its own answer, until the connection ends between two.
    let client = connect(node.address);
    let mut writer = client.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let all: String = (0..2_000)
            .map(|n| read_request(&format!("q-{n}")))
            .collect();
        let _ = writer.write_all(all.as_bytes());
        let _ = writer.shutdown(std::net::Shutdown::Write);
    });
    let mut reader = BufReader::new(client);
    let mut n = 0;
    while let Some(answer) = Message::read(&mut reader) {
        assert_eq!(answer.body, format!("q-{n}").as_bytes());
        n += 1;
    }
    writing.join().unwrap();
    assert!(n >= 1);
}

#[test]
fn a_request_whose_client_leaves_while_a_connection_comes_up_is_sent_nowhere() {
    let listener = listener_with_full_backlog();
    let address = listener.local_addr().unwrap();
    let (_discovery, node) = before(address);
    let filler = TcpStream::connect(address).unwrap();
    let mut client = connect(node.address);
    client.write_all(read_request("gone").as_bytes()).unwrap();
    wait_for_connection_attempt(address.port());
    drop(client);
    let (first, _) = listener.accept().unwrap();
    drop((filler, first));
    // The node's own comes up now. What is next on it is a request that somebody waits for.
    let (stream, _) = listener.accept().unwrap();
    let to = node.address;
    let other = std::thread::spawn(move || get(to, "wanted"));
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let request = Message::read(&mut reader).expect("a request");
    assert_eq!(request.header("x-correlation-id"), Some("wanted"));
    (&stream).write_all(&ok_response(&request)).unwrap();
    assert_eq!(other.join().unwrap().status, 200);
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_resets_nothing() {
    let server = Server::healthy();
    let (_discovery, mut node) = before(server.address);
    let mut rests = connect(node.address);
    rests.write_all(read_request("r-1").as_bytes()).unwrap();
    assert_eq!(read_response(&rests).map(|g| g.status), Some(200));
    node.signal("TERM");
    let mut end = [0; 64];
    assert_eq!(rests.read(&mut end).unwrap(), 0, "the node ends what rests");
    // On its way before the client has heard of the end.
    rests.write_all(read_request("r-2").as_bytes()).unwrap();
    // A reset would have come back before the write was over.
    assert!(
        rests.take_error().unwrap().is_none(),
        "the connection is reset"
    );
    assert_eq!(rests.read(&mut end).unwrap(), 0, "the end is orderly");
    drop(rests);
    assert!(node.wait());
    assert_eq!(
        server.requests(),
        1,
        "what is read after the end is sent on"
    );
}

#[test]
fn an_answer_before_an_end_is_not_lost_to_what_its_client_sent_ahead() {
    let GatedServer {
        server,
        arrived,
        release,
    } = GatedServer::start();
    let (_discovery, mut node) = before(server.address);
    let mut client = connect(node.address);
    client.write_all(read_request("a-1").as_bytes()).unwrap();
    arrived.wait();
    node.signal("TERM");
    let mut writer = client.try_clone().unwrap();
    let ahead = write_request("a-2", "content-length: 150000", &"x".repeat(150_000));
    let writing = std::thread::spawn(move || drop(writer.write_all(ahead.as_bytes())));
    // An idle connection is closed when the node has heard the signal.
    let idle = connect(node.address);
    assert_eq!(read_response(&idle), None);
    release.wait();
    let mut all = String::new();
    let read = client.read_to_string(&mut all);
    assert!(all.ends_with("\r\n\r\na-1"), "{all:?}, {read:?}");
    assert!(read.is_ok(), "{read:?}");
    writing.join().unwrap();
    // All that its process has to say on this connection is said.
    assert!(node.wait());
    assert!(
        client.take_error().unwrap().is_none(),
        "the connection is reset"
    );
    assert_eq!(server.requests(), 1);
}

#[test]
fn an_answer_of_no_stated_length_that_is_cut_off_looks_whole_to_nobody() {
    // Each connection of the server is reset when the client has some of the answer.
    let cut: Arc<Mutex<Option<TcpStream>>> = Arc::default();
    let (keeps, began) = (cut.clone(), Arc::new(Barrier::new(2)));
    let has_begun = began.clone();
    let server = serve(move |mut stream, _| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if Message::read(&mut reader).is_none() {
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_owned() + &"z".repeat(700_000);
        stream.write_all(head.as_bytes()).unwrap();
        keeps.lock().unwrap().replace(stream);
        has_begun.wait();
    });
    let (_discovery, node) = before(server);
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        let mut client = connect(node.address);
        client
            .write_all(read_request("cut").replace("HTTP/1.1", version).as_bytes())
            .unwrap();
        let mut some = vec![0; 1_000];
        client.read_exact(&mut some).unwrap();
        began.wait();
        let stream = cut.lock().unwrap().take().expect("the server's side");
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(stream);
        let mut rest = Vec::new();
        let read = client.read_to_end(&mut rest);
        let whole = rest.ends_with(b"0\r\n\r\n") || (version == "HTTP/1.0" && read.is_ok());
        assert!(!whole, "{version}: {read:?} after {} bytes", rest.len());
        if let Err(e) = read {
            assert_eq!(e.kind(), ErrorKind::ConnectionReset);
        }
    }
}

#[test]
fn a_server_that_turns_new_connections_away_gets_idle_ones_back_sooner() {
    let (arrived, release) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (at, until) = (arrived.clone(), release.clone());
    let (told, gone) = channel();
    let told = Mutex::new(told);
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
        at.wait();
        until.wait();
        let _ = stream.write_all(&ok_response(&request));
        let idle = Instant::now();
        // It is the node that closes.
        let _ = stream.read(&mut [0; 1]);
        let _ = told.lock().unwrap().send(idle.elapsed());
    });
    let (_discovery, node) = before(server);
    let mut first = connect(node.address);
    first.write_all(read_request("held").as_bytes()).unwrap();
    arrived.wait();
    assert_eq!(get(node.address, "away").status, 503);
    release.wait();
    assert_eq!(read_response(&first).map(|g| g.status), Some(200));
    // Idle connections are kept for 4 s where none is turned away.
    let kept = gone.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(kept < Duration::from_secs(3), "{kept:?}");
}
