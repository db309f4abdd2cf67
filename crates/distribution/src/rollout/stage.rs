//! What the nodes of a stage have said, and what follows from it by the policy.

use crate::node_status::NodeStatuses;
use crate::peer::PeerId;
use crate::resource::{NodeFraction, Version, ALL_NODES_THOUSANDTHS};
use crate::rollout::policy::RolloutPolicy;
use crate::rollout::record::RejectingNode;
use crate::Time;
use std::collections::BTreeMap;

/// What the nodes of a stage have said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// Nodes of the stage that were heard at some time, or were known when the rollout began.
    pub known: u32,
    /// Nodes that have the stage's change and did not refuse it, whenever they said so.
    pub accepted: u32,
    /// Those among them that were heard within the policy's age of reports.
    pub accepted_recently: u32,
    /// Nodes that refused the content, in this stage or an earlier one.
    pub rejected: u32,
}

/// Why a stage does not end yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvanceBlocker {
    /// Its soak time is not over.
    Soak,
    /// Too few nodes have decided.
    Decisions,
    /// Too few of the known nodes were heard lately and have accepted.
    Acceptances,
}

/// What is to be done with a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Refusals have passed the threshold.
    Stop,
    /// It goes on as it is.
    Wait(AdvanceBlocker),
    /// It is over, and the next stage begins.
    Advance,
}

/// Who refused what is rolled out, with the first reasons.
#[derive(Clone, Debug, Default)]
pub struct RejectingNodes {
    nodes: BTreeMap<PeerId, String>,
}

/// Most nodes whose refusals are kept; of more the threshold has long been passed.
pub const MAX_REJECTING_NODES: usize = crate::node_status::MAX_NODES;
/// Most reasons that are kept with them.
pub const MAX_REJECTION_REASONS: usize = 256;

impl RejectingNodes {
    /// A node has refused. It counts as refusing until the rollout ends.
    pub fn add(&mut self, node: PeerId, reason: String) {
        if self.nodes.contains_key(&node) || self.nodes.len() >= MAX_REJECTING_NODES {
            return;
        }
        let reason = if self.nodes.len() < MAX_REJECTION_REASONS {
            reason
        } else {
            String::new()
        };
        self.nodes.insert(node, reason);
    }

    /// Who refused, by number; so many at most.
    pub fn first(&self, max_nodes: usize) -> Vec<RejectingNode> {
        let named = self.nodes.iter().take(max_nodes);
        named
            .map(|(node, reason)| RejectingNode {
                node: *node,
                reason: reason.clone(),
            })
            .collect()
    }

    /// Forgets all but the first: the rollout is over.
    pub fn drop_nodes_without_reason(&mut self) {
        while self.nodes.len() > MAX_REJECTION_REASONS {
            self.nodes.pop_last();
        }
    }
}

/// A stage whose nodes are counted.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// The version of its change.
    pub version: Version,
    /// Which nodes it holds.
    pub fraction: NodeFraction,
    /// How many of them were known when the rollout began.
    pub expected: u32,
    /// Since when this author hears what they refuse: who was heard before alone does not count as accepting.
    pub reports_since: Time,
}

/// Counts what the nodes of a stage have said of its change.
pub fn count_nodes(
    now: Time,
    stage: Stage,
    policy: &RolloutPolicy,
    board: &NodeStatuses,
    rejecting_nodes: &RejectingNodes,
) -> StageCounts {
    let Stage {
        version,
        fraction,
        expected,
        reports_since: heard_since,
    } = stage;
    let mut counts = StageCounts::default();
    for (node, status) in board.iter().filter(|(node, _)| fraction.contains(*node)) {
        if rejecting_nodes.nodes.contains_key(&node) {
            continue;
        }
        counts.known += 1;
        if status.acknowledged >= version && status.last_report_at >= heard_since {
            counts.accepted += 1;
            let is_recent = now - status.last_report_at <= policy.max_report_age;
            counts.accepted_recently += u32::from(is_recent);
        }
    }
    counts.rejected = rejecting_nodes
        .nodes
        .keys()
        .filter(|node| fraction.contains(**node))
        .count() as u32;
    counts.known = (counts.known + counts.rejected).max(expected);
    counts
}

/// What follows from the counts of a stage that has lasted so long, in seconds.
pub fn evaluate(policy: &RolloutPolicy, counts: StageCounts, elapsed: Time) -> Verdict {
    if is_refused(policy, counts, elapsed) {
        return Verdict::Stop;
    }
    if elapsed < policy.soak_time {
        return Verdict::Wait(AdvanceBlocker::Soak);
    }
    if counts.accepted_recently + counts.rejected < policy.min_decisions {
        return Verdict::Wait(AdvanceBlocker::Decisions);
    }
    if is_share_below(
        counts.accepted_recently,
        counts.known,
        policy.min_accepted_share,
    ) {
        return Verdict::Wait(AdvanceBlocker::Acceptances);
    }
    Verdict::Advance
}

fn is_refused(policy: &RolloutPolicy, counts: StageCounts, elapsed: Time) -> bool {
    let decided = counts.accepted + counts.rejected;
    let total = if elapsed < policy.decision_time {
        counts.known
    } else {
        decided
    };
    let allowed = u64::from(policy.max_rejected_share) * u64::from(total.max(policy.min_decisions));
    let share_passed = u64::from(counts.rejected) * u64::from(ALL_NODES_THOUSANDTHS) > allowed;
    share_passed || counts.rejected > policy.max_rejected
}

fn is_share_below(count: u32, total: u32, share: u16) -> bool {
    u64::from(count) * u64::from(ALL_NODES_THOUSANDTHS) < u64::from(share) * u64::from(total)
}
