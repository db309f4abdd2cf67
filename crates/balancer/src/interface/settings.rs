//! The settings of a balancer, which do not change while it runs.

use super::{Time, ZoneId};

/// Which servers share the memory of idempotency keys, and so discard a repeat of a request.
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
    /// Nothing changes, so it can be repeated at any time.
    Idempotent,
    /// The servers in `scope` discard the repeat for `window` seconds from the first attempt that may have run.
    Keyed {
        /// The servers that discard it.
        scope: KeyScope,
        /// How long they remember the key, in seconds.
        window: Time,
    },
    /// It has another effect, so the request must never run twice.
    AtMostOnce,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The latency objective, in seconds: a response within it earns the full priority weight.
    pub latency_objective: Time,
    /// How long a client waits for its answer in total, in seconds.
    pub deadline: Time,
    /// Importance of a request, or of a unit of its work, relative to those of other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that a response between the latency objective and the deadline earns.
    pub late_response_weight: f64,
    /// What happens if a request runs twice.
    pub idempotency: Idempotency,
    /// Responses are streamed, so that [`Event::ResponseStarted`](super::Event::ResponseStarted) may be reported.
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
    /// Servers send none.
    Absent,
    /// With every response and every health check.
    Piggybacked,
    /// With health checks only.
    WithHealthChecks,
}

/// What the node may do, and how often.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Number of retries, usually a fraction, that each admitted request adds to the retry budget.
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

/// The parameters of the rules that every action has to respect.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after a server was reported as draining an attempt may still be sent to it, in seconds.
    pub drain_grace: Time,
    /// The least fraction of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// The longest time until a started server reaches its full capacity, in seconds.
    pub slow_start_duration: Time,
    /// A server in its slow start is overloaded if it is sent more than this multiple of its current capacity.
    pub overload_factor: f64,
    /// The time window over which the sent work is measured, in seconds.
    pub overload_window: Time,
    /// The longest interval between two polls of the endpoint list, in seconds, if it has to be polled.
    pub max_poll_interval: Time,
}

/// The costs that are subtracted from the objective, per unit and request.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// An attempt at a server in another zone.
    pub cross_zone: f64,
    /// Server work whose result reached no client, as a fraction of the offered work.
    pub wasted_work: f64,
    /// A health check.
    pub health_check: f64,
    /// A new connection.
    pub new_connection: f64,
}

/// The weight of each part of the objective.
#[derive(Clone, Debug, Default)]
pub struct Objective {
    /// All requests, including those of the worst time window.
    pub overall: f64,
    /// The class with the least served fraction.
    pub worst_class: f64,
    /// The tenant with the least served fraction of its requests within the quota.
    pub worst_tenant: f64,
}

/// The settings of a balancer.
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
    /// The index of this node among them, from 0; `None` if the nodes have no distinct indices.
    pub node_index: Option<u32>,
    /// How the endpoint list reaches the node.
    pub discovery: Discovery,
    /// How load reports reach the node.
    pub load_reports: LoadReports,
    /// What the node may do.
    pub limits: Limits,
    /// The parameters of the rules.
    pub rules: Rules,
    /// The costs that the objective is reduced by.
    pub costs: Costs,
    /// What is optimised.
    pub objective: Objective,
    /// Priority weight of a request that is over its tenant's quota, as a fraction of the priority weight of its class.
    pub over_quota_weight: f64,
    /// Priority weights apply per unit of work instead of per request.
    pub weight_per_work: bool,
    /// A server that has recently served a key needs less work for it, so requests are sent by their affinity keys.
    pub has_key_affinity: bool,
    /// Listed weights reflect the capacities of servers, and are used.
    pub has_server_weights: bool,
    /// Resolution of the node's clock, in seconds.
    pub clock_resolution: Time,
}
