//! Upstream servers with a fixed capacity and injected faults, which count the effects of requests.
//!
//! A server has a fixed number of workers. A request waits for a free worker, takes effect and then occupies the
//! worker for the service time. As with real servers, the work continues if the client disconnects. Used by scenarios,
//! measurements, demos and tests.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `app` | the application that a server may run |
//! | `behavior` | service time and injected faults |
//! | `slow_start` | simulation of the reduced capacity after a start |
//! | `server` | one server: listener, controls and counters |
//! | `server_state` | counters and current behavior of a server |
//! | `respond` | handling of one request |
//! | `work` | service time, effects and fault of one request |
//! | `response` | building of responses |

mod app;
mod behavior;
mod respond;
mod response;
mod server;
mod server_state;
mod slow_start;
mod work;

pub use app::{App, AppResponse, Completion};
pub use behavior::{Corruption, ServerBehavior};
pub use server::Server;
pub use server_state::{Observer, RequestEvent};
pub use slow_start::SlowStart;

use crate::Result;
use std::collections::HashMap;

/// Number of workers of each server in a pool that runs no application.
const DEFAULT_WORKERS: usize = 1;

/// Several servers with the same behavior.
pub struct Pool {
    /// The servers, in the order in which they were started.
    pub servers: Vec<Server>,
}

impl Pool {
    /// Starts `count` servers with one worker each, named `prefix-1` and so on.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(
        prefix: &str,
        count: usize,
        behavior: ServerBehavior,
        seed: u64,
    ) -> Result<Pool> {
        let mut servers = Vec::with_capacity(count);
        for index in 0..count {
            let name = server_name(prefix, index);
            let seed = server_seed(seed, index);
            servers.push(Server::start(&name, DEFAULT_WORKERS, behavior.clone(), seed).await?);
        }
        Ok(Pool { servers })
    }

    /// Starts `count` servers that run an application with `workers` workers each.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start_with_app(
        prefix: &str,
        count: usize,
        workers: usize,
        behavior: ServerBehavior,
        seed: u64,
        app: &App,
    ) -> Result<Pool> {
        let mut servers = Vec::with_capacity(count);
        for index in 0..count {
            let name = server_name(prefix, index);
            let seed = server_seed(seed, index);
            let server =
                Server::start_with_app(&name, workers, behavior.clone(), seed, app.clone()).await?;
            servers.push(server);
        }
        Ok(Pool { servers })
    }

    /// How often each effect id has taken effect, summed over all servers.
    pub fn effect_counts(&self) -> HashMap<String, u32> {
        let mut totals = HashMap::new();
        for (id, count) in self.servers.iter().flat_map(Server::effect_counts) {
            *totals.entry(id).or_default() += count;
        }
        totals
    }

    /// Number of effect ids that took effect more than once.
    pub fn duplicate_effects(&self) -> usize {
        self.effect_counts()
            .values()
            .filter(|count| **count > 1)
            .count()
    }

    /// Number of requests received so far, summed over all servers.
    pub fn requests_received(&self) -> u64 {
        self.servers.iter().map(Server::requests_received).sum()
    }

    /// Formats the servers as `[[service.server]]` sections of a settings file.
    pub fn server_settings(&self) -> String {
        let section = |server: &Server| {
            format!(
                "[[service.server]]\nname = \"{}\"\naddress = \"{}\"\n",
                server.name, server.address
            )
        };
        self.servers.iter().map(section).collect()
    }
}

fn server_name(prefix: &str, index: usize) -> String {
    format!("{prefix}-{}", index + 1)
}

fn server_seed(pool_seed: u64, index: usize) -> u64 {
    pool_seed.wrapping_add(index as u64)
}
