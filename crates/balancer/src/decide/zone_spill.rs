//! The weight of servers in other zones. It follows the gain of crossing zones: the fraction of missed latency
//! objectives in this node's zone, less that in other zones and the cost of crossing.

use crate::interface::Time;

/// Smoothing factor of the fractions of missed objectives.
const MISSED_STEP: f64 = 0.05;
/// Rate at which the weight grows, per second and unit of gain.
const GROWTH_RATE: f64 = 7.0;
/// The least weight. It is positive so that response times in other zones stay known, and their servers are used when
/// they are much less loaded.
pub(super) const MIN_WEIGHT: f64 = 0.15;

/// The weight of servers in other zones, relative to that of servers in this node's zone.
pub(super) struct ZoneSpill {
    weight: f64,
    /// Smoothed fraction of responses from this node's zone that missed their latency objective.
    missed_locally: f64,
    /// The same for responses from other zones.
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
    /// The current weight, at most 1.
    pub(super) fn weight(&self) -> f64 {
        self.weight
    }

    /// Restores the weight; an invalid one is replaced by the least.
    pub(super) fn restore(&mut self, weight: f64) {
        let is_usable = weight.is_finite() && weight > 0.0;
        self.weight = if is_usable {
            weight.clamp(MIN_WEIGHT, 1.0)
        } else {
            MIN_WEIGHT
        };
    }

    /// Records whether a response, from this node's zone or another, missed its latency objective.
    pub(super) fn record(&mut self, is_remote: bool, missed_objective: bool) {
        let missed = if is_remote {
            &mut self.missed_remotely
        } else {
            &mut self.missed_locally
        };
        *missed += MISSED_STEP * (f64::from(missed_objective) - *missed);
    }

    /// Adjusts the weight to the current gain; `crossing_cost` is the cost per request that crosses zones.
    pub(super) fn update(&mut self, elapsed: Time, crossing_cost: f64) {
        let gain = self.missed_locally - self.missed_remotely - crossing_cost;
        let growth = (GROWTH_RATE * gain * elapsed).exp();
        self.weight = (self.weight * growth).clamp(MIN_WEIGHT, 1.0);
    }
}
