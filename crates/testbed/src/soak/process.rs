//! The process of a node on a day of endings: its configuration, its start, signals to it, and its end.

use super::plan::{NodeForm, NodeSignal};
use crate::node::{wait_for_health, Folder, Program};
use crate::ports::Port;
use crate::scripted::PlatformConfiguration;
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

/// Sockets that the node may open: few enough for a crowd to take them.
const MAX_SOCKETS: usize = 96;
/// Latency objective of all classes.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(200);

/// SIGKILL comes so long after the deadline that follows SIGTERM.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long requests may still be sent to a draining server.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// What a node is configured with.
#[derive(Clone, Debug)]
pub struct NodeConfiguration {
    /// By the platform, or by a settings file.
    pub form: NodeForm,
    /// Where the node finds discovery, on the platform.
    pub discovery: SocketAddr,
    /// The addresses of its servers, in a settings file.
    pub servers: Vec<SocketAddr>,
    /// The deadline of requests.
    pub deadline: Duration,
}

impl NodeConfiguration {
    fn to_text(&self, listen: SocketAddr) -> String {
        match self.form {
            NodeForm::Platform => PlatformConfiguration {
                listen,
                discovery: self.discovery,
                max_sockets: MAX_SOCKETS,
                latency_objective: LATENCY_OBJECTIVE,
                deadline: self.deadline,
                drain_grace: DRAIN_GRACE,
            }
            .to_json(),
            NodeForm::SettingsFile => self.settings_file(listen),
        }
    }

    fn settings_file(&self, listen: SocketAddr) -> String {
        let process = format!("[process]\ndescriptors = {MAX_SOCKETS}\n\n");
        let listener = format!("[[listener]]\nname = \"client\"\naddress = \"{listen}\"\n\n");
        let services = [("evaluate", "safe"), ("toggle", "unsafe")];
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

/// A port for clients, and a folder with the configuration and the log of a node.
pub struct NodePlace {
    folder: Folder,
    port: Port,
}

impl NodePlace {
    /// A place of its own.
    ///
    /// # Errors
    /// Fails if there is no port or no folder.
    pub fn reserve() -> Result<NodePlace> {
        Ok(NodePlace {
            folder: Folder::new()?,
            port: Port::reserve()?,
        })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    fn configuration_file(&self) -> PathBuf {
        self.folder.path().join("configuration")
    }

    fn log_file(&self) -> PathBuf {
        self.folder.path().join("log")
    }

    /// Writes the configuration that the next start or reload reads.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn configure(&self, configuration: &NodeConfiguration) -> Result<()> {
        let new = self.folder.path().join("configuration.new");
        std::fs::write(&new, configuration.to_text(self.address()))?;
        std::fs::rename(&new, self.configuration_file())?;
        Ok(())
    }

    /// What the node has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_file()).unwrap_or_default()
    }
}

/// Whether a process that was told to end has crashed. SIGTERM may come before the process handles it.
pub fn has_crashed(status: ExitStatus) -> bool {
    !status.success() && status.signal() != Some(Signal::SIGTERM as i32)
}

/// A process of a node. It is killed when this is dropped.
pub struct NodeProcess {
    child: Child,
    management: Option<Port>,
}

impl NodeProcess {
    /// Starts a process with the configuration of its place.
    ///
    /// # Errors
    /// Fails if it does not start.
    pub fn start(program: &Program, place: &NodePlace, form: NodeForm) -> Result<NodeProcess> {
        Ok(NodeProcess {
            child: NodeProcess::command(program, place, form)?.spawn()?,
            management: None,
        })
    }

    /// Starts a process of the platform's form with a management address, which can take over from the one before it.
    ///
    /// # Errors
    /// Fails if it does not start, or if there is no port.
    pub fn start_managed(program: &Program, place: &NodePlace) -> Result<NodeProcess> {
        let management = Port::reserve()?;
        let mut command = NodeProcess::command(program, place, NodeForm::Platform)?;
        command.env("ROUTER_MANAGEMENT", management.address().to_string());
        Ok(NodeProcess {
            child: command.spawn()?,
            management: Some(management),
        })
    }

    fn command(program: &Program, place: &NodePlace, form: NodeForm) -> Result<Command> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(place.log_file())?;
        let mut command = Command::from(program.command());
        match form {
            NodeForm::Platform => command.env("ROUTER_CONFIG", place.configuration_file()),
            NodeForm::SettingsFile => command
                .arg("run")
                .arg("--config")
                .arg(place.configuration_file()),
        };
        command
            .env("TMPDIR", place.folder.path())
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

    /// Waits until it serves.
    ///
    /// # Errors
    /// Fails for a process without a management address, and if it is not ready in time.
    pub async fn wait_until_ready(&self) -> Result<()> {
        wait_for_health(self.management()?, "/-/ready", true).await
    }

    /// Sends a signal; one to a process that has ended is lost.
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

    /// Waits for the end of the process.
    ///
    /// # Errors
    /// Fails if the process can't be waited for.
    pub async fn wait(&mut self) -> Result<ExitStatus> {
        Ok(self.child.wait().await?)
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        // It may have ended.
        let _ = self.child.kill().await;
    }
}
