//! The content of a settings file, independent of its syntax.
//!
//! [`crate::reader`] builds a [`Model`], [`mod@crate::check`] validates it, and the node reads it through [`crate::Plan`].
//! Each item has the line that it was read from, for errors. Durations are in seconds.

mod origin;

pub use origin::{Fault, Faults, Located, Origin};

use reelfall_balancer::interface::{ServerState, Time};
use reelfall_routing::limits::ServiceLimits;
use reelfall_routing::table::HostPattern;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The content of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The file.
    pub origin: Origin,
    /// Settings of the process as a whole.
    pub process: Located<Process>,
    /// The addresses where clients connect.
    pub listeners: Vec<Located<Listener>>,
    /// The address of the management interface.
    pub management: Option<Located<Management>>,
    /// The fleet that this node is a member of.
    pub fleet: Option<Located<Fleet>>,
    /// The registries that services and this node use.
    pub registries: Vec<Located<Registry>>,
    /// The services in the order of the file.
    pub services: Vec<Located<Service>>,
}

/// The management interface, and where its state is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Management {
    /// The address; only operators should be able to reach it.
    pub address: SocketAddr,
    /// The folder where bans and drains are stored; without one they last as long as the process.
    pub folder: Option<PathBuf>,
}

/// The membership of this node in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The name of the fleet, the same for all of its nodes.
    pub name: String,
    /// The name of this node, unique in the fleet.
    pub node: String,
    /// The address where this node receives datagrams of its peers.
    pub listen: SocketAddr,
    /// The address where peers reach this node, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The file with the key of the fleet.
    pub key_file: PathBuf,
    /// Intervals, quorum and seeds.
    pub rules: reelfall_cluster::fleet::Config,
    /// Leases for tasks that one node executes for all.
    pub leases: Option<Leases>,
}

/// Leases of a fleet: the nodes that store them, and the tasks that they guard.
#[derive(Clone, Debug, PartialEq)]
pub struct Leases {
    /// The nodes that store them, the same for all nodes and in the same order.
    pub keepers: Vec<String>,
    /// The folder where this node stores them, if it is one of those.
    pub folder: Option<PathBuf>,
    /// The time after which a lease expires unless it is renewed.
    pub duration: Time,
    /// The maximum relative error of the rate of any node's clock.
    pub drift: f64,
    /// The calls that the lease holder makes for all nodes.
    pub calls: Vec<Call>,
}

/// A periodic HTTP request that one node of the fleet makes: the lease holder.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The name of the lease.
    pub name: String,
    /// The address of the server.
    pub address: SocketAddr,
    /// The path of the `POST`.
    pub path: String,
    /// The interval.
    pub every: Time,
}

/// A ZooKeeper-like registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Registry {
    /// The name by which services refer to it.
    pub name: String,
    /// The addresses of its members; at least one.
    pub members: Vec<SocketAddr>,
    /// The time after which it expires a silent session of this node.
    pub session_timeout: Time,
    /// The time after which an attempt to connect to a member fails.
    pub connect_timeout: Time,
    /// The time without a connection after which the last known registry state is discarded.
    pub forget_after: Time,
    /// The file with `name:password`, for the scheme `digest`.
    pub digest_file: Option<PathBuf>,
    /// The entry that this node registers.
    pub entry: Option<Located<NodeEntry>>,
}

/// The entry of this node in a registry.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// The path; its parent has to exist.
    pub path: String,
    /// The name of the node.
    pub name: String,
    /// The address where the node accepts requests; by default that of its first listener.
    pub address: Option<String>,
    /// The site of the node.
    pub site: Option<String>,
    /// Whether only this node may change the entry; otherwise everybody may.
    pub guarded: bool,
}

/// The entries of a registry that list a service's servers.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySource {
    /// The name of the registry.
    pub registry: String,
    /// The path whose children are the entries.
    pub path: String,
    /// The servers to use until the registry has been read.
    pub initial_servers: Vec<Located<Server>>,
    /// Limits, intervals, and the rule for outdated lists.
    pub follower: reelfall_registry_client::follow::FollowerConfig,
}

/// Settings of the process as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    /// Maximum number of file descriptors.
    pub max_descriptors: usize,
    /// Maximum memory in bytes.
    pub max_memory: u64,
    /// Maximum number of client connections; by default what the descriptors allow.
    pub max_clients: Option<usize>,
    /// Maximum number of connections to one server, over all pools that list it.
    pub max_connections_per_server: Option<usize>,
    /// The zone of this node.
    pub zone: Option<String>,
    /// The number of nodes that send to the same servers, this one included.
    pub node_count: u32,
}

