//! When a rollout advances to its next stage, and what blocks it.

use crate::fixture::{
    assert_applied_on_all_nodes, default_policy, follow_both_relays, follow_relay_by_parity,
    is_canary_removed, resource, rollout_state, rollout_status, rollout_world, stage_changes,
    stage_nodes, start_rollout, take_over, StageChange, FIRST_STAGE, FIRST_WRITER, NEW_BODY, NODES,
    PREVIOUS_BODY, RELAY_OF_ODD_NODES, SECOND_WRITER, SOAK_TIME,
};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::rollout::policy::RolloutPolicy;
use reelfall_distribution::rollout::record::RolloutState;
use reelfall_distribution::rollout::stage::AdvanceBlocker;

#[test]
fn accepted_rollout_soaks_in_each_stage_and_reaches_all_nodes() {
    let mut world = rollout_world(1, follow_both_relays);
    let started_at = world.now;
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(SOAK_TIME / 2.0);
    let status = rollout_status(&world, FIRST_WRITER.publisher);
    assert_eq!(
        (status.thousandths, status.blocker),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Soak))
    );
    for id in NODES {
        let expected = if stage_nodes(FIRST_STAGE).contains(&id) {
            NEW_BODY
        } else {
            PREVIOUS_BODY
        };
        assert_eq!(world.bytes_at(id, &resource()).unwrap(), expected, "{id}");
    }
    world.run(100.0);
    let changes = stage_changes(&world);
    assert_eq!(
        changes
            .iter()
            .map(|change| change.thousandths)
            .collect::<Vec<_>>(),
        [Some(600), Some(1000), None]
    );
    let mut previous = started_at;
    for StageChange { at, .. } in changes {
        // The publisher measures the soak time by its own clock, which drifts.
        let duration = at - previous;
        assert!(
            (SOAK_TIME * 0.999..SOAK_TIME + 5.0).contains(&duration),
            "the stage took {duration} s"
        );
        previous = at;
    }
    assert_eq!(
        rollout_state(&world, FIRST_WRITER.publisher),
        RolloutState::Completed
    );
    assert_applied_on_all_nodes(&world, NEW_BODY);
    assert!(is_canary_removed(&world, FIRST_WRITER.publisher));
    world.invariants.verify();
}

#[test]
fn unreachable_nodes_block_the_next_stage() {
    let mut world = rollout_world(8, follow_relay_by_parity);
    world.partition(FIRST_WRITER.peer(), PeerId(RELAY_OF_ODD_NODES), 1e6);
    world.partition(SECOND_WRITER.peer(), PeerId(RELAY_OF_ODD_NODES), 1e6);
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
    world.run(300.0);
    let status = rollout_status(&world, FIRST_WRITER.publisher);
    assert_eq!(
        (status.thousandths, status.blocker),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Acceptances))
    );
    assert!(
        status.counts.accepted > 0 && status.counts.accepted < status.counts.known,
        "{:?}",
        status.counts
    );
    // The successor receives nothing from the region, but the record has the number of its nodes.
    world.kill(FIRST_WRITER.peer());
    take_over(&mut world, SECOND_WRITER);
    world.run(300.0);
    let status = rollout_status(&world, SECOND_WRITER.publisher);
    assert_eq!(
        (status.thousandths, status.blocker),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Acceptances))
    );
    world.partition(SECOND_WRITER.peer(), PeerId(RELAY_OF_ODD_NODES), 0.0);
    world.run(200.0);
    assert_eq!(
        rollout_state(&world, SECOND_WRITER.publisher),
        RolloutState::Completed
    );
    assert_applied_on_all_nodes(&world, NEW_BODY);
    world.invariants.verify();
}

#[test]
fn expired_reports_block_the_next_stage() {
    let mut world = rollout_world(9, follow_relay_by_parity);
    let long_soak = RolloutPolicy {
        soak_time: 300.0,
        max_report_age: 150.0,
        ..default_policy()
    };
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, long_soak);
    world.run(100.0);
    assert_eq!(
        rollout_status(&world, FIRST_WRITER.publisher).blocker,
        Some(AdvanceBlocker::Soak)
    );
    for publisher in [FIRST_WRITER.publisher, SECOND_WRITER.publisher] {
        world.partition(PeerId(publisher), PeerId(RELAY_OF_ODD_NODES), 400.0);
    }
    world.run(300.0);
    let status = rollout_status(&world, FIRST_WRITER.publisher);
    assert_eq!(
        (status.thousandths, status.blocker),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Acceptances))
    );
    assert_eq!(
        status.counts.accepted, status.counts.known,
        "all nodes accepted at some time: {:?}",
        status.counts
    );
    assert!(status.counts.accepted_recently < status.counts.known);
    world.run(200.0);
    assert!(rollout_status(&world, FIRST_WRITER.publisher).thousandths > Some(FIRST_STAGE));
}

#[test]
fn too_few_decisions_block_the_next_stage() {
    let mut world = rollout_world(10, follow_both_relays);
    let too_many_decisions = RolloutPolicy {
        min_decisions: stage_nodes(FIRST_STAGE).len() as u32 + 1,
        ..default_policy()
    };
    start_rollout(&mut world, FIRST_WRITER, NEW_BODY, too_many_decisions);
    world.run(200.0);
    let status = rollout_status(&world, FIRST_WRITER.publisher);
    assert_eq!(
        (status.thousandths, status.blocker),
        (Some(FIRST_STAGE), Some(AdvanceBlocker::Decisions))
    );
}

#[test]
fn same_seed_gives_the_same_rollout_events() {
    let events = |seed| {
        let mut world = rollout_world(seed, follow_both_relays);
        start_rollout(&mut world, FIRST_WRITER, NEW_BODY, default_policy());
        world.run(100.0);
        world.invariants.events
    };
    assert_eq!(events(21), events(21));
}
