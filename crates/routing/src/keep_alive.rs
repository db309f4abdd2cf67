//! The keep-alive of idle connections to servers, which adapts to servers that accept few connections.

/// The keep-alive time of one service's idle connections, in seconds: multiplicative decrease when a server rejects a
/// new connection, additive increase otherwise.
///
/// A node uses most servers only now and then. If each node of a fleet kept idle connections to all of them until the
/// servers' own time-out, servers with a connection limit would have to reject other nodes. No server reports its
/// limit; a rejected connection is the only sign of it.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    max: f64,
    current: f64,
    /// Whether a server rejected a connection since the last tick.
    was_rejected: bool,
}

/// Minimum keep-alive, as a fraction of the maximum.
const MIN_FRACTION: f64 = 1.0 / 16.0;
/// Time to increase from nothing to the maximum, in seconds.
const RECOVERY_TIME: f64 = 20.0;

impl KeepAlive {
    /// Begins with the maximum that servers allow, in seconds.
    pub fn new(max: f64) -> Self {
        KeepAlive {
            max,
            current: max,
            was_rejected: false,
        }
    }

    /// The current keep-alive, in seconds.
    pub fn idle_timeout(&self) -> f64 {
        self.current
    }

    /// Records that a server rejected a new connection. Several of them before a tick count as one.
    pub fn record_rejection(&mut self) {
        self.was_rejected = true;
    }

    /// Adapts the keep-alive to the last `elapsed` seconds.
    pub fn tick(&mut self, elapsed: f64) {
        if std::mem::take(&mut self.was_rejected) {
            self.current = (self.current / 2.0).max(self.max * MIN_FRACTION);
        } else {
            self.current = (self.current + self.max * elapsed / RECOVERY_TIME).min(self.max);
        }
    }
}
