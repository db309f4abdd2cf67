//! Tests of stalls in which all servers are late for all nodes: which servers are ejected, and for how long.

use crate::fixture::{converged_cluster, ejected_servers, record_outcomes, server};
use reelfall_cluster::fleet::EjectedServer;
use reelfall_cluster::observer::{AttemptOutcome, OverdueAttempt};
use reelfall_emulator::cluster::{Cluster, Violation};

const NODES: usize = 6;
const SERVERS: usize = 8;
/// Maximum number of ejected servers: a fifth of [`SERVERS`].
const MAX_EJECTED: usize = 1;
/// The latency objective, after which retryable attempts are given up, in seconds.
const LATENCY_OBJECTIVE: f64 = 0.2;
/// Time to live of a report, in seconds.
const REPORT_TTL: f64 = 10.0;
/// Interval at which each node sends an attempt to each server, in seconds.
const STEP: f64 = 0.05;

/// For each node and server, whether the node has given up an attempt at the server. It then sends nothing more to the
/// server, except for probes.
struct GivenUp(Vec<Vec<bool>>);

impl GivenUp {
    fn servers(&self, node: usize) -> Vec<usize> {
        let of_node = self.0[node].iter().enumerate();
        of_node
            .filter_map(|(index, given_up)| given_up.then_some(index))
            .collect()
    }
}

/// Lets all nodes wait for all servers for this time, and give up their attempts at the servers that `gives_up`
/// selects.
fn stall(cluster: &mut Cluster, seconds: f64, gives_up: impl Fn(usize) -> bool) -> GivenUp {
    let mut given_up = GivenUp(vec![vec![false; SERVERS]; NODES]);
    let begins_at = cluster.now;
    while cluster.now < begins_at + seconds {
        cluster.run(STEP);
        let waited = cluster.now - begins_at;
        for node in 0..NODES {
            if waited > LATENCY_OBJECTIVE {
                let due: Vec<usize> = (0..SERVERS)
                    .filter(|index| gives_up(*index) && !given_up.0[node][*index])
                    .collect();
                record_outcomes(cluster, &[node], &due, AttemptOutcome::TimedOut);
                due.iter().for_each(|index| given_up.0[node][*index] = true);
            }
            set_overdue(cluster, node, &given_up.0[node], waited);
        }
        assert_ejected_fraction(cluster);
    }
    for node in 0..NODES {
        let answered: Vec<usize> = (0..SERVERS)
            .filter(|index| !given_up.0[node][*index])
            .collect();
        record_outcomes(cluster, &[node], &answered, AttemptOutcome::AnsweredLate);
        cluster.with_node(node, |fleet, now| fleet.set_overdue(now, &[]));
    }
    given_up
}

/// Sets the attempts of a node that are overdue and have not been given up.
fn set_overdue(cluster: &mut Cluster, node: usize, given_up: &[bool], waited: f64) {
    cluster.with_node(node, |fleet, now| {
        let waiting = (0..SERVERS).filter(|index| !given_up[*index]);
        let overdue: Vec<OverdueAttempt> = waiting
            .map(|index| OverdueAttempt {
                server: server(index),
                started_at: now - waited,
                overdue_since: now - waited + LATENCY_OBJECTIVE,
            })
            .filter(|attempt| attempt.overdue_since <= now)
            .collect();
        fleet.set_overdue(now, &overdue);
    });
}

fn assert_ejected_fraction(cluster: &Cluster) {
    for node in 0..NODES {
        let ejected = ejected_servers(cluster, node);
        assert!(ejected.len() <= MAX_EJECTED, "{ejected:?} at node {node}");
    }
}

/// Lets all servers answer at once, until all reports have expired. Returns the time until no node ejects any server.
fn recover(cluster: &mut Cluster, given_up: &mut GivenUp, has_probers: bool) -> f64 {
    let begins_at = cluster.now;
    let mut readmitted_at = begins_at;
    while cluster.now < begins_at + 3.0 * REPORT_TTL {
        cluster.run(STEP);
        for node in 0..NODES {
            let ejected = ejected_servers(cluster, node);
            let avoided = given_up.servers(node);
            let sent: Vec<usize> = (0..SERVERS)
                .filter(|index| !ejected.contains(&server(*index).name))
                .filter(|index| !avoided.contains(index))
                .collect();
            record_outcomes(cluster, &[node], &sent, AttemptOutcome::Answered);
            if has_probers {
                probe(cluster, node, given_up);
            }
        }
        assert_ejected_fraction(cluster);
        if (0..NODES).any(|node| !ejected_servers(cluster, node).is_empty()) {
            readmitted_at = cluster.now;
        }
    }
    readmitted_at - begins_at
}

/// Sends two probes, which are answered, to each server that the node has to probe.
fn probe(cluster: &mut Cluster, node: usize, given_up: &mut GivenUp) {
    let listed = cluster.listed_servers;
    let to_index =
        |ejected: EjectedServer| (0..SERVERS).find(|index| server(*index) == ejected.server);
    let probed = cluster.with_node(node, |fleet, now| -> Vec<usize> {
        let ejected = fleet.ejected_servers(now, listed).into_iter();
        let of_prober = ejected.filter(|ejected| ejected.is_prober);
        of_prober.filter_map(to_index).collect()
    });
    for index in probed.unwrap_or_default() {
        record_outcomes(cluster, &[node], &[index, index], AttemptOutcome::Answered);
        given_up.0[node][index] = false;
    }
}

/// Guards against a stall of all servers that ejects more than a fifth of them, or for longer than its reports live.
#[test]
fn common_stall_ejects_at_most_a_fifth_and_no_longer_than_its_evidence() {
    for (seed, seconds) in [(101, 0.25), (103, 0.5), (107, 1.0), (109, 2.0)] {
        for (share, has_probers) in [
            (1, true),
            (1, false),
            (2, true),
            (2, false),
            (SERVERS, true),
        ] {
            let mut cluster = converged_cluster(NODES, seed);
            cluster.listed_servers = SERVERS;
            let all: Vec<usize> = (0..SERVERS).collect();
            let nodes: Vec<usize> = (0..NODES).collect();
            record_outcomes(&mut cluster, &nodes, &all, AttemptOutcome::Answered);
            let mut given_up = stall(&mut cluster, seconds, |index| index < share);
            let took = recover(&mut cluster, &mut given_up, has_probers);
            assert!(
                took <= REPORT_TTL,
                "a server is ejected {took} s after a stall of {seconds} s"
            );
            assert_eq!(cluster.violations, Vec::<Violation>::new());
        }
    }
}