/// An address where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The name by which routes refer to it.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
}

/// Whether a service accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// It accepts requests.
    Serving,
    /// It completes the requests in flight and rejects new ones.
    Draining,
}

/// A service: its routes, limits, classes and servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name, unique in the file.
    pub name: String,
    /// Whether it accepts requests.
    pub state: ServiceState,
    /// The source of its list of servers.
    pub source: Source,
    /// Its share of requests, connections and memory, and its request rate.
    pub limits: Located<ServiceLimits>,
    /// GraphQL settings, if it is a GraphQL service.
    pub graphql: Option<Located<GraphQl>>,
    /// Limits of attempts and of connections to servers.
    pub attempts: AttemptLimits,
    /// How its servers warm up.
    pub slow_start: SlowStart,
    /// The classes of its requests; at least one.
    pub classes: Vec<Located<Class>>,
    /// The tenants that have a quota.
    pub tenants: Vec<Located<Tenant>>,
    /// The routes that lead to it.
    pub routes: Vec<Located<Route>>,
}

/// The source of a service's list of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The list is part of the file.
    Static(Vec<Located<Server>>),
    /// The platform's discovery service at this address.
    Discovery(SocketAddr),
    /// Entries of a registry.
    Registry(RegistrySource),
}

/// A server of a static list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The name, unique in its list.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
    /// The zone.
    pub zone: Option<String>,
    /// The machine type.
    pub machine_type: Option<String>,
    /// The capacity relative to the other servers.
    pub weight: Option<f64>,
    /// Whether it accepts requests.
    pub state: ServerState,
}

/// Limits of a service's attempts and of its connections to servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptLimits {
    /// Maximum number of attempts for one request, the first included.
    pub max: u32,
    /// The number of retries that each first attempt adds to the retry budget.
    pub retry_budget_ratio: f64,
    /// The time after which an attempt to connect to a server fails.
    pub connect_timeout: Time,
    /// The time after which the servers close idle connections.
    pub idle_timeout: Time,
    /// The maximum `Retry-After` of a rejection; 0 for none.
    pub max_retry_after: Time,
}

/// How the capacity of a server grows after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The fraction of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// The time after which it has its full capacity.
    pub duration: Time,
    /// The multiple of its current capacity above which it fails.
    pub overload_factor: f64,
    /// The time over which that load is measured.
    pub overload_window: Time,
}

/// Whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A second execution has no further effect.
    Idempotent,
    /// It must not be executed twice.
    AtMostOnce,
}

/// Settings of a GraphQL service.
#[derive(Clone, Debug, PartialEq)]
pub struct GraphQl {
    /// The classes of fields of the query root.
    pub query: BTreeMap<String, String>,
    /// The classes of fields of the mutation root.
    pub mutation: BTreeMap<String, String>,
    /// The class of all other fields of the query root.
    pub other_query: String,
    /// The class of all other fields of the mutation root.
    pub other_mutation: String,
    /// The estimated work of a field, in seconds on a standard core.
    pub field_work: Time,
    /// Maximum number of reads of a batch that are executed concurrently.
    pub max_parallel_reads: usize,
    /// Limits of a request.
    pub limits: reelfall_graphql::Limits,
}

/// A class of requests with the same objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name, unique in its service.
    pub name: String,
    /// Whether they may be executed twice.
    pub retry_safety: RetrySafety,
    /// The response time to aim for.
    pub latency_objective: Time,
    /// The response time after which a request fails.
    pub deadline: Time,
    /// The weight relative to the other classes when load is shed.
    pub priority_weight: f64,
    /// The fraction of the weight that a response between objective and deadline is worth.
    pub late_response_weight: f64,
}

/// A tenant with a quota of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name, as in the header `X-Account`.
    pub name: String,
    /// The quota in requests per second.
    pub quota: f64,
}

/// A rule that leads requests to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the listener; `None` matches any.
    pub listener: Option<String>,
    /// The host pattern.
    pub host: HostPattern,
    /// The path prefix, as `reelfall_routing::table::prefix` gives it.
    pub path: Box<str>,
    /// The methods; an empty list matches any.
    pub methods: Vec<String>,
    /// The class that the request has to state; `None` matches any.
    pub class: Option<String>,
    /// The class that its requests get, whatever they state.
    pub assign: Option<String>,
}
