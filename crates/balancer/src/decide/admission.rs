//! Admission: how much of the work asked for is taken on, and which.

use super::state::*;
use crate::interface::*;

/// An answer past this part of the aim counts as late for admission: past the aim is too late to act.
const EARLY: f64 = 0.95;

/// Nothing under this part of the aim counts as late for admission: where the unloaded response is a small
/// part of the aim, three of it are a short queue, and cutting on it refuses work that there is room for.
pub(super) const LATE_FROM: f64 = 0.6;

/// What a shortest deadline of nothing but late answers takes from admission: each takes its part of that by
/// how many come, a quarter at most.
const CUT: f64 = 2.0;
const CUT_MOST: f64 = 0.25;
/// Admission regained in one shortest deadline. Against `CUT`, some ten in a hundred answers may be late.
const GAIN: f64 = 0.2;
/// The share of late answers from which on each counts whole, and none is followed by regaining.
const LATE_FULL: f64 = 0.25;
/// Step of that share, at most.
const LATE_STEP: f64 = 0.125;
/// Admission rests so far past all: a few late answers are chance, and cost nobody a refusal.
pub(super) const HEADROOM: f64 = 1.3;
/// Admission never falls below this, or nothing would show that the trouble has passed.
pub(super) const ADMIT_MIN: f64 = 0.1;

impl Balancer {
    /// This node's part of the traffic: that of one among all, or what it has of what the tenants may send
    /// where that is more: others may be gone.
    pub(super) fn traffic_part(&self) -> f64 {
        let alike = 1.0 / f64::from(self.settings.node_count);
        [alike, (self.arrivals / self.quota).clamp(alike, 1.0)][usize::from(self.quota > 0.0)]
    }

    /// A client's tenant is over its share when this node's part of the quota is used up.
    pub(super) fn over_share(&mut self, now: Time, tenant: TenantId) -> bool {
        let part = self.traffic_part();
        let Some((tokens, at)) = self.tenants.get_mut(tenant as usize) else {
            return false;
        };
        let rate = self.settings.tenants[tenant as usize].quota * part;
        if rate <= 0.0 {
            return false;
        }
        // Two seconds of quota and a few requests: arrivals at one node are uneven.
        let most = 2.0 * rate + 3.0;
        *tokens = if tokens.is_nan() {
            most
        } else {
            (*tokens + rate * (now - *at)).min(most)
        };
        *at = now;
        let over = *tokens < 1.0;
        *tokens -= if over { 0.0 } else { 1.0 };
        over
    }

    /// A late or overdue answer counts at once: a node that sees few has no time for more. Harm: chance.
    pub(super) fn pressure(&mut self, now: Time, late: bool) {
        let shortest = self.shortest(|c| c.deadline);
        let passed = (now - std::mem::replace(&mut self.late_at, now)).max(0.0);
        let step = (1.0 - (-2.0 * passed / shortest).exp()).min(LATE_STEP);
        self.late += step * (f64::from(late) - self.late);
        if late {
            let served = self.admit.min(1.0)
                * if self.arrivals > 0.0 {
                    self.arrivals
                } else {
                    self.came.max(1.0)
                };
            let cut = CUT / shortest / served * (self.late / LATE_FULL).min(1.0);
            self.admit = (self.admit * (1.0 - cut.min(CUT_MOST))).max(ADMIT_MIN);
        }
    }

    pub(super) fn regain(&mut self, dt: Time) {
        let shortest = self.shortest(|c| c.deadline);
        self.late *= (-dt / (4.0 * shortest)).exp();
        if self.late < LATE_FULL {
            self.admit = (self.admit + GAIN * dt / shortest).min(HEADROOM);
        }
    }

    /// Admission follows what the list and the warmth of servers say of capacity, before any answer is late:
    /// by the root, as some room was spare. While all is admitted it takes the headroom at most, or a quiet
    /// fleet that shrinks would refuse beside idle servers.
    pub(super) fn foresee(&mut self, now: Time) {
        let capacity: f64 = self.servers.iter().map(|s| self.warmth(s, now)).sum();
        let before = std::mem::replace(&mut self.capacity, capacity);
        if before > 0.0 && capacity > 0.0 {
            let least = if self.admit >= 1.0 { 1.0 } else { ADMIT_MIN };
            self.admit = (self.admit * (capacity / before).sqrt()).clamp(least, HEADROOM);
        }
    }

    /// Under pressure, what is worth least for its work is refused first; a row at the edge in part.
    pub(super) fn admitted(&mut self, row: usize) -> bool {
        if self.admit >= 1.0 {
            return true;
        }
        let total: f64 = self.tally.iter().map(|t| t.asked).sum();
        let mine = self.value(row);
        let above: f64 = (0..self.tally.len())
            .filter(|o| *o != row && (self.value(*o), *o) > (mine, row))
            .map(|o| self.tally[o].asked)
            .sum();
        let room = (self.admit * total - above) / self.tally[row].asked;
        self.random() < room
    }

    /// What a unit of work of this row adds to the goal; the class served worst carries its own weight.
    fn value(&self, row: usize) -> f64 {
        let density = |row: usize| {
            let class = &self.settings.classes[row / 2];
            let per = if self.settings.weight_per_work {
                1.0
            } else {
                self.class_work[row / 2]
            };
            let share = if row % 2 == 1 {
                self.settings.over_quota_weight
            } else {
                1.0
            };
            class.priority_weight / per * share
        };
        let all: f64 = (0..self.tally.len())
            .map(|o| density(o) * self.tally[o].asked)
            .sum();
        let served =
            |row: usize| self.tally[row].served / self.tally[row].asked.max(f64::MIN_POSITIVE);
        let mut value = self.settings.objective.overall * density(row) / all.max(f64::MIN_POSITIVE);
        let worst = (0..self.tally.len())
            .step_by(2)
            .all(|o| served(row) <= served(o));
        if row.is_multiple_of(2) && worst {
            value +=
                self.settings.objective.worst_class / self.tally[row].asked.max(f64::MIN_POSITIVE);
        }
        value
    }
}

/// From when on an answer tells of waiting: short of the aim, or three unloaded responses if that is sooner.
pub(super) fn early(aim: Time, unloaded: Time) -> Time {
    (EARLY * aim).min(OVERDUE * unloaded)
}
