//! Tests of bans and lifts by operators: propagation, expiry and conflicts.

use crate::fixture::{converged_cluster, is_banned_on_all, is_banned_on_none};
use reelfall_emulator::cluster::{Cluster, Violation};

#[test]
fn ban_and_lift_reach_all_nodes_within_a_second() {
    for (nodes, loss) in [(2, 0.0), (9, 0.0), (40, 0.0), (40, 0.05)] {
        let mut cluster = converged_cluster(nodes, 7);
        cluster.links.loss = loss;
        cluster
            .with_node(nodes - 1, |fleet, now| fleet.ban(now, "srv0", "ada", None))
            .unwrap();
        let took = cluster.run_until(10.0, |cluster| is_banned_on_all(cluster, "srv0"));
        assert!(took < 1.0, "{nodes} nodes, loss {loss}: {took} s");
        cluster.with_node(0, |fleet, now| {
            assert_eq!(fleet.lift(now, "srv0", "obi"), 1)
        });
        let took = cluster.run_until(10.0, |cluster| is_banned_on_none(cluster, "srv0"));
        assert!(
            took < 1.0,
            "{nodes} nodes, loss {loss}: lifted after {took} s"
        );
        assert_eq!(cluster.violations, Vec::<Violation>::new());
    }
}

#[test]
fn ban_expires_on_partitioned_nodes() {
    let mut cluster = converged_cluster(5, 3);
    cluster
        .with_node(0, |fleet, now| fleet.ban(now, "srv0", "ada", Some(5.0)))
        .unwrap();
    cluster.run_until(2.0, |cluster| is_banned_on_all(cluster, "srv0"));
    let all: Vec<usize> = (0..5).collect();
    cluster.partition(&all, &all);
    cluster.run(3.0);
    assert!(is_banned_on_all(&cluster, "srv0"));
    cluster.run(2.0);
    assert!(is_banned_on_none(&cluster, "srv0"));
    assert_eq!(cluster.violations, Vec::<Violation>::new());
    assert!(
        cluster.max_age_ratio > 0.9,
        "no ban came close to its expiry, so the test checks nothing"
    );
}

#[test]
fn ban_expires_in_time_despite_slow_clocks() {
    let mut cluster = converged_cluster(5, 61);
    cluster
        .with_node(0, |fleet, now| fleet.ban(now, "srv0", "ada", Some(900.0)))
        .unwrap();
    cluster.run(901.0);
    assert_eq!(cluster.violations, Vec::<Violation>::new());
    assert!(is_banned_on_none(&cluster, "srv0") && cluster.max_age_ratio > 0.99);
}

#[test]
fn paused_node_does_not_renew_expired_bans() {
    let mut cluster = converged_cluster(4, 11);
    // Datagrams to the paused node are queued. When it resumes, the ban in them has expired.
    cluster.freeze(3);
    cluster
        .with_node(0, |fleet, now| fleet.ban(now, "srv0", "ada", Some(4.0)))
        .unwrap();
    cluster.run(20.0);
    cluster.thaw(3);
    cluster.check_invariants();
    assert!(
        !cluster.banned_servers(3).contains("srv0"),
        "a ban that expired during the pause is active"
    );
    cluster.run(3.0);
    assert!(is_banned_on_none(&cluster, "srv0"));
    // The same for a ban that the node has received before it is paused.
    cluster.run_until(20.0, Cluster::is_converged);
    cluster
        .with_node(3, |fleet, now| fleet.ban(now, "other", "ada", Some(4.0)))
        .unwrap();
    cluster.freeze(3);
    cluster.run(10.0);
    cluster.thaw(3);
    cluster.run(3.0);
    assert!(is_banned_on_none(&cluster, "other"));
    assert_eq!(cluster.violations, Vec::<Violation>::new());
}

#[test]
fn lift_during_a_partition_covers_only_the_bans_known_to_it() {
    let mut cluster = converged_cluster(6, 5);
    cluster
        .with_node(0, |fleet, now| fleet.ban(now, "srv0", "ada", None))
        .unwrap();
    cluster.run_until(2.0, |cluster| is_banned_on_all(cluster, "srv0"));
    cluster.partition(&[0, 1, 2], &[3, 4, 5]);
    cluster.run(1.0);
    // The ban is lifted on one side only: it stays active on the other until the partition ends.
    cluster
        .with_node(1, |fleet, now| fleet.lift(now, "srv0", "obi"))
        .unwrap();
    cluster.run(20.0);
    assert!(cluster.banned_servers(2).is_empty() && cluster.banned_servers(4).contains("srv0"));
    cluster.heal();
    cluster.run_until(20.0, |cluster| is_banned_on_none(cluster, "srv0"));
    cluster.run(30.0);
    assert!(
        is_banned_on_none(&cluster, "srv0"),
        "a lifted ban is active again"
    );
    // The ban is lifted on one side while an operator bans the server again on the other: the lift does not cover that
    // ban.
    cluster.run_until(60.0, Cluster::is_converged);
    cluster
        .with_node(0, |fleet, now| fleet.ban(now, "srv0", "ada", None))
        .unwrap();
    cluster.run_until(2.0, |cluster| is_banned_on_all(cluster, "srv0"));
    cluster.partition(&[0, 1, 2], &[3, 4, 5]);
    cluster
        .with_node(1, |fleet, now| fleet.lift(now, "srv0", "obi"))
        .unwrap();
    cluster
        .with_node(4, |fleet, now| fleet.ban(now, "srv0", "eze", None))
        .unwrap();
    cluster.run(5.0);
    cluster.heal();
    cluster.run_until(30.0, |cluster| is_banned_on_all(cluster, "srv0"));
    cluster.with_node(2, |fleet, now| {
        assert_eq!(fleet.lift(now, "srv0", "obi"), 1)
    });
    cluster.run_until(5.0, |cluster| is_banned_on_none(cluster, "srv0"));
    assert_eq!(cluster.violations, Vec::<Violation>::new());
}
