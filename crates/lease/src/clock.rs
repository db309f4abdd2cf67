//! How long holders and keepers count a lease, on clocks that drift.
//!
//! A holder counts from *before* its request, a keeper from *after* it granted, so that only the rates of their clocks can
//! bring the keeper's end before the holder's. With a drift of `r` (each clock's rate between `1 - r` and `1 + r` of true
//! time) a keeper that counts `L` waits a true time of `L / (1 + r)` at least, and a holder that counts `H` has done so
//! after `H / (1 - r)` at most. `H = L (1 - 2r)` is enough: `(1 - r) / (1 + r) >= 1 - 2r`.

use crate::Micros;

/// Parts per million in the whole.
const PPM: u128 = 1_000_000;

/// The safety margins for clock drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DriftMargin {
    /// The maximum drift of a clock, in parts per million. Crystals keep within 100, a clock that is being slewed within
    /// 500 (`adjtimex`: `MAXFREQ`).
    pub drift_ppm: u32,
}

impl Default for DriftMargin {
    fn default() -> Self {
        DriftMargin { drift_ppm: 1000 }
    }
}

impl DriftMargin {
    /// How long a holder counts a lease of this length, from before its request.
    pub fn holder_duration(&self, duration: Micros) -> Micros {
        let slack = u128::from(duration) * 2 * u128::from(self.drift_ppm);
        duration.saturating_sub(u64::try_from(slack.div_ceil(PPM)).unwrap_or(u64::MAX))
    }

    /// How long a keeper counts it, from after it granted.
    pub fn keeper_duration(&self, duration: Micros) -> Micros {
        duration
    }
}
