//! The order in which the members of a registry are tried, and the backoff between attempts.

use crate::Time;
use std::net::SocketAddr;

/// The first pause after all members have failed in a row, in seconds; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Time = 0.1;
const MAX_BACKOFF: Time = 5.0;
/// Enough doublings to reach [`MAX_BACKOFF`].
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
    /// Shuffles the members, so that not all nodes connect to the same one.
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

    /// The member to connect to.
    pub(super) fn current(&self) -> Option<SocketAddr> {
        self.addresses.get(self.next % self.count()).copied()
    }

    /// Records that the current member accepted the session.
    pub(super) fn succeed(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Moves on to the next member.
    pub(super) fn fail(&mut self) {
        self.next = (self.next + 1) % self.count();
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// The pause before the next attempt, in seconds. Each member is tried once without a pause, so that a failed one
    /// costs no time, unless `is_rejected` tells that the next one will reject the session as well.
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

/// A small random number generator, good enough to spread members and pauses.
#[derive(Debug)]
struct SplitMix64(u64);

impl SplitMix64 {
    /// A number from 0 up to, but not including, 1.
    fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
