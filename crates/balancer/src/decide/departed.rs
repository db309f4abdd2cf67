//! Servers that recently left the list. What was learned about one of them is kept for its return, unless it has
//! restarted.

use crate::interface::Time;
use std::collections::VecDeque;

/// Maximum number of servers that are remembered.
const MAX_SERVERS: usize = 64;
/// How long a server is remembered, in seconds.
pub(super) const RETENTION: Time = 60.0;

/// What is remembered of a server that left the list.
pub(super) struct DepartedServer {
    pub(super) hash: u64,
    pub(super) started_at: Time,
    pub(super) departed_at: Time,
    /// Its probability as a multiple of the mean.
    pub(super) relative_probability: f64,
    pub(super) mean_response: Time,
    /// Its slow start credit, in seconds on a standard core.
    pub(super) credit: f64,
}

/// The servers that recently left the list, the latest last.
#[derive(Default)]
pub(super) struct DepartedServers {
    servers: VecDeque<DepartedServer>,
}

impl DepartedServers {
    /// Whether none is remembered.
    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Remembers a server; the oldest one is forgotten if there are too many.
    pub(super) fn add(&mut self, departed: DepartedServer) {
        let now = departed.departed_at;
        self.servers
            .retain(|old| old.hash != departed.hash && now - old.departed_at < RETENTION);
        if self.servers.len() >= MAX_SERVERS {
            self.servers.pop_front();
        }
        self.servers.push_back(departed);
    }

    /// Remembers a server from the learned state of another balancer, unless there are too many.
    pub(super) fn restore(&mut self, departed: DepartedServer) {
        if self.servers.len() < MAX_SERVERS {
            self.servers.push_back(departed);
        }
    }

    /// Forgets a server that has returned without having restarted, and returns what was remembered of it, unless it
    /// was away for too long.
    pub(super) fn take(
        &mut self,
        now: Time,
        hash: u64,
        started_at: Time,
    ) -> Option<DepartedServer> {
        let is_same = |old: &DepartedServer| old.hash == hash && old.started_at == started_at;
        let index = self.servers.iter().position(is_same)?;
        self.servers
            .remove(index)
            .filter(|old| now - old.departed_at < RETENTION)
    }
}
