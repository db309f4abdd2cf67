//! The errors of scale runs. Every module of this folder returns them, boxed in [`reelfall_testbed::Error`].

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;
use thiserror::Error;

/// Reason why a part of a scale run failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// The input of a settings computation is empty.
    #[error("the settings input is empty")]
    NoSettings,
    /// The reader of settings files rejected the input.
    #[error("the settings file was rejected with {count} errors: {first}")]
    SettingsRejected {
        /// Number of errors in the file.
        count: usize,
        /// The first errors, joined by semicolons.
        first: String,
    },
    /// The input of a server list computation is empty.
    #[error("the server list input is empty")]
    NoList,
    /// A server list has no `endpoints`.
    #[error("the server list has no `endpoints` array")]
    NoEndpoints,
    /// The repeats of a computation took too long.
    #[error("the computation did not finish within {0:?}")]
    ComputationTimeout(Duration),
    /// The process of a computation failed.
    #[error("{stderr}")]
    ComputationFailed {
        /// Standard error of the process.
        stderr: String,
    },
    /// The process of a fleet did not exit in time.
    #[error("{nodes} nodes: the process of the fleet did not exit in time")]
    FleetTimeout {
        /// Size of the fleet.
        nodes: usize,
    },
    /// The process of a fleet failed.
    #[error("{nodes} nodes: the process of the fleet failed: {status}")]
    FleetFailed {
        /// Size of the fleet.
        nodes: usize,
        /// Exit status of the process.
        status: ExitStatus,
    },
    /// A report has an unsupported schema version.
    #[error("unsupported report schema {found}; expected {supported}")]
    UnsupportedSchema {
        /// Schema version of the report.
        found: u32,
        /// Schema version that this program reads.
        supported: u32,
    },
    /// A file of `/proc` lacks a field.
    #[error("no {field} in {file}")]
    MissingProcField {
        /// Name of the field.
        field: &'static str,
        /// Path of the file.
        file: &'static str,
    },
    /// The socket of a simulated node can't be opened.
    #[error("can't open the socket of node {node} of {nodes}: {source}")]
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
    #[error("there is no real node to send requests to")]
    NoRequests,
}
