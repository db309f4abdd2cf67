//! The program under test.

use super::client::{read_response, try_connect};
use super::{Message, PATIENCE};
use crate::node::{Folder, Program};
use crate::ports::Port;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The program under test. It is killed when this is dropped.
pub struct Node {
    /// Where clients connect.
    pub address: SocketAddr,
    /// The management address.
    pub management: SocketAddr,
    child: Child,
    config: PathBuf,
    sockets: usize,
    /// Its `TMPDIR`; the processes of an upgrade share it.
    folder: Arc<Folder>,
    discovery: SocketAddr,
    /// Of the address for clients; the processes of an upgrade share it.
    port: Arc<Port>,
    _management_port: Port,
}

impl Node {
    /// Starts the program, and waits until it is ready.
    pub fn start(program: &Program, discovery: SocketAddr, sockets: usize) -> Node {
        let folder = Arc::new(Folder::new().unwrap());
        let mut node = Node::spawn(
            program,
            Arc::new(Port::take().unwrap()),
            discovery,
            sockets,
            folder,
        );
        let started = Instant::now();
        let address = node.address;
        while !is_healthy(address) || !node.is_ready() {
            node.assert_running();
            assert!(started.elapsed() < PATIENCE, "the node does not get ready");
            std::thread::sleep(Duration::from_millis(10));
        }
        node
    }

    fn spawn(
        program: &Program,
        port: Arc<Port>,
        discovery: SocketAddr,
        sockets: usize,
        folder: Arc<Folder>,
    ) -> Node {
        let management_port = Port::take().unwrap();
        let (address, management) = (port.address(), management_port.address());
        let config = folder.path().join(format!("{}.json", management.port()));
        std::fs::write(&config, configuration(address, discovery, sockets)).unwrap();
        let mut command = program.command();
        command
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_MANAGEMENT", management.to_string());
        command.env("TMPDIR", folder.path()).stdout(Stdio::null());
        let child = command.spawn().unwrap();
        Node {
            address,
            management,
            child,
            config,
            sockets,
            folder,
            discovery,
            port,
            _management_port: management_port,
        }
    }

    /// Panics if the program has ended.
    fn assert_running(&mut self) {
        if let Some(status) = self.child.try_wait().unwrap() {
            panic!("the node has ended by itself: {status}");
        }
    }

    /// Starts the program again at the same address, as an upgrade does, and waits until it is ready.
    pub fn start_successor(&self, program: &Program) -> Node {
        let mut node = self.spawn_successor(program);
        let started = Instant::now();
        while !node.is_ready() {
            node.assert_running();
            assert!(
                started.elapsed() < PATIENCE,
                "the new process does not get ready"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        node
    }

    /// Starts the program again at the same address.
    pub fn spawn_successor(&self, program: &Program) -> Node {
        Node::spawn(
            program,
            self.port.clone(),
            self.discovery,
            self.sockets,
            self.folder.clone(),
        )
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether it states that it is ready.
    fn is_ready(&self) -> bool {
        let Some(mut stream) = try_connect(self.management) else {
            return false;
        };
        let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nhost: n\r\n\r\n");
        read_response(&stream).is_some_and(|response| response.status == 200)
    }

    /// Its `TMPDIR`.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Kills the program.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Replaces the configuration by one with another discovery.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        std::fs::write(
            &self.config,
            configuration(self.address, discovery, self.sockets),
        )
        .unwrap();
    }

    /// Replaces the configuration by an incomplete one.
    pub fn corrupt_configuration(&self) {
        std::fs::write(&self.config, "{\"discovery\": ").unwrap();
    }

    /// Waits for the end of the program; returns whether it was successful.
    pub fn wait(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","promise":1.5,"deadline":6.0,"worth":1.0,"late-value":0.5,"effect":"{effect}"}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":null,
        "settings":{{"categories":[{},{}],"discovery":"push","kinds":["k"],"failure-domains":["a"],
        "limits":{{"max-attempts":4,"conn-idle":5.0,"connect-timeout":2.0,"retry-after":true,
        "max-retry-after":0.3}},"rules":{{"answer-slack":0.05}}}}}}"#,
        class("read", "idempotent"),
        class("write", "at_most_once"),
    )
}

fn is_healthy(node: SocketAddr) -> bool {
    let status_line = || -> Option<String> {
        let mut stream = try_connect(node)?;
        stream
            .write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n")
            .ok()?;
        Some(Message::read(&mut BufReader::new(stream))?.start_line)
    };
    status_line().is_some_and(|line| line.contains("200"))
}
