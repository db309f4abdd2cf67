//! How many nodes fit on this machine, within its own limits.

use super::report::Size;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Sockets and files that a run needs beside those of its hollow nodes.
pub const FILES_RESERVED: usize = 512;
/// Most processes of one run.
pub const PROCESSES_MOST: usize = 300;
/// Longest time that a run takes.
pub const RUN_MOST: Duration = Duration::from_secs(600);
/// Memory that one node takes for each other that it knows, in bytes: an estimate on the safe side.
pub const BYTES_A_MEMBER: u64 = 1024;
/// Memory that one node takes for itself, in bytes: an estimate on the safe side.
pub const BYTES_A_NODE: u64 = 256 << 10;
/// Memory that one node takes for each server of its list, in bytes.
pub const BYTES_A_SERVER: u64 = 16;

/// Why a run is not started.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TooLarge {
    /// There are not so many sockets.
    #[error(
        "{nodes} hollow nodes need {needed} open files, and this process may have {limit}: {fits} nodes fit"
    )]
    Sockets {
        /// Hollow nodes that were asked for.
        nodes: usize,
        /// Open files that they need.
        needed: usize,
        /// Open files that the process may have.
        limit: usize,
        /// Hollow nodes that fit.
        fits: usize,
    },
    /// There is not so much memory.
    #[error(
        "{nodes} hollow nodes need about {needed_mib} MiB, and half of the machine's memory is {half_mib} MiB: \
         {fits} nodes fit"
    )]
    Memory {
        /// Hollow nodes that were asked for.
        nodes: usize,
        /// Memory that they need, in MiB.
        needed_mib: u64,
        /// Half of the machine's, in MiB.
        half_mib: u64,
        /// Hollow nodes that fit.
        fits: usize,
    },
    /// There are not so many processes.
    #[error("{wanted} real nodes are too many: {fits} at most")]
    Processes {
        /// Real nodes that were asked for.
        wanted: usize,
        /// How many are allowed.
        fits: usize,
    },
    /// They are too few to be a fleet with zones.
    #[error("a fleet has at least {least} nodes, and {nodes} were asked for")]
    TooFew {
        /// Hollow nodes that were asked for.
        nodes: usize,
        /// Fewest that make a fleet.
        least: usize,
    },
}

/// What a machine allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Open files of one process.
    pub files: usize,
    /// Memory, in bytes.
    pub memory: u64,
    /// Cores.
    pub cores: usize,
}

/// Fewest hollow nodes of a run: each zone has some.
pub const NODES_LEAST: usize = 6;

impl Machine {
    /// How many hollow nodes the sockets are enough for.
    pub fn fits_files(&self) -> usize {
        self.files.saturating_sub(FILES_RESERVED)
    }

    /// How many hollow nodes half of the memory is enough for.
    pub fn fits_memory(&self, servers: usize) -> usize {
        let half = self.memory / 2;
        let (mut low, mut high) = (0, 1 << 20);
        while low < high {
            let middle = usize::midpoint(low, high + 1);
            if memory_of(middle, servers) <= half {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    /// Holds a run against the limits.
    ///
    /// # Errors
    /// Says which limit it breaks, and what would fit.
    pub fn check(&self, size: &Size, real: usize) -> Result<(), TooLarge> {
        let nodes = size.nodes;
        if nodes < NODES_LEAST {
            return Err(TooLarge::TooFew {
                nodes,
                least: NODES_LEAST,
            });
        }
        if nodes > self.fits_files() {
            let (needed, limit) = (nodes + FILES_RESERVED, self.files);
            return Err(TooLarge::Sockets {
                nodes,
                needed,
                limit,
                fits: self.fits_files(),
            });
        }
        let needed = memory_of(nodes, size.servers);
        if needed > self.memory / 2 {
            let (needed_mib, half_mib) = (needed >> 20, (self.memory / 2) >> 20);
            let fits = self.fits_memory(size.servers);
            return Err(TooLarge::Memory {
                nodes,
                needed_mib,
                half_mib,
                fits,
            });
        }
        let fits = PROCESSES_MOST - 10;
        if real > fits {
            return Err(TooLarge::Processes { wanted: real, fits });
        }
        Ok(())
    }
}

/// Memory that so many nodes take, each with a list of so many servers: an estimate.
pub fn memory_of(nodes: usize, servers: usize) -> u64 {
    let nodes = nodes as u64;
    nodes * (BYTES_A_NODE + nodes * BYTES_A_MEMBER + servers as u64 * BYTES_A_SERVER)
}

/// The moment at which a run has to be over.
#[derive(Clone, Copy, Debug)]
pub struct Deadline(Instant);

impl Deadline {
    /// So long from now, and never longer than [`RUN_MOST`].
    pub fn within(time: Duration) -> Deadline {
        Deadline(Instant::now() + time.min(RUN_MOST))
    }

    /// What is left.
    pub fn left(&self) -> Duration {
        self.0.saturating_duration_since(Instant::now())
    }

    /// Whether there is time for something that takes so long.
    pub fn allows(&self, time: Duration) -> bool {
        self.left() > time
    }
}
