//! Publishers that crash, restart, lose the lease or are succeeded during a rollout.

use crate::fixture::{
    assert_applied_on_all_nodes, default_policy, follow_both_relays, resource, revert_canary,
    roll_out, rollout_draft, rollout_state, rollout_status, rollout_world, stage_changes,
    start_rollout, take_over, Writer, FIRST_STAGE, FIRST_WRITER, LEASE_DURATION, NEW_BODY,
    PREVIOUS_BODY, RELAYS, SECOND_WRITER, SOAK_TIME,
};
use crate::world::{grant_lease, REJECTED_BY_ODD_NODES};
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::rollout::policy::RolloutPolicy;
use reelfall_distribution::rollout::record::RolloutState;
use reelfall_distribution::rollout::stage::AdvanceBlocker;

/// The token of the next lease after that of [`FIRST_WRITER`].
const SECOND_TOKEN: u64 = 2;

#[test]
fn publisher_restarted_between_stages_continues_the_rollout() {
    let mut world = rollout_world(11, follow_both_relays);
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(SOAK_TIME + 10.0);
    assert_eq!(
        rollout_status(&world, FIRST_WRITER.publisher).thousandths,
        Some(600)
    );
    world.kill(FIRST_WRITER.peer());
    world.run(60.0);
    assert_eq!(
        stage_changes(&world).len(),
        1,
        "the rollout continued without a publisher"
    );
    world.start(FIRST_WRITER.peer());
    let restarted_at = world.now;
    take_over(
        &mut world,
        Writer {
            token: SECOND_TOKEN,
            ..FIRST_WRITER
        },
    );
    let resumed = Event::RolloutResumed {
        name: resource(),
        thousandths: 600,
    };
    assert!(world
        .invariants
        .events
        .iter()
        .any(|recorded| recorded.event == resumed));
    assert_eq!(
        rollout_status(&world, FIRST_WRITER.publisher).blocker,
        Some(AdvanceBlocker::Soak),
        "the stage soaks again from its start"
    );
    world.run(150.0);
    let next_stage_at = stage_changes(&world)[1].at;
    assert!(next_stage_at - restarted_at >= SOAK_TIME, "{next_stage_at}");
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Completed
    );
    assert_applied_on_all_nodes(&world, NEW_BODY);
    world.invariants.verify();
}

#[test]
fn successor_continues_the_rollout_and_knows_the_rejecting_nodes() {
    let mut world = rollout_world(12, follow_both_relays);
    let tolerant = RolloutPolicy {
        max_rejected_share: 800,
        min_accepted_share: 200,
        ..default_policy()
    };
    start_rollout(&mut world, FIRST_WRITER, REJECTED_BY_ODD_NODES, tolerant);
    world.run(SOAK_TIME / 2.0);
    let counts = rollout_status(&world, FIRST_WRITER.publisher).counts;
    assert!(counts.rejected > 0);
    let rejecting = rollout_status(&world, FIRST_WRITER.publisher).rejecting_nodes;
    world.kill(FIRST_WRITER.peer());
    take_over(&mut world, SECOND_WRITER);
    assert_eq!(
        rollout_status(&world, SECOND_WRITER.publisher).thousandths,
        Some(FIRST_STAGE)
    );
    assert_eq!(
        rollout_status(&world, SECOND_WRITER.publisher).rejecting_nodes,
        rejecting
    );
    world.run(200.0);
    assert_eq!(
        rollout_state(&world, SECOND_WRITER.publisher),
        RolloutState::Completed
    );
    world.invariants.verify();
}

/// A publisher that loses the lease and acquires it again retains the acknowledged versions, but not the rejections.
#[test]
fn acknowledgements_of_an_earlier_lease_do_not_count_as_acceptances() {
    let mut world = rollout_world(22, follow_both_relays);
    let tolerant = RolloutPolicy {
        max_rejected_share: 800,
        min_accepted_share: 200,
        soak_time: 300.0,
        ..default_policy()
    };
    start_rollout(&mut world, FIRST_WRITER, REJECTED_BY_ODD_NODES, tolerant);
    world.run(20.0);
    assert!(
        rollout_status(&world, FIRST_WRITER.publisher)
            .counts
            .accepted
            > 0
    );
    world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.step_down(now, outputs)
    });
    for relay in RELAYS {
        world.partition(FIRST_WRITER.peer(), PeerId(relay), 100.0);
    }
    grant_lease(
        &mut world,
        FIRST_WRITER.publisher,
        SECOND_TOKEN,
        LEASE_DURATION,
    );
    world.run(30.0);
    let counts = rollout_status(&world, FIRST_WRITER.publisher).counts;
    assert!(world.publisher_of(FIRST_WRITER.publisher).is_publishing() && counts.known > 0);
    assert_eq!(
        (counts.accepted, counts.rejected),
        (0, 0),
        "no report was received under the new lease"
    );
}

