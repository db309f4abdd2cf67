//! Retries by the idempotency of the request.

use crate::common::{class, settings, Node};
use crate::{classes, AT_MOST_ONCE_CLASS, DEADLINE};
use reelfall_balancer::interface::{Idempotency, KeyScope, Outcome, Time};

#[test]
fn at_most_once_request_that_can_have_executed_fails_without_retry_or_rejection() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::ConnectionLost,
        Outcome::Cancelled,
    ] {
        let mut node = Node::new(settings(classes()), 5);
        let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
        node.now = 0.05;
        node.end_attempt(request, 0, server.unwrap(), outcome, 0.05);
        assert!(
            node.has_failed() && !node.has_rejected() && node.attempted_server().is_none(),
            "{outcome:?}"
        );
    }
}

#[test]
fn at_most_once_request_that_never_executed_is_retried_at_another_server() {
    let mut node = Node::new(settings(classes()), 5);
    let (request, server) = node.request(AT_MOST_ONCE_CLASS, None, DEADLINE);
    node.end_attempt(request, 0, server.unwrap(), Outcome::Rejected, 0.0);
    assert!(node.attempted_server().is_some() && node.attempted_server() != server);
}

#[test]
fn keyed_retry_stays_in_its_cell_and_idempotency_window() {
    const WINDOW: Time = 0.3;
    /// As `endpoint_of` assigns servers to cells.
    const SERVERS_PER_CELL: u32 = 2;
    let keyed = Idempotency::Keyed {
        scope: KeyScope::Cell,
        window: WINDOW,
    };
    for (elapsed, is_retried) in [(0.1, true), (0.35, false)] {
        let mut node = Node::new(settings(vec![class(keyed)]), 12);
        let (request, server) = node.request(0, None, DEADLINE);
        node.now = elapsed;
        node.end_attempt(request, 0, server.unwrap(), Outcome::Error, elapsed);
        assert_eq!(node.attempted_server().is_some(), is_retried);
        assert_eq!(node.has_failed(), !is_retried);
        if let Some(next) = node.attempted_server() {
            assert_eq!(next / SERVERS_PER_CELL, server.unwrap() / SERVERS_PER_CELL);
        }
    }
}
