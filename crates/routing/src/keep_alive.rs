//! The timeout of idle connections to servers, which adapts to servers that accept few connections.

/// The timeout of one service's idle connections: multiplicative decrease when a server rejects a new connection,
/// additive increase otherwise.
///
/// A node uses most servers only occasionally. If each node of a fleet kept its idle connections until the servers'
/// own timeout, servers with a connection limit would have to reject connections of other nodes. No server reports its
/// limit; a rejected connection is the only sign of it.
#[derive(Clone, Copy, Debug)]
pub struct KeepAlive {
    max: f64,
    current: f64,
    /// Whether a server rejected a connection since the last tick.
    was_rejected: bool,
}

/// Minimum timeout, as a fraction of the maximum.
const MIN_FRACTION: f64 = 1.0 / 16.0;
/// Time in which the timeout would grow from 0 to the maximum, in seconds.
const RECOVERY_TIME: f64 = 20.0;

impl KeepAlive {
    /// Starts with the maximum timeout, in seconds: the time after which the servers close idle connections.
    pub fn new(max: f64) -> Self {
        KeepAlive {
            max,
            current: max,
            was_rejected: false,
        }
    }

    /// The current timeout, in seconds.
    pub fn idle_timeout(&self) -> f64 {
        self.current
    }

    /// Records that a server rejected a new connection. Several rejections between two ticks count as one.
    pub fn record_rejection(&mut self) {
        self.was_rejected = true;
    }

    /// Adapts the timeout to the `elapsed` seconds since the last tick.
    pub fn tick(&mut self, elapsed: f64) {
        if std::mem::take(&mut self.was_rejected) {
            self.current = (self.current / 2.0).max(self.max * MIN_FRACTION);
        } else {
            self.current = (self.current + self.max * elapsed / RECOVERY_TIME).min(self.max);
        }
    }
}
