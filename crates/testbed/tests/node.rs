//! The real program over loopback sockets: one test for each failure that the socket side guards against.

use reelfall_testbed::scripted::{
    connect, exchange, get, ok_response, read_request, read_response, write_request, Discovery,
    GatedServer, ListedServer, Message, Node, Program, Response, Server,
};
use std::io::{BufReader, Write};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

#[test]
fn a_new_configuration_moves_the_watch_and_costs_no_request() {
    let (first, second) = (Server::healthy(), Server::healthy());
    let (old, new) = (Discovery::start(), Discovery::start());
    old.send_snapshot(40, &[ListedServer::new("s-1", first.address, "active")]);
    // The new service counts its versions anew, and knows another server.
    new.send_snapshot(3, &[ListedServer::new("s-2", second.address, "active")]);
    let node = Node::start(&program(), old.address, 256);
    assert_eq!(get(node.address, "r-1").status, 200);
    assert_eq!((first.requests(), second.requests()), (1, 0));
    node.set_discovery(new.address);
    node.signal("HUP");
    new.wait_for_watch();
    let mut n = 2;
    while second.requests() == 0 {
        assert_eq!(get(node.address, &format!("r-{n}")).status, 200);
        n += 1;
    }
    // A file that is no configuration leaves all as it is.
    node.corrupt_configuration();
    node.signal("HUP");
    let before = second.requests();
    assert_eq!(get(node.address, "r-last").status, 200);
    assert_eq!(second.requests(), before + 1);
}

/// A node with one server that answers as told.
fn before(server: &Server, sockets: usize) -> (Discovery, Node) {
    let discovery = Discovery::start();
    discovery.send_snapshot(1, &[ListedServer::new("s-1", server.address, "active")]);
    let node = Node::start(&program(), discovery.address, sockets);
    (discovery, node)
}

