//! Verdicts on servers by the reports of several nodes.

use crate::fixture::{ejected_servers, gathered_world, record_outcomes, server};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::fleet::Config;
use reelfall_cluster::observer::{AttemptOutcome, OverdueAttempt};
use reelfall_emulator::cluster::{default_config, Cluster, Violation};

fn two_zones(node: usize) -> Config {
    Config {
        zone: if node < 4 { "ikeja" } else { "lekki" }.to_owned(),
        ..default_config()
    }
}

#[test]
fn quorum_of_failure_reports_ejects_a_server() {
    let mut world = gathered_world(9, 31);
    for _ in 0..3 {
        record_outcomes(&mut world, &[1], &[0], AttemptOutcome::ServerError);
        world.run(0.3);
    }
    assert!(
        (0..9).all(|node| ejected_servers(&world, node).is_empty()),
        "a single node ejected the server"
    );
    for _ in 0..3 {
        record_outcomes(&mut world, &[1, 2, 3], &[0], AttemptOutcome::ServerError);
        world.run(0.05);
    }
    let took = world.run_until(3.0, |world| {
        (0..9).all(|node| ejected_servers(world, node) == ["server-0"])
    });
    assert!(took < 1.0, "{took} s");
    // No report is repeated: the verdict expires on each node in time.
    world.run(10.5);
    assert!((0..9).all(|node| ejected_servers(&world, node).is_empty()));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

/// Each of these nodes has an attempt that is overdue by this many seconds past an objective of 0.2 s, or none any more.
fn set_overdue(world: &mut Cluster, nodes: &[usize], overdue_by: Option<f64>) {
    for node in nodes {
        world.with_node(*node, |fleet, now| {
            let attempt = |overdue_by| OverdueAttempt {
                server: server(0),
                started_at: now - 0.2 - overdue_by,
                overdue_since: now - overdue_by,
            };
            fleet.set_overdue(
                now,
                &overdue_by.map(attempt).into_iter().collect::<Vec<_>>(),
            );
        });
    }
}

#[test]
fn overdue_attempts_are_reported_and_withdrawn_when_answered() {
    let mut world = gathered_world(9, 67);
    set_overdue(&mut world, &[0, 1, 2], Some(0.01));
    let took = world.run_until(2.0, |world| {
        (0..9).all(|node| ejected_servers(world, node) == ["server-0"])
    });
    // With the next round of gossip, not the one after it.
    assert!(took < 0.1, "{took} s");
    // The server was only paused: late answers withdraw the reports.
    record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::AnsweredLate);
    set_overdue(&mut world, &[0, 1, 2], None);
    let took = world.run_until(2.0, |world| {
        (0..9).all(|node| ejected_servers(world, node).is_empty())
    });
    assert!(took < 0.6, "withdrawn after {took} s");
    // An aborted attempt has no outcome, and its report is withdrawn.
    set_overdue(&mut world, &[3, 4, 5], Some(0.01));
    world.run_until(2.0, |world| ejected_servers(world, 8) == ["server-0"]);
    set_overdue(&mut world, &[3, 4, 5], None);
    world.run_until(2.0, |world| {
        (0..9).all(|node| ejected_servers(world, node).is_empty())
    });
    // A timeout confirms the report.
    set_overdue(&mut world, &[6, 7, 8], Some(0.01));
    world.run_until(2.0, |world| ejected_servers(world, 0) == ["server-0"]);
    record_outcomes(&mut world, &[6, 7, 8], &[0], AttemptOutcome::TimedOut);
    set_overdue(&mut world, &[6, 7, 8], None);
    world.run(9.0);
    assert!((0..9).all(|node| ejected_servers(&world, node) == ["server-0"]));
    world.run(2.0);
    assert!((0..9).all(|node| ejected_servers(&world, node).is_empty()));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

/// Whether every node of this cluster ejects the first server.
pub fn is_first_ejected_on_all(world: &Cluster) -> bool {
    (0..world.processes.len()).all(|node| ejected_servers(world, node) == ["server-0"])
}

/// Guards against reports of silence that are withdrawn although a timeout has confirmed them.
#[test]
fn confirmed_silence_is_reported_for_the_whole_time_to_live() {
    const REPORT_TTL: f64 = 60.0;
    /// How long an attempt may take.
    const TIMEOUT: f64 = 2.0;
    const REPORTERS: [usize; 3] = [0, 1, 2];
    let mut world = Cluster::new(5, 73, |_| Config {
        report_ttl: REPORT_TTL,
        ..default_config()
    });
    world.run_until(20.0, Cluster::is_converged);
    world.run(1.0);
    set_overdue(&mut world, &REPORTERS, Some(0.01));
    world.run_until(2.0, is_first_ejected_on_all);
    world.run(TIMEOUT);
    record_outcomes(&mut world, &REPORTERS, &[0], AttemptOutcome::TimedOut);
    set_overdue(&mut world, &REPORTERS, None);
    // Longer than outcomes count, and shorter than the reports live.
    for _ in 0..5 {
        world.run(REPORT_TTL / 6.0);
        assert!(is_first_ejected_on_all(&world), "{} s", world.now);
    }
    world.run(REPORT_TTL / 3.0);
    assert!((0..5).all(|node| ejected_servers(&world, node).is_empty()));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

/// Guards against reports that stay ignored because of faults that ended long ago.
#[test]
fn silent_server_is_ejected_once_the_others_have_recovered() {
    const REPORTERS: [usize; 3] = [0, 1, 2];
    /// Too many of the list for the reports to be believed.
    const LATE_SERVERS: usize = 8;
    let mut world = gathered_world(9, 79);
    for node in REPORTERS {
        world.with_node(node, |fleet, now| {
            let attempt = |index| OverdueAttempt {
                server: server(index),
                started_at: now - 0.3,
                overdue_since: now - 0.1,
            };
            let late: Vec<OverdueAttempt> = (0..LATE_SERVERS).map(attempt).collect();
            fleet.set_overdue(now, &late);
        });
    }
    world.run(1.0);
    assert!((0..9).all(|node| ejected_servers(&world, node).is_empty()));
    // All but the first were only late.
    let recovered: Vec<usize> = (1..LATE_SERVERS).collect();
    record_outcomes(
        &mut world,
        &REPORTERS,
        &recovered,
        AttemptOutcome::AnsweredLate,
    );
    set_overdue(&mut world, &REPORTERS, Some(1.1));
    let took = world.run_until(4.0, is_first_ejected_on_all);
    assert!(took < 1.0, "{took} s");
    // The evidence is as old as before: the reports end no later.
    world.run(9.0);
    assert!((0..9).all(|node| ejected_servers(&world, node).is_empty()));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

/// How many nodes of this cluster find that the first server responds again.
fn nodes_that_find_recovery(world: &Cluster) -> usize {
    let processes = world.processes.iter().flatten();
    let finds_recovery = processes.filter(|process| {
        let now = process.local_time(world.now);
        process.fleet.has_recovered(&server(0), now)
    });
    finds_recovery.count()
}

pub fn is_ejected_on_none(world: &Cluster) -> bool {
    (0..world.processes.len()).all(|node| ejected_servers(world, node).is_empty())
}

/// Guards against servers that are taken for recovered although nothing has come from them.
#[test]
fn only_responses_show_that_an_ejected_server_has_recovered() {
    let mut world = gathered_world(5, 83);
    world.run(1.0);
    // The attempts are answered after all.
    set_overdue(&mut world, &[0, 1, 2], Some(0.01));
    world.run_until(2.0, is_first_ejected_on_all);
    assert_eq!(nodes_that_find_recovery(&world), 0);
    world.run(0.1);
    record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::AnsweredLate);
    set_overdue(&mut world, &[0, 1, 2], None);
    world.run_until(2.0, is_ejected_on_none);
    assert_eq!(nodes_that_find_recovery(&world), 5);
    world.run(30.0);
    // The attempts end without an outcome.
    set_overdue(&mut world, &[0, 1, 2], Some(0.01));
    world.run_until(2.0, is_first_ejected_on_all);
    set_overdue(&mut world, &[0, 1, 2], None);
    world.run_until(2.0, is_ejected_on_none);
    assert_eq!(nodes_that_find_recovery(&world), 0, "aborted attempts");
    world.run(30.0);
    // The reports expire.
    set_overdue(&mut world, &[0, 1, 2], Some(0.01));
    world.run_until(2.0, is_first_ejected_on_all);
    record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::TimedOut);
    set_overdue(&mut world, &[0, 1, 2], None);
    world.run_until(15.0, is_ejected_on_none);
    assert_eq!(nodes_that_find_recovery(&world), 0, "expired reports");
}

/// Guards against a faulty server that is taken for recovered when others take its place among the ejected ones.
#[test]
fn server_that_is_displaced_by_others_has_not_recovered() {
    let mut world = gathered_world(9, 89);
    world.run(1.0);
    // One of nine finds that the server responds, three that it does not: it is ejected.
    record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
    world.run_until(2.0, is_first_ejected_on_all);
    for _ in 0..2 {
        record_outcomes(&mut world, &[8], &[0], AttemptOutcome::Answered);
        world.run(0.1);
    }
    // Four others have more votes against them, and four is the most of twenty.
    let nodes: Vec<usize> = (0..8).collect();
    for server in 1..=4 {
        record_outcomes(&mut world, &nodes, &[server], AttemptOutcome::ServerError);
    }
    let is_displaced = |world: &Cluster| {
        (0..9).all(|node| !ejected_servers(world, node).contains(&"server-0".to_owned()))
    };
    world.run_until(3.0, is_displaced);
    assert_eq!(nodes_that_find_recovery(&world), 0);
}

#[test]
fn overdue_attempts_sent_before_the_last_answer_do_not_count() {
    let mut world = gathered_world(5, 71);
    // The attempts were sent before the last answer of the server.
    record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::Answered);
    for _ in 0..20 {
        set_overdue(&mut world, &[0, 1, 2], Some(0.3));
        world.run(0.1);
        record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::Answered);
    }
    assert!((0..5).all(|node| ejected_servers(&world, node).is_empty()));
    // An attempt that was sent after it counts.
    world.run(1.0);
    set_overdue(&mut world, &[0, 1, 2], Some(0.3));
    world.run_until(2.0, |world| {
        (0..5).all(|node| ejected_servers(world, node) == ["server-0"])
    });
}

