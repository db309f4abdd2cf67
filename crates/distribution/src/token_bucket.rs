//! The budget of a link: a token bucket.
//!
//! Over any time `t` no more than `rate * t + burst` bytes pass.

use crate::Time;

/// A budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Bytes a second.
    pub bytes_per_second: f64,
    /// Bytes at once.
    pub burst_bytes: f64,
}

/// What a frame takes on its way beside its own bytes: headers of IP and of the transport.
pub const TRANSPORT_OVERHEAD_BYTES: usize = 60;

impl Budget {
    /// From a relay to a node. With [`Budget::UP`] it keeps to 8,000 bytes a second over any 10 s:
    /// `10 * (6000 + 1000) + 8000 + 1900 = 79900`.
    pub const DOWN: Budget = Budget {
        bytes_per_second: 6000.0,
        burst_bytes: 8000.0,
    };
    /// From a node to a relay.
    pub const UP: Budget = Budget {
        bytes_per_second: 1000.0,
        burst_bytes: 1900.0,
    };
    /// Between control machines.
    pub const CONTROL: Budget = Budget {
        bytes_per_second: 1_000_000.0,
        burst_bytes: 64_000.0,
    };

    /// The longest frame that may be written under it.
    pub fn max_frame_bytes(&self) -> usize {
        let half_burst = (self.burst_bytes / 2.0) as usize;
        half_burst
            .clamp(512, crate::frame::MAX_FRAME_BYTES)
            .saturating_sub(TRANSPORT_OVERHEAD_BYTES)
    }
}

/// A budget in use.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    budget: Budget,
    available: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full one.
    pub fn new(budget: Budget, now: Time) -> TokenBucket {
        TokenBucket {
            budget,
            available: budget.burst_bytes,
            refilled_at: now,
        }
    }

    /// Its budget.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// How many bytes may pass now.
    pub fn available(&self, now: Time) -> f64 {
        let passed = (now - self.refilled_at).max(0.0);
        (self.available + passed * self.budget.bytes_per_second).min(self.budget.burst_bytes)
    }

    fn refill(&mut self, now: Time) {
        self.available = self.available(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes a frame's bytes, if they are there.
    pub fn take(&mut self, now: Time, frame_bytes: usize) -> bool {
        self.refill(now);
        let cost = (frame_bytes + TRANSPORT_OVERHEAD_BYTES) as f64;
        let enough = self.available >= cost;
        if enough {
            self.available -= cost;
        }
        enough
    }

    /// When a frame of so many bytes can be sent.
    pub fn ready_at(&self, now: Time, frame_bytes: usize) -> Time {
        let cost = ((frame_bytes + TRANSPORT_OVERHEAD_BYTES) as f64).min(self.budget.burst_bytes);
        let level = self.available(now);
        if level >= cost {
            return now;
        }
        now + (cost - level) / self.budget.bytes_per_second + WAKE_MARGIN
    }
}

/// A wake-up a little later than the moment itself, so that rounding doesn't wake in vain, in seconds.
const WAKE_MARGIN: Time = 1e-6;
