//! Tests of [`ForwardedRequest`], the state of a request at the origin.

use crate::{DEADLINE, FIRST_INCARNATION, QUERY_INTERVAL};
use reelfall_gateway::forwarded::{Action, ForwardResult, ForwardedRequest};
use reelfall_gateway::ticket::TicketStatus;

/// An incarnation of the peer that the request was not offered to.
const OTHER_INCARNATION: u64 = FIRST_INCARNATION + 1;

fn forwarded_request() -> ForwardedRequest {
    ForwardedRequest::new(FIRST_INCARNATION, DEADLINE, QUERY_INTERVAL)
}

#[test]
fn status_query_is_repeated_until_a_final_status() {
    let mut forwarded = forwarded_request();
    assert_eq!(forwarded.due(), Some(DEADLINE));
    assert_eq!(forwarded.link_failed::<()>(20), Action::Query);
    assert_eq!(forwarded.link_failed::<()>(21), Action::Wait);
    assert_eq!(forwarded.due(), Some(30));
    assert_eq!(forwarded.tick::<()>(29), Action::Wait);
    assert_eq!(forwarded.tick::<()>(30), Action::Query);
    assert_eq!(
        forwarded.handle_status::<()>(FIRST_INCARNATION, TicketStatus::InProgress),
        Action::Wait
    );
    let mut restarted = forwarded.clone();
    assert_eq!(
        restarted.handle_status::<()>(OTHER_INCARNATION, TicketStatus::NeverRan),
        Action::Finish(ForwardResult::MayHaveRun),
        "the status of another incarnation is used"
    );
    assert_eq!(
        forwarded.handle_status(FIRST_INCARNATION, TicketStatus::Completed(5)),
        Action::Finish(ForwardResult::Answered(5))
    );
    assert_eq!(
        (forwarded.tick::<()>(DEADLINE), forwarded.due()),
        (Action::Wait, None)
    );
}

#[test]
fn status_after_the_deadline_is_ignored() {
    let mut forwarded = forwarded_request();
    assert_eq!(
        forwarded.tick::<()>(DEADLINE),
        Action::Finish(ForwardResult::MayHaveRun)
    );
    assert_eq!(
        forwarded.handle_status::<()>(FIRST_INCARNATION, TicketStatus::NeverRan),
        Action::Wait
    );
}
