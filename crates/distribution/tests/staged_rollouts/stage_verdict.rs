//! The verdict on a stage by the counts of its nodes alone.

use crate::fixture::{default_policy, SOAK_TIME};
use reelfall_distribution::rollout::policy::RolloutPolicy;
use reelfall_distribution::rollout::stage::{self, AdvanceBlocker, StageCounts, Verdict};

fn strict_policy() -> RolloutPolicy {
    RolloutPolicy {
        max_rejected_share: 100,
        max_rejected: 50,
        min_decisions: 20,
        min_accepted_share: 800,
        ..default_policy()
    }
}

fn verdict_after_soak(counts: StageCounts) -> Verdict {
    stage::evaluate(&strict_policy(), counts, SOAK_TIME)
}

fn verdict_before_decision_time(counts: StageCounts) -> Verdict {
    let policy = strict_policy();
    stage::evaluate(&policy, counts, policy.decision_time / 2.0)
}

/// `rejected` of 100 nodes rejected, and no other node has decided.
fn only_rejections(rejected: u32) -> StageCounts {
    StageCounts {
        known: 100,
        accepted: 0,
        accepted_recently: 0,
        rejected,
    }
}

/// All nodes decided recently.
fn all_decided(accepted: u32, rejected: u32) -> StageCounts {
    StageCounts {
        known: accepted + rejected,
        accepted,
        accepted_recently: accepted,
        rejected,
    }
}

#[test]
fn stage_verdict_after_the_soak_time_depends_on_the_counts() {
    // Of the required 20 decisions two may be rejections, also while fewer nodes have decided.
    assert_eq!(
        verdict_after_soak(only_rejections(2)),
        Verdict::Wait(AdvanceBlocker::Decisions)
    );
    assert_eq!(verdict_after_soak(only_rejections(3)), Verdict::Stop);
    assert_eq!(verdict_after_soak(all_decided(27, 3)), Verdict::Advance);
    assert_eq!(verdict_after_soak(all_decided(26, 4)), Verdict::Stop);
}

#[test]
fn stage_verdict_requires_recent_acceptances_to_advance() {
    // An acceptance counts against rejections even if it is not recent.
    let mostly_expired = StageCounts {
        known: 1000,
        accepted: 90,
        accepted_recently: 10,
        rejected: 10,
    };
    assert_eq!(
        verdict_after_soak(mostly_expired),
        Verdict::Wait(AdvanceBlocker::Acceptances)
    );
    let accepted_by_required_share = StageCounts {
        known: 1000,
        accepted: 800,
        accepted_recently: 800,
        rejected: 0,
    };
    let one_expired = StageCounts {
        accepted_recently: 799,
        ..accepted_by_required_share
    };
    assert_eq!(
        verdict_after_soak(one_expired),
        Verdict::Wait(AdvanceBlocker::Acceptances)
    );
    assert_eq!(
        verdict_after_soak(accepted_by_required_share),
        Verdict::Advance
    );
    let above_maximum_count = StageCounts {
        known: 1000,
        accepted: 900,
        accepted_recently: 900,
        rejected: 51,
    };
    assert_eq!(verdict_after_soak(above_maximum_count), Verdict::Stop);
}

#[test]
fn stage_verdict_before_the_decision_time_assumes_that_undecided_nodes_accept() {
    assert_eq!(
        verdict_before_decision_time(only_rejections(10)),
        Verdict::Wait(AdvanceBlocker::Soak)
    );
    let policy = strict_policy();
    assert_eq!(
        stage::evaluate(&policy, only_rejections(10), policy.decision_time),
        Verdict::Stop
    );
    assert_eq!(
        verdict_before_decision_time(only_rejections(11)),
        Verdict::Stop
    );
    assert_eq!(
        verdict_before_decision_time(all_decided(100, 0)),
        Verdict::Wait(AdvanceBlocker::Soak)
    );
}
