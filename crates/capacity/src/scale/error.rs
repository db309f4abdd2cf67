//! The errors of scale runs. Every module of this folder returns them, boxed in [`reelfall_testbed::Error`].

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// Why a part of a scale run failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The input of a settings computation is empty.
    #[error("there is no generator of settings files of this size")]
    NoSettings,
    /// The reader of settings files rejected the input.
    #[error("the settings file is refused, {count} mistakes: {first}")]
    SettingsRejected {
        /// How many faults there are.
        count: usize,
        /// The first of them, joined.
        first: String,
    },
    /// The input of a server list computation is empty.
    #[error("no list")]
    NoList,
    /// A server list has no `endpoints`.
    #[error("no endpoints")]
    NoEndpoints,
    /// The repeats of a computation took too long.
    #[error("not done in {0:?}")]
    ComputationTimeout(Duration),
    /// The process of a computation failed.
    #[error("{stderr}")]
    ComputationFailed {
        /// What it wrote to its standard error.
        stderr: String,
    },
    /// The process of a fleet did not exit in time.
    #[error("{nodes} nodes: their process has not ended in time")]
    FleetTimeout {
        /// Size of the fleet.
        nodes: usize,
    },
    /// The process of a fleet failed.
    #[error("{nodes} nodes: their process has failed: {status}")]
    FleetFailed {
        /// Size of the fleet.
        nodes: usize,
        /// How the process exited.
        status: ExitStatus,
    },
    /// A report has another schema.
    #[error("the report has schema {found}, and this program reads {supported}")]
    UnsupportedSchema {
        /// The report's schema.
        found: u32,
        /// The schema of this program.
        supported: u32,
    },
    /// A file of `/proc` lacks a field.
    #[error("no {field} in {file}")]
    MissingProcField {
        /// The field.
        field: &'static str,
        /// The file.
        file: &'static str,
    },
    /// A simulated node has no socket.
    #[error("the socket of node {node} of {nodes} is not to be had: {source}")]
    Socket {
        /// The index of the node.
        node: usize,
        /// Size of the fleet.
        nodes: usize,
        /// The system's error.
        source: io::Error,
    },
    /// A plot can't be drawn.
    #[error("{}: {source}", file.display())]
    Plot {
        /// The file of the plot.
        file: PathBuf,
        /// The error of the plotting library.
        source: reelfall_testbed::Error,
    },
    /// Too many requests failed.
    #[error("only {served} of {sent} requests were served")]
    RequestsFailed {
        /// Requests that were answered with status 200.
        served: u64,
        /// Requests that were sent.
        sent: u64,
    },
    /// There is no node to send requests to.
    #[error("nothing was asked")]
    NoRequests,
}
