//! A fleet of real nodes with stand-in servers and injected faults.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`datagrams`] | the datagram network between the nodes, with faults |
//! | [`history`] | all events, by a single clock |
//! | [`invariants`] | invariants that are checked on a history |
//! | [`queries`] | attempts and served requests of a history |
//! | [`verdict_stats`] | how long nodes acted on verdicts, and against which servers |
//! | [`schedule`] | faults and commands: generated from a seed, written to a file, executed |
//! | [`schedule_run`] | one run of a schedule on a fleet, and its outcome |
//! | [`minimize`] | minimal schedules that violate an invariant |
//! | [`fenced_resource`] | a resource that holders of leases write to |
//! | [`probers`] | names under which nodes do not probe an ejected server |
//! | `spec` | size and settings of a fleet |
//! | `node_settings` | the settings files of the nodes |
//! | `start` | start of a whole fleet |
//! | `processes` | the processes of the nodes: start, pause, termination |
//! | `operators` | requests to the management addresses of the nodes |
//! | `load` | clients of the nodes |
//! | `error` | errors of fleets |
//!
//! Each node is a process of the program with a settings file. Its datagrams to other nodes pass through the
//! [`DatagramNetwork`], and it connects to each server through a [`Link`] of its own. Tests, scenarios and measurements
//! start fleets.

pub mod datagrams;
mod error;
pub mod fenced_resource;
pub mod history;
pub mod invariants;
mod load;
pub mod minimize;
mod node_settings;
mod operators;
pub mod probers;
mod processes;
pub mod queries;
pub mod schedule;
pub mod schedule_run;
mod spec;
mod start;
pub mod verdict_stats;

pub use error::FleetError;
pub use load::{Load, DEADLINE, LATENCY_OBJECTIVE};
pub use operators::ManagementResponse;
pub use spec::{FleetSpec, SHORT_SLOW_START};

use crate::discovery::Discovery;
use crate::link::Link;
use crate::node::{Folder, WAIT_TIMEOUT};
use crate::pool::Server;
use crate::scripted::Program;
use crate::Result;
use datagrams::DatagramNetwork;
use history::{History, ERROR_CONTEXT_LINES};
use load::Addresses;
use processes::RunningNode;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A node of a fleet, with or without a process.
struct FleetNode {
    settings: String,
    process: Option<RunningNode>,
    /// The links to the servers, in the order of the servers.
    server_links: Vec<Link>,
}

/// A running fleet. It stops when this is dropped.
pub struct TestFleet {
    program: Program,
    nodes: Vec<FleetNode>,
    /// The servers.
    pub servers: Vec<Server>,
    /// The discovery services.
    pub discoveries: Vec<Discovery>,
    network: Arc<DatagramNetwork>,
    addresses: Addresses,
    /// All events so far.
    pub history: Arc<History>,
    folder: Folder,
}

/// Default name of a node.
pub fn node_name(node: usize) -> String {
    format!("n{node}")
}

/// Name of a server.
pub fn server_name(server: usize) -> String {
    format!("s{server}")
}

impl TestFleet {
    /// Number of nodes, with and without a process.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// The network between the nodes.
    pub fn network(&self) -> &DatagramNetwork {
        &self.network
    }

    /// The link from a node to a server.
    pub fn server_link(&self, node: usize, server: usize) -> &Link {
        &self.nodes[node].server_links[server]
    }

    /// Waits until a condition holds, and returns the time that this took. The error message contains `description`.
    ///
    /// # Errors
    /// Fails if it does not hold within [`WAIT_TIMEOUT`].
    pub async fn wait_until(
        &self,
        description: &str,
        mut condition: impl AsyncFnMut(&TestFleet) -> bool,
    ) -> Result<Duration> {
        let started = Instant::now();
        while !condition(self).await {
            if started.elapsed() > WAIT_TIMEOUT {
                return Err(FleetError::ConditionTimeout {
                    condition: description.to_owned(),
                    timeout: WAIT_TIMEOUT,
                    tail: self.history.tail(ERROR_CONTEXT_LINES),
                }
                .into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(started.elapsed())
    }
}
