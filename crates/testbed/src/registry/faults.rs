//! Fault injection into a registry, used by tests and by [`control`](super::control).

use super::state::{lock, Connection, Member};
use super::Registry;
use std::time::Duration;

impl Registry {
    /// Applies `change` to the member with this index, if it exists.
    fn update_member(&self, member: usize, change: impl FnOnce(&mut Member)) {
        if let Some(member) = lock(&self.state).members.get_mut(member) {
            change(member);
        }
    }

    /// Expires a session and deletes its entries; returns whether the session existed.
    pub fn expire_session(&self, session: i64) -> bool {
        let mut state = lock(&self.state);
        let exists = state.sessions.contains_key(&session);
        state.counters.expired_sessions += u64::from(exists);
        state.end_session(session)
    }

    /// Suspends a member while its connections stay open, or resumes it.
    pub fn set_member_frozen(&self, member: usize, is_frozen: bool) {
        self.update_member(member, |member| {
            member.is_frozen.send_replace(is_frozen);
        });
    }

    /// Shuts a member down, which closes its connections, or restarts it with its former state.
    pub fn set_member_down(&self, member: usize, is_down: bool) {
        self.update_member(member, |member| member.is_down = is_down);
        if is_down {
            let state = lock(&self.state);
            let connections = state.connections.values();
            connections
                .filter(|connection| connection.member == member)
                .for_each(Connection::close);
        }
    }

    /// Sets the delay of all frames that a member sends to clients.
    pub fn set_response_delay(&self, member: usize, delay: Duration) {
        self.update_member(member, |member| member.response_delay = delay);
    }

    /// Sets the replication lag of a member. Transactions that are already queued keep their delay.
    pub fn set_replication_lag(&self, member: usize, lag: Duration) {
        self.update_member(member, |member| member.replication_lag = lag);
    }

    /// Drops the next `count` watch events instead of sending them.
    pub fn drop_watch_events(&self, count: u64) {
        lock(&self.state).watch_events_to_drop = count;
    }
}
