//! Sort keys for the entries of a [`super::Table`]: by the number of transmissions, and by expiry.

use crate::entry::Key;

/// An entry that still has to be sent to other nodes. The least often sent ones come first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PendingEntry {
    /// How often the entry was sent.
    pub(super) transmissions: u32,
    pub(super) key: Key,
}

/// When an entry expires. The earliest expiry comes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Expiry {
    /// Time of the expiry, in microseconds of the node's clock.
    pub(super) at_us: u64,
    pub(super) key: Key,
}
