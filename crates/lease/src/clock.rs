//! How long a lease lasts for its holder and for the keepers, on clocks that drift.
//!
//! A holder measures a lease from *before* its request, a keeper from *after* its grant, so that the keeper's grant can
//! end before the holder's lease only if their clocks run at different rates. With a drift of `r` (each clock's rate is
//! between `1 - r` and `1 + r` of true time), a keeper that measures `L` waits for a true time of at least `L / (1 + r)`,
//! and a holder that measures `H` waits for at most `H / (1 - r)`. So `H = L (1 - 2r)` is sufficient, since
//! `(1 - r) / (1 + r) >= 1 - 2r`.

use crate::Micros;

/// Parts per million in a whole.
const PPM: u128 = 1_000_000;

/// The safety margin for clock drift between a holder and the keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DriftMargin {
    /// The maximum drift of a clock, in parts per million. Crystal oscillators stay within 100, a clock that is being
    /// slewed within 500 (`MAXFREQ` of `adjtimex`).
    pub drift_ppm: u32,
}

impl Default for DriftMargin {
    fn default() -> Self {
        DriftMargin { drift_ppm: 1000 }
    }
}

impl DriftMargin {
    /// How long a holder may use a lease of this duration, measured from before its request, in microseconds.
    pub fn holder_duration(&self, duration: Micros) -> Micros {
        let slack = u128::from(duration) * 2 * u128::from(self.drift_ppm);
        duration.saturating_sub(u64::try_from(slack.div_ceil(PPM)).unwrap_or(u64::MAX))
    }

    /// How long a keeper must not grant the lease to others, measured from after its grant, in microseconds.
    pub fn keeper_duration(&self, duration: Micros) -> Micros {
        duration
    }
}
