//! A stub of the discovery services: snapshots of endpoint lists, and updates at the rate of restarts.
//!
//! Its updates have the format of [`reelfall_testbed::discovery`]. They reach simulated nodes over a channel
//! within the process, so that a thousand nodes don't need a thousand connections. Every node still parses every update
//! itself, in [`drive`](super::drive).

use super::simulated_node::FailingServer;
use serde::Deserialize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use tokio::sync::broadcast;

/// Updates that a node may lag behind before it has to read snapshots again.
const MAX_PENDING_UPDATES: usize = 1024;
/// Number of servers, the first ones, that fail all the time.
pub const ALWAYS_FAILING_SERVERS: usize = 2;
/// The lowest port of a listed server.
const FIRST_PORT: usize = 1024;
/// Ports of listed servers.
const PORTS: usize = 60_000;

/// A snapshot or an update of one list, as it is sent.
#[derive(Clone, Debug)]
pub struct ListMessage {
    /// The list's name.
    pub list: Arc<str>,
    /// The JSON text.
    pub text: Arc<str>,
    /// When it was sent, in microseconds of the run's clock.
    pub sent_us: u64,
}

/// A snapshot or an update, as a node parses it.
#[derive(Clone, Debug, Deserialize)]
pub struct ParsedList {
    /// The list's index.
    pub index: u64,
    /// Whether it is a snapshot.
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    /// Listed servers: all of the list in a snapshot, the changed ones in an update.
    pub endpoints: Vec<ParsedServer>,
}

/// A server of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct ParsedServer {
    /// Name of the server.
    pub name: String,
    /// Status of the server, such as `active`.
    pub status: String,
    /// When it last started, in milliseconds.
    #[serde(rename = "since_ms")]
    pub started_ms: u64,
}

struct State {
    /// When each server last started, in milliseconds.
    started_ms: Vec<u64>,
    /// The index of each list.
    list_indexes: Vec<u64>,
    failing: Vec<FailingServer>,
    is_unavailable: bool,
    /// Servers that restarted while the stub was unavailable.
    pending: Vec<usize>,
}

/// A stub of the discovery services, shared by all simulated nodes.
pub struct DiscoveryStub {
    list_count: usize,
    state: Mutex<State>,
    /// A copy of [`State::failing`], which every node reads at each evaluation of the quorum.
    failing: RwLock<Arc<Vec<FailingServer>>>,
    updates: broadcast::Sender<ListMessage>,
}

/// Returns the name of a server.
pub fn server_name(server: usize) -> String {
    format!("server-{server}")
}

/// Returns the name of a list.
pub fn list_name(list: usize) -> String {
    format!("service-{list}")
}

impl DiscoveryStub {
    /// Creates a stub with `servers` servers, distributed over the lists of `services` services.
    pub fn new(servers: usize, services: usize) -> DiscoveryStub {
        let list_count = services.clamp(1, servers.max(1));
        let failing: Vec<FailingServer> = (0..ALWAYS_FAILING_SERVERS.min(servers))
            .map(|server| FailingServer {
                name: server_name(server),
                started_ms: 0,
            })
            .collect();
        let (updates, _) = broadcast::channel(MAX_PENDING_UPDATES);
        let state = State {
            started_ms: vec![0; servers],
            list_indexes: vec![1; list_count],
            failing: failing.clone(),
            is_unavailable: false,
            pending: Vec::new(),
        };
        DiscoveryStub {
            list_count,
            state: Mutex::new(state),
            failing: RwLock::new(Arc::new(failing)),
            updates,
        }
    }

    /// Number of servers in all lists.
    pub fn server_count(&self) -> usize {
        self.lock().started_ms.len()
    }

    /// Number of lists: at most one per server.
    pub fn list_count(&self) -> usize {
        self.list_count
    }

    /// Subscribes to the updates that are sent from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<ListMessage> {
        self.updates.subscribe()
    }

    /// Returns the servers that fail at the moment.
    pub fn failing_servers(&self) -> Arc<Vec<FailingServer>> {
        self.failing
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the current snapshot of one list.
    pub fn snapshot(&self, list: usize, now_us: u64) -> ListMessage {
        let state = self.lock();
        let servers = (list..state.started_ms.len()).step_by(self.list_count);
        state.message(list, true, servers, now_us)
    }

    /// Marks a server as failing, as before a restart.
    pub fn fail_server(&self, server: usize) {
        let mut state = self.lock();
        let Some(started_ms) = state.started_ms.get(server).copied() else {
            return;
        };
        state.failing.push(FailingServer {
            name: server_name(server),
            started_ms,
        });
        self.publish_failing(&state);
    }

    /// Ends the restart of a server: it no longer fails, and its new start is sent.
    pub fn complete_restart(&self, server: usize, now_us: u64) {
        let mut state = self.lock();
        let Some(started_ms) = state.started_ms.get_mut(server) else {
            return;
        };
        *started_ms = now_us / 1000 + 1;
        let name = server_name(server);
        state
            .failing
            .retain(|failing| failing.name != name || server < ALWAYS_FAILING_SERVERS);
        self.publish_failing(&state);
        if state.is_unavailable {
            state.pending.push(server);
            return;
        }
        self.send_update(&mut state, server, now_us);
    }

    /// Makes the stub unavailable, so that it sends nothing. Once available again, it sends the updates that were held back.
    pub fn set_unavailable(&self, is_unavailable: bool, now_us: u64) {
        let mut state = self.lock();
        state.is_unavailable = is_unavailable;
        if is_unavailable {
            return;
        }
        for server in std::mem::take(&mut state.pending) {
            self.send_update(&mut state, server, now_us);
        }
    }

    fn send_update(&self, state: &mut State, server: usize, now_us: u64) {
        let list = server % self.list_count;
        state.list_indexes[list] += 1;
        let update = state.message(list, false, std::iter::once(server), now_us);
        // There is no subscriber before the first node has started.
        let _ = self.updates.send(update);
    }

    fn publish_failing(&self, state: &State) {
        let failing = Arc::new(state.failing.clone());
        *self.failing.write().unwrap_or_else(PoisonError::into_inner) = failing;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn message(
        &self,
        list: usize,
        is_snapshot: bool,
        servers: impl Iterator<Item = usize>,
        sent_us: u64,
    ) -> ListMessage {
        let endpoints: Vec<_> = servers.map(|server| self.endpoint(server)).collect();
        let text = serde_json::json!({
            "index": self.list_indexes[list], "snapshot": is_snapshot, "endpoints": endpoints
        });
        ListMessage {
            list: list_name(list).into(),
            text: text.to_string().into(),
            sent_us,
        }
    }

    fn endpoint(&self, server: usize) -> serde_json::Value {
        serde_json::json!({
            "name": server_name(server), "address": format!("127.0.0.1:{}", FIRST_PORT + server % PORTS),
            "zone": "a", "type": "k", "group": 1, "status": "active", "weight": 1.0,
            "since_ms": self.started_ms[server],
        })
    }
}
