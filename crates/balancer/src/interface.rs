//! Settings, events, actions, ids and times: everything that passes between a node and its
//! [`Balancer`](crate::Balancer). No logic lives here.

/// Seconds on the node's own clock; only differences matter.
pub type Time = f64;
/// The node's handle for a request, never used twice in one life of the node.
pub type RequestId = u32;
/// A dense number for a server, given by the embedding node and stable for the node's life.
pub type ServerId = u32;
/// Index into [`Settings::classes`].
pub type ClassId = u16;
/// Index into [`Settings::tenants`].
pub type TenantId = u16;
/// A dense number for a zone.
pub type ZoneId = u16;
/// A dense number for a machine kind.
pub type KindId = u16;

/// Which servers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What happens when a request runs a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Harmless.
    Idempotent,
    /// Dropped inside `group` for `window` seconds from the first send that may have run.
    Keyed {
        /// The servers that drop the repeat.
        group: Group,
        /// How long they remember.
        window: Time,
    },
    /// Must never happen.
    AtMostOnce,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Answers inside this time earn the full worth.
    pub aim: Time,
    /// The total time a client waits.
    pub deadline: Time,
    /// What a request (or a unit of its work) is worth.
    pub worth: f64,
    /// Share of the worth that an answer between aim and deadline earns.
    pub late_value: f64,
    /// What a second run would do.
    pub effect: Effect,
    /// Answers stream, so a [`Event::FirstByte`] may come.
    pub streamed: bool,
}

/// One tenant and its share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second, over all nodes, that count as inside the share; 0 means no limit.
    pub quota: f64,
}

/// How the server list reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Push,
    /// The node has to subscribe.
    Ask,
}

/// How load reports reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// There are none.
    Silent,
    /// With every outcome and probe result.
    Piggyback,
    /// Only with probe results.
    Pull,
}

/// What the node may do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Further attempts earned by each first one.
    pub retry_share: f64,
    /// Longest retry advice that clients follow; 0 if they get none.
    pub max_retry_after: Time,
    /// Attempts may be cancelled.
    pub cancelling: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Idle connections close after this time.
    pub conn_idle: Time,
}

/// The figures of the four rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the news of a drain the last send may go.
    pub drain_grace: Time,
    /// A fresh server starts at this share of its capacity or more.
    pub cold_from: f64,
    /// A fresh server is warm after this time or sooner.
    pub warm_after: Time,
    /// Sent more than this multiple of its present capacity, a cold server falls over.
    pub overload_factor: f64,
    /// The window over which that multiple counts.
    pub tip_after: Time,
    /// Where the list must be asked for, the longest time without asking.
    pub must_ask_in: Time,
}

/// Points taken off the result, each for one unit a request.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Server work that served no answer, as a share of the work offered.
    pub waste: f64,
    /// A probe.
    pub probe: f64,
    /// A new connection.
    pub handshake: f64,
}

/// How much each part of the result weighs.
#[derive(Clone, Debug, Default)]
pub struct Goal {
    /// The whole day and its worst stretch.
    pub overall: f64,
    /// The class served worst.
    pub worst_class: f64,
    /// The tenant served worst, within its share.
    pub worst_tenant: f64,
}

/// What a node knows at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes of requests; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The zone of this node, if zones are known.
    pub zone: Option<ZoneId>,
    /// How many nodes share the servers.
    pub replicas: u32,
    /// Which of them this is, from 0, where each was told its own.
    pub number: Option<u32>,
    /// How the list arrives.
    pub discovery: Discovery,
    /// How load reports arrive.
    pub reports: Reports,
    /// What is allowed.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// What costs points.
    pub prices: Prices,
    /// What earns them.
    pub goal: Goal,
    /// Worth of a request over its tenant's share, as a share of its class's worth.
    pub over_share_worth: f64,
    /// Worth counts for each unit of work rather than for each request.
    pub worth_by_work: bool,
    /// A server that served a key lately needs less work for it.
    pub warm_keys: bool,
    /// Listed weights say something about size.
    pub weighted: bool,
    /// The shortest gap between two moments of the clock.
    pub tick: Time,
}

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// One line of the server list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// A hash of its name that every node computes alike.
    pub hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Listed weight.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub ready_at: Time,
    /// How many balancers of this node send to it, this one included.
    pub sharers: u32,
}

