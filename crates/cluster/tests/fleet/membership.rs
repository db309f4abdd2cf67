//! Tests of the membership: crashes, restarts, pauses, partitions and name conflicts.

use crate::fixture::{converged_cluster, is_banned_on_all};
use reelfall_cluster::entry::{Key, Value};
use reelfall_emulator::cluster::Cluster;

#[test]
fn partitioned_halves_rejoin_after_a_minute() {
    let mut cluster = converged_cluster(12, 17);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..12).partition(|node| node % 2 == 0);
    cluster.partition(&one, &other);
    cluster.run(60.0);
    assert!(
        (0..12).all(|node| cluster.member_count(node) == 5),
        "partitioned nodes are still members"
    );
    cluster.heal();
    cluster.run_until(30.0, Cluster::is_converged);
    // A partition in one direction removes no member, nor does one between two nodes that can reach all others.
    cluster.partition_one_way(&[1], &[2, 3]);
    cluster.partition(&[4], &[5]);
    cluster.run(30.0);
    assert!(
        (0..12).all(|node| cluster.member_count(node) == 11),
        "a node that can be reached indirectly was removed"
    );
}

#[test]
fn crash_and_restart_in_a_large_cluster_are_detected_in_time() {
    let mut cluster = converged_cluster(100, 73);
    for node in [40, 41, 42] {
        cluster.kill(node);
        // The sum of the time to the next probe, the probe timeout and the suspicion timeout.
        let took = cluster.run_until(20.0, |cluster| {
            (0..100)
                .any(|peer| cluster.processes[peer].is_some() && cluster.member_count(peer) == 98)
        });
        assert!(
            took > 4.0 && took < 8.0,
            "the crash was detected after {took} s"
        );
        cluster.run_until(3.0, |cluster| {
            (0..100)
                .all(|peer| cluster.processes[peer].is_none() || cluster.member_count(peer) == 98)
        });
        cluster.start(node);
        let took = cluster.run_until(20.0, Cluster::is_converged);
        assert!(
            took < 8.0,
            "the restarted node has all members after {took} s"
        );
    }
}

#[test]
fn crash_of_most_nodes_is_detected_without_false_positives() {
    let mut cluster = converged_cluster(60, 79);
    (20..60).for_each(|node| cluster.kill(node));
    let took = cluster.run_until(60.0, |cluster| {
        (0..20).all(|node| cluster.member_count(node) == 19)
    });
    assert!(took < 25.0, "{took} s");
    assert_eq!(cluster.false_positives, 0);
    (20..60).for_each(|node| cluster.start(node));
    let took = cluster.run_until(60.0, Cluster::is_converged);
    assert!(took < 15.0, "rejoined after {took} s");
}

#[test]
fn missed_death_is_received_in_the_next_anti_entropy_exchange() {
    let mut cluster = converged_cluster(30, 83);
    cluster.inbox_capacity = 0;
    cluster.kill(29);
    // A node is paused while the others gossip the death, and all datagrams to it are lost.
    cluster.run_until(20.0, |cluster| {
        (0..29).any(|other| cluster.member_count(other) == 28)
    });
    let paused = (0..29)
        .find(|other| cluster.member_count(*other) == 29)
        .unwrap();
    cluster.freeze(paused);
    cluster.run(2.0);
    cluster.thaw(paused);
    let took = cluster.run_until(20.0, |cluster| cluster.member_count(paused) == 28);
    assert!(took < 4.0, "{took} s");
}

#[test]
fn resumed_node_restarts_the_suspicion_timeout() {
    // A node suspects the others, is paused for longer than the suspicion timeout, and loses all datagrams of that
    // time.
    for (pause, seed) in [(5.0, 1), (8.0, 2), (12.0, 3), (6.0, 4)] {
        let mut cluster = converged_cluster(6, 89 + seed);
        cluster.inbox_capacity = 0;
        cluster.partition_one_way(&[0], &[1, 2, 3, 4, 5]);
        cluster.partition_one_way(&[1, 2, 3, 4, 5], &[0]);
        cluster.run(2.5);
        cluster.freeze(0);
        cluster.heal();
        cluster.run(pause);
        cluster.thaw(0);
        cluster.run(3.0);
        assert_eq!(
            cluster.false_positives, 0,
            "a node that was paused for {pause} s removed others"
        );
    }
}

