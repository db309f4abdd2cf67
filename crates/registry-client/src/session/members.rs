//! The order in which the members of a registry are tried, and the backoff between attempts.

use crate::Time;
use std::net::SocketAddr;

/// The base of the delay, in seconds. It doubles with every round in which all members fail, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Time = 0.1;
/// Maximum delay before random variation, in seconds.
const MAX_BACKOFF: Time = 5.0;
/// Maximum number of doublings of the delay, enough to reach [`MAX_BACKOFF`].
const MAX_DOUBLINGS: usize = 10;

/// The members of a registry in random order, tried round-robin.
#[derive(Debug)]
pub(super) struct Members {
    addresses: Vec<SocketAddr>,
    next: usize,
    consecutive_failures: u32,
    random: SplitMix64,
}

impl Members {
    /// Shuffles the members, so that nodes do not all connect to the same one.
    pub(super) fn new(addresses: Vec<SocketAddr>, seed: u64) -> Self {
        let mut members = Members {
            addresses,
            next: 0,
            consecutive_failures: 0,
            random: SplitMix64(seed),
        };
        for last in (1..members.addresses.len()).rev() {
            let other = (members.random.fraction() * (last + 1) as f64) as usize;
            members.addresses.swap(last, other.min(last));
        }
        members
    }

    fn count(&self) -> usize {
        self.addresses.len().max(1)
    }

    /// The member to connect to next.
    pub(super) fn current(&self) -> Option<SocketAddr> {
        self.addresses.get(self.next % self.count()).copied()
    }

    /// Records that the current member granted the session.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failure of the current member, and moves on to the next one.
    pub(super) fn record_failure(&mut self) {
        self.next = (self.next + 1) % self.count();
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// The delay before the next attempt, in seconds. Each member is tried once without a delay, so that the failure of
    /// one costs no time, unless the session was rejected: then the other members will reject it as well.
    pub(super) fn backoff(&mut self, is_rejected: bool) -> Time {
        let rounds = self.consecutive_failures as usize / self.count();
        if rounds == 0 && !is_rejected {
            return 0.0;
        }
        let doublings = rounds.min(MAX_DOUBLINGS) as u32;
        (INITIAL_BACKOFF * f64::from(2u32.saturating_pow(doublings))).min(MAX_BACKOFF)
            * (0.5 + self.random.fraction())
    }
}

/// The SplitMix64 random number generator, which is good enough to spread connections and delays.
#[derive(Debug)]
struct SplitMix64(u64);

impl SplitMix64 {
    /// The next number, at least 0 and less than 1.
    fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
