//! Bodies and answers that flow through the real program in pieces, over loopback sockets.

use reelfall_testbed::node::memory_kib;
use reelfall_testbed::scripted::{
    connect, get, write_request, Discovery, ListedServer, Message, Node, Program, Server,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

fn node(server: SocketAddr) -> (Discovery, Node) {
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server, "active")]);
    let node = Node::start(&program(), discovery.address, 1024);
    (discovery, node)
}

/// The byte of a body at a place, so that a hole or a doubled piece shows.
fn byte(at: usize) -> u8 {
    (at / 251 + at % 251) as u8
}

fn pattern(from: usize, n: usize) -> Vec<u8> {
    (from..from + n).map(byte).collect()
}

/// Reads to the end of a head.
fn head(from: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).unwrap_or(0) == 0 {
            break;
        }
    }
    head
}

/// A server whose connections are each handled by `with`, with its number from 0.
fn serve(with: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let with = Arc::new(with);
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let with = with.clone();
            std::thread::spawn(move || with(stream, n));
        }
    });
    address
}

/// Checks the pattern of so many bytes as they come; how many were right.
fn take(from: &mut impl Read, most: usize) -> usize {
    let (mut at, mut buffer) = (0, vec![0; 64 << 10]);
    while at < most {
        let room = buffer.len().min(most - at);
        match from.read(&mut buffer[..room]) {
            Ok(0) | Err(_) => break,
            Ok(n) if buffer[..n] == pattern(at, n)[..] => at += n,
            Ok(_) => break,
        }
    }
    at
}

const LARGE: usize = 32 << 20;

#[test]
fn thirty_two_megabytes_by_the_score_pass_both_ways_in_little_memory() {
    let server = serve(|stream, _| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        loop {
            let head = head(&mut reader);
            if head.is_empty() {
                return;
            }
            let length = head.to_lowercase();
            let length = length
                .split("content-length: ")
                .nth(1)
                .and_then(|l| l.split("\r\n").next());
            let length = length.map_or(0, |l| l.parse().unwrap());
            let right = take(&mut reader, length);
            let say =
                format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE}\r\nx-right: {right}\r\n\r\n");
            let _ = stream.write_all(say.as_bytes());
            for at in (0..LARGE).step_by(256 << 10) {
                if stream.write_all(&pattern(at, 256 << 10)).is_err() {
                    return;
                }
            }
        }
    });
    let (_discovery, node) = node(server);
    let address = node.address;
    let clients: Vec<_> = (0..24)
        .map(|c| {
            std::thread::spawn(move || {
                let mut stream = connect(address);
                let framing = format!("content-length: {LARGE}");
                stream
                    .write_all(write_request(&format!("l-{c}"), &framing, "").as_bytes())
                    .unwrap();
                for at in (0..LARGE).step_by(256 << 10) {
                    stream.write_all(&pattern(at, 256 << 10)).unwrap();
                }
                let mut reader = BufReader::new(stream);
                let head = head(&mut reader);
                assert!(head.contains(&format!("x-right: {LARGE}")), "{head}");
                assert_eq!(take(&mut reader, LARGE), LARGE);
            })
        })
        .collect();
    let mut most = 0;
    while clients.iter().any(|c| !c.is_finished()) {
        most = most.max(memory_kib(node.pid()).unwrap_or(0));
        std::thread::sleep(Duration::from_millis(20));
    }
    clients.into_iter().for_each(|c| c.join().unwrap());
    // 24 clients with 64 MB each; the program itself needs some.
    assert!(most < 48 << 10, "{most} KiB are held");
}

#[test]
fn an_answer_goes_on_past_the_deadline_while_it_moves_and_idle_connections_of_others_go() {
    let server = serve(|stream, _| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while !head(&mut reader).is_empty() {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
            for n in 0..16 {
                let part = pattern(n * (64 << 10), 64 << 10);
                let sent = [
                    format!("{:x};x=y\r\n", part.len()).as_bytes(),
                    &part,
                    b"\r\n",
                ]
                .concat();
                if stream.write_all(&sent).is_err() {
                    return;
                }
                std::thread::sleep(Duration::from_millis(500));
            }
            let _ = stream.write_all(b"0\r\nx-trailer: 1\r\n\r\n");
        }
    });
    let (_discovery, node) = node(server);
    let mut stream = connect(node.address);
    // The deadline is 6 s, and the answer takes 8; a connection without a request would be closed after 5.
    let request = reelfall_testbed::scripted::read_request("slow").replace("6.0", "1.0");
    stream.write_all(request.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    assert!(head(&mut reader).starts_with("HTTP/1.1 200"));
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let length = usize::from_str_radix(line.trim().split(';').next().unwrap(), 16).unwrap();
        let mut part = vec![0; length + 2];
        reader.read_exact(&mut part).unwrap();
        body.extend_from_slice(&part[..length]);
        if length == 0 {
            break;
        }
    }
    assert!(body == pattern(0, 16 * (64 << 10)), "{} bytes", body.len());
}

