//! Nodes of both kinds, with servers that answer at once.

use reelfall_testbed::node::{self, anonymous_memory_kib};
use reelfall_testbed::scripted::{self, Discovery, Program, Server};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

const SERVERS: usize = 4;
const MAX_SOCKETS: usize = 512;

/// A running node.
pub struct TestNode {
    process: NodeProcess,
    _servers: Vec<Server>,
    requests: AtomicUsize,
}

enum NodeProcess {
    Platform {
        node: Box<scripted::Node>,
        _discovery: Discovery,
    },
    Settings {
        node: Box<node::Node>,
        _runtime: tokio::runtime::Runtime,
    },
}

fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

fn start_servers() -> Vec<Server> {
    (0..SERVERS).map(|_| Server::healthy()).collect()
}

impl TestNode {
    /// A node of the platform.
    pub fn platform() -> TestNode {
        let servers = start_servers();
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let discovery = Discovery::listing(&addresses);
        let node = scripted::Node::start(&program(), discovery.address, MAX_SOCKETS);
        TestNode {
            process: NodeProcess::Platform {
                node: Box::new(node),
                _discovery: discovery,
            },
            _servers: servers,
            requests: AtomicUsize::new(0),
        }
    }

    /// A node with a settings file, with a plain service and a GraphQL service.
    pub fn with_settings() -> TestNode {
        let servers = start_servers();
        let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let node = runtime.block_on(async {
            let node = node::Node::start(&program(), &settings(&addresses))
                .await
                .unwrap();
            node.wait_for_health("/_health", true).await.unwrap();
            node
        });
        TestNode {
            process: NodeProcess::Settings {
                node: Box::new(node),
                _runtime: runtime,
            },
            _servers: servers,
            requests: AtomicUsize::new(0),
        }
    }

    pub fn address(&self) -> SocketAddr {
        match &self.process {
            NodeProcess::Platform { node, .. } => node.address,
            NodeProcess::Settings { node, .. } => node.address(),
        }
    }

    /// The anonymous memory of the process, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let pid = match &self.process {
            NodeProcess::Platform { node, .. } => node.pid(),
            NodeProcess::Settings { node, .. } => node.pid(),
        };
        anonymous_memory_kib(pid).expect("the node runs")
    }

    pub fn next_request_number(&self) -> usize {
        self.requests.fetch_add(1, Ordering::SeqCst)
    }
}

fn settings(servers: &[SocketAddr]) -> String {
    let classes: String = [("read", "safe"), ("write", "unsafe")]
        .iter()
        .map(|(name, repeat)| {
            format!(
                "[[service.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\naim = \"150ms\"\ndeadline = \"600ms\"\n"
            )
        })
        .collect();
    let listed: String = servers
        .iter()
        .enumerate()
        .map(|(number, server)| {
            format!("[[service.server]]\nname = \"s-{number}\"\naddress = \"{server}\"\n")
        })
        .collect();
    let service = |name: &str, path: &str, section: &str| {
        format!(
            "[[service]]\nname = \"{name}\"\n{classes}{section}[[service.route]]\nhost = \"n\"\npath = \"{path}\"\n{listed}"
        )
    };
    let graphql = "[service.graphql]\nquery = {}\nmutation = {}\nother_query = \"read\"\nother_mutation = \"write\"\n";
    format!(
        "[process]\ndescriptors = {MAX_SOCKETS}\n[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n{}{}",
        service("plain", "/api", ""),
        service("graphql", "/graphql", graphql)
    )
}
