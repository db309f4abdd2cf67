//! Detection of hot keys. Requests with the same affinity key go to the same server, unless the key alone would load it
//! too much.

/// Number of counters. Keys that share one are considered hot too early and lose their affinity, which is harmless.
const COUNTERS: usize = 256;
/// A key with more than this fraction of a server's mean traffic is hot.
const HOT_FRACTION: f64 = 0.5;
/// A key needs more than this number of recent requests to be hot.
const MIN_REQUESTS: f64 = 2.0;

/// Decaying counts of requests by key.
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

    /// Multiplies all counts by `retained`.
    pub(super) fn decay(&mut self, retained: f64) {
        self.counts.iter_mut().for_each(|count| *count *= retained);
    }

    /// Whether a key is too popular for a single server, if this many servers are eligible.
    pub(super) fn is_hot(&self, key: u64, eligible: usize) -> bool {
        let count = self.counts[key as usize % COUNTERS];
        let total: f64 = self.counts.iter().sum();
        count > MIN_REQUESTS && count * eligible as f64 > HOT_FRACTION * total
    }
}
