//! The quorum of reports that condemns a server.
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
//! A server is condemned when at least [`Quorum::witnesses`] nodes report a fault, each with one vote, and more than report
//! that it is healthy. Of a list no more than [`Quorum::most`] is condemned, the best proven first: where all nodes condemn
//! all servers, something else is wrong.

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
    pub witnesses: usize,
    /// Maximum share of the list that can be condemned; one server of a short list.
    pub most: f64,
    /// The reports of a node that finds more than this share of its list faulty are ignored; two servers are always
    /// believed.
    pub believed: f64,
}

impl Default for Quorum {
    fn default() -> Self {
        Quorum {
            witnesses: 3,
            most: 0.2,
            believed: 0.3,
        }
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
        let faults = usize::from(report.accused);
        if report.finding.is_fault()
            && faults > ALWAYS_BELIEVED
            && faults as f64 > quorum.believed * f64::from(report.listed)
        {
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

    /// By how many votes the server is condemned; `None` if it is not.
    pub fn majority(&self, quorum: &Quorum) -> Option<usize> {
        let majority =
            |bad: usize, good: usize| (bad >= quorum.witnesses && bad > good).then(|| bad - good);
        majority(self.failed, self.healthy).max(majority(self.unreachable, self.healthy_in_zone))
    }
}

/// The condemned servers of a list of so many, by the votes on each.
pub fn condemned<'a>(
    votes: impl Iterator<Item = (&'a ServerInstance, Votes)>,
    listed: usize,
    quorum: &Quorum,
) -> BTreeMap<&'a ServerInstance, Votes> {
    let mut by_majority: Vec<_> = votes
        .filter_map(|(server, v)| Some((v.majority(quorum)?, server, v)))
        .collect();
    // Guards against servers that alternate: where more fail than may be condemned, each report moved the count of one past
    // another's, and each change sends requests to one that fails. Harm: of two that surely fail the worse may stay in.
    let conclusive = CONCLUSIVE_QUORUMS * quorum.witnesses;
    by_majority
        .iter_mut()
        .for_each(|(majority, ..)| *majority = (*majority).min(conclusive));
    // Of equal majorities the first by name, so that nodes with the same reports condemn the same servers.
    by_majority.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    by_majority.truncate(((quorum.most * listed as f64) as usize).max(1));
    by_majority
        .into_iter()
        .map(|(_, server, v)| (server, v))
        .collect()
}

/// Whether a node reports that a server is healthy when that is nearly condemned: some of the nodes, the same for as long
/// as the server is there.
///
/// Guards the fleet against as many reports for a server as there are nodes, each time that it fails three of them. Harm:
/// where those that would report have sent it nothing lately, nobody does.
pub fn reports_healthy(
    server: &ServerInstance,
    node: &str,
    nodes: usize,
    witnesses: usize,
) -> bool {
    let rank = shared_random(0, server, node) % (nodes.max(1) as u64);
    rank < (HEALTHY_REPORTERS * witnesses) as u64
}

/// Whether a node probes a condemned server in this turn of its own clock: one of so many, at random.
///
/// Guards against three hundred nodes that probe a sick server at once, and against none that does. Nodes have no common
/// clock, so that each draws for itself and one probes in a turn on average. Harm: in one turn of three nobody probes it,
/// in one of four more than one does.
pub fn is_prober(server: &ServerInstance, turn: u64, node: &str, nodes: usize) -> bool {
    shared_random(turn.wrapping_add(1), server, node).is_multiple_of(nodes.max(1) as u64)
}

/// A pseudorandom number that is the same on all nodes.
fn shared_random(turn: u64, server: &ServerInstance, node: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&turn.to_le_bytes())
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
