//! What the nodes reported to the publisher: acknowledged versions and rejected changes.

use crate::peer::PeerId;
use crate::resource::{Key, Version};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of nodes that are tracked; reports of others are ignored.
pub const MAX_NODES: usize = 16_384;
/// Maximum number of rejections that are retained; beyond it those of the oldest versions are dropped.
pub const MAX_REJECTIONS: usize = 16_384;

/// A change that a node rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The node.
    pub node: PeerId,
    /// The key of the change.
    pub key: Key,
    /// The node's reason.
    pub reason: String,
}

/// The last acknowledgement of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeStatus {
    /// The node has applied or rejected every change up to this version.
    pub acknowledged: Version,
    /// When the last report was received, on the publisher's clock.
    pub last_report_at: Time,
}

/// What is known of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionStatus {
    /// Nodes that acknowledged the version.
    pub acknowledged: BTreeSet<PeerId>,
    /// Nodes that reported, and have not acknowledged the version.
    pub pending: BTreeSet<PeerId>,
    /// Rejections of the change of this version.
    pub rejections: Vec<Rejection>,
}

/// Orders rejections by the version of the change, and then by node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RejectionKey {
    version: Version,
    node: PeerId,
}

/// The reported state of all nodes.
#[derive(Debug, Default)]
pub struct NodeStatuses {
    by_node: BTreeMap<PeerId, NodeStatus>,
    rejections: BTreeMap<RejectionKey, Rejection>,
}

impl NodeStatuses {
    /// Records that a node acknowledged a version. A report that was overtaken by a later one changes nothing.
    pub fn record_acknowledgement(&mut self, now: Time, node: PeerId, version: Version) {
        if self.by_node.len() >= MAX_NODES && !self.by_node.contains_key(&node) {
            return;
        }
        let status = self.by_node.entry(node).or_insert(NodeStatus {
            acknowledged: version,
            last_report_at: now,
        });
        status.acknowledged = status.acknowledged.max(version);
        status.last_report_at = status.last_report_at.max(now);
    }

    /// The last acknowledgement of each node.
    pub fn iter(&self) -> impl Iterator<Item = (PeerId, NodeStatus)> + '_ {
        self.by_node.iter().map(|(node, status)| (*node, *status))
    }

    /// Records that a node rejected a change.
    pub fn record_rejection(&mut self, version: Version, rejection: Rejection) {
        let node = rejection.node;
        self.rejections
            .insert(RejectionKey { version, node }, rejection);
        if self.rejections.len() > MAX_REJECTIONS {
            self.rejections.pop_first();
        }
    }

    /// What is known of a version.
    pub fn status(&self, version: Version) -> VersionStatus {
        let mut status = VersionStatus::default();
        for (node, node_status) in &self.by_node {
            let set = if node_status.acknowledged >= version {
                &mut status.acknowledged
            } else {
                &mut status.pending
            };
            set.insert(*node);
        }
        let first = RejectionKey {
            version,
            node: PeerId(0),
        };
        let last = RejectionKey {
            version,
            node: PeerId(u32::MAX),
        };
        status.rejections = self
            .rejections
            .range(first..=last)
            .map(|(_, rejection)| rejection.clone())
            .collect();
        status
    }
}
