//! Tests of verdicts on servers, which result from the reports of several nodes.

use crate::fixture::{converged_cluster, ejected_servers, record_outcomes, server};
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
    let mut cluster = converged_cluster(9, 31);
    for _ in 0..3 {
        record_outcomes(&mut cluster, &[1], &[0], AttemptOutcome::ServerError);
        cluster.run(0.3);
    }
    assert!(
        (0..9).all(|node| ejected_servers(&cluster, node).is_empty()),
        "a single node ejected the server"
    );
    for _ in 0..3 {
        record_outcomes(&mut cluster, &[1, 2, 3], &[0], AttemptOutcome::ServerError);
        cluster.run(0.05);
    }
    let took = cluster.run_until(3.0, |cluster| {
        (0..9).all(|node| ejected_servers(cluster, node) == ["server-0"])
    });
    assert!(took < 1.0, "{took} s");
    // No report is renewed: the verdict expires on each node in time.
    cluster.run(10.5);
    assert!((0..9).all(|node| ejected_servers(&cluster, node).is_empty()));
    assert_eq!(cluster.violations, Vec::<Violation>::new());
}

/// Gives each of `nodes` one attempt at the first server that is overdue by this many seconds, with a latency objective
/// of 0.2 s; `None` removes it.
fn set_overdue(cluster: &mut Cluster, nodes: &[usize], overdue_by: Option<f64>) {
    for node in nodes {
        cluster.with_node(*node, |fleet, now| {
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
    let mut cluster = converged_cluster(9, 67);
    set_overdue(&mut cluster, &[0, 1, 2], Some(0.01));
    let took = cluster.run_until(2.0, |cluster| {
        (0..9).all(|node| ejected_servers(cluster, node) == ["server-0"])
    });
    // The reports are sent in the next gossip round, not in a later one.
    assert!(took < 0.1, "{took} s");
    // The server was only paused: the reports are withdrawn when it answers late.
    record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::AnsweredLate);
    set_overdue(&mut cluster, &[0, 1, 2], None);
    let took = cluster.run_until(2.0, |cluster| {
        (0..9).all(|node| ejected_servers(cluster, node).is_empty())
    });
    assert!(took < 0.6, "withdrawn after {took} s");
    // An aborted attempt has no outcome, and its report is withdrawn.
    set_overdue(&mut cluster, &[3, 4, 5], Some(0.01));
    cluster.run_until(2.0, |cluster| ejected_servers(cluster, 8) == ["server-0"]);
    set_overdue(&mut cluster, &[3, 4, 5], None);
    cluster.run_until(2.0, |cluster| {
        (0..9).all(|node| ejected_servers(cluster, node).is_empty())
    });
    // A timeout confirms the report.
    set_overdue(&mut cluster, &[6, 7, 8], Some(0.01));
    cluster.run_until(2.0, |cluster| ejected_servers(cluster, 0) == ["server-0"]);
    record_outcomes(&mut cluster, &[6, 7, 8], &[0], AttemptOutcome::TimedOut);
    set_overdue(&mut cluster, &[6, 7, 8], None);
    cluster.run(9.0);
    assert!((0..9).all(|node| ejected_servers(&cluster, node) == ["server-0"]));
    cluster.run(2.0);
    assert!((0..9).all(|node| ejected_servers(&cluster, node).is_empty()));
    assert_eq!(cluster.violations, Vec::<Violation>::new());
}

/// Whether the first server, and no other, is ejected according to every node.
pub fn is_first_ejected_on_all(cluster: &Cluster) -> bool {
    (0..cluster.processes.len()).all(|node| ejected_servers(cluster, node) == ["server-0"])
}

/// Guards against reports of a silent server that are withdrawn although a timeout has confirmed them.
#[test]
fn confirmed_silence_is_reported_for_the_whole_time_to_live() {
    const REPORT_TTL: f64 = 60.0;
    /// The timeout of an attempt, in seconds.
    const TIMEOUT: f64 = 2.0;
    const REPORTERS: [usize; 3] = [0, 1, 2];
    let mut cluster = Cluster::new(5, 73, |_| Config {
        report_ttl: REPORT_TTL,
        ..default_config()
    });
    cluster.run_until(20.0, Cluster::is_converged);
    cluster.run(1.0);
    set_overdue(&mut cluster, &REPORTERS, Some(0.01));
    cluster.run_until(2.0, is_first_ejected_on_all);
    cluster.run(TIMEOUT);
    record_outcomes(&mut cluster, &REPORTERS, &[0], AttemptOutcome::TimedOut);
    set_overdue(&mut cluster, &REPORTERS, None);
    // This is longer than the window in which outcomes count, and shorter than the time to live of the reports.
    for _ in 0..5 {
        cluster.run(REPORT_TTL / 6.0);
        assert!(is_first_ejected_on_all(&cluster), "{} s", cluster.now);
    }
    cluster.run(REPORT_TTL / 3.0);
    assert!((0..5).all(|node| ejected_servers(&cluster, node).is_empty()));
    assert_eq!(cluster.violations, Vec::<Violation>::new());
}

/// Guards against reports that stay ignored because of the former faults of other servers.
#[test]
fn silent_server_is_ejected_once_the_others_have_recovered() {
    const REPORTERS: [usize; 3] = [0, 1, 2];
    /// So many servers of the list that the reports are not credible.
    const LATE_SERVERS: usize = 8;
    let mut cluster = converged_cluster(9, 79);
    for node in REPORTERS {
        cluster.with_node(node, |fleet, now| {
            let attempt = |index| OverdueAttempt {
                server: server(index),
                started_at: now - 0.3,
                overdue_since: now - 0.1,
            };
            let late: Vec<OverdueAttempt> = (0..LATE_SERVERS).map(attempt).collect();
            fleet.set_overdue(now, &late);
        });
    }
    cluster.run(1.0);
    assert!((0..9).all(|node| ejected_servers(&cluster, node).is_empty()));
    // All servers but the first answer, late.
    let recovered: Vec<usize> = (1..LATE_SERVERS).collect();
    record_outcomes(
        &mut cluster,
        &REPORTERS,
        &recovered,
        AttemptOutcome::AnsweredLate,
    );
    set_overdue(&mut cluster, &REPORTERS, Some(1.1));
    let took = cluster.run_until(4.0, is_first_ejected_on_all);
    assert!(took < 1.0, "{took} s");
    // The evidence is the same, so the renewed reports expire no later.
    cluster.run(9.0);
    assert!((0..9).all(|node| ejected_servers(&cluster, node).is_empty()));
    assert_eq!(cluster.violations, Vec::<Violation>::new());
}

/// Number of nodes that find that the first server has recovered.
fn nodes_that_find_recovery(cluster: &Cluster) -> usize {
    let processes = cluster.processes.iter().flatten();
    let finds_recovery = processes.filter(|process| {
        let now = process.local_time(cluster.now);
        process.fleet.has_recovered(&server(0), now)
    });
    finds_recovery.count()
}

pub fn is_ejected_on_none(cluster: &Cluster) -> bool {
    (0..cluster.processes.len()).all(|node| ejected_servers(cluster, node).is_empty())
}

/// Guards against servers that count as recovered although they have not responded.
#[test]
fn only_responses_show_that_an_ejected_server_has_recovered() {
    let mut cluster = converged_cluster(5, 83);
    cluster.run(1.0);
    // The attempts are answered late.
    set_overdue(&mut cluster, &[0, 1, 2], Some(0.01));
    cluster.run_until(2.0, is_first_ejected_on_all);
    assert_eq!(nodes_that_find_recovery(&cluster), 0);
    cluster.run(0.1);
    record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::AnsweredLate);
    set_overdue(&mut cluster, &[0, 1, 2], None);
    cluster.run_until(2.0, is_ejected_on_none);
    assert_eq!(nodes_that_find_recovery(&cluster), 5);
    cluster.run(30.0);
    // The attempts end without an outcome.
    set_overdue(&mut cluster, &[0, 1, 2], Some(0.01));
    cluster.run_until(2.0, is_first_ejected_on_all);
    set_overdue(&mut cluster, &[0, 1, 2], None);
    cluster.run_until(2.0, is_ejected_on_none);
    assert_eq!(nodes_that_find_recovery(&cluster), 0, "aborted attempts");
    cluster.run(30.0);
    // The reports expire.
    set_overdue(&mut cluster, &[0, 1, 2], Some(0.01));
    cluster.run_until(2.0, is_first_ejected_on_all);
    record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::TimedOut);
    set_overdue(&mut cluster, &[0, 1, 2], None);
    cluster.run_until(15.0, is_ejected_on_none);
    assert_eq!(nodes_that_find_recovery(&cluster), 0, "expired reports");
}

