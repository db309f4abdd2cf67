//! The program under test as a process of its own, with a settings file.
//!
//! Fleets, scenarios, measurements, the demo and tests start nodes.

mod error;

pub use error::NodeError;

use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr};

/// Longest wait for a node; one that succeeds needs a small part of it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a health path is requested again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Name of the settings file in the folder of a node.
const SETTINGS_FILE: &str = "services.toml";

/// The program that a node is started with.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments before all others.
    pub args: Vec<String>,
}

impl Program {
    /// The node that is part of the test bed's executable at `path`.
    pub fn in_testbed(path: impl Into<PathBuf>) -> Program {
        Program {
            path: path.into(),
            args: vec!["node".to_owned()],
        }
    }

    /// An executable that is a node.
    pub fn standalone(path: impl Into<PathBuf>) -> Program {
        Program {
            path: path.into(),
            args: Vec::new(),
        }
    }

    /// A command that runs the program, without further arguments.
    pub fn command(&self) -> Command {
        let mut command = Command::new(&self.path);
        command.args(&self.args);
        command
    }
}

/// A temporary folder, which is deleted when this is dropped.
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Creates a folder.
    ///
    /// # Errors
    /// Fails if it can't be created.
    pub fn new() -> Result<Folder> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("reelfall-testbed-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Folder { path })
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// The process of a node with a settings file of its own. It is killed when this is dropped.
pub struct Node {
    /// Where clients connect, by listener.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// The management address, if there is one.
    pub management: Option<SocketAddr>,
    /// Where it receives datagrams of other nodes, if it is part of a fleet.
    pub fleet: Option<SocketAddr>,
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    folder: Folder,
}

impl Node {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    /// Fails if it does not start; the error has the lines of its log.
    pub async fn start(program: &Program, settings: &str) -> Result<Node> {
        let folder = Folder::new()?;
        let settings_file = folder.path().join(SETTINGS_FILE);
        std::fs::write(&settings_file, settings)?;
        let mut command = tokio::process::Command::from(program.command());
        command
            .arg("run")
            .arg("--config")
            .arg(&settings_file)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or(NodeError::MissingStream("output"))?;
        let errors = child
            .stderr
            .take()
            .ok_or(NodeError::MissingStream("errors"))?;
        let mut log = BufReader::new(errors).lines();
        let mut output = BufReader::new(output).lines();
        let first_line = tokio::time::timeout(WAIT_TIMEOUT, output.next_line()).await??;
        let Some(first_line) = first_line else {
            let log = remaining_text(&mut log).await;
            return Err(NodeError::StartupFailed { log }.into());
        };
        let startup: Value = serde_json::from_str(&first_line)?;
        Ok(Node {
            addresses: listener_addresses(&startup)?,
            management: address_field(&startup, "management"),
            fleet: address_field(&startup, "fleet"),
            child,
            log,
            folder,
        })
    }

    /// The address of the first listener.
    pub fn address(&self) -> SocketAddr {
        self.addresses
            .values()
            .copied()
            .next()
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Path of the settings file.
    pub fn settings_file(&self) -> PathBuf {
        self.folder.path().join(SETTINGS_FILE)
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Waits until a health path responds with 200, or with another status if `is_healthy` is not set.
    ///
    /// # Errors
    /// Fails if it does not within [`WAIT_TIMEOUT`].
    pub async fn wait_for_health(&self, path: &str, is_healthy: bool) -> Result<()> {
        wait_for_health(self.address(), path, is_healthy).await
    }

    /// Replaces the settings file, and asks the node to reload it.
    ///
    /// # Errors
    /// Fails if the file can't be written, or if the process has ended.
    pub fn replace_settings(&self, settings: &str) -> Result<()> {
        let new = self.folder.path().join("services.new");
        std::fs::write(&new, settings)?;
        std::fs::rename(&new, self.settings_file())?;
        self.signal("HUP")
    }

    /// Waits for the next line of the log that contains a text, and returns it.
    ///
    /// # Errors
    /// Fails if there is none within [`WAIT_TIMEOUT`].
    pub async fn wait_for_log(&mut self, text: &str) -> Result<String> {
        let wait = async {
            while let Some(line) = self.log.next_line().await? {
                if line.contains(text) {
                    return Ok(line);
                }
            }
            let text = text.to_owned();
            Err(NodeError::LogEnded { text }.into())
        };
        tokio::time::timeout(WAIT_TIMEOUT, wait).await?
    }

    /// The next line of the log; `None` at its end.
    pub async fn next_log_line(&mut self) -> Option<String> {
        self.log.next_line().await.ok().flatten()
    }

    /// Replaces the settings and waits until the node has applied them.
    ///
    /// # Errors
    /// Fails if the node does not apply them.
    pub async fn reload(&mut self, settings: &str) -> Result<()> {
        self.replace_settings(settings)?;
        self.wait_for_log("is in force").await.map(drop)
    }

    /// Sends a signal, by its name.
    ///
    /// # Errors
    /// Fails if the process has ended.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill")
            .args(["-s", name, &self.pid().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(NodeError::Gone.into())
        }
    }

    /// Waits for the end of the process; returns whether it was successful.
    ///
    /// # Errors
    /// Fails if it does not end within [`WAIT_TIMEOUT`].
    pub async fn wait_for_exit(&mut self) -> Result<bool> {
        let status = tokio::time::timeout(WAIT_TIMEOUT, self.child.wait()).await??;
        Ok(status.success())
    }
}

/// The lines that are left, each with its line break.
async fn remaining_text(lines: &mut Lines<BufReader<ChildStderr>>) -> String {
    let mut text = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        text += &line;
        text.push('\n');
    }
    text
}

/// The addresses of the listeners in the first line of a node's output.
fn listener_addresses(startup: &Value) -> Result<BTreeMap<String, SocketAddr>> {
    let listeners = startup
        .get("listening")
        .and_then(Value::as_object)
        .ok_or(NodeError::MissingListeners)?;
    let mut addresses = BTreeMap::new();
    for (name, address) in listeners {
        let address = address.as_str().ok_or(NodeError::InvalidAddress)?;
        addresses.insert(name.clone(), address.parse()?);
    }
    Ok(addresses)
}

fn address_field(startup: &Value, name: &str) -> Option<SocketAddr> {
    startup.get(name)?.as_str()?.parse().ok()
}

/// Waits until a health path of a node responds with 200, or with another status if `is_healthy` is not set.
///
/// # Errors
/// Fails if it does not within [`WAIT_TIMEOUT`].
pub async fn wait_for_health(node: SocketAddr, path: &str, is_healthy: bool) -> Result<()> {
    let client = crate::client::Client::new(node);
    let started = Instant::now();
    loop {
        let request = Request::get(path)
            .header("host", "health")
            .body(Full::new(Bytes::new()))?;
        let response = client.send(request).await;
        if response.is_ok_and(|response| (response.status == 200) == is_healthy) {
            return Ok(());
        }
        if started.elapsed() > WAIT_TIMEOUT {
            let path = path.to_owned();
            return Err(NodeError::HealthTimeout { path, is_healthy }.into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Processor time that a process has used, in seconds.
///
/// # Errors
/// Fails if the process has ended.
pub fn cpu_seconds(pid: u32) -> Result<f64> {
    // By the clock of its processor time, as `/proc` has a resolution of a hundredth of a second.
    let pid = nix::unistd::Pid::from_raw(i32::try_from(pid)?);
    let used = nix::time::clock_getcpuclockid(pid)?.now()?;
    Ok(Duration::from(used).as_secs_f64())
}

/// Resident memory of a process, in KiB.
///
/// # Errors
/// Fails if the process has ended.
pub fn memory_kib(pid: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .ok_or(NodeError::MissingMemory)?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}
