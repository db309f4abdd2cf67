//! The program under test as a process, with a configuration in the platform's format.

use super::client::{read_response, try_connect};
use super::{Message, NodeSettings, PlatformConfiguration, WAIT_TIMEOUT};
use crate::node::{Folder, Program};
use crate::ports::Port;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Latency objective of all classes.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(1500);
/// Deadline of all classes.
const DEADLINE: Duration = Duration::from_secs(6);

/// A running node process. Dropping it kills the process.
pub struct Node {
    /// Address for clients.
    pub address: SocketAddr,
    /// The management address.
    pub management: SocketAddr,
    child: Child,
    config_path: PathBuf,
    settings: NodeSettings,
    /// `TMPDIR` of the process, shared by the processes of an upgrade.
    folder: Arc<Folder>,
    discovery: SocketAddr,
    /// Reservation of the port for clients, shared by the processes of an upgrade.
    port: Arc<Port>,
    _management_port: Port,
}

impl Node {
    /// Starts the program and waits until it is ready.
    ///
    /// # Panics
    /// Panics if the program can't be started, exits, or is not ready within [`WAIT_TIMEOUT`].
    pub fn start(program: &Program, discovery: SocketAddr, max_sockets: usize) -> Node {
        Node::start_with(program, discovery, NodeSettings::with_sockets(max_sockets))
    }

    /// Starts the program with these settings and waits until it is ready.
    ///
    /// # Panics
    /// Panics if the program can't be started, exits, or is not ready within [`WAIT_TIMEOUT`].
    pub fn start_with(program: &Program, discovery: SocketAddr, settings: NodeSettings) -> Node {
        let folder = Folder::new().expect("a temporary folder can be created");
        let port = Port::reserve().expect("a port is left");
        let mut node = Node::spawn(
            program,
            Arc::new(port),
            discovery,
            settings,
            Arc::new(folder),
        );
        let started = Instant::now();
        let address = node.address;
        while !is_healthy(address) || !node.is_ready() {
            node.assert_running();
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the node did not become ready in time"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
        node
    }

    fn spawn(
        program: &Program,
        port: Arc<Port>,
        discovery: SocketAddr,
        settings: NodeSettings,
        folder: Arc<Folder>,
    ) -> Node {
        let management_port = Port::reserve().expect("a port is left");
        let (address, management) = (port.address(), management_port.address());
        let config_path = folder.path().join(format!("{}.json", management.port()));
        let configuration = configuration(address, discovery, settings);
        std::fs::write(&config_path, configuration).expect("the configuration can be written");
        let mut command = program.command();
        command
            .env("ROUTER_CONFIG", &config_path)
            .env("ROUTER_MANAGEMENT", management.to_string())
            .env("TMPDIR", folder.path())
            .stdout(Stdio::null());
        let child = command.spawn().expect("the program starts");
        Node {
            address,
            management,
            child,
            config_path,
            settings,
            folder,
            discovery,
            port,
            _management_port: management_port,
        }
    }

    /// Panics if the process has exited.
    fn assert_running(&mut self) {
        let status = self.child.try_wait().expect("the process is a child");
        if let Some(status) = status {
            panic!("the node exited unexpectedly: {status}");
        }
    }

    /// Starts a second process on the same address, as an upgrade does, and waits until it is ready.
    ///
    /// # Panics
    /// Panics if the program can't be started, exits, or is not ready within [`WAIT_TIMEOUT`].
    pub fn start_successor(&self, program: &Program) -> Node {
        let mut node = self.spawn_successor(program);
        let started = Instant::now();
        while !node.is_ready() {
            node.assert_running();
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the successor did not become ready in time"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        node
    }

    /// Starts a second process on the same address without waiting for it.
    ///
    /// # Panics
    /// Panics if the program can't be started.
    pub fn spawn_successor(&self, program: &Program) -> Node {
        Node::spawn(
            program,
            self.port.clone(),
            self.discovery,
            self.settings,
            self.folder.clone(),
        )
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the readiness path of the management address responds with 200.
    fn is_ready(&self) -> bool {
        let Some(mut stream) = try_connect(self.management) else {
            return false;
        };
        let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nhost: n\r\n\r\n");
        read_response(&stream).is_some_and(|response| response.status == 200)
    }

    /// Path of the process's `TMPDIR`.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Rewrites the configuration with another discovery address.
    ///
    /// # Panics
    /// Panics if the file can't be written.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        self.write_configuration(&configuration(self.address, discovery, self.settings));
    }

    /// Overwrites the configuration with invalid JSON.
    ///
    /// # Panics
    /// Panics if the file can't be written.
    pub fn corrupt_configuration(&self) {
        self.write_configuration("{\"discovery\": ");
    }

    fn write_configuration(&self, text: &str) {
        std::fs::write(&self.config_path, text).expect("the configuration can be written");
    }

    /// Whether the process has not exited.
    ///
    /// # Panics
    /// Panics if its state can't be read.
    pub fn is_running(&mut self) -> bool {
        let status = self.child.try_wait().expect("the process is a child");
        status.is_none()
    }

    /// Waits for the process to exit; returns whether it succeeded.
    ///
    /// # Panics
    /// Panics if waiting for the process fails.
    pub fn wait(&mut self) -> bool {
        let status = self.child.wait().expect("the process is a child");
        status.success()
    }

    /// Sends the signal with this name, such as `TERM`.
    ///
    /// # Panics
    /// Panics if the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .expect("the system has `kill`");
        assert!(
            status.success(),
            "signal {name} could not be sent to process {pid}"
        );
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Formats the configuration of a node with the defaults of these tests.
fn configuration(listen: SocketAddr, discovery: SocketAddr, settings: NodeSettings) -> String {
    let configuration = PlatformConfiguration {
        listen,
        discovery,
        settings,
        latency_objective: LATENCY_OBJECTIVE,
        deadline: DEADLINE,
        drain_grace: Duration::ZERO,
    };
    configuration.to_json()
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
