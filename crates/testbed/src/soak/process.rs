//! The process of a node in the runs `endings` and `upgrade`: its configuration, its start, signals to it, and its exit.

use super::plan::{ConfigSource, NodeSignal};
use crate::node::{wait_for_health, Folder, Program};
use crate::ports::Port;
use crate::scripted::{NodeSettings, PlatformConfiguration};
use crate::Result;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};

/// Number of sockets that the node may open: few enough for idle clients to exhaust them.
const MAX_SOCKETS: usize = 96;
/// Latency objective of all classes.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(200);

/// Time from the longest deadline after SIGTERM to SIGKILL.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long requests may still be sent to a server after it was announced as draining.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfiguration {
    /// Whether the platform or a settings file configures the node.
    pub config_source: ConfigSource,
    /// Address of discovery, for the platform's configuration.
    pub discovery: SocketAddr,
    /// Addresses of the servers, for a settings file.
    pub servers: Vec<SocketAddr>,
    /// Deadline of all requests.
    pub deadline: Duration,
}

impl NodeConfiguration {
    fn to_text(&self, listen: SocketAddr) -> String {
        match self.config_source {
            ConfigSource::Platform => PlatformConfiguration {
                listen,
                discovery: self.discovery,
                settings: NodeSettings::with_sockets(MAX_SOCKETS),
                latency_objective: LATENCY_OBJECTIVE,
                deadline: self.deadline,
                drain_grace: DRAIN_GRACE,
            }
            .to_json(),
            ConfigSource::SettingsFile => self.settings_file(listen),
        }
    }

    fn settings_file(&self, listen: SocketAddr) -> String {
        let process = format!("[process]\ndescriptors = {MAX_SOCKETS}\n\n");
        let listener = format!("[[listener]]\nname = \"client\"\naddress = \"{listen}\"\n\n");
        let services = [("read", "safe"), ("write", "unsafe")];
        let services: String = services
            .iter()
            .map(|(name, repeat)| self.service_section(name, repeat))
            .collect();
        process + &listener + &services
    }

    fn service_section(&self, name: &str, repeat: &str) -> String {
        let servers: String = self
            .servers
            .iter()
            .enumerate()
            .map(|(index, address)| {
                format!("[[service.server]]\nname = \"s{index}\"\naddress = \"{address}\"\n")
            })
            .collect();
        format!(
            "[[service]]\nname = \"{name}\"\n[[service.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\n\
             aim = \"{}ms\"\ndeadline = \"{}ms\"\n[[service.route]]\nhost = \"{name}.example.org\"\npath = \"/api\"\n{servers}\n",
            LATENCY_OBJECTIVE.as_millis(),
            self.deadline.as_millis()
        )
    }
}

/// The port for clients and the folder with the configuration and the log of a node. Consecutive processes share them.
pub struct NodeWorkspace {
    folder: Folder,
    port: Port,
}

impl NodeWorkspace {
    /// Reserves a port and creates a folder.
    ///
    /// # Errors
    /// Fails if no port is free or the folder can't be created.
    pub fn reserve() -> Result<NodeWorkspace> {
        Ok(NodeWorkspace {
            folder: Folder::new()?,
            port: Port::reserve()?,
        })
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    fn configuration_file(&self) -> PathBuf {
        self.folder.path().join("configuration")
    }

    fn log_file(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Replaces the configuration, which the next start or reload reads.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn configure(&self, configuration: &NodeConfiguration) -> Result<()> {
        let new = self.folder.path().join("configuration.new");
        std::fs::write(&new, configuration.to_text(self.address()))?;
        std::fs::rename(&new, self.configuration_file())?;
        Ok(())
    }

    /// The log of the node so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_file()).unwrap_or_default()
    }
}

/// Whether a process that got SIGTERM has crashed. Termination by SIGTERM itself is no crash, since the signal may arrive
/// before the process handles it.
pub fn has_crashed(status: ExitStatus) -> bool {
    !status.success() && status.signal() != Some(Signal::SIGTERM as i32)
}

/// A process of a node. It is killed on drop.
pub struct NodeProcess {
    child: Child,
    management: Option<Port>,
}

impl NodeProcess {
    /// Starts a process with the configuration of a workspace.
    ///
    /// # Errors
    /// Fails if it does not start.
    pub fn start(
        program: &Program,
        workspace: &NodeWorkspace,
        config_source: ConfigSource,
    ) -> Result<NodeProcess> {
        Ok(NodeProcess {
            child: NodeProcess::command(program, workspace, config_source)?.spawn()?,
            management: None,
        })
    }

    /// Starts a process with the platform's configuration and a management address; it can take over from its predecessor.
    ///
    /// # Errors
    /// Fails if it does not start, or if no port is free.
    pub fn start_managed(program: &Program, workspace: &NodeWorkspace) -> Result<NodeProcess> {
        let management = Port::reserve()?;
        let mut command = NodeProcess::command(program, workspace, ConfigSource::Platform)?;
        command.env("ROUTER_MANAGEMENT", management.address().to_string());
        Ok(NodeProcess {
            child: command.spawn()?,
            management: Some(management),
        })
    }

    fn command(
        program: &Program,
        workspace: &NodeWorkspace,
        config_source: ConfigSource,
    ) -> Result<Command> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(workspace.log_file())?;
        let mut command = Command::from(program.command());
        match config_source {
            ConfigSource::Platform => command.env("ROUTER_CONFIG", workspace.configuration_file()),
            ConfigSource::SettingsFile => command
                .arg("run")
                .arg("--config")
                .arg(workspace.configuration_file()),
        };
        command
            .env("TMPDIR", workspace.folder.path())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .kill_on_drop(true);
        Ok(command)
    }

    /// The management address.
    ///
    /// # Errors
    /// Fails for a process without one.
    pub fn management(&self) -> Result<SocketAddr> {
        let port = self.management.as_ref();
        Ok(port
            .ok_or("the process has no management address")?
            .address())
    }

    /// Waits until the management address reports readiness.
    ///
    /// # Errors
    /// Fails for a process without a management address, and if it is not ready in time.
    pub async fn wait_until_ready(&self) -> Result<()> {
        wait_for_health(self.management()?, "/-/ready", true).await
    }

    /// Sends a signal. Does nothing if the process has exited.
    pub fn signal(&self, signal: NodeSignal) {
        let signal = match signal {
            NodeSignal::Terminate => Signal::SIGTERM,
            NodeSignal::Reload => Signal::SIGHUP,
        };
        let pid = self.child.id().and_then(|pid| i32::try_from(pid).ok());
        if let Some(pid) = pid {
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Waits for the exit of the process.
    ///
    /// # Errors
    /// Fails if the process can't be waited for.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        Ok(self.child.wait().await?)
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill().await;
    }
}
