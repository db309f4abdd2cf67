//! The nodes of these tests.

use reelfall_testbed::scripted::Program;
use reelfall_testbed::slow_answers::Servers;
use reelfall_testbed::test_node::{NodeKind, TestNode};
use std::net::SocketAddr;

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

/// Starts a node with these servers.
pub fn start_node(kind: NodeKind, servers: &Servers) -> TestNode {
    match kind {
        NodeKind::Platform => TestNode::start_platform(&program(), &servers.addresses),
        NodeKind::SettingsFile => {
            TestNode::start_with_settings(&program(), &settings(&servers.addresses))
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
