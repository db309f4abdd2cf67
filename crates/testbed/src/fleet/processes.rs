//! The processes of a fleet's nodes: start, pause, termination, and the addresses that they listen on.

use super::history::Event;
use super::node_settings::node_folder;
use super::TestFleet;
use crate::node::Node;
use crate::{AbortOnDrop, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::PoisonError;

/// The process of a node.
pub(super) struct RunningNode {
    address: SocketAddr,
    management: Option<SocketAddr>,
    pid: u32,
    is_paused: bool,
    /// Task that owns the process and records the lines of its log.
    _log_reader: AbortOnDrop,
}

impl TestFleet {
    /// Starts the process of a node.
    ///
    /// # Errors
    /// Fails if it does not start.
    pub async fn start_node(&mut self, node: usize) -> Result<()> {
        self.history.record(Event::ProcessStarted { node });
        let mut process = Node::start(&self.program, &self.nodes[node].settings).await?;
        if let Some(address) = process.fleet {
            self.network.set_process_address(node, address);
        }
        let (address, management, pid) = (process.address(), process.management, process.pid());
        self.set_client_address(node, Some(address));
        let history = self.history.clone();
        let log_reader = crate::spawn(async move {
            while let Some(line) = process.next_log_line().await {
                history.record(Event::Logged { node, line });
            }
            // Waits for the exit, so that no process outlives the fleet.
            let _ = process.wait_for_exit().await;
            history.record(Event::Exited { node });
        });
        self.nodes[node].process = Some(RunningNode {
            address,
            management,
            pid,
            is_paused: false,
            _log_reader: log_reader,
        });
        Ok(())
    }

    /// Sets the address that the clients of a node send to.
    fn set_client_address(&self, node: usize, address: Option<SocketAddr>) {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(current) = addresses.get_mut(node) {
            *current = address;
        }
    }

    fn process(&self, node: usize) -> Option<&RunningNode> {
        self.nodes[node].process.as_ref()
    }

    /// The address at which clients connect to a node, if it has a process.
    pub fn address(&self, node: usize) -> Option<SocketAddr> {
        self.process(node).map(|process| process.address)
    }

    /// The management address of a node, if it has a process with one.
    pub fn management(&self, node: usize) -> Option<SocketAddr> {
        self.process(node).and_then(|process| process.management)
    }

    /// The process id of a node, if it has a process.
    pub fn pid(&self, node: usize) -> Option<u32> {
        self.process(node).map(|process| process.pid)
    }

    /// The data folder of a node, which survives its process.
    pub fn folder(&self, node: usize) -> PathBuf {
        node_folder(self.folder.path(), node)
    }

    /// The nodes with a process that is not paused.
    pub fn running_nodes(&self) -> Vec<usize> {
        let is_running = |node: &usize| {
            self.process(*node)
                .is_some_and(|process| !process.is_paused)
        };
        (0..self.node_count()).filter(is_running).collect()
    }

    fn send_signal(&self, node: usize, signal: &str) {
        if let Some(process) = self.process(node) {
            // The process may have exited already, so a failure is ignored.
            let _ = Command::new("kill")
                .args(["-s", signal, &process.pid.to_string()])
                .status();
        }
    }

    /// Pauses or resumes the process of a node.
    pub fn set_paused(&mut self, node: usize, is_paused: bool) {
        let (event, signal) = if is_paused {
            (Event::Paused { node }, "STOP")
        } else {
            (Event::Resumed { node }, "CONT")
        };
        self.history.record(event);
        self.send_signal(node, signal);
        if let Some(process) = &mut self.nodes[node].process {
            process.is_paused = is_paused;
        }
    }

    /// Kills the process of a node.
    pub fn kill(&mut self, node: usize) {
        self.history.record(Event::Killed { node });
        self.set_client_address(node, None);
        self.send_signal(node, "KILL");
        self.nodes[node].process = None;
    }

    /// Asks the process of a node to terminate, and waits for its exit.
    ///
    /// # Errors
    /// Fails if it does not exit.
    pub async fn terminate(&mut self, node: usize) -> Result<()> {
        let from = self.history.len();
        self.request_termination(node);
        self.wait_for_exit(node, from).await
    }

    /// Asks the process of a node to terminate. [`TestFleet::wait_for_exit`] waits for its exit.
    pub fn request_termination(&self, node: usize) {
        self.history.record(Event::TerminationRequested { node });
        self.set_client_address(node, None);
        self.send_signal(node, "TERM");
    }

    /// Waits for the exit of a node's process, from an index of the history on.
    ///
    /// # Errors
    /// Fails if it does not exit.
    pub async fn wait_for_exit(&mut self, node: usize, from: usize) -> Result<()> {
        let is_exit = |event: &Event| *event == Event::Exited { node };
        self.history.wait_for(from, is_exit).await?;
        self.nodes[node].process = None;
        Ok(())
    }
}
