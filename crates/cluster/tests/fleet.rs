//! Fleets in virtual time: news, bounds, cuts, freezes, restarts.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reelfall_cluster::entry::{ServerInstance, Value};
use reelfall_cluster::fleet::{Config, Fleet};
use reelfall_cluster::observer::{AttemptOutcome, OverdueAttempt};
use reelfall_cluster::wire::{DropReason, GossipDatagram, Secret};
use reelfall_emulator::cluster::{address, default_config, secret, Cluster, Links, Violation};

fn gathered(nodes: usize, seed: u64) -> Cluster {
    let mut world = Cluster::new(nodes, seed, |_| default_config());
    world.run_until(20.0, Cluster::is_converged);
    world
}

fn all_out(world: &Cluster, server: &str, out: bool) -> bool {
    (0..world.processes.len())
        .filter(|n| world.processes[*n].is_some())
        .all(|n| world.banned_servers(n).contains(server) == out)
}

#[test]
fn a_ban_at_one_node_holds_at_all_within_a_second_and_so_does_its_lift() {
    for (nodes, loss) in [(2, 0.0), (9, 0.0), (40, 0.0), (40, 0.05)] {
        let mut world = gathered(nodes, 7);
        world.links.loss = loss;
        world
            .with_node(nodes - 1, |f, now| f.ban(now, "sick", "ada", None))
            .unwrap();
        let took = world.run_until(10.0, |w| all_out(w, "sick", true));
        assert!(took < 1.0, "{nodes} nodes, loss {loss}: {took} s");
        world.with_node(0, |f, now| assert_eq!(f.lift(now, "sick", "obi"), 1));
        let took = world.run_until(10.0, |w| all_out(w, "sick", false));
        assert!(
            took < 1.0,
            "{nodes} nodes, loss {loss}: lifted after {took} s"
        );
        assert_eq!(world.violations, Vec::<Violation>::new());
    }
}

#[test]
fn a_ban_with_an_end_ends_everywhere_by_itself_with_all_links_cut() {
    let mut world = gathered(5, 3);
    world
        .with_node(0, |f, now| f.ban(now, "sick", "ada", Some(5.0)))
        .unwrap();
    world.run_until(2.0, |w| all_out(w, "sick", true));
    let all: Vec<usize> = (0..5).collect();
    world.partition(&all, &all);
    world.run(3.0);
    assert!(all_out(&world, "sick", true));
    world.run(2.0);
    assert!(all_out(&world, "sick", false));
    assert_eq!(world.violations, Vec::<Violation>::new());
    assert!(
        world.max_age_ratio > 0.9,
        "the bound was not reached, so that nothing was shown"
    );
}

#[test]
fn clocks_that_run_slow_hold_nothing_for_longer() {
    let mut world = gathered(5, 61);
    world
        .with_node(0, |f, now| f.ban(now, "sick", "ada", Some(900.0)))
        .unwrap();
    world.run(901.0);
    assert_eq!(world.violations, Vec::<Violation>::new());
    assert!(all_out(&world, "sick", false) && world.max_age_ratio > 0.99);
}

