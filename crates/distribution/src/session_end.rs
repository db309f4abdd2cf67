//! Why a session ends: said in a closing frame, and reported to the driver.

use serde::{Deserialize, Serialize};

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Nothing was heard for too long.
    Silent,
    /// Its own knowledge is too old.
    Stale,
    /// It sent what was not asked for, a wrong hash, more than a body's length, or what can't be read.
    Misbehaved,
    /// It sent more than its budget.
    Flooded,
    /// It does not know the session.
    Unknown,
    /// It has no room.
    Busy,
    /// It is an author without the lease, or with an earlier token.
    Fenced,
    /// A new session has taken its place.
    Replaced,
}
