//! Servers that fail, do not respond or lose connections get fewer requests or none.

use crate::common::{settings, Node};
use crate::{classes, AT_MOST_ONCE_CLASS, DEADLINE, IDEMPOTENT_CLASS};
use reelfall_balancer::interface::{ClassId, Event, Outcome, ServerId, Time};
use std::collections::BTreeSet;

const FAULTY_SERVER: ServerId = 0;

#[test]
fn server_with_fast_errors_gains_no_requests() {
    let mut node = Node::new(settings(classes()), 4);
    let mut to_faulty = 0;
    for index in 0..400 {
        node.now += 0.02;
        if index % 4 == 0 {
            node.sweep();
        }
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        let Some(server) = server else { continue };
        to_faulty += u32::from(server == FAULTY_SERVER);
        let (outcome, latency) = if server == FAULTY_SERVER {
            (Outcome::Error, 0.001)
        } else {
            (Outcome::Served, 0.02)
        };
        node.end_attempt(request, 0, server, outcome, latency);
    }
    assert!(
        to_faulty < 12,
        "{to_faulty} of 400 went to the failing server"
    );
}

#[test]
fn silent_server_gets_no_requests_before_its_attempts_end() {
    let mut node = Node::new(settings(classes()), 4);
    let (_, silent) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
    node.now = 0.25;
    node.sweep();
    for _ in 0..40 {
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        assert_ne!(server, silent);
        node.end_attempt(request, 0, server.unwrap(), Outcome::Served, 0.02);
    }
}

#[test]
fn fault_common_to_all_servers_ejects_only_the_capped_fraction() {
    let mut node = Node::new(settings(classes()), 10);
    let mut used = BTreeSet::new();
    for index in 0..600 {
        node.now += 0.005;
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        if let Some(server) = server {
            if index > 100 {
                used.insert(server);
            }
            node.end_attempt(request, 0, server, Outcome::Error, 0.001);
        }
    }
    assert!(used.len() >= 6, "only {} servers were used", used.len());
}

/// Number of requests that the faulty server gets until `end`, after its first `lost_connections` attempts have lost
/// their connections.
fn requests_after_lost_connections(lost_connections: u32, end: Time) -> u32 {
    let mut node = Node::new(settings(classes()), 4);
    let mut remaining_losses = lost_connections;
    let mut requests = 0;
    for _ in 0..2000 {
        node.now += 0.005;
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        let server = server.expect("a server");
        requests += u32::from(server == FAULTY_SERVER && remaining_losses == 0);
        let outcome = if server == FAULTY_SERVER && remaining_losses > 0 {
            Outcome::ConnectionLost
        } else {
            Outcome::Served
        };
        remaining_losses -= u32::from(outcome == Outcome::ConnectionLost);
        node.now += 0.005;
        node.end_attempt(request, 0, server, outcome, 0.0);
        if remaining_losses == 0 && node.now > end {
            break;
        }
    }
    requests
}

#[test]
fn two_consecutive_lost_connections_eject_a_server_and_one_does_not() {
    // A server that is not ejected gets few requests at first, but at least one within ten seconds.
    for (lost_connections, is_ejected, end) in [(1, false, 10.0), (2, true, 3.0)] {
        let requests = requests_after_lost_connections(lost_connections, end);
        assert_eq!(
            requests == 0,
            is_ejected,
            "{lost_connections} connections lost, then {requests} requests"
        );
    }
}

#[test]
fn short_client_timeouts_eject_no_server_and_do_not_lower_admission() {
    const SHORT_DEADLINE: Time = 0.02;
    const RESPONSE_TIME: Time = 0.05;
    let mut node = Node::new(settings(classes()), 4);
    let mut used = BTreeSet::new();
    for index in 0..400 {
        let has_short_deadline = index % 2 == 0;
        let remaining = if has_short_deadline {
            SHORT_DEADLINE
        } else {
            DEADLINE
        };
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, remaining);
        let server = server.expect("healthy servers get every request");
        if index >= 350 {
            used.insert(server);
        }
        let (outcome, latency) = if has_short_deadline {
            (Outcome::TimedOut, SHORT_DEADLINE)
        } else {
            (Outcome::Served, RESPONSE_TIME)
        };
        node.now += latency;
        node.end_attempt(request, 0, server, outcome, latency);
        if has_short_deadline {
            node.sweep();
        }
    }
    assert_eq!(used.len(), 4, "{used:?}");
}

#[test]
fn one_silent_connection_does_not_eject_a_responding_server() {
    let mut node = Node::new(settings(classes()), 1);
    node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
    let mut served = 0;
    for _ in 0..50 {
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        node.now += 0.01;
        node.end_attempt(request, 0, server.expect("a server"), Outcome::Served, 0.01);
        node.sweep();
        served += 1;
    }
    // The mean includes the responses only, and not the attempt that is still in flight.
    let mean_response = node.balancer.automaton().mean_response[0];
    assert!(served == 50 && mean_response < 0.02, "{mean_response}");
}

/// Time between two requests, at a low rate.
const REQUEST_INTERVAL: Time = 0.1;

