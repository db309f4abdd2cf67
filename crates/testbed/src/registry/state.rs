//! The state of a registry: committed transactions, members, sessions and connections.
//!
//! Shared by the connection tasks, the timer and [`Registry`](super::Registry) under one lock.

use super::acl::Identity;
use super::jute::Writer;
use super::protocol::{WatchEvent, OK, STATE_CONNECTED, WATCH_EVENT_XID};
use super::tree::{Change, Transaction, Tree};
use super::watches::{ConnectionId, Notification, Watches};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// A transaction that a member has not applied yet.
pub(super) struct PendingTransaction {
    due: Instant,
    transaction: Transaction,
}

/// A member of the registry.
pub(super) struct Member {
    pub(super) tree: Tree,
    pub(super) replication_queue: VecDeque<PendingTransaction>,
    pub(super) replication_lag: Duration,
    pub(super) response_delay: Duration,
    pub(super) is_down: bool,
    pub(super) watches: Watches,
    /// Id of the last transaction that the member has applied.
    pub(super) applied_zxid: watch::Sender<i64>,
    pub(super) is_frozen: watch::Sender<bool>,
}

impl Member {
    pub(super) fn new() -> Member {
        Member {
            tree: Tree::default(),
            replication_queue: VecDeque::new(),
            replication_lag: Duration::ZERO,
            response_delay: Duration::ZERO,
            is_down: false,
            watches: Watches::default(),
            applied_zxid: watch::channel(0).0,
            is_frozen: watch::channel(false).0,
        }
    }

    /// Queues a transaction for replication. A transaction is never due before its predecessors, even if the lag was
    /// reduced meanwhile.
    fn enqueue(&mut self, transaction: Transaction, now: Instant) {
        let last_due = self.replication_queue.back().map_or(now, |last| last.due);
        let due = last_due.max(now + self.replication_lag);
        self.replication_queue
            .push_back(PendingTransaction { due, transaction });
    }

    /// Removes and returns the next transaction that is due; `None` while the member is frozen.
    fn next_due(&mut self, now: Instant) -> Option<Transaction> {
        let is_due = self
            .replication_queue
            .front()
            .is_some_and(|next| next.due <= now);
        if *self.is_frozen.borrow() || !is_due {
            return None;
        }
        let next = self.replication_queue.pop_front()?;
        Some(next.transaction)
    }
}

/// The secret that a client presents to resume its session.
pub(super) type SessionPassword = [u8; 16];

/// A session of a client.
pub(super) struct Session {
    pub(super) password: SessionPassword,
    pub(super) timeout: Duration,
    pub(super) last_request_at: Instant,
    /// The connection that the client used last.
    pub(super) connection: ConnectionId,
}

/// A frame to a client, and the time at which it was queued.
pub(super) struct OutgoingFrame {
    pub(super) sent_at: Instant,
    pub(super) bytes: Bytes,
}

/// A connection of a client to a member.
pub(super) struct Connection {
    pub(super) member: usize,
    /// 0 for a connection without a session.
    pub(super) session: i64,
    pub(super) identities: Vec<Identity>,
    pub(super) outgoing: mpsc::UnboundedSender<OutgoingFrame>,
    pub(super) close: watch::Sender<bool>,
}

impl Connection {
    pub(super) fn close(&self) {
        self.close.send_replace(true);
    }

    /// Queues a frame for sending. It is discarded if the connection has just ended.
    pub(super) fn send(&self, bytes: Bytes) {
        let sent_at = Instant::now();
        let _ = self.outgoing.send(OutgoingFrame { sent_at, bytes });
    }
}

/// Totals since the start of a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received, without pings.
    pub requests: u64,
    /// Sessions opened.
    pub sessions: u64,
    /// Sessions that timed out or were expired by a test.
    pub expired_sessions: u64,
    /// Watch events sent.
    pub watch_events: u64,
    /// Bytes queued for sending to clients.
    pub bytes_sent: u64,
    /// Bytes written to client sockets.
    pub bytes_written: u64,
}

/// The state of a registry, behind the lock that all its tasks share.
pub(super) struct RegistryState {
    /// The committed entries, ahead of those of lagging members.
    pub(super) tree: Tree,
    pub(super) members: Vec<Member>,
    pub(super) sessions: HashMap<i64, Session>,
    pub(super) connections: HashMap<ConnectionId, Connection>,
    last_id: u64,
    /// Number of watch events that are still to be dropped.
    pub(super) watch_events_to_drop: u64,
    pub(super) counters: Counters,
    /// Time to live by path, for the entries that have one.
    pub(super) ttls: BTreeMap<String, Duration>,
}

pub(super) fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as i64)
}

