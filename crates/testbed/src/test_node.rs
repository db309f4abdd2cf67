//! A node of either kind, for tests with blocking sockets that send the same requests to both.

use crate::node;
use crate::scripted::{self, Discovery, Program};
use std::net::SocketAddr;

const MAX_SOCKETS: usize = 512;

/// How a node is configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// By the platform, with one service.
    Platform,
    /// By a settings file.
    SettingsFile,
}

impl NodeKind {
    /// Both kinds.
    pub const ALL: [NodeKind; 2] = [NodeKind::Platform, NodeKind::SettingsFile];
}

/// A running node.
pub struct TestNode {
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// Its process.
    pub process: NodeProcess,
}

/// The process of a node, and what it needs to run.
pub enum NodeProcess {
    /// A node of the platform.
    Platform {
        /// The process.
        node: Box<scripted::Node>,
        /// Its discovery service.
        discovery: Discovery,
    },
    /// A node with a settings file.
    SettingsFile {
        /// The process.
        node: Box<node::Node>,
        /// Reads the output of the process.
        runtime: tokio::runtime::Runtime,
    },
}

impl TestNode {
    /// Starts a node of the platform with these servers.
    ///
    /// # Panics
    /// Panics if it does not get ready.
    pub fn start_platform(program: &Program, servers: &[SocketAddr]) -> TestNode {
        let discovery = Discovery::listing(servers);
        let node = scripted::Node::start(program, discovery.address, MAX_SOCKETS);
        TestNode {
            address: node.address,
            process: NodeProcess::Platform {
                node: Box::new(node),
                discovery,
            },
        }
    }

    /// Starts a node with this settings file.
    ///
    /// # Panics
    /// Panics if it does not get ready.
    pub fn start_with_settings(program: &Program, settings: &str) -> TestNode {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime can be created");
        let node = runtime.block_on(async {
            let node = node::Node::start(program, settings)
                .await
                .expect("the node starts");
            node.wait_for_health("/_health", true)
                .await
                .expect("the node gets ready");
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
    ///
    /// # Panics
    /// Panics if the process has ended.
    pub fn signal(&self, name: &str) {
        match &self.process {
            NodeProcess::Platform { node, .. } => node.signal(name),
            NodeProcess::SettingsFile { node, .. } => {
                node.signal(name).expect("the process runs");
            }
        }
    }
}
