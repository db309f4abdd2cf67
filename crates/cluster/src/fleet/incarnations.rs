//! Incarnations of names: that of a restarted process, and conflicts between two processes with one name.

use super::{Fleet, FleetEvent, MAX_PEERS};
use crate::node::{Incarnation, Node};
use crate::Time;
use std::collections::{HashMap, VecDeque};

/// So many claims of this node's name within [`CLAIMS_WINDOW`] mean that two processes have it.
pub const MAX_CLAIMS: usize = 4;
/// See [`MAX_CLAIMS`]; in seconds.
pub const CLAIMS_WINDOW: Time = 30.0;
/// How long a process whose name another one has publishes nothing, in seconds.
pub const CONFLICT_PAUSE: Time = 60.0;

/// The greatest incarnation of each name, so that a restarted process can be notified of its predecessors.
#[derive(Default)]
pub(super) struct KnownIncarnations {
    by_name: HashMap<String, Incarnation>,
    /// The names, oldest first.
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

/// The claims of this node's name by other processes.
pub(super) struct NameClaims {
    /// When this node took a later incarnation since its name was claimed.
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

    fn forget_old(&mut self, now: Time) {
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
    /// Handles a greater incarnation of this node's name: that of an earlier process, or of another one at the same time.
    ///
    /// Two processes with one name would take each other for their own past and outbid each other for ever, so that after
    /// [`MAX_CLAIMS`] claims the one with the smaller tag publishes nothing for [`CONFLICT_PAUSE`] seconds. It still
    /// receives the entries of the others.
    pub(super) fn handle_newer_incarnation(&mut self, now: Time, newer: Incarnation) {
        let me = self.members.local_node().incarnation;
        if newer <= me || newer.tag == me.tag {
            return;
        }
        self.claims.forget_old(now);
        if self.claims.claimed_at.len() >= MAX_CLAIMS && newer.tag > me.tag {
            if !self.has_name_conflict(now) {
                self.events.push_back(FleetEvent::NameConflict);
            }
            self.claims.paused_until = now + CONFLICT_PAUSE;
            return;
        }
        self.claims.add(now);
        let incarnation = Incarnation {
            number: newer.number.saturating_add(1),
            tag: me.tag,
        };
        self.members.change_incarnation(now, incarnation);
    }

    /// Whether another process has this node's name, so that this one publishes nothing.
    pub fn has_name_conflict(&self, now: Time) -> bool {
        now < self.claims.paused_until
    }
}
