//! Evaluation of a rollout's stage: counts what its nodes reported, and decides by the policy.

use crate::node_status::NodeStatuses;
use crate::peer::PeerId;
use crate::resource::{NodeFraction, Version, ALL_NODES_THOUSANDTHS};
use crate::rollout::policy::RolloutPolicy;
use crate::rollout::record::RejectingNode;
use crate::Time;
use std::collections::BTreeMap;

/// What the nodes of a stage reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageCounts {
    /// Nodes of the stage that ever reported, or were known when the rollout began.
    pub known: u32,
    /// Nodes that acknowledged the stage's change and did not reject it.
    pub accepted: u32,
    /// Those of them that reported within the policy's age limit.
    pub accepted_recently: u32,
    /// Nodes that rejected the content, in this stage or an earlier one.
    pub rejected: u32,
}

/// Why a stage does not advance yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvanceBlocker {
    /// The soak time is not over.
    Soak,
    /// Too few nodes have decided.
    Decisions,
    /// Too few of the known nodes accepted and reported recently.
    Acceptances,
}

/// Verdict on a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Rejections exceed the threshold.
    Stop,
    /// The stage continues.
    Wait(AdvanceBlocker),
    /// The stage ends, and the next one begins.
    Advance,
}

/// The nodes that rejected a rollout, with the reasons of the first ones.
#[derive(Clone, Debug, Default)]
pub struct RejectingNodes {
    nodes: BTreeMap<PeerId, String>,
}

/// Maximum number of rejecting nodes that are retained; thresholds are exceeded long before.
pub const MAX_REJECTING_NODES: usize = crate::node_status::MAX_NODES;
/// Maximum number of reasons that are retained.
pub const MAX_REJECTION_REASONS: usize = 256;

impl RejectingNodes {
    /// Adds a rejecting node; it counts as rejecting until the rollout ends.
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

    /// The first rejecting nodes, by id.
    pub fn first(&self, max_nodes: usize) -> Vec<RejectingNode> {
        let first = self.nodes.iter().take(max_nodes);
        first
            .map(|(node, reason)| RejectingNode {
                node: *node,
                reason: reason.clone(),
            })
            .collect()
    }

    /// Retains [`MAX_REJECTION_REASONS`] nodes, once the rollout has ended.
    pub fn truncate(&mut self) {
        while self.nodes.len() > MAX_REJECTION_REASONS {
            self.nodes.pop_last();
        }
    }
}

/// A stage to be evaluated.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// The version of its change.
    pub version: Version,
    /// Its nodes.
    pub fraction: NodeFraction,
    /// Number of its nodes that were known when the rollout began.
    pub expected: u32,
    /// When this publisher began to receive rejections: an earlier acknowledgement does not count as acceptance.
    pub reports_since: Time,
}

/// Counts what the nodes of a stage reported of its change.
pub fn count_nodes(
    now: Time,
    stage: Stage,
    policy: &RolloutPolicy,
    node_statuses: &NodeStatuses,
    rejecting_nodes: &RejectingNodes,
) -> StageCounts {
    let Stage {
        version,
        fraction,
        expected,
        reports_since,
    } = stage;
    let mut counts = StageCounts::default();
    for (node, status) in node_statuses
        .iter()
        .filter(|(node, _)| fraction.contains(*node))
    {
        if rejecting_nodes.nodes.contains_key(&node) {
            continue;
        }
        counts.known += 1;
        if status.acknowledged >= version && status.last_report_at >= reports_since {
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

/// The verdict on a stage after `elapsed` seconds.
pub fn evaluate(policy: &RolloutPolicy, counts: StageCounts, elapsed: Time) -> Verdict {
    if exceeds_rejection_limits(policy, counts, elapsed) {
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

fn exceeds_rejection_limits(policy: &RolloutPolicy, counts: StageCounts, elapsed: Time) -> bool {
    let decided = counts.accepted + counts.rejected;
    let total = if elapsed < policy.decision_time {
        counts.known
    } else {
        decided
    };
    let allowed = u64::from(policy.max_rejected_share) * u64::from(total.max(policy.min_decisions));
    let is_share_exceeded = u64::from(counts.rejected) * u64::from(ALL_NODES_THOUSANDTHS) > allowed;
    is_share_exceeded || counts.rejected > policy.max_rejected
}

fn is_share_below(count: u32, total: u32, share: u16) -> bool {
    u64::from(count) * u64::from(ALL_NODES_THOUSANDTHS) < u64::from(share) * u64::from(total)
}
