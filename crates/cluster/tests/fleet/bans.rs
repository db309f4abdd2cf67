//! Bans and lifts by operators: their spread, expiry and conflicts.

use crate::fixture::{gathered_world, is_banned_on_all, is_banned_on_none};
use reelfall_emulator::cluster::{Cluster, Violation};

#[test]
fn ban_and_lift_reach_all_nodes_within_a_second() {
    for (nodes, loss) in [(2, 0.0), (9, 0.0), (40, 0.0), (40, 0.05)] {
        let mut world = gathered_world(nodes, 7);
        world.links.loss = loss;
        world
            .with_node(nodes - 1, |fleet, now| fleet.ban(now, "sick", "ada", None))
            .unwrap();
        let took = world.run_until(10.0, |world| is_banned_on_all(world, "sick"));
        assert!(took < 1.0, "{nodes} nodes, loss {loss}: {took} s");
        world.with_node(0, |fleet, now| {
            assert_eq!(fleet.lift(now, "sick", "obi"), 1)
        });
        let took = world.run_until(10.0, |world| is_banned_on_none(world, "sick"));
        assert!(
            took < 1.0,
            "{nodes} nodes, loss {loss}: lifted after {took} s"
        );
        assert_eq!(world.violations, Vec::<Violation>::new());
    }
}

#[test]
fn ban_expires_on_partitioned_nodes() {
    let mut world = gathered_world(5, 3);
    world
        .with_node(0, |fleet, now| fleet.ban(now, "sick", "ada", Some(5.0)))
        .unwrap();
    world.run_until(2.0, |world| is_banned_on_all(world, "sick"));
    let all: Vec<usize> = (0..5).collect();
    world.partition(&all, &all);
    world.run(3.0);
    assert!(is_banned_on_all(&world, "sick"));
    world.run(2.0);
    assert!(is_banned_on_none(&world, "sick"));
    assert_eq!(world.violations, Vec::<Violation>::new());
    assert!(
        world.max_age_ratio > 0.9,
        "the bound was not approached, so the test shows nothing"
    );
}

#[test]
fn ban_expires_in_time_despite_slow_clocks() {
    let mut world = gathered_world(5, 61);
    world
        .with_node(0, |fleet, now| fleet.ban(now, "sick", "ada", Some(900.0)))
        .unwrap();
    world.run(901.0);
    assert_eq!(world.violations, Vec::<Violation>::new());
    assert!(is_banned_on_none(&world, "sick") && world.max_age_ratio > 0.99);
}

#[test]
fn paused_node_does_not_renew_expired_bans() {
    let mut world = gathered_world(4, 11);
    // Datagrams queue up at a paused node; the ban has expired when it resumes.
    world.freeze(3);
    world
        .with_node(0, |fleet, now| fleet.ban(now, "sick", "ada", Some(4.0)))
        .unwrap();
    world.run(20.0);
    world.thaw(3);
    world.check_invariants();
    assert!(
        !world.banned_servers(3).contains("sick"),
        "a ban that expired during the pause is active"
    );
    world.run(3.0);
    assert!(is_banned_on_none(&world, "sick"));
    // And a ban that it had when it was paused.
    world.run_until(20.0, Cluster::is_converged);
    world
        .with_node(3, |fleet, now| fleet.ban(now, "other", "ada", Some(4.0)))
        .unwrap();
    world.freeze(3);
    world.run(10.0);
    world.thaw(3);
    world.run(3.0);
    assert!(is_banned_on_none(&world, "other"));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

#[test]
fn lift_during_a_partition_covers_only_the_bans_known_to_it() {
    let mut world = gathered_world(6, 5);
    world
        .with_node(0, |fleet, now| fleet.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(2.0, |world| is_banned_on_all(world, "sick"));
    world.partition(&[0, 1, 2], &[3, 4, 5]);
    world.run(1.0);
    // Lifted on one side alone: the ban stays active on the other until the partition ends.
    world
        .with_node(1, |fleet, now| fleet.lift(now, "sick", "obi"))
        .unwrap();
    world.run(20.0);
    assert!(world.banned_servers(2).is_empty() && world.banned_servers(4).contains("sick"));
    world.heal();
    world.run_until(20.0, |world| is_banned_on_none(world, "sick"));
    world.run(30.0);
    assert!(
        is_banned_on_none(&world, "sick"),
        "a lifted ban is active again"
    );
    // Lifted on one side while an operator bans again on the other: the lift does not cover the new ban.
    world.run_until(60.0, Cluster::is_converged);
    world
        .with_node(0, |fleet, now| fleet.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(2.0, |world| is_banned_on_all(world, "sick"));
    world.partition(&[0, 1, 2], &[3, 4, 5]);
    world
        .with_node(1, |fleet, now| fleet.lift(now, "sick", "obi"))
        .unwrap();
    world
        .with_node(4, |fleet, now| fleet.ban(now, "sick", "eze", None))
        .unwrap();
    world.run(5.0);
    world.heal();
    world.run_until(30.0, |world| is_banned_on_all(world, "sick"));
    world.with_node(2, |fleet, now| {
        assert_eq!(fleet.lift(now, "sick", "obi"), 1)
    });
    world.run_until(5.0, |world| is_banned_on_none(world, "sick"));
    assert_eq!(world.violations, Vec::<Violation>::new());
}
