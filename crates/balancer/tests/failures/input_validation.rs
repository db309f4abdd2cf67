//! Unusable settings, events and requests.

use crate::common::{settings, Node};
use crate::{classes, DEADLINE, IDEMPOTENT_CLASS};
use reelfall_balancer::interface::{ClassId, Event, Outcome};
use reelfall_balancer::Balancer;

const UNKNOWN_CLASS: ClassId = 9;

#[test]
fn invalid_input_is_ignored_or_rejected() {
    assert!(Balancer::new(settings(vec![]), 1, 0.0).is_err());
    let mut node = Node::new(settings(classes()), 2);
    node.end_attempt(99, 0, 0, Outcome::Served, f64::NAN);
    node.handle(Event::ClientGone { request: 77 });
    node.handle(Event::Timer { tag: 99 });
    assert!(node.actions.is_empty());
    assert_eq!(node.request(IDEMPOTENT_CLASS, None, f64::NAN).1, None);
    assert!(node.has_rejected());
    assert_eq!(node.request(UNKNOWN_CLASS, None, DEADLINE).1, None);
    assert!(node.has_rejected());
}
