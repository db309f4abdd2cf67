//! Why a [`super::world::World`] could not publish, or its relays are behind; [`super::invariants`] records both as
//! violations.

use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::resource::Version;
use std::fmt;
use thiserror::Error;

/// Why nothing was published.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// No publisher holds the lease.
    #[error("nobody holds the lease")]
    NoLeaseHolder,
    /// The publisher that holds the lease does not run.
    #[error("the publisher does not run")]
    PublisherNotRunning,
    /// The publisher rejected it.
    #[error(transparent)]
    Rejected(#[from] PublishError),
}

/// What a relay has received.
#[derive(Clone, Debug)]
pub struct RelayProgress {
    /// The relay.
    pub relay: u32,
    /// Number of its resources.
    pub resources: usize,
    /// Number of spans of versions that it covers.
    pub spans: usize,
    /// The last version that it covers.
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

/// Not all relays have what the publisher has published.
#[derive(Clone, Debug, Error)]
pub struct RelaysBehind {
    /// Number of resources of the publisher.
    pub published: usize,
    /// The last version of the publisher.
    pub head: Option<Version>,
    /// What each relay that runs has received.
    pub relays: Vec<RelayProgress>,
}

impl fmt::Display for RelaysBehind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let relays: Vec<String> = self.relays.iter().map(RelayProgress::to_string).collect();
        write!(
            f,
            "of {} resources up to {:?} the relays do not have all: {}",
            self.published,
            self.head,
            relays.join("; ")
        )
    }
}
