//! Rejections by nodes: which ones count, and when they roll a rollout back.

use crate::fixture::{
    assert_applied_on_all_nodes, canary_version, default_policy, follow_both_relays,
    follow_relay_by_parity, is_rolled_back, publish, resource, roll_out, rollout_draft,
    rollout_state, rollout_status, rollout_world, stage_changes, stage_nodes, start_rollout,
    take_over, FIRST_STAGE, FIRST_WRITER, NEW_BODY, NODES, PREVIOUS_BODY, RELAYS,
    RELAY_OF_ODD_NODES, SECOND_WRITER, SOAK_TIME,
};
use crate::world::{claim, REJECTED_BY_ODD_NODES};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name};
use reelfall_distribution::rollout::policy::RolloutPolicy;
use reelfall_distribution::rollout::record::RolloutState;

#[test]
fn first_stage_includes_accepting_and_rejecting_nodes() {
    let first = stage_nodes(FIRST_STAGE);
    assert!(
        first.iter().any(|id| id % 2 == 0) && first.iter().any(|id| id % 2 == 1),
        "{first:?}"
    );
    assert!(first.len() < stage_nodes(600).len() && stage_nodes(600).len() < NODES.len());
}

#[test]
fn rejections_above_the_threshold_roll_back_and_report_their_reasons() {
    let mut world = rollout_world(2, follow_both_relays);
    let started_at = world.now;
    start_rollout(
        &mut world,
        FIRST_WRITER,
        REJECTED_BY_ODD_NODES,
        default_policy(),
    );
    world.run(5.0);
    let stopped_at = stage_changes(&world)[0].at;
    assert!(
        stopped_at - started_at < 2.0,
        "rolled back after {} s",
        stopped_at - started_at
    );
    let rejecting: Vec<u32> = stage_nodes(FIRST_STAGE)
        .into_iter()
        .filter(|id| id % 2 == 1)
        .collect();
    let status = rollout_status(&world, FIRST_WRITER.publisher);
    let reported: Vec<u32> = status
        .rejecting_nodes
        .iter()
        .map(|rejection| rejection.node.0)
        .collect();
    assert!(
        !reported.is_empty() && reported.iter().all(|id| rejecting.contains(id)),
        "{reported:?} of {rejecting:?}"
    );
    assert!(status
        .rejecting_nodes
        .iter()
        .all(|rejection| rejection.reason == "odd numbers can't"));
    let RolloutState::RolledBack(stop) = status.record.state else {
        panic!("{:?}", status.record.state)
    };
    assert_eq!(
        (stop.thousandths, stop.rejecting_nodes.len() as u32),
        (FIRST_STAGE, stop.rejected)
    );
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
    world.run(3.0 * SOAK_TIME);
    assert_eq!(
        stage_changes(&world).len(),
        1,
        "the rollout continued after its end"
    );
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
    // A successor reports the same.
    world.kill(FIRST_WRITER.peer());
    take_over(&mut world, SECOND_WRITER);
    assert_eq!(
        rollout_state(&world, SECOND_WRITER.publisher),
        RolloutState::RolledBack(stop)
    );
    world.invariants.verify();
}

#[test]
fn rejections_within_the_threshold_do_not_stop_the_rollout() {
    let mut world = rollout_world(3, follow_both_relays);
    let tolerant = RolloutPolicy {
        max_rejected_share: 800,
        min_accepted_share: 200,
        ..default_policy()
    };
    start_rollout(&mut world, FIRST_WRITER, REJECTED_BY_ODD_NODES, tolerant);
    world.run(120.0);
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Completed
    );
    for id in NODES {
        let expected = if id % 2 == 1 {
            PREVIOUS_BODY
        } else {
            REJECTED_BY_ODD_NODES
        };
        assert_eq!(world.bytes_at(id, &resource()).unwrap(), expected, "{id}");
    }
    world.invariants.verify();
}

#[test]
fn rejections_above_the_maximum_count_roll_back_whatever_their_share() {
    let mut world = rollout_world(4, follow_both_relays);
    let limited_by_count = RolloutPolicy {
        max_rejected_share: 1000,
        max_rejected: 0,
        ..default_policy()
    };
    start_rollout(
        &mut world,
        FIRST_WRITER,
        REJECTED_BY_ODD_NODES,
        limited_by_count,
    );
    world.run(5.0);
    assert!(is_rolled_back(&world, FIRST_WRITER.publisher));
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
}

