//! The origin's side of a forwarded request.

use crate::ticket::TicketStatus;
use crate::Millis;

/// How a forwarded request has ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ForwardResult<A> {
    /// With this answer.
    Answered(A),
    /// It never ran at the peer, and never will: it may run here, or be refused.
    NeverRan,
    /// It may have run: it fails, and never runs again.
    MayHaveRun,
}

/// What the origin has to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action<A> {
    /// Wait.
    Wait,
    /// Query the status of the ticket, over a connection that works.
    Query,
    /// The request has ended. Returned once.
    Finish(ForwardResult<A>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// It was offered, and the link works.
    Offered,
    /// The link has failed. The status was queried, and is queried again at `next_query`.
    Querying {
        next_query: Millis,
    },
    Ended,
}

/// A request that was forwarded, at its origin.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ForwardedRequest {
    /// The incarnation of the peer that it was offered to; queries have to name it.
    pub offered_to: u64,
    deadline: Millis,
    query_interval: Millis,
    state: State,
}

impl ForwardedRequest {
    /// A request that has just been offered. Its client is answered by `deadline`; queries are repeated every
    /// `query_interval`.
    pub fn new(offered_to: u64, deadline: Millis, query_interval: Millis) -> Self {
        ForwardedRequest {
            offered_to,
            deadline,
            query_interval: query_interval.max(1),
            state: State::Offered,
        }
    }

    /// Whether it has ended.
    pub fn is_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// When [`ForwardedRequest::tick`] has something to do; `None` once it has ended.
    pub fn due(&self) -> Option<Millis> {
        match self.state {
            State::Offered => Some(self.deadline),
            State::Querying { next_query } => Some(next_query.min(self.deadline)),
            State::Ended => None,
        }
    }

    fn finish<A>(&mut self, result: ForwardResult<A>) -> Action<A> {
        if self.is_ended() {
            return Action::Wait;
        }
        self.state = State::Ended;
        Action::Finish(result)
    }

    /// The connection that it was offered over has failed, or was silent for too long.
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

    /// The peer has reported the status: as the answer to the offer, or to a query. `reported_by` is its incarnation.
    pub fn handle_status<A>(&mut self, reported_by: u64, status: TicketStatus<A>) -> Action<A> {
        match status {
            // Another incarnation knows nothing of it, whatever it reports.
            _ if reported_by != self.offered_to => self.finish(ForwardResult::MayHaveRun),
            TicketStatus::Completed(answer) => self.finish(ForwardResult::Answered(answer)),
            TicketStatus::NeverRan => self.finish(ForwardResult::NeverRan),
            TicketStatus::Failed | TicketStatus::Unknown => self.finish(ForwardResult::MayHaveRun),
            // The answer comes, or the next query brings it.
            TicketStatus::InProgress => Action::Wait,
        }
    }

    /// Time has passed.
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
}
