//! Requests as they are passed from clients through pools to servers.
//!
//! `frontend` and `graphql` make a [`Message`] and an [`Arrival`] of each request and submit both to its
//! [`Pool`](super::pool::Pool); `upstream` sends the message.

use super::body::Payload;
use super::shared::{MemoryPermit, OpenId, Permit};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};
use reelfall_balancer::interface::{ClassId, TenantId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request as it is sent to a server, the same in every attempt.
pub struct Message {
    pub method: Method,
    pub path: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Payload,
    /// Memory reserved for the body; requests that arrived in one body share it.
    pub _body_memory: Option<Rc<MemoryPermit>>,
    /// Keeps the correlation id claimed while an attempt may be in flight, and after that if the request must not be
    /// repeated.
    pub id_claim: OpenId,
    /// Counts the request among the open requests of its service while an attempt may be in flight.
    pub _admission: Option<Permit>,
    /// For a streamed body: the client's time for the answer, from the last byte of its request on.
    pub time_after_upload: Option<Duration>,
    /// Validates answers; without a validator, any answer with status 200 is valid.
    pub validator: Option<Box<dyn AnswerValidator>>,
    /// The client that waits for the answer.
    pub waiter: Rc<dyn Waiter>,
}

impl Message {
    /// Its correlation id, for the log.
    pub fn id(&self) -> &str {
        printable_id(self.headers.get(CORRELATION_ID))
    }

    /// The length of the names and values of its headers, in bytes.
    pub fn head_bytes(&self) -> usize {
        let length = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
        self.headers.iter().map(length).sum()
    }
}

/// Identifies a request, the same in every attempt.
pub const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");

/// How much of an id is logged, in bytes.
const LOGGED_ID_BYTES: usize = 64;

/// The value of a correlation id for the log, where a long one is cut; empty if there is none that can be printed.
pub fn printable_id(id: Option<&HeaderValue>) -> &str {
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    id.get(..LOGGED_ID_BYTES).unwrap_or(id)
}

/// A client that waits for an answer.
pub trait Waiter {
    /// Whether it has disconnected, in which case no new attempt is sent.
    fn has_disconnected(&self) -> bool;
    /// The progress of the client's input.
    fn input(&self) -> ClientInput;
    /// How much input of the client has arrived and was not read, in bytes; `None` if the system doesn't tell.
    fn unread_input_bytes(&self) -> Option<u64>;
}

/// The progress of a client's input while its request is received.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientInput {
    /// Whether the node waits for more, having read all that has arrived.
    pub is_awaited: bool,
    /// When the latest of these waits ended, if there was one.
    pub awaited_until: Option<Instant>,
}

/// Validates answers of a protocol whose result is not determined by the status alone.
pub trait AnswerValidator {
    /// Whether an answer with this status may be valid.
    fn accepts_status(&self, status: StatusCode) -> bool;
    /// Whether a complete body is a valid answer to the request. The request may have run even if it is not.
    fn is_valid_answer(&self, body: &[u8]) -> bool;
}

/// What the engine needs to know about a request.
pub struct Arrival {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// The client's estimate of the work, in seconds on a standard core.
    pub work_hint: Option<f64>,
    /// Hash of the affinity key; requests with the same key go to the same server where possible.
    pub affinity_key: Option<u64>,
    /// The deadline of the final answer; for a request with a streamed body, the deadline of the upload.
    pub deadline: Instant,
    /// For a request with a streamed body: the time for the answer, from the last byte of the upload.
    pub time_after_upload: Option<Duration>,
}
