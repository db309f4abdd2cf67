//! What a node makes of servers that it has not heard, or not since they failed, where it meets each of them rarely.

mod common;

use common::{class, entry, settings, Node};
use reelfall_balancer::interface::*;
use std::collections::BTreeMap;

fn two() -> Vec<Class> {
    vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
    ]
}

fn timeout(node: &Node) -> Option<Time> {
    node.actions.iter().find_map(|a| match a {
        Action::Attempt { timeout, .. } => *timeout,
        _ => None,
    })
}

/// Has every server answer once.
fn heard(node: &mut Node, servers: u32) {
    let mut unheard: Vec<ServerId> = (0..servers).collect();
    while !unheard.is_empty() {
        let (id, server) = node.request(0, None, 0.6);
        let server = server.expect("a server");
        node.now += 0.02;
        node.end(id, 0, server, Outcome::Served, 0.02);
        unheard.retain(|s| *s != server);
    }
}

/// The server answers, or its client leaves before it could.
fn end_or_leave(node: &mut Node, id: RequestId, server: ServerId, answers: bool) {
    if answers {
        return node.end(id, 0, server, Outcome::Served, 0.02);
    }
    node.tell(Event::ClientGone { request: id });
    node.end(id, 0, server, Outcome::Cancelled, 0.02);
}

#[test]
fn an_attempt_is_given_up_early_at_a_server_in_doubt_and_late_at_a_sound_one() {
    let mut node = Node::new(settings(two()), 4);
    let (id, server) = node.request(0, None, 0.6);
    // Nobody has heard this server yet.
    let doubt = timeout(&node).expect("a time-out");
    assert!(doubt < 0.3, "{doubt}");
    node.end(id, 0, server.expect("a server"), Outcome::Served, 0.02);
    heard(&mut node, 4);
    node.request(0, None, 0.6);
    // Under load, an attempt given up at a sound server runs on and makes the load worse; one that has just frozen
    // must leave another its time.
    let sound = timeout(&node).expect("a time-out");
    assert!(sound > 0.4 && sound < 0.6 - 0.02, "{sound}");
}

#[test]
fn what_must_not_run_twice_goes_where_an_answer_came_from() {
    let mut node = Node::new(settings(two()), 10);
    let mut good = BTreeMap::new();
    // Half of the list has answered.
    for _ in 0..400 {
        let (id, server) = node.request(0, None, 0.6);
        let server = server.expect("a server");
        node.now += 0.05;
        let answers = server < 5;
        end_or_leave(&mut node, id, server, answers);
        good.insert(server, answers);
    }
    assert!(
        good.values().any(|g| *g) && good.values().any(|g| !*g),
        "{good:?}"
    );
    let mut to_unheard = [0.0; 2];
    for n in 0..1000 {
        let class = n % 2;
        let (id, server) = node.request(class, None, 0.6);
        let server = server.expect("a server");
        node.now += 0.05;
        to_unheard[usize::from(class)] += f64::from(u8::from(server >= 5)) / 500.0;
        end_or_leave(&mut node, id, server, server < 5);
    }
    assert!(to_unheard[1] < 0.5 * to_unheard[0], "{to_unheard:?}");
}

#[test]
fn a_server_that_cannot_be_reached_is_left_out_though_a_fifth_of_the_list_is() {
    for (outcome, out) in [
        (Outcome::ConnectFailed, true),
        (Outcome::ConnectionLost, false),
    ] {
        let mut node = Node::new(settings(two()), 20);
        let hash = |n: u32| entry(n).hash;
        let mut failed = 0;
        while failed < 2 {
            node.now += 0.3;
            // Four of twenty are out at any time: as many as a trouble common to all may put out.
            let mut learned = node.balancer.learned(node.now);
            let four = |s: &&mut LearnedServer| (0..4).any(|n| s.hash == hash(n));
            learned
                .servers
                .iter_mut()
                .filter(four)
                .for_each(|s| s.ejected_for = 60.0);
            node.balancer.adopt(node.now, &learned);
            let (id, server) = node.request(1, None, 0.6);
            let server = server.expect("a server");
            failed += u32::from(server == 10);
            node.end(
                id,
                0,
                server,
                if server == 10 {
                    outcome
                } else {
                    Outcome::Served
                },
                0.0,
            );
            if let Some(next) = node.sent() {
                node.end(id, 1, next, Outcome::Served, 0.0);
            }
        }
        let after = node.balancer.learned(node.now);
        let it = after
            .servers
            .iter()
            .find(|s| s.hash == hash(10))
            .expect("it is listed");
        assert_eq!(it.ejected_for > 0.0, out, "{outcome:?}");
    }
}

/// Admission after half a second in which every server that is asked says nothing.
fn admission_after_silence(heard_before: bool) -> f64 {
    let mut node = Node::new(settings(two()), 200);
    if heard_before {
        heard(&mut node, 200);
    }
    for n in 0..60 {
        node.now += 0.01;
        node.request(1, None, 0.6);
        if n % 5 == 0 {
            node.sweep();
        }
    }
    node.balancer.learned(node.now).admitted_fraction
}

#[test]
fn the_silence_of_servers_that_never_answered_is_no_load_and_that_of_sound_ones_is() {
    assert_eq!(admission_after_silence(false), 1.0);
    assert!(
        admission_after_silence(true) < 1.0,
        "sound servers that fall silent together are overloaded"
    );
}
