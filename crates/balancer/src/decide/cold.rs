//! Cold servers: how much of their capacity they have, and what may be sent to them.

use super::state::*;
use crate::interface::*;

/// Parts of a cold server's tolerance that all nodes send in a row: with very many of them, what the root of
/// one over their number adds, the most; and what these and the work that idle nodes may save up come to.
const COLD_PART: [f64; 4] = [0.45, 0.6, 0.8, 1.0];

/// Capacity assumed before any server was seen working: half of one standard core.
pub(super) const COLD_PRIOR: f64 = 0.5;

/// A kind is taken for so much faster or slower than the mean at most: few answers tell of each.
const KIND_MOST: f64 = 0.6;

impl Balancer {
    /// The least share of its capacity that a fresh server has by now.
    pub(super) fn warmth(&self, s: &Server, now: Time) -> f64 {
        let rules = &self.settings.rules;
        let age = (now - s.entry.started_at).max(0.0);
        if s.entry.started_at <= 0.0 || age >= rules.slow_start_duration {
            return 1.0;
        }
        rules.initial_capacity + (1.0 - rules.initial_capacity) * age / rules.slow_start_duration
    }

    /// Slow start: a cold server's draws shrink with its capacity, and stop beyond this node's part of what
    /// it tolerates. Who has a turn sends for all; a large request is saved for, and in part owed.
    pub(super) fn cold_share(&self, s: &Server, r: &Request, now: Time) -> f64 {
        let (warmth, saved) = (self.warmth(s, now), s.most / self.typical - 1.0);
        let may = s.budget
            >= r.work.clamp(
                self.typical,
                0.5 * (s.most + self.typical).max(2.0 * self.typical),
            );
        [f64::from(may) * warmth / saved.clamp(0.1, 1.0), 1.0][usize::from(warmth >= 1.0)]
    }

    /// How fast each kind works against the mean of this node's part, by its averages: listed sizes may say
    /// nothing of that, and a slow box bears less than servers do on the whole.
    fn pace_of_kinds(&self) -> Vec<f64> {
        let kinds = self
            .servers
            .iter()
            .map(|s| usize::from(s.entry.machine_type) + 1)
            .max()
            .unwrap_or(0);
        let mut sums = vec![(0.0, 0.0); kinds];
        for (s, average) in self
            .servers
            .iter()
            .zip(&self.automaton.average)
            .filter(|(s, _)| s.own)
        {
            let k = &mut sums[usize::from(s.entry.machine_type)];
            *k = (k.0 + 1.0, k.1 + average);
        }
        let all = sums.iter().fold((0.0, 0.0), |a, k| (a.0 + k.0, a.1 + k.1));
        let pace = |k: &(f64, f64)| {
            if k.1 > 0.0 {
                (all.1 / all.0) / (k.1 / k.0)
            } else {
                1.0
            }
        };
        sums.iter()
            .map(|k| pace(k).clamp(1.0 - KIND_MOST, 1.0 + KIND_MOST))
            .collect()
    }

    /// A token bucket for each cold server fills at this node's part of its tolerance, from a drawn level.
    /// What is not used lapses, or the first burst of idle nodes, a request each, would push a server over.
    pub(super) fn refill_cold(&mut self, now: Time, dt: Time) {
        let (rules, nodes) = (
            &self.settings.rules,
            f64::from(self.block(self.servers.len() as f64)),
        );
        let part = (COLD_PART[0] + COLD_PART[1] / nodes.sqrt()).min(COLD_PART[2]);
        let (size, typical, pace) = (self.mean_size(), self.typical, self.pace_of_kinds());
        for i in 0..self.servers.len() {
            let warmth = self.warmth(&self.servers[i], now);
            if warmth < 1.0 {
                let s = &mut self.servers[i];
                let size = f64::from(s.own)
                    * listed(self.settings.has_server_weights, s.entry.weight / size);
                let nodes = nodes * f64::from(s.entry.local_balancers.max(1));
                let size = size * pace[usize::from(s.entry.machine_type)];
                let rate = rules.overload_factor * self.bearable * warmth * size / nodes;
                s.most = typical + (COLD_PART[3] - part) * rate * rules.overload_window;
                s.budget += part * rate * dt;
                s.budget -= typical * ((s.budget - s.most) / typical).ceil().max(0.0);
            }
        }
    }
}
