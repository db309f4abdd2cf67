//! What a settings file says.

use reelfall_balancer::interface::{ServerState, Time};
use reelfall_routing::limits::Allowed;
use reelfall_routing::table::Host;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Deref;
use std::path::PathBuf;
use std::sync::Arc;
use thiserror::Error;

/// Where something was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The file.
    pub file: Arc<str>,
    /// The line, from 1; 0 for the file as a whole.
    pub line: u32,
}

impl Origin {
    /// A file as a whole.
    pub fn file(name: &str) -> Origin {
        Origin {
            file: name.into(),
            line: 0,
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.file),
            line => write!(f, "{}:{line}", self.file),
        }
    }
}

/// Something with the place where it was read. Two are equal if what they say is, wherever it was said.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// What was said.
    pub value: T,
    /// Where.
    pub origin: Origin,
}

impl<T> Deref for Located<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T: PartialEq> PartialEq for Located<T> {
    fn eq(&self, other: &Self) -> bool {
        self.value == other.value
    }
}

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{origin}: {mistake}")]
pub struct Fault {
    /// Where it stands.
    pub origin: Origin,
    /// What it is.
    pub mistake: String,
}

/// All mistakes of a file; at least one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (n, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if n > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

/// A whole file.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// The file.
    pub origin: Origin,
    /// What concerns the process as a whole.
    pub process: Located<Process>,
    /// Where clients connect.
    pub listeners: Vec<Located<Listener>>,
    /// Where operators call.
    pub management: Option<Located<Management>>,
    /// The fleet that this node is part of.
    pub fleet: Option<Located<Fleet>>,
    /// Registries that services follow.
    pub registries: Vec<Located<Registry>>,
    /// The services, in their order in the file.
    pub services: Vec<Located<Service>>,
}

/// Where operators call, and where their word is written down.
#[derive(Clone, Debug, PartialEq)]
pub struct Management {
    /// The address; nobody but operators should reach it.
    pub address: SocketAddr,
    /// The folder that their word is kept in; without one it lasts as long as the process.
    pub folder: Option<PathBuf>,
}

/// A node's part in a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The fleet's name, alike for all of its nodes.
    pub name: String,
    /// This node's name, unlike all others'.
    pub node: String,
    /// Where datagrams of the others are taken.
    pub listen: SocketAddr,
    /// Where the others send them, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The file with the fleet's key.
    pub key_file: PathBuf,
    /// How the node takes part.
    pub rules: reelfall_cluster::fleet::Config,
    /// Leases for tasks that one node does for all.
    pub leases: Option<Leases>,
}

/// Leases of a fleet: who keeps them, and what is done by them.
#[derive(Clone, Debug, PartialEq)]
pub struct Leases {
    /// The nodes that keep them, alike for all nodes and in the same order.
    pub keepers: Vec<String>,
    /// Where this node keeps them, if it does.
    pub folder: Option<PathBuf>,
    /// How long a lease lasts without being renewed, in seconds.
    pub duration: Time,
    /// The most by which a clock of any node runs too fast or too slow, as a share.
    pub drift: f64,
    /// What one node calls for all.
    pub calls: Vec<Call>,
}

/// An address that one node of the fleet calls again and again.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The lease's name.
    pub name: String,
    /// Where.
    pub address: SocketAddr,
    /// The path of the `POST`.
    pub path: String,
    /// How often, in seconds.
    pub every: Time,
}

/// A registry in the manner of ZooKeeper.
#[derive(Clone, Debug, PartialEq)]
pub struct Registry {
    /// Its name.
    pub name: String,
    /// Its members; at least one.
    pub members: Vec<SocketAddr>,
    /// How long it keeps a session of this node without a word, in seconds.
    pub session_timeout: Time,
    /// A member that does not answer by then is passed over, in seconds.
    pub connect_timeout: Time,
    /// After so long without any member's leave, the state that was seen counts no longer, in seconds.
    pub forget_after: Time,
    /// The file with `name:password`, for the scheme `digest`.
    pub digest_file: Option<PathBuf>,
    /// The entry that this node has there.
    pub entry: Option<Located<NodeEntry>>,
}

/// This node's own entry in a registry.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// Its path; what is above it is there already.
    pub path: String,
    /// The node's name.
    pub name: String,
    /// Where the node takes requests; by default its first listener.
    pub address: Option<String>,
    /// Its site.
    pub site: Option<String>,
    /// Others may read it, and only this node change it; otherwise everybody may do everything.
    pub guarded: bool,
}

