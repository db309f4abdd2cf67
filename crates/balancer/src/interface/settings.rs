//! What a node knows at its start.

use super::{Time, ZoneId};

/// Which servers deduplicate requests with the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What happens when a request runs a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Nothing: it can be repeated at any time.
    Idempotent,
    /// The servers in `scope` discard the repeat for `window` seconds from the first attempt that may have run.
    Keyed {
        /// The servers that discard it.
        scope: KeyScope,
        /// How long they remember the key, in seconds.
        window: Time,
    },
    /// It has an effect of its own, so it must never happen.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The latency objective, in seconds: a response within it earns the full priority weight.
    pub latency_objective: Time,
    /// How long a client waits in total, in seconds.
    pub deadline: Time,
    /// What a request, or a unit of its work, counts for against those of other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response between objective and deadline earns.
    pub late_response_weight: f64,
    /// What a second run would do.
    pub idempotency: Idempotency,
    /// Responses are streamed, so that [`Event::ResponseStarted`](super::Event::ResponseStarted) may come.
    pub streams_response: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second, over all nodes, that count as within the quota; 0 for no limit.
    pub quota: f64,
}

/// How the endpoint list reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Push,
    /// The node has to poll, or to watch.
    Poll,
}

/// How load reports reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReports {
    /// There are none.
    Absent,
    /// With every response and every health check.
    Piggybacked,
    /// With health checks only.
    WithHealthChecks,
}

/// What the node may do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Retries that each first attempt adds to the retry budget.
    pub retry_budget_ratio: f64,
    /// The longest `Retry-After` that clients respect, in seconds; 0 if they are sent none.
    pub max_retry_after: Time,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Servers may be health checked.
    pub can_health_check: bool,
    /// Two attempts for one request may be in flight at once.
    pub can_hedge: bool,
    /// Servers close idle connections after this time, in seconds.
    pub idle_connection_timeout: Time,
}

/// The parameters of the rules that no action may break.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after a server was reported as draining the last attempt may be sent to it, in seconds.
    pub drain_grace: Time,
    /// The least fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// The longest time until a server that has started reaches its full capacity, in seconds.
    pub slow_start_duration: Time,
    /// A warming server that is sent more than this multiple of its current capacity is overloaded.
    pub overload_factor: f64,
    /// The window over which that multiple is measured, in seconds.
    pub overload_window: Time,
    /// The longest interval between two polls, where the endpoint list has to be polled, in seconds.
    pub max_poll_interval: Time,
}

/// What the objective is charged for each unit per request.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Server work whose result no client got, as a fraction of the work offered.
    pub wasted_work: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub new_connection: f64,
}

/// The weight of each part of the objective.
#[derive(Clone, Debug, Default)]
pub struct Objective {
    /// All requests, and those of the worst time window.
    pub overall: f64,
    /// The class that is served worst.
    pub worst_class: f64,
    /// The tenant that is served worst, within its quota.
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
    /// Number of nodes that send requests to the servers.
    pub node_count: u32,
    /// The index of this node among them, from 0, where each node was given its own.
    pub node_index: Option<u32>,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// How load reports arrive.
    pub load_reports: LoadReports,
    /// What is allowed.
    pub limits: Limits,
    /// The parameters of the rules.
    pub rules: Rules,
    /// What is charged.
    pub costs: Costs,
    /// What is optimised.
    pub objective: Objective,
    /// Priority weight of a request over its tenant's quota, as a fraction of its class's priority weight.
    pub over_quota_weight: f64,
    /// The priority weight counts per unit of work rather than per request.
    pub weight_per_work: bool,
    /// A server that served a key recently needs less work for it.
    pub has_key_affinity: bool,
    /// Listed weights reflect the capacity of servers.
    pub has_server_weights: bool,
    /// Resolution of the node's clock, in seconds.
    pub clock_resolution: Time,
}