/// Guards against a faulty server that counts as recovered when others are ejected in its place.
#[test]
fn server_that_is_displaced_by_others_has_not_recovered() {
    let mut cluster = converged_cluster(9, 89);
    cluster.run(1.0);
    // Three of nine nodes report a fault of the server, and one that it is healthy: it is ejected.
    record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
    cluster.run_until(2.0, is_first_ejected_on_all);
    for _ in 0..2 {
        record_outcomes(&mut cluster, &[8], &[0], AttemptOutcome::Answered);
        cluster.run(0.1);
    }
    // Four others have more votes against them, and at most four of twenty servers are ejected.
    let nodes: Vec<usize> = (0..8).collect();
    for server in 1..=4 {
        record_outcomes(&mut cluster, &nodes, &[server], AttemptOutcome::ServerError);
    }
    let is_displaced = |cluster: &Cluster| {
        (0..9).all(|node| !ejected_servers(cluster, node).contains(&"server-0".to_owned()))
    };
    cluster.run_until(3.0, is_displaced);
    assert_eq!(nodes_that_find_recovery(&cluster), 0);
}

#[test]
fn overdue_attempts_sent_before_the_last_answer_do_not_count() {
    let mut cluster = converged_cluster(5, 71);
    // These attempts were sent before the last answer of the server.
    record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::Answered);
    for _ in 0..20 {
        set_overdue(&mut cluster, &[0, 1, 2], Some(0.3));
        cluster.run(0.1);
        record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::Answered);
    }
    assert!((0..5).all(|node| ejected_servers(&cluster, node).is_empty()));
    // An attempt that was sent after the last answer counts.
    cluster.run(1.0);
    set_overdue(&mut cluster, &[0, 1, 2], Some(0.3));
    cluster.run_until(2.0, |cluster| {
        (0..5).all(|node| ejected_servers(cluster, node) == ["server-0"])
    });
}

