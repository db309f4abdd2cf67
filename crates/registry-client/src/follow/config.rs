//! The configuration of a follower: limits, intervals and policies.

use super::trust::Identity;
use crate::Time;

/// Which servers are used while the list is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalePolicy {
    /// The servers of the last known list.
    KeepServers,
    /// None.
    RejectRequests,
}

/// Configuration of a [`super::Follower`].
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerConfig {
    /// Maximum number of entries; further ones are ignored and reported.
    pub max_entries: usize,
    /// Maximum number of concurrent reads of entries.
    pub max_parallel_reads: usize,
    /// The interval at which everything is read again, in seconds, since watch events can be lost.
    pub reread_interval: Time,
    /// The time without contact with the registry after which the list is stale, in seconds.
    pub stale_after: Time,
    /// Which servers are used while the list is stale.
    pub stale_policy: StalePolicy,
    /// Whether entries that do not end with a session are accepted.
    pub accepts_persistent: bool,
    /// Accept only entries that nobody but this identity can change or remove. `None` trusts everybody.
    pub owner: Option<Identity>,
}

impl Default for FollowerConfig {
    fn default() -> Self {
        FollowerConfig {
            max_entries: 16_384,
            max_parallel_reads: 64,
            reread_interval: 30.0,
            stale_after: 60.0,
            stale_policy: StalePolicy::KeepServers,
            accepts_persistent: false,
            owner: None,
        }
    }
}
