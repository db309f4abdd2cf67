//! What a balancer requests of its node.

use super::{RequestId, ServerId, Time};

/// What a balancer requests of its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Attempt {
        /// The request.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Timeout of the attempt, in seconds; `None` for the client's deadline.
        timeout: Option<Time>,
    },
    /// Answer finally that the request was rejected without any effect, so that the client may retry.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client may retry, in seconds from now.
        retry_after: Option<Time>,
    },
    /// Answer finally that the request has failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
    },
    /// Subscribe to changes of the endpoint list.
    Watch,
    /// Check the health of a server.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Report [`Event::Timer`](super::Event::Timer) after this time.
    StartTimer {
        /// From now, in seconds.
        after: Time,
        /// Reported with the event.
        tag: u64,
    },
}