#[test]
fn reports_of_dead_nodes_do_not_count() {
    let mut world = Cluster::new(9, 59, |_| Config {
        report_ttl: 60.0,
        ..default_config()
    });
    world.run_until(20.0, Cluster::is_converged);
    for _ in 0..3 {
        record_outcomes(&mut world, &[6, 7, 8], &[0], AttemptOutcome::ServerError);
        world.run(0.1);
    }
    world.run_until(2.0, |world| {
        (0..6).all(|node| ejected_servers(world, node) == ["server-0"])
    });
    (6..9).for_each(|node| world.kill(node));
    world.run_until(20.0, |world| {
        (0..6).all(|node| ejected_servers(world, node).is_empty())
    });
}

#[test]
fn success_reports_outweigh_failure_reports() {
    let mut world = gathered_world(9, 37);
    for _ in 0..4 {
        record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
        record_outcomes(&mut world, &[4, 5, 6, 7], &[0], AttemptOutcome::Answered);
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..9).all(|node| ejected_servers(&world, node).is_empty()),
        "three failure reports outweighed four success reports"
    );
    // An ejected server that answers again is reinstated, also by nodes that had reported it.
    for _ in 0..4 {
        record_outcomes(&mut world, &[0, 1, 2, 3], &[1], AttemptOutcome::TimedOut);
        world.run(0.1);
    }
    world.run_until(2.0, |world| {
        (0..9).all(|node| ejected_servers(world, node) == ["server-1"])
    });
    for _ in 0..3 {
        record_outcomes(&mut world, &[0, 1], &[1], AttemptOutcome::Answered);
        world.run(0.1);
    }
    let took = world.run_until(3.0, |world| {
        (0..9).all(|node| ejected_servers(world, node).is_empty())
    });
    assert!(took < 1.5, "reinstated after {took} s");
}

