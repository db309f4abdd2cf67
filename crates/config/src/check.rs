//! Validates a model and builds a [`Plan`] from it.
//!
//! | module | checks |
//! | --- | --- |
//! | [`fleet`] | the membership in a fleet, and leases |
//! | [`registries`] | registries, and services that follow them |
//! | [`services`] | the servers, classes, tenants, attempts and limits of services |
//! | [`graphql`] | the classes of GraphQL fields |
//! | [`routes`] | routes; builds the route table |
//! | [`plan`] | (the result of the checks) |
//!
//! Names are looked up in hash maps, so that the time of a check is linear in the size of the file.

mod fleet;
mod graphql;
mod plan;
mod registries;
mod routes;
mod services;

pub use graphql::{graphql_classes, GraphQlClassesError};
pub use plan::{Plan, RouteTarget};

use crate::model::{ConfigError, ConfigErrors, Located, Model, Origin, Process};
use reelfall_balancer::interface as core;
use reelfall_routing::limits::ProcessResources;
use std::collections::hash_map::{Entry, HashMap};
use std::net::SocketAddr;

/// Methods that a route can match.
pub const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Maximum length of the name of a service, server, class, tenant or listener, in bytes.
pub const MAX_NAME_LEN: usize = 128;
/// Maximum deadline of a class, in seconds.
pub const MAX_DEADLINE: f64 = 60.0;
/// Maximum number of services.
pub const MAX_SERVICES: usize = 4_096;
/// Maximum number of listeners.
pub const MAX_LISTENERS: usize = 256;
/// Maximum number of classes of a service.
pub const MAX_CLASSES: usize = 256;
/// Maximum number of tenants of a service, limited by the range of tenant ids.
pub const MAX_TENANTS: usize = core::TenantId::MAX as usize;
/// Maximum number of routes, over all services.
pub const MAX_ROUTES: usize = 100_000;

/// Descriptors that are available neither for clients nor for servers: those of listeners, discovery and the runtime, and
/// a margin.
const RESERVED_DESCRIPTORS: usize = 24;

const MIN_DESCRIPTORS: usize = 64;
const MIN_MEMORY_BYTES: u64 = 16 << 20;
const MIN_CLIENTS: usize = 8;
/// The percentage of the available descriptors that is reserved for connections to servers.
const SERVER_CONNECTION_PERCENT: usize = 43;
/// The memory for bodies per MiB of the process: a quarter.
const BODY_KIB_PER_MIB: usize = 256;
const MIN_BODY_KIB: usize = 1024;

/// How the descriptors and the memory of a process are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessShares {
    /// Connections of clients.
    pub client_connections: usize,
    /// Connections to servers.
    pub server_connections: usize,
    /// Memory for bodies, in KiB.
    pub body_memory_kib: usize,
}

impl ProcessShares {
    /// Divides the descriptors and the memory of a process.
    ///
    /// Each open request needs a client connection and a server connection; attempts that outlive their request need
    /// further server connections. Descriptors that are not for server connections are for clients, including those
    /// without an open request. A quarter of the memory is for bodies.
    pub fn of_process(descriptors: usize, memory_mib: usize) -> ProcessShares {
        let available = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CLIENTS);
        let server_connections = available * SERVER_CONNECTION_PERCENT / 100;
        ProcessShares {
            client_connections: available - server_connections,
            server_connections,
            body_memory_kib: memory_mib
                .saturating_mul(BODY_KIB_PER_MIB)
                .max(MIN_BODY_KIB),
        }
    }
}

/// Collects the errors that are found in a model.
struct Checker {
    errors: Vec<ConfigError>,
}

impl Checker {
    /// Adds an error.
    fn report(&mut self, origin: &Origin, message: String) {
        self.errors.push(ConfigError {
            origin: origin.clone(),
            message,
        });
    }

    /// Adds an error unless the condition `holds`.
    fn require(&mut self, holds: bool, origin: &Origin, message: impl FnOnce() -> String) {
        if !holds {
            self.report(origin, message());
        }
    }

