//! What is told upwards.

mod rejections;

use crate::peer::PeerId;
use crate::resource::{Key, Version};
use rejections::RejectionHistory;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest reason of a refusal, in bytes; the rest is cut.
pub const MAX_REASON_BYTES: usize = 200;
/// Most refusals and orphans that wait for the way up; of more, the oldest go.
pub const MAX_QUEUED_REPORTS: usize = 4096;
/// Most nodes whose standing waits for the way up; of more, others wait at the nodes' next report.
pub const MAX_QUEUED_ACKNOWLEDGEMENTS: usize = 16_384;

/// Something that the author has to hear.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Report {
    /// A node has all that it asks for up to this version, and has accepted or refused each change.
    Acknowledged {
        /// Which node.
        node: PeerId,
        /// Up to which version.
        version: Version,
    },
    /// A node can't use a change.
    Rejected {
        /// Which node.
        node: PeerId,
        /// Of which key.
        key: Key,
        /// Which change.
        version: Version,
        /// Why.
        reason: String,
    },
    /// A change of an earlier author that the present one does not have.
    Orphan {
        /// Of which key.
        key: Key,
        /// Which change.
        version: Version,
    },
}

/// Reports that wait for the way up: one standing of each node, each refusal and orphan once. Refusals go before
/// standings, in each session anew: who hears a standing has heard what its node refused.
#[derive(Debug, Default)]
pub struct ReportQueue {
    /// [`MAX_QUEUED_REPORTS`] at most, and once a session is over the refusals that are told again beside them.
    urgent: VecDeque<Report>,
    acknowledgements: BTreeMap<PeerId, Version>,
    /// Told already, perhaps.
    rejections: RejectionHistory,
}

impl ReportQueue {
    /// Adds one; it replaces what it outdates.
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

    /// Takes as many as fit into so many bytes, and at least one if any waits.
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

    /// The session is over: puts back the reports whose way up was cut, and refusals that were told in it.
    ///
    /// Guards against refusals that an upstream took and lost, and against another author that never heard them. Harm: they
    /// are told again in each session.
    pub fn requeue(&mut self, reports: Vec<Report>) {
        for report in reports.into_iter().rev() {
            self.put_back(report);
        }
        let waiting: BTreeSet<&Report> = self.urgent.iter().collect();
        let rejections: Vec<Report> = self
            .rejections
            .all()
            .filter(|report| !waiting.contains(report))
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

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.acknowledgements.is_empty()
    }
}

impl Report {
    /// How many bytes it takes in a frame.
    pub fn size_bytes(&self) -> usize {
        crate::frame::serialized_size(self)
    }

    /// Whether its parts keep to their bounds.
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

/// The reason of a refusal, cut to [`MAX_REASON_BYTES`] bytes.
pub fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}
