//! The data model of a run: nodes, requests of clients, attempts of nodes, and events.

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

/// The types by which the engine refers to requests and servers in virtual time.
pub(super) struct EmulatedHost;

impl Host for EmulatedHost {
    type Payload = ClientAttemptId;
    type Reply = ClientAttemptId;
    type Address = ServerId;
    type Answer = ();
}

/// A node together with the number of its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NodeIncarnation {
    pub(super) node: NodeId,
    pub(super) incarnation: u32,
}

/// An event of the queue.
pub(super) enum Event {
    /// A client sends a new request.
    NewRequest,
    /// A client sends a request to a node, for the first time or as a retry.
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
    /// Nodes end after they have completed their requests, and restart later.
    RestartNodes {
        nodes: Vec<NodeId>,
        down_for: Time,
    },
    StartServers(Vec<ServerId>),
    EndServers(Vec<ServerId>),
    /// The faults of servers end.
    RecoverServers(Vec<ServerId>),
    /// The common slowdown ends.
    EndCommonSlowdown,
    /// The endpoint list announces this state of a server, which may differ from the actual one.
    Announce(ServerId, ServerState),
}

/// A request that a client sends to a node. Each retry by the client is a separate one.
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
    /// The node that received it, if any.
    pub(super) node: Option<NodeIncarnation>,
    /// When its answer is due.
    pub(super) deadline: Time,
    pub(super) is_answered: bool,
    /// How often servers have begun to execute it.
    pub(super) executions: u32,
}

/// An attempt that a node sends to a server.
pub(super) struct Attempt {
    pub(super) node: NodeId,
    pub(super) request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub(super) number: u32,
    pub(super) client_attempt: ClientAttemptId,
    pub(super) server: ServerId,
    pub(super) server_incarnation: u32,
    /// Whether it needed a new connection.
    pub(super) is_new_connection: bool,
    /// Whether its connection was established.
    pub(super) is_connected: bool,
}

/// An idle connection to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnection {
    pub(super) since: Time,
    pub(super) server_incarnation: u32,
}

/// A period in which a node accepts no requests because of a restart.
#[derive(Clone, Copy, Debug)]
pub(super) struct RestartWindow {
    pub(super) from: Time,
    pub(super) to: Time,
}

/// The state of a node.
pub(super) struct Node {
    pub(super) zone: ZoneId,
    /// Additional delay of its notifications, as a fraction of the minimum notification delay.
    pub(super) lateness: f64,
    pub(super) incarnation: u32,
    /// `None` while it is down.
    pub(super) engine: Option<Engine<EmulatedHost>>,
    /// When it last went down.
    pub(super) went_down_at: Time,
    /// Until when it receives no requests.
    pub(super) idle_until: Time,
    pub(super) restarts: Vec<RestartWindow>,
    /// Idle connections by server, the most recently used last.
    pub(super) idle_connections: BTreeMap<ServerId, Vec<IdleConnection>>,
    /// The endpoint list of which it was notified; updated also while it is down.
    pub(super) endpoints: BTreeMap<ServerId, Endpoint>,
    /// Since when it knows that a server is draining or removed.
    pub(super) unavailable_since: BTreeMap<ServerId, Time>,
}

impl Node {
    /// Whether the front end sends requests to it. The front end detects that a node is down after `failover_delay`.
    pub(super) fn takes_requests(&self, now: Time, failover_delay: Time) -> bool {
        (self.engine.is_some() || now - self.went_down_at < failover_delay)
            && self.idle_until <= now
            && self
                .restarts
                .iter()
                .all(|window| now < window.from || now >= window.to)
    }
}