#[test]
fn an_answer_that_breaks_in_the_middle_does_not_look_whole() {
    for framing in ["content-length: 1000000", "transfer-encoding: chunked"] {
        let server = serve(move |stream, _| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut stream = stream;
            while !head(&mut reader).is_empty() {
                let chunk = if framing.starts_with("t") {
                    "493e0\r\n"
                } else {
                    ""
                };
                let _ = stream
                    .write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{chunk}").as_bytes());
                let _ = stream.write_all(&pattern(0, 300_000));
                std::thread::sleep(Duration::from_millis(200));
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
        let (_discovery, node) = node(server);
        let mut stream = connect(node.address);
        stream
            .write_all(write_request("w-1", "content-length: 1", "x").as_bytes())
            .unwrap();
        let mut all = Vec::new();
        let _ = stream.read_to_end(&mut all);
        let text = String::from_utf8_lossy(&all[..all.len().min(200)]).into_owned();
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert!(
            all.len() < 1_000_000 && !all.ends_with(b"0\r\n\r\n"),
            "{framing}: it looks whole"
        );
    }
}

#[test]
fn a_body_in_small_pieces_arrives_as_it_was_sent_and_in_no_hurry() {
    let server = Server::start(|request: &Message, _, stream| {
        let right = request.body == pattern(0, request.body.len());
        let text = format!("{right}");
        let _ = stream.write_all(
            format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            )
            .as_bytes(),
        );
    });
    let (_discovery, node) = node(server.address);
    let mut stream = connect(node.address);
    let size = 300_000;
    let request = write_request("slow", &format!("content-length: {size}"), "");
    for byte in request.as_bytes().chunks(9) {
        stream.write_all(byte).unwrap();
        std::thread::sleep(Duration::from_millis(60));
    }
    // About 64 kB a second, so that the whole takes longer than any head may.
    for at in (0..size).step_by(6_000) {
        stream
            .write_all(&pattern(at, 6_000.min(size - at)))
            .unwrap();
        std::thread::sleep(Duration::from_millis(90));
    }
    let mut reader = BufReader::new(stream);
    let got = Message::read(&mut reader).expect("an answer");
    assert_eq!(
        (got.start_line.contains("200"), got.body.as_slice()),
        (true, b"true".as_slice())
    );
    assert_eq!(server.requests(), 1);
}

#[test]
fn a_client_that_breaks_off_in_a_flowing_body_costs_its_server_nothing() {
    let server = Server::healthy();
    let (_discovery, node) = node(server.address);
    for n in 0..5 {
        let mut stream = connect(node.address);
        stream
            .write_all(write_request(&format!("b-{n}"), "content-length: 9000000", "").as_bytes())
            .unwrap();
        stream.write_all(&pattern(0, 2_000_000)).unwrap();
        drop(stream);
        // The only server is neither blamed nor left with half a request that it might run.
        assert_eq!(get(node.address, &format!("g-{n}")).status, 200);
    }
    assert_eq!(server.requests(), 5);
}

#[test]
fn a_body_that_only_trickles_is_given_up_though_it_never_rests_for_long() {
    let server = Server::healthy();
    let (_discovery, node) = node(server.address);
    let mut stream = connect(node.address);
    stream
        .write_all(write_request("t-1", "content-length: 9000000", "").as_bytes())
        .unwrap();
    let (began, mut writer) = (Instant::now(), stream.try_clone().unwrap());
    std::thread::spawn(move || {
        while writer.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(300))
        }
    });
    let got = head(&mut BufReader::new(stream));
    // It never ran, and both say so.
    assert!(
        got.starts_with("HTTP/1.1 408") || got.starts_with("HTTP/1.1 503"),
        "{got}"
    );
    assert!(
        began.elapsed() < Duration::from_secs(12),
        "a trickle holds its place for {:?}",
        began.elapsed()
    );
    assert_eq!(server.requests(), 0);
    assert_eq!(get(node.address, "t-2").status, 200);
}

#[test]
fn a_body_whose_server_leaves_in_the_middle_is_refused_and_runs_nowhere() {
    let (left, go) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (at, until) = (left.clone(), go.clone());
    let server = serve(move |stream, n| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if n == 0 {
            head(&mut reader);
            let mut some = vec![0; 100_000];
            reader.read_exact(&mut some).unwrap();
            let _ = stream.shutdown(std::net::Shutdown::Both);
            at.wait();
            until.wait();
        }
    });
    let (_discovery, node) = node(server);
    let mut stream = connect(node.address);
    stream
        .write_all(write_request("m-1", "content-length: 4000000", "").as_bytes())
        .unwrap();
    let mut writer = stream.try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let _ = writer.write_all(&pattern(0, 4_000_000));
    });
    left.wait();
    let mut reader = BufReader::new(stream);
    let got = head(&mut reader);
    assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    go.wait();
    writing.join().unwrap();
}

#[test]
fn an_answer_to_a_request_whose_body_still_comes_reaches_its_client() {
    // Nobody to send to: the node has its answer at once.
    let discovery = Discovery::start();
    let server = Server::healthy();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server.address, "leaving")]);
    let up = Server::healthy();
    discovery.send_snapshot(
        2,
        &[
            ListedServer::new("s-1", server.address, "leaving"),
            ListedServer::new("s-2", up.address, "active"),
        ],
    );
    let node = Node::start(&program(), discovery.address, 256);
    discovery.send_snapshot(
        3,
        &[
            ListedServer::new("s-1", server.address, "leaving"),
            ListedServer::new("s-2", up.address, "leaving"),
        ],
    );
    let began = Instant::now();
    while get(node.address, "probe").status == 200 {
        assert!(began.elapsed() < Duration::from_secs(10));
    }
    let mut stream = connect(node.address);
    stream
        .write_all(write_request("e-1", "content-length: 3000000", "").as_bytes())
        .unwrap();
    let mut writer = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        let _ = writer.write_all(&pattern(0, 3_000_000));
    });
    let got = head(&mut BufReader::new(stream));
    assert!(got.starts_with("HTTP/1.1 503"), "{got}");
    assert_eq!(server.requests(), 0);
}

#[test]
fn an_answer_that_ends_with_its_connection_is_passed_on_whole() {
    let server = serve(|stream, _| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        head(&mut reader);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nuntil the end");
    });
    let (_discovery, node) = node(server);
    assert_eq!(get(node.address, "c-1").body, "until the end");
}
