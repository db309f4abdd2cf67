//! Membership: crashes, restarts, pauses, partitions and name conflicts.

use crate::fixture::{gathered_world, is_banned_on_all};
use reelfall_cluster::entry::{Key, Value};
use reelfall_emulator::together::World;

#[test]
fn partitioned_halves_rejoin_after_a_minute() {
    let mut world = gathered_world(12, 17);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..12).partition(|node| node % 2 == 0);
    world.part(&one, &other, true);
    world.run(60.0);
    assert!(
        (0..12).all(|node| world.members(node) == 5),
        "partitioned nodes are still members"
    );
    world.heal();
    world.until(30.0, World::gathered);
    // Neither a partition in one direction nor one between two nodes that others reach removes a member.
    world.part(&[1], &[2, 3], false);
    world.part(&[4], &[5], true);
    world.run(30.0);
    assert!(
        (0..12).all(|node| world.members(node) == 11),
        "a node that can be reached indirectly was removed"
    );
}

#[test]
fn crash_and_restart_in_a_large_cluster_are_detected_in_time() {
    let mut world = gathered_world(100, 73);
    for node in [40, 41, 42] {
        world.kill(node);
        // The time to the next probe, the probe itself and the suspicion timeout.
        let took = world.until(20.0, |world| {
            (0..100).any(|other| world.nodes[other].is_some() && world.members(other) == 98)
        });
        assert!(
            took > 4.0 && took < 8.0,
            "the crash was detected after {took} s"
        );
        world.until(3.0, |world| {
            (0..100).all(|other| world.nodes[other].is_none() || world.members(other) == 98)
        });
        world.start(node);
        let took = world.until(20.0, World::gathered);
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
    let took = world.until(60.0, |world| (0..20).all(|node| world.members(node) == 19));
    assert!(took < 25.0, "{took} s");
    assert_eq!(world.wrongly_gone, 0);
    (20..60).for_each(|node| world.start(node));
    let took = world.until(60.0, World::gathered);
    assert!(took < 15.0, "rejoined after {took} s");
}

#[test]
fn missed_death_is_learned_by_the_next_comparison() {
    let mut world = gathered_world(30, 83);
    world.inbox_most = 0;
    world.kill(29);
    // It is paused while the others spread the death, and all datagrams to it are lost.
    world.until(20.0, |world| {
        (0..29).any(|other| world.members(other) == 28)
    });
    let late = (0..29).find(|other| world.members(*other) == 29).unwrap();
    world.freeze(late, true);
    world.run(2.0);
    world.freeze(late, false);
    let took = world.until(20.0, |world| world.members(late) == 28);
    assert!(took < 4.0, "{took} s");
}

#[test]
fn resumed_node_restarts_the_suspicion_timeout() {
    // A node suspects the others, is paused for longer than the suspicion timeout, and loses all datagrams of that time.
    for (pause, seed) in [(5.0, 1), (8.0, 2), (12.0, 3), (6.0, 4)] {
        let mut world = gathered_world(6, 89 + seed);
        world.inbox_most = 0;
        world.part(&[0], &[1, 2, 3, 4, 5], false);
        world.part(&[1, 2, 3, 4, 5], &[0], false);
        world.run(2.5);
        world.freeze(0, true);
        world.heal();
        world.run(pause);
        world.freeze(0, false);
        world.run(3.0);
        assert_eq!(
            world.wrongly_gone, 0,
            "a node that was paused for {pause} s removed others"
        );
    }
}

#[test]
fn suspected_nodes_refute_in_time_on_lossy_links() {
    let mut world = gathered_world(60, 97);
    world.links.loss = 0.4;
    world.run(60.0);
    assert_eq!(world.wrongly_gone, 0, "a running node was removed");
}

#[test]
fn restarted_process_has_a_later_incarnation_without_old_entries() {
    let mut world = gathered_world(5, 23);
    let first = world.incarnation(4);
    world
        .at(4, |fleet, now| fleet.ban(now, "sick", "ada", None))
        .unwrap();
    world.until(2.0, |world| is_banned_on_all(world, "sick"));
    world.kill(4);
    world.run(1.0);
    world.start(4);
    world.until(20.0, |world| {
        world.gathered() && world.incarnation(4) > first
    });
    assert!(world.incarnation(4).number > first.number && world.incarnation(4).tag != first.tag);
    world.until(5.0, |world| world.out(4).contains("sick"));
    // Its entries count at once, though it numbers them from one again.
    world
        .at(4, |fleet, now| fleet.ban(now, "new", "ada", None))
        .unwrap();
    world.until(2.0, |world| is_banned_on_all(world, "new"));
    // It leaves; its next incarnation does not.
    world.at(4, |fleet, now| fleet.leave(now)).unwrap();
    world.run(1.0);
    world.kill(4);
    world.start(4);
    world.until(20.0, World::gathered);
    let incarnation = world.incarnation(4);
    world.run(2.0);
    let leaving = |node: usize| {
        let process = world.nodes[node].as_ref().unwrap();
        let live = process.fleet.table().live(process.clock(world.t));
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
    world.nodes.push(None);
    world.start_as(4, "node-3");
    world.run(20.0);
    let has_conflict = |node: usize| {
        let process = world.nodes[node].as_ref().unwrap();
        process.fleet.has_name_conflict(process.clock(world.t))
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
        .at(accepted, |fleet, now| fleet.ban(now, "sick", "ada", None))
        .unwrap();
    world.until(3.0, |world| is_banned_on_all(world, "sick"));
}

#[test]
fn node_rejoins_after_all_others_have_restarted() {
    let mut world = gathered_world(5, 53);
    // It addresses incarnations that have ended, and their entries say that it is dead itself.
    world.part(&[4], &[0, 1, 2, 3], true);
    world.run(15.0);
    (0..4).for_each(|node| world.start(node));
    world.heal();
    world.until(20.0, World::gathered);
}