/// A publisher is partitioned during its rollout; the decision of its successor prevails.
#[test]
fn publisher_with_an_older_token_cannot_roll_out() {
    let mut world = rollout_world(14, follow_both_relays);
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(SOAK_TIME / 2.0);
    for relay in RELAYS {
        world.partition(FIRST_WRITER.peer(), PeerId(relay), 200.0);
    }
    world.run(5.0);
    grant_lease(
        &mut world,
        SECOND_WRITER.publisher,
        SECOND_WRITER.token,
        LEASE_DURATION,
    );
    world.run(15.0);
    revert_canary(&mut world, SECOND_WRITER);
    world.run(100.0);
    // It still assumes that it holds the lease, and had received the reports of all nodes of its first stage.
    assert!(world.publisher_of(FIRST_WRITER.publisher).is_publishing());
    world.run(200.0);
    assert!(
        !world.publisher_of(FIRST_WRITER.publisher).is_publishing()
            || rollout_status(&world, FIRST_WRITER.publisher).record.state
                != RolloutState::Completed
    );
    assert_eq!(
        rollout_state(&world, SECOND_WRITER.publisher),
        RolloutState::Ended
    );
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
    assert!(roll_out(
        &mut world,
        FIRST_WRITER,
        rollout_draft(NEW_BODY, default_policy())
    )
    .is_err());
    world.run(60.0);
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
    world.invariants.verify();
}

/// The publisher crashes after each output of a rollback and of a completion. Its successor, or itself after a restart,
/// brings all nodes to one content and reports how the rollout ended.
#[test]
fn publisher_crash_after_any_output_preserves_the_rollout_outcome() {
    for body in [REJECTED_BY_ODD_NODES, NEW_BODY] {
        for outputs_before_crash in 0..12 {
            for successor in [FIRST_WRITER.publisher, SECOND_WRITER.publisher] {
                crash_at_end_of_rollout(CrashCase {
                    body,
                    outputs_before_crash,
                    successor,
                });
            }
        }
    }
}

/// A crash of the first publisher while its rollout ends.
#[derive(Clone, Copy, Debug)]
struct CrashCase {
    body: &'static [u8],
    outputs_before_crash: usize,
    successor: u32,
}

fn crash_at_end_of_rollout(case: CrashCase) {
    let CrashCase {
        body,
        outputs_before_crash,
        successor,
    } = case;
    let mut world = rollout_world(18, follow_both_relays);
    let single_stage = RolloutPolicy {
        stages: vec![1000],
        ..default_policy()
    };
    let is_accepted = body == NEW_BODY;
    start_rollout(&mut world, FIRST_WRITER, body, single_stage);
    if is_accepted {
        world.run(SOAK_TIME - 0.1);
    }
    // No acknowledgement is due then, so the next outputs are those of the rollout's end.
    while rollout_state(&world, FIRST_WRITER.publisher) == RolloutState::Running {
        assert!(world.processes[&FIRST_WRITER.peer()].machine.is_some());
        world.kill_after(FIRST_WRITER.peer(), outputs_before_crash);
        world.run(0.02);
        if world.processes[&FIRST_WRITER.peer()].machine.is_none() {
            break;
        }
    }
    world.kill(FIRST_WRITER.peer());
    if successor == FIRST_WRITER.publisher {
        world.start(FIRST_WRITER.peer());
    }
    world.run(20.0);
    take_over(
        &mut world,
        Writer {
            publisher: successor,
            token: SECOND_TOKEN,
        },
    );
    world.run(150.0);
    let ended = rollout_state(&world, successor);
    assert!(!ended.is_open(), "{case:?}: {ended:?}");
    let expected = if ended == RolloutState::Completed {
        body
    } else {
        PREVIOUS_BODY
    };
    assert!(
        is_accepted || ended != RolloutState::Completed,
        "{case:?}: {ended:?}"
    );
    assert_applied_on_all_nodes(&world, expected);
    world.invariants.verify();
}
