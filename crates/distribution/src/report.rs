//! Reports from nodes to the publisher, and the queue in which a process keeps them until they are sent to its
//! upstream.

mod rejections;

use crate::peer::PeerId;
use crate::resource::{Key, Version};
use rejections::RejectionHistory;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest reason of a rejection, in bytes; longer ones are truncated.
pub const MAX_REASON_BYTES: usize = 200;
/// Maximum number of rejections and orphans in the queue; beyond it the oldest are dropped.
pub const MAX_QUEUED_REPORTS: usize = 4096;
/// Maximum number of nodes with an acknowledgement in the queue; those of further nodes are dropped until their next
/// report.
pub const MAX_QUEUED_ACKNOWLEDGEMENTS: usize = 16_384;

/// A report to the publisher.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Report {
    /// A node has applied or rejected every change of its subscriptions up to this version.
    Acknowledged {
        /// The node.
        node: PeerId,
        /// The version.
        version: Version,
    },
    /// A node rejected a change.
    Rejected {
        /// The node.
        node: PeerId,
        /// The key of the change.
        key: Key,
        /// The version of the change.
        version: Version,
        /// The node's reason.
        reason: String,
    },
    /// A change of an earlier publisher that the current publisher does not have.
    Orphan {
        /// The key of the change.
        key: Key,
        /// The version of the change.
        version: Version,
    },
}

/// Reports to be sent: one acknowledgement for each node, each rejection and orphan once. In each session rejections
/// are sent before acknowledgements, so a publisher that has a node's acknowledgement also has its rejections.
#[derive(Debug, Default)]
pub struct ReportQueue {
    /// Rejections and orphans, [`MAX_QUEUED_REPORTS`] at most; after a session also the rejections that are sent
    /// again.
    urgent: VecDeque<Report>,
    acknowledgements: BTreeMap<PeerId, Version>,
    /// Rejections that may have been sent before.
    rejections: RejectionHistory,
}

impl ReportQueue {
    /// Adds a report; an acknowledgement replaces the node's previous one.
    pub fn add(&mut self, report: Report) {
        if let Report::Acknowledged { node, version } = report {
            if self.acknowledgements.len() < MAX_QUEUED_ACKNOWLEDGEMENTS
                || self.acknowledgements.contains_key(&node)
            {
                self.acknowledgements.insert(node, version);
            }
            return;
        }
        self.rejections.add(&report);
        if self.urgent.contains(&report) {
            return;
        }
        if self.urgent.len() >= MAX_QUEUED_REPORTS {
            self.urgent.pop_front();
        }
        self.urgent.push_back(report);
    }

    /// Takes as many reports as fit into `max_bytes`, and at least one if there is any.
    pub fn take(&mut self, max_bytes: usize) -> Vec<Report> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some(report) = self.pop() {
            bytes += report.size_bytes();
            if bytes > max_bytes && !taken.is_empty() {
                self.put_back(report);
                break;
            }
            taken.push(report);
        }
        taken
    }

    /// Puts back the reports that were in flight when a session ended, and the rejections that were sent in it: the
    /// upstream may have failed before it forwarded them, and another publisher never received them.
    pub fn requeue(&mut self, reports: Vec<Report>) {
        for report in reports.into_iter().rev() {
            self.put_back(report);
        }
        let queued: BTreeSet<&Report> = self.urgent.iter().collect();
        let rejections: Vec<Report> = self
            .rejections
            .all()
            .filter(|report| !queued.contains(report))
            .collect();
        self.urgent.extend(rejections);
    }

    fn pop(&mut self) -> Option<Report> {
        if let Some(report) = self.urgent.pop_front() {
            return Some(report);
        }
        let (node, version) = self.acknowledgements.pop_first()?;
        Some(Report::Acknowledged { node, version })
    }

    fn put_back(&mut self, report: Report) {
        match report {
            Report::Acknowledged { node, version } => {
                self.acknowledgements.entry(node).or_insert(version);
            }
            other => self.urgent.push_front(other),
        }
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.acknowledgements.is_empty()
    }
}

impl Report {
    /// Its size in a frame, in bytes.
    pub fn size_bytes(&self) -> usize {
        crate::frame::serialized_size(self)
    }

    /// Whether all fields are within their limits.
    pub fn is_valid(&self) -> bool {
        match self {
            Report::Acknowledged { .. } => true,
            Report::Rejected { key, reason, .. } => {
                key.name.check().is_ok() && reason.len() <= MAX_REASON_BYTES
            }
            Report::Orphan { key, .. } => key.name.check().is_ok(),
        }
    }
}

/// A rejection's reason, truncated to [`MAX_REASON_BYTES`].
pub fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}
