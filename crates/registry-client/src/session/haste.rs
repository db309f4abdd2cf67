//! The timeouts of a session whose owner is about to exit, and can't wait for as long as a running one.
//!
//! A member that is silent is left soon, since another one may respond. The timeout doubles each time, so that a registry whose
//! members are all slow is not left for ever by a timeout that none of them meets.

use super::LossReason;
use crate::Time;

/// How long the first member may take to respond, in seconds.
const INITIAL_TIMEOUT: Time = 0.25;
/// Maximum number of doublings of the timeout, which then exceeds that of a session without haste.
const MAX_DOUBLINGS: u32 = 10;
/// Maximum delay between two attempts to connect, in seconds.
pub(super) const MAX_BACKOFF: Time = 0.1;

/// The state of a session that makes haste.
#[derive(Debug)]
pub(super) struct Haste {
    since: Time,
    /// How often a member has not responded in time.
    timeouts: u32,
}

impl Haste {
    pub(super) fn new(now: Time) -> Haste {
        Haste {
            since: now,
            timeouts: 0,
        }
    }

    /// When a response is overdue that has been awaited since this time.
    pub(super) fn response_due(&self, awaited_since: Time) -> Time {
        let doublings = self.timeouts.min(MAX_DOUBLINGS);
        let timeout = INITIAL_TIMEOUT * f64::from(2u32.saturating_pow(doublings));
        awaited_since.max(self.since) + timeout
    }

    pub(super) fn record_loss(&mut self, reason: LossReason) {
        if reason == LossReason::Timeout {
            self.timeouts = self.timeouts.saturating_add(1);
        }
    }
}
