//! The commands of the engine to its host, and the data that the host reports.

use super::Host;
use crate::interface::{ClassId, Endpoint, Outcome, RequestId, ServerId, TenantId, Time};

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<A> {
    /// A server's response.
    Served(A),
    /// The request was rejected without any effect, so that the client may retry.
    Rejected {
        /// After how many seconds the client may retry; `None` if it is not told.
        retry_after: Option<Time>,
    },
    /// The request has failed; holds the outcome of its last attempt, if there was one.
    Failed(Option<Outcome>),
}

/// A command of the engine to its host. Commands have to be carried out in order.
pub enum Command<H: Host> {
    /// Start an attempt. The host reports its end with [`Engine::end_attempt`](super::Engine::end_attempt).
    Send {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// The server that the request is sent to.
        server: ServerId,
        /// The request must not be sent after this time.
        send_by: Time,
        /// The server has to have begun its answer by this time.
        deadline: Time,
        /// The final answer is due at this time, which is not before `deadline`.
        client_deadline: Time,
    },
    /// Cancel an attempt. The host does not report its end.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Send the final answer to a request.
    Answer {
        /// The request.
        request: RequestId,
        /// The handle for answering the client.
        to: H::Reply,
        /// The answer.
        answer: FinalAnswer<H::Answer>,
    },
    /// Watch the endpoint list, if it is not pushed.
    Watch,
    /// Call [`Engine::handle_timer`](super::Engine::handle_timer) after a delay.
    StartTimer {
        /// The delay in seconds.
        after: Time,
        /// Identifies the timer; passed to the call.
        tag: u64,
    },
    /// Close the idle connections to a server, which was removed, has restarted, has another address or drains.
    CloseConnections {
        /// The server.
        server: ServerId,
    },
    /// Release the identifier of a removed server, which may now be reused.
    ReleaseServerId {
        /// The released identifier.
        server: ServerId,
    },
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// An estimate of its work, in seconds on a standard core.
    pub work_hint: Option<f64>,
    /// A hash of its affinity key that is the same on every node.
    pub key: Option<u64>,
    /// When its final answer is due; if its body is streamed, when the body has to be complete.
    pub deadline: Time,
    /// How long after the last byte of its body the final answer is due, in seconds; `None` if the body is not
    /// streamed.
    pub time_after_upload: Option<Time>,
}

/// An entry of the endpoint list with the server's address.
#[derive(Clone, Debug)]
pub struct AddressedEndpoint<A> {
    /// The entry as the decision module gets it.
    pub endpoint: Endpoint,
    /// The address that requests are sent to.
    pub address: A,
}

/// An attempt whose server is expected to respond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AwaitedAttempt {
    /// The server that is expected to respond.
    pub server: ServerId,
    /// The class of the request.
    pub class: ClassId,
    /// Since when the server is expected to respond.
    pub since: Time,
}
