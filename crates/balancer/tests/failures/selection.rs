//! The selection of a server by affinity key, queue length and response time.

use crate::common::{settings, Node};
use crate::{classes, AT_MOST_ONCE_CLASS, DEADLINE, IDEMPOTENT_CLASS, REQUESTS_PER_TIMER};
use reelfall_balancer::interface::{Outcome, Settings};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn affinity_keys_stay_at_their_server() {
    const KEYS: u64 = 200;
    let settings = Settings {
        has_key_affinity: true,
        ..settings(classes())
    };
    let mut node = Node::new(settings, 20);
    let mut server_of_key = BTreeMap::new();
    let mut unchanged = 0;
    for index in 0..2000u64 {
        node.now += 0.01;
        let key = (index % KEYS).wrapping_mul(0x1234_5677);
        let (request, server) = node.request(IDEMPOTENT_CLASS, Some(key), DEADLINE);
        let server = server.unwrap();
        unchanged += u32::from(server_of_key.insert(key, server) == Some(server));
        // All servers respond equally fast.
        node.now += 0.02;
        node.end_attempt(request, 0, server, Outcome::Served, 0.02);
    }
    assert!(unchanged > 1400, "{unchanged} of 1800");
    let used: BTreeSet<_> = server_of_key.values().collect();
    assert!(used.len() > 12);
}

#[test]
fn requests_in_flight_spread_before_their_responses() {
    let mut node = Node::new(settings(classes()), 4);
    let mut in_flight = [0; 4];
    for _ in 0..12 {
        let (_, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        in_flight[server.expect("a server") as usize] += 1;
    }
    assert!(
        in_flight.iter().all(|count| (2..=4).contains(count)),
        "{in_flight:?}"
    );
}

#[test]
fn faster_server_gets_the_higher_probability() {
    let mut node = Node::new(settings(classes()), 2);
    for index in 0..4000 {
        node.now += 0.01;
        if index % REQUESTS_PER_TIMER == 0 {
            node.sweep();
        }
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        let Some(server) = server else { continue };
        // Each server responds more slowly the more requests it gets.
        let probability = &node.balancer.automaton().probability;
        let latency = 0.01 + if server == 0 { 0.03 } else { 0.06 } * probability[server as usize];
        // The module computes the latency from its clock and ignores the reported one.
        node.now += latency;
        node.end_attempt(request, 0, server, Outcome::Served, latency);
    }
    let probability = &node.balancer.automaton().probability;
    assert!(probability[0] > 0.55, "{probability:?}");
}
