//! Why a session ends: said in a closing frame, and reported to the driver.

use serde::{Deserialize, Serialize};

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CloseReason {
    /// Nothing was heard for too long.
    TimedOut,
    /// Its own knowledge is too old.
    Stale,
    /// It sent what was not asked for, a wrong hash, more than a body's length, or what can't be read.
    ProtocolViolation,
    /// It sent more than its budget.
    RateExceeded,
    /// It does not know the session.
    UnknownSession,
    /// It has no room.
    CapacityExceeded,
    /// It is an author without the lease, or with an earlier token.
    Fenced,
    /// A new session has taken its place.
    Replaced,
}
