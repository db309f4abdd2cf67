//! Requests on their way from clients through pools to servers.
//!
//! `frontend` and `graphql` make a [`Message`] and an [`Arrival`] of each request and submit both to its
//! [`Pool`](super::pool::Pool); `upstream` sends the message.

use super::body::Payload;
use super::shared::{MemoryPermit, OpenId, Permit};
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
    /// Claim on the correlation id, for as long as an attempt may be in flight.
    pub _id_claim: OpenId,
    /// Place among the open requests of its service, for as long as that.
    pub _admission: Option<Permit>,
    /// Tells valid answers from others; without one, any status 200 is a valid answer.
    pub validator: Option<Box<dyn AnswerValidator>>,
    /// Who waits for the answer.
    pub waiter: Rc<dyn Waiter>,
}

/// Whoever waits for an answer.
pub trait Waiter {
    /// Whether it waits no longer: nothing new is sent then.
    fn has_disconnected(&self) -> bool;
}

/// Tells valid answers from others, for requests whose protocol says more than a status.
pub trait AnswerValidator {
    /// Whether an answer with this status may be valid.
    fn accepts_status(&self, status: StatusCode) -> bool;
    /// Whether a complete body is a valid answer to the request. If it is not, the request may have run.
    fn is_valid_answer(&self, body: &[u8]) -> bool;
}

/// What the engine needs to know about a request.
pub struct Arrival {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    /// The client's estimate of the work, in seconds on a standard core.
    pub work_hint: Option<f64>,
    /// Hash of what the request is about; requests with one key go to the same server where possible.
    pub affinity_key: Option<u64>,
    /// When the final answer is due; for a request with a streamed body, when its upload has to be over.
    pub deadline: Instant,
    /// For a request with a streamed body: how long after its last byte the answer is due.
    pub time_after_upload: Option<Duration>,
}
