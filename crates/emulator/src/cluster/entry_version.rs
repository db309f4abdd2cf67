//! Versions of entries, by which their creation is recorded and their propagation is checked.

use reelfall_cluster::entry::{Key, Version};

/// A version of an entry.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryVersion {
    pub(super) key: Key,
    pub(super) version: Version,
}
