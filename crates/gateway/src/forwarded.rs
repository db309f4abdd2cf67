//! A forwarded request at its origin: when to query its status, and how it ends.

use crate::ticket::TicketStatus;
use crate::Millis;

/// The result of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardResult<A> {
    /// The peer responded.
    Answered(A),
    /// The request never ran at the peer, and never will: the origin may run or reject it.
    NeverRan,
    /// The request may have run: it fails, and must not be retried.
    MayHaveRun,
}

/// What the origin has to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action<A> {
    /// Wait for a status or for [`ForwardedRequest::due`].
    Wait,
    /// Query the status of the ticket over a working connection.
    Query,
    /// The request has ended with this result. Returned once.
    Finish(ForwardResult<A>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The request was offered, and the link has not failed since.
    Offered,
    /// The link has failed. The status was queried, and will be queried again at `next_query`.
    Querying {
        next_query: Millis,
    },
    Ended,
}

/// A forwarded request at its origin.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ForwardedRequest {
    /// The incarnation of the peer that the request was offered to. Queries have to state it.
    pub offered_to: u64,
    deadline: Millis,
    query_interval: Millis,
    state: State,
}

impl ForwardedRequest {
    /// A request that has just been offered to the incarnation `offered_to` of the peer. It ends at `deadline` at the
    /// latest. After a failure of the link, its status is queried at intervals of `query_interval`.
    pub fn new(offered_to: u64, deadline: Millis, query_interval: Millis) -> Self {
        ForwardedRequest {
            offered_to,
            deadline,
            query_interval: query_interval.max(1),
            state: State::Offered,
        }
    }

    /// Whether the request has ended.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// When [`ForwardedRequest::tick`] has to be called next; `None` once the request has ended.
    pub fn due(&self) -> Option<Millis> {
        match self.state {
            State::Offered => Some(self.deadline),
            State::Querying { next_query } => Some(next_query.min(self.deadline)),
            State::Ended => None,
        }
    }

    /// Handles a failure or time-out of the connection over which the request was offered.
    pub fn link_failed<A>(&mut self, now: Millis) -> Action<A> {
        match self.state {
            State::Offered => {
                self.state = State::Querying {
                    next_query: now.saturating_add(self.query_interval),
                };
                Action::Query
            }
            State::Querying { .. } | State::Ended => Action::Wait,
        }
    }

    /// Handles the status that the incarnation `reported_by` of the peer sent in response to the offer or to a query.
    pub fn handle_status<A>(&mut self, reported_by: u64, status: TicketStatus<A>) -> Action<A> {
        match status {
            // Another incarnation has no record of the request, so its report is not used.
            _ if reported_by != self.offered_to => self.finish(ForwardResult::MayHaveRun),
            TicketStatus::Completed(response) => self.finish(ForwardResult::Answered(response)),
            TicketStatus::NeverRan => self.finish(ForwardResult::NeverRan),
            TicketStatus::Failed | TicketStatus::Unknown => self.finish(ForwardResult::MayHaveRun),
            // The response follows, or a later query returns it.
            TicketStatus::InProgress => Action::Wait,
        }
    }

    /// Repeats the query if it is due, or ends the request at its deadline.
    pub fn tick<A>(&mut self, now: Millis) -> Action<A> {
        match self.state {
            State::Ended => Action::Wait,
            _ if now >= self.deadline => self.finish(ForwardResult::MayHaveRun),
            State::Querying { next_query } if now >= next_query => {
                self.state = State::Querying {
                    next_query: now.saturating_add(self.query_interval),
                };
                Action::Query
            }
            _ => Action::Wait,
        }
    }
    /// Ends the request with a result; does nothing if it has ended already.
    fn finish<A>(&mut self, result: ForwardResult<A>) -> Action<A> {
        if self.is_ended() {
            return Action::Wait;
        }
        self.state = State::Ended;
        Action::Finish(result)
    }
}