/// A relay acknowledged rejections and crashed before it forwarded them: its nodes report them again before their
/// acknowledgements.
#[test]
fn rejections_lost_with_a_relay_are_reported_again() {
    let mut world = rollout_world(13, follow_relay_by_parity);
    let long_soak = RolloutPolicy {
        soak_time: 60.0,
        ..default_policy()
    };
    start_rollout(&mut world, FIRST_WRITER, REJECTED_BY_ODD_NODES, long_soak);
    // The relay has the canary by now; the partition keeps the reports of its nodes from the publishers.
    world.run(0.08);
    for publisher in [FIRST_WRITER.publisher, SECOND_WRITER.publisher] {
        world.partition(PeerId(publisher), PeerId(RELAY_OF_ODD_NODES), 30.0);
    }
    world.run(20.0);
    let rejecting: Vec<u32> = stage_nodes(FIRST_STAGE)
        .into_iter()
        .filter(|id| id % 2 == 1)
        .collect();
    let has_canary =
        |id: &u32| world.node_of(*id).head() >= canary_version(&world, FIRST_WRITER.publisher);
    assert!(
        rejecting.iter().all(has_canary),
        "a node has not received the canary"
    );
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Running
    );
    assert_eq!(
        rollout_status(&world, FIRST_WRITER.publisher)
            .counts
            .rejected,
        0
    );
    world.kill(PeerId(RELAY_OF_ODD_NODES));
    world.start(PeerId(RELAY_OF_ODD_NODES));
    world.run(150.0);
    let RolloutState::RolledBack(stop) = rollout_state(&world, FIRST_WRITER.publisher) else {
        panic!("{:?}", rollout_status(&world, FIRST_WRITER.publisher))
    };
    assert_eq!(
        stop.thousandths, FIRST_STAGE,
        "the stage ended without the rejections"
    );
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
    world.invariants.verify();
}

/// Nodes that lag behind receive the rollback before the rest of the canary.
#[test]
fn rollback_overtakes_the_canary_still_in_transfer() {
    let mut world = rollout_world(15, follow_relay_by_parity);
    let mut body = REJECTED_BY_ODD_NODES.to_vec();
    body.resize(30_000, 7);
    // Even nodes have half of the canary when the odd ones reject it.
    for id in NODES.filter(|id| id % 2 == 0) {
        world.pause(PeerId(id), 2.5);
    }
    roll_out(
        &mut world,
        FIRST_WRITER,
        rollout_draft(&body, default_policy()),
    )
    .unwrap();
    let canary = canary_version(&world, FIRST_WRITER.publisher);
    while !is_rolled_back(&world, FIRST_WRITER.publisher) {
        world.run(0.01);
        assert!(world.now < 200.0, "not rolled back");
    }
    let drafts = (0..60)
        .map(|index| Draft::put(Name::service("a", &format!("r{index}")), &[index; 1000]))
        .collect();
    world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.publish(now, &claim(FIRST_WRITER.token), drafts, outputs)
    });
    for _ in 0..15 {
        world.run(0.1);
        for id in stage_nodes(FIRST_STAGE) {
            assert_eq!(
                world.bytes_at(id, &resource()).as_deref(),
                Some(PREVIOUS_BODY),
                "{id}"
            );
        }
    }
    for id in stage_nodes(FIRST_STAGE) {
        let version = world
            .node_of(id)
            .applied_change(&resource())
            .unwrap()
            .version;
        assert!(version > canary, "{id} has not received the rollback");
    }
    world.run(60.0);
    assert_applied_on_all_nodes(&world, PREVIOUS_BODY);
    world.invariants.verify();
}

/// A node outside the stage reports its rejection of the stable content under the version that ends the canary.
#[test]
fn rejections_outside_the_stage_do_not_count() {
    let mut world = rollout_world(16, follow_both_relays);
    publish(&mut world, FIRST_WRITER, REJECTED_BY_ODD_NODES).unwrap();
    world.run(10.0);
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(150.0);
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Completed
    );
    assert_applied_on_all_nodes(&world, NEW_BODY);
}

/// Each session repeats the rejections of an earlier rollout of the resource.
#[test]
fn rejections_of_an_earlier_rollout_do_not_count() {
    let mut world = rollout_world(17, follow_both_relays);
    start_rollout(
        &mut world,
        FIRST_WRITER,
        REJECTED_BY_ODD_NODES,
        default_policy(),
    );
    world.run(10.0);
    assert!(is_rolled_back(&world, FIRST_WRITER.publisher));
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(SOAK_TIME / 2.0);
    for relay in RELAYS {
        world.kill(PeerId(relay));
        world.start(PeerId(relay));
    }
    world.run(150.0);
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Completed
    );
    assert_applied_on_all_nodes(&world, NEW_BODY);
}
