//! Holds a model against all that must be true of it, and makes a plan that a node can follow.
//!
//! What is looked up for each item of a list is kept by its key: a check takes time in proportion to the file.

mod fleet;
mod graphql;
mod plan;
mod registries;
mod routes;
mod services;

pub use graphql::graphql_classes;
pub use plan::{Goal, Plan};

use crate::model::{Fault, Faults, Located, Model, Origin};
use reelfall_balancer::interface as core;
use reelfall_routing::limits::Totals;
use std::collections::hash_map::{Entry, HashMap};
use std::net::SocketAddr;

/// Methods that a route can name.
pub const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Longest name of a service, server, class, member or listener, in bytes.
pub const NAME_MOST: usize = 128;
/// Longest deadline, in seconds: what holds a request longer is no request of this kind.
pub const DEADLINE_MOST: f64 = 60.0;
/// Most services.
pub const SERVICES_MOST: usize = 4_096;
/// Most listeners.
pub const LISTENERS_MOST: usize = 256;
/// Most classes of a service.
pub const CLASSES_MOST: usize = 256;
/// Most members of a service: as many as the decision module has numbers for.
pub const MEMBERS_MOST: usize = core::TenantId::MAX as usize;
/// Most routes of all services together.
pub const ROUTES_MOST: usize = 100_000;

/// Descriptors for what is neither client nor server: listeners, discovery, the runtime's own, a margin.
const SPARE: usize = 24;

/// How the descriptors and the memory of a process are parted: `(clients, to servers, KiB of bodies)`.
///
/// Requests hold a third of the descriptors at most, and each needs one to a server; attempts that outlive their
/// request need more. What is left is for clients that ask nothing at the moment, or never will. A quarter of the
/// memory goes to bodies.
pub fn parts(descriptors: usize, memory_mb: usize) -> (usize, usize, usize) {
    let all = descriptors.saturating_sub(SPARE).max(8);
    let upstream = all * 43 / 100;
    (
        all - upstream,
        upstream,
        memory_mb.saturating_mul(256).max(1024),
    )
}

struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    fn say(&mut self, origin: &Origin, mistake: String) {
        self.faults.push(Fault {
            origin: origin.clone(),
            mistake,
        });
    }

    fn want(&mut self, holds: bool, origin: &Origin, mistake: impl FnOnce() -> String) {
        if !holds {
            self.say(origin, mistake());
        }
    }

    /// Names are short plain words, and each is there once.
    fn names<'a, T: 'a>(
        &mut self,
        what: &str,
        items: impl IntoIterator<Item = &'a Located<T>>,
        name: impl Fn(&'a T) -> &'a str,
    ) {
        let mut seen: HashMap<&str, &Origin> = HashMap::new();
        for item in items {
            let name = name(&item.value);
            let plain = !name.is_empty()
                && name.len() <= NAME_MOST
                && name
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'));
            self.want(plain, &item.origin, || {
                format!("`{name}` is no name for a {what}: use letters, digits, `-`, `_` and `.`")
            });
            if let Some(first) = seen.insert(name, &item.origin) {
                self.say(
                    &item.origin,
                    format!("{what} `{name}` is there already, at line {}", first.line),
                );
            }
        }
    }
    /// Addresses are there but once each; `named` tells an item's name and address.
    fn addresses<'a, T: 'a>(
        &mut self,
        what: &str,
        items: impl IntoIterator<Item = &'a Located<T>>,
        named: impl Fn(&'a T) -> (&'a str, SocketAddr),
    ) {
        let mut firsts = HashMap::new();
        for item in items {
            let (name, address) = named(&item.value);
            match firsts.entry(address) {
                Entry::Vacant(free) => {
                    free.insert(name);
                }
                Entry::Occupied(first) => {
                    let first = first.get();
                    self.say(
                        &item.origin,
                        format!("{what} `{first}` already has the address {address}"),
                    );
                }
            }
        }
    }
}

/// Checks a model.
///
/// # Errors
/// Everything that is wrong with it.
pub fn check(model: Model) -> Result<Plan, Faults> {
    let mut c = Checker { faults: Vec::new() };
    let process = &model.process;
    c.want(process.max_descriptors >= 64, &process.origin, || {
        "descriptors: 64 at least".to_owned()
    });
    c.want(process.max_memory >= 16 << 20, &process.origin, || {
        "memory: 16MiB at least".to_owned()
    });
    c.want(process.node_count > 0, &process.origin, || {
        "nodes: this one counts, so 1 at least".to_owned()
    });
    c.want(
        process.max_connections_per_server != Some(0),
        &process.origin,
        || "server_connections: 1 at least".to_owned(),
    );
    let (clients, connections, memory) =
        parts(process.max_descriptors, (process.max_memory >> 20) as usize);
    let clients = process.max_clients.unwrap_or(clients);
    c.want(
        clients >= 8 && clients + connections <= process.max_descriptors.saturating_sub(SPARE),
        &process.origin,
        || {
            format!(
                "clients: {clients} do not fit into the descriptors, which leave room for 8 to {}",
                process.max_descriptors.saturating_sub(SPARE + connections)
            )
        },
    );
    let totals = Totals {
        // As many more clients as this may be connected without asking anything.
        open: (clients.min(connections)) as u64,
        connections: connections as u64,
        // Bodies of requests, and as much for answers.
        memory: 2 * memory as u64,
    };
    listeners(&mut c, &model);
    registries::registries(&mut c, &model);
    fleet::fleet(&mut c, &model);
    services::services(&mut c, &model);
    services::shared_servers(&mut c, &model);
    services::limits(&mut c, &model, totals);
    let (table, goals, matches) = routes::routes(&mut c, &model);
    match table {
        Some(table) if c.faults.is_empty() => Ok(Plan {
            model,
            table,
            goals,
            matches,
            totals,
            clients,
        }),
        _ => {
            c.faults.sort_by_key(|f| f.origin.line);
            Err(Faults(c.faults))
        }
    }
}

fn listeners(c: &mut Checker, model: &Model) {
    c.want(!model.listeners.is_empty(), &model.origin, || {
        "nothing to listen on: add [[listener]] with a name and an address".to_owned()
    });
    c.want(
        model.listeners.len() <= LISTENERS_MOST,
        &model.origin,
        || {
            format!(
                "{} listeners, {LISTENERS_MOST} at most",
                model.listeners.len()
            )
        },
    );
    c.names("listener", &model.listeners, |l| &l.name);
    // Port 0 is another one for each.
    let fixed = model.listeners.iter().filter(|l| l.address.port() != 0);
    c.addresses("listener", fixed, |l| (&l.name, l.address));
}

/// The place of each name, the first if it is there more than once.
fn numbers<'a>(names: impl IntoIterator<Item = &'a str>) -> HashMap<&'a str, usize> {
    let mut numbers = HashMap::new();
    for (n, name) in names.into_iter().enumerate() {
        numbers.entry(name).or_insert(n);
    }
    numbers
}
