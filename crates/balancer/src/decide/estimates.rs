//! Estimates of the work of requests and of their arrival rate.

use crate::interface::Time;

/// Smoothing factor of the estimate for a class.
const CLASS_STEP: f64 = 0.02;
/// Smoothing factor of the estimate over all classes.
const TYPICAL_STEP: f64 = 0.01;
/// Smoothing factor of the arrival rate.
const RATE_STEP: f64 = 0.2;
/// Fraction of a typical response time that does not depend on the size of the request, such as queueing time.
const CONSTANT_FRACTION: f64 = 0.5;

/// Estimates of the work of requests, in seconds on a standard core.
pub(super) struct WorkEstimates {
    by_class: Vec<f64>,
    typical: f64,
}

impl WorkEstimates {
    /// Creates the estimates for a number of classes, all with the same initial value.
    pub(super) fn new(classes: usize, first_estimate: f64) -> Self {
        WorkEstimates {
            by_class: vec![first_estimate; classes],
            typical: first_estimate,
        }
    }

    /// Restores the estimates; invalid ones are ignored.
    pub(super) fn restore(&mut self, by_class: &[f64], typical: f64) {
        let is_usable = |work: &f64| work.is_finite() && *work > 0.0;
        if by_class.len() == self.by_class.len() && by_class.iter().all(is_usable) {
            self.by_class = by_class.to_vec();
        }
        if is_usable(&typical) {
            self.typical = typical;
        }
    }

    /// The estimate for a class.
    pub(super) fn of_class(&self, class: usize) -> f64 {
        self.by_class[class]
    }

    /// The estimates for all classes.
    pub(super) fn all(&self) -> &[f64] {
        &self.by_class
    }

    /// The estimate over all classes.
    pub(super) fn typical(&self) -> f64 {
        self.typical
    }

    /// Records a request that has arrived; returns its work, which is the estimate for its class if there is no hint.
    pub(super) fn record_arrival(&mut self, class: usize, work_hint: Option<f64>) -> f64 {
        let work = work_hint.unwrap_or(self.by_class[class]);
        self.by_class[class] += CLASS_STEP * (work - self.by_class[class]);
        self.typical += TYPICAL_STEP * (work - self.typical);
        work
    }

    /// Records the response time of a request without a hint, as an approximation of its work.
    pub(super) fn record_response(&mut self, class: usize, response: Time) {
        self.by_class[class] += CLASS_STEP * (response - self.by_class[class]);
    }

    /// The expected response time of a request with this work, as a multiple of that of a typical request.
    pub(super) fn relative_size(&self, work: f64) -> f64 {
        CONSTANT_FRACTION + (1.0 - CONSTANT_FRACTION) * work / self.typical
    }
}

/// The rate at which requests arrive at this node.
#[derive(Default)]
pub(super) struct ArrivalRate {
    /// Arrivals since the last update.
    count: f64,
    /// Smoothed rate per second; 0 before the first update.
    per_second: f64,
}

impl ArrivalRate {
    /// Counts an arrival.
    pub(super) fn record(&mut self) {
        self.count += 1.0;
    }

    /// Updates the rate with the arrivals since the last update, `elapsed` seconds ago.
    pub(super) fn update(&mut self, elapsed: Time) {
        let rate = self.count / elapsed;
        self.count = 0.0;
        if self.per_second > 0.0 {
            self.per_second += RATE_STEP * (rate - self.per_second);
        } else {
            self.per_second = rate;
        }
    }

    /// The smoothed rate; 0 before the first update.
    pub(super) fn per_second(&self) -> f64 {
        self.per_second
    }

    /// The smoothed rate; before the first update, the number of arrivals so far, at least 1.
    pub(super) fn estimate(&self) -> f64 {
        if self.per_second > 0.0 {
            self.per_second
        } else {
            self.count.max(1.0)
        }
    }
}
