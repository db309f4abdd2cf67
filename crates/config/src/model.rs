//! The content of a settings file, independent of its syntax.
//!
//! [`crate::reader`] builds a [`Model`], [`mod@crate::check`] validates it, and the node reads it through [`crate::Plan`].
//! Each item has its line in the file, which errors report. Durations are in seconds.

mod origin;

pub use origin::{ConfigError, ConfigErrors, Located, Origin};

use reelfall_balancer::interface::{ServerState, Time};
use reelfall_routing::limits::ServiceLimits;
use reelfall_routing::table::HostPattern;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The content of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The file as a whole.
    pub origin: Origin,
    /// Settings of the process as a whole.
    pub process: Located<Process>,
    /// The addresses where clients connect.
    pub listeners: Vec<Located<Listener>>,
    /// The address of the management interface.
    pub management: Option<Located<Management>>,
    /// The fleet that this node is a member of.
    pub fleet: Option<Located<Fleet>>,
    /// The registries that services follow or that this node registers in.
    pub registries: Vec<Located<Registry>>,
    /// The services in the order of the file.
    pub services: Vec<Located<Service>>,
}

/// The management interface, and where the state that operators set through it is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct Management {
    /// The address where it listens; only operators should be able to reach it.
    pub address: SocketAddr,
    /// The directory where bans and drains are stored; `None` if they last only as long as the process.
    pub state_dir: Option<PathBuf>,
}

/// The membership of this node in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The name of the fleet, the same for all of its nodes.
    pub name: String,
    /// The name of this node, unique in the fleet.
    pub node: String,
    /// The address where this node receives datagrams from its peers.
    pub listen: SocketAddr,
    /// The address where peers reach this node, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The file that contains the key of the fleet.
    pub key_file: PathBuf,
    /// The intervals, quorum and seeds of the membership protocol.
    pub config: reelfall_cluster::fleet::Config,
    /// Leases for tasks that one node executes for the whole fleet.
    pub leases: Option<Leases>,
}

/// Leases of a fleet: the keepers that store them, and the tasks that require one.
#[derive(Clone, Debug, PartialEq)]
pub struct Leases {
    /// The names of the nodes that store the leases, in the same order at all nodes.
    pub keepers: Vec<String>,
    /// The directory where this node stores leases, if it is a keeper.
    pub state_dir: Option<PathBuf>,
    /// The time after which a lease expires unless it is renewed.
    pub duration: Time,
    /// The maximum relative error of the rate of any node's clock.
    pub drift: f64,
    /// The calls that lease holders make for the whole fleet.
    pub calls: Vec<Call>,
}

/// A periodic HTTP request that only the holder of its lease makes.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The name of the lease.
    pub name: String,
    /// The address of the server.
    pub address: SocketAddr,
    /// The path of the `POST`.
    pub path: String,
    /// The time between two requests.
    pub interval: Time,
}

/// A ZooKeeper-like registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Registry {
    /// The name by which services refer to it.
    pub name: String,
    /// The addresses of its members; at least one.
    pub members: Vec<SocketAddr>,
    /// The time without messages after which the registry expires a session of this node.
    pub session_timeout: Time,
    /// The time after which an attempt to connect to a member fails.
    pub connect_timeout: Time,
    /// The time without a connection after which the last known state of the registry is discarded.
    pub forget_after: Time,
    /// The file that contains `name:password` for the authentication scheme `digest`.
    pub digest_file: Option<PathBuf>,
    /// The entry that this node registers.
    pub entry: Option<Located<NodeEntry>>,
}

/// The entry of this node in a registry.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// The path of the entry; its parent has to exist.
    pub path: String,
    /// The name of the node.
    pub name: String,
    /// The address where the node accepts requests; by default that of its first listener.
    pub address: Option<String>,
    /// The site of the node.
    pub site: Option<String>,
    /// Whether only this node may change the entry; otherwise every client of the registry may.
    pub is_guarded: bool,
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
    /// Limits, intervals, and what happens when the list is outdated.
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
    /// The number of nodes that send to the same servers, including this one.
    pub node_count: u32,
}

