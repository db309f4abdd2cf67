//! The work that a server may be sent during its slow start: a token bucket per server.

use crate::interface::{Rules, Time};

/// The least fraction of its full capacity that a server has now if it started at this time; 1 after its slow start.
pub(super) fn capacity_fraction(rules: &Rules, started_at: Time, now: Time) -> f64 {
    let age = (now - started_at).max(0.0);
    if started_at <= 0.0 || age >= rules.slow_start_duration {
        return 1.0;
    }
    rules.initial_capacity + (1.0 - rules.initial_capacity) * age / rules.slow_start_duration
}

/// A token bucket of the work that a server may be sent during its slow start, in seconds on a standard core.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkCredit {
    /// The level of the bucket; negative after a large request.
    pub(super) level: f64,
    /// The greatest level, in seconds on a standard core.
    pub(super) max_level: f64,
}

impl WorkCredit {
    /// Creates a bucket with this level; its greatest level is 0 until the first refill.
    pub(super) fn new(level: f64) -> Self {
        WorkCredit {
            level,
            max_level: 0.0,
        }
    }

    /// Removes the work of a request from the bucket.
    pub(super) fn spend(&mut self, work: f64) {
        self.level -= work;
    }

    /// Lowers the level to `level`, if it is higher.
    pub(super) fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Whether a request with this work can be sent. A large one needs more accumulated credit, but not all of its
    /// work: the level is negative after it.
    pub(super) fn covers(&self, work: f64, typical: f64) -> bool {
        let largest = 0.5 * (self.max_level + typical).max(2.0 * typical);
        self.level >= work.clamp(typical, largest)
    }

    /// Adds work to the bucket and sets its greatest level. What exceeds that is removed in multiples of the work of a
    /// typical request.
    pub(super) fn refill(&mut self, work: f64, max_level: f64, typical: f64) {
        self.max_level = max_level;
        self.level += work;
        let excess = (self.level - self.max_level) / typical;
        self.level -= typical * excess.ceil().max(0.0);
    }
}
