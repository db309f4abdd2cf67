//! The work that a server may be sent during its slow start: a token bucket for each such server.

use crate::interface::{Rules, Time};

/// The least fraction of its capacity that a server has which started at this time.
pub(super) fn capacity_fraction(rules: &Rules, started_at: Time, now: Time) -> f64 {
    let age = (now - started_at).max(0.0);
    if started_at <= 0.0 || age >= rules.slow_start_duration {
        return 1.0;
    }
    rules.initial_capacity + (1.0 - rules.initial_capacity) * age / rules.slow_start_duration
}

/// Work that a server may be sent during its slow start, in seconds on a standard core.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkCredit {
    /// Negative after a large request.
    pub(super) work: f64,
    /// The most that is accumulated.
    pub(super) max: f64,
}

impl WorkCredit {
    /// A bucket with this level.
    pub(super) fn new(work: f64) -> Self {
        WorkCredit { work, max: 0.0 }
    }

    /// Takes out the work of a request.
    pub(super) fn spend(&mut self, work: f64) {
        self.work -= work;
    }

    /// Sets a lower level, if this is one.
    pub(super) fn lower_to(&mut self, work: f64) {
        self.work = self.work.min(work);
    }

    /// Whether a request can be sent. A large one waits until credit has accumulated, and its remainder is owed.
    pub(super) fn covers(&self, work: f64, typical: f64) -> bool {
        let largest = 0.5 * (self.max + typical).max(2.0 * typical);
        self.work >= work.clamp(typical, largest)
    }

    /// Fills the bucket; what exceeds its size expires in steps of a typical request.
    pub(super) fn refill(&mut self, work: f64, max: f64, typical: f64) {
        self.max = max;
        self.work += work;
        let excess = (self.work - self.max) / typical;
        self.work -= typical * excess.ceil().max(0.0);
    }
}
