//! Cold servers: how much of their capacity they have, and what may be sent to them.

use super::state::*;
use crate::interface::*;

/// Part of a cold server's tolerance that all nodes send it in a row, and as much that they may save up while
/// they have nothing to send. Together they leave a fifth for uneven nodes, uneven work and chance.
const COLD_PART: f64 = 0.4;

/// Capacity assumed for a server before any was seen working: half of one standard core.
pub(super) const COLD_PRIOR: f64 = 0.5;

/// A kind is taken for so much faster or slower than the mean at most: few answers tell of each.
const KIND_MOST: f64 = 0.6;

impl Balancer {
    /// The least share of its capacity that a fresh server has by now.
    pub(super) fn warmth(&self, s: &Server, now: Time) -> f64 {
        let rules = &self.settings.rules;
        let age = (now - s.entry.ready_at).max(0.0);
        if s.entry.ready_at <= 0.0 || age >= rules.warm_after {
            return 1.0;
        }
        rules.cold_from + (1.0 - rules.cold_from) * age / rules.warm_after
    }

    /// Slow start: a cold server's draws shrink with its capacity, and stop beyond this node's part of what
    /// it tolerates. One typical request has to be saved; what a larger one takes more is owed.
    pub(super) fn cold_share(&self, s: &Server, now: Time) -> f64 {
        let warmth = self.warmth(s, now);
        [f64::from(s.budget >= self.typical) * warmth / s.turn, 1.0][usize::from(warmth >= 1.0)]
    }

    /// How fast each kind works against the mean of this node's part, by its averages: listed sizes may say
    /// nothing of that, and a slow box bears less than servers do on the whole.
    fn pace_of_kinds(&self) -> Vec<f64> {
        let kinds = self.servers.iter().map(|s| usize::from(s.entry.kind) + 1).max().unwrap_or(0);
        let mut sums = vec![(0.0, 0.0); kinds];
        for (s, average) in self.servers.iter().zip(&self.automaton.average).filter(|(s, _)| s.own) {
            let k = &mut sums[usize::from(s.entry.kind)];
            *k = (k.0 + 1.0, k.1 + average);
        }
        let all = sums.iter().fold((0.0, 0.0), |a, k| (a.0 + k.0, a.1 + k.1));
        let pace = |k: &(f64, f64)| if k.1 > 0.0 { (all.1 / all.0) / (k.1 / k.0) } else { 1.0 };
        sums.iter().map(|k| pace(k).clamp(1.0 - KIND_MOST, 1.0 + KIND_MOST)).collect()
    }

    /// A token bucket for each cold server fills at this node's part of its tolerance, from a drawn level:
    /// nodes whose part is under a request a window have turns. A turn not used in time lapses, or idle nodes
    /// with one each would push a server over by the first burst; who has one sends for all.
    pub(super) fn refill_cold(&mut self, now: Time, dt: Time) {
        let (rules, nodes) = (&self.settings.rules, f64::from(self.block(self.servers.len() as f64)));
        let rate = COLD_PART * rules.overload_factor * self.bearable / nodes;
        let (size, typical, pace) = (self.mean_size(), self.typical, self.pace_of_kinds());
        for i in 0..self.servers.len() {
            let warmth = self.warmth(&self.servers[i], now);
            if warmth < 1.0 {
                let s = &mut self.servers[i];
                let rate = f64::from(s.own) * rate * warmth / f64::from(s.entry.sharers.max(1));
                let size = listed(self.settings.weighted, s.entry.weight / size);
                let rate = rate * size * pace[usize::from(s.entry.kind)];
                let saved = rate * rules.tip_after;
                s.turn = (saved / typical).clamp(0.1, 1.0);
                s.budget += rate * dt;
                s.budget -= typical * ((s.budget - saved) / typical - 1.0).ceil().max(0.0);
            }
        }
    }
}
