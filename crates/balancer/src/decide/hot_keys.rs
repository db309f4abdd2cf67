//! How often keys are requested. Requests for a key go to the same server, unless that key alone would fill it.

/// Number of counters; keys that collide only lose affinity too early.
const COUNTERS: usize = 256;
/// A key with this fraction of the mean traffic of a server is hot.
const HOT_FRACTION: f64 = 0.5;
/// No key is hot with fewer requests than this.
const MIN_REQUESTS: f64 = 2.0;

/// Decaying counters of requests by key.
pub(super) struct KeyCounts {
    counts: Vec<f64>,
}

impl Default for KeyCounts {
    fn default() -> Self {
        KeyCounts {
            counts: vec![0.0; COUNTERS],
        }
    }
}

impl KeyCounts {
    /// Counts a request for a key.
    pub(super) fn record(&mut self, key: u64) {
        self.counts[key as usize % COUNTERS] += 1.0;
    }

    /// Reduces all counts to this fraction.
    pub(super) fn decay(&mut self, retained: f64) {
        self.counts.iter_mut().for_each(|count| *count *= retained);
    }

    /// Whether a key is too popular for one of so many eligible servers.
    pub(super) fn is_hot(&self, key: u64, eligible: usize) -> bool {
        let count = self.counts[key as usize % COUNTERS];
        let total: f64 = self.counts.iter().sum();
        count > MIN_REQUESTS && count * eligible as f64 > HOT_FRACTION * total
    }
}
