//! Admission, retries and slow start when there is more work than the servers can handle.

mod common;

use common::{class, endpoint_of, settings, Node};
use reelfall_balancer::interface::{
    ClassId, Endpoint, Idempotency, MachineTypeId, Outcome, ServerId, Time, UpdateKind,
};

const CLASS: ClassId = 0;
const DEADLINE: Time = 0.6;
const QUICK_RESPONSE: Time = 0.03;
/// Just within the latency objective of the settings, and counted as late by admission control.
const LATE_RESPONSE: Time = 0.19;
/// Time between a response and the next request.
const REQUEST_DELAY: Time = 0.045;

/// A node that has served about 13 requests per second for some seconds, all of them quickly.
fn node_with_low_load(servers: u32) -> Node {
    let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), servers);
    run_requests(&mut node, 60, QUICK_RESPONSE);
    node
}

/// Runs requests one after another.
fn run_requests(node: &mut Node, requests: u32, response_time: Time) {
    for _ in 0..requests {
        let (request, server) = node.request(CLASS, None, DEADLINE);
        node.now += response_time;
        if let Some(server) = server {
            node.end_attempt(request, 0, server, Outcome::Served, response_time);
        }
        node.now += REQUEST_DELAY;
        node.sweep();
    }
}

fn admitted_fraction(node: &Node) -> f64 {
    node.balancer.learned(node.now).admitted_fraction
}

#[test]
fn late_responses_lower_admission_at_low_request_rates() {
    let mut node = node_with_low_load(12);
    assert_eq!(admitted_fraction(&node), 1.0);
    run_requests(&mut node, 6, LATE_RESPONSE);
    assert!(
        admitted_fraction(&node) < 0.9,
        "{}",
        admitted_fraction(&node)
    );
    // Admission recovers with quick responses.
    run_requests(&mut node, 60, QUICK_RESPONSE);
    assert_eq!(admitted_fraction(&node), 1.0);
}

#[test]
fn single_late_responses_do_not_lower_admission() {
    let mut node = node_with_low_load(12);
    for _ in 0..20 {
        run_requests(&mut node, 1, LATE_RESPONSE);
        assert_eq!(admitted_fraction(&node), 1.0);
        run_requests(&mut node, 19, QUICK_RESPONSE);
    }
}

#[test]
fn lost_capacity_lowers_admission_only_under_overload() {
    let mut idle = node_with_low_load(12);
    idle.update_endpoints(UpdateKind::Snapshot, (0..4).map(endpoint_of).collect());
    assert_eq!(admitted_fraction(&idle), 1.0);
    let mut overloaded = node_with_low_load(12);
    run_requests(&mut overloaded, 8, LATE_RESPONSE);
    let before = admitted_fraction(&overloaded);
    overloaded.update_endpoints(UpdateKind::Snapshot, (0..8).map(endpoint_of).collect());
    assert!(
        before < 1.0 && admitted_fraction(&overloaded) < 0.9 * before,
        "{before} {}",
        admitted_fraction(&overloaded)
    );
}

#[test]
fn retry_budget_of_a_node_with_low_load_is_small() {
    let mut node = node_with_low_load(12);
    let mut retries = 0;
    for _ in 0..12 {
        let (request, server) = node.request(CLASS, None, DEADLINE);
        let Some(server) = server else { continue };
        node.end_attempt(request, 0, server, Outcome::Rejected, 0.001);
        if let Some(next) = node.attempted_server() {
            retries += 1;
            node.end_attempt(request, 1, next, Outcome::Served, 0.001);
        }
    }
    // The budget of one second is below three; the twelve requests add two and a half.
    assert!((1..=6).contains(&retries), "{retries}");
}

const FAST_MACHINE_TYPE: MachineTypeId = 0;
const MACHINE_TYPES: u32 = 2;

/// Servers with even identifiers have the fast machine type, those with odd ones the slow one.
fn machine_type(server: ServerId) -> MachineTypeId {
    (server % MACHINE_TYPES) as MachineTypeId
}

fn endpoint_started_at(server: ServerId, started_at: Time) -> Endpoint {
    Endpoint {
        machine_type: machine_type(server),
        started_at,
        ..endpoint_of(server)
    }
}

#[test]
fn slow_start_credit_is_lower_for_a_slow_machine_type() {
    const NEW_FAST_SERVER: ServerId = 20;
    const NEW_SLOW_SERVER: ServerId = 21;
    let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), 0);
    let long_running = (0..8)
        .map(|server| endpoint_started_at(server, 0.0))
        .collect();
    node.update_endpoints(UpdateKind::Snapshot, long_running);
    for _ in 0..400 {
        let (request, server) = node.request(CLASS, None, DEADLINE);
        let server = server.expect("healthy servers get every request");
        let is_fast = machine_type(server) == FAST_MACHINE_TYPE;
        node.now += if is_fast { 0.02 } else { 0.06 };
        node.end_attempt(request, 0, server, Outcome::Served, 0.0);
        node.sweep();
    }
    let started = [NEW_FAST_SERVER, NEW_SLOW_SERVER]
        .map(|server| endpoint_started_at(server, node.now))
        .to_vec();
    node.update_endpoints(UpdateKind::Delta, started);
    for _ in 0..200 {
        node.now += 0.01;
        node.sweep();
    }
    let learned = node.balancer.learned(node.now);
    let credit = |id: ServerId| {
        learned
            .servers
            .iter()
            .find(|server| server.hash == endpoint_of(id).hash)
            .map_or(0.0, |server| server.slow_start_credit)
    };
    let (fast, slow) = (credit(NEW_FAST_SERVER), credit(NEW_SLOW_SERVER));
    assert!(slow > 0.0 && fast > 2.0 * slow, "{fast} {slow}");
}
