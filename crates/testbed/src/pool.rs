//! Servers with a set capacity that count effects and fail in chosen ways.
//!
//! A server has so many workers; a request waits its turn, occupies one for its service time, and has its effect
//! when that begins. As with real servers, a client that leaves stops nothing.

//!
//! | module | responsibility |
//! | --- | --- |
//! | `manner` | how a server treats its requests |
//! | `cold` | what a server bears that has just started |
//! | `server` | one server |
//! | `state` | what a server counts |
//! | `respond` | one request at a server |

mod cold;
mod manner;
mod respond;
mod server;
mod state;

pub use cold::Cold;
pub use manner::{App, Done, End, Manner, Spoil};
pub use server::Server;
pub use state::Observer;

use crate::Result;
use std::collections::HashMap;

/// Several servers of one kind.
pub struct Pool {
    /// They.
    pub servers: Vec<Server>,
}

impl Pool {
    /// Starts `n` servers with one worker each, named `prefix-1` and so on.
    ///
    /// # Errors
    /// If no ports are to be had.
    pub async fn start(prefix: &str, n: usize, manner: Manner, seed: u64) -> Result<Pool> {
        let mut servers = Vec::with_capacity(n);
        for i in 0..n {
            let name = format!("{prefix}-{}", i + 1);
            servers
                .push(Server::start(&name, 1, manner.clone(), seed.wrapping_add(i as u64)).await?);
        }
        Ok(Pool { servers })
    }

    /// The same, with an application that runs on each, and more workers.
    ///
    /// # Errors
    /// If no ports are to be had.
    pub async fn running(
        prefix: &str,
        n: usize,
        workers: usize,
        manner: Manner,
        seed: u64,
        app: &App,
    ) -> Result<Pool> {
        let mut servers = Vec::with_capacity(n);
        for i in 0..n {
            let (name, seed) = (format!("{prefix}-{}", i + 1), seed.wrapping_add(i as u64));
            servers.push(Server::running(&name, workers, manner.clone(), seed, app.clone()).await?);
        }
        Ok(Pool { servers })
    }

    /// How often each id has had its effect, over all servers.
    pub fn effects(&self) -> HashMap<String, u32> {
        let mut all = HashMap::new();
        for (id, n) in self.servers.iter().flat_map(Server::effects) {
            *all.entry(id).or_default() += n;
        }
        all
    }

    /// Ids that had their effect more than once.
    pub fn twice(&self) -> usize {
        self.effects().values().filter(|n| **n > 1).count()
    }

    /// Requests that have come so far.
    pub fn seen(&self) -> u64 {
        self.servers.iter().map(Server::seen).sum()
    }

    /// The servers as the settings file lists them.
    pub fn listed(&self) -> String {
        let line = |s: &Server| {
            format!(
                "[[service.server]]\nname = \"{}\"\naddress = \"{}\"\n",
                s.name, s.address
            )
        };
        self.servers.iter().map(line).collect()
    }
}
