//! What a node reports to its balancer.

use super::{ClassId, Endpoint, RequestId, ServerId, TenantId, Time, UpdateKind};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a response that is forwarded to the client.
    Served,
    /// The server answered with an error; it may have run the request.
    Error,
    /// The server rejected it without running it.
    Rejected,
    /// There was no response in time; the server may have run it.
    TimedOut,
    /// The connection could not be established; it never ran.
    ConnectFailed,
    /// The connection was lost; the server may have run it.
    ConnectionLost,
    /// The node cancelled it; the server may have run it.
    Cancelled,
    /// It was never sent, so it never ran.
    NotSent,
}

impl Outcome {
    /// Whether the request is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A server's report of its own load; `None` for what it does not state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Requests still queued.
    pub queued: Option<f64>,
    /// Processor utilization, as a fraction.
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
        /// How long the client still waits, in seconds.
        remaining: Time,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// Where it was sent.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long ago it was sent, in seconds.
        latency: Time,
        /// The request has its final answer.
        request_ended: bool,
        /// The server's load report, if one came.
        load: Option<LoadReport>,
    },
    /// A streamed response has started; the request's deadline no longer applies.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request.
        attempt: u32,
        /// How long ago it was sent, in seconds.
        latency: Time,
    },
    /// The body of a request with an attempt in flight is being uploaded.
    Upload {
        /// The request.
        request: RequestId,
        /// `None` while the upload lasts, during which no response is expected; then how long the client waits from now
        /// on, in seconds.
        remaining: Option<Time>,
    },
    /// The nodes of a cluster agree that a server is faulty. Applies to its current entry in the list only.
    PeerVerdict {
        /// The server.
        server: ServerId,
        /// When the verdict expires; a time in the past withdraws it.
        until: Time,
        /// This node sends it trial requests meanwhile, on behalf of all nodes.
        is_prober: bool,
    },
    /// The nodes of a cluster, having agreed that a server is faulty, have found that it responds again.
    PeerReadmission {
        /// The server.
        server: ServerId,
    },
    /// The client has disconnected; it needs no answer any more.
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
        /// The server's load report, if one came.
        load: Option<LoadReport>,
    },
}
