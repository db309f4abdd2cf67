//! The weight of servers in other zones. It follows what crossing zones gains: the fraction of missed latency objectives in
//! this node's zone, less that in the others and the cost of crossing.

use crate::interface::Time;

/// Step of the fractions of missed objectives.
const MISSED_STEP: f64 = 0.05;
/// Rate at which the weight grows, per second and unit of gain.
const GROWTH_RATE: f64 = 7.0;
/// The least weight: servers in other zones are still known, and used when they are much less loaded.
pub(super) const MIN_WEIGHT: f64 = 0.15;

/// The weight of servers in other zones against that of servers in this node's zone.
pub(super) struct ZoneSpill {
    weight: f64,
    /// Fraction of responses that missed their latency objective, in this node's zone.
    missed_locally: f64,
    /// The same in other zones.
    missed_remotely: f64,
}

impl Default for ZoneSpill {
    fn default() -> Self {
        ZoneSpill {
            weight: 1.0,
            missed_locally: 0.0,
            missed_remotely: 0.0,
        }
    }
}

impl ZoneSpill {
    /// The weight.
    pub(super) fn weight(&self) -> f64 {
        self.weight
    }

    /// Restores the weight; one that can't be is replaced by the least.
    pub(super) fn restore(&mut self, weight: f64) {
        let is_usable = weight.is_finite() && weight > 0.0;
        self.weight = if is_usable {
            weight.clamp(MIN_WEIGHT, 1.0)
        } else {
            MIN_WEIGHT
        };
    }

    /// Adds a response.
    pub(super) fn record(&mut self, is_remote: bool, missed_objective: bool) {
        let missed = if is_remote {
            &mut self.missed_remotely
        } else {
            &mut self.missed_locally
        };
        *missed += MISSED_STEP * (f64::from(missed_objective) - *missed);
    }

    /// Adjusts the weight after this time.
    pub(super) fn update(&mut self, elapsed: Time, crossing_cost: f64) {
        let gain = self.missed_locally - self.missed_remotely - crossing_cost;
        let growth = (GROWTH_RATE * gain * elapsed).exp();
        self.weight = (self.weight * growth).clamp(MIN_WEIGHT, 1.0);
    }
}
