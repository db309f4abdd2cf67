//! Rollouts that an operator, or another change of the resource, brings to an end.

use crate::fixture::{
    assert_applied_on_all_nodes, default_policy, follow_both_relays, is_canary_removed, publish,
    resource, revert_canary, roll_out, rollout_draft, rollout_state, rollout_status, rollout_world,
    stage_changes, stage_nodes, start_rollout, take_over, FIRST_STAGE, FIRST_WRITER, NEW_BODY,
    NODES, PREVIOUS_BODY, SECOND_WRITER, SEED, SOAK_TIME,
};
use crate::world::{claim, REJECTED_BY_ODD_NODES};
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::resource::{Draft, NodeFraction};
use reelfall_distribution::rollout::policy::{OnRejections, RolloutPolicy};
use reelfall_distribution::rollout::record::RolloutState;

const MANUAL_BODY: &[u8] = b"by hand";

#[test]
fn halted_rollout_stays_at_its_stage_until_reverted() {
    let mut world = rollout_world(5, follow_both_relays);
    let halting = RolloutPolicy {
        on_rejections: OnRejections::Halt,
        ..default_policy()
    };
    start_rollout(
        &mut world,
        FIRST_WRITER,
        REJECTED_BY_ODD_NODES,
        halting.clone(),
    );
    world.run(3.0 * SOAK_TIME);
    assert!(matches!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Halted(_)
    ));
    assert_eq!(
        rollout_status(&world, FIRST_WRITER.publisher).thousandths,
        Some(FIRST_STAGE)
    );
    for id in NODES {
        let accepted = id % 2 == 0 && stage_nodes(FIRST_STAGE).contains(&id);
        assert_eq!(
            world.bytes_at(id, &resource()).unwrap(),
            if accepted {
                REJECTED_BY_ODD_NODES
            } else {
                PREVIOUS_BODY
            }
        );
    }
    assert_eq!(
        roll_out(&mut world, FIRST_WRITER, rollout_draft(NEW_BODY, halting)),
        Err(PublishError::RolloutOpen)
    );
    // A successor does not continue it either.
    world.kill(FIRST_WRITER.peer());
    take_over(&mut world, SECOND_WRITER);
    world.run(3.0 * SOAK_TIME);
    assert!(matches!(
        rollout_state(&world, SECOND_WRITER.publisher),
        RolloutState::Halted(_)
    ));
    assert_eq!(stage_changes(&world).len(), 1);
    revert_canary(&mut world, SECOND_WRITER);
    world.run(5.0);
    assert_eq!(
        rollout_state(&world, SECOND_WRITER.publisher),
        RolloutState::Ended
    );
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
    world.invariants.verify();
}

#[test]
fn operator_promotes_or_reverts_a_running_rollout() {
    for promotes in [true, false] {
        let mut world = rollout_world(6, follow_both_relays);
        start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
        world.run(SOAK_TIME / 2.0);
        if promotes {
            let promoted =
                world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
                    publisher.promote_canary(now, &claim(FIRST_WRITER.token), &resource(), outputs)
                });
            promoted.unwrap().unwrap();
        } else {
            revert_canary(&mut world, FIRST_WRITER);
        }
        world.run(3.0 * SOAK_TIME);
        let (ended, body) = if promotes {
            (RolloutState::Completed, NEW_BODY)
        } else {
            (RolloutState::Ended, PREVIOUS_BODY)
        };
        assert_eq!(rollout_state(&world, FIRST_WRITER.publisher), ended);
        assert_eq!(
            stage_changes(&world).len(),
            1,
            "the rollout continued after its end"
        );
        assert_applied_on_all_nodes(&world, body);
        start_rollout(&mut world, FIRST_WRITER, b"newer", default_policy());
        world.invariants.verify();
    }
}

#[test]
fn later_change_of_the_resource_supersedes_its_rollout() {
    let mut world = rollout_world(7, follow_both_relays);
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(SOAK_TIME / 2.0);
    publish(&mut world, FIRST_WRITER, b"other").unwrap();
    world.run(3.0 * SOAK_TIME);
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Superseded
    );
    assert!(is_canary_removed(&world, FIRST_WRITER.publisher));
    assert_applied_on_all_nodes(&world, b"other");
    // A manual canary replaces that of a rollout, and the superseded rollout does not remove it.
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(SOAK_TIME / 2.0);
    let manual_canary = Draft::put(resource(), MANUAL_BODY);
    let all_nodes = NodeFraction {
        thousandths: 1000,
        seed: SEED,
    };
    world
        .with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
            publisher.publish_canary(
                now,
                &claim(FIRST_WRITER.token),
                manual_canary,
                all_nodes,
                outputs,
            )
        })
        .unwrap()
        .unwrap();
    world.run(3.0 * SOAK_TIME);
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Superseded
    );
    assert_applied_on_all_nodes(&world, MANUAL_BODY);
    world.invariants.verify();
}
