//! Upstream servers with a fixed capacity, injected faults and a count of the effects of requests.
//!
//! A server has a fixed number of workers. A request waits for one, occupies it for the service time and takes effect
//! when that time begins. A client that disconnects does not stop the work, as with real servers. Scenarios,
//! measurements, demos and tests start pools.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `app` | the application that a server may run |
//! | `behavior` | service time and injected faults |
//! | `slow_start` | the reduced capacity of a server that has just started |
//! | `server` | one server: its listener and its controls |
//! | `server_state` | what a server has received and done |
//! | `respond` | one request at a server |
//! | `work` | how the work on one request ends |
//! | `response` | the responses of a server |

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

/// Workers of each server of a pool that runs no application.
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

    /// How often each request id has taken effect, over all servers.
    pub fn effect_counts(&self) -> HashMap<String, u32> {
        let mut totals = HashMap::new();
        for (id, count) in self.servers.iter().flat_map(Server::effect_counts) {
            *totals.entry(id).or_default() += count;
        }
        totals
    }

    /// The number of request ids that took effect more than once.
    pub fn duplicate_effects(&self) -> usize {
        self.effect_counts()
            .values()
            .filter(|count| **count > 1)
            .count()
    }

    /// Requests that all servers have received so far.
    pub fn requests_received(&self) -> u64 {
        self.servers.iter().map(Server::requests_received).sum()
    }

    /// The servers as sections of a settings file.
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
