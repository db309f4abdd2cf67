//! A server that is missing from the list for a moment keeps its learned state and gains no slow start credit.

mod common;

use common::*;
use reelfall_balancer::interface::*;

fn started_endpoint(hash: u64, start_time: Time) -> Endpoint {
    Endpoint {
        hash,
        started_at: start_time,
        ..endpoint_of(0)
    }
}

#[test]
fn mean_response_survives_a_short_absence_but_not_a_restart() {
    let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), 0);
    node.update_endpoints(
        UpdateKind::Snapshot,
        vec![endpoint_of(0), endpoint_of(1), endpoint_of(2)],
    );
    // Server 0 is slow.
    for index in 0..300 {
        node.now += 0.01;
        if index % 6 == 0 {
            node.sweep();
        }
        let (request, Some(server)) = node.request(0, None, 0.6) else {
            continue;
        };
        let latency = if server == 0 { 0.08 } else { 0.01 };
        node.now += latency;
        node.end_attempt(request, 0, server, Outcome::Served, latency);
    }
    let max_mean_response = |node: &Node| {
        let automaton = node.balancer.automaton();
        automaton.mean_response.iter().copied().fold(0.0, f64::max)
    };
    let learned = max_mean_response(&node);
    assert!(learned > 0.04, "{learned}");
    for _ in 0..20 {
        node.update_endpoints(
            UpdateKind::Delta,
            vec![Endpoint {
                state: ServerState::Removed,
                ..endpoint_of(0)
            }],
        );
        assert!(
            max_mean_response(&node) < 0.02,
            "the average of a removed server remains"
        );
        node.now += 0.05;
        node.update_endpoints(UpdateKind::Delta, vec![endpoint_of(0)]);
        assert!(
            (max_mean_response(&node) - learned).abs() < 1e-9,
            "the average of a returning server is lost"
        );
    }
    // What was learned does not apply after a restart.
    node.update_endpoints(
        UpdateKind::Delta,
        vec![Endpoint {
            state: ServerState::Removed,
            ..endpoint_of(0)
        }],
    );
    node.update_endpoints(
        UpdateKind::Delta,
        vec![Endpoint {
            started_at: node.now - 1.0,
            ..endpoint_of(0)
        }],
    );
    assert!(
        max_mean_response(&node) < 0.04,
        "the average survives a restart"
    );
}

#[test]
fn slow_start_credit_does_not_grow_with_flapping() {
    let attempts_with = |is_flapping: bool| {
        let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), 0);
        node.now = 100.0;
        node.update_endpoints(UpdateKind::Snapshot, vec![started_endpoint(7, 100.0)]);
        let mut attempts = 0;
        for step in 0..200 {
            node.now += 0.005;
            if step % 12 == 0 {
                node.sweep();
            }
            if is_flapping {
                node.update_endpoints(
                    UpdateKind::Delta,
                    vec![Endpoint {
                        state: ServerState::Removed,
                        ..started_endpoint(7, 100.0)
                    }],
                );
                node.update_endpoints(UpdateKind::Delta, vec![started_endpoint(7, 100.0)]);
            }
            if let (request, Some(_)) = node.request(0, None, 0.6) {
                attempts += 1;
                node.now += 0.02;
                node.end_attempt(request, 0, 0, Outcome::Served, 0.02);
            }
        }
        attempts
    };
    let (steady, flapping) = (attempts_with(false), attempts_with(true));
    assert!(
        steady > 0 && flapping <= steady + 1,
        "{steady} attempts at a server that stays listed, {flapping} at one that flaps"
    );
}
