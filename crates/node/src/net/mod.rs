//! The node's side of the sockets. It translates and enforces; every choice is the module's.

pub mod answer;
pub mod body;
mod client;
pub mod discovery;
pub mod front;
pub mod gate;
pub mod graphql;
pub mod ledger;
pub mod management;
pub mod message;
pub mod operations;
pub mod pool;
pub mod registry;
pub mod service;
pub mod shared;
pub mod source;
pub mod takeover;
pub mod task;
#[cfg(test)]
mod tests;
pub mod upstream;

use std::cell::Cell;
use std::time::{Duration, Instant};

/// ResourceLimits of all that grows. What is not here is bounded by these: a client's connection has one request, a
/// request one attempt, an attempt one connection.
#[derive(Clone, Copy, Debug)]
pub struct ResourceLimits {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to servers, in use and idle.
    pub server_connections: usize,
    /// Memory for buffered request bodies above [`UNRESERVED_BODY_BYTES`], in KiB; responses have as much again.
    pub body_memory_kib: usize,
}

impl ResourceLimits {
    /// The limits of a process with this many file descriptors and this much memory.
    pub fn for_process(sockets: usize, memory_mb: usize) -> Self {
        let (client_connections, server_connections, buffer_kib) =
            reelfall_config::check::parts(sockets, memory_mb);
        // Streamed data needs buffers besides what is stored, and two processes run during an upgrade.
        let body_memory_kib = buffer_kib * 2 / 3;
        ResourceLimits {
            client_connections,
            server_connections,
            body_memory_kib,
        }
    }

    /// The limits of each of two processes of one node while both serve.
    pub fn halved(self) -> Self {
        ResourceLimits {
            client_connections: self.client_connections / 2,
            server_connections: self.server_connections / 2,
            body_memory_kib: self.body_memory_kib / 2,
        }
    }
}

/// Largest head of a request.
pub const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// Largest body of a request that is held whole.
pub const MAX_BUFFERED_BODY_BYTES: usize = 1 << 20;
/// A body up to this size needs no leave; a larger one needs its share of [`ResourceLimits::body_kib`].
pub const UNRESERVED_BODY_BYTES: usize = 4 << 10;
/// Largest answer of a server that is held whole, where it has to be.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 1 << 20;
/// Largest answer that is held whole if it comes at once: servers were seen to send that much where 64 KiB were
/// agreed, and a break on the way stays an outcome only of what is held.
pub const MAX_IMMEDIATE_RESPONSE_BYTES: usize = 512 << 10;
/// An answer up to this size needs no leave; a larger one needs its share of [`ResourceLimits::body_kib`].
pub const UNRESERVED_RESPONSE_BYTES: usize = 64 << 10;

/// Permits for so many bytes.
pub fn kib_permits(bytes: usize) -> u32 {
    u32::try_from(bytes / 1024 + 1).unwrap_or(u32::MAX)
}
/// Read buffer of one connection.
pub const READ_BUFFER_BYTES: usize = 64 << 10;

/// Numbers of chance from a node's own seed, the same when a run is played again: SplitMix64.
pub struct SeededRng(Cell<u64>);

impl SeededRng {
    /// From this seed.
    pub fn new(seed: u64) -> Self {
        SeededRng(Cell::new(seed))
    }

    /// The next number.
    pub fn next_u64(&self) -> u64 {
        let x = self.0.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.0.set(x);
        let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// The next one as a fraction of [0, 1).
    pub fn next_fraction(&self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Has small pieces written at once.
///
/// Guards a connection against a system that refuses the wish, as one was seen to do for the first option set on each
/// connection it had accepted: whoever came was let in and closed on, and no node ever got ready. What is written may
/// be a little late then, which is better than nothing. It ought to bear any socket that knows no such option. Harm: on
/// such a system the last piece of an answer may wait for an acknowledgement.
pub fn set_nodelay(stream: &tokio::net::TcpStream) {
    let _ = stream.set_nodelay(true);
}

/// A log on standard error with a rate limit: a flood of faults must not become a flood of text.
#[derive(Default)]
pub struct Log {
    window_start: Cell<Option<Instant>>,
    lines_in_window: Cell<u32>,
}

impl Log {
    const LINES_PER_WINDOW: u32 = 5;
    const WINDOW: Duration = Duration::from_secs(1);

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
        if self.lines_in_window.get() < Self::LINES_PER_WINDOW {
            self.lines_in_window.set(self.lines_in_window.get() + 1);
            eprintln!("reelfall: {line}");
        }
    }
}
