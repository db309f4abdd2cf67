//! Membership: crashes, restarts, pauses, partitions and name conflicts.

use crate::fixture::{gathered_world, is_banned_on_all};
use reelfall_cluster::entry::{Key, Value};
use reelfall_emulator::cluster::Cluster;

#[test]
fn partitioned_halves_rejoin_after_a_minute() {
    let mut world = gathered_world(12, 17);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..12).partition(|node| node % 2 == 0);
    world.partition(&one, &other);
    world.run(60.0);
    assert!(
        (0..12).all(|node| world.member_count(node) == 5),
        "partitioned nodes are still members"
    );
    world.heal();
    world.run_until(30.0, Cluster::is_converged);
    // Neither a partition in one direction nor one between two nodes that others reach removes a member.
    world.partition_one_way(&[1], &[2, 3]);
    world.partition(&[4], &[5]);
    world.run(30.0);
    assert!(
        (0..12).all(|node| world.member_count(node) == 11),
        "a node that can be reached indirectly was removed"
    );
}

#[test]
fn crash_and_restart_in_a_large_cluster_are_detected_in_time() {
    let mut world = gathered_world(100, 73);
    for node in [40, 41, 42] {
        world.kill(node);
        // The time to the next probe, the probe itself and the suspicion timeout.
        let took = world.run_until(20.0, |world| {
            (0..100)
                .any(|other| world.processes[other].is_some() && world.member_count(other) == 98)
        });
        assert!(
            took > 4.0 && took < 8.0,
            "the crash was detected after {took} s"
        );
        world.run_until(3.0, |world| {
            (0..100)
                .all(|other| world.processes[other].is_none() || world.member_count(other) == 98)
        });
        world.start(node);
        let took = world.run_until(20.0, Cluster::is_converged);
        assert!(
            took < 8.0,
            "the restarted node has all members after {took} s"
        );
    }
}

#[test]
fn crash_of_most_nodes_is_detected_without_false_positives() {
    let mut world = gathered_world(60, 79);
    (20..60).for_each(|node| world.kill(node));
    let took = world.run_until(60.0, |world| {
        (0..20).all(|node| world.member_count(node) == 19)
    });
    assert!(took < 25.0, "{took} s");
    assert_eq!(world.false_positives, 0);
    (20..60).for_each(|node| world.start(node));
    let took = world.run_until(60.0, Cluster::is_converged);
    assert!(took < 15.0, "rejoined after {took} s");
}

#[test]
fn missed_death_is_learned_by_the_next_comparison() {
    let mut world = gathered_world(30, 83);
    world.inbox_capacity = 0;
    world.kill(29);
    // It is paused while the others spread the death, and all datagrams to it are lost.
    world.run_until(20.0, |world| {
        (0..29).any(|other| world.member_count(other) == 28)
    });
    let late = (0..29)
        .find(|other| world.member_count(*other) == 29)
        .unwrap();
    world.freeze(late);
    world.run(2.0);
    world.thaw(late);
    let took = world.run_until(20.0, |world| world.member_count(late) == 28);
    assert!(took < 4.0, "{took} s");
}

#[test]
fn resumed_node_restarts_the_suspicion_timeout() {
    // A node suspects the others, is paused for longer than the suspicion timeout, and loses all datagrams of that time.
    for (pause, seed) in [(5.0, 1), (8.0, 2), (12.0, 3), (6.0, 4)] {
        let mut world = gathered_world(6, 89 + seed);
        world.inbox_capacity = 0;
        world.partition_one_way(&[0], &[1, 2, 3, 4, 5]);
        world.partition_one_way(&[1, 2, 3, 4, 5], &[0]);
        world.run(2.5);
        world.freeze(0);
        world.heal();
        world.run(pause);
        world.thaw(0);
        world.run(3.0);
        assert_eq!(
            world.false_positives, 0,
            "a node that was paused for {pause} s removed others"
        );
    }
}

#[test]
fn suspected_nodes_refute_in_time_on_lossy_links() {
    let mut world = gathered_world(60, 97);
    world.links.loss = 0.4;
    world.run(60.0);
    assert_eq!(world.false_positives, 0, "a running node was removed");
}

#[test]
fn restarted_process_has_a_later_incarnation_without_old_entries() {
    let mut world = gathered_world(5, 23);
    let first = world.incarnation(4);
    world
        .with_node(4, |fleet, now| fleet.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(2.0, |world| is_banned_on_all(world, "sick"));
    world.kill(4);
    world.run(1.0);
    world.start(4);
    world.run_until(20.0, |world| {
        world.is_converged() && world.incarnation(4) > first
    });
    assert!(world.incarnation(4).number > first.number && world.incarnation(4).tag != first.tag);
    world.run_until(5.0, |world| world.banned_servers(4).contains("sick"));
    // Its entries count at once, though it numbers them from one again.
    world
        .with_node(4, |fleet, now| fleet.ban(now, "new", "ada", None))
        .unwrap();
    world.run_until(2.0, |world| is_banned_on_all(world, "new"));
    // It leaves; its next incarnation does not.
    world.with_node(4, |fleet, now| fleet.leave(now)).unwrap();
    world.run(1.0);
    world.kill(4);
    world.start(4);
    world.run_until(20.0, Cluster::is_converged);
    let incarnation = world.incarnation(4);
    world.run(2.0);
    let leaving = |node: usize| {
        let process = world.processes[node].as_ref().unwrap();
        let live = process.fleet.table().live(process.local_time(world.now));
        live.filter(|(key, held)| {
            held.value == Value::Leaving
                && matches!(key, Key::Leaving { incarnation: entry_incarnation, .. } if *entry_incarnation == incarnation)
        })
        .count()
    };
    assert!((0..5).all(|node| leaving(node) == 0));
}

#[test]
fn one_of_two_processes_with_the_same_name_reports_a_conflict() {
    let mut world = gathered_world(4, 29);
    world.processes.push(None);
    world.start_as(4, "node-3");
    world.run(20.0);
    let has_conflict = |node: usize| {
        let process = world.processes[node].as_ref().unwrap();
        process
            .fleet
            .has_name_conflict(process.local_time(world.now))
    };
    assert_eq!(
        [3, 4]
            .into_iter()
            .filter(|node| has_conflict(*node))
            .count(),
        1,
        "exactly one of the two reports the conflict"
    );
    assert!((0..3).all(|node| !has_conflict(node)));
    // The entries of the other one are accepted.
    let accepted = if has_conflict(3) { 4 } else { 3 };
    world
        .with_node(accepted, |fleet, now| fleet.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(3.0, |world| is_banned_on_all(world, "sick"));
}

#[test]
fn node_rejoins_after_all_others_have_restarted() {
    let mut world = gathered_world(5, 53);
    // It addresses incarnations that have ended, and their entries say that it is dead itself.
    world.partition(&[4], &[0, 1, 2, 3]);
    world.run(15.0);
    (0..4).for_each(|node| world.start(node));
    world.heal();
    world.run_until(20.0, Cluster::is_converged);
}
