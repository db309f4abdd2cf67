//! A node with one server.

use reelfall_testbed::scripted::{Discovery, ListedServer, Node, Program, Response, Server};

/// Number of sockets that a node may open in tests that don't exhaust them.
pub const MAX_SOCKETS: usize = 256;

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// A node and its discovery service, which lists one server.
pub struct Fixture {
    pub node: Node,
    pub discovery: Discovery,
}

impl Fixture {
    pub fn start(server: &Server) -> Fixture {
        Fixture::start_with_max_sockets(server, MAX_SOCKETS)
    }

    pub fn start_with_max_sockets(server: &Server, max_sockets: usize) -> Fixture {
        let discovery = Discovery::start();
        discovery.send_snapshot(1, &[ListedServer::new("s-1", server.address, "active")]);
        let node = Node::start(&program(), discovery.address, max_sockets);
        Fixture { node, discovery }
    }
}

/// The response of a healthy server to the request with this ID.
pub fn ok(id: &str) -> Response {
    Response {
        status: 200,
        body: id.to_owned(),
    }
}