/// What a list update holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Delta,
    /// Everything; whoever is missing is gone.
    Full,
    /// Everything as this node last had it.
    Cached,
    /// A call failed or the subscription broke; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Delivered,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Shed,
    /// No answer in time; it may have run.
    Expired,
    /// No connection; it never ran.
    DialFailed,
    /// The connection broke; it may have run.
    Dropped,
    /// Called off by the node; it may have run.
    Revoked,
    /// Never sent; it never ran.
    Unused,
}

/// A server's report of its own load; whatever it does not state is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in hand.
    pub active: Option<f64>,
    /// Requests still queued.
    pub waiting: Option<f64>,
    /// Share of the processor in use.
    pub busy: Option<f64>,
    /// Recent service time.
    pub service: Option<Time>,
}

/// What a balancer has learned of one server.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LearnedServer {
    /// As in [`Entry::hash`].
    pub hash: u64,
    /// As in [`Entry::ready_at`]; what was learned of an earlier start counts no more.
    pub ready_at: Time,
    /// Its sending probability as a multiple of the mean.
    pub share: f64,
    /// Its average response.
    pub average: Time,
    /// Work that it may still be sent while it is cold.
    pub budget: f64,
    /// It is left out for so much longer.
    pub out_for: Time,
}

/// What a balancer has learned, for one that takes over from it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Learned {
    /// Of each server.
    pub servers: Vec<LearnedServer>,
    /// Typical work by class, and over all classes.
    pub class_work: Vec<f64>,
    /// See `class_work`.
    pub typical: f64,
    /// Mean response when little waits.
    pub base: Time,
    /// The most work a second that a warm server was seen to bear.
    pub bearable: f64,
    /// Share of requests admitted.
    pub admit: f64,
    /// Weight of servers outside the zone.
    pub spill: f64,
}

/// What a node tells its balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    Members {
        /// What the update holds.
        list: ListKind,
        /// The lines.
        entries: Vec<Entry>,
    },
    /// A request came in and is owed one final answer.
    Request {
        /// Its id.
        request: RequestId,
        /// Its class.
        class: ClassId,
        /// Its tenant, if any.
        tenant: Option<TenantId>,
        /// Rough work, in seconds on a standard core.
        hint: Option<f64>,
        /// A hash of what it concerns, alike on every node.
        key: Option<u64>,
        /// How long the client still waits.
        left: Time,
    },
    /// An attempt ended.
    Outcome {
        /// Its request.
        request: RequestId,
        /// Which attempt of that request, from 0.
        attempt: u32,
        /// Where it went.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long ago it was sent.
        latency: Time,
        /// The request has its final answer.
        ended: bool,
        /// The server's report, if one came.
        load: Option<Load>,
    },
    /// A streamed answer has started; the request's deadline no longer runs.
    FirstByte {
        /// Its request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How long ago it was sent.
        latency: Time,
    },
    /// The body of a request with an attempt out is on its way.
    Upload {
        /// Its request.
        request: RequestId,
        /// `None` while it comes: nothing is awaited of the server yet. Then how long the client waits from now on.
        left: Option<Time>,
    },
    /// What the nodes of a fleet hold of a server together: it fails others. It holds for this stay on the list alone.
    Told {
        /// The server.
        server: ServerId,
        /// It counts until then without another word; a moment that has passed takes it back.
        until: Time,
        /// This node tries it meanwhile, for all.
        tries: bool,
    },
    /// The client left; nothing further is owed.
    Gone {
        /// The request.
        request: RequestId,
    },
    /// A timer came due.
    Timer {
        /// The tag it was set with.
        tag: u64,
    },
    /// A probe ended.
    Probed {
        /// The server probed.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The report, if one came.
        load: Option<Load>,
    },
}

/// What a balancer asks of its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Attempt {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// Its time-out; `None` leaves it to the client's deadline.
        timeout: Option<Time>,
    },
    /// Final answer: no, and a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// When to come back.
        retry_after: Option<Time>,
    },
    /// Final answer: failed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Subscribe to list changes.
    Watch,
    /// Probe a server.
    Probe {
        /// Which one.
        server: ServerId,
    },
    /// Send [`Event::Timer`] after this time.
    Timer {
        /// From now.
        after: Time,
        /// Comes back with the event.
        tag: u64,
    },
}
