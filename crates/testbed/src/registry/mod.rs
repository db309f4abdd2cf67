//! A stand-in for a ZooKeeper ensemble: several members with one transaction log, sessions that expire, ephemeral and
//! sequential entries, all kinds of watches, and access lists.
//!
//! Written from the ZooKeeper Programmer's Guide, Internals and record definitions, release 3.9. A write is committed
//! immediately; each member has a replica of the entries, which may lag. A member rejects clients that have seen a newer
//! state than its own. The response to a write is sent once the client's member has applied the write, and responses are
//! sent in the order of the requests.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connections` | client connections to members: frames in, responses out |
//! | `requests` | request handling |
//! | `state` | transactions, members, sessions and connections |
//! | `tree` | the tree of entries, and applying transactions to it |
//! | `watches` | the watches of the clients that are connected to one member |
//! | `acl` | access lists and identities |
//! | `protocol` | numeric codes of the protocol |
//! | `jute` | record encoding |
//! | `faults` | fault injection |
//! | `entries` | direct access to entries and sessions for tests |
//! | [`control`] | fault injection over HTTP |
//!
//! Started by tests, the demo, and the scenario and measurement `membership`.

mod acl;
mod connections;
pub mod control;
mod entries;
mod faults;
mod jute;
mod protocol;
mod requests;
mod state;
mod tree;
mod watches;

pub use acl::{digest_id, AccessRule};
pub use entries::EntrySnapshot;
pub use state::Counters;

use crate::{AbortOnDrop, Result};
use state::{lock, RegistryState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Interval at which replication that is due is applied, and sessions, entries and abandoned containers expire.
const TIMER_INTERVAL: Duration = Duration::from_millis(10);

/// A running registry. Dropping it stops all members.
pub struct Registry {
    /// Listening addresses of the members.
    pub members: Vec<SocketAddr>,
    state: Arc<Mutex<RegistryState>>,
    _tasks: Vec<AbortOnDrop>,
}

impl Registry {
    /// Starts `member_count` members on free ports of the loopback address.
    ///
    /// # Errors
    /// Fails if no port is available.
    pub async fn start(member_count: usize) -> Result<Registry> {
        Self::start_at("127.0.0.1:0".parse()?, member_count).await
    }

    /// Starts the first member at `address` and the others on consecutive ports; with port 0, each on any free port.
    ///
    /// # Errors
    /// Fails if an address is not available.
    pub async fn start_at(address: SocketAddr, member_count: usize) -> Result<Registry> {
        let state = Arc::new(Mutex::new(RegistryState::new(member_count)));
        let (mut members, mut tasks) = (vec![], vec![]);
        for member in 0..member_count {
            let port = match address.port() {
                0 => 0,
                first => first + member as u16,
            };
            let listener = TcpListener::bind(SocketAddr::new(address.ip(), port)).await?;
            members.push(listener.local_addr()?);
            let accepting = connections::accept(listener, member, state.clone());
            tasks.push(crate::spawn(accepting));
        }
        tasks.push(crate::spawn(run_timer(state.clone())));
        Ok(Registry {
            members,
            state,
            _tasks: tasks,
        })
    }

    /// Totals since the start of the registry.
    pub fn counters(&self) -> Counters {
        lock(&self.state).counters
    }
}

async fn run_timer(state: Arc<Mutex<RegistryState>>) {
    let mut interval = tokio::time::interval(TIMER_INTERVAL);
    loop {
        interval.tick().await;
        lock(&state).handle_timer(Instant::now());
    }
}