#[test]
fn reports_of_dead_nodes_do_not_count() {
    let mut cluster = Cluster::new(9, 59, |_| Config {
        report_ttl: 60.0,
        ..default_config()
    });
    cluster.run_until(20.0, Cluster::is_converged);
    for _ in 0..3 {
        record_outcomes(&mut cluster, &[6, 7, 8], &[0], AttemptOutcome::ServerError);
        cluster.run(0.1);
    }
    cluster.run_until(2.0, |cluster| {
        (0..6).all(|node| ejected_servers(cluster, node) == ["server-0"])
    });
    (6..9).for_each(|node| cluster.kill(node));
    cluster.run_until(20.0, |cluster| {
        (0..6).all(|node| ejected_servers(cluster, node).is_empty())
    });
}

#[test]
fn success_reports_outweigh_failure_reports() {
    let mut cluster = converged_cluster(9, 37);
    for _ in 0..4 {
        record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
        record_outcomes(&mut cluster, &[4, 5, 6, 7], &[0], AttemptOutcome::Answered);
        cluster.run(0.2);
    }
    cluster.run(1.0);
    assert!(
        (0..9).all(|node| ejected_servers(&cluster, node).is_empty()),
        "three failure reports outweighed four success reports"
    );
    // An ejected server that answers again is readmitted, also by nodes that have reported a fault of it.
    for _ in 0..4 {
        record_outcomes(&mut cluster, &[0, 1, 2, 3], &[1], AttemptOutcome::TimedOut);
        cluster.run(0.1);
    }
    cluster.run_until(2.0, |cluster| {
        (0..9).all(|node| ejected_servers(cluster, node) == ["server-1"])
    });
    for _ in 0..3 {
        record_outcomes(&mut cluster, &[0, 1], &[1], AttemptOutcome::Answered);
        cluster.run(0.1);
    }
    let took = cluster.run_until(3.0, |cluster| {
        (0..9).all(|node| ejected_servers(cluster, node).is_empty())
    });
    assert!(took < 1.5, "readmitted after {took} s");
}

