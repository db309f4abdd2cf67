//! What the engine requests, and what it is given.

use super::Host;
use crate::interface::{ClassId, Endpoint, Outcome, RequestId, ServerId, TenantId, Time};

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer<A> {
    /// A server's response.
    Served(A),
    /// The request was rejected without any effect, so that the client may retry.
    Rejected {
        /// When the client may retry, in seconds from now.
        retry_after: Option<Time>,
    },
    /// The request has failed, with the outcome of its last attempt, if there was one.
    Failed(Option<Outcome>),
}

/// What the engine requests. Commands are carried out in their order.
pub enum Command<H: Host> {
    /// Start an attempt; [`Engine::end_attempt`](super::Engine::end_attempt) has to follow.
    Send {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// The server.
        server: ServerId,
        /// Nothing is sent after this time.
        send_by: Time,
        /// The attempt has to end by this time.
        deadline: Time,
    },
    /// Cancel an attempt; nothing is to be reported of it any more.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
    },
    /// Send the final answer to a request.
    Answer {
        /// The request.
        request: RequestId,
        /// The way back to the client.
        to: H::Reply,
        /// The answer.
        answer: FinalAnswer<H::Answer>,
    },
    /// Watch the endpoint list, where it is not pushed.
    Watch,
    /// Call [`Engine::handle_timer`](super::Engine::handle_timer) after this time.
    StartTimer {
        /// From now, in seconds.
        after: Time,
        /// Passed to the call.
        tag: u64,
    },
    /// Close idle connections to a server: it was removed, has restarted, moved or drains.
    CloseConnections {
        /// The server.
        server: ServerId,
    },
    /// The identifier of a server is not in use any more.
    ReleaseServerId {
        /// The identifier.
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
    /// A hash of its affinity key.
    pub key: Option<u64>,
    /// When its final answer is due; of a request whose body is streamed, when the body has to be complete.
    pub deadline: Time,
    /// How long after the last byte of its body the final answer is due, if the body is streamed, in seconds.
    pub time_after_upload: Option<Time>,
}

/// An entry of the endpoint list with the server's address.
#[derive(Clone, Debug)]
pub struct AddressedEndpoint<A> {
    /// What the decision module is given.
    pub endpoint: Endpoint,
    /// The address.
    pub address: A,
}

/// An attempt whose server is expected to respond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AwaitedAttempt {
    /// The server.
    pub server: ServerId,
    /// The class of the request.
    pub class: ClassId,
    /// Since when it is expected to respond.
    pub since: Time,
}