#[test]
fn partitioned_zone_and_nodes_failing_on_all_servers_eject_no_others() {
    let mut world = Cluster::new(8, 41, two_zones);
    world.run_until(20.0, Cluster::is_converged);
    let all: Vec<usize> = (0..20).collect();
    // A zone that cannot reach the servers of the other ejects them for itself alone.
    for _ in 0..3 {
        record_outcomes(
            &mut world,
            &[0, 1, 2, 3],
            &[10, 11, 12],
            AttemptOutcome::Unreachable,
        );
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..4).all(|node| ejected_servers(&world, node).len() == 3),
        "{:?}",
        ejected_servers(&world, 0)
    );
    assert!(
        (4..8).all(|node| ejected_servers(&world, node).is_empty()),
        "a partitioned zone ejected the other's servers"
    );
    world.run(12.0);
    // Reports of nodes on which all servers fail do not count.
    for _ in 0..3 {
        record_outcomes(&mut world, &[0, 1, 5], &all, AttemptOutcome::TimedOut);
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..8).all(|node| ejected_servers(&world, node).is_empty()),
        "{:?}",
        ejected_servers(&world, 7)
    );
    world.run(12.0);
    // No more than the configured fraction of the list is ejected, the same servers on all nodes.
    let reported: Vec<usize> = (0..6).collect();
    let nodes: Vec<usize> = (0..8).collect();
    for _ in 0..3 {
        record_outcomes(&mut world, &nodes, &reported, AttemptOutcome::ServerError);
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..8).all(|node| ejected_servers(&world, node).len() == 4),
        "{:?}",
        ejected_servers(&world, 0)
    );
    assert!((0..8).all(|node| ejected_servers(&world, node) == ejected_servers(&world, 0)));
}

#[test]
fn verdict_does_not_apply_to_a_restarted_server() {
    let mut world = gathered_world(5, 43);
    for _ in 0..3 {
        record_outcomes(&mut world, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
        world.run(0.1);
    }
    world.run_until(2.0, |world| ejected_servers(world, 4) == ["server-0"]);
    let process = world.processes[4].as_ref().unwrap();
    let ejected = process
        .fleet
        .ejected_servers(process.local_time(world.now), 20);
    let next = ServerInstance {
        started_ms: 6,
        ..server(0)
    };
    assert!(ejected
        .iter()
        .all(|ejected| ejected.server != next && ejected.server == server(0)));
}