#[test]
fn partitioned_zone_and_nodes_failing_on_all_servers_eject_no_others() {
    let mut cluster = Cluster::new(8, 41, two_zones);
    cluster.run_until(20.0, Cluster::is_converged);
    let all: Vec<usize> = (0..20).collect();
    // If a zone can't reach the servers of the other zone, they are ejected in that zone only.
    for _ in 0..3 {
        record_outcomes(
            &mut cluster,
            &[0, 1, 2, 3],
            &[10, 11, 12],
            AttemptOutcome::Unreachable,
        );
        cluster.run(0.2);
    }
    cluster.run(1.0);
    assert!(
        (0..4).all(|node| ejected_servers(&cluster, node).len() == 3),
        "{:?}",
        ejected_servers(&cluster, 0)
    );
    assert!(
        (4..8).all(|node| ejected_servers(&cluster, node).is_empty()),
        "a partitioned zone ejected the servers of the other zone for the nodes there"
    );
    cluster.run(12.0);
    // The reports of nodes that find all servers faulty do not count.
    for _ in 0..3 {
        record_outcomes(&mut cluster, &[0, 1, 5], &all, AttemptOutcome::TimedOut);
        cluster.run(0.2);
    }
    cluster.run(1.0);
    assert!(
        (0..8).all(|node| ejected_servers(&cluster, node).is_empty()),
        "{:?}",
        ejected_servers(&cluster, 7)
    );
    cluster.run(12.0);
    // At most the configured fraction of the list is ejected, the same servers on all nodes.
    let reported: Vec<usize> = (0..6).collect();
    let nodes: Vec<usize> = (0..8).collect();
    for _ in 0..3 {
        record_outcomes(&mut cluster, &nodes, &reported, AttemptOutcome::ServerError);
        cluster.run(0.2);
    }
    cluster.run(1.0);
    assert!(
        (0..8).all(|node| ejected_servers(&cluster, node).len() == 4),
        "{:?}",
        ejected_servers(&cluster, 0)
    );
    assert!((0..8).all(|node| ejected_servers(&cluster, node) == ejected_servers(&cluster, 0)));
}

#[test]
fn verdict_does_not_apply_to_a_restarted_server() {
    let mut cluster = converged_cluster(5, 43);
    for _ in 0..3 {
        record_outcomes(&mut cluster, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
        cluster.run(0.1);
    }
    cluster.run_until(2.0, |cluster| ejected_servers(cluster, 4) == ["server-0"]);
    let process = cluster.processes[4].as_ref().unwrap();
    let ejected = process
        .fleet
        .ejected_servers(process.local_time(cluster.now), 20);
    let next = ServerInstance {
        started_ms: 6,
        ..server(0)
    };
    assert!(ejected
        .iter()
        .all(|ejected| ejected.server != next && ejected.server == server(0)));
}
