//! What the nodes have said of changes: who has which version, who refused what and why.

use crate::peer::PeerId;
use crate::resource::{Key, Version};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Most nodes whose standing is kept; others are not counted.
pub const NODES_MOST: usize = 16_384;
/// Most refusals that are kept; of more, those of the earliest versions are forgotten.
pub const REFUSALS_MOST: usize = 16_384;

/// A node's word that it can't use a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Which node.
    pub node: PeerId,
    /// Of which key.
    pub key: Key,
    /// Why.
    pub reason: String,
}

/// What a node has said last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// It has decided on all changes up to this version.
    pub upto: Version,
    /// When it was heard, by the author's clock.
    pub heard_at: Time,
}

/// What is known of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Nodes that have said that they have all up to this version.
    pub have: BTreeSet<PeerId>,
    /// Nodes that were heard, and have not said so.
    pub lack: BTreeSet<PeerId>,
    /// Who refused the change of this version.
    pub refused: Vec<Refused>,
}

/// See the module.
#[derive(Debug, Default)]
pub struct Board {
    standings: BTreeMap<PeerId, Standing>,
    refusals: BTreeMap<(Version, PeerId), Refused>,
}

impl Board {
    /// A node has all up to a version. An earlier word that was overtaken changes nothing.
    pub fn standing(&mut self, now: Time, node: PeerId, upto: Version) {
        if self.standings.len() >= NODES_MOST && !self.standings.contains_key(&node) {
            return;
        }
        let known = self.standings.entry(node).or_insert(Standing {
            upto,
            heard_at: now,
        });
        known.upto = known.upto.max(upto);
        known.heard_at = known.heard_at.max(now);
    }

    /// What each node has said last.
    pub fn standings(&self) -> impl Iterator<Item = (PeerId, Standing)> + '_ {
        self.standings
            .iter()
            .map(|(node, standing)| (*node, *standing))
    }

    /// A node has refused a change.
    pub fn refused(&mut self, version: Version, refused: Refused) {
        self.refusals.insert((version, refused.node), refused);
        if self.refusals.len() > REFUSALS_MOST {
            self.refusals.pop_first();
        }
    }

    /// What is known of a version.
    pub fn status(&self, version: Version) -> Status {
        let mut status = Status::default();
        for (node, standing) in &self.standings {
            let set = if standing.upto >= version {
                &mut status.have
            } else {
                &mut status.lack
            };
            set.insert(*node);
        }
        let all = (version, PeerId(0))..=(version, PeerId(u32::MAX));
        status.refused = self
            .refusals
            .range(all)
            .map(|(_, refused)| refused.clone())
            .collect();
        status
    }
}
