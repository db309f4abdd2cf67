//! FollowerConfig and rules of a follower.

use super::trust::Identity;
use crate::Time;

/// What to do while the list is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalePolicy {
    /// The last list stays in use.
    KeepServers,
    /// No server is used.
    RejectRequests,
}

/// FollowerConfig and rules of a [`super::Follower`].
#[derive(Clone, Debug, PartialEq)]
pub struct FollowerConfig {
    /// Maximum number of entries; further ones are ignored and reported.
    pub max_entries: usize,
    /// Maximum number of entries that are read concurrently.
    pub max_parallel_reads: usize,
    /// The interval at which everything is read again, in seconds, since watches can be lost.
    pub reread_interval: Time,
    /// The time without contact to the registry after which the list is stale, in seconds.
    pub stale_after: Time,
    /// What to do while the list is stale.
    pub stale_policy: StalePolicy,
    /// Whether entries count that do not end with a session.
    pub accepts_persistent: bool,
    /// An entry counts only if nobody but this identity can change or remove it. `None` trusts everybody.
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
