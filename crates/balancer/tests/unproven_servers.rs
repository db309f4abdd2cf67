//! Unproven servers: they have not responded yet, or not since they failed. The node rarely sends to each server.

mod common;

use common::{class, endpoint_of, settings, Node};
use reelfall_balancer::interface::{
    Action, Class, ClassId, Event, Idempotency, LearnedState, Outcome, RequestId, ServerId, Time,
};
use std::collections::BTreeMap;

const IDEMPOTENT_CLASS: ClassId = 0;
const AT_MOST_ONCE_CLASS: ClassId = 1;

const DEADLINE: Time = 0.6;
const RESPONSE_TIME: Time = 0.02;

/// One class for each of the class constants.
fn classes() -> Vec<Class> {
    vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
    ]
}

fn attempt_timeout(node: &Node) -> Option<Time> {
    node.actions.iter().find_map(|action| match action {
        Action::Attempt { timeout, .. } => *timeout,
        _ => None,
    })
}

/// Runs requests until every server has responded.
fn get_response_of_each(node: &mut Node, servers: u32) {
    let mut without_response: Vec<ServerId> = (0..servers).collect();
    while !without_response.is_empty() {
        let (request, server) = node.request(IDEMPOTENT_CLASS, None, DEADLINE);
        let server = server.expect("a server");
        node.now += RESPONSE_TIME;
        node.end_attempt(request, 0, server, Outcome::Served, RESPONSE_TIME);
        without_response.retain(|other| *other != server);
    }
}

/// Ends an attempt with a response, or with a cancellation after the client has disconnected.
fn respond_or_disconnect(
    node: &mut Node,
    request: RequestId,
    server: ServerId,
    does_respond: bool,
) {
    if does_respond {
        return node.end_attempt(request, 0, server, Outcome::Served, RESPONSE_TIME);
    }
    node.handle(Event::ClientGone { request });
    node.end_attempt(request, 0, server, Outcome::Cancelled, RESPONSE_TIME);
}

#[test]
fn attempt_timeout_is_short_before_the_first_response_of_a_server_and_long_after_it() {
    let mut node = Node::new(settings(classes()), 4);
    let (request, server) = node.request(IDEMPOTENT_CLASS, None, DEADLINE);
    let without_response = attempt_timeout(&node).expect("a timeout");
    assert!(without_response < 0.3, "{without_response}");
    node.end_attempt(
        request,
        0,
        server.expect("a server"),
        Outcome::Served,
        RESPONSE_TIME,
    );
    get_response_of_each(&mut node, 4);
    node.request(IDEMPOTENT_CLASS, None, DEADLINE);
    // Under load, a timed-out attempt keeps running at a healthy server and adds to the load. If the server has just
    // stalled, there must be time for a retry.
    let with_response = attempt_timeout(&node).expect("a timeout");
    assert!(
        with_response > 0.4 && with_response < 0.6 - 0.02,
        "{with_response}"
    );
}

#[test]
fn at_most_once_requests_prefer_servers_that_have_responded() {
    /// The servers below this one respond, the others never do.
    const FIRST_SILENT_SERVER: ServerId = 5;
    let mut node = Node::new(settings(classes()), 10);
    let mut responding = BTreeMap::new();
    for _ in 0..400 {
        let (request, server) = node.request(IDEMPOTENT_CLASS, None, DEADLINE);
        let server = server.expect("a server");
        node.now += 0.05;
        let does_respond = server < FIRST_SILENT_SERVER;
        respond_or_disconnect(&mut node, request, server, does_respond);
        responding.insert(server, does_respond);
    }
    assert!(
        responding.values().any(|does_respond| *does_respond)
            && responding.values().any(|does_respond| !*does_respond),
        "{responding:?}"
    );
    let mut silent_fraction = [0.0; 2];
    for index in 0..1000 {
        let class = index % 2;
        let (request, server) = node.request(class, None, DEADLINE);
        let server = server.expect("a server");
        node.now += 0.05;
        let does_respond = server < FIRST_SILENT_SERVER;
        silent_fraction[usize::from(class)] += f64::from(u8::from(!does_respond)) / 500.0;
        respond_or_disconnect(&mut node, request, server, does_respond);
    }
    let [idempotent, at_most_once] = silent_fraction;
    assert!(at_most_once < 0.5 * idempotent, "{silent_fraction:?}");
}

/// Marks four of twenty servers as ejected: as many as may be ejected for a fault common to all.
fn eject_four(node: &mut Node) {
    let mut learned = node.balancer.learned(node.now);
    for server in &mut learned.servers {
        if (0..4).any(|ejected| server.hash == endpoint_of(ejected).hash) {
            server.ejected_for = 60.0;
        }
    }
    node.balancer.adopt(node.now, &learned);
}

fn is_ejected(learned: &LearnedState, server: ServerId) -> bool {
    learned
        .servers
        .iter()
        .find(|learned| learned.hash == endpoint_of(server).hash)
        .expect("the server is listed")
        .ejected_for
        > 0.0
}

#[test]
fn unreachable_server_is_ejected_beyond_the_ejection_cap() {
    const FAULTY_SERVER: ServerId = 10;
    for (outcome, expects_ejection) in [
        (Outcome::ConnectFailed, true),
        (Outcome::ConnectionLost, false),
    ] {
        let mut node = Node::new(settings(classes()), 20);
        let mut failures = 0;
        while failures < 2 {
            node.now += 0.3;
            eject_four(&mut node);
            let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
            let server = server.expect("a server");
            let is_faulty = server == FAULTY_SERVER;
            failures += u32::from(is_faulty);
            let outcome = if is_faulty { outcome } else { Outcome::Served };
            node.end_attempt(request, 0, server, outcome, 0.0);
            if let Some(next) = node.attempted_server() {
                node.end_attempt(request, 1, next, Outcome::Served, 0.0);
            }
        }
        let learned = node.balancer.learned(node.now);
        assert_eq!(
            is_ejected(&learned, FAULTY_SERVER),
            expects_ejection,
            "{outcome:?}"
        );
    }
}

/// The admitted fraction after half a second without any response.
fn admission_after_silence(have_responded_before: bool) -> f64 {
    const SERVERS: u32 = 200;
    let mut node = Node::new(settings(classes()), SERVERS);
    if have_responded_before {
        get_response_of_each(&mut node, SERVERS);
    }
    for index in 0..60 {
        node.now += 0.01;
        node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        if index % 5 == 0 {
            node.sweep();
        }
    }
    node.balancer.learned(node.now).admitted_fraction
}

#[test]
fn silence_lowers_admission_only_for_servers_that_have_responded_before() {
    assert_eq!(admission_after_silence(false), 1.0);
    assert!(
        admission_after_silence(true) < 1.0,
        "healthy servers that are silent together are overloaded"
    );
}
