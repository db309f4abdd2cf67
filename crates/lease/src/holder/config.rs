//! How a lease is requested and renewed.

use crate::clock::DriftMargin;
use crate::Micros;

/// The shortest backoff by default, in microseconds.
const DEFAULT_MIN_BACKOFF: Micros = 50_000;

/// How a lease is requested and renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of keepers.
    pub keepers: usize,
    /// Safety margins for clock drift.
    pub drift_margin: DriftMargin,
    /// How long a lease lasts without renewal, in microseconds.
    pub duration: Micros,
    /// Keepers that have not responded within this time receive the request again, in microseconds.
    pub response_timeout: Micros,
    /// The shortest backoff between two attempts, in microseconds.
    pub min_backoff: Micros,
    /// The longest backoff between two attempts, in microseconds.
    pub max_backoff: Micros,
}

impl Config {
    /// Defaults for a lease of this length, with this number of keepers.
    pub fn new(keepers: usize, duration: Micros) -> Config {
        Config {
            keepers,
            drift_margin: DriftMargin::default(),
            duration,
            response_timeout: (duration / 8).clamp(50_000, 1_000_000),
            min_backoff: DEFAULT_MIN_BACKOFF,
            // No longer than the lease takes to expire, so that a free lease is not left unused for longer.
            max_backoff: duration.clamp(500_000, 5_000_000),
        }
    }
}
