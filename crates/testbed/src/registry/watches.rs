//! The watches of the clients that are connected to one member.

use super::protocol::{WatchEvent, WatchKind};
use super::tree::{self, TreeEvent};
use std::collections::{HashMap, HashSet};

/// Id of a connection, from the same sequence as session ids.
pub(super) type ConnectionId = u64;

/// Watches by path.
#[derive(Default)]
pub(super) struct Watches {
    /// One-time watches for the existence and the data of an entry.
    data: HashMap<String, HashSet<ConnectionId>>,
    /// One-time watches for the list of children of an entry.
    children: HashMap<String, HashSet<ConnectionId>>,
    /// Persistent watches; the value is whether the watch is recursive.
    persistent: HashMap<String, HashMap<ConnectionId, bool>>,
}

/// A watch event and the connections to which it is sent.
pub(super) struct Notification {
    pub(super) connections: Vec<ConnectionId>,
    pub(super) event: WatchEvent,
    pub(super) path: String,
}

impl Watches {
    pub(super) fn add_data(&mut self, path: String, connection: ConnectionId) {
        self.data.entry(path).or_default().insert(connection);
    }

    pub(super) fn add_children(&mut self, path: String, connection: ConnectionId) {
        self.children.entry(path).or_default().insert(connection);
    }

    pub(super) fn add_persistent(
        &mut self,
        path: String,
        connection: ConnectionId,
        is_recursive: bool,
    ) {
        let watchers = self.persistent.entry(path).or_default();
        watchers.insert(connection, is_recursive);
    }

    /// Whether a connection has a watch of this kind on the path.
    pub(super) fn contains(
        &self,
        path: &str,
        connection: ConnectionId,
        kind: Option<WatchKind>,
    ) -> bool {
        let has = |watches: &HashMap<String, HashSet<ConnectionId>>| {
            watches
                .get(path)
                .is_some_and(|watchers| watchers.contains(&connection))
        };
        (includes_children(kind) && has(&self.children))
            || (includes_data(kind) && has(&self.data))
            || self.contains_persistent(path, connection, kind)
    }

    fn contains_persistent(
        &self,
        path: &str,
        connection: ConnectionId,
        kind: Option<WatchKind>,
    ) -> bool {
        let watchers = self.persistent.get(path);
        let is_recursive = watchers.and_then(|watchers| watchers.get(&connection).copied());
        is_recursive.is_some_and(|is_recursive| match kind {
            Some(WatchKind::Any) => true,
            Some(WatchKind::Persistent) => !is_recursive,
            Some(WatchKind::PersistentRecursive) => is_recursive,
            _ => false,
        })
    }

    /// Removes a connection's watches of this kind from the path; returns whether there were any.
    pub(super) fn remove(
        &mut self,
        path: &str,
        connection: ConnectionId,
        kind: Option<WatchKind>,
    ) -> bool {
        let is_found = self.contains(path, connection, kind);
        let is_persistent_found = self.contains_persistent(path, connection, kind);
        let remove = |watches: &mut HashMap<String, HashSet<ConnectionId>>| {
            if let Some(watchers) = watches.get_mut(path) {
                watchers.remove(&connection);
            }
        };
        if includes_children(kind) {
            remove(&mut self.children);
        }
        if includes_data(kind) {
            remove(&mut self.data);
        }
        if is_persistent_found {
            if let Some(watchers) = self.persistent.get_mut(path) {
                watchers.remove(&connection);
            }
        }
        is_found
    }

    /// Removes all watches of a connection.
    pub(super) fn remove_connection(&mut self, connection: ConnectionId) {
        for watches in [&mut self.data, &mut self.children] {
            watches.retain(|_, watchers| {
                watchers.remove(&connection);
                !watchers.is_empty()
            });
        }
        self.persistent.retain(|_, watchers| {
            watchers.remove(&connection);
            !watchers.is_empty()
        });
    }

    /// Returns the notifications of a change in the order in which they are sent. One-time watches that match are removed.
    pub(super) fn trigger(&mut self, change: &TreeEvent) -> [Notification; 2] {
        let (path, event) = match change {
            TreeEvent::Created(path) => (path, WatchEvent::Created),
            TreeEvent::Deleted(path) => (path, WatchEvent::Deleted),
            TreeEvent::DataChanged(path) => (path, WatchEvent::DataChanged),
        };
        let parent = tree::parent(path);
        let of_entry = Notification {
            connections: self.trigger_entry(path, event),
            event,
            path: path.clone(),
        };
        let of_parent = Notification {
            connections: match event {
                WatchEvent::Created | WatchEvent::Deleted => self.trigger_children(parent),
                WatchEvent::DataChanged | WatchEvent::ChildrenChanged => Vec::new(),
            },
            event: WatchEvent::ChildrenChanged,
            path: parent.to_owned(),
        };
        [of_entry, of_parent]
    }

    /// Connections to notify of a change of the entry itself.
    fn trigger_entry(&mut self, path: &str, event: WatchEvent) -> Vec<ConnectionId> {
        let mut connections: Vec<ConnectionId> =
            self.data.remove(path).into_iter().flatten().collect();
        if event == WatchEvent::Deleted {
            connections.extend(self.children.remove(path).into_iter().flatten());
        }
        let persistent = self.persistent.get(path).into_iter().flatten();
        connections.extend(persistent.map(|(connection, _)| *connection));
        let mut ancestor = path;
        while ancestor != "/" {
            ancestor = tree::parent(ancestor);
            connections.extend(self.persistent_watchers(ancestor, true));
        }
        connections
    }

    /// Connections to notify of a change of the list of children.
    fn trigger_children(&mut self, parent: &str) -> Vec<ConnectionId> {
        let once = self.children.remove(parent);
        let mut connections: Vec<ConnectionId> = once.into_iter().flatten().collect();
        connections.extend(self.persistent_watchers(parent, false));
        connections
    }

    fn persistent_watchers(
        &self,
        path: &str,
        is_recursive: bool,
    ) -> impl Iterator<Item = ConnectionId> + '_ {
        let watchers = self.persistent.get(path).into_iter().flatten();
        watchers
            .filter(move |(_, recursive)| **recursive == is_recursive)
            .map(|(connection, _)| *connection)
    }
}

fn includes_children(kind: Option<WatchKind>) -> bool {
    matches!(kind, Some(WatchKind::Children | WatchKind::Any))
}

fn includes_data(kind: Option<WatchKind>) -> bool {
    matches!(kind, Some(WatchKind::Data | WatchKind::Any))
}