pub(super) fn lock(state: &Mutex<RegistryState>) -> MutexGuard<'_, RegistryState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RegistryState {
    pub(super) fn new(member_count: usize) -> RegistryState {
        RegistryState {
            tree: Tree::default(),
            members: (0..member_count).map(|_| Member::new()).collect(),
            sessions: HashMap::new(),
            connections: HashMap::new(),
            // Derived from the clock so that session ids differ between registries, as in ZooKeeper.
            last_id: (unix_ms() as u64) << 8,
            watch_events_to_drop: 0,
            counters: Counters::default(),
            ttls: BTreeMap::new(),
        }
    }

    /// Returns a new id for a connection or a session.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Opens a session and returns its id.
    pub(super) fn open_session(&mut self, timeout: Duration, connection: ConnectionId) -> i64 {
        let id = self.next_id() as i64;
        let mut random = crate::SeededRng(id as u64);
        let mut password = [0; 16];
        password[..8].copy_from_slice(&random.next_u64().to_be_bytes());
        password[8..].copy_from_slice(&random.next_u64().to_be_bytes());
        let session = Session {
            password,
            timeout,
            last_request_at: Instant::now(),
            connection,
        };
        self.sessions.insert(id, session);
        self.counters.sessions += 1;
        id
    }

    /// Ends a session: deletes its entries in one transaction and closes its connections. Returns whether it existed.
    pub(super) fn end_session(&mut self, id: i64) -> bool {
        if self.sessions.remove(&id).is_none() {
            return false;
        }
        self.delete_ephemerals(id);
        let connections = self.connections.values();
        connections
            .filter(|connection| connection.session == id)
            .for_each(Connection::close);
        true
    }

    /// Deletes the entries of a session; returns the transaction id, or 0 if the session had no entries.
    pub(super) fn delete_ephemerals(&mut self, session: i64) -> i64 {
        let changes = self.tree.delete_owned_by(session);
        if changes.is_empty() {
            0
        } else {
            self.commit(changes)
        }
    }

    /// Commits changes as one transaction and returns its id.
    pub(super) fn commit(&mut self, changes: Vec<Change>) -> i64 {
        let transaction = Transaction {
            zxid: self.tree.zxid + 1,
            time_ms: unix_ms(),
            changes,
        };
        for change in &transaction.changes {
            if let Change::Delete { path } = change {
                self.ttls.remove(path);
            }
        }
        self.tree.apply(&transaction);
        let now = Instant::now();
        for member in 0..self.members.len() {
            self.members[member].enqueue(transaction.clone(), now);
            self.replicate(member, now);
        }
        transaction.zxid
    }

    /// Applies the transactions that are due at a member, and sends the watch events that they trigger.
    fn replicate(&mut self, member: usize, now: Instant) {
        while let Some(transaction) = self.members[member].next_due(now) {
            let events = self.members[member].tree.apply(&transaction);
            for event in events {
                let notifications = self.members[member].watches.trigger(&event);
                for notification in notifications {
                    self.notify(notification, transaction.zxid);
                }
            }
            let applied_zxid = &self.members[member].applied_zxid;
            applied_zxid.send_replace(transaction.zxid);
        }
    }

    /// Sends a watch event once to each connection, even if several of its watches match.
    pub(super) fn notify(&mut self, notification: Notification, zxid: i64) {
        let mut connections = notification.connections;
        connections.sort_unstable();
        connections.dedup();
        for connection in connections {
            if self.watch_events_to_drop > 0 {
                self.watch_events_to_drop -= 1;
                continue;
            }
            self.counters.watch_events += 1;
            let frame = watch_event_frame(notification.event, &notification.path, zxid);
            self.send(connection, frame);
        }
    }

    pub(super) fn send(&mut self, connection: ConnectionId, frame: Bytes) {
        if let Some(connection) = self.connections.get(&connection) {
            self.counters.bytes_sent += frame.len() as u64;
            connection.send(frame);
        }
    }

    /// Applies replication that is due, and expires sessions and entries.
    pub(super) fn handle_timer(&mut self, now: Instant) {
        for member in 0..self.members.len() {
            self.replicate(member, now);
        }
        let is_expired = |session: &Session| {
            now.saturating_duration_since(session.last_request_at) > session.timeout
        };
        let expired: Vec<i64> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_expired(session))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.counters.expired_sessions += 1;
            self.end_session(id);
        }
        self.delete_expired_entries();
    }

    /// Deletes entries whose time to live has elapsed, and containers that have lost their last child.
    fn delete_expired_entries(&mut self) {
        let now_ms = unix_ms();
        let is_expired = |(path, ttl): &(&String, &Duration)| {
            self.tree.entries.get(*path).is_some_and(|entry| {
                let age_ms = now_ms - entry.modified_ms;
                age_ms > ttl.as_millis() as i64 && entry.children.is_empty()
            })
        };
        let expired = self.ttls.iter().filter(is_expired).map(|(path, _)| path);
        let entries = self.tree.entries.iter();
        let abandoned = entries
            .filter(|(_, entry)| entry.is_abandoned_container())
            .map(|(path, _)| path);
        let paths: Vec<String> = expired.chain(abandoned).cloned().collect();
        for path in paths {
            self.commit(vec![Change::Delete { path }]);
        }
    }

    /// Removes a closed connection and its watches.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            let member = &mut self.members[connection.member];
            member.watches.remove_connection(id);
        }
    }
}

fn watch_event_frame(event: WatchEvent, path: &str, zxid: i64) -> Bytes {
    Writer::default()
        .int(WATCH_EVENT_XID)
        .long(zxid)
        .int(OK)
        .int(event.code())
        .int(STATE_CONNECTED)
        .text(path)
        .into_frame()
}
