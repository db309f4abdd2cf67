//! The nodes of these tests.

use reelfall_testbed::node;
use reelfall_testbed::scripted::{self, Discovery, Program};
use reelfall_testbed::slow_answers::Servers;
use std::net::SocketAddr;

const MAX_SOCKETS: usize = 512;

/// How a node is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// By the platform, with one service.
    Platform,
    /// By a settings file, with a service for each class.
    SettingsFile,
}

impl NodeKind {
    pub const ALL: [NodeKind; 2] = [NodeKind::Platform, NodeKind::SettingsFile];
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
        discovery: Discovery,
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
    pub fn start(kind: NodeKind, servers: &Servers) -> TestNode {
        match kind {
            NodeKind::Platform => TestNode::start_platform(&servers.addresses),
            NodeKind::SettingsFile => TestNode::start_with_settings(&settings(&servers.addresses)),
        }
    }

    fn start_platform(servers: &[SocketAddr]) -> TestNode {
        let discovery = Discovery::listing(servers);
        let node = scripted::Node::start(&program(), discovery.address, MAX_SOCKETS);
        TestNode {
            address: node.address,
            process: NodeProcess::Platform {
                node: Box::new(node),
                discovery,
            },
        }
    }

    fn start_with_settings(settings: &str) -> TestNode {
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

/// A settings file with a service of safe and one of unsafe requests.
pub fn settings(servers: &[SocketAddr]) -> String {
    let mut text = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n".to_owned();
    for (name, repeat) in [("read", "safe"), ("write", "unsafe")] {
        text += &format!(
            "[[service]]\nname = \"{name}\"\n[[service.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\n\
             aim = \"500ms\"\ndeadline = \"5s\"\n[[service.route]]\nhost = \"{name}.example.org\"\npath = \"/api\"\n"
        );
        for (number, server) in servers.iter().enumerate() {
            text += &format!(
                "[[service.server]]\nname = \"{name}-{number}\"\naddress = \"{server}\"\n"
            );
        }
    }
    text
}
