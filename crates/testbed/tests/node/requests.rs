//! Malformed, incomplete, pipelined and chunked requests, and requests with the ID of another.

use crate::fixtures::{ok, Fixture};
use reelfall_testbed::scripted::{
    connect, exchange, get, ok_response, read_request, read_response, write_request, Message,
    Server,
};
use std::io::{BufReader, Write};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

/// Longest time that the node may take to close the connections of three incomplete requests, which are sent in sequence.
const MAX_TIME_FOR_INCOMPLETE_REQUESTS: Duration = Duration::from_secs(15);

/// Requests that no server may receive.
fn malformed_requests() -> Vec<String> {
    let smuggled = read_request("hidden");
    let length_and_chunked = format!(
        "content-length: {}\r\ntransfer-encoding: chunked",
        smuggled.len() + 5
    );
    vec![
        "\x16\x03\x01 noise \x00\x01\r\n\r\n".to_owned(),
        format!("GET /api HTTP/1.1\r\nx: {}", "y".repeat(200_000)),
        format!("GET /api HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(5_000)),
        write_request("b-1", &length_and_chunked, &format!("0\r\n\r\n{smuggled}")),
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
    ]
}

#[test]
fn malformed_requests_are_rejected_and_not_forwarded() {
    let server = Server::healthy();
    let Fixture { node, .. } = &Fixture::start(&server);
    for request in &malformed_requests() {
        if let Some(response) = exchange(node.address, request.as_bytes()) {
            assert!(
                (400..500).contains(&response.status),
                "{response:?} to {:.80}",
                request
            );
        }
    }
    assert_eq!(server.requests(), 0, "a malformed request was forwarded");
    assert_eq!(get(node.address, "g-1"), ok("g-1"));
}

#[test]
fn incomplete_request_closes_only_its_own_connection() {
    let server = Server::healthy();
    let Fixture { node, .. } = &Fixture::start(&server);
    let started = Instant::now();
    for incomplete in [
        "",
        "GET /api HT",
        &write_request("h-1", "content-length: 50", "half"),
    ] {
        let mut stream = connect(node.address);
        stream.write_all(incomplete.as_bytes()).unwrap();
        let response = read_response(&stream);
        assert!(
            response
                .as_ref()
                .is_none_or(|response| (400..500).contains(&response.status)),
            "{response:?}"
        );
    }
    assert!(
        started.elapsed() < MAX_TIME_FOR_INCOMPLETE_REQUESTS,
        "an incomplete request kept its connection open"
    );
    assert_eq!(
        (get(node.address, "g-1").status, server.requests()),
        (200, 1)
    );
}

#[test]
fn id_of_request_in_flight_is_rejected() {
    let (arrived, release) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (server_arrived, server_release) = (arrived.clone(), release.clone());
    let server = Server::start(move |request, number, stream| {
        if number == 0 {
            server_arrived.wait();
            server_release.wait();
        }
        let _ = stream.write_all(&ok_response(request));
    });
    let Fixture { node, .. } = &Fixture::start(&server);
    let mut first = connect(node.address);
    first
        .write_all(write_request("same", "content-length: 1", "x").as_bytes())
        .unwrap();
    arrived.wait();
    assert_eq!(get(node.address, "same").status, 409);
    release.wait();
    assert_eq!(read_response(&first), Some(ok("same")));
    // The ID can be used again once its request is complete.
    assert_eq!(get(node.address, "same").status, 200);
    assert_eq!(server.requests(), 2);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = Server::healthy();
    let Fixture { node, .. } = &Fixture::start(&server);
    let mut stream = connect(node.address);
    let pipelined = write_request("p-1", "content-length: 3", "abc") + &read_request("p-2");
    stream.write_all(pipelined.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    for id in ["p-1", "p-2"] {
        assert_eq!(
            Message::read(&mut reader).expect("a response").body,
            id.as_bytes()
        );
    }
}

#[test]
fn chunked_body_is_served() {
    let server = Server::healthy();
    let Fixture { node, .. } = &Fixture::start(&server);
    let request = write_request("c-1", "transfer-encoding: chunked", "3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(
        exchange(node.address, request.as_bytes())
            .expect("a response")
            .status,
        200
    );
}