/// An address where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// The name by which routes refer to it.
    pub name: String,
    /// The address where it listens.
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
    pub list_source: ListSource,
    /// Its quotas of requests, connections and memory, and its request rate.
    pub limits: Located<ServiceLimits>,
    /// The settings of a GraphQL service; `None` if it is not one.
    pub graphql: Option<Located<GraphQl>>,
    /// Limits of attempts and of connections to servers.
    pub attempts: AttemptLimits,
    /// The slow start of its servers.
    pub slow_start: SlowStart,
    /// The classes of its requests; at least one.
    pub classes: Vec<Located<Class>>,
    /// The tenants that have a quota of requests.
    pub tenants: Vec<Located<Tenant>>,
    /// The routes that select it.
    pub routes: Vec<Located<Route>>,
}

/// The source of a service's list of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum ListSource {
    /// A static list in the file.
    Static(Vec<Located<Server>>),
    /// The platform's discovery service at this address.
    Discovery(SocketAddr),
    /// The entries of a registry.
    Registry(RegistrySource),
}

/// A server of a static list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The name, unique in its list.
    pub name: String,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The zone where the server runs.
    pub zone: Option<String>,
    /// The machine type: the server kind.
    pub machine_type: Option<String>,
    /// The capacity relative to the other servers.
    pub weight: Option<f64>,
    /// Whether it accepts requests.
    pub state: ServerState,
}

/// Limits of a service's attempts and of its connections to servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptLimits {
    /// Maximum number of attempts for one request, including the first.
    pub max: u32,
    /// The number of retries that each first attempt adds to the retry budget.
    pub retry_budget_ratio: f64,
    /// The time after which an attempt to connect to a server fails.
    pub connect_timeout: Time,
    /// The time after which servers close idle connections.
    pub idle_timeout: Time,
    /// The maximum `Retry-After` of a rejected request; 0 to send none.
    pub max_retry_after: Time,
}

/// How the capacity of a server grows after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The fraction of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// The time after its start at which the server has its full capacity.
    pub duration: Time,
    /// The load above which the server fails, as a multiple of its current capacity.
    pub overload_factor: f64,
    /// The time over which that load is measured.
    pub overload_window: Time,
}

/// Whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A second execution has no further effect.
    Idempotent,
    /// The request must not be executed twice.
    AtMostOnce,
}

/// Settings of a GraphQL service.
#[derive(Clone, Debug, PartialEq)]
pub struct GraphQl {
    /// The class of each listed field of the query root.
    pub query_classes: BTreeMap<String, String>,
    /// The class of each listed field of the mutation root.
    pub mutation_classes: BTreeMap<String, String>,
    /// The class of all other fields of the query root.
    pub default_query_class: String,
    /// The class of all other fields of the mutation root.
    pub default_mutation_class: String,
    /// The estimated work of a field, in seconds on a standard core.
    pub field_work: Time,
    /// Maximum number of idempotent operations of a batch that are executed concurrently.
    pub max_parallel_reads: usize,
    /// Limits of a GraphQL request.
    pub limits: reelfall_graphql::Limits,
}

/// A class of requests that have the same objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name, unique in its service.
    pub name: String,
    /// Whether its requests may be executed twice.
    pub retry_safety: RetrySafety,
    /// The response time that should be met.
    pub latency_objective: Time,
    /// The response time after which a request fails.
    pub deadline: Time,
    /// The weight relative to other classes when load is shed.
    pub priority_weight: f64,
    /// The fraction of the weight that counts for a response between the objective and the deadline.
    pub late_response_weight: f64,
}

/// A tenant with a quota of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name, as sent in the header `X-Account`.
    pub name: String,
    /// The quota in requests per second.
    pub quota: f64,
}

/// The conditions under which a request is routed to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the listener that accepted the request; `None` matches any.
    pub listener: Option<String>,
    /// The hosts of the request.
    pub host: HostPattern,
    /// The path prefix, as returned by [`reelfall_routing::table::parse_path_prefix`].
    pub path_prefix: Box<str>,
    /// The methods; an empty list matches any.
    pub methods: Vec<String>,
    /// The class that the request has to state; `None` matches any.
    pub class: Option<String>,
    /// The class that the requests are assigned, whatever class they state.
    pub assigned_class: Option<String>,
}
