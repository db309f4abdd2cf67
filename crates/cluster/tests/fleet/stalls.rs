//! Moments in which all servers are late at all nodes: what is ejected, and for how long.

use crate::fixture::{ejected_servers, gathered_world, record_outcomes, server};
use reelfall_cluster::fleet::EjectedServer;
use reelfall_cluster::observer::{AttemptOutcome, OverdueAttempt};
use reelfall_emulator::cluster::{Cluster, Violation};

const NODES: usize = 6;
const SERVERS: usize = 8;
/// A fifth of the servers.
const MAX_EJECTED: usize = 1;
/// The latency objective, after which attempts that can be repeated are given up, in seconds.
const LATENCY_OBJECTIVE: f64 = 0.2;
/// Time to live of a report, in seconds.
const REPORT_TTL: f64 = 10.0;
/// How often nodes send an attempt to each server, in seconds.
const STEP: f64 = 0.05;

/// The servers that a node has given up an attempt at, and sends nothing more unless it probes them.
struct GivenUp(Vec<Vec<bool>>);

impl GivenUp {
    fn servers(&self, node: usize) -> Vec<usize> {
        let of_node = self.0[node].iter().enumerate();
        of_node
            .filter_map(|(index, given_up)| given_up.then_some(index))
            .collect()
    }
}

/// All nodes wait for all servers from now on, and give up an attempt at the servers that `gives_up` selects.
fn stall(world: &mut Cluster, seconds: f64, gives_up: impl Fn(usize) -> bool) -> GivenUp {
    let mut given_up = GivenUp(vec![vec![false; SERVERS]; NODES]);
    let begins_at = world.now;
    while world.now < begins_at + seconds {
        world.run(STEP);
        let waited = world.now - begins_at;
        for node in 0..NODES {
            if waited > LATENCY_OBJECTIVE {
                let due: Vec<usize> = (0..SERVERS)
                    .filter(|index| gives_up(*index) && !given_up.0[node][*index])
                    .collect();
                record_outcomes(world, &[node], &due, AttemptOutcome::TimedOut);
                due.iter().for_each(|index| given_up.0[node][*index] = true);
            }
            set_overdue(world, node, &given_up.0[node], waited);
        }
        assert_share(world);
    }
    for node in 0..NODES {
        let answered: Vec<usize> = (0..SERVERS)
            .filter(|index| !given_up.0[node][*index])
            .collect();
        record_outcomes(world, &[node], &answered, AttemptOutcome::AnsweredLate);
        world.with_node(node, |fleet, now| fleet.set_overdue(now, &[]));
    }
    given_up
}

/// The attempts of a node that still wait.
fn set_overdue(world: &mut Cluster, node: usize, given_up: &[bool], waited: f64) {
    world.with_node(node, |fleet, now| {
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

fn assert_share(world: &Cluster) {
    for node in 0..NODES {
        let ejected = ejected_servers(world, node);
        assert!(ejected.len() <= MAX_EJECTED, "{ejected:?} at node {node}");
    }
}

/// All servers answer at once from now on. Returns when the last of them is ejected by no node any more.
fn recover(world: &mut Cluster, given_up: &mut GivenUp, has_probers: bool) -> f64 {
    let begins_at = world.now;
    let mut readmitted_at = begins_at;
    while world.now < begins_at + 3.0 * REPORT_TTL {
        world.run(STEP);
        for node in 0..NODES {
            let ejected = ejected_servers(world, node);
            let avoided = given_up.servers(node);
            let sent: Vec<usize> = (0..SERVERS)
                .filter(|index| !ejected.contains(&server(*index).name))
                .filter(|index| !avoided.contains(index))
                .collect();
            record_outcomes(world, &[node], &sent, AttemptOutcome::Answered);
            if has_probers {
                probe(world, node, given_up);
            }
        }
        assert_share(world);
        if (0..NODES).any(|node| !ejected_servers(world, node).is_empty()) {
            readmitted_at = world.now;
        }
    }
    readmitted_at - begins_at
}

/// Sends the trials of a prober: two, as both are answered.
fn probe(world: &mut Cluster, node: usize, given_up: &mut GivenUp) {
    let listed = world.listed_servers;
    let to_index =
        |ejected: EjectedServer| (0..SERVERS).find(|index| server(*index) == ejected.server);
    let probed = world.with_node(node, |fleet, now| -> Vec<usize> {
        let ejected = fleet.ejected_servers(now, listed).into_iter();
        let of_prober = ejected.filter(|ejected| ejected.is_prober);
        of_prober.filter_map(to_index).collect()
    });
    for index in probed.unwrap_or_default() {
        record_outcomes(world, &[node], &[index, index], AttemptOutcome::Answered);
        given_up.0[node][index] = false;
    }
}

/// Guards against a moment in which all servers are late that takes capacity away for longer than it lasted.
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
            let mut world = gathered_world(NODES, seed);
            world.listed_servers = SERVERS;
            let all: Vec<usize> = (0..SERVERS).collect();
            let nodes: Vec<usize> = (0..NODES).collect();
            record_outcomes(&mut world, &nodes, &all, AttemptOutcome::Answered);
            let mut given_up = stall(&mut world, seconds, |index| index < share);
            let took = recover(&mut world, &mut given_up, has_probers);
            assert!(
                took <= REPORT_TTL,
                "a server is ejected {took} s after a stall of {seconds} s"
            );
            assert_eq!(world.violations, Vec::<Violation>::new());
        }
    }
}
