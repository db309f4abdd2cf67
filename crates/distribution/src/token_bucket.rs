//! Flow control by token bucket.
//!
//! In any interval of `t` seconds no more than `bytes_per_second * t + burst_bytes` bytes pass.

use crate::Time;

/// Rate and burst of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Refill rate.
    pub bytes_per_second: f64,
    /// Capacity.
    pub burst_bytes: f64,
}

/// Size of the IP and transport headers of a frame, in bytes.
pub const TRANSPORT_OVERHEAD_BYTES: usize = 60;

impl Budget {
    /// From a relay to a node. Together with [`Budget::NODE_UPLINK`] it stays within 8,000 bytes per second over any 10
    /// s: `10 * (6000 + 1000) + 8000 + 1900 = 79900`.
    pub const NODE_DOWNLINK: Budget = Budget {
        bytes_per_second: 6000.0,
        burst_bytes: 8000.0,
    };
    /// From a node to a relay.
    pub const NODE_UPLINK: Budget = Budget {
        bytes_per_second: 1000.0,
        burst_bytes: 1900.0,
    };
    /// Between publishers and relays.
    pub const CONTROL: Budget = Budget {
        bytes_per_second: 1_000_000.0,
        burst_bytes: 64_000.0,
    };

    /// The maximum size of a frame under this budget: half of the burst, within the limits of frames.
    pub fn max_frame_bytes(&self) -> usize {
        let half_burst = (self.burst_bytes / 2.0) as usize;
        half_burst
            .clamp(512, crate::frame::MAX_FRAME_BYTES)
            .saturating_sub(TRANSPORT_OVERHEAD_BYTES)
    }
}

/// A token bucket.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    budget: Budget,
    available: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(budget: Budget, now: Time) -> TokenBucket {
        TokenBucket {
            budget,
            available: budget.burst_bytes,
            refilled_at: now,
        }
    }

    /// Its rate and burst.
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// Bytes that may pass now.
    pub fn available(&self, now: Time) -> f64 {
        let passed = (now - self.refilled_at).max(0.0);
        (self.available + passed * self.budget.bytes_per_second).min(self.budget.burst_bytes)
    }

    fn refill(&mut self, now: Time) {
        self.available = self.available(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes the bytes of a frame and its transport overhead, if they are available; returns whether they were.
    pub fn take(&mut self, now: Time, frame_bytes: usize) -> bool {
        self.refill(now);
        let cost = (frame_bytes + TRANSPORT_OVERHEAD_BYTES) as f64;
        let is_available = self.available >= cost;
        if is_available {
            self.available -= cost;
        }
        is_available
    }

    /// When a frame of this size can be sent.
    pub fn ready_at(&self, now: Time, frame_bytes: usize) -> Time {
        let cost = ((frame_bytes + TRANSPORT_OVERHEAD_BYTES) as f64).min(self.budget.burst_bytes);
        let level = self.available(now);
        if level >= cost {
            return now;
        }
        now + (cost - level) / self.budget.bytes_per_second + WAKE_MARGIN
    }
}

/// Delay in seconds that keeps rounding from waking the driver too early.
const WAKE_MARGIN: Time = 1e-6;
