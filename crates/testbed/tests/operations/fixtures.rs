//! A node with two servers, and requests to it.

use reelfall_testbed::scripted::{
    exchange, get, read_request, read_response, Discovery, ListedServer, Node, Program, Response,
    Server, WAIT_TIMEOUT,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// Number of sockets that a node of these tests may open.
pub const MAX_SOCKETS: usize = 256;

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// A node with two servers, `s-a` and `s-b`, which discovery lists.
pub struct Fixture {
    pub node: Node,
    pub discovery: Discovery,
    pub server_a: Server,
    pub server_b: Server,
}

impl Fixture {
    pub fn start() -> Fixture {
        let (server_a, server_b) = (Server::healthy(), Server::healthy());
        let discovery = Discovery::start();
        discovery.send_snapshot(
            1,
            &[
                ListedServer::new("s-a", server_a.address, "active"),
                ListedServer::new("s-b", server_b.address, "active"),
            ],
        );
        let node = Node::start(&program(), discovery.address, MAX_SOCKETS);
        Fixture {
            node,
            discovery,
            server_a,
            server_b,
        }
    }

    /// Sends snapshot `index`, in which both servers are active.
    pub fn send_snapshot_with_both(&self, index: u64) {
        self.discovery.send_snapshot(
            index,
            &[
                ListedServer::new("s-a", self.server_a.address, "active"),
                ListedServer::new("s-b", self.server_b.address, "active"),
            ],
        );
    }
}

/// Sends requests to the node until one reaches the server.
pub fn send_until_server_is_used(node: &Node, server: &Server) {
    let (requests_before, started) = (server.requests(), Instant::now());
    for n in 0.. {
        // A server in slow start gets few requests; a request that finds no other server is rejected.
        assert!(matches!(
            get(node.address, &format!("u-{n}")).status,
            200 | 503
        ));
        if server.requests() > requests_before {
            return;
        }
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the server received no request"
        );
    }
}

/// Sends an idempotent request on an open connection and reads the response.
pub fn send(stream: &mut TcpStream, id: &str) -> Option<Response> {
    stream.write_all(read_request(id).as_bytes()).unwrap();
    read_response(stream)
}

/// The response of a healthy server to the request with this ID.
pub fn ok(id: &str) -> Option<Response> {
    Some(Response {
        status: 200,
        body: id.to_owned(),
    })
}

/// The status of the node's health path for clients.
pub fn health_status(address: SocketAddr) -> Option<u16> {
    let request = b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n";
    exchange(address, request).map(|response| response.status)
}
