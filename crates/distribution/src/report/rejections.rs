//! Rejections that were reported before, to be reported again to another upstream.
//!
//! An upstream may fail after it acknowledged a rejection and before it forwarded it, and a new author does not know
//! what its predecessor received. The node's acknowledgement alone would then count as an acceptance. So each process
//! reports its rejections again in each new session, before any acknowledgement.

use super::Report;
use crate::peer::PeerId;
use crate::resource::{Key, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Most rejections that are retained for one node; beyond it those of the oldest versions are dropped.
pub const MAX_REJECTIONS_PER_NODE: usize = 16;
/// Most rejections that are retained in all; beyond it those of the oldest versions are dropped.
pub const MAX_REJECTIONS: usize = 4096;

/// The latest rejection of each node and key.
#[derive(Debug, Default)]
pub(crate) struct RejectionHistory {
    by_node: BTreeMap<PeerId, BTreeMap<Key, (Version, String)>>,
    by_version: BTreeSet<(Version, PeerId, Key)>,
}

impl RejectionHistory {
    /// Retains a rejection; ignores other reports.
    pub fn add(&mut self, report: &Report) {
        let Report::Rejected {
            node,
            key,
            version,
            reason,
        } = report
        else {
            return;
        };
        let of_node = self.by_node.entry(*node).or_default();
        if let Some((known, _)) = of_node.get(key) {
            if known >= version {
                return;
            }
            self.by_version.remove(&(*known, *node, key.clone()));
        }
        of_node.insert(key.clone(), (*version, reason.clone()));
        self.by_version.insert((*version, *node, key.clone()));
        self.evict_oldest_of(*node);
        self.evict_oldest();
    }

    fn evict_oldest_of(&mut self, node: PeerId) {
        let Some(of_node) = self
            .by_node
            .get(&node)
            .filter(|of_node| of_node.len() > MAX_REJECTIONS_PER_NODE)
        else {
            return;
        };
        let earliest = of_node.iter().min_by_key(|(_, (version, _))| *version);
        let Some((key, version)) = earliest.map(|(key, (version, _))| (key.clone(), *version))
        else {
            return;
        };
        self.remove((version, node, key));
    }

    fn evict_oldest(&mut self) {
        if self.by_version.len() > MAX_REJECTIONS {
            if let Some(earliest) = self.by_version.first().cloned() {
                self.remove(earliest);
            }
        }
    }

    fn remove(&mut self, entry: (Version, PeerId, Key)) {
        self.by_version.remove(&entry);
        let (_, node, key) = entry;
        if let Some(of_node) = self.by_node.get_mut(&node) {
            of_node.remove(&key);
            if of_node.is_empty() {
                self.by_node.remove(&node);
            }
        }
    }

    /// All rejections, by version.
    pub fn all(&self) -> impl Iterator<Item = Report> + '_ {
        self.by_version.iter().filter_map(|(version, node, key)| {
            let (_, reason) = self.by_node.get(node)?.get(key)?;
            Some(Report::Rejected {
                node: *node,
                key: key.clone(),
                version: *version,
                reason: reason.clone(),
            })
        })
    }
}
