//! The plan of a run: nodes, servers, clients, and the disturbances at their times. [`crate::world`] executes it.

use reelfall_balancer::interface::{Idempotency, Time};
use std::ops::RangeInclusive;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Fraction of the requests.
    pub request_fraction: f64,
    /// Mean work, in seconds on a standard core.
    pub mean_work: f64,
    /// The latency objective, in seconds: a response within it earns the full priority weight.
    pub latency_objective: Time,
    /// How long a client waits in total, with its retries, in seconds.
    pub deadline: Time,
    /// Priority weight of a unit of work.
    pub priority_weight: f64,
    /// What a second execution would do.
    pub idempotency: Idempotency,
}

/// A type of machines.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// Fraction of the servers.
    pub server_fraction: f64,
    /// The weight that the list states.
    pub listed_weight: f64,
    /// Work per second of a warm server: of the slowest and the fastest one.
    pub speed: RangeInclusive<f64>,
}

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Without a fault.
    Healthy,
    /// Slower by this factor.
    Slow(f64),
    /// It pauses regularly.
    Pausing {
        /// Time from the start of one pause to that of the next, in seconds.
        interval: Time,
        /// Duration of a pause, in seconds.
        duration: Time,
    },
    /// It accepts requests and sends no response.
    Unresponsive,
    /// It responds at once with an error.
    Failing,
}

/// A fault or a change of load during a run. Fractions are of all nodes or servers; times are in seconds.
#[derive(Clone, Debug)]
pub enum Disturbance {
    /// Nodes are killed at once; they start again with the list that they had.
    KillNodes {
        /// Fraction of the nodes.
        fraction: f64,
        /// For how long they are down.
        down_for: Time,
    },
    /// All nodes and servers of a zone are lost and start again, the servers with slow start.
    LoseZone {
        /// The zone.
        zone: u16,
        /// For how long it is lost.
        down_for: Time,
    },
    /// Servers drain and end; as many new ones start under new names.
    ReplaceServers {
        /// Fraction of the servers.
        fraction: f64,
        /// When the new ones start.
        after: Time,
    },
    /// Servers end without draining.
    EndServers {
        /// Fraction of the servers.
        fraction: f64,
    },
    /// The list repeatedly states of servers that they drain, and that they don't.
    FlapEntries {
        /// Fraction of the servers.
        fraction: f64,
        /// How often each is stated.
        count: u32,
    },
    /// Servers have a fault.
    ServerFault {
        /// Fraction of the servers.
        fraction: f64,
        /// How they behave.
        behavior: ServerBehavior,
        /// For how long.
        duration: Time,
    },
    /// The endpoint list reports no changes.
    DiscoveryOutage {
        /// For how long.
        duration: Time,
    },
    /// Nodes get no requests.
    IdleNodes {
        /// Fraction of the nodes.
        fraction: f64,
        /// For how long.
        duration: Time,
    },
    /// All nodes are restarted in steps: each completes its requests, ends, and starts again.
    RollingRestart {
        /// Number of steps.
        steps: u32,
        /// Time between two steps.
        interval: Time,
        /// For how long a node is down.
        down_for: Time,
    },
    /// A zone is partitioned from the others; clients still reach the nodes of both.
    Partition {
        /// The zone.
        zone: u16,
        /// For how long.
        duration: Time,
    },
    /// Responses are lost with their connections.
    LostResponses {
        /// Fraction of the responses.
        fraction: f64,
        /// For how long.
        duration: Time,
    },
    /// More requests arrive.
    TrafficSurge {
        /// How many times as many.
        factor: f64,
        /// For how long.
        duration: Time,
    },
    /// The traffic shifts between zones.
    TrafficShift {
        /// Fraction of the clients in the first zone from now on.
        first_zone_fraction: f64,
    },
    /// All servers are slower, since a common dependency is slow.
    CommonSlowdown {
        /// How many times slower.
        factor: f64,
        /// For how long.
        duration: Time,
    },
}

/// A disturbance with its time.
#[derive(Clone, Debug)]
pub struct ScheduledDisturbance {
    /// From the start of the run, in seconds.
    pub at: Time,
    /// What happens.
    pub disturbance: Disturbance,
}

/// The fractions of all that are in the first of two zones.
#[derive(Clone, Copy, Debug)]
pub struct FirstZoneFractions {
    /// Of the nodes, and of the clients.
    pub nodes: f64,
    /// Of the servers.
    pub servers: f64,
}

/// One-way latencies between nodes and servers, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Within a zone.
    pub same_zone: Time,
    /// Between zones.
    pub cross_zone: Time,
}

/// How a long queue slows a server down.
#[derive(Clone, Copy, Debug)]
pub struct QueueSlowdown {
    /// Length of the queue beyond which each further request slows the server down.
    pub threshold: usize,
    /// How much each request does, as a fraction of its speed.
    pub per_request: f64,
}

/// The slow start of a server.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Time until it has its full capacity, in seconds.
    pub duration: Time,
    /// It has it sooner after this fraction of the work that it could do in that time; never for 1 and more.
    pub work_fraction: f64,
}

/// When a server in its slow start is overloaded, which ends it.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// At this multiple of its capacity.
    pub factor: f64,
    /// Over this window, in seconds.
    pub window: Time,
}

/// How clients retry.
#[derive(Clone, Copy, Debug)]
pub struct ClientRetries {
    /// Maximum number of retries.
    pub max: u32,
    /// Pause before each, in seconds.
    pub pause: Time,
    /// Fraction of the clients that respect `Retry-After`.
    pub respecting_retry_after: f64,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Number of nodes that use the servers.
    pub nodes: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// The first of two zones.
    pub first_zone: FirstZoneFractions,
    /// How long clients send requests, in seconds.
    pub duration: Time,
    /// Offered work, as a fraction of what the warm servers can do.
    pub load: f64,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The types of machines.
    pub machine_types: Vec<MachineType>,
    /// Weight of the first node at the front end, relative to the others.
    pub first_node_weight: f64,
    /// Nodes use the whole list, as their settings do not state the quotas of tenants.
    pub is_subsetting_disabled: bool,
    /// Latencies of the network.
    pub latency: Latency,
    /// Maximum number of requests in the queue of a server: the range over all servers.
    pub queue_capacity: RangeInclusive<usize>,
    /// How a long queue slows a server down.
    pub queue_slowdown: QueueSlowdown,
    /// Maximum number of connections of a server.
    pub max_connections: u32,
    /// Work that a new connection costs a server, in seconds on a standard core.
    pub connection_work: f64,
    /// A connection that is not established after this time, in seconds, has failed.
    pub connect_timeout: Time,
    /// An idle connection is closed after this time, in seconds.
    pub idle_timeout: Time,
    /// The slow start of servers.
    pub slow_start: SlowStart,
    /// When a server in its slow start is overloaded.
    pub overload: Overload,
    /// Minimum delay of the notification of a change, in seconds; the maximum is twice as long.
    pub notification_delay: Time,
    /// How long the front end goes on sending to a node that is down, in seconds.
    pub failover_delay: Time,
    /// Timeout of a client's attempt, as a ratio to the deadline.
    pub client_timeout_ratio: f64,
    /// Fraction of the clients whose timeout is a third of that.
    pub impatient_fraction: f64,
    /// How clients retry.
    pub client_retries: ClientRetries,
    /// The disturbances.
    pub disturbances: Vec<ScheduledDisturbance>,
}

impl Plan {
    /// Adds a disturbance.
    pub fn disturb(&mut self, at: Time, disturbance: Disturbance) {
        self.disturbances
            .push(ScheduledDisturbance { at, disturbance });
    }
}
