//! Whether the relays have received everything that the publisher has published, and their progress.

use super::World;
use crate::control::errors::{RelayProgress, RelaysBehind};
use crate::control::machine::Machine;
use reelfall_distribution::publisher::Publisher;

impl World {
    /// The progress of the relays, for the report that they are behind.
    pub fn relays_behind(&self) -> RelaysBehind {
        let publisher = self.publisher();
        let relays = self.layout.relays().iter();
        RelaysBehind {
            published: publisher.map_or(0, |publisher| publisher.log().changes().count()),
            head: publisher.map(Publisher::head),
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

    /// Whether all running relays have received everything that the publisher has published.
    pub fn relays_are_up_to_date(&self) -> bool {
        let Some(head) = self.publisher().map(Publisher::head) else {
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
