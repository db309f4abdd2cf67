//! The counts and the texts of events.

use super::{RequestEvent, RequestEvents};
use crate::net::answer::AnswerBreak;
use reelfall_balancer::interface::Outcome;
use std::time::Duration;

#[test]
fn events_are_counted_by_their_reason() {
    let events = RequestEvents::default();
    let timed_out = RequestEvent::AttemptEnded {
        attempt: 0,
        server: None,
        outcome: Outcome::TimedOut,
        after: Duration::from_millis(550),
    };
    let late = RequestEvent::BrokenOff {
        reason: AnswerBreak::Late,
        received_bytes: 40,
        after: Duration::from_secs(1),
    };
    for event in [timed_out, timed_out, late, RequestEvent::Rejected] {
        events.record("r-1", &event);
    }
    assert_eq!(
        events.to_text(),
        "reelfall_answers_broken_off_late_total 1\nreelfall_attempts_timed_out_total 2\nreelfall_requests_rejected_total 1\n"
    );
}

#[test]
fn text_names_the_server_and_the_reason() {
    let ended = RequestEvent::AttemptEnded {
        attempt: 1,
        server: "127.0.0.1:80".parse().ok(),
        outcome: Outcome::ConnectionLost,
        after: Duration::from_millis(20),
    };
    assert_eq!(
        ended.to_string(),
        "attempt 1 at 127.0.0.1:80 ended after 20.000ms: ConnectionLost"
    );
}
