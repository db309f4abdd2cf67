//! What must hold at the end of a schedule: no session was closed for a violation, all nodes have converged, and no
//! change of a single publisher is lost.

use crate::schedule::{selectors_of, Schedule, ITEMS_PER_GROUP};
use crate::world::{Config, RecordedEvent, REJECTED_BY_ODD_NODES};
use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publisher::Publisher;
use reelfall_distribution::resource::{Key, Name, Slot};
use reelfall_distribution::Time;

/// Maximum staleness that a node reports once all nodes have converged, in seconds.
const MAX_STALENESS: Time = 15.0;
/// Number of leading bytes of bodies that are compared, and shown on failure; random bodies differ in them.
const COMPARED_BYTES: usize = 9;

impl Schedule {
    pub fn check(&self) {
        self.world.invariants.verify();
        self.check_close_reasons();
        let holder = self.lease_holder.unwrap();
        assert!(
            self.world.publisher_of(holder).is_publishing(),
            "no publisher is active"
        );
        let nodes = self.world.ids(|config| matches!(config, Config::Node(..)));
        for id in nodes {
            self.check_node(id, holder);
        }
        if self.publishers.len() == 1 {
            self.check_nothing_lost(holder);
        }
    }

    fn check_close_reasons(&self) {
        for RecordedEvent { at, process, event } in &self.world.invariants.events {
            let (Event::Left { reason, .. } | Event::ChildLost { reason, .. }) = event else {
                continue;
            };
            let is_violation = matches!(
                reason,
                CloseReason::ProtocolViolation | CloseReason::RateExceeded
            );
            assert!(
                !is_violation,
                "{at}: {process:?} closed the session of a valid peer: {event:?}"
            );
        }
    }

    fn check_node(&self, id: PeerId, holder: u32) {
        let publisher = self.world.publisher_of(holder);
        let node = self.world.node_of(id.0);
        assert_eq!(
            node.head(),
            publisher.head(),
            "{id:?} follows {:?}",
            node.following()
        );
        let process = &self.world.processes[&id];
        assert!(
            node.staleness(process.clock(self.world.now)) < MAX_STALENESS,
            "{id:?} is stale"
        );
        for item in 0..ITEMS_PER_GROUP {
            let item = format!("r{item}");
            let names = [
                Name::common(&item),
                Name::service("a", &item),
                Name::service("b", &item),
            ];
            for name in names {
                self.check_applied(id, publisher, &name);
            }
        }
    }

    fn check_applied(&self, id: PeerId, publisher: &Publisher, name: &Name) {
        let is_subscribed = selectors_of(id.0)
            .iter()
            .any(|selector| selector.matches(&name.group));
        let expected = if is_subscribed {
            expected_body(publisher, id, name)
        } else {
            None
        };
        let is_rejected = expected
            .as_ref()
            .is_some_and(|body| id.0 % 2 == 1 && body.starts_with(REJECTED_BY_ODD_NODES));
        if is_rejected {
            return;
        }
        let applied = self.world.bytes_at(id.0, name);
        assert_eq!(prefix(&applied), prefix(&expected), "{id:?} {name:?}");
    }

    fn check_nothing_lost(&self, holder: u32) {
        let publisher = self.world.publisher_of(holder);
        for (name, body) in &self.last_published {
            assert_eq!(stable_body(publisher, name), *body, "{name:?} was lost");
        }
    }
}

fn prefix(body: &Option<Vec<u8>>) -> Option<&[u8]> {
    body.as_ref()
        .map(|body| &body[..body.len().min(COMPARED_BYTES)])
}

/// The content for all nodes at a publisher.
pub fn stable_body(publisher: &Publisher, name: &Name) -> Option<Vec<u8>> {
    let stable = publisher.log().get(&Key {
        name: name.clone(),
        slot: Slot::Stable,
    })?;
    (!stable.is_removal()).then(|| stable.content.bytes().to_vec())
}

/// The content that a node has to apply according to the log of a publisher.
pub fn expected_body(publisher: &Publisher, node: PeerId, name: &Name) -> Option<Vec<u8>> {
    let change_in = |slot| {
        publisher.log().get(&Key {
            name: name.clone(),
            slot,
        })
    };
    let stable = change_in(Slot::Stable);
    let canary = change_in(Slot::Canary)
        .filter(|canary| !canary.is_removal() && canary.fraction.contains(node))
        .filter(|canary| stable.is_none_or(|stable| stable.version < canary.version));
    let change = canary.or(stable).filter(|change| !change.is_removal())?;
    Some(change.content.bytes().to_vec())
}
