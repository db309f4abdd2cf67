//! Requests a second, with a burst: a token bucket.

use crate::Time;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Rate {
    per_second: f64,
    burst: f64,
    level: f64,
    at: Time,
}

impl Rate {
    /// A full bucket. `per_second` and `burst` are positive numbers.
    pub fn new(now: Time, per_second: f64, burst: f64) -> Self {
        Rate {
            per_second,
            burst: burst.max(1.0),
            level: burst.max(1.0),
            at: now,
        }
    }

    /// Changes the figures; what was taken stays taken.
    pub fn set(&mut self, now: Time, per_second: f64, burst: f64) {
        self.fill(now);
        (self.per_second, self.burst) = (per_second, burst.max(1.0));
        self.level = self.level.min(self.burst);
    }

    fn fill(&mut self, now: Time) {
        // A clock that steps back fills nothing, and the time it repeats is not counted again.
        let passed = (now - self.at).max(0.0);
        self.level = (self.level + passed * self.per_second).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Takes one.
    ///
    /// # Errors
    /// In how many seconds the next is to be had.
    pub fn take(&mut self, now: Time) -> Result<(), Time> {
        self.fill(now);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err((1.0 - self.level) / self.per_second)
    }

    /// Gives back one that was not used.
    pub fn give(&mut self) {
        self.level = (self.level + 1.0).min(self.burst);
    }
}
