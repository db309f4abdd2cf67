//! The nodes of these tests.

use crate::clients::head;
use reelfall_testbed::scripted::{connect, Program};
use reelfall_testbed::test_node::{NodeKind, TestNode};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// The size in bytes of the first piece of a body for which the node has to reserve memory.
const RESERVED_PIECE_BYTES: usize = 5_000;
/// The announced sizes of bodies that use up the node's memory, the largest that are buffered first, in bytes.
const MEMORY_FILLING_BYTES: [usize; 8] = [
    1 << 20,
    512 << 10,
    256 << 10,
    128 << 10,
    64 << 10,
    32 << 10,
    16 << 10,
    8 << 10,
];
const LARGEST_FILLING_BODIES: usize = 16;

/// Runs a check on nodes of all kinds at the same time.
pub fn for_each_kind(check: impl Fn(NodeKind) + Sync) {
    std::thread::scope(|scope| {
        for kind in NodeKind::ALL {
            let check = &check;
            scope.spawn(move || check(kind));
        }
    });
}

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Starts a node with these servers.
pub fn start_node(kind: NodeKind, servers: &[SocketAddr]) -> TestNode {
    match kind {
        NodeKind::Platform => TestNode::start_platform(&program(), servers),
        NodeKind::SettingsFile => start_node_with_settings(&settings(servers)),
    }
}

/// Starts a node with this settings file.
pub fn start_node_with_settings(settings: &str) -> TestNode {
    TestNode::start_with_settings(&program(), settings)
}

/// A settings file with one service of unsafe requests, whose memory is too small for any body that needs some.
pub fn settings(servers: &[SocketAddr]) -> String {
    let mut text = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n[[service]]\nname = \"write\"\n\
                    limits = { memory = \"1KiB\" }\n[[service.class]]\nname = \"write\"\nrepeat = \"unsafe\"\naim = \"500ms\"\n\
                    deadline = \"5s\"\n[[service.route]]\nhost = \"write.example.org\"\npath = \"/api\"\n"
        .to_owned();
    for (number, server) in servers.iter().enumerate() {
        text += &format!("[[service.server]]\nname = \"s-{number}\"\naddress = \"{server}\"\n");
    }
    text
}

/// Requests whose bodies are received in part, so that no memory is left for other bodies as long as this exists.
pub struct UsedMemory {
    _connections: Vec<TcpStream>,
}

impl UsedMemory {
    /// Uses up the memory of a node. For a node with a settings file there is nothing to do.
    pub fn fill(kind: NodeKind, node: SocketAddr) -> UsedMemory {
        let sizes = match kind {
            NodeKind::SettingsFile => Vec::new(),
            NodeKind::Platform => {
                let mut sizes = vec![MEMORY_FILLING_BYTES[0]; LARGEST_FILLING_BODIES];
                sizes.extend_from_slice(&MEMORY_FILLING_BYTES);
                sizes
            }
        };
        let connections = sizes
            .into_iter()
            .enumerate()
            .map(|(number, size)| {
                let mut stream = connect(node);
                let framing = format!("content-length: {size}");
                let mut text = head(&format!("fill-{number}"), &framing).into_bytes();
                text.resize(text.len() + RESERVED_PIECE_BYTES, b'x');
                stream.write_all(&text).unwrap();
                stream
            })
            .collect();
        UsedMemory {
            _connections: connections,
        }
    }
}
