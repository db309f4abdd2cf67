//! The limits of a machine and of a run's duration: [`single`](super::single) and [`sweep`](super::sweep) check a size
//! against them before they start.

use super::report::Size;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Open files of a run beside the sockets of its simulated nodes.
pub const RESERVED_FILES: usize = 512;
/// Most processes of one run.
pub const MAX_PROCESSES: usize = 300;
/// Processes of a run that are not real nodes.
const RESERVED_PROCESSES: usize = 10;
/// Longest run.
pub const MAX_RUN_DURATION: Duration = Duration::from_secs(600);
/// Estimated memory of one node for each other member, in bytes; an upper bound.
pub const BYTES_PER_MEMBER: u64 = 1024;
/// Estimated memory of one node for itself, in bytes; an upper bound.
pub const BYTES_PER_NODE: u64 = 256 << 10;
/// Memory of one node for each server of its list, in bytes.
pub const BYTES_PER_SERVER: u64 = 16;
/// Fewest simulated nodes of a run: each zone has some.
pub const MIN_NODES: usize = 6;
/// Most nodes that the search for a fitting number tries.
const NODE_SEARCH_LIMIT: usize = 1 << 20;

/// Why a run does not fit the machine.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TooLarge {
    /// There are not enough sockets.
    #[error(
        "{nodes} hollow nodes need {needed} open files, and this process may have {limit}: {fits} nodes fit"
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
    /// There is not enough memory.
    #[error(
        "{nodes} hollow nodes need about {needed_mib} MiB, and half of the machine's memory is {half_mib} MiB: \
         {fits} nodes fit"
    )]
    Memory {
        /// Simulated nodes that were requested.
        nodes: usize,
        /// Memory that they need, in MiB.
        needed_mib: u64,
        /// Half of the machine's, in MiB.
        half_mib: u64,
        /// Simulated nodes that fit.
        fits: usize,
    },
    /// There are too many processes.
    #[error("{requested} real nodes are too many: {fits} at most")]
    Processes {
        /// Real nodes that were requested.
        requested: usize,
        /// How many are allowed.
        fits: usize,
    },
    /// There are fewer nodes than zones.
    #[error("a fleet has at least {min} nodes, and {nodes} were asked for")]
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
    /// Open files of one process.
    pub open_files: usize,
    /// Memory, in bytes.
    pub memory: u64,
    /// Cores.
    pub cores: usize,
}

impl Machine {
    /// How many simulated nodes the sockets suffice for.
    pub fn nodes_by_open_files(&self) -> usize {
        self.open_files.saturating_sub(RESERVED_FILES)
    }

    /// How many simulated nodes half of the memory suffices for, found by bisection.
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
    /// The limit that it exceeds, and what would fit.
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

/// Estimated memory of so many nodes, each with a list of so many servers, in bytes.
pub fn estimated_memory(nodes: usize, servers: usize) -> u64 {
    let nodes = nodes as u64;
    let per_node = BYTES_PER_NODE + nodes * BYTES_PER_MEMBER + servers as u64 * BYTES_PER_SERVER;
    nodes * per_node
}

/// The moment at which a run has to end.
#[derive(Clone, Copy, Debug)]
pub struct Deadline(Instant);

impl Deadline {
    /// A deadline after this duration, or after [`MAX_RUN_DURATION`] if that is shorter.
    pub fn after(duration: Duration) -> Deadline {
        Deadline(Instant::now() + duration.min(MAX_RUN_DURATION))
    }

    /// The time that remains.
    pub fn remaining(&self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    /// Whether more than this duration remains.
    pub fn allows(&self, duration: Duration) -> bool {
        self.remaining() > duration
    }
}
