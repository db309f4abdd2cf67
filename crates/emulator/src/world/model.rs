//! What there is in a world: requests of clients, attempts of nodes, nodes, and the events that are due.

use crate::server::AttemptId;
use reelfall_balancer::engine::{Engine, Host};
use reelfall_balancer::interface::{
    Endpoint, Outcome, RequestId, ServerId, ServerState, Time, ZoneId,
};
use std::collections::BTreeMap;

/// Number of a [`ClientAttempt`].
pub(super) type ClientAttemptId = usize;
/// Number of a node.
pub(super) type NodeId = usize;

/// The engine's host in virtual time.
pub(super) struct Virtual;

impl Host for Virtual {
    type Payload = ClientAttemptId;
    type Reply = ClientAttemptId;
    type Address = ServerId;
    type Answer = ();
}

/// An incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NodeIncarnation {
    pub(super) node: NodeId,
    pub(super) incarnation: u32,
}

/// Something that is due.
pub(super) enum Event {
    /// A client sends a new request.
    NewRequest,
    /// A client sends a request to a node, for the first time or again.
    ClientAttempt(ClientAttemptId),
    /// The last byte of an attempt has reached its server.
    AttemptReceived(AttemptId),
    /// A server has completed the work of an attempt.
    WorkCompleted {
        server: ServerId,
        incarnation: u32,
        attempt: AttemptId,
    },
    /// A node is notified of the end of an attempt.
    AttemptEnded(AttemptId, Outcome),
    /// The deadline of an attempt.
    AttemptTimedOut(AttemptId),
    /// A timer of a node's decision module.
    Timer {
        of: NodeIncarnation,
        tag: u64,
    },
    /// A node is notified of a change of the endpoint list.
    EndpointChanged(NodeId, Endpoint),
    /// The disturbance with this index.
    Disturbance(usize),
    StartNodes(Vec<NodeId>),
    /// Nodes end after they have completed their requests, and start again.
    RestartNodes {
        nodes: Vec<NodeId>,
        down_for: Time,
    },
    StartServers(Vec<ServerId>),
    EndServers(Vec<ServerId>),
    /// Servers behave as they should again.
    RecoverServers(Vec<ServerId>),
    /// The common slowdown is over.
    EndCommonSlowdown,
    /// The list states this of a server, whether or not it is true.
    Announce(ServerId, ServerState),
}

/// A request that a client sends to a node. A retry of the client is another one.
pub(super) struct ClientAttempt {
    pub(super) class: usize,
    pub(super) work: f64,
    pub(super) work_hint: f64,
    /// The client's zone.
    pub(super) zone: ZoneId,
    /// When the client first sent the request.
    pub(super) first_sent_at: Time,
    /// Number of retries before this one.
    pub(super) retries: u32,
    /// When the client stops retrying.
    pub(super) client_deadline: Time,
    /// How long the client waits for each of its attempts.
    pub(super) timeout: Time,
    /// The node that got it, if any.
    pub(super) node: Option<NodeIncarnation>,
    /// When its answer is due.
    pub(super) deadline: Time,
    pub(super) is_answered: bool,
    /// How often servers have begun to run it.
    pub(super) executions: u32,
}

/// An attempt that a node sends to a server.
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) request: RequestId,
    /// The number of the attempt within the request.
    pub(super) number: u32,
    pub(super) client_attempt: ClientAttemptId,
    pub(super) server: ServerId,
    pub(super) server_incarnation: u32,
    /// It opened a connection.
    pub(super) is_new_connection: bool,
    /// Its connection was established.
    pub(super) is_connected: bool,
}

/// An idle connection to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnection {
    pub(super) since: Time,
    pub(super) server_incarnation: u32,
}

/// When a node accepts no requests, as it is about to be restarted.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestartWindow {
    pub(super) from: Time,
    pub(super) to: Time,
}

/// A node.
pub(super) struct Node {
    pub(super) zone: ZoneId,
    /// How late it is notified of changes, as a fraction of the notification delay.
    pub(super) lateness: f64,
    pub(super) incarnation: u32,
    /// `None` while it is down.
    pub(super) engine: Option<Engine<Virtual>>,
    /// When it went down last.
    pub(super) went_down_at: Time,
    /// Until when it gets no requests.
    pub(super) idle_until: Time,
    pub(super) restarts: Vec<RestartWindow>,
    /// Idle connections by server, the latest last.
    pub(super) idle_connections: BTreeMap<ServerId, Vec<IdleConnection>>,
    /// The endpoint list as it was notified, also while it is down.
    pub(super) endpoints: BTreeMap<ServerId, Endpoint>,
    /// Since when it knows that a server takes no new requests.
    pub(super) unavailable_since: BTreeMap<ServerId, Time>,
}

impl Node {
    /// Whether the front end sends requests to it. That it is down is noticed late.
    pub(super) fn takes_requests(&self, now: Time, failover_delay: Time) -> bool {
        (self.engine.is_some() || now - self.went_down_at < failover_delay)
            && self.idle_until <= now
            && self
                .restarts
                .iter()
                .all(|window| now < window.from || now >= window.to)
    }
}
