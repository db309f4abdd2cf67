//! The orders in which the entries of a [`super::Table`] are sent, and expire.

use crate::entry::Key;

/// An entry that has to be sent to others, in the order of sending.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingEntry {
    /// How often it was sent.
    pub(super) transmissions: u32,
    pub(super) key: Key,
}

/// When an entry expires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Expiry {
    /// In microseconds of the node's clock.
    pub(super) at_us: u64,
    pub(super) key: Key,
}
