//! Malformed, large and surplus responses of servers.

use crate::fixtures::{ok, Fixture};
use reelfall_testbed::scripted::{
    connect, exchange, get, ok_response, read_response, write_request, Server,
};
use std::io::Write;

const LARGE_BODY_BYTES: usize = 350_000;
const UNTERMINATED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx: ";
const MALFORMED_RESPONSES: [&[u8]; 6] = [
    b"\x00\xff noise\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    b"HTTP/1.1 200 OK\r\ncontent-length: -3\r\n\r\nabc",
    UNTERMINATED_HEAD,
    b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
];

/// A server that sends a malformed response to every other request, beginning with the first one.
fn start_server_with_malformed_response(malformed: &'static [u8]) -> Server {
    Server::start(move |request, number, stream| {
        let is_malformed = number % 2 == 0;
        if !is_malformed {
            let _ = stream.write_all(&ok_response(request));
            return;
        }
        let _ = stream.write_all(malformed);
        if malformed == UNTERMINATED_HEAD {
            let _ = stream.write_all(&[b'y'; 200_000]);
        }
    })
}

#[test]
fn malformed_response_fails_its_request_without_retry() {
    for malformed in MALFORMED_RESPONSES {
        let server = start_server_with_malformed_response(malformed);
        let Fixture { node, .. } = &Fixture::start(&server);
        // The request may have taken effect, so that it must not be reported as rejected or be retried.
        let write = write_request("w-1", "content-length: 1", "x");
        let response = exchange(node.address, write.as_bytes());
        let failed = response.as_ref().is_none_or(|response| {
            response.status != 503 && response.status != 429 && response.status >= 400
        });
        assert!(
            failed && server.requests() == 1,
            "{response:?} to {:?}",
            String::from_utf8_lossy(malformed)
        );
        // The connection is not reused: the next request is sent on a new connection and gets its own response.
        assert_eq!(get(node.address, "r-1"), ok("r-1"));
    }
}

#[test]
fn large_response_is_forwarded_completely() {
    let server = Server::start(|_, _, stream| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n");
        let _ = stream.write_all((head + &"z".repeat(LARGE_BODY_BYTES)).as_bytes());
    });
    let Fixture { node, .. } = &Fixture::start(&server);
    for n in 0..30 {
        let response = get(node.address, &format!("l-{n}"));
        assert_eq!(
            (response.status, response.body.len()),
            (200, LARGE_BODY_BYTES)
        );
    }
}

#[test]
fn surplus_bytes_after_response_are_not_taken_for_next_response() {
    let surplus_variants: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother",
        b"\x00 noise",
    ];
    for surplus in surplus_variants {
        let server = Server::start(move |request, _, stream| {
            let informational =
                b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
            let all = [&informational[..], &ok_response(request), surplus].concat();
            let _ = stream.write_all(&all);
        });
        let Fixture { node, .. } = &Fixture::start(&server);
        let mut stream = connect(node.address);
        for n in 0..20 {
            let id = format!("m-{n}");
            let request = write_request(&id, "content-length: 1", "x");
            stream.write_all(request.as_bytes()).unwrap();
            assert_eq!(read_response(&stream), Some(ok(&id)));
        }
    }
}
