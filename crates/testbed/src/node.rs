//! The program under test, as a process of its own.

use crate::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr};

/// No wait for a node is longer; a passing one needs a small part of it.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// How a node is started.
#[derive(Clone, Debug)]
pub struct Program {
    /// Its file.
    pub path: PathBuf,
    /// What it is called with before anything else.
    pub args: Vec<String>,
}

impl Program {
    /// The node that is part of the rig's own program at `path`.
    pub fn in_testbed(path: impl Into<PathBuf>) -> Program {
        Program {
            path: path.into(),
            args: vec!["node".to_owned()],
        }
    }

    /// A program that is a node.
    pub fn alone(path: impl Into<PathBuf>) -> Program {
        Program {
            path: path.into(),
            args: Vec::new(),
        }
    }

    /// A call of it, not made yet.
    pub fn command(&self) -> Command {
        let mut command = Command::new(&self.path);
        command.args(&self.args);
        command
    }
}

/// A folder of its own for each run, gone when this is dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// A new folder.
    ///
    /// # Errors
    /// If none can be made.
    pub fn new() -> Result<Folder> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("reelfall-testbed-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A node with a settings file of its own. It is killed when this is dropped.
pub struct Node {
    /// Where clients connect, by listener.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Where operators call, if anywhere.
    pub management: Option<SocketAddr>,
    /// Where datagrams of its fleet are taken, if it is part of one.
    pub fleet: Option<SocketAddr>,
    child: Child,
    said: Lines<BufReader<ChildStderr>>,
    folder: Folder,
}

impl Node {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    /// What it says if it does not start.
    pub async fn start(program: &Program, settings: &str) -> Result<Node> {
        let folder = Folder::new()?;
        let file = folder.path().join("services.toml");
        std::fs::write(&file, settings)?;
        let mut command = tokio::process::Command::from(program.command());
        command.arg("run").arg("--config").arg(&file);
        command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let (out, err) = (
            child.stdout.take().ok_or("no output")?,
            child.stderr.take().ok_or("no errors")?,
        );
        let mut said = BufReader::new(err).lines();
        let mut lines = BufReader::new(out).lines();
        let first = tokio::time::timeout(PATIENCE, lines.next_line()).await??;
        let Some(first) = first else {
            let mut why = String::new();
            while let Ok(Some(line)) = said.next_line().await {
                why += &line;
                why.push('\n');
            }
            return Err(why.into());
        };
        let first: serde_json::Value = serde_json::from_str(&first)?;
        let listening = first
            .get("listening")
            .and_then(|l| l.as_object())
            .ok_or("no listeners")?;
        let mut addresses = BTreeMap::new();
        for (name, address) in listening {
            addresses.insert(name.clone(), address.as_str().ok_or("no address")?.parse()?);
        }
        let other = |name: &str| {
            first
                .get(name)
                .and_then(|a| a.as_str())
                .and_then(|a| a.parse().ok())
        };
        let (management, fleet) = (other("management"), other("fleet"));
        Ok(Node {
            addresses,
            management,
            fleet,
            child,
            said,
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

    /// The settings file.
    pub fn file(&self) -> PathBuf {
        self.folder.path().join("services.toml")
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Waits until a health path answers 200, or does not.
    ///
    /// # Errors
    /// If it does not come to that.
    pub async fn until_health(&self, path: &str, good: bool) -> Result<()> {
        until_health(self.address(), path, good).await
    }

    /// Puts other settings in the file's place, and has them taken in.
    ///
    /// # Errors
    /// If the file can't be written or the process is gone.
    pub fn configure(&self, settings: &str) -> Result<()> {
        let new = self.folder.path().join("services.new");
        std::fs::write(&new, settings)?;
        std::fs::rename(&new, self.file())?;
        self.signal("HUP")
    }

    /// The next line on standard error that has a text in it.
    ///
    /// # Errors
    /// If none comes.
    pub async fn says(&mut self, text: &str) -> Result<String> {
        let wait = async {
            while let Some(line) = self.said.next_line().await? {
                if line.contains(text) {
                    return Ok(line);
                }
            }
            Err(format!("the node ended without saying `{text}`").into())
        };
        tokio::time::timeout(PATIENCE, wait).await?
    }

    /// The next line on standard error; `None` at its end.
    pub async fn line(&mut self) -> Option<String> {
        self.said.next_line().await.ok().flatten()
    }

    /// Puts other settings in force and waits until they are.
    ///
    /// # Errors
    /// If they are not taken in.
    pub async fn reload(&mut self, settings: &str) -> Result<()> {
        self.configure(settings)?;
        self.says("is in force").await.map(drop)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn signal(&self, name: &str) -> Result<()> {
        let status = Command::new("kill")
            .args(["-s", name, &self.pid().to_string()])
            .status()?;
        status
            .success()
            .then_some(())
            .ok_or_else(|| "the node is gone".into())
    }

    /// Waits for the program's end; whether it was a success.
    ///
    /// # Errors
    /// If it does not end.
    pub async fn ended(&mut self) -> Result<bool> {
        Ok(tokio::time::timeout(PATIENCE, self.child.wait())
            .await??
            .success())
    }
}

/// Waits until a health path answers 200, or does not.
///
/// # Errors
/// If it does not come to that.
pub async fn until_health(node: SocketAddr, path: &str, good: bool) -> Result<()> {
    let client = crate::client::Client::new(node);
    let begun = Instant::now();
    loop {
        let request = Request::get(path)
            .header("host", "health")
            .body(Full::new(Bytes::new()))?;
        let got = client.send(request).await;
        if got.is_ok_and(|g| (g.status == 200) == good) {
            return Ok(());
        }
        if begun.elapsed() > PATIENCE {
            return Err(format!("{path} does not become {good}").into());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Processor time that a process has used, in seconds.
///
/// # Errors
/// If the process is gone, or the system does not tell.
pub fn cpu_seconds(pid: u32) -> Result<f64> {
    // The clock of its processor time: `/proc` tells hundredths of a second alone.
    let pid = nix::unistd::Pid::from_raw(i32::try_from(pid)?);
    let used = nix::time::clock_getcpuclockid(pid)?.now()?;
    Ok(Duration::from(used).as_secs_f64())
}

/// Memory that a process holds, in KiB.
///
/// # Errors
/// If the process is gone, or the system does not tell.
pub fn memory_kib(pid: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .ok_or("no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}
