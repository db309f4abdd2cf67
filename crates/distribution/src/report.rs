//! What is told upwards.

use crate::peer::PeerId;
use crate::resource::{Key, Version};
use serde::{Deserialize, Serialize};

/// Longest reason of a refusal, in bytes; the rest is cut.
pub const REASON_MOST: usize = 200;
/// Most reports in one frame.
pub const REPORTS_IN_FRAME: usize = 16;
/// Most reports that wait for the way up; of more, the oldest refusals go.
pub const REPORTS_WAITING: usize = 8192;

/// Something that the author has to hear.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// A node has all that it asks for up to this version, and has accepted or refused each change.
    Standing {
        /// Which node.
        node: PeerId,
        /// Up to which version.
        upto: Version,
    },
    /// A node can't use a change.
    Refused {
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

/// Reports that wait for the way up: one standing of each node, each refusal and orphan once.
#[derive(Debug, Default)]
pub struct Waiting {
    reports: std::collections::VecDeque<Report>,
}

impl Waiting {
    /// Adds one; it replaces what it outdates.
    pub fn add(&mut self, report: Report) {
        let place = self.reports.iter_mut().find(|other| outdates(&report, other));
        if let Some(place) = place {
            *place = report;
            return;
        }
        if self.reports.len() >= REPORTS_WAITING {
            self.reports.pop_front();
        }
        self.reports.push_back(report);
    }

    /// Takes so many at most.
    pub fn take(&mut self, most: usize) -> Vec<Report> {
        let count = most.min(self.reports.len());
        self.reports.drain(..count).collect()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.reports.clear();
    }
}

fn outdates(new: &Report, old: &Report) -> bool {
    match (new, old) {
        (Report::Standing { node: a, .. }, Report::Standing { node: b, .. }) => a == b,
        (a, b) => a == b,
    }
}

/// The reason of a refusal, cut to [`REASON_MOST`] bytes.
pub fn cut(reason: &str) -> String {
    let mut end = reason.len().min(REASON_MOST);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}
