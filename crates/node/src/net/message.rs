//! Requests on their way from clients through pools to servers.

use super::body::Payload;
use super::shared::{MemoryPermit, OpenId, Permit};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, StatusCode};
use reelfall_balancer::interface::{ClassId, TenantId};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request as it goes to a server, the same at every attempt.
pub struct Message {
    pub method: Method,
    pub path: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Payload,
    /// What the body holds of the budget for bodies; requests that came in one body share it.
    pub _held: Option<Rc<MemoryPermit>>,
    /// Its id, taken for as long as an attempt may be out.
    pub _id: OpenId,
    /// Its place among the open requests of its service, as long.
    pub _admitted: Option<Permit>,
    /// What an answer has to be, beyond being whole; plain requests take any 200.
    pub validator: Option<Box<dyn AnswerValidator>>,
    /// Who waits for its answer.
    pub waiter: Rc<dyn Waiter>,
}

/// Whoever waits for an answer.
pub trait Waiter {
    /// Whether that is over: nothing new is sent then.
    fn has_left(&self) -> bool;
}

/// Tells answers from what is none, for requests whose protocol says more than a status.
pub trait AnswerValidator {
    /// Whether a status comes with an answer at all.
    fn may_answer(&self, status: StatusCode) -> bool;
    /// Whether a whole body is an answer to this request. What is none may have run.
    fn is_answer(&self, body: &[u8]) -> bool;
}

/// What the module is told of a request.
pub struct Arrival {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub hint: Option<f64>,
    pub key: Option<u64>,
    /// The node's last word is due then; of a request whose body flows, when that has come.
    pub deadline: Instant,
    /// How long after its last byte the answer is due, of a request whose body flows.
    pub flows: Option<Duration>,
}
