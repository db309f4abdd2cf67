//! The plan of a run: nodes, servers, clients, and scheduled disturbances. [`crate::world`] executes it.

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
    /// Priority weight per unit of work.
    pub priority_weight: f64,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
}

/// A type of machine that servers run on.
#[derive(Clone, Debug)]
pub struct MachineType {
    /// Fraction of the servers that are of this type.
    pub server_fraction: f64,
    /// The weight in the endpoint list.
    pub listed_weight: f64,
    /// Range of the work per second of servers after slow start.
    pub speed: RangeInclusive<f64>,
}

/// The fault of a server, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    /// Without a fault.
    Healthy,
    /// Slower by this factor.
    Slow(f64),
    /// It pauses periodically.
    Pausing {
        /// Time between the starts of two pauses, in seconds.
        interval: Time,
        /// Duration of a pause, in seconds.
        duration: Time,
    },
    /// It accepts requests but sends no responses.
    Unresponsive,
    /// It responds to every request with an error at once.
    Failing,
}

/// A fault or a change of load during a run. Fractions are of all nodes or servers; times are in seconds.
#[derive(Clone, Debug)]
pub enum Disturbance {
    /// Nodes are killed at once; they restart with the endpoint list that they had.
    KillNodes {
        /// Fraction of the nodes.
        fraction: f64,
        /// For how long they are down.
        down_for: Time,
    },
    /// All nodes and servers of a zone are lost and restart; the servers begin with slow start.
    LoseZone {
        /// The zone.
        zone: u16,
        /// For how long it is lost.
        down_for: Time,
    },
    /// Servers drain and end; the same number of new ones start under new names.
    ReplaceServers {
        /// Fraction of the servers.
        fraction: f64,
        /// Time until the new ones start.
        after: Time,
    },
    /// Servers end without draining.
    EndServers {
        /// Fraction of the servers.
        fraction: f64,
    },
    /// The endpoint list announces alternately that servers are draining and that they are up.
    FlapEntries {
        /// Fraction of the servers.
        fraction: f64,
        /// Number of alternations.
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
    /// Nodes receive no requests.
    IdleNodes {
        /// Fraction of the nodes.
        fraction: f64,
        /// For how long.
        duration: Time,
    },
    /// All nodes are restarted in steps: each completes its requests, ends, and restarts.
    RollingRestart {
        /// Number of steps.
        steps: u32,
        /// Time between two steps.
        interval: Time,
        /// For how long a node is down.
        down_for: Time,
    },
    /// A zone is partitioned from the other; clients still reach the nodes of both.
    Partition {
        /// The zone.
        zone: u16,
        /// For how long.
        duration: Time,
    },
    /// Responses are lost and their connections fail.
    LostResponses {
        /// Fraction of the responses.
        fraction: f64,
        /// For how long.
        duration: Time,
    },
    /// More requests arrive.
    TrafficSurge {
        /// Factor by which the request rate grows.
        factor: f64,
        /// For how long.
        duration: Time,
    },
    /// Traffic shifts between zones.
    TrafficShift {
        /// Fraction of the clients in the first zone from now on.
        first_zone_fraction: f64,
    },
    /// All servers are slower, as when a common dependency is slow.
    CommonSlowdown {
        /// Factor by which work takes longer.
        factor: f64,
        /// For how long.
        duration: Time,
    },
}

/// A disturbance with its time.
#[derive(Clone, Debug)]
pub struct ScheduledDisturbance {
    /// When it starts, in seconds since the start of the run.
    pub at: Time,
    /// What happens.
    pub disturbance: Disturbance,
}

/// The fractions of nodes, clients and servers that are in the first of two zones.
#[derive(Clone, Copy, Debug)]
pub struct FirstZoneFractions {
    /// Fraction of the nodes, and of the clients.
    pub nodes: f64,
    /// Fraction of the servers.
    pub servers: f64,
}

/// One-way latencies between nodes and servers, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// Between endpoints in the same zone.
    pub same_zone: Time,
    /// Between endpoints in different zones.
    pub cross_zone: Time,
}

/// How a long queue slows a server down.
#[derive(Clone, Copy, Debug)]
pub struct QueueSlowdown {
    /// Length of the queue beyond which each further request slows the server down.
    pub threshold: usize,
    /// Slowdown per further request: work takes longer by this fraction.
    pub per_request: f64,
}

/// The slow start of a server.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Capacity at the start, as a fraction of the full capacity.
    pub initial_capacity: f64,
    /// Time until the full capacity is reached, in seconds.
    pub duration: Time,
    /// The full capacity is reached earlier once the server has done this fraction of the work that it could do at full
    /// capacity in that time. Values of 1 and more disable this.
    pub work_fraction: f64,
}

/// The load at which a server in slow start is overloaded and ends.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Received work, as a multiple of the server's capacity.
    pub factor: f64,
    /// Length of the sliding window over which work is summed, in seconds.
    pub window: Time,
}

/// The retry policy of clients.
#[derive(Clone, Copy, Debug)]
pub struct ClientRetries {
    /// Maximum number of retries.
    pub max: u32,
    /// Pause before each, in seconds.
    pub pause: Time,
    /// Fraction of the clients that respect `Retry-After`.
    pub respecting_retry_after: f64,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The name that is printed with the results.
    pub name: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Number of nodes, all of which use the same servers.
    pub nodes: usize,
    /// Number of servers at the start.
    pub servers: usize,
    /// How much of the fleet is in the first of two zones.
    pub first_zone: FirstZoneFractions,
    /// How long clients send requests, in seconds.
    pub duration: Time,
    /// Offered work, as a fraction of the full capacity of all servers.
    pub load: f64,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The types of machines.
    pub machine_types: Vec<MachineType>,
    /// Weight of the first node at the front end, relative to each other node.
    pub first_node_weight: f64,
    /// If set, nodes use the whole endpoint list: their settings contain no tenant quotas, without which there is no
    /// subsetting.
    pub is_subsetting_disabled: bool,
    /// Network latencies.
    pub latency: Latency,
    /// Range from which the maximum queue length of each server is sampled.
    pub queue_capacity: RangeInclusive<usize>,
    /// How a long queue slows a server down.
    pub queue_slowdown: QueueSlowdown,
    /// Maximum number of connections of a server.
    pub max_connections: u32,
    /// Work of a server to accept a connection, in seconds on a standard core.
    pub connection_work: f64,
    /// Time after which the attempt to establish a connection fails, in seconds.
    pub connect_timeout: Time,
    /// Time after which an idle connection is closed, in seconds.
    pub idle_timeout: Time,
    /// Slow start of servers.
    pub slow_start: SlowStart,
    /// The load at which a server in slow start is overloaded.
    pub overload: Overload,
    /// Minimum delay until a node is notified of a change of the endpoint list, in seconds; the maximum is twice as long.
    pub notification_delay: Time,
    /// How long the front end still sends requests to a node that is down, in seconds.
    pub failover_delay: Time,
    /// Timeout of each attempt of a client, as a fraction of the deadline.
    pub client_timeout_ratio: f64,
    /// Fraction of the clients that use only a third of that timeout.
    pub impatient_fraction: f64,
    /// The retry policy of clients.
    pub client_retries: ClientRetries,
    /// Faults and changes of load during the run.
    pub disturbances: Vec<ScheduledDisturbance>,
}

impl Plan {
    /// Schedules a disturbance, in seconds since the start of the run.
    pub fn disturb(&mut self, at: Time, disturbance: Disturbance) {
        self.disturbances
            .push(ScheduledDisturbance { at, disturbance });
    }
}
