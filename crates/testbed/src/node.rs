//! The program under test as a separate process with a settings file.
//!
//! Used by fleets, scenarios, measurements, the demo and tests.

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

/// Timeout of each wait for a node. It is far longer than a successful wait needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between requests to a health path.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// File name of the settings in the folder of a node.
const SETTINGS_FILE: &str = "services.toml";

/// The command that starts a node.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments that precede all others, such as the subcommand `node`.
    pub args: Vec<String>,
}

impl Program {
    /// The node that is built into the test bed's executable at `path`, as its subcommand `node`.
    pub fn in_testbed(path: impl Into<PathBuf>) -> Program {
        Program {
            path: path.into(),
            args: vec!["node".to_owned()],
        }
    }

    /// The node's own executable.
    pub fn standalone(path: impl Into<PathBuf>) -> Program {
        Program {
            path: path.into(),
            args: Vec::new(),
        }
    }

    /// Builds a command that runs the program without further arguments.
    pub fn command(&self) -> Command {
        let mut command = Command::new(&self.path);
        command.args(&self.args);
        command
    }
}

/// A temporary folder. Dropping it deletes the folder.
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Creates a folder with a unique name in the system's temporary folder.
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

/// A running node process with its own settings file. Dropping it kills the process.
pub struct Node {
    /// Addresses for clients, by listener name.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Management address, if one is configured.
    pub management: Option<SocketAddr>,
    /// Address for datagrams from other nodes, if the node is part of a fleet.
    pub fleet: Option<SocketAddr>,
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    folder: Folder,
}

impl Node {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    /// Fails if the node does not start; the error contains its log.
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
        let stdout = child
            .stdout
            .take()
            .ok_or(NodeError::MissingStream("stdout"))?;
        let stderr = child
            .stderr
            .take()
            .ok_or(NodeError::MissingStream("stderr"))?;
        let mut log = BufReader::new(stderr).lines();
        let mut stdout = BufReader::new(stdout).lines();
        let first_line = tokio::time::timeout(WAIT_TIMEOUT, stdout.next_line()).await??;
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

    /// Waits until a health path responds with 200 or, if `is_healthy` is `false`, with another status.
    ///
    /// # Errors
    /// Fails if that does not happen within [`WAIT_TIMEOUT`].
    pub async fn wait_for_health(&self, path: &str, is_healthy: bool) -> Result<()> {
        wait_for_health(self.address(), path, is_healthy).await
    }

    /// Replaces the settings file and sends SIGHUP, so that the node reloads it.
    ///
    /// # Errors
    /// Fails if the file can't be written, or if the process has exited.
    pub fn replace_settings(&self, settings: &str) -> Result<()> {
        let new = self.folder.path().join("services.new");
        std::fs::write(&new, settings)?;
        std::fs::rename(&new, self.settings_file())?;
        self.signal("HUP")
    }

    /// Waits for the next log line that contains `text`, and returns the line.
    ///
    /// # Errors
    /// Fails if the log ends first, or if there is no such line within [`WAIT_TIMEOUT`].
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

    /// Returns the next log line; `None` at the end of the log.
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

    /// Sends the signal with this name, such as `TERM`.
    ///
    /// # Errors
    /// Fails if the process has exited.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill")
            .args(["-s", name, &self.pid().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(NodeError::Exited.into())
        }
    }

    /// Waits for the process to exit; returns whether it succeeded.
    ///
    /// # Errors
    /// Fails if the process does not exit within [`WAIT_TIMEOUT`].
    pub async fn wait_for_exit(&mut self) -> Result<bool> {
        let status = tokio::time::timeout(WAIT_TIMEOUT, self.child.wait()).await??;
        Ok(status.success())
    }
}

/// Reads the remaining lines; each ends with a line break in the result.
async fn remaining_text(lines: &mut Lines<BufReader<ChildStderr>>) -> String {
    let mut text = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        text += &line;
        text.push('\n');
    }
    text
}

/// Parses the listener addresses in the startup line, which is the first line on a node's stdout.
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

/// Waits until a health path of a node responds with 200 or, if `is_healthy` is `false`, with another status.
///
/// # Errors
/// Fails if that does not happen within [`WAIT_TIMEOUT`].
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

/// CPU time that a process has used, in seconds.
///
/// # Errors
/// Fails if the process has exited.
pub fn cpu_seconds(pid: u32) -> Result<f64> {
    // Read from the CPU-time clock of the process, because `/proc` has a resolution of only 10 ms.
    let pid = nix::unistd::Pid::from_raw(i32::try_from(pid)?);
    let used = nix::time::clock_getcpuclockid(pid)?.now()?;
    Ok(Duration::from(used).as_secs_f64())
}

/// Resident set size of a process, in KiB.
///
/// # Errors
/// Fails if the process has exited.
pub fn memory_kib(pid: u32) -> Result<u64> {
    memory_field_kib(pid, "VmRSS:")
}

/// Anonymous memory of a process, in KiB: without the pages of its program.
///
/// # Errors
/// Fails if the process has exited.
pub fn anonymous_memory_kib(pid: u32) -> Result<u64> {
    memory_field_kib(pid, "RssAnon:")
}

fn memory_field_kib(pid: u32, field: &str) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(field))
        .ok_or(NodeError::MissingMemory)?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}