#[test]
fn what_a_frozen_node_slept_on_is_not_made_new_by_it() {
    let mut world = gathered(4, 11);
    // News and links' delays pile up at a node that stands still; the verdict is over when it wakes.
    world.freeze(3);
    world
        .with_node(0, |f, now| f.ban(now, "sick", "ada", Some(4.0)))
        .unwrap();
    world.run(20.0);
    world.thaw(3);
    world.check_invariants();
    assert!(
        !world.banned_servers(3).contains("sick"),
        "a verdict of 20 s ago counts at who slept"
    );
    world.run(3.0);
    assert!(all_out(&world, "sick", false));
    // And one that it held as it fell asleep.
    world.run_until(20.0, Cluster::is_converged);
    world
        .with_node(3, |f, now| f.ban(now, "other", "ada", Some(4.0)))
        .unwrap();
    world.freeze(3);
    world.run(10.0);
    world.thaw(3);
    world.run(3.0);
    assert!(all_out(&world, "other", false));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

#[test]
fn a_lift_on_one_side_of_a_cut_covers_what_it_knew_and_nothing_newer() {
    let mut world = gathered(6, 5);
    world
        .with_node(0, |f, now| f.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(2.0, |w| all_out(w, "sick", true));
    world.partition(&[0, 1, 2], &[3, 4, 5]);
    world.run(1.0);
    // Lifted on one side alone: the other keeps to the ban until it hears.
    world
        .with_node(1, |f, now| f.lift(now, "sick", "obi"))
        .unwrap();
    world.run(20.0);
    assert!(world.banned_servers(2).is_empty() && world.banned_servers(4).contains("sick"));
    world.heal();
    world.run_until(20.0, |w| all_out(w, "sick", false));
    world.run(30.0);
    assert!(all_out(&world, "sick", false), "a lifted ban is back");
    // Lifted on one side while an operator renews it on the other: the new call is no older one's.
    world.run_until(60.0, Cluster::is_converged);
    world
        .with_node(0, |f, now| f.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(2.0, |w| all_out(w, "sick", true));
    world.partition(&[0, 1, 2], &[3, 4, 5]);
    world
        .with_node(1, |f, now| f.lift(now, "sick", "obi"))
        .unwrap();
    world
        .with_node(4, |f, now| f.ban(now, "sick", "eze", None))
        .unwrap();
    world.run(5.0);
    world.heal();
    world.run_until(30.0, |w| all_out(w, "sick", true));
    world.with_node(2, |f, now| assert_eq!(f.lift(now, "sick", "obi"), 1));
    world.run_until(5.0, |w| all_out(w, "sick", false));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

#[test]
fn half_of_a_fleet_cut_off_for_a_minute_is_one_fleet_again() {
    let mut world = gathered(12, 17);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..12).partition(|n| n % 2 == 0);
    world.partition(&one, &other);
    world.run(60.0);
    assert!(
        (0..12).all(|n| world.member_count(n) == 5),
        "who is cut off is taken for there"
    );
    world.heal();
    world.run_until(30.0, Cluster::is_converged);
    // A cut in one direction alone, and a pair that do not see each other while a third sees both, part nobody.
    world.partition_one_way(&[1], &[2, 3]);
    world.partition(&[4], &[5]);
    world.run(30.0);
    assert!(
        (0..12).all(|n| world.member_count(n) == 11),
        "a path is left, and somebody is taken for gone"
    );
}

#[test]
fn in_a_large_fleet_an_end_is_told_in_its_time_and_who_begins_is_told_of_all() {
    let mut world = gathered(100, 73);
    for n in [40, 41, 42] {
        world.kill(n);
        // Until it is probed, to the end of that probe, and the time to refute; the first must not doubt itself for it.
        let took = world.run_until(20.0, |w| {
            (0..100).any(|m| w.processes[m].is_some() && w.member_count(m) == 98)
        });
        assert!(took > 4.0 && took < 8.0, "an end is told after {took} s");
        world.run_until(3.0, |w| {
            (0..100).all(|m| w.processes[m].is_none() || w.member_count(m) == 98)
        });
        world.start(n);
        let took = world.run_until(20.0, Cluster::is_converged);
        assert!(took < 8.0, "who begins knows all after {took} s");
    }
}

#[test]
fn where_most_end_at_once_the_others_know_soon_and_doubt_nobody_else() {
    let mut world = gathered(60, 79);
    (20..60).for_each(|n| world.kill(n));
    let took = world.run_until(60.0, |w| (0..20).all(|n| w.member_count(n) == 19));
    assert!(took < 25.0, "{took} s");
    assert_eq!(world.false_positives, 0);
    (20..60).for_each(|n| world.start(n));
    let took = world.run_until(60.0, Cluster::is_converged);
    assert!(took < 15.0, "back after {took} s");
}

#[test]
fn who_missed_the_word_of_an_end_hears_it_from_the_next_that_it_compares_with() {
    let mut world = gathered(30, 83);
    world.inbox_capacity = 0;
    world.kill(29);
    // It stands still while the others tell each other, and what comes meanwhile is lost.
    world.run_until(20.0, |w| (0..29).any(|m| w.member_count(m) == 28));
    let late = (0..29).find(|m| world.member_count(*m) == 29).unwrap();
    world.freeze(late);
    world.run(2.0);
    world.thaw(late);
    let took = world.run_until(20.0, |w| w.member_count(late) == 28);
    assert!(took < 4.0, "{took} s");
}

#[test]
fn who_stood_still_gives_those_it_suspected_their_time_to_refute_anew() {
    // One hears nothing of another for long enough to suspect it, stands still beyond the other's time to refute, and all that
    // was said meanwhile is lost to it.
    for (still, seed) in [(5.0, 1), (8.0, 2), (12.0, 3), (6.0, 4)] {
        let mut world = gathered(6, 89 + seed);
        world.inbox_capacity = 0;
        world.partition_one_way(&[0], &[1, 2, 3, 4, 5]);
        world.partition_one_way(&[1, 2, 3, 4, 5], &[0]);
        world.run(2.5);
        world.freeze(0);
        world.heal();
        world.run(still);
        world.thaw(0);
        world.run(3.0);
        assert_eq!(
            world.false_positives, 0,
            "who stood still for {still} s takes others for gone"
        );
    }
}

#[test]
fn on_links_that_lose_much_who_is_suspected_hears_it_in_time() {
    let mut world = gathered(60, 97);
    world.links.loss = 0.4;
    world.run(60.0);
    assert_eq!(world.false_positives, 0, "who is there was taken for gone");
}

#[test]
fn a_process_that_begins_again_is_a_later_life_and_takes_no_orders_for_the_old_one() {
    let mut world = gathered(5, 23);
    let first = world.incarnation(4);
    world
        .with_node(4, |f, now| f.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(2.0, |w| all_out(w, "sick", true));
    world.kill(4);
    world.run(1.0);
    world.start(4);
    world.run_until(20.0, |w| w.is_converged() && w.incarnation(4) > first);
    assert!(world.incarnation(4).number > first.number && world.incarnation(4).tag != first.tag);
    world.run_until(5.0, |w| w.banned_servers(4).contains("sick"));
    // Its own words count at once, though it counts them from one again.
    world
        .with_node(4, |f, now| f.ban(now, "new", "ada", None))
        .unwrap();
    world.run_until(2.0, |w| all_out(w, "new", true));
    // It leaves; its next incarnation is not leaving.
    world.with_node(4, |f, now| f.leave(now)).unwrap();
    world.run(1.0);
    world.kill(4);
    world.start(4);
    world.run_until(20.0, Cluster::is_converged);
    let incarnation = world.incarnation(4);
    world.run(2.0);
    let leaving = |n: usize| {
        let process = world.processes[n].as_ref().unwrap();
        let live = process.fleet.table().live(process.local_time(world.now));
        live.filter(|(key, held)| {
            held.value == Value::Leaving
                && matches!(key, reelfall_cluster::entry::Key::Leaving { incarnation: i, .. } if *i == incarnation)
        })
        .count()
    };
    assert!((0..5).all(|n| leaving(n) == 0));
}

#[test]
fn of_two_processes_with_one_name_one_stands_aside() {
    let mut world = gathered(4, 29);
    world.processes.push(None);
    world.start_as(4, "node-3");
    world.run(20.0);
    let aside = |n: usize| {
        let process = world.processes[n].as_ref().unwrap();
        process
            .fleet
            .has_name_conflict(process.local_time(world.now))
    };
    assert_eq!(
        [3, 4].into_iter().filter(|n| aside(*n)).count(),
        1,
        "one name, two voices"
    );
    assert!((0..3).all(|n| !aside(n)));
    // The one that speaks is heard.
    let speaks = if aside(3) { 4 } else { 3 };
    world
        .with_node(speaks, |f, now| f.ban(now, "sick", "ada", None))
        .unwrap();
    world.run_until(3.0, |w| all_out(w, "sick", true));
}

#[test]
fn a_node_whose_fellows_have_all_begun_again_finds_them() {
    let mut world = gathered(5, 53);
    // It writes to lives that are over; what they left says that it is gone itself.
    world.partition(&[4], &[0, 1, 2, 3]);
    world.run(15.0);
    (0..4).for_each(|n| world.start(n));
    world.heal();
    world.run_until(20.0, Cluster::is_converged);
}

// ---- learned verdicts ----

fn server(n: usize) -> ServerInstance {
    ServerInstance {
        name: format!("server-{n}"),
        since: 5,
    }
}

fn condemned(world: &Cluster, n: usize) -> Vec<String> {
    let process = world.processes[n].as_ref().unwrap();
    let all = process
        .fleet
        .condemned_servers(process.local_time(world.now), world.listed_servers);
    all.into_iter().map(|c| c.server.name).collect()
}

fn see(world: &mut Cluster, nodes: &[usize], servers: &[usize], outcome: AttemptOutcome) {
    for n in nodes {
        for s in servers {
            world.with_node(*n, |f, now| f.record_outcome(now, &server(*s), outcome));
        }
    }
}

fn zones(n: usize) -> Config {
    Config {
        zone: if n < 4 { "ikeja" } else { "lekki" }.to_owned(),
        ..default_config()
    }
}

#[test]
fn three_that_a_server_fails_condemn_it_for_all_and_one_does_not() {
    let mut world = gathered(9, 31);
    for _ in 0..3 {
        see(&mut world, &[1], &[0], AttemptOutcome::ServerError);
        world.run(0.3);
    }
    assert!(
        (0..9).all(|n| condemned(&world, n).is_empty()),
        "one voice condemns"
    );
    for _ in 0..3 {
        see(&mut world, &[1, 2, 3], &[0], AttemptOutcome::ServerError);
        world.run(0.05);
    }
    let took = world.run_until(3.0, |w| (0..9).all(|n| condemned(w, n) == ["server-0"]));
    assert!(took < 1.0, "{took} s");
    // Nobody says it again: it ends by itself, and no node holds to it longer than it may.
    world.run(10.5);
    assert!((0..9).all(|n| condemned(&world, n).is_empty()));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

/// These nodes wait for an answer of a server, each for so many seconds past an aim of 0.2 s; or no longer.
fn wait_for(world: &mut Cluster, nodes: &[usize], waits: Option<f64>) {
    for n in nodes {
        world.with_node(*n, |f, now| {
            let of = |past| OverdueAttempt {
                server: server(0),
                since: now - 0.2 - past,
                late_from: now - past,
            };
            f.set_overdue(now, &waits.map(of).into_iter().collect::<Vec<_>>());
        });
    }
}

#[test]
fn who_waits_tells_before_the_wait_is_over_and_takes_it_back_if_answered() {
    let mut world = gathered(9, 67);
    wait_for(&mut world, &[0, 1, 2], Some(0.01));
    let took = world.run_until(2.0, |w| (0..9).all(|n| condemned(w, n) == ["server-0"]));
    // By the next round of news, and not the one after it.
    assert!(took < 0.1, "{took} s");
    // It only paused: those that waited are answered late, and nobody is left with what they said.
    see(&mut world, &[0, 1, 2], &[0], AttemptOutcome::AnsweredLate);
    wait_for(&mut world, &[0, 1, 2], None);
    let took = world.run_until(2.0, |w| (0..9).all(|n| condemned(w, n).is_empty()));
    assert!(took < 0.6, "taken back, and held for {took} s");
    // Who was aborted, with its client gone, has seen no answer and has nothing to say any more.
    wait_for(&mut world, &[3, 4, 5], Some(0.01));
    world.run_until(2.0, |w| condemned(w, 8) == ["server-0"]);
    wait_for(&mut world, &[3, 4, 5], None);
    world.run_until(2.0, |w| (0..9).all(|n| condemned(w, n).is_empty()));
    // Where the wait ends in silence, what was said stands, on the evidence of the end.
    wait_for(&mut world, &[6, 7, 8], Some(0.01));
    world.run_until(2.0, |w| condemned(w, 0) == ["server-0"]);
    see(&mut world, &[6, 7, 8], &[0], AttemptOutcome::TimedOut);
    wait_for(&mut world, &[6, 7, 8], None);
    world.run(9.0);
    assert!((0..9).all(|n| condemned(&world, n) == ["server-0"]));
    world.run(2.0);
    assert!((0..9).all(|n| condemned(&world, n).is_empty()));
    assert_eq!(world.violations, Vec::<Violation>::new());
}

#[test]
fn a_server_that_has_answered_others_since_is_busy_and_not_silent() {
    let mut world = gathered(5, 71);
    // Sent before the server was last heard.
    see(&mut world, &[0, 1, 2], &[0], AttemptOutcome::Answered);
    for _ in 0..20 {
        wait_for(&mut world, &[0, 1, 2], Some(0.3));
        world.run(0.1);
        see(&mut world, &[0, 1, 2], &[0], AttemptOutcome::Answered);
    }
    assert!((0..5).all(|n| condemned(&world, n).is_empty()));
    // Sent since, it tells.
    world.run(1.0);
    wait_for(&mut world, &[0, 1, 2], Some(0.3));
    world.run_until(2.0, |w| (0..5).all(|n| condemned(w, n) == ["server-0"]));
}

#[test]
fn who_is_gone_condemns_nobody() {
    let mut world = Cluster::new(9, 59, |_| Config {
        report_lasts: 60.0,
        ..default_config()
    });
    world.run_until(20.0, Cluster::is_converged);
    for _ in 0..3 {
        see(&mut world, &[6, 7, 8], &[0], AttemptOutcome::ServerError);
        world.run(0.1);
    }
    world.run_until(2.0, |w| (0..6).all(|n| condemned(w, n) == ["server-0"]));
    (6..9).for_each(|n| world.kill(n));
    world.run_until(20.0, |w| (0..6).all(|n| condemned(w, n).is_empty()));
}

#[test]
fn nodes_that_a_server_answers_speak_up_against_those_that_it_fails() {
    let mut world = gathered(9, 37);
    for _ in 0..4 {
        see(&mut world, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
        see(&mut world, &[4, 5, 6, 7], &[0], AttemptOutcome::Answered);
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..9).all(|n| condemned(&world, n).is_empty()),
        "three condemn what four are served by"
    );
    // One that is condemned and answers again is heard of: by those that it failed, too.
    for _ in 0..4 {
        see(&mut world, &[0, 1, 2, 3], &[1], AttemptOutcome::TimedOut);
        world.run(0.1);
    }
    world.run_until(2.0, |w| (0..9).all(|n| condemned(w, n) == ["server-1"]));
    for _ in 0..3 {
        see(&mut world, &[0, 1], &[1], AttemptOutcome::Answered);
        world.run(0.1);
    }
    let took = world.run_until(3.0, |w| (0..9).all(|n| condemned(w, n).is_empty()));
    assert!(took < 1.5, "well again, and heard after {took} s");
}

#[test]
fn who_finds_fault_with_all_and_a_zone_that_is_cut_off_condemn_nobody_else() {
    let mut world = Cluster::new(8, 41, zones);
    world.run_until(20.0, Cluster::is_converged);
    let all: Vec<usize> = (0..20).collect();
    // A whole zone can't reach the servers of the other: true for that zone alone.
    for _ in 0..3 {
        see(
            &mut world,
            &[0, 1, 2, 3],
            &[10, 11, 12],
            AttemptOutcome::Unreachable,
        );
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..4).all(|n| condemned(&world, n).len() == 3),
        "{:?}",
        condemned(&world, 0)
    );
    assert!(
        (4..8).all(|n| condemned(&world, n).is_empty()),
        "a zone that is cut off condemns the other's servers"
    );
    world.run(12.0);
    // Three nodes with bad links see all servers fail: more likely it is them.
    for _ in 0..3 {
        see(&mut world, &[0, 1, 5], &all, AttemptOutcome::TimedOut);
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..8).all(|n| condemned(&world, n).is_empty()),
        "{:?}",
        condemned(&world, 7)
    );
    world.run(12.0);
    // All condemn a good part of the list: no more than the stated part goes, the same at all.
    let some: Vec<usize> = (0..6).collect();
    let nodes: Vec<usize> = (0..8).collect();
    for _ in 0..3 {
        see(&mut world, &nodes, &some, AttemptOutcome::ServerError);
        world.run(0.2);
    }
    world.run(1.0);
    assert!(
        (0..8).all(|n| condemned(&world, n).len() == 4),
        "{:?}",
        condemned(&world, 0)
    );
    assert!((0..8).all(|n| condemned(&world, n) == condemned(&world, 0)));
}

#[test]
fn a_verdict_on_a_server_says_nothing_of_its_next_start() {
    let mut world = gathered(5, 43);
    for _ in 0..3 {
        see(&mut world, &[0, 1, 2], &[0], AttemptOutcome::ServerError);
        world.run(0.1);
    }
    world.run_until(2.0, |w| condemned(w, 4) == ["server-0"]);
    let process = world.processes[4].as_ref().unwrap();
    let judged = process
        .fleet
        .condemned_servers(process.local_time(world.now), 20);
    let next = ServerInstance {
        since: 6,
        ..server(0)
    };
    assert!(judged
        .iter()
        .all(|c| c.server != next && c.server == server(0)));
}

// ---- datagrams ----

#[test]
fn what_is_forged_torn_foreign_or_said_again_is_dropped_and_counted() {
    let mut world = gathered(3, 47);
    world
        .with_node(0, |f, now| f.ban(now, "sick", "ada", Some(2.0)))
        .unwrap();
    // All that the others say to one node is kept, to be said again later.
    let mut kept = Vec::new();
    let process = world.processes[0].as_mut().unwrap();
    let now = process.local_time(world.now);
    process.fleet.tick(now + 0.2, 20);
    while let Some(datagram) = process.fleet.next_datagram() {
        kept.push((datagram.to, datagram.bytes));
    }
    assert!(!kept.is_empty());
    for (to, datagram) in &kept {
        let to = usize::from(to.port()) - 10_000;
        for after in [0.0, 0.001, 3.0, 10.0] {
            world.inject(to, datagram.clone(), after);
        }
        for at in [0, 2, 5, 25, datagram.len() - 1] {
            let mut torn = datagram.clone();
            torn[at] ^= 0x40;
            world.inject(to, torn, 0.0);
        }
        world.inject(to, datagram[..datagram.len() / 2].to_vec(), 0.0);
        world.inject(to, vec![0; 9000], 0.0);
    }
    world.run(1.0);
    world.run(14.0);
    assert!(
        all_out(&world, "sick", false),
        "what was said again counts again"
    );
    assert_eq!(world.violations, Vec::<Violation>::new());
    let dropped = |n: usize, why: DropReason| {
        world.processes[n].as_ref().map_or(0, |p| {
            p.fleet.counters().dropped.get(&why).copied().unwrap_or(0)
        })
    };
    for why in [
        DropReason::Duplicate,
        DropReason::Unauthenticated,
        DropReason::Foreign,
        DropReason::TooLong,
    ] {
        assert!((1..3).any(|n| dropped(n, why) > 0), "{why} is not counted");
    }
    let other = Secret::new(b"a key of this world's own", "abuja").unwrap();
    assert_eq!(
        GossipDatagram::open(&other, &kept[0].1).unwrap_err(),
        DropReason::Unauthenticated,
        "another fleet's name is another key"
    );
    assert!(Secret::new(b"short", "lagos").is_err());
}

#[test]
fn a_datagram_that_can_not_prove_its_age_tells_nothing() {
    // Two that have never heard each other: one's news come by a link that holds them for a minute.
    let mut one = Fleet::new("one", address(0), 1, default_config(), secret(), 1, 0.0);
    let mut two = Fleet::new("two", address(1), 2, default_config(), secret(), 2, 0.0);
    one.ban(0.0, "sick", "ada", Some(5.0)).unwrap();
    let mut t = 0.0;
    let mut late = Vec::new();
    while t < 3.0 {
        one.tick(t, 1);
        two.tick(t, 1);
        while let Some(datagram) = two.next_datagram() {
            one.receive(t, &datagram.bytes);
        }
        while let Some(datagram) = one.next_datagram() {
            late.push(datagram.bytes);
        }
        t += 0.05;
    }
    for d in late {
        two.receive(60.0, &d);
    }
    assert_eq!(
        two.ban_left("sick", 60.0),
        None,
        "a minute under way, and taken for new"
    );
    assert!(two.counters().expired + two.counters().unproven > 0);
}

// ---- any schedule ----

#[derive(Clone, Debug)]
enum Step {
    Run(u32),
    Ban(usize, usize, u32),
    Lift(usize, usize),
    See(usize, usize, bool),
    Cut(usize, usize, bool),
    Heal,
    Freeze(usize, bool),
    Restart(usize),
    Kill(usize),
    Loss(u8),
    Slow(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let (node, server) = (0..5usize, 0..3usize);
    prop_oneof![
        4 => (1..3000u32).prop_map(Step::Run),
        3 => (node.clone(), server.clone(), 1..8u32).prop_map(|(n, s, l)| Step::Ban(n, s, l)),
        2 => (node.clone(), server.clone()).prop_map(|(n, s)| Step::Lift(n, s)),
        2 => (node.clone(), server, any::<bool>()).prop_map(|(n, s, w)| Step::See(n, s, w)),
        2 => (node.clone(), node.clone(), any::<bool>()).prop_map(|(a, b, both)| Step::Cut(a, b, both)),
        1 => Just(Step::Heal),
        2 => (node.clone(), any::<bool>()).prop_map(|(n, f)| Step::Freeze(n, f)),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.prop_map(Step::Kill),
        1 => (0..60u8).prop_map(Step::Loss),
        1 => (0..200u8).prop_map(Step::Slow),
    ]
}

fn play(world: &mut Cluster, step: &Step) {
    let server = |s: usize| format!("server-{s}");
    match *step {
        Step::Run(ms) => world.run(f64::from(ms) / 1e3),
        Step::Ban(n, s, lasts) => {
            let lasts = (lasts < 7).then_some(f64::from(lasts));
            if world.processes[n].as_ref().is_some_and(|p| !p.is_frozen) {
                world.with_node(n, |f, now| f.ban(now, &server(s), "ada", lasts));
            }
        }
        Step::Lift(n, s) => {
            if world.processes[n].as_ref().is_some_and(|p| !p.is_frozen) {
                world.with_node(n, |f, now| f.lift(now, &server(s), "obi"));
            }
        }
        Step::See(n, s, well) => {
            if world.processes[n].as_ref().is_some_and(|p| !p.is_frozen) {
                see(
                    world,
                    &[n],
                    &[s],
                    if well {
                        AttemptOutcome::Answered
                    } else {
                        AttemptOutcome::ServerError
                    },
                );
            }
        }
        Step::Cut(a, b, true) => world.partition(&[a], &[b]),
        Step::Cut(a, b, false) => world.partition_one_way(&[a], &[b]),
        Step::Heal => world.heal(),
        Step::Freeze(n, true) => world.freeze(n),
        Step::Freeze(n, false) => world.thaw(n),
        Step::Restart(n) => world.start(n),
        Step::Kill(n) => world.kill(n),
        Step::Loss(percent) => world.links.loss = f64::from(percent) / 100.0,
        Step::Slow(hundredths) => world.links.max_delay = 0.002 + f64::from(hundredths) / 100.0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(41), failure_persistence: None, ..Default::default() })]

    /// On any schedule: no verdict counts past its time, no lifted ban comes back, and once all is healed all hold
    /// the same.
    #[test]
    fn on_any_schedule_bounds_hold_lifts_stay_and_what_is_healed_agrees(
        seed in any::<u64>(), steps in prop::collection::vec(step(), 1..40),
    ) {
        let mut world = Cluster::new(5, seed, |_| default_config());
        world.run(3.0);
        world.links.duplication = 0.05;
        for step in &steps {
            play(&mut world, step);
            prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
        }
        world.links = Links::default();
        world.heal();
        for n in 0..5 {
            world.thaw(n);
            if world.processes[n].is_none() {
                world.start(n);
            }
        }
        // Longer than any ban of a schedule that has an end, and than a cut-off node needs to be let in again.
        world.run(60.0);
        prop_assert!(world.is_converged(), "{:?}", (0..5).map(|n| world.member_count(n)).collect::<Vec<_>>());
        let first = world.banned_servers(0);
        prop_assert!((1..5).all(|n| world.banned_servers(n) == first), "{:?}", (0..5).map(|n| world.banned_servers(n)).collect::<Vec<_>>());
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}
