//! The retry budget: each first attempt earns a part of a retry, so that retries can't multiply the load of a fleet that
//! fails.

/// The budget always holds this many retries.
const MIN_BURST: f64 = 2.0;
/// The budget holds the retries of one second, and never more than this.
const MAX_BURST: f64 = 10.0;

/// The retries that are allowed at present.
pub(super) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { retries: MIN_BURST }
    }
}

impl RetryBudget {
    /// Adds what a first attempt earns, where so many requests arrive per second.
    pub(super) fn earn(&mut self, ratio: f64, arrivals_per_second: f64) {
        let size = (ratio * arrivals_per_second).clamp(MIN_BURST, MAX_BURST);
        self.retries = (self.retries + ratio).min(size);
    }

    /// Whether a retry is allowed.
    pub(super) fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Takes a retry out of the budget.
    pub(super) fn spend(&mut self) {
        self.retries -= 1.0;
    }
}
