//! Endpoint lists that are empty, change or cannot be fetched.

use crate::common::{endpoint_of, settings, Node};
use crate::{classes, AT_MOST_ONCE_CLASS, DEADLINE, IDEMPOTENT_CLASS};
use reelfall_balancer::interface::{
    Action, Discovery, Endpoint, Event, Outcome, ServerState, Settings, UpdateKind,
};

/// The timer after which a failed watch is retried.
const WATCH_TIMER_TAG: u64 = 1;

#[test]
fn request_without_known_servers_is_rejected() {
    let mut node = Node::new(settings(classes()), 0);
    assert_eq!(node.request(IDEMPOTENT_CLASS, None, DEADLINE).1, None);
    assert!(node.has_rejected());
}

#[test]
fn draining_and_unlisted_servers_get_no_new_requests() {
    let mut node = Node::new(settings(classes()), 3);
    let draining = Endpoint {
        state: ServerState::Draining,
        ..endpoint_of(0)
    };
    node.update_endpoints(UpdateKind::Delta, vec![draining]);
    node.update_endpoints(UpdateKind::Snapshot, vec![endpoint_of(2)]);
    for _ in 0..50 {
        assert_eq!(node.request(IDEMPOTENT_CLASS, None, DEADLINE).1, Some(2));
    }
}

#[test]
fn failed_watch_is_retried_until_an_update() {
    let settings = Settings {
        discovery: Discovery::Poll,
        ..settings(classes())
    };
    let mut node = Node::new(settings, 2);
    let timer = Event::Timer {
        tag: WATCH_TIMER_TAG,
    };
    assert_eq!(node.handle(timer.clone()), &[Action::Watch]);
    node.update_endpoints(UpdateKind::Failed, vec![]);
    assert!(matches!(
        node.actions[..],
        [Action::StartTimer {
            tag: WATCH_TIMER_TAG,
            ..
        }]
    ));
    assert_eq!(node.handle(timer.clone()), &[Action::Watch]);
    node.update_endpoints(UpdateKind::Delta, vec![]);
    assert!(node.handle(timer).is_empty());
}

#[test]
fn attempt_from_before_a_relisting_does_not_change_the_mean_response() {
    let mut node = Node::new(settings(classes()), 1);
    let (old_request, _) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
    for state in [ServerState::Draining, ServerState::Up] {
        let relisted = Endpoint {
            state,
            ..endpoint_of(0)
        };
        node.update_endpoints(UpdateKind::Delta, vec![relisted, endpoint_of(1)]);
    }
    let mean_before = node.balancer.automaton().mean_response.clone();
    node.end_attempt(old_request, 0, 0, Outcome::Served, 0.0);
    assert_eq!(node.balancer.automaton().mean_response, mean_before);
}
