//! Errors of publishing in a [`super::world::World`], and the state of relays that are behind. [`super::invariants`] records
//! both as violations.

use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::resource::Version;
use std::fmt;
use thiserror::Error;

/// Why a change was not published.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// No publisher holds the lease.
    #[error("no publisher holds the lease")]
    NoLeaseHolder,
    /// The publisher that holds the lease does not run.
    #[error("the publisher that holds the lease is not running")]
    PublisherNotRunning,
    /// The publisher rejected the change.
    #[error(transparent)]
    Rejected(#[from] PublishError),
}

/// How far a relay has followed the publisher.
#[derive(Clone, Debug)]
pub struct RelayProgress {
    /// The relay.
    pub relay: u32,
    /// Number of resources that it has.
    pub resources: usize,
    /// Number of contiguous version ranges that it has received.
    pub spans: usize,
    /// The last version that it has received.
    pub last_version: Version,
    /// The peer that it follows.
    pub following: Option<PeerId>,
    /// Number of its sessions that have ended.
    pub sessions_ended: u64,
}

impl fmt::Display for RelayProgress {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let RelayProgress {
            relay,
            resources,
            spans,
            last_version,
            following,
            sessions_ended,
        } = self;
        write!(
            f,
            "relay {relay} has {resources} resources in {spans} spans up to {last_version:?} and follows {following:?}, \
             {sessions_ended} sessions ended"
        )
    }
}

/// Not all relays have received everything that the publisher has published.
#[derive(Clone, Debug, Error)]
pub struct RelaysBehind {
    /// Number of resources of the publisher.
    pub published: usize,
    /// The last version that was published; `None` if there is no publisher.
    pub head: Option<Version>,
    /// The progress of each running relay.
    pub relays: Vec<RelayProgress>,
}

impl fmt::Display for RelaysBehind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let relays: Vec<String> = self.relays.iter().map(RelayProgress::to_string).collect();
        write!(
            f,
            "not all relays have all {} resources up to {:?}: {}",
            self.published,
            self.head,
            relays.join("; ")
        )
    }
}
