//! Direct access to the entries and sessions of a registry for tests, without a client connection.

use super::acl::AccessRule;
use super::state::lock;
use super::tree::{Change, Entry};
use super::Registry;
use std::time::Duration;

/// Owner of persistent entries, which belong to no session.
const NO_SESSION: i64 = 0;
/// Connection id of a session without a connection.
const NO_CONNECTION: u64 = 0;

/// A copy of an entry at the time of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySnapshot {
    /// Data of the entry.
    pub data: Vec<u8>,
    /// Id of the session that owns the entry; 0 for a persistent entry.
    pub owner: i64,
}

impl Registry {
    fn with_entry<T>(&self, path: &str, read: impl FnOnce(&Entry) -> T) -> Option<T> {
        lock(&self.state).tree.entries.get(path).map(read)
    }

    /// Ids of the open sessions, oldest first.
    pub fn sessions(&self) -> Vec<i64> {
        let mut ids: Vec<i64> = lock(&self.state).sessions.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Number of sessions with a connection to this member.
    pub fn connected_sessions(&self, member: usize) -> usize {
        let state = lock(&self.state);
        let connections = state.connections.values();
        connections
            .filter(|connection| connection.member == member && connection.session != NO_SESSION)
            .count()
    }

    /// Opens a session without a connection, for example for a simulated server. It never times out; a test ends it with
    /// [`Registry::expire_session`].
    pub fn open_session(&self) -> i64 {
        lock(&self.state).open_session(Duration::MAX, NO_CONNECTION)
    }

    /// Returns a copy of an entry, if it exists.
    pub fn entry(&self, path: &str) -> Option<EntrySnapshot> {
        self.with_entry(path, |entry| EntrySnapshot {
            data: entry.data.clone(),
            owner: entry.owner,
        })
    }

    /// Names of the children of an entry; empty if the entry does not exist.
    pub fn children(&self, path: &str) -> Vec<String> {
        self.with_entry(path, |entry| entry.children.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Creates or replaces an entry and creates its missing ancestors. The entry is owned by `session`, or persistent if
    /// `session` is 0.
    pub fn put(&self, path: &str, data: &[u8], session: i64) {
        let mut state = lock(&self.state);
        let create = |path: &str, data: &[u8], owner| Change::Create {
            path: path.to_owned(),
            data: data.to_vec(),
            acl: vec![AccessRule::open()],
            owner,
        };
        let entries = &state.tree.entries;
        let mut changes: Vec<Change> = ancestors(path)
            .filter(|ancestor| !entries.contains_key(*ancestor))
            .map(|ancestor| create(ancestor, &[], NO_SESSION))
            .collect();
        match entries.get(path) {
            Some(entry) if entry.owner == session => {
                changes.push(Change::SetData {
                    path: path.to_owned(),
                    data: data.to_vec(),
                });
            }
            Some(_) => {
                changes.push(Change::Delete {
                    path: path.to_owned(),
                });
                changes.push(create(path, data, session));
            }
            None => changes.push(create(path, data, session)),
        }
        state.commit(changes);
    }

    /// The access list of an entry; empty if the entry does not exist.
    pub fn acl(&self, path: &str) -> Vec<AccessRule> {
        self.with_entry(path, |entry| entry.acl.clone())
            .unwrap_or_default()
    }

    /// Replaces the access list of an entry.
    pub fn set_acl(&self, path: &str, acl: &[AccessRule]) {
        lock(&self.state).commit(vec![Change::SetAcl {
            path: path.to_owned(),
            acl: acl.to_vec(),
        }]);
    }

    /// Deletes an entry; returns whether it existed.
    pub fn remove(&self, path: &str) -> bool {
        let mut state = lock(&self.state);
        let exists = state.tree.entries.contains_key(path);
        if exists {
            state.commit(vec![Change::Delete {
                path: path.to_owned(),
            }]);
        }
        exists
    }
}

/// The ancestors of an entry from the top down, without the root.
fn ancestors(path: &str) -> impl Iterator<Item = &str> {
    path.char_indices()
        .filter(|(position, character)| *position > 0 && *character == '/')
        .map(|(position, _)| &path[..position])
}
