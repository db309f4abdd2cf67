//! Rejections that were reported before, to be reported again to another upstream.
//!
//! An upstream may fail after it acknowledged a rejection and before it forwarded it, and a new publisher does not know
//! what its predecessor received. The node's acknowledgement alone would then count as an acceptance. So each process
//! reports its rejections again in each new session, before any acknowledgement.

use super::Report;
use crate::peer::PeerId;
use crate::resource::{Key, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of rejections that are retained for one node; beyond it those of the oldest versions are dropped.
pub const MAX_REJECTIONS_PER_NODE: usize = 16;
/// Maximum number of rejections that are retained for all nodes; beyond it those of the oldest versions are dropped.
pub const MAX_REJECTIONS: usize = 4096;

/// Orders rejections by the version of the change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKey {
    version: Version,
    node: PeerId,
    key: Key,
}

/// The last rejection of a key by a node, and the reason.
#[derive(Debug)]
struct RetainedRejection {
    version: Version,
    reason: String,
}

/// The latest rejection of each node and key.
#[derive(Debug, Default)]
pub(crate) struct RejectionHistory {
    by_node: BTreeMap<PeerId, BTreeMap<Key, RetainedRejection>>,
    by_version: BTreeSet<RejectionKey>,
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
        if let Some(known) = of_node.get(key) {
            if known.version >= *version {
                return;
            }
            self.by_version.remove(&RejectionKey {
                version: known.version,
                node: *node,
                key: key.clone(),
            });
        }
        let retained = RetainedRejection {
            version: *version,
            reason: reason.clone(),
        };
        of_node.insert(key.clone(), retained);
        self.by_version.insert(RejectionKey {
            version: *version,
            node: *node,
            key: key.clone(),
        });
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
        let earliest = of_node
            .iter()
            .min_by_key(|(_, rejection)| rejection.version)
            .map(|(key, rejection)| RejectionKey {
                version: rejection.version,
                node,
                key: key.clone(),
            });
        if let Some(earliest) = earliest {
            self.remove(&earliest);
        }
    }

    fn evict_oldest(&mut self) {
        if self.by_version.len() > MAX_REJECTIONS {
            if let Some(earliest) = self.by_version.first().cloned() {
                self.remove(&earliest);
            }
        }
    }

    fn remove(&mut self, rejection: &RejectionKey) {
        self.by_version.remove(rejection);
        if let Some(of_node) = self.by_node.get_mut(&rejection.node) {
            of_node.remove(&rejection.key);
            if of_node.is_empty() {
                self.by_node.remove(&rejection.node);
            }
        }
    }

    /// All rejections, by version.
    pub fn all(&self) -> impl Iterator<Item = Report> + '_ {
        self.by_version.iter().filter_map(|rejection| {
            let retained = self.by_node.get(&rejection.node)?.get(&rejection.key)?;
            Some(Report::Rejected {
                node: rejection.node,
                key: rejection.key.clone(),
                version: rejection.version,
                reason: retained.reason.clone(),
            })
        })
    }
}
