//! The quorum of reports that ejects a server.
//!
//! | report | vote |
//! | --- | --- |
//! | the server failed, was silent or slow | against the server, for every reader: the server was reached |
//! | the server was unreachable | against the server, for readers in the reporter's zone only: the path may be at fault |
//! | the server shed load | none |
//! | the server was silent, and answered after all | none |
//! | the server is healthy | for the server; where it was unreachable, for readers in the reporter's zone only |
//! | any fault, from a node that finds too many servers faulty | none: the fault is more likely that node's own |
//! | any, from a node that is not a member | none |
//!
//! A server is ejected when at least [`Quorum::min_reporters`] nodes vote against it, and more than vote for it. At
//! most [`Quorum::max_ejected_fraction`] of a list is ejected, the servers with the most evidence first: if all nodes
//! find all servers faulty, the cause is something else.

use crate::entry::{Finding, Report, ServerInstance};
use std::collections::BTreeMap;

/// The reports of a node that finds at most this many servers faulty are always credible.
const ALWAYS_CREDIBLE: usize = 2;
/// The margin of votes above which more votes make no difference, as a multiple of the quorum.
const CONCLUSIVE_QUORUMS: usize = 2;
/// Number of nodes that report a server as healthy, as a multiple of the quorum.
const HEALTHY_REPORTER_QUORUMS: usize = 4;

/// When reports eject a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quorum {
    /// Minimum number of nodes that report a fault of the server.
    pub min_reporters: usize,
    /// Maximum fraction of the list that can be ejected; one server can be ejected from a list of any length.
    pub max_ejected_fraction: f64,
    /// The fault reports of a node that finds more than this fraction of its list faulty are ignored, unless these are
    /// at most two servers.
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
    /// Whether readers count a finding of a node that finds `faulty` of `listed` servers faulty.
    pub(crate) fn is_credible(&self, finding: Finding, faulty: u16, listed: u16) -> bool {
        !finding.is_fault()
            || usize::from(faulty) <= ALWAYS_CREDIBLE
            || f64::from(faulty) <= self.max_faulty_fraction * f64::from(listed)
    }
}

/// The votes on one server, as they count for readers in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Votes {
    /// Number of nodes that report it as failing, silent or slow.
    pub failed: usize,
    /// Number of nodes in the reader's zone that can't reach it.
    pub unreachable: usize,
    /// Number of nodes that report it as healthy.
    pub healthy: usize,
    /// Number of nodes in the reader's zone that report it as healthy.
    pub healthy_in_zone: usize,
    /// Number of reports that are not credible or not by a member.
    pub ignored: usize,
}

impl Votes {
    /// Adds the vote of a report, as it counts for a reader in `zone`.
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

    /// By how many votes the server is ejected; `None` if the votes don't eject it.
    pub fn ejection_margin(&self, quorum: &Quorum) -> Option<usize> {
        let margin =
            |bad: usize, ok: usize| (bad >= quorum.min_reporters && bad > ok).then(|| bad - ok);
        margin(self.failed, self.healthy).max(margin(self.unreachable, self.healthy_in_zone))
    }
}

/// A server with enough votes against it to be ejected.
struct Candidate<'a> {
    margin: usize,
    server: &'a ServerInstance,
    votes: Votes,
}

/// Selects the ejected servers of a list with `listed` servers, and returns them with the votes on each.
pub fn select_ejected<'a>(
    votes: impl Iterator<Item = (&'a ServerInstance, Votes)>,
    listed: usize,
    quorum: &Quorum,
) -> BTreeMap<&'a ServerInstance, Votes> {
    // Larger margins count as equal: if more servers fail than may be ejected, each report would otherwise change which
    // of them are ejected, and each change would send requests to a failing server.
    let conclusive = CONCLUSIVE_QUORUMS * quorum.min_reporters;
    let mut candidates: Vec<Candidate> = votes
        .filter_map(|(server, votes)| {
            Some(Candidate {
                margin: votes.ejection_margin(quorum)?.min(conclusive),
                server,
                votes,
            })
        })
        .collect();
    // Servers with equal margins are ordered by name, so that nodes with the same reports eject the same servers.
    candidates.sort_by(|first, second| {
        let by_margin = second.margin.cmp(&first.margin);
        by_margin.then_with(|| first.server.cmp(second.server))
    });
    candidates.truncate(((quorum.max_ejected_fraction * listed as f64) as usize).max(1));
    candidates
        .into_iter()
        .map(|candidate| (candidate.server, candidate.votes))
        .collect()
}

/// Whether a node is one of those that report that a server is healthy while it is close to being ejected. They are a
/// subset of the nodes, the same for the lifetime of the server, so that a large fleet is not flooded with reports.
pub fn is_healthy_reporter(
    server: &ServerInstance,
    node: &str,
    nodes: usize,
    min_reporters: usize,
) -> bool {
    let rank = pseudorandom(0, server, node) % (nodes.max(1) as u64);
    rank < (HEALTHY_REPORTER_QUORUMS * min_reporters) as u64
}

/// Whether a node probes an ejected server in this interval of its own clock. Nodes have no common clock, so each
/// decides for itself, pseudorandomly; on average one of them probes in each interval.
pub fn is_prober(server: &ServerInstance, interval: u64, node: &str, nodes: usize) -> bool {
    pseudorandom(interval.wrapping_add(1), server, node).is_multiple_of(nodes.max(1) as u64)
}

/// A pseudorandom number that every node computes alike for the same arguments.
fn pseudorandom(round: u64, server: &ServerInstance, node: &str) -> u64 {
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
