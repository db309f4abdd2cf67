//! The draw of a server: masks and weights over the vector.

use super::state::*;
use crate::chance::{pick, rendezvous};
use crate::interface::*;

/// How steeply a server's weight falls with what this node has out there: a draw should find the few that are
/// free. The vector alone learns of a queue when the answers that waited in it are back.
const QUEUE_SHY: i32 = 8;

/// How steeply it falls with the server's average against the mean, and the most that counts for.
const SLOW_SHY: i32 = 2;

const SLOW_MOST: f64 = 3.0;

/// The average of a server that was sent nothing for so long, or nothing yet, is hearsay: it shuns nobody.
const UNSEEN: Time = 2.0;

/// A returning server gets this share of its draws until it has answered well once.
const RETURN_SHARE: f64 = 0.3;

/// What may not be repeated goes to a server that has not answered well yet, or not since it failed, with
/// this part of its draws where there is something else to try it with.
const UNSOUND: f64 = 0.2;

/// A key that draws this part of a server's fair share of traffic is hot.
const HOT_KEY: f64 = 0.5;

impl Balancer {
    /// Mask, weigh, renormalise, draw from p. Zone, load and health give way together if they leave nobody;
    /// drained, cold and effect masks never fall.
    pub(super) fn draw(&mut self, now: Time, id: RequestId) -> Option<usize> {
        let fresh = self.random();
        let r = self.requests.get(&id)?;
        let near = self.settings.zone;
        let size = self.mean_size();
        let mean = self.mean_by(now, |p| p);
        let safe = |c: &Class| c.idempotency == Idempotency::Idempotent;
        let risky = !safe(&self.settings.classes[r.class as usize])
            && self.settings.classes.iter().any(safe);
        for healthy in [true, false] {
            let mut total = 0.0;
            self.weights.clear();
            for ((s, p), average) in self
                .servers
                .iter()
                .zip(&self.automaton.p)
                .zip(&self.automaton.average)
            {
                let mut w = if self.may_take(s, r) {
                    p * self.cold_share(s, r, now)
                } else {
                    0.0
                };
                if healthy {
                    let least = if now - s.asked < UNSEEN { 0.0 } else { 1.0 };
                    let pace = pace(mean / average).max(least);
                    w *= self.health(s, r, risky, now) * self.room(s, size) * pace;
                    w *= if near.is_some_and(|z| z != s.entry.zone) {
                        self.spill
                    } else {
                        1.0
                    };
                }
                total += w;
                self.weights.push(w);
            }
            if total > 0.0 {
                let sticky = self
                    .settings
                    .has_key_affinity
                    .then_some(r.key)
                    .flatten()
                    .filter(|k| !self.hot(*k));
                let hashes = self.servers.iter().map(|s| s.entry.hash);
                return match sticky {
                    Some(key) => rendezvous(key, hashes.zip(self.weights.iter().copied())),
                    None => pick(&self.weights, fresh * total),
                };
            }
        }
        None
    }

    /// What p can't know yet: a queue that forms at a server. The weight falls with what this node has out
    /// there, against the server's listed size where the list tells one. A node that has few out, as among a
    /// hundred, is hardly touched by this.
    pub(super) fn room(&self, s: &Server, mean: f64) -> f64 {
        (1.0 + f64::from(s.open) / listed(self.settings.has_server_weights, s.entry.weight / mean))
            .powi(-QUEUE_SHY)
    }

    /// A keyed request that may have run goes only where its repeat is dropped.
    fn may_take(&self, s: &Server, r: &Request) -> bool {
        match (self.settings.classes[r.class as usize].idempotency, r.ran) {
            (
                Idempotency::Keyed {
                    scope: KeyScope::Zone,
                    ..
                },
                Some((zone, ..)),
            ) => s.entry.zone == zone,
            (
                Idempotency::Keyed {
                    scope: KeyScope::Cell,
                    ..
                },
                Some((_, cell, _)),
            ) => s.entry.cell == cell,
            _ => true,
        }
    }

    /// Ejected, overdue, tried before, faulty to others: out. Back, or tried for all: little, one at a time,
    /// nothing `risky`: that may not be repeated, where another class may. In doubt: little of what is.
    pub(super) fn health(&self, s: &Server, r: &Request, risky: bool, now: Time) -> f64 {
        let told = s.told_until > now;
        if s.ejected_until > now
            || s.overdue > 0
            || (told && !s.tries)
            || r.tried.contains(&s.entry.server)
        {
            return 0.0;
        }
        if !told && (!s.failing || (self.common && !s.dead)) {
            return if risky && !s.sound { UNSOUND } else { 1.0 };
        }
        RETURN_SHARE * f64::from(!risky && s.open == 0)
    }

    /// A key that alone would fill much of a server is drawn afresh each time.
    pub(super) fn hot(&self, key: u64) -> bool {
        let seen = self.keys[key as usize % KEY_SLOTS];
        let eligible = self.weights.iter().filter(|w| **w > 0.0).count() as f64;
        seen > 2.0 && seen * eligible > HOT_KEY * self.keys.iter().sum::<f64>()
    }
}

/// What a server's pace, the mean response over its own, is worth in the draw. A payoff moves an entry by a
/// tenth of its share, so that the vector is behind by seconds where servers differ by a factor.
pub(super) fn pace(pace: f64) -> f64 {
    if pace.is_finite() {
        pace.clamp(1.0 / SLOW_MOST, SLOW_MOST).powi(SLOW_SHY)
    } else {
        1.0
    }
}
