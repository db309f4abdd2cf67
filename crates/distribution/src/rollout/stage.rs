//! What the nodes of a stage have said, and what follows from it by the policy.

use crate::peer::PeerId;
use crate::resource::{Part, Version, WHOLE};
use crate::rollout::policy::RolloutPolicy;
use crate::rollout::record::RefusingNode;
use crate::status::Board;
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
    pub accepted_lately: u32,
    /// Nodes that refused the content, in this stage or an earlier one.
    pub refused: u32,
}

/// Why a stage does not end yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
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
    Wait(Waiting),
    /// It is over, and the next stage begins.
    Advance,
}

/// Who refused what is rolled out, with the first reasons.
#[derive(Clone, Debug, Default)]
pub struct Refusing {
    nodes: BTreeMap<PeerId, String>,
}

/// Most nodes whose refusals are kept; of more the threshold has long been passed.
pub const REFUSING_MOST: usize = crate::status::NODES_MOST;
/// Most reasons that are kept with them.
pub const REASONS_MOST: usize = 256;

impl Refusing {
    /// A node has refused. It counts as refusing until the rollout ends.
    pub fn add(&mut self, node: PeerId, reason: String) {
        if self.nodes.contains_key(&node) || self.nodes.len() >= REFUSING_MOST {
            return;
        }
        let reason = if self.nodes.len() < REASONS_MOST {
            reason
        } else {
            String::new()
        };
        self.nodes.insert(node, reason);
    }

    /// Who refused, by number; so many at most.
    pub fn list(&self, most: usize) -> Vec<RefusingNode> {
        let named = self.nodes.iter().take(most);
        named
            .map(|(node, reason)| RefusingNode {
                node: *node,
                reason: reason.clone(),
            })
            .collect()
    }

    /// Forgets all but the first: the rollout is over.
    pub fn shorten(&mut self) {
        while self.nodes.len() > REASONS_MOST {
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
    pub part: Part,
    /// How many of them were known when the rollout began.
    pub expected: u32,
    /// Since when this author hears what they refuse: who was heard before alone does not count as accepting.
    pub heard_since: Time,
}

/// Counts what the nodes of a stage have said of its change.
pub fn count(
    now: Time,
    stage: Stage,
    policy: &RolloutPolicy,
    board: &Board,
    refusing: &Refusing,
) -> StageCounts {
    let Stage {
        version,
        part,
        expected,
        heard_since,
    } = stage;
    let mut counts = StageCounts::default();
    for (node, standing) in board.standings().filter(|(node, _)| part.holds(*node)) {
        if refusing.nodes.contains_key(&node) {
            continue;
        }
        counts.known += 1;
        if standing.upto >= version && standing.heard_at >= heard_since {
            counts.accepted += 1;
            let lately = now - standing.heard_at <= policy.max_report_age;
            counts.accepted_lately += u32::from(lately);
        }
    }
    counts.refused = refusing
        .nodes
        .keys()
        .filter(|node| part.holds(**node))
        .count() as u32;
    counts.known = (counts.known + counts.refused).max(expected);
    counts
}

/// What follows from the counts of a stage that has lasted so long, in seconds.
pub fn judge(policy: &RolloutPolicy, counts: StageCounts, lasted: Time) -> Verdict {
    if is_refused(policy, counts, lasted) {
        return Verdict::Stop;
    }
    if lasted < policy.soak {
        return Verdict::Wait(Waiting::Soak);
    }
    if counts.accepted_lately + counts.refused < policy.min_decisions {
        return Verdict::Wait(Waiting::Decisions);
    }
    if is_share_below(
        counts.accepted_lately,
        counts.known,
        policy.min_accepted_share,
    ) {
        return Verdict::Wait(Waiting::Acceptances);
    }
    Verdict::Advance
}

fn is_refused(policy: &RolloutPolicy, counts: StageCounts, lasted: Time) -> bool {
    let decided = counts.accepted + counts.refused;
    let all = if lasted < policy.decision_time {
        counts.known
    } else {
        decided
    };
    let allowed = u64::from(policy.max_refused_share) * u64::from(all.max(policy.min_decisions));
    let share_passed = u64::from(counts.refused) * u64::from(WHOLE) > allowed;
    share_passed || counts.refused > policy.max_refused
}

fn is_share_below(some: u32, all: u32, share: u16) -> bool {
    u64::from(some) * u64::from(WHOLE) < u64::from(share) * u64::from(all)
}
