//! The state of a registry: its history of transactions, what each member knows of it, sessions, connections and watches.

use super::jute::Out;
use super::tree::{self, Change, Heard, Identity, Tree, Txn};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

pub(super) type ConnId = u64;

#[derive(Default)]
pub(super) struct Watches {
    pub(super) data: HashMap<String, HashSet<ConnId>>,
    pub(super) child: HashMap<String, HashSet<ConnId>>,
    /// Those that stay, and whether they are recursive.
    pub(super) persistent: HashMap<String, HashMap<ConnId, bool>>,
}

pub(super) struct Member {
    pub(super) tree: Tree,
    /// Transactions that it has not learned of yet, and when it will.
    pub(super) behind: VecDeque<(Instant, Txn)>,
    pub(super) lag: Duration,
    pub(super) delay: Duration,
    pub(super) dropped: bool,
    pub(super) watches: Watches,
    /// The state that it has, for whoever waits for one.
    pub(super) has: watch::Sender<i64>,
    pub(super) frozen: watch::Sender<bool>,
}

pub(super) struct Session {
    pub(super) password: [u8; 16],
    pub(super) timeout: Duration,
    pub(super) heard: Instant,
    /// The connection that it came by last.
    pub(super) conn: ConnId,
}

pub(super) struct Conn {
    pub(super) member: usize,
    pub(super) session: i64,
    pub(super) who: Vec<Identity>,
    pub(super) out: mpsc::UnboundedSender<(Instant, Bytes)>,
    /// Closes the connection.
    pub(super) close: watch::Sender<bool>,
}

impl Conn {
    pub(super) fn close(&self) {
        self.close.send_replace(true);
    }
}

/// What is counted of a registry's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests, pings apart.
    pub requests: u64,
    /// Sessions that were begun, and that ended without their client's asking.
    pub sessions: u64,
    /// Of these, ended by time or from outside.
    pub expired: u64,
    /// Words of watches.
    pub fired: u64,
    /// Bytes to clients.
    pub bytes: u64,
}

pub(super) struct World {
    pub(super) tree: Tree,
    pub(super) members: Vec<Member>,
    pub(super) sessions: HashMap<i64, Session>,
    pub(super) conns: HashMap<ConnId, Conn>,
    pub(super) next: u64,
    pub(super) lose: u64,
    pub(super) counts: Counts,
    /// Entries that end by time: their time to live.
    pub(super) ttl: BTreeMap<String, Duration>,
}

pub(super) fn unix_ms() -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as i64)
}