#[test]
fn suspected_nodes_refute_in_time_on_lossy_links() {
    let mut cluster = converged_cluster(60, 97);
    cluster.links.loss = 0.4;
    cluster.run(60.0);
    assert_eq!(cluster.false_positives, 0, "a running node was removed");
}

#[test]
fn restarted_process_has_a_later_incarnation_without_old_entries() {
    let mut cluster = converged_cluster(5, 23);
    let first = cluster.incarnation(4);
    cluster
        .with_node(4, |fleet, now| fleet.ban(now, "srv0", "ada", None))
        .unwrap();
    cluster.run_until(2.0, |cluster| is_banned_on_all(cluster, "srv0"));
    cluster.kill(4);
    cluster.run(1.0);
    cluster.start(4);
    cluster.run_until(20.0, |cluster| {
        cluster.is_converged() && cluster.incarnation(4) > first
    });
    assert!(
        cluster.incarnation(4).number > first.number && cluster.incarnation(4).tag != first.tag
    );
    cluster.run_until(5.0, |cluster| cluster.banned_servers(4).contains("srv0"));
    // The entries of the new incarnation are accepted at once, though their numbers start from 1 again.
    cluster
        .with_node(4, |fleet, now| fleet.ban(now, "new", "ada", None))
        .unwrap();
    cluster.run_until(2.0, |cluster| is_banned_on_all(cluster, "new"));
    // The notice that the process leaves does not apply to its next incarnation.
    cluster.with_node(4, |fleet, now| fleet.leave(now)).unwrap();
    cluster.run(1.0);
    cluster.kill(4);
    cluster.start(4);
    cluster.run_until(20.0, Cluster::is_converged);
    let incarnation = cluster.incarnation(4);
    cluster.run(2.0);
    let leaving = |node: usize| {
        let process = cluster.processes[node].as_ref().unwrap();
        let live = process.fleet.table().live(process.local_time(cluster.now));
        live.filter(|(key, stored)| {
            stored.value == Value::Leaving
                && matches!(key, Key::Leaving { incarnation: entry_incarnation, .. } if *entry_incarnation == incarnation)
        })
        .count()
    };
    assert!((0..5).all(|node| leaving(node) == 0));
}

#[test]
fn one_of_two_processes_with_the_same_name_reports_a_conflict() {
    let mut cluster = converged_cluster(4, 29);
    cluster.processes.push(None);
    cluster.start_as(4, "node-3");
    cluster.run(20.0);
    let has_conflict = |node: usize| {
        let process = cluster.processes[node].as_ref().unwrap();
        process
            .fleet
            .has_name_conflict(process.local_time(cluster.now))
    };
    assert_eq!(
        [3, 4]
            .into_iter()
            .filter(|node| has_conflict(*node))
            .count(),
        1,
        "not exactly one of the two processes reports the conflict"
    );
    assert!((0..3).all(|node| !has_conflict(node)));
    // The entries of the process without a conflict are accepted.
    let accepted = if has_conflict(3) { 4 } else { 3 };
    cluster
        .with_node(accepted, |fleet, now| fleet.ban(now, "srv0", "ada", None))
        .unwrap();
    cluster.run_until(3.0, |cluster| is_banned_on_all(cluster, "srv0"));
}

#[test]
fn node_rejoins_after_all_others_have_restarted() {
    let mut cluster = converged_cluster(5, 53);
    // The node sends datagrams to incarnations that have ended, and the others know it as dead.
    cluster.partition(&[4], &[0, 1, 2, 3]);
    cluster.run(15.0);
    (0..4).for_each(|node| cluster.start(node));
    cluster.heal();
    cluster.run_until(20.0, Cluster::is_converged);
}
