//! The parameters of one scale run. Made by [`super::command`], used by [`super::single`].

use super::limits::Deadline;
use super::report::Size;
use reelfall_testbed::scripted::Program;
use std::path::PathBuf;

/// The parameters of a run.
pub struct Plan {
    /// The node's program, for real nodes.
    pub node_program: Program,
    /// This program, for computations.
    pub own_program: PathBuf,
    /// The size of the system.
    pub size: Size,
    /// Real nodes.
    pub real_nodes: usize,
    /// Threads that drive the simulated ones.
    pub threads: usize,
    /// Length of each window.
    pub window_seconds: f64,
    /// For all random choices.
    pub seed: u64,
    /// When the run has to end.
    pub deadline: Deadline,
}
