//! The nodes of these tests.

use crate::clients::head;
use reelfall_testbed::node;
use reelfall_testbed::scripted::{self, connect, Discovery, Program};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

const MAX_SOCKETS: usize = 512;
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

/// How a node is configured.
#[derive(Clone, Copy, Debug)]
pub enum NodeKind {
    /// By the platform, with one service.
    Platform,
    /// By a settings file with a service whose memory does not suffice for a body.
    SettingsFile,
}

impl NodeKind {
    pub const ALL: [NodeKind; 2] = [NodeKind::Platform, NodeKind::SettingsFile];
}

/// Runs a check on nodes of all kinds at the same time.
pub fn for_each_kind(check: impl Fn(NodeKind) + Sync) {
    std::thread::scope(|scope| {
        for kind in NodeKind::ALL {
            let check = &check;
            scope.spawn(move || check(kind));
        }
    });
}

/// A running node.
pub struct TestNode {
    pub address: SocketAddr,
    pub process: NodeProcess,
}

/// The process of a node, and what it needs to run.
pub enum NodeProcess {
    Platform {
        node: Box<scripted::Node>,
        _discovery: Discovery,
    },
    SettingsFile {
        node: Box<node::Node>,
        runtime: tokio::runtime::Runtime,
    },
}

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

impl TestNode {
    /// Starts a node with these servers.
    pub fn start(kind: NodeKind, servers: &[SocketAddr]) -> TestNode {
        match kind {
            NodeKind::Platform => TestNode::start_platform(servers),
            NodeKind::SettingsFile => TestNode::start_with_settings(&settings(servers)),
        }
    }

    fn start_platform(servers: &[SocketAddr]) -> TestNode {
        let discovery = Discovery::listing(servers);
        let node = scripted::Node::start(&program(), discovery.address, MAX_SOCKETS);
        TestNode {
            address: node.address,
            process: NodeProcess::Platform {
                node: Box::new(node),
                _discovery: discovery,
            },
        }
    }

    /// Starts a node with this settings file.
    pub fn start_with_settings(settings: &str) -> TestNode {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let node = runtime.block_on(async {
            let node = node::Node::start(&program(), settings).await.unwrap();
            node.wait_for_health("/_health", true).await.unwrap();
            node
        });
        TestNode {
            address: node.address(),
            process: NodeProcess::SettingsFile {
                node: Box::new(node),
                runtime,
            },
        }
    }

    /// Sends the process a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        match &self.process {
            NodeProcess::Platform { node, .. } => node.signal(name),
            NodeProcess::SettingsFile { node, .. } => node.signal(name).unwrap(),
        }
    }
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
