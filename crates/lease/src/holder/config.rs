//! The configuration of a lease's holder.

use crate::clock::DriftMargin;
use crate::Micros;

/// The shortest backoff by default, in microseconds.
const DEFAULT_MIN_BACKOFF: Micros = 50_000;

/// How a lease is requested and renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Number of keepers.
    pub keepers: usize,
    /// The clock drift to allow for.
    pub drift_margin: DriftMargin,
    /// How long a lease lasts without renewal, in microseconds.
    pub duration: Micros,
    /// Time after which an attempt without a majority of responses is abandoned, or a renewal is requested again, in
    /// microseconds.
    pub response_timeout: Micros,
    /// The shortest backoff between two attempts, in microseconds.
    pub min_backoff: Micros,
    /// The longest backoff between two attempts, in microseconds.
    pub max_backoff: Micros,
}

impl Config {
    /// The default configuration for a lease of this duration, in microseconds, with this number of keepers.
    pub fn new(keepers: usize, duration: Micros) -> Config {
        Config {
            keepers,
            drift_margin: DriftMargin::default(),
            duration,
            response_timeout: (duration / 8).clamp(50_000, 1_000_000),
            min_backoff: DEFAULT_MIN_BACKOFF,
            // About as long as the lease takes to expire, so that an available lease is not left unused for longer.
            max_backoff: duration.clamp(500_000, 5_000_000),
        }
    }
}
