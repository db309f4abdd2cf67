//! What a server bears that has just started.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How a server that has just started comes to its capacity, and what it bears until then.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// The share of its capacity that it starts with; the rest comes evenly.
    pub from: f64,
    /// It is warm after this time.
    pub warm_after: Duration,
    /// Sent more than this multiple of its present capacity, it falls over.
    pub factor: f64,
    /// The time over which that counts.
    pub within: Duration,
}

impl Default for Cold {
    /// As a service's settings have it by default.
    fn default() -> Cold {
        let (warm_after, within) = (Duration::from_secs(10), Duration::from_secs(1));
        Cold {
            from: 0.33,
            warm_after,
            factor: 3.0,
            within,
        }
    }
}

/// What a cold server was sent.
pub(super) struct Warming {
    pub(super) cold: Cold,
    pub(super) began: Instant,
    pub(super) sent: VecDeque<Instant>,
    pub(super) push: f64,
}

impl Warming {
    /// A request has come to a server that does so many a second when warm. Whether it bears it.
    pub(super) fn bears(&mut self, now: Instant, capacity: f64) -> bool {
        let Cold {
            from,
            warm_after,
            factor,
            within,
        } = self.cold;
        let age = now.saturating_duration_since(self.began);
        if age < warm_after {
            self.sent.push_back(now);
            while self
                .sent
                .front()
                .is_some_and(|at| now.saturating_duration_since(*at) >= within)
            {
                self.sent.pop_front();
            }
            let share = from + (1.0 - from) * age.as_secs_f64() / warm_after.as_secs_f64();
            let push = self.sent.len() as f64 / (capacity * share * within.as_secs_f64());
            self.push = self.push.max(push);
        }
        // Once fallen, it stays so.
        self.push <= factor
    }
}