/// The entries of a registry that a service follows.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistrySource {
    /// The registry, by its name.
    pub registry: String,
    /// The path that the entries are under.
    pub path: String,
    /// Servers that are taken to be there until the registry has been heard.
    pub initial_servers: Vec<Located<Server>>,
    /// Bounds and rules.
    pub limits: reelfall_registry_client::follow::Limits,
}

/// What concerns the process as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Process {
    /// File descriptors that it may hold.
    pub max_descriptors: usize,
    /// Memory that it may use, in bytes.
    pub max_memory: u64,
    /// Connections of clients; by default what the descriptors leave.
    pub max_clients: Option<usize>,
    /// Connections to one server, over all pools that list it.
    pub max_connections_per_server: Option<usize>,
    /// The zone of this node.
    pub zone: Option<String>,
    /// How many nodes send to the same servers.
    pub node_count: u32,
}

/// An address where clients connect.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// Whether a service takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// It does.
    Serving,
    /// It finishes what it has and refuses what comes.
    Draining,
}

/// One service: what reaches it, what it may hold, and the servers behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether it takes requests.
    pub state: ServiceState,
    /// Where its list of servers comes from.
    pub source: Source,
    /// What it may hold.
    pub limits: Located<Allowed>,
    /// What its requests are, if they are not plain ones.
    pub graphql: Option<Located<GraphQl>>,
    /// Attempts and connections.
    pub attempts: AttemptLimits,
    /// How its servers bear a start.
    pub slow_start: SlowStart,
    /// What kinds of requests it knows; at least one.
    pub classes: Vec<Located<Class>>,
    /// Whose requests are held to a share.
    pub tenants: Vec<Located<Tenant>>,
    /// What reaches it.
    pub routes: Vec<Located<Route>>,
}

/// Where a list of servers comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The file.
    Static(Vec<Located<Server>>),
    /// The discovery at an address, as the platform has it.
    Discovery(SocketAddr),
    /// Ephemeral entries of a registry.
    Registry(RegistrySource),
}

/// A server in a static list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine kind.
    pub machine_type: Option<String>,
    /// Its size against the others'.
    pub weight: Option<f64>,
    /// Whether it takes requests.
    pub state: ServerState,
}

/// Attempts and connections of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptLimits {
    /// Attempts for one request, the first included.
    pub max: u32,
    /// Further attempts earned by each first one.
    pub retry_budget_ratio: f64,
    /// A connection is up by then, in seconds.
    pub connect_timeout: Time,
    /// The servers close idle connections after this time, in seconds.
    pub idle_timeout: Time,
    /// The longest advice on when to come back, in seconds; 0 for none.
    pub max_retry_after: Time,
}

/// How servers bear a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that a fresh server has.
    pub initial_capacity: f64,
    /// It is warm after this time, in seconds.
    pub duration: Time,
    /// Sent more than this multiple of its present capacity, it falls over.
    pub overload_factor: f64,
    /// The time over which that counts, in seconds.
    pub overload_window: Time,
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Nothing.
    Idempotent,
    /// It must never happen.
    AtMostOnce,
}

/// How a service takes GraphQL over HTTP.
#[derive(Clone, Debug, PartialEq)]
pub struct GraphQl {
    /// Fields of the query root and their classes.
    pub query: BTreeMap<String, String>,
    /// Fields of the mutation root and their classes.
    pub mutation: BTreeMap<String, String>,
    /// The class of all other fields of the query root.
    pub other_query: String,
    /// The class of all other fields of the mutation root.
    pub other_mutation: String,
    /// What a field is as work, in seconds on a standard core.
    pub field_work: Time,
    /// How many reads of a batch run at once.
    pub max_parallel_reads: usize,
    /// What a request may hold.
    pub limits: reelfall_graphql::Limits,
}

/// A kind of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a second run would do.
    pub retry_safety: RetrySafety,
    /// Wanted within, in seconds.
    pub latency_objective: Time,
    /// Given up after, in seconds.
    pub deadline: Time,
    /// What one is worth against the others.
    pub priority_weight: f64,
    /// Share of the worth that an answer between aim and deadline earns.
    pub late_response_weight: f64,
}

/// Somebody whose requests are held to a share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name, as in `X-Account`.
    pub name: String,
    /// Requests a second within the share.
    pub quota: f64,
}

/// What reaches a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The listener by its name; any if none.
    pub listener: Option<String>,
    /// The host.
    pub host: Host,
    /// The path prefix, as `reelfall_routing::table::prefix` gives it.
    pub path: Box<str>,
    /// The methods; any if none.
    pub methods: Vec<String>,
    /// The class that a request has to state; any if none.
    pub class: Option<String>,
    /// The class that its requests have, whatever they state.
    pub assign: Option<String>,
}
