//! The budget of a link: a token bucket.
//!
//! Over any time `t` no more than `rate * t + burst` bytes pass.

use crate::Time;

/// A budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Bytes a second.
    pub rate: f64,
    /// Bytes at once.
    pub burst: f64,
}

/// What a frame takes on its way beside its own bytes: headers of IP and of the transport.
pub const TRANSPORT_OVERHEAD: usize = 60;

impl Budget {
    /// From a relay to a node. With [`Budget::UP`] it keeps to 8,000 bytes a second over any 10 s:
    /// `10 * (6000 + 1000) + 8000 + 1900 = 79900`.
    pub const DOWN: Budget = Budget {
        rate: 6000.0,
        burst: 8000.0,
    };
    /// From a node to a relay.
    pub const UP: Budget = Budget {
        rate: 1000.0,
        burst: 1900.0,
    };
    /// Between control machines.
    pub const CONTROL: Budget = Budget {
        rate: 1_000_000.0,
        burst: 64_000.0,
    };

    /// The longest frame that may be written under it.
    pub fn frame_most(&self) -> usize {
        let most = (self.burst / 2.0) as usize;
        most.clamp(512, crate::frame::FRAME_MOST)
            .saturating_sub(TRANSPORT_OVERHEAD)
    }
}

/// A budget in use.
#[derive(Clone, Debug)]
pub struct Bucket {
    budget: Budget,
    level: f64,
    at: Time,
}

impl Bucket {
    /// A full one.
    pub fn new(budget: Budget, now: Time) -> Bucket {
        Bucket {
            budget,
            level: budget.burst,
            at: now,
        }
    }

    /// Its budget.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// How many bytes may pass now.
    pub fn level(&self, now: Time) -> f64 {
        let passed = (now - self.at).max(0.0);
        (self.level + passed * self.budget.rate).min(self.budget.burst)
    }

    fn refill(&mut self, now: Time) {
        self.level = self.level(now);
        self.at = self.at.max(now);
    }

    /// Takes a frame's bytes, if they are there.
    pub fn take(&mut self, now: Time, frame: usize) -> bool {
        self.refill(now);
        let cost = (frame + TRANSPORT_OVERHEAD) as f64;
        let enough = self.level >= cost;
        if enough {
            self.level -= cost;
        }
        enough
    }

    /// When a frame of so many bytes can be sent.
    pub fn ready(&self, now: Time, frame: usize) -> Time {
        let cost = ((frame + TRANSPORT_OVERHEAD) as f64).min(self.budget.burst);
        let level = self.level(now);
        if level >= cost {
            return now;
        }
        now + (cost - level) / self.budget.rate + WAKE_MARGIN
    }
}

/// A wake-up a little later than the moment itself, so that rounding doesn't wake in vain, in seconds.
const WAKE_MARGIN: Time = 1e-6;
