//! The incarnations of a name: those of restarted processes, and conflicts between two processes with the same name.

use super::{Fleet, FleetEvent, MAX_PEERS};
use crate::node::{Incarnation, Node};
use crate::Time;
use std::collections::{HashMap, VecDeque};

/// If other processes claim the local node's name more often than this within [`CLAIMS_WINDOW`], two processes have it.
pub const MAX_CLAIMS: usize = 4;
/// The time for which claims of the local node's name are counted, in seconds.
pub const CLAIMS_WINDOW: Time = 30.0;
/// The time for which a process with a name conflict publishes nothing, in seconds.
pub const CONFLICT_PAUSE: Time = 60.0;

/// The greatest incarnation of each name, so that a restarted process can be notified of that of its predecessor.
#[derive(Default)]
pub(super) struct KnownIncarnations {
    by_name: HashMap<String, Incarnation>,
    /// The names, in the order in which they were recorded first.
    order: VecDeque<String>,
}

impl KnownIncarnations {
    pub(super) fn record(&mut self, node: &Node) {
        if let Some(known) = self.by_name.get_mut(&node.name) {
            *known = node.incarnation.max(*known);
            return;
        }
        if self.order.len() >= MAX_PEERS {
            self.order
                .pop_front()
                .and_then(|oldest| self.by_name.remove(&oldest));
        }
        self.order.push_back(node.name.clone());
        self.by_name.insert(node.name.clone(), node.incarnation);
    }

    /// The greatest known incarnation of a node's name, if it is greater than the node's own.
    pub(super) fn newer_than(&self, node: &Node) -> Option<Incarnation> {
        self.by_name
            .get(&node.name)
            .filter(|known| **known > node.incarnation)
            .copied()
    }
}

/// The claims of the local node's name by other processes.
pub(super) struct NameClaims {
    /// When the local node has changed to a later incarnation, since another process had claimed its name.
    claimed_at: VecDeque<Time>,
    paused_until: Time,
}

impl NameClaims {
    pub(super) fn new(now: Time) -> NameClaims {
        NameClaims {
            claimed_at: VecDeque::new(),
            paused_until: now,
        }
    }

    fn drop_old(&mut self, now: Time) {
        while self
            .claimed_at
            .front()
            .is_some_and(|at| now - at > CLAIMS_WINDOW)
        {
            self.claimed_at.pop_front();
        }
    }

    fn add(&mut self, now: Time) {
        self.claimed_at.push_back(now);
        while self.claimed_at.len() > MAX_CLAIMS {
            self.claimed_at.pop_front();
        }
    }
}

impl Fleet {
    /// Handles a greater incarnation of the local node's name: that of its predecessor, or of a process that runs at
    /// the same time. The local node changes to a later incarnation.
    ///
    /// Two running processes with the same name would each take the other for its predecessor, and increment their
    /// incarnations for ever. Therefore, after [`MAX_CLAIMS`] claims, the one with the smaller tag publishes nothing
    /// for [`CONFLICT_PAUSE`] seconds. It still receives the entries of the others.
    pub(super) fn handle_newer_incarnation(&mut self, now: Time, newer: Incarnation) {
        let own = self.members.local_node().incarnation;
        if newer <= own || newer.tag == own.tag {
            return;
        }
        self.claims.drop_old(now);
        if self.claims.claimed_at.len() >= MAX_CLAIMS && newer.tag > own.tag {
            if !self.has_name_conflict(now) {
                self.events.push_back(FleetEvent::NameConflict);
            }
            self.claims.paused_until = now + CONFLICT_PAUSE;
            return;
        }
        self.claims.add(now);
        let incarnation = Incarnation {
            number: newer.number.saturating_add(1),
            tag: own.tag,
        };
        self.members.change_incarnation(now, incarnation);
    }

    /// Whether the local node publishes nothing, since another process has its name.
    pub fn has_name_conflict(&self, now: Time) -> bool {
        now < self.claims.paused_until
    }
}