/// Runs a request to its end. An attempt at the faulty server times out unless `faulty_responds`. Returns whether there
/// was one.
fn serve_request(node: &mut Node, faulty_responds: bool) -> bool {
    serve_request_of(node, IDEMPOTENT_CLASS, faulty_responds)
}

fn serve_request_of(node: &mut Node, class: ClassId, faulty_responds: bool) -> bool {
    node.now += REQUEST_INTERVAL;
    node.sweep();
    let (request, mut selected) = node.request(class, None, DEADLINE);
    let mut reached_faulty = false;
    for attempt in 0.. {
        let Some(server) = selected else { break };
        let is_faulty = server == FAULTY_SERVER;
        reached_faulty |= is_faulty;
        let (outcome, latency) = if is_faulty && !faulty_responds {
            (Outcome::TimedOut, 0.25)
        } else {
            (Outcome::Served, 0.01)
        };
        node.now += latency;
        node.end_attempt(request, attempt, server, outcome, latency);
        selected = node.attempted_server();
    }
    reached_faulty
}

/// Number of servers of a node with a low rate of requests.
const SERVERS: u32 = 8;

/// A node that has ejected the faulty server because of timeouts.
fn node_that_ejected_the_faulty_server() -> Node {
    const TIMEOUTS: usize = 3;
    let mut node = Node::new(settings(classes()), SERVERS);
    for _ in 0..100 {
        serve_request(&mut node, true);
    }
    let mut timeouts = 0;
    while timeouts < TIMEOUTS {
        timeouts += usize::from(serve_request(&mut node, false));
    }
    node
}

/// Guards against a prober that sends no trials because it has itself ejected the server.
#[test]
fn prober_sends_trials_to_a_server_that_it_has_ejected_itself() {
    // A server that still does not respond gets one trial per interval, or by chance two.
    for (responds, trials) in [(true, 2..=10), (false, 1..=2)] {
        let mut node = node_that_ejected_the_faulty_server();
        node.handle(Event::PeerVerdict {
            server: FAULTY_SERVER,
            until: node.now + 10.0,
            is_prober: true,
        });
        // About a second, for which a node is the prober.
        let interval = 0..10;
        let sent = interval.filter(|_| serve_request(&mut node, responds));
        let sent = sent.count();
        assert!(
            trials.contains(&sent),
            "{sent} trials, responds: {responds}"
        );
    }
}

/// Guards against trials with requests that must not run twice.
#[test]
fn prober_sends_no_at_most_once_requests_as_trials() {
    let mut node = node_that_ejected_the_faulty_server();
    node.handle(Event::PeerVerdict {
        server: FAULTY_SERVER,
        until: node.now + 10.0,
        is_prober: true,
    });
    for _ in 0..50 {
        assert!(!serve_request_of(&mut node, AT_MOST_ONCE_CLASS, false));
    }
}

/// Guards against attempts from before a readmission that count as failures after it.
#[test]
fn attempts_from_before_a_readmission_do_not_count_after_it() {
    let mut node = Node::new(settings(classes()), SERVERS);
    for _ in 0..100 {
        serve_request(&mut node, true);
    }
    let (held, held_server) = loop {
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        let server = server.expect("a server");
        if server == FAULTY_SERVER {
            break (request, server);
        }
        node.end_attempt(request, 0, server, Outcome::Served, 0.01);
    };
    for _ in 0..3 {
        serve_request(&mut node, true);
    }
    node.handle(Event::PeerReadmission {
        server: FAULTY_SERVER,
    });
    assert!(
        serve_request(&mut node, true),
        "no trial while an earlier attempt is in flight"
    );
    node.end_attempt(held, 0, held_server, Outcome::TimedOut, DEADLINE);
    let sent = (0..50).filter(|_| serve_request(&mut node, true)).count();
    assert!(
        sent > 0,
        "ejected because of an attempt from before the readmission"
    );
}

/// Guards against a single node that keeps avoiding a server after the cluster has readmitted it.
#[test]
fn readmitted_server_gets_an_attempt_in_three_seconds_and_half_of_its_share_in_ten() {
    let mut node = node_that_ejected_the_faulty_server();
    node.handle(Event::PeerVerdict {
        server: FAULTY_SERVER,
        until: node.now + 10.0,
        is_prober: false,
    });
    for _ in 0..20 {
        assert!(!serve_request(&mut node, true));
    }
    node.handle(Event::PeerVerdict {
        server: FAULTY_SERVER,
        until: node.now,
        is_prober: false,
    });
    node.handle(Event::PeerReadmission {
        server: FAULTY_SERVER,
    });
    let readmitted_at = node.now;
    while !serve_request(&mut node, true) {
        let waited = node.now - readmitted_at;
        assert!(waited < 3.0, "no attempt within {waited} s");
    }
    while node.now < readmitted_at + 10.0 {
        serve_request(&mut node, true);
    }
    let requests = 400;
    let to_readmitted = (0..requests).filter(|_| serve_request(&mut node, true));
    let (count, fair_share) = (to_readmitted.count(), requests / SERVERS as usize);
    assert!(
        count * 2 >= fair_share && count <= fair_share * 2,
        "{count} of {requests} requests, where {fair_share} are an equal share"
    );
}