pub(super) fn lock(world: &Mutex<World>) -> MutexGuard<'_, World> {
    world.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    pub(super) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(super) fn open_session(&mut self, timeout: Duration, conn: ConnId) -> (i64, [u8; 16]) {
        let id = self.number() as i64;
        let mut draw = crate::SeededRng(id as u64);
        let mut password = [0; 16];
        password[..8].copy_from_slice(&draw.next_u64().to_be_bytes());
        password[8..].copy_from_slice(&draw.next_u64().to_be_bytes());
        self.sessions.insert(
            id,
            Session {
                password,
                timeout,
                heard: Instant::now(),
                conn,
            },
        );
        self.counts.sessions += 1;
        (id, password)
    }

    /// A session is over: its entries go in one transaction, and its connection is closed.
    pub(super) fn end_session(&mut self, id: i64) -> bool {
        if self.sessions.remove(&id).is_none() {
            return false;
        }
        let changes: Vec<Change> = self
            .tree
            .owned(id)
            .into_iter()
            .map(|path| Change::Delete { path })
            .collect();
        if !changes.is_empty() {
            self.commit(changes);
        }
        self.conns
            .values()
            .filter(|c| c.session == id)
            .for_each(Conn::close);
        true
    }

    pub(super) fn commit(&mut self, changes: Vec<Change>) -> i64 {
        let txn = Txn {
            zxid: self.tree.zxid + 1,
            time: unix_ms(),
            changes,
        };
        for change in &txn.changes {
            if let Change::Delete { path } = change {
                self.ttl.remove(path);
            }
        }
        self.tree.apply(&txn);
        let now = Instant::now();
        for n in 0..self.members.len() {
            let member = &mut self.members[n];
            // In order, whatever the lag was before.
            let due = member
                .behind
                .back()
                .map_or(now, |(due, _)| *due)
                .max(now + member.lag);
            member.behind.push_back((due, txn.clone()));
            self.learn(n, now);
        }
        txn.zxid
    }

    /// A member learns of what is due.
    fn learn(&mut self, member: usize, now: Instant) {
        loop {
            let m = &mut self.members[member];
            if *m.frozen.borrow() || m.behind.front().is_none_or(|(due, _)| *due > now) {
                return;
            }
            let Some((_, txn)) = m.behind.pop_front() else {
                return;
            };
            let heard = m.tree.apply(&txn);
            for heard in heard {
                self.fire(member, &heard, txn.zxid);
            }
            self.members[member].has.send_replace(txn.zxid);
        }
    }

    /// Tells watches of a change.
    fn fire(&mut self, member: usize, heard: &Heard, zxid: i64) {
        let (path, kind) = match heard {
            Heard::Created(path) => (path, 1),
            Heard::Deleted(path) => (path, 2),
            Heard::Data(path) => (path, 3),
        };
        let watches = &mut self.members[member].watches;
        let mut to: Vec<ConnId> = watches.data.remove(path).into_iter().flatten().collect();
        if kind == 2 {
            to.extend(watches.child.remove(path).into_iter().flatten());
        }
        to.extend(
            watches
                .persistent
                .get(path)
                .into_iter()
                .flatten()
                .map(|(conn, _)| *conn),
        );
        let mut above = path.as_str();
        while above != "/" {
            above = tree::parent(above).0;
            let recursive = watches
                .persistent
                .get(above)
                .into_iter()
                .flatten()
                .filter(|(_, r)| **r);
            to.extend(recursive.map(|(conn, _)| *conn));
        }
        let mut of_children: Vec<ConnId> = Vec::new();
        let above = tree::parent(path).0;
        if kind != 3 {
            of_children.extend(watches.child.remove(above).into_iter().flatten());
            let plain = watches
                .persistent
                .get(above)
                .into_iter()
                .flatten()
                .filter(|(_, r)| !**r);
            of_children.extend(plain.map(|(conn, _)| *conn));
        }
        self.notify(to, kind, path, zxid);
        self.notify(of_children, 4, above, zxid);
    }

    /// One word to each connection, however many of its watches would have it.
    pub(super) fn notify(&mut self, mut to: Vec<ConnId>, kind: i32, path: &str, zxid: i64) {
        to.sort_unstable();
        to.dedup();
        for conn in to {
            if self.lose > 0 {
                self.lose -= 1;
                continue;
            }
            self.counts.fired += 1;
            let word = Out::default()
                .int(-1)
                .long(zxid)
                .int(0)
                .int(kind)
                .int(3)
                .text(path)
                .frame();
            self.say(conn, word);
        }
    }

    pub(super) fn say(&mut self, conn: ConnId, frame: Bytes) {
        if let Some(conn) = self.conns.get(&conn) {
            self.counts.bytes += frame.len() as u64;
            // A connection that has just ended hears nothing more.
            let _ = conn.out.send((Instant::now(), frame));
        }
    }

    pub(super) fn tick(&mut self, now: Instant) {
        for n in 0..self.members.len() {
            self.learn(n, now);
        }
        let over = |s: &Session| now.saturating_duration_since(s.heard) > s.timeout;
        let expired: Vec<i64> = self
            .sessions
            .iter()
            .filter(|(_, s)| over(s))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.counts.expired += 1;
            self.end_session(id);
        }
        self.collect();
    }

    /// Containers that have become empty, and entries whose time to live is over.
    fn collect(&mut self) {
        let now = unix_ms();
        let due = |(path, ttl): (&String, &Duration)| {
            let node = self.tree.nodes.get(path)?;
            let over = now - node.mtime > ttl.as_millis() as i64;
            (over && node.children.is_empty()).then(|| path.clone())
        };
        let mut gone: Vec<String> = self.ttl.iter().filter_map(due).collect();
        let empty =
            |n: &tree::Node| n.owner == tree::CONTAINER && n.cversion > 0 && n.children.is_empty();
        gone.extend(
            self.tree
                .nodes
                .iter()
                .filter(|(_, n)| empty(n))
                .map(|(p, _)| p.clone()),
        );
        for path in gone {
            self.commit(vec![Change::Delete { path }]);
        }
    }

    pub(super) fn forget(&mut self, conn: ConnId) {
        if let Some(Conn { member, .. }) = self.conns.remove(&conn) {
            let watches = &mut self.members[member].watches;
            let clear = |of: &mut HashMap<String, HashSet<ConnId>>| {
                of.retain(|_, set| {
                    set.remove(&conn);
                    !set.is_empty()
                });
            };
            clear(&mut watches.data);
            clear(&mut watches.child);
            watches.persistent.retain(|_, set| {
                set.remove(&conn);
                !set.is_empty()
            });
        }
    }
}
