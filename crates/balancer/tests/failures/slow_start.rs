//! The work that servers get during their slow start.

use crate::common::{class, endpoint_of, settings, Node};
use crate::{classes, DEADLINE, IDEMPOTENT_CLASS};
use reelfall_balancer::interface::{
    Endpoint, Idempotency, Outcome, RequestId, ServerId, Settings, Time, UpdateKind,
};

/// When the server of a test starts.
const STARTED_AT: Time = 100.0;
/// The work of a request, in seconds on a standard core.
const WORK_PER_REQUEST: f64 = 0.02;
/// The interval between two steps of the clock, each with a request of each balancer.
const STEP: Time = 0.01;
const RESPONSE_TIME: Time = 0.03;

#[test]
fn server_in_slow_start_gets_less_work_than_it_tolerates() {
    const STARTING_SERVER: ServerId = 9;
    const NODES: u32 = 50;
    const SERVERS: u32 = 4;
    let settings = Settings {
        node_count: NODES,
        ..settings(classes())
    };
    let mut node = Node::new(settings, SERVERS);
    node.now = STARTED_AT;
    let starting = Endpoint {
        started_at: STARTED_AT,
        ..endpoint_of(STARTING_SERVER)
    };
    node.update_endpoints(UpdateKind::Delta, vec![starting]);
    let mut work = 0.0;
    for _ in 0..10 {
        node.now += 0.1;
        node.sweep();
        let (request, server) = node.request(IDEMPOTENT_CLASS, None, DEADLINE);
        let Some(server) = server else { continue };
        work += if server == STARTING_SERVER {
            WORK_PER_REQUEST
        } else {
            0.0
        };
        node.end_attempt(request, 0, server, Outcome::Served, 0.02);
    }
    // This node's part of the sustained work rate of the other servers times the initial capacity and the overload
    // factor, and one request, as servers are selected at random.
    let sustained = 0.2 * f64::from(NODES) / f64::from(SERVERS);
    let tolerated = sustained * 0.37 * 3.0 / f64::from(NODES) + WORK_PER_REQUEST;
    assert!(work <= tolerated, "{work}");
}

/// A request in flight to the starting server.
struct InFlight {
    response_at: Time,
    node: usize,
    request: RequestId,
}

/// Balancers of one node whose only server is in its slow start.
fn nodes_with_starting_server(balancers: usize, listed_balancers: u32) -> Vec<Node> {
    let starting = Endpoint {
        started_at: STARTED_AT,
        local_balancers: listed_balancers,
        ..endpoint_of(0)
    };
    (0..balancers)
        .map(|_| {
            let mut node = Node::new(settings(vec![class(Idempotency::Idempotent)]), 0);
            node.now = STARTED_AT;
            node.update_endpoints(UpdateKind::Snapshot, vec![starting.clone()]);
            node
        })
        .collect()
}

/// Submits a request to each balancer at each step for four seconds; returns when requests were sent to the server.
fn send_times(nodes: &mut [Node]) -> Vec<Time> {
    let mut sent_at = vec![];
    let mut in_flight: Vec<InFlight> = vec![];
    for step in 0..400 {
        let now = STARTED_AT + f64::from(step) * STEP;
        for (index, node) in nodes.iter_mut().enumerate() {
            node.now = now;
            if step % 6 == 0 {
                node.sweep();
            }
            if let (request, Some(_)) = node.request(IDEMPOTENT_CLASS, None, DEADLINE) {
                sent_at.push(now);
                in_flight.push(InFlight {
                    response_at: now + RESPONSE_TIME,
                    node: index,
                    request,
                });
            }
        }
        in_flight.retain(|attempt| {
            let is_due = attempt.response_at <= now;
            if is_due {
                nodes[attempt.node].end_attempt(
                    attempt.request,
                    0,
                    0,
                    Outcome::Served,
                    RESPONSE_TIME,
                );
            }
            !is_due
        });
    }
    sent_at
}

/// The greatest work that balancers of one node send to a server in its slow start within the overload window, as a
/// multiple of the server's capacity at that time.
fn peak_overload(balancers: usize, listed_balancers: u32) -> f64 {
    let mut nodes = nodes_with_starting_server(balancers, listed_balancers);
    let sent_at = send_times(&mut nodes);
    let rules = settings(vec![class(Idempotency::Idempotent)]).rules;
    let capacity = |at: Time| {
        rules.initial_capacity
            + (1.0 - rules.initial_capacity) * (at - STARTED_AT) / rules.slow_start_duration
    };
    let sent_in_window = |start: Time| {
        sent_at
            .iter()
            .filter(|at| **at >= start && **at < start + rules.overload_window)
            .count() as f64
    };
    (0..300)
        .map(|step| STARTED_AT + f64::from(step) * STEP)
        .map(|start| sent_in_window(start) * WORK_PER_REQUEST / capacity(start))
        .fold(0.0, f64::max)
}

#[test]
fn balancers_of_one_node_together_stay_below_the_overload_factor() {
    let overload_factor = settings(vec![class(Idempotency::Idempotent)])
        .rules
        .overload_factor;
    let single = peak_overload(1, 1);
    let shared = peak_overload(8, 8);
    assert!(single > 0.1, "nothing is sent at all");
    assert!(
        shared < overload_factor,
        "eight balancers send a server in slow start {shared:.2} times its capacity"
    );
    assert!(
        peak_overload(8, 1) > overload_factor,
        "the test passes even if the balancers ignore each other"
    );
}
