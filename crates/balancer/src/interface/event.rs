//! What a node reports to its balancer.

use super::{ClassId, Endpoint, RequestId, ServerId, TenantId, Time, UpdateKind};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server sent a response, which is forwarded to the client.
    Served,
    /// The server answered with an error; it may have run the request.
    Error,
    /// The server rejected it without running it.
    Rejected,
    /// There was no response in time; the server may have run the request.
    TimedOut,
    /// The connection could not be established; the request never ran.
    ConnectFailed,
    /// The connection was lost; the server may have run the request.
    ConnectionLost,
    /// The node cancelled the attempt; the server may have run the request.
    Cancelled,
    /// The attempt was never sent, so the request never ran.
    NotSent,
}

impl Outcome {
    /// Whether the server is known not to have run the request.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A server's report of its own load. A field is `None` if the server does not state it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests in flight.
    pub in_flight: Option<f64>,
    /// Number of requests waiting in a queue.
    pub queued: Option<f64>,
    /// Processor utilization, as a fraction from 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time, in seconds.
    pub service_time: Option<Time>,
}

/// What a node reports to its balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed, or could not be fetched.
    EndpointUpdate {
        /// What the update contains.
        kind: UpdateKind,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived and needs one final answer.
    Request {
        /// The request.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant, if any.
        tenant: Option<TenantId>,
        /// An estimate of its work, in seconds on a standard core.
        work_hint: Option<f64>,
        /// A hash of its affinity key that is the same on every node.
        key: Option<u64>,
        /// How much longer the client waits, in seconds.
        remaining: Time,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// The server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent, in seconds.
        latency: Time,
        /// The request has its final answer.
        request_ended: bool,
        /// The server's load report, if there was one.
        load: Option<LoadReport>,
    },
    /// A streamed response has started; the request's deadline no longer applies.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
        /// Time since the attempt was sent, in seconds.
        latency: Time,
    },
    /// The body of a request with an attempt in flight is being uploaded.
    Upload {
        /// The request.
        request: RequestId,
        /// `None` when the upload starts, as no response is expected before its end; at its end, how much longer the
        /// client waits, in seconds.
        remaining: Option<Time>,
    },
    /// The nodes of the cluster agree that a server is faulty. Applies to the server's current list entry only.
    PeerVerdict {
        /// The server.
        server: ServerId,
        /// When the verdict expires; a time in the past withdraws it.
        until: Time,
        /// This node sends the server trial requests while the verdict is in force, on behalf of all nodes.
        is_prober: bool,
    },
    /// The nodes of the cluster had agreed that a server is faulty and have found that it responds again.
    PeerReadmission {
        /// The server.
        server: ServerId,
    },
    /// The client has disconnected; its request needs no answer any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    Timer {
        /// The tag that it was started with.
        tag: u64,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The server's load report, if there was one.
        load: Option<LoadReport>,
    },
}
