//! Faults of a registry at chosen times, as tests and [`control`](super::control) inject them.

use super::state::{lock, Connection, Member};
use super::Registry;
use std::time::Duration;

impl Registry {
    /// Changes a member, if there is one with this index.
    fn update_member(&self, member: usize, change: impl FnOnce(&mut Member)) {
        if let Some(member) = lock(&self.state).members.get_mut(member) {
            change(member);
        }
    }

    /// Expires a session; returns whether there was one.
    pub fn expire_session(&self, session: i64) -> bool {
        let mut state = lock(&self.state);
        let exists = state.sessions.contains_key(&session);
        state.counters.expired_sessions += u64::from(exists);
        state.end_session(session)
    }

    /// Stops a member with its connections open, or lets it continue.
    pub fn set_member_frozen(&self, member: usize, is_frozen: bool) {
        self.update_member(member, |member| {
            member.is_frozen.send_replace(is_frozen);
        });
    }

    /// Shuts a member down, which closes its connections, or starts it again with the state that it had.
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

    /// Delays all frames of a member to clients.
    pub fn set_response_delay(&self, member: usize, delay: Duration) {
        self.update_member(member, |member| member.response_delay = delay);
    }

    /// Delays the replication to a member. Transactions that are on the way already keep their delay.
    pub fn set_replication_lag(&self, member: usize, lag: Duration) {
        self.update_member(member, |member| member.replication_lag = lag);
    }

    /// Drops so many next watch events.
    pub fn drop_watch_events(&self, count: u64) {
        lock(&self.state).watch_events_to_drop = count;
    }
}
