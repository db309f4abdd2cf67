//! Requests to servers: one attempt at a time, each on a pooled connection.
//!
//! [`Pool`](super::pool::Pool) owns a [`ConnectionPool`] and spawns one [`run_attempt`] task for each attempt that the
//! engine orders; it implements [`AttemptContext`] to provide the state that attempts depend on, and to receive
//! outcomes.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `attempt` | the state of an attempt, its request and the reports of its outcome |
//! | `exchange` | sending that request and waiting for the head of the answer |
//! | `answer_timer` | when the answer is due |
//! | `response` | judging the head of the answer |
//! | `buffering` | reading its body, which is buffered whole or forwarded in part, as the answer's clock decides |
//! | `answer_memory` | how much of it may be buffered, and the memory for that |
//! | `release` | returning a connection to the pool after its answer |
//! | `acquire` | a connection for an attempt: an idle one or a new one |
//! | `connection_pool` | the idle connections of all servers |
//! | `connection` | one connection |
//! | `socket` | its socket, which counts the bytes that were written |

mod acquire;
mod answer_memory;
mod answer_timer;
mod attempt;
mod buffering;
mod connection;
mod connection_pool;
mod exchange;
mod release;
mod response;
mod socket;

pub use attempt::AttemptDeadlines;
pub use connection_pool::ConnectionPool;
pub use exchange::run_attempt;

use super::answer::Answer;
use hyper::header::HeaderName;
use reelfall_balancer::interface::{Outcome, RequestId, ServerId};
use std::net::SocketAddr;
use std::time::Instant;

/// Header that states how long the sender still waits for the answer, in seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// Provides the state that an attempt depends on, and receives its progress and outcome.
pub trait AttemptContext: Clone + 'static {
    /// The connections to use.
    fn connections(&self) -> &ConnectionPool;
    /// The address of a server; `None` if the latest endpoint list does not contain it or states that it is draining.
    fn address(&self, server: ServerId) -> Option<SocketAddr>;
    /// Whether a client still waits for the answer to a request.
    fn is_answer_wanted(&self, request: RequestId) -> bool;
    /// Whether another attempt of this request may be in flight.
    fn has_attempt_in_flight(&self, request: RequestId) -> bool;
    /// Reports that part of a streamed request body was consumed, so that no retry can send it.
    fn mark_body_consumed(&self, request: RequestId);
    /// Reports that the last byte of a request body was written, and when its client can have written that at the
    /// earliest. Returns when the answer is due if that only follows from the end of the upload.
    fn finish_upload(&self, request: RequestId, last_byte_at: Instant) -> Option<Instant>;
    /// Reports how an attempt ended, with the answer if there is one.
    fn end_attempt(
        &self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        answer: Option<Answer>,
    );
}
