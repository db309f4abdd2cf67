//! Schedules of faults and operators' commands for a fleet.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `text` | schedules as lines of a file |
//! | `generate` | schedules generated from a seed |
//! | `execute` | execution of a schedule on a fleet |
//!
//! Tests, the scenario `fleet` and the command `fleet` call it.

mod execute;
mod generate;
mod text;

pub use execute::execute;
pub use generate::generate;
pub use text::{format, parse, ScheduleError, StepError};

use std::time::Duration;

/// One step of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Waits.
    Wait(Duration),
    /// Drops all datagrams from some nodes to others.
    Partition {
        /// Nodes whose datagrams are dropped.
        from: Vec<usize>,
        /// Nodes that do not receive these datagrams.
        to: Vec<usize>,
        /// Datagrams in the other direction are dropped, too.
        both_directions: bool,
    },
    /// Removes all partitions.
    Heal,
    /// Sets the shares of datagrams with a fault.
    SetDatagramFaults {
        /// Share that is lost.
        loss_ratio: f64,
        /// Share that is delivered twice.
        duplicate_ratio: f64,
        /// Share of which a byte is changed.
        corruption_ratio: f64,
    },
    /// Sets the range of the delays of datagrams.
    SetDatagramDelay {
        /// Shortest delay.
        min: Duration,
        /// Longest delay.
        max: Duration,
    },
    /// Pauses or resumes the process of a node.
    SetNodePaused {
        /// The node.
        node: usize,
        /// Whether it is paused; otherwise it is resumed.
        paused: bool,
    },
    /// Kills the process of a node.
    KillNode(usize),
    /// Starts the process of a node that has none.
    StartNode(usize),
    /// Terminates the process of a node gracefully.
    TerminateNode(usize),
    /// Pauses or resumes a server.
    SetServerPaused {
        /// The server.
        server: usize,
        /// Whether it is paused; otherwise it is resumed.
        paused: bool,
    },
    /// Sets the share of requests that a server answers with an error.
    SetServerFailures {
        /// The server.
        server: usize,
        /// The share.
        ratio: f64,
    },
    /// Bans a server through a node.
    BanServer {
        /// The node.
        node: usize,
        /// The server.
        server: usize,
        /// Time to live of the ban; `None` for the longest.
        seconds: Option<u32>,
    },
    /// Lifts the ban of a server through a node.
    LiftBan {
        /// The node.
        node: usize,
        /// The server.
        server: usize,
    },
}
