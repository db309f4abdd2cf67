//! The retry budget: each admitted request earns a fraction of a retry, so that retries can't multiply the load of
//! servers that fail.

/// The least size of the budget, in retries; it is full at first.
const MIN_BURST: f64 = 2.0;
/// The greatest size of the budget, in retries. In between, its size is the number of retries earned per second.
const MAX_BURST: f64 = 10.0;

/// The number of retries that are currently allowed.
pub(super) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { retries: MIN_BURST }
    }
}

impl RetryBudget {
    /// Adds the fraction of a retry that one request earns. The arrival rate determines the size of the budget.
    pub(super) fn earn(&mut self, ratio: f64, arrivals_per_second: f64) {
        let size = (ratio * arrivals_per_second).clamp(MIN_BURST, MAX_BURST);
        self.retries = (self.retries + ratio).min(size);
    }

    /// Whether a retry is allowed.
    pub(super) fn allows_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Removes a retry from the budget.
    pub(super) fn spend(&mut self) {
        self.retries -= 1.0;
    }
}
