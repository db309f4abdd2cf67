//! Identifies a version of an entry, for which the cluster records the time of creation.

use reelfall_cluster::entry::{Key, Version};

/// The key and version of an entry.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EntryVersion {
    pub(super) key: Key,
    pub(super) version: Version,
}
