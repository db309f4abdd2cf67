//! The node's networking: clients, servers, service discovery, management and the handover between processes.
//!
//! The code here translates between sockets and the decision module of each pool, which makes every decision.

pub mod answer;
mod answer_clock;
pub mod body;
mod chunked_buffer;
mod client;
pub mod discovery;
pub mod frontend;
pub mod graphql;
pub mod graphql_operations;
pub mod ledger;
pub mod management;
pub mod memory;
pub mod message;
pub mod pool;
pub mod registry;
mod request_events;
pub mod request_filter;
pub mod service;
pub mod shared;
pub mod source;
pub mod stream_window;
pub mod takeover;
pub mod task;
#[cfg(test)]
mod tests;
mod upload_clock;
pub mod upstream;

use memory::MemoryPlan;
use reelfall_config::check::ProcessShares;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Limits on the resources that grow with load. They bound everything else: a client connection has one request at a
/// time, a request one attempt, and an attempt one connection.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to servers, in use and idle.
    pub server_connections: usize,
    /// Memory for buffered request bodies above [`UNRESERVED_BODY_BYTES`], in KiB; responses have as much again.
    pub body_memory_kib: usize,
    /// How the memory of the node is divided.
    pub memory: MemoryPlan,
}

impl ResourceLimits {
    /// The limits of a process with this many file descriptors and this much memory.
    pub fn for_process(sockets: usize, memory_mb: usize) -> Self {
        let shares = ProcessShares::of_process(sockets, memory_mb);
        // Streamed data needs buffers besides what is stored, and two processes run during an upgrade.
        let body_memory_kib = shares.body_memory_kib * 2 / 3;
        let memory = MemoryPlan::for_single_service(
            memory_mb << 20,
            shares.client_connections,
            shares.server_connections,
        );
        ResourceLimits {
            client_connections: memory.client_connections,
            server_connections: memory.server_connections,
            body_memory_kib,
            memory,
        }
    }

    /// The limits of each of two processes of one node while both serve.
    pub fn halved(self) -> Self {
        ResourceLimits {
            client_connections: self.client_connections / 2,
            server_connections: self.server_connections / 2,
            body_memory_kib: self.body_memory_kib / 2,
            memory: self.memory,
        }
    }
}

/// Maximum size of a request's head, in bytes.
pub const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a request body that is buffered, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// Request bodies up to this size, in bytes, are buffered without a reservation of memory.
pub const UNRESERVED_BODY_BYTES: usize = 4 << 10;
/// Maximum size of a response that has to be buffered whole since it is validated, in bytes.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 1 << 20;
/// Maximum size of a response that is buffered if it arrives quickly, in bytes. Only a response that is still buffered
/// can be replaced by that of another attempt if its connection breaks.
pub const MAX_IMMEDIATE_RESPONSE_BYTES: usize = 512 << 10;
/// Responses up to this size, in bytes, are buffered without a reservation of memory: the connection of their client has it.
pub const UNRESERVED_RESPONSE_BYTES: usize = 8 << 10;
/// Responses up to this size, in bytes, are buffered until they are complete, if there is memory for them; larger ones are
/// streamed.
pub const MAX_UNSTREAMED_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum size of the head of a server's answer, in bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// The number of KiB to reserve for a body of this size.
pub fn kib_permits(bytes: usize) -> u32 {
    u32::try_from(bytes / 1024 + 1).unwrap_or(u32::MAX)
}

/// Pseudo-random numbers from a node's seed (SplitMix64), the same in each run with that seed.
pub struct SeededRng(Cell<u64>);

impl SeededRng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        SeededRng(Cell::new(seed))
    }

    /// The next number.
    pub fn next_u64(&self) -> u64 {
        let state = self.0.get().wrapping_add(SPLITMIX64_INCREMENT);
        self.0.set(state);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// The next number as a fraction in `[0, 1)`.
    pub fn next_fraction(&self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The increment of SplitMix64. It also derives a sequence of distinct seeds from one seed.
pub const SPLITMIX64_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Disables Nagle's algorithm. A failure is ignored, since some systems reject the option on accepted connections;
/// there the last segment of a response may be delayed.
pub fn set_nodelay(stream: &tokio::net::TcpStream) {
    let _ = stream.set_nodelay(true);
}

/// A rate-limited log on standard error, so that a burst of faults does not flood it.
pub struct Log {
    max_lines_per_window: u32,
    window_start: Cell<Option<Instant>>,
    lines_in_window: Cell<u32>,
}

impl Default for Log {
    fn default() -> Self {
        Log::with_limit(Log::LINES_PER_SECOND)
    }
}

impl Log {
    const LINES_PER_SECOND: u32 = 5;
    const WINDOW: Duration = Duration::from_secs(1);

    /// A log that drops what is more than this many lines a second.
    pub fn with_limit(lines_per_second: u32) -> Self {
        Log {
            max_lines_per_window: lines_per_second,
            window_start: Cell::default(),
            lines_in_window: Cell::default(),
        }
    }

    /// Number of lines written in the current window.
    #[cfg(test)]
    pub fn lines_in_window(&self) -> u32 {
        self.lines_in_window.get()
    }

    /// Writes a line, or drops it if the rate limit is reached.
    pub fn write_line(&self, line: std::fmt::Arguments) {
        let now = Instant::now();
        if self
            .window_start
            .get()
            .is_none_or(|start| now - start >= Self::WINDOW)
        {
            self.window_start.set(Some(now));
            self.lines_in_window.set(0);
        }
        if self.lines_in_window.get() < self.max_lines_per_window {
            self.lines_in_window.set(self.lines_in_window.get() + 1);
            eprintln!("reelfall: {line}");
        }
    }
}