#[test]
fn malformed_requests_are_rejected_and_reach_no_server() {
    let server = Server::healthy();
    let (_discovery, node) = before(&server, 256);
    let hidden = read_request("hidden");
    let both = format!(
        "content-length: {}\r\ntransfer-encoding: chunked",
        hidden.len() + 5
    );
    let bad = [
        "\x16\x03\x01 noise \x00\x01\r\n\r\n".to_owned(),
        format!("GET /api HTTP/1.1\r\nx: {}", "y".repeat(200_000)),
        format!("GET /api HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(5_000)),
        write_request("b-1", &both, &format!("0\r\n\r\n{hidden}")),
        write_request(
            "b-2",
            "transfer-encoding: chunked\r\ncontent-length: 0",
            "0\r\n\r\n",
        ),
        write_request("b-3", "content-length: 5\r\ncontent-length: 0", "12345"),
        write_request("b-4", "content-length: -5", "12345"),
        write_request("b-5", "content-length: +5", "12345"),
        write_request("b-6", "content-length: 99999999999999999999999", "12345"),
        write_request("b-7", "content-length: 60000000", "12345"),
        write_request("b-8", "content-length: 2", "12345"),
        write_request("b-9", "transfer-encoding: gzip", "12345"),
        write_request("b-10", "content-length: 5", "12345").replace("write", "none"),
        write_request("b-11", "content-length: 5", "12345").replace("6.0", "soon"),
        write_request("b-12", "content-length: 5", "12345").replace("6.0", "NaN"),
        write_request("b-13", "content-length: 5", "12345").replace("x-correlation-id", "x-other"),
        write_request("b-14", "content-length: 5", "12345").replace("POST", "BREW"),
        "\r\n".repeat(100_000),
    ];
    for request in &bad {
        if let Some(got) = exchange(node.address, request.as_bytes()) {
            assert!(
                (400..500).contains(&got.status),
                "{got:?} to {:.80}",
                request
            );
        }
    }
    assert_eq!(
        server.requests(),
        0,
        "a request that can't be used was passed on"
    );
    assert_eq!(
        get(node.address, "g-1"),
        Response {
            status: 200,
            body: "g-1".to_owned()
        }
    );
}

#[test]
fn an_incomplete_request_ends_only_its_own_connection() {
    let server = Server::healthy();
    let (_discovery, node) = before(&server, 256);
    let began = Instant::now();
    for part in [
        "",
        "GET /api HT",
        &write_request("h-1", "content-length: 50", "half"),
    ] {
        let mut stream = connect(node.address);
        stream.write_all(part.as_bytes()).unwrap();
        let got = read_response(&stream);
        assert!(
            got.as_ref().is_none_or(|g| (400..500).contains(&g.status)),
            "{got:?}"
        );
    }
    assert!(
        began.elapsed() < Duration::from_secs(15),
        "half a request holds its connection"
    );
    assert_eq!(
        (get(node.address, "g-1").status, server.requests()),
        (200, 1)
    );
}

#[test]
fn silent_connections_do_not_keep_other_clients_out() {
    let server = Server::healthy();
    let (_discovery, node) = before(&server, 64);
    let mut good = connect(node.address);
    let mut crowd: Vec<_> = (0..60).map(|_| connect(node.address)).collect();
    for n in 0..20 {
        crowd.extend((0..5).map(|_| connect(node.address)));
        good.write_all(read_request(&format!("g-{n}")).as_bytes())
            .unwrap();
        if read_response(&good).is_none() {
            // It may lose its place while idle, but a new one is to be had.
            good = connect(node.address);
        }
        assert_eq!(get(node.address, &format!("n-{n}")).status, 200);
    }
    for silent in &crowd {
        assert_eq!(
            read_response(silent),
            None,
            "a silent connection gets an answer"
        );
    }
}

#[test]
fn the_id_of_an_open_request_is_not_taken_twice() {
    let (arrived, release) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (at, until) = (arrived.clone(), release.clone());
    let server = Server::start(move |request, number, stream| {
        if number == 0 {
            at.wait();
            until.wait();
        }
        let _ = stream.write_all(&ok_response(request));
    });
    let (_discovery, node) = before(&server, 256);
    let mut first = connect(node.address);
    first
        .write_all(write_request("same", "content-length: 1", "x").as_bytes())
        .unwrap();
    arrived.wait();
    assert_eq!(get(node.address, "same").status, 409);
    release.wait();
    assert_eq!(
        read_response(&first),
        Some(Response {
            status: 200,
            body: "same".to_owned()
        })
    );
    // The id is free again once its request is over.
    assert_eq!(get(node.address, "same").status, 200);
    assert_eq!(server.requests(), 2);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = Server::healthy();
    let (_discovery, node) = before(&server, 256);
    let mut stream = connect(node.address);
    let two = write_request("p-1", "content-length: 3", "abc") + &read_request("p-2");
    stream.write_all(two.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    for id in ["p-1", "p-2"] {
        assert_eq!(
            Message::read(&mut reader).expect("an answer").body,
            id.as_bytes()
        );
    }
}

#[test]
fn a_chunked_body_arrives_whole() {
    let server = Server::healthy();
    let (_discovery, node) = before(&server, 256);
    let request = write_request("c-1", "transfer-encoding: chunked", "3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(
        exchange(node.address, request.as_bytes())
            .expect("an answer")
            .status,
        200
    );
}

#[test]
fn on_sigterm_what_is_open_is_answered_and_the_program_ends() {
    let GatedServer {
        server,
        arrived,
        release,
    } = GatedServer::start();
    let (_discovery, mut node) = before(&server, 256);
    let idle = connect(node.address);
    let mut open = connect(node.address);
    open.write_all(read_request("t-1").as_bytes()).unwrap();
    arrived.wait();
    node.signal("TERM");
    assert_eq!(read_response(&idle), None);
    release.wait();
    assert_eq!(read_response(&open).map(|g| g.status), Some(200));
    assert!(node.wait(), "the program ends with a failure");
}

#[test]
fn while_the_last_requests_are_answered_nobody_new_is_kept_waiting() {
    let GatedServer {
        server,
        arrived,
        release,
    } = GatedServer::start();
    let (_discovery, mut node) = before(&server, 256);
    let mut open = connect(node.address);
    open.write_all(write_request("open", "content-length: 1", "x").as_bytes())
        .unwrap();
    arrived.wait();
    node.signal("TERM");
    // Connections come for a little longer; then the address is closed, though a client is still there.
    let began = Instant::now();
    while std::net::TcpStream::connect(node.address).is_ok() {
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "a node that ends lets clients connect and wait"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    release.wait();
    assert_eq!(
        read_response(&open),
        Some(Response {
            status: 200,
            body: "open".to_owned()
        })
    );
    assert!(node.wait());
}

#[test]
fn an_answer_that_is_spoilt_serves_nobody_and_runs_nothing_twice() {
    let spoilt: [&[u8]; 6] = [
        b"\x00\xff noise\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
        b"HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nx: ",
        b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
    ];
    for answer in spoilt {
        let server = Server::start(move |request, number, stream| {
            let head_without_end = answer.ends_with(b"x: ");
            let _ = stream.write_all(if number % 2 == 0 { answer } else { b"" });
            if number % 2 == 1 {
                let _ = stream.write_all(&ok_response(request));
            } else if head_without_end {
                let _ = stream.write_all(&[b'y'; 200_000]);
            }
        });
        let (_discovery, node) = before(&server, 256);
        // What may have run is failed, never refused or repeated.
        let write = write_request("w-1", "content-length: 1", "x");
        let got = exchange(node.address, write.as_bytes());
        let failed = got
            .as_ref()
            .is_none_or(|g| g.status != 503 && g.status != 429 && g.status >= 400);
        assert!(
            failed && server.requests() == 1,
            "{got:?} to {:?}",
            String::from_utf8_lossy(answer)
        );
        // The connection is of no further use: the next request has its own and its own answer.
        assert_eq!(
            get(node.address, "r-1"),
            Response {
                status: 200,
                body: "r-1".to_owned()
            }
        );
    }
}

#[test]
fn a_large_answer_arrives_whole() {
    let server = Server::start(|_, _, stream| {
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 350000\r\n\r\n";
        let _ = stream.write_all((head.to_owned() + &"z".repeat(350_000)).as_bytes());
    });
    let (_discovery, node) = before(&server, 256);
    for n in 0..30 {
        let got = get(node.address, &format!("l-{n}"));
        assert_eq!((got.status, got.body.len()), (200, 350_000));
    }
}

#[test]
fn surplus_bytes_after_an_answer_are_not_taken_for_the_next_answer() {
    let extra: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother",
        b"\x00 noise",
    ];
    for extra in extra {
        let server = Server::start(move |request, _, stream| {
            let early = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
            let all = [&early[..], &ok_response(request), extra].concat();
            let _ = stream.write_all(&all);
        });
        let (_discovery, node) = before(&server, 256);
        let mut stream = connect(node.address);
        for n in 0..20 {
            let id = format!("m-{n}");
            let request = write_request(&id, "content-length: 1", "x");
            stream.write_all(request.as_bytes()).unwrap();
            assert_eq!(
                read_response(&stream),
                Some(Response {
                    status: 200,
                    body: id
                })
            );
        }
    }
}

#[test]
fn a_new_server_at_the_address_of_another_takes_its_place() {
    let (server, other) = (Server::healthy(), Server::healthy());
    let (discovery, node) = before(&server, 256);
    assert_eq!(get(node.address, "a-1").status, 200);
    // Nobody has said yet that s-1 is gone when its successor drains in turn.
    discovery.send_delta(2, &[ListedServer::new("n-1", server.address, "active")]);
    discovery.send_delta(
        3,
        &[
            ListedServer::new("n-1", server.address, "active"),
            ListedServer::new("n-1", server.address, "leaving"),
            ListedServer::new("n-2", other.address, "active"),
        ],
    );
    let mut n = 2;
    while other.requests() == 0 {
        assert_eq!(get(node.address, &format!("a-{n}")).status, 200);
        n += 1;
    }
    let before = server.requests();
    for n in 0..30 {
        assert_eq!(get(node.address, &format!("b-{n}")).status, 200);
    }
    assert_eq!(
        server.requests(),
        before,
        "a server that drains is sent to under its old name"
    );
}

#[test]
fn a_shortage_of_connections_is_waited_out_and_not_held_against_servers() {
    let server = Server::start(|request, _, stream| {
        std::thread::sleep(Duration::from_millis(5));
        let _ = stream.write_all(&ok_response(request));
    });
    // Room for six connections to servers and ten of clients: eight clients wait for the former, and none of them has to
    // make room for another. Each has one connection for all its requests: of those that end, some are counted still.
    let (_discovery, node) = before(&server, 40);
    let address = node.address;
    let clients: Vec<_> = (0..8)
        .map(|c| {
            std::thread::spawn(move || {
                let mut stream = connect(address);
                let ask = |n| {
                    stream
                        .write_all(read_request(&format!("s-{c}-{n}")).as_bytes())
                        .unwrap();
                    read_response(&stream).expect("an answer").status
                };
                (0..10).map(ask).collect()
            })
        })
        .collect();
    let all: Vec<u16> = clients
        .into_iter()
        .flat_map(|c| -> Vec<u16> { c.join().unwrap() })
        .collect();
    assert!(all.iter().all(|s| *s == 200), "{all:?}");
}
