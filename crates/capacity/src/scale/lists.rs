//! A stand-in for the services that tell nodes their servers: whole lists, and changes at the rate of restarts.
//!
//! Its lines are those of [`reelfall_testbed::discovery`]. They reach hollow nodes over a channel of the process in place of a
//! connection each, so that a thousand nodes need no thousand connections more; every node reads every line by itself.

use super::hollow::Failing;
use serde::Deserialize;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use tokio::sync::broadcast;

/// Lines that a node may be behind before it has to read whole lists again.
const LINES_MOST: usize = 1024;
/// Servers that fail all the time.
pub const FAILING: usize = 2;

/// One line: a whole list or a change of one.
#[derive(Clone, Debug)]
pub struct Line {
    /// The list's name.
    pub list: Arc<str>,
    /// What is read.
    pub text: Arc<str>,
    /// When it was told, in microseconds of the run's clock.
    pub told_us: u64,
}

/// A line as a node reads it.
#[derive(Clone, Debug, Deserialize)]
pub struct Read {
    /// The list's index.
    pub index: u64,
    /// Whether it is a whole list.
    pub snapshot: bool,
    /// Its servers.
    pub endpoints: Vec<ReadServer>,
}

/// A server of a line.
#[derive(Clone, Debug, Deserialize)]
pub struct ReadServer {
    /// Its name.
    pub name: String,
    /// Its status.
    pub status: String,
    /// When it last started, in milliseconds.
    pub since_ms: u64,
}

struct State {
    /// Since when each server is there, in milliseconds.
    since: Vec<u64>,
    /// The index of each list.
    index: Vec<u64>,
    /// Servers that fail.
    failing: Vec<Failing>,
    /// Changes wait while the stand-in is gone.
    gone: bool,
    waiting: Vec<usize>,
}

/// The stand-in.
pub struct Lists {
    services: usize,
    state: Mutex<State>,
    /// Read by every node at each judgement.
    failing: RwLock<Arc<Vec<Failing>>>,
    told: broadcast::Sender<Line>,
}

/// A server's name.
pub fn server_name(server: usize) -> String {
    format!("server-{server}")
}

/// A list's name.
pub fn list_name(list: usize) -> String {
    format!("service-{list}")
}

impl Lists {
    /// So many servers, dealt into the lists of so many services.
    pub fn new(servers: usize, services: usize) -> Lists {
        let services = services.clamp(1, servers.max(1));
        let failing: Vec<Failing> = (0..FAILING.min(servers))
            .map(|n| Failing {
                name: server_name(n),
                since: 0,
            })
            .collect();
        let (told, _) = broadcast::channel(LINES_MOST);
        let state = State {
            since: vec![0; servers],
            index: vec![1; services],
            failing: failing.clone(),
            gone: false,
            waiting: Vec::new(),
        };
        Lists {
            services,
            state: Mutex::new(state),
            failing: RwLock::new(Arc::new(failing)),
            told,
        }
    }

    /// How many servers there are.
    pub fn servers(&self) -> usize {
        self.lock().since.len()
    }

    /// Takes part in what is told from now on.
    pub fn follow(&self) -> broadcast::Receiver<Line> {
        self.told.subscribe()
    }

    /// The servers that fail now.
    pub fn failing(&self) -> Arc<Vec<Failing>> {
        self.failing
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The whole list of one service.
    pub fn whole(&self, list: usize, told_us: u64) -> Line {
        let state = self.lock();
        let servers = (list..state.since.len()).step_by(self.services);
        line(&state, list, true, servers, told_us)
    }

    /// How many lists there are.
    pub fn lists(&self) -> usize {
        self.services
    }

    /// A server begins to fail, as one that is about to restart.
    pub fn fail(&self, server: usize) {
        let mut state = self.lock();
        let Some(since) = state.since.get(server).copied() else {
            return;
        };
        state.failing.push(Failing {
            name: server_name(server),
            since,
        });
        self.publish(&state);
    }

    /// A server is back from its restart, and the nodes are told so.
    pub fn restarted(&self, server: usize, told_us: u64) {
        let mut state = self.lock();
        let Some(since) = state.since.get_mut(server) else {
            return;
        };
        *since = told_us / 1000 + 1;
        let name = server_name(server);
        state
            .failing
            .retain(|failing| failing.name != name || server < FAILING);
        self.publish(&state);
        if state.gone {
            state.waiting.push(server);
            return;
        }
        self.tell(&mut state, server, told_us);
    }

    /// The stand-in is gone and tells nothing, or is back and tells what changed meanwhile.
    pub fn set_gone(&self, gone: bool, told_us: u64) {
        let mut state = self.lock();
        state.gone = gone;
        if gone {
            return;
        }
        for server in std::mem::take(&mut state.waiting) {
            self.tell(&mut state, server, told_us);
        }
    }

    fn tell(&self, state: &mut State, server: usize, told_us: u64) {
        let list = server % self.services;
        state.index[list] += 1;
        // Nobody listens before the first node has started.
        let _ = self
            .told
            .send(line(state, list, false, std::iter::once(server), told_us));
    }

    fn publish(&self, state: &State) {
        let failing = Arc::new(state.failing.clone());
        *self.failing.write().unwrap_or_else(PoisonError::into_inner) = failing;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn line(
    state: &State,
    list: usize,
    whole: bool,
    servers: impl Iterator<Item = usize>,
    told_us: u64,
) -> Line {
    let server = |n: usize| {
        serde_json::json!({
            "name": server_name(n), "address": format!("127.0.0.1:{}", 1024 + n % 60_000), "zone": "a", "type": "k",
            "group": 1, "status": "active", "weight": 1.0, "since_ms": state.since[n],
        })
    };
    let servers: Vec<_> = servers.map(server).collect();
    let text =
        serde_json::json!({ "index": state.index[list], "snapshot": whole, "endpoints": servers });
    Line {
        list: list_name(list).into(),
        text: text.to_string().into(),
        told_us,
    }
}
