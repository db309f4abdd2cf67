//! What the nodes have said of changes: who has which version, who refused what and why.

use crate::peer::PeerId;
use crate::resource::{Key, Version};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Most nodes whose standing is kept; others are not counted.
pub const MAX_NODES: usize = 16_384;
/// Most refusals that are kept; of more, those of the earliest versions are forgotten.
pub const MAX_REJECTIONS: usize = 16_384;

/// A node's word that it can't use a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Which node.
    pub node: PeerId,
    /// Of which key.
    pub key: Key,
    /// Why.
    pub reason: String,
}

/// What a node has said last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeStatus {
    /// It has decided on all changes up to this version.
    pub acknowledged: Version,
    /// When it was heard, by the author's clock.
    pub last_report_at: Time,
}

/// What is known of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionStatus {
    /// Nodes that have said that they have all up to this version.
    pub acknowledged: BTreeSet<PeerId>,
    /// Nodes that were heard, and have not said so.
    pub pending: BTreeSet<PeerId>,
    /// Who refused the change of this version.
    pub rejections: Vec<Rejection>,
}

/// See the module.
#[derive(Debug, Default)]
pub struct NodeStatuses {
    by_node: BTreeMap<PeerId, NodeStatus>,
    rejections: BTreeMap<(Version, PeerId), Rejection>,
}

impl NodeStatuses {
    /// A node has all up to a version. An earlier word that was overtaken changes nothing.
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

    /// What each node has said last.
    pub fn iter(&self) -> impl Iterator<Item = (PeerId, NodeStatus)> + '_ {
        self.by_node.iter().map(|(node, status)| (*node, *status))
    }

    /// A node has refused a change.
    pub fn record_rejection(&mut self, version: Version, rejection: Rejection) {
        self.rejections.insert((version, rejection.node), rejection);
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
        let all = (version, PeerId(0))..=(version, PeerId(u32::MAX));
        status.rejections = self
            .rejections
            .range(all)
            .map(|(_, rejection)| rejection.clone())
            .collect();
        status
    }
}
