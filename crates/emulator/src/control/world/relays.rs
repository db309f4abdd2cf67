//! Whether the relays have all that the author has published, and what they lack if not.

use super::World;
use crate::control::machine::Machine;
use reelfall_distribution::author::Author;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::Version;
use std::fmt;
use thiserror::Error;

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

/// Not all relays have what the author has published.
#[derive(Clone, Debug, Error)]
pub struct RelaysBehind {
    /// Number of resources of the author.
    pub published: usize,
    /// The last version of the author.
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

impl World {
    /// What the relays have received so far.
    pub fn relays_behind(&self) -> RelaysBehind {
        let author = self.author();
        let relays = self.layout.relays().iter();
        RelaysBehind {
            published: author.map_or(0, |author| author.log().changes().count()),
            head: author.map(Author::head),
            relays: relays.filter_map(|relay| self.progress(*relay)).collect(),
        }
    }

    fn progress(&self, relay: u32) -> Option<RelayProgress> {
        let machine = self.network.endpoint(relay)?;
        let process = machine.as_relay()?;
        Some(RelayProgress {
            relay,
            resources: process.log().changes().count(),
            spans: process.coverage().spans().len(),
            last_version: process.coverage().last_version(),
            following: process.following(),
            sessions_ended: machine.sessions_ended,
        })
    }

    /// Whether all relays that run cover all that the author has published.
    pub fn relays_have_all(&self) -> bool {
        let Some(head) = self.author().map(Author::head) else {
            return false;
        };
        let relays = self
            .layout
            .relays()
            .iter()
            .filter_map(|relay| self.network.endpoint(*relay));
        let mut relays = relays.filter_map(Machine::as_relay);
        relays.all(|relay| relay.coverage().contiguous_end() >= head)
    }
}
