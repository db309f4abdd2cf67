//! Admission, repeats and cold servers when there is more work than the servers can do.

mod common;

use common::{class, entry, settings, Node};
use reelfall_balancer::interface::*;

/// A node that sees some thirteen requests a second, and has seen them answered in 30 ms for a while.
fn at_rest(servers: u32) -> Node {
    let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), servers);
    answers(&mut node, 60, 0.03);
    node
}

/// So many requests, one after another, each answered after so long.
fn answers(node: &mut Node, number: u32, takes: Time) {
    for _ in 0..number {
        let (id, server) = node.request(0, None, 0.6);
        node.now += takes;
        if let Some(server) = server {
            node.end(id, 0, server, Outcome::Served, takes);
        }
        node.now += 0.045;
        node.sweep();
    }
}

fn admit(node: &Node) -> f64 {
    node.balancer.learned(node.now).admitted_fraction
}

#[test]
fn a_second_of_late_answers_cuts_admission_though_a_node_sees_few() {
    let mut node = at_rest(12);
    assert_eq!(admit(&node), 1.0);
    answers(&mut node, 6, 0.19);
    assert!(admit(&node) < 0.9, "{}", admit(&node));
    // What was cut comes back while answers are in time.
    answers(&mut node, 60, 0.03);
    assert_eq!(admit(&node), 1.0);
}

#[test]
fn one_late_answer_among_many_costs_nobody_a_refusal() {
    let mut node = at_rest(12);
    for _ in 0..20 {
        answers(&mut node, 1, 0.19);
        assert_eq!(admit(&node), 1.0);
        answers(&mut node, 19, 0.03);
    }
}

#[test]
fn lost_capacity_lowers_what_is_admitted_under_pressure_and_not_at_rest() {
    let mut quiet = at_rest(12);
    quiet.members(UpdateKind::Snapshot, (0..4).map(entry).collect());
    assert_eq!(admit(&quiet), 1.0);
    let mut pressed = at_rest(12);
    answers(&mut pressed, 8, 0.19);
    let before = admit(&pressed);
    pressed.members(UpdateKind::Snapshot, (0..8).map(entry).collect());
    assert!(
        before < 1.0 && admit(&pressed) < 0.9 * before,
        "{before} {}",
        admit(&pressed)
    );
}

#[test]
fn a_node_that_sees_little_saves_few_repeats_for_the_moment_when_servers_are_full() {
    let mut node = at_rest(12);
    let mut repeats = 0;
    for _ in 0..12 {
        let (id, server) = node.request(0, None, 0.6);
        let Some(server) = server else { continue };
        node.end(id, 0, server, Outcome::Rejected, 0.001);
        if let Some(next) = node.sent() {
            repeats += 1;
            node.end(id, 1, next, Outcome::Served, 0.001);
        }
    }
    // A second's worth is under three; two and a half more are earned on the way.
    assert!((1..=6).contains(&repeats), "{repeats}");
}

#[test]
fn a_cold_server_of_a_slow_kind_is_sent_less_than_one_of_a_fast_kind() {
    let kind = |server: ServerId, ready_at| Endpoint {
        machine_type: (server % 2) as MachineTypeId,
        started_at: ready_at,
        ..entry(server)
    };
    let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), 0);
    node.members(UpdateKind::Snapshot, (0..8).map(|n| kind(n, 0.0)).collect());
    for _ in 0..400 {
        let (id, server) = node.request(0, None, 0.6);
        let server = server.expect("a sound fleet takes every request");
        node.now += if server % 2 == 0 { 0.02 } else { 0.06 };
        node.end(id, 0, server, Outcome::Served, 0.0);
        node.sweep();
    }
    let now = node.now;
    node.members(UpdateKind::Delta, vec![kind(20, now), kind(21, now)]);
    for _ in 0..200 {
        node.now += 0.01;
        node.sweep();
    }
    let learned = node.balancer.learned(node.now);
    let budget = |n: ServerId| {
        learned
            .servers
            .iter()
            .find(|s| s.hash == entry(n).hash)
            .map_or(0.0, |s| s.slow_start_credit)
    };
    assert!(
        budget(21) > 0.0 && budget(20) > 2.0 * budget(21),
        "{} {}",
        budget(20),
        budget(21)
    );
}
