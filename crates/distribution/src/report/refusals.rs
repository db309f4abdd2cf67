//! Refusals that were told upwards once, to be told again to another upstream.
//!
//! An upstream may end between taking a refusal and passing it on, and another author knows nothing of what the last one
//! heard; a node's standing alone would then count as an acceptance. So each process tells its refusals again in each new
//! session, before any standing.

use super::Report;
use crate::peer::PeerId;
use crate::resource::{Key, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Most refusals that are kept of one node; of more, those of the earliest versions go.
pub const OF_NODE_MOST: usize = 16;
/// Most refusals that are kept of all nodes; of more, those of the earliest versions go.
pub const REFUSALS_MOST: usize = 4096;

/// The latest refusal of each node and key.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    of_node: BTreeMap<PeerId, BTreeMap<Key, (Version, String)>>,
    order: BTreeSet<(Version, PeerId, Key)>,
}

impl Refusals {
    /// Keeps a refusal; other reports are left.
    pub fn add(&mut self, report: &Report) {
        let Report::Refused {
            node,
            key,
            version,
            reason,
        } = report
        else {
            return;
        };
        let of_node = self.of_node.entry(*node).or_default();
        if let Some((known, _)) = of_node.get(key) {
            if known >= version {
                return;
            }
            self.order.remove(&(*known, *node, key.clone()));
        }
        of_node.insert(key.clone(), (*version, reason.clone()));
        self.order.insert((*version, *node, key.clone()));
        self.forget_earliest_of(*node);
        self.forget_earliest();
    }

    fn forget_earliest_of(&mut self, node: PeerId) {
        let Some(of_node) = self
            .of_node
            .get(&node)
            .filter(|of_node| of_node.len() > OF_NODE_MOST)
        else {
            return;
        };
        let earliest = of_node.iter().min_by_key(|(_, (version, _))| *version);
        let Some((key, version)) = earliest.map(|(key, (version, _))| (key.clone(), *version))
        else {
            return;
        };
        self.forget((version, node, key));
    }

    fn forget_earliest(&mut self) {
        if self.order.len() > REFUSALS_MOST {
            if let Some(earliest) = self.order.first().cloned() {
                self.forget(earliest);
            }
        }
    }

    fn forget(&mut self, entry: (Version, PeerId, Key)) {
        self.order.remove(&entry);
        let (_, node, key) = entry;
        if let Some(of_node) = self.of_node.get_mut(&node) {
            of_node.remove(&key);
            if of_node.is_empty() {
                self.of_node.remove(&node);
            }
        }
    }

    /// All of them, by version.
    pub fn all(&self) -> impl Iterator<Item = Report> + '_ {
        self.order.iter().filter_map(|(version, node, key)| {
            let (_, reason) = self.of_node.get(node)?.get(key)?;
            Some(Report::Refused {
                node: *node,
                key: key.clone(),
                version: *version,
                reason: reason.clone(),
            })
        })
    }
}
