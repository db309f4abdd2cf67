//! What a balancer requests of its node.

use super::{RequestId, ServerId, Time};

/// What a balancer requests of its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, if the rules allow it.
    Attempt {
        /// The request.
        request: RequestId,
        /// The server that the request is sent to.
        server: ServerId,
        /// Timeout of the attempt, in seconds; `None` for the client's deadline.
        timeout: Option<Time>,
    },
    /// Answer that the request was rejected without any effect, so that the client may retry. This is the final answer.
    Reject {
        /// The request.
        request: RequestId,
        /// After how many seconds the client may retry; `None` if it is not told.
        retry_after: Option<Time>,
    },
    /// Answer that the request has failed. This is the final answer.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Subscribe to changes of the endpoint list.
    Watch,
    /// Check the health of a server.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Report [`Event::Timer`](super::Event::Timer) after a delay.
    StartTimer {
        /// The delay in seconds.
        after: Time,
        /// Identifies the timer; reported with the event.
        tag: u64,
    },
}