    /// Requires that names are valid and unique; `kind` is the kind of item in messages.
    fn require_unique_names<'a, T: 'a>(
        &mut self,
        kind: &str,
        items: impl IntoIterator<Item = &'a Located<T>>,
        name: impl Fn(&'a T) -> &'a str,
    ) {
        let mut seen: HashMap<&str, &Origin> = HashMap::new();
        for item in items {
            let name = name(&item.value);
            self.require(is_valid_name(name), &item.origin, || {
                format!("invalid {kind} name `{name}`: use letters, digits, `-`, `_` and `.`")
            });
            if let Some(first) = seen.insert(name, &item.origin) {
                self.report(
                    &item.origin,
                    format!(
                        "duplicate {kind} `{name}`: first defined at line {}",
                        first.line
                    ),
                );
            }
        }
    }

    /// Requires that addresses are unique; `key` returns the name and the address of an item.
    fn require_unique_addresses<'a, T: 'a>(
        &mut self,
        kind: &str,
        items: impl IntoIterator<Item = &'a Located<T>>,
        key: impl Fn(&'a T) -> (&'a str, SocketAddr),
    ) {
        let mut first_names = HashMap::new();
        for item in items {
            let (name, address) = key(&item.value);
            match first_names.entry(address) {
                Entry::Vacant(entry) => {
                    entry.insert(name);
                }
                Entry::Occupied(entry) => {
                    let first = entry.get();
                    self.report(
                        &item.origin,
                        format!("duplicate address {address}: already used by {kind} `{first}`"),
                    );
                }
            }
        }
    }
}

/// Whether a name consists of 1 to [`MAX_NAME_LEN`] letters, digits, `-`, `_` and `.`.
fn is_valid_name(name: &str) -> bool {
    let is_valid_byte = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_LEN && name.bytes().all(is_valid_byte)
}

/// Validates a model.
///
/// # Errors
/// All errors of the model, in the order of their lines. The sum of the reservations, and ambiguous routes, are checked
/// only if nothing else was found before.
pub fn check(model: Model) -> Result<Plan, ConfigErrors> {
    let mut checker = Checker { errors: Vec::new() };
    let capacity = check_process(&mut checker, &model.process);
    check_listeners(&mut checker, &model);
    registries::check_registries(&mut checker, &model);
    fleet::check_fleet(&mut checker, &model);
    services::check_services(&mut checker, &model);
    services::check_shared_servers(&mut checker, &model);
    services::check_limits(&mut checker, &model, capacity.totals);
    let routes = routes::check_routes(&mut checker, &model);
    match routes.table {
        Some(route_table) if checker.errors.is_empty() => Ok(Plan {
            model,
            route_table,
            route_targets: routes.targets,
            route_conditions: routes.conditions,
            resources: capacity.totals,
            max_clients: capacity.max_clients,
        }),
        _ => {
            checker.errors.sort_by_key(|error| error.origin.line);
            Err(ConfigErrors(checker.errors))
        }
    }
}

/// The capacity of a process for clients and services.
struct ProcessCapacity {
    /// Maximum number of client connections.
    max_clients: usize,
    /// The resources that all services share.
    totals: ProcessResources,
}

/// Checks the settings of the process and derives its capacity.
fn check_process(checker: &mut Checker, process: &Located<Process>) -> ProcessCapacity {
    let origin = &process.origin;
    checker.require(process.max_descriptors >= MIN_DESCRIPTORS, origin, || {
        "descriptors: must be at least 64".to_owned()
    });
    checker.require(process.max_memory >= MIN_MEMORY_BYTES, origin, || {
        "memory: must be at least 16MiB".to_owned()
    });
    checker.require(process.node_count > 0, origin, || {
        "nodes: must be at least 1, because this node counts".to_owned()
    });
    checker.require(
        process.max_connections_per_server != Some(0),
        origin,
        || "server_connections: must be at least 1".to_owned(),
    );
    let memory_mib = (process.max_memory >> 20) as usize;
    let shares = ProcessShares::of_process(process.max_descriptors, memory_mib);
    let max_clients = process.max_clients.unwrap_or(shares.client_connections);
    let available = process.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    checker.require(
        max_clients >= MIN_CLIENTS && max_clients + shares.server_connections <= available,
        origin,
        || {
            format!(
                "clients: {max_clients} is not between {MIN_CLIENTS} and {}, which the descriptors allow",
                process
                    .max_descriptors
                    .saturating_sub(RESERVED_DESCRIPTORS + shares.server_connections)
            )
        },
    );
    ProcessCapacity {
        max_clients,
        totals: ProcessResources {
            // Further clients can stay connected without an open request.
            open_requests: max_clients.min(shares.server_connections) as u64,
            connections: shares.server_connections as u64,
            // One share for the bodies of requests and one for those of responses.
            memory_kib: 2 * shares.body_memory_kib as u64,
        },
    }
}

fn check_listeners(checker: &mut Checker, model: &Model) {
    checker.require(!model.listeners.is_empty(), &model.origin, || {
        "no listeners: add [[listener]] with a name and an address".to_owned()
    });
    checker.require(
        model.listeners.len() <= MAX_LISTENERS,
        &model.origin,
        || {
            format!(
                "too many listeners: {}, but at most {MAX_LISTENERS} are allowed",
                model.listeners.len()
            )
        },
    );
    checker.require_unique_names("listener", &model.listeners, |l| &l.name);
    // For port 0, the system assigns a different port to each listener.
    let fixed = model.listeners.iter().filter(|l| l.address.port() != 0);
    checker.require_unique_addresses("listener", fixed, |l| (&l.name, l.address));
}

/// The index of each name; for duplicates, that of the first.
fn indices<'a>(names: impl IntoIterator<Item = &'a str>) -> HashMap<&'a str, usize> {
    let mut indices = HashMap::new();
    for (index, name) in names.into_iter().enumerate() {
        indices.entry(name).or_insert(index);
    }
    indices
}
