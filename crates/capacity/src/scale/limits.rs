//! The limits of a machine and of a run's duration: [`single`](super::single) and [`sweep`](super::sweep) check a size
//! against them before they start.

use super::report::Size;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Open files reserved for other uses than the sockets of simulated nodes.
pub const RESERVED_FILES: usize = 512;
/// Largest number of processes of one run.
pub const MAX_PROCESSES: usize = 300;
/// Processes of a run that are not real nodes.
const RESERVED_PROCESSES: usize = 10;
/// Longest duration of a run.
pub const MAX_RUN_DURATION: Duration = Duration::from_secs(600);
/// Estimated memory of one node for each other member, in bytes; an upper bound.
pub const BYTES_PER_MEMBER: u64 = 1024;
/// Estimated memory of one node for itself, in bytes; an upper bound.
pub const BYTES_PER_NODE: u64 = 256 << 10;
/// Memory of one node for each server of its list, in bytes.
pub const BYTES_PER_SERVER: u64 = 16;
/// Smallest number of simulated nodes of a run: one in each zone.
pub const MIN_NODES: usize = 6;
/// Upper bound of the search for the number of nodes that fit.
const NODE_SEARCH_LIMIT: usize = 1 << 20;

/// The limit that a run exceeds, or the minimum size that it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TooLarge {
    /// The run needs more open files than the process may have.
    #[error(
        "{nodes} hollow nodes need {needed} open files, but the limit of this process is {limit}: {fits} nodes fit"
    )]
    Sockets {
        /// Simulated nodes that were requested.
        nodes: usize,
        /// Open files that they need.
        needed: usize,
        /// Open files that the process may have.
        limit: usize,
        /// Simulated nodes that fit.
        fits: usize,
    },
    /// The run needs more than half of the machine's memory.
    #[error(
        "{nodes} hollow nodes need about {needed_mib} MiB, but half of the machine's memory is {half_mib} MiB: \
         {fits} nodes fit"
    )]
    Memory {
        /// Simulated nodes that were requested.
        nodes: usize,
        /// Memory that they need, in MiB.
        needed_mib: u64,
        /// Half of the machine's memory, in MiB.
        half_mib: u64,
        /// Simulated nodes that fit.
        fits: usize,
    },
    /// The run needs more processes than [`MAX_PROCESSES`] allows.
    #[error("{requested} real nodes were requested, but at most {fits} are allowed")]
    Processes {
        /// Real nodes that were requested.
        requested: usize,
        /// Real nodes that are allowed.
        fits: usize,
    },
    /// There are fewer nodes than zones.
    #[error("a fleet needs at least {min} nodes, but {nodes} were requested")]
    TooFew {
        /// Simulated nodes that were requested.
        nodes: usize,
        /// [`MIN_NODES`].
        min: usize,
    },
}

/// The resources of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Open files that one process may have.
    pub open_files: usize,
    /// Memory, in bytes.
    pub memory: u64,
    /// Number of cores.
    pub cores: usize,
}

impl Machine {
    /// Returns the number of simulated nodes that the limit of open files allows.
    pub fn nodes_by_open_files(&self) -> usize {
        self.open_files.saturating_sub(RESERVED_FILES)
    }

    /// Returns the number of simulated nodes that fit in half of the memory, found by bisection.
    pub fn nodes_by_memory(&self, servers: usize) -> usize {
        let half = self.memory / 2;
        let (mut low, mut high) = (0, NODE_SEARCH_LIMIT);
        while low < high {
            let middle = usize::midpoint(low, high + 1);
            if estimated_memory(middle, servers) <= half {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    /// Checks a run against the limits.
    ///
    /// # Errors
    /// The first limit that the run exceeds, with the size that would fit.
    pub fn check(&self, size: &Size, real_nodes: usize) -> Result<(), TooLarge> {
        if size.nodes < MIN_NODES {
            return Err(TooLarge::TooFew {
                nodes: size.nodes,
                min: MIN_NODES,
            });
        }
        self.check_open_files(size.nodes)?;
        self.check_memory(size)?;
        check_processes(real_nodes)
    }

    fn check_open_files(&self, nodes: usize) -> Result<(), TooLarge> {
        let fits = self.nodes_by_open_files();
        if nodes <= fits {
            return Ok(());
        }
        Err(TooLarge::Sockets {
            nodes,
            needed: nodes + RESERVED_FILES,
            limit: self.open_files,
            fits,
        })
    }

    fn check_memory(&self, size: &Size) -> Result<(), TooLarge> {
        let needed = estimated_memory(size.nodes, size.servers);
        let half = self.memory / 2;
        if needed <= half {
            return Ok(());
        }
        Err(TooLarge::Memory {
            nodes: size.nodes,
            needed_mib: needed >> 20,
            half_mib: half >> 20,
            fits: self.nodes_by_memory(size.servers),
        })
    }
}

fn check_processes(real_nodes: usize) -> Result<(), TooLarge> {
    let fits = MAX_PROCESSES - RESERVED_PROCESSES;
    if real_nodes <= fits {
        return Ok(());
    }
    Err(TooLarge::Processes {
        requested: real_nodes,
        fits,
    })
}

/// Estimates the memory of `nodes` nodes, each with a list of `servers` servers, in bytes.
pub fn estimated_memory(nodes: usize, servers: usize) -> u64 {
    let nodes = nodes as u64;
    let per_node = BYTES_PER_NODE + nodes * BYTES_PER_MEMBER + servers as u64 * BYTES_PER_SERVER;
    nodes * per_node
}

/// Time at which a run has to end.
#[derive(Clone, Copy, Debug)]
pub struct Deadline(Instant);

impl Deadline {
    /// Creates a deadline after this duration, or after [`MAX_RUN_DURATION`] if that is shorter.
    pub fn after(duration: Duration) -> Deadline {
        Deadline(Instant::now() + duration.min(MAX_RUN_DURATION))
    }

    /// Returns the time until the deadline; zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    /// Returns whether more than this duration remains.
    pub fn allows(&self, duration: Duration) -> bool {
        self.remaining() > duration
    }
}
