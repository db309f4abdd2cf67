//! A server that is off the list for a moment comes back as it was, and wins nothing by it.

mod common;

use common::*;
use reelfall_balancer::interface::*;

fn up(hash: u64, ready_at: Time) -> Endpoint {
    Endpoint {
        hash,
        started_at: ready_at,
        ..entry(0)
    }
}

#[test]
fn what_was_learned_survives_an_absence() {
    let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), 0);
    node.members(UpdateKind::Snapshot, vec![entry(0), entry(1), entry(2)]);
    // Server 0 is slow.
    for n in 0..300 {
        node.now += 0.01;
        if n % 6 == 0 {
            node.sweep();
        }
        let (id, Some(server)) = node.request(0, None, 0.6) else {
            continue;
        };
        let latency = if server == 0 { 0.08 } else { 0.01 };
        node.now += latency;
        node.end(id, 0, server, Outcome::Served, latency);
    }
    let known = |node: &Node| {
        let automaton = node.balancer.automaton();
        automaton.mean_response.iter().copied().fold(0.0, f64::max)
    };
    let learned = known(&node);
    assert!(learned > 0.04, "{learned}");
    for _ in 0..20 {
        node.members(
            UpdateKind::Delta,
            vec![Endpoint {
                state: ServerState::Removed,
                ..entry(0)
            }],
        );
        assert!(known(&node) < 0.02, "its average is still there");
        node.now += 0.05;
        node.members(UpdateKind::Delta, vec![entry(0)]);
        assert!((known(&node) - learned).abs() < 1e-9, "its average is lost");
    }
    // One that has started anew is another server.
    node.members(
        UpdateKind::Delta,
        vec![Endpoint {
            state: ServerState::Removed,
            ..entry(0)
        }],
    );
    node.members(
        UpdateKind::Delta,
        vec![Endpoint {
            started_at: node.now - 1.0,
            ..entry(0)
        }],
    );
    assert!(known(&node) < 0.04, "a new server has an old one's average");
}

#[test]
fn a_cold_servers_budget_is_not_gained_by_coming_and_going() {
    let sent_with = |flaps: bool| {
        let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), 0);
        node.now = 100.0;
        node.members(UpdateKind::Snapshot, vec![up(7, 100.0)]);
        let mut sent = 0;
        for step in 0..200 {
            node.now += 0.005;
            if step % 12 == 0 {
                node.sweep();
            }
            if flaps {
                node.members(
                    UpdateKind::Delta,
                    vec![Endpoint {
                        state: ServerState::Removed,
                        ..up(7, 100.0)
                    }],
                );
                node.members(UpdateKind::Delta, vec![up(7, 100.0)]);
            }
            if let (id, Some(_)) = node.request(0, None, 0.6) {
                sent += 1;
                node.now += 0.02;
                node.end(id, 0, 0, Outcome::Served, 0.02);
            }
        }
        sent
    };
    let (steady, flapping) = (sent_with(false), sent_with(true));
    assert!(
        steady > 0 && flapping <= steady + 1,
        "{steady} requests to one that stays, {flapping} to one that flaps"
    );
}
