//! What is told upwards.

mod refusals;

use crate::peer::PeerId;
use crate::resource::{Key, Version};
use refusals::Refusals;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Longest reason of a refusal, in bytes; the rest is cut.
pub const REASON_MOST: usize = 200;
/// Most refusals and orphans that wait for the way up; of more, the oldest go.
pub const WAITING_MOST: usize = 4096;
/// Most nodes whose standing waits for the way up; of more, others wait at the nodes' next report.
pub const STANDINGS_MOST: usize = 16_384;

/// Something that the author has to hear.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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

/// Reports that wait for the way up: one standing of each node, each refusal and orphan once. Refusals go before
/// standings, in each session anew: who hears a standing has heard what its node refused.
#[derive(Debug, Default)]
pub struct Waiting {
    /// [`WAITING_MOST`] at most, and once a session is over the refusals that are told again beside them.
    first: VecDeque<Report>,
    standings: BTreeMap<PeerId, Version>,
    /// Told already, perhaps.
    refusals: Refusals,
}

impl Waiting {
    /// Adds one; it replaces what it outdates.
    pub fn add(&mut self, report: Report) {
        if let Report::Standing { node, upto } = report {
            if self.standings.len() < STANDINGS_MOST || self.standings.contains_key(&node) {
                self.standings.insert(node, upto);
            }
            return;
        }
        self.refusals.add(&report);
        if self.first.contains(&report) {
            return;
        }
        if self.first.len() >= WAITING_MOST {
            self.first.pop_front();
        }
        self.first.push_back(report);
    }

    /// Takes as many as fit into so many bytes, and at least one if any waits.
    pub fn take(&mut self, room: usize) -> Vec<Report> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        while let Some(report) = self.next() {
            bytes += report.size();
            if bytes > room && !taken.is_empty() {
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
    pub fn restore(&mut self, reports: Vec<Report>) {
        for report in reports.into_iter().rev() {
            self.put_back(report);
        }
        let waiting: BTreeSet<&Report> = self.first.iter().collect();
        let told: Vec<Report> = self
            .refusals
            .all()
            .filter(|report| !waiting.contains(report))
            .collect();
        self.first.extend(told);
    }

    fn next(&mut self) -> Option<Report> {
        if let Some(report) = self.first.pop_front() {
            return Some(report);
        }
        let (node, upto) = self.standings.pop_first()?;
        Some(Report::Standing { node, upto })
    }

    fn put_back(&mut self, report: Report) {
        match report {
            Report::Standing { node, upto } => {
                self.standings.entry(node).or_insert(upto);
            }
            other => self.first.push_front(other),
        }
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty() && self.standings.is_empty()
    }
}

impl Report {
    /// How many bytes it takes in a frame.
    pub fn size(&self) -> usize {
        crate::frame::written(self)
    }

    /// Whether its parts keep to their bounds.
    pub fn sound(&self) -> bool {
        match self {
            Report::Standing { .. } => true,
            Report::Refused { key, reason, .. } => {
                key.name.check().is_ok() && reason.len() <= REASON_MOST
            }
            Report::Orphan { key, .. } => key.name.check().is_ok(),
        }
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
