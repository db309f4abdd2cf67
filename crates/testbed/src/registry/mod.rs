//! A stand-in for a ZooKeeper registry: several members with one history of transactions, sessions that expire, ephemeral
//! and sequential entries, watches of all kinds, access lists.
//!
//! Written from the ZooKeeper Programmer's Guide, Internals and record definitions, release 3.9. A write is committed at
//! once; each member has a copy of the entries, which may lag. A member rejects clients that have seen a newer state than
//! its own. A client's write is answered once its member has applied it, and requests are answered in their order.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `connections` | connections of clients to members: frames in, responses out |
//! | `requests` | requests and their responses |
//! | `state` | transactions, members, sessions and connections |
//! | `tree` | the entries, and how transactions change them |
//! | `watches` | the watches of the clients of one member |
//! | `acl` | access lists and identities |
//! | `protocol` | the numbers of the protocol |
//! | `jute` | fields of records |
//! | `faults` | faults that tests inject |
//! | `entries` | direct access of tests to entries and sessions |
//! | [`control`] | faults over HTTP |
//!
//! Tests, the demo, the scenario and the measurement `membership` start registries.

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

/// Interval at which sessions, lagging members and containers are examined.
const TIMER_INTERVAL: Duration = Duration::from_millis(10);

/// A registry. It stops when this is dropped.
pub struct Registry {
    /// Where the members listen.
    pub members: Vec<SocketAddr>,
    state: Arc<Mutex<RegistryState>>,
    _tasks: Vec<AbortOnDrop>,
}

impl Registry {
    /// Starts so many members on ports of their own.
    ///
    /// # Errors
    /// Fails if the system has no port left.
    pub async fn start(member_count: usize) -> Result<Registry> {
        Self::start_at("127.0.0.1:0".parse()?, member_count).await
    }

    /// Starts the first member at this address and the others at the next ports; with port 0, all at any ports.
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

    /// What the registry has done so far.
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
