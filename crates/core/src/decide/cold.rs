//! Cold servers: how much of their capacity they have, and what may be sent to them.

use super::state::*;
use crate::interface::*;

/// Part of a cold server's stated tolerance that is used; the rest covers uneven nodes and chance.
const COLD_SAFETY: f64 = 0.7;

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
    /// it tolerates.
    pub(super) fn cold_share(&self, s: &Server, r: &Request, now: Time) -> f64 {
        let warmth = self.warmth(s, now);
        warmth * f64::from(warmth >= 1.0 || s.budget >= r.work)
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

    /// The budget of a cold server fills at this node's part of its tolerance. It starts at chance, so that
    /// nodes whose part is under one request a window do not all send at once.
    pub(super) fn refill_cold(&mut self, now: Time, dt: Time) {
        let rules = &self.settings.rules;
        let nodes = f64::from(self.block(self.servers.len() as f64));
        let rate = COLD_SAFETY * rules.overload_factor * self.bearable / nodes;
        let size = self.mean_size();
        let pace = self.pace_of_kinds();
        for i in 0..self.servers.len() {
            let warmth = self.warmth(&self.servers[i], now);
            if warmth < 1.0 {
                let s = &mut self.servers[i];
                if !s.own {
                    s.budget = 0.0;
                    continue;
                }
                let rate = rate * listed(self.settings.weighted, s.entry.weight / size);
                // Other balancers of this node that send to it have their parts.
                let rate = rate * pace[usize::from(s.entry.kind)] / f64::from(s.entry.sharers.max(1));
                // One that may go at once is left to each; were it more, idle balancers would save up a push.
                let least = if s.entry.sharers > 1 { self.typical } else { 2.0 * self.typical };
                let most = (rate * warmth * rules.tip_after).max(least);
                s.budget = (s.budget + rate * warmth * dt).min(most);
            }
        }
    }
}
