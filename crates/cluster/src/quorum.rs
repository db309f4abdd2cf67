//! The quorum of reports that ejects a server.
//!
//! | report | counts |
//! | --- | --- |
//! | the server failed, was silent or slow | for every reader: the server was reached |
//! | the server was unreachable | for readers in the reporter's zone alone: it may be the path |
//! | it was silent, and answered after all | not at all |
//! | the server is healthy | against the others, as one vote; where it was unreachable, within the zone |
//! | of a node that finds too many servers faulty | not at all: more likely the fault is that node's own |
//! | of a node that is not a member, unless it is this one | not at all |
//!
//! A server is ejected when at least [`Quorum::min_reporters`] nodes report a fault, each with one vote, and more than report
//! that it is healthy. Of a list no more than [`Quorum::max_ejected_fraction`] is ejected, the best proven first: where all
//! nodes would eject all servers, something else is wrong.

use crate::entry::{Finding, Report, ServerInstance};
use std::collections::BTreeMap;

/// A node with at most so many faulty servers is always counted.
const ALWAYS_BELIEVED: usize = 2;
/// More votes than so many times the quorum prove nothing more.
const CONCLUSIVE_QUORUMS: usize = 2;
/// Nodes that report a server as healthy, as a multiple of the quorum.
const HEALTHY_REPORTERS: usize = 4;

/// The rules of the quorum. The fields are named after the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quorum {
    /// Number of nodes that have to report a fault.
    pub min_reporters: usize,
    /// Maximum fraction of the list that can be ejected; one server of a short list.
    pub max_ejected_fraction: f64,
    /// The reports of a node that finds more than this fraction of its list faulty are ignored; two servers are always
    /// believed.
    pub max_faulty_fraction: f64,
}

impl Default for Quorum {
    fn default() -> Self {
        Quorum {
            min_reporters: 3,
            max_ejected_fraction: 0.2,
            max_faulty_fraction: 0.3,
        }
    }
}

impl Quorum {
    /// Whether a finding of a node is believed that finds `faults` of `listed` servers faulty.
    pub(crate) fn is_credible(&self, finding: Finding, faults: u16, listed: u16) -> bool {
        !finding.is_fault()
            || usize::from(faults) <= ALWAYS_BELIEVED
            || f64::from(faults) <= self.max_faulty_fraction * f64::from(listed)
    }
}

/// The votes on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Votes {
    /// Nodes that it failed.
    pub failed: usize,
    /// Nodes of the reader's zone that it was unreachable for.
    pub unreachable: usize,
    /// Nodes that it answers.
    pub healthy: usize,
    /// Of these, those of the reader's zone.
    pub healthy_in_zone: usize,
    /// Reports that are ignored.
    pub ignored: usize,
}

impl Votes {
    /// Adds a report, as it counts for a reader in this zone.
    pub fn add(&mut self, report: &Report, zone: &str, quorum: &Quorum) {
        if !quorum.is_credible(report.finding, report.faulty_servers, report.listed_servers) {
            self.ignored += 1;
            return;
        }
        let is_in_zone = report.zone == zone;
        match report.finding {
            Finding::Well => {
                self.healthy += 1;
                self.healthy_in_zone += usize::from(is_in_zone);
            }
            Finding::Unreached => self.unreachable += usize::from(is_in_zone),
            Finding::Slow | Finding::Silent | Finding::Failing => self.failed += 1,
            Finding::Tipped | Finding::Unclear => {}
        }
    }

    /// By how many votes the server is ejected; `None` if it is not.
    pub fn ejection_margin(&self, quorum: &Quorum) -> Option<usize> {
        let margin =
            |bad: usize, ok: usize| (bad >= quorum.min_reporters && bad > ok).then(|| bad - ok);
        margin(self.failed, self.healthy).max(margin(self.unreachable, self.healthy_in_zone))
    }
}

/// A server that has enough votes against it.
struct Candidate<'a> {
    majority: usize,
    server: &'a ServerInstance,
    votes: Votes,
}

/// The ejected servers, by the votes on each, of a list with `listed` servers.
pub fn select_ejected<'a>(
    votes: impl Iterator<Item = (&'a ServerInstance, Votes)>,
    listed: usize,
    quorum: &Quorum,
) -> BTreeMap<&'a ServerInstance, Votes> {
    // Larger majorities count as equal: if more servers fail than may be ejected, each report would otherwise change
    // which of them are, and requests would be sent to a failing server with each change.
    let conclusive = CONCLUSIVE_QUORUMS * quorum.min_reporters;
    let mut candidates: Vec<Candidate> = votes
        .filter_map(|(server, votes)| {
            Some(Candidate {
                majority: votes.ejection_margin(quorum)?.min(conclusive),
                server,
                votes,
            })
        })
        .collect();
    // Of equal majorities the first by name, so that nodes with the same reports eject the same servers.
    candidates.sort_by(|first, second| {
        let by_majority = second.majority.cmp(&first.majority);
        by_majority.then_with(|| first.server.cmp(second.server))
    });
    candidates.truncate(((quorum.max_ejected_fraction * listed as f64) as usize).max(1));
    candidates
        .into_iter()
        .map(|candidate| (candidate.server, candidate.votes))
        .collect()
}

/// Whether a node is one of those that report that a nearly ejected server is healthy. They are a subset of the nodes,
/// the same for the lifetime of the server, so that a large fleet is not flooded with reports.
pub fn is_healthy_reporter(
    server: &ServerInstance,
    node: &str,
    nodes: usize,
    min_reporters: usize,
) -> bool {
    let rank = shared_random(0, server, node) % (nodes.max(1) as u64);
    rank < (HEALTHY_REPORTERS * min_reporters) as u64
}

/// Whether a node checks the health of an ejected server in this interval of its own clock. Nodes have no common clock, so
/// that each decides by itself, at random; on average one of them does in each interval.
pub fn is_prober(server: &ServerInstance, interval: u64, node: &str, nodes: usize) -> bool {
    shared_random(interval.wrapping_add(1), server, node).is_multiple_of(nodes.max(1) as u64)
}

/// A pseudorandom number that is the same on all nodes.
fn shared_random(round: u64, server: &ServerInstance, node: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&round.to_le_bytes())
        .update(server.name.as_bytes())
        .update(&[0])
        .update(node.as_bytes());
    u64::from_le_bytes(
        hasher
            .finalize()
            .as_bytes()
            .first_chunk()
            .copied()
            .unwrap_or_default(),
    )
}
