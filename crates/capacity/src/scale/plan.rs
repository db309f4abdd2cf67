//! The parameters of one scale run.

use super::limits::Deadline;
use super::report::Size;
use reelfall_testbed::scripted::Program;
use std::path::PathBuf;

/// The parameters of a run at one size.
pub struct Plan {
    /// The node program that real nodes run.
    pub node_program: Program,
    /// Path of this program, which measures computations in separate processes.
    pub own_program: PathBuf,
    /// The size of the system.
    pub size: Size,
    /// Number of real nodes.
    pub real_nodes: usize,
    /// Threads that drive the simulated nodes.
    pub threads: usize,
    /// Length of each window, in seconds.
    pub window_seconds: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time at which the run has to end.
    pub deadline: Deadline,
}
