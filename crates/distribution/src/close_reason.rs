//! Why a session ends: stated in the frame that closes it, and reported to the driver.

use serde::{Deserialize, Serialize};

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CloseReason {
    /// No frame was received within the timeout.
    TimedOut,
    /// The upstream's replica is too old.
    Stale,
    /// The peer sent what was not requested, a wrong hash, an oversized body, or an unreadable frame.
    ProtocolViolation,
    /// The peer exceeded its receive budget.
    RateExceeded,
    /// The peer does not know the session.
    UnknownSession,
    /// The peer, or this process, has no capacity.
    CapacityExceeded,
    /// The publisher does not hold the lease, or has an earlier fencing token.
    Fenced,
    /// A new session replaces it.
    Replaced,
}
