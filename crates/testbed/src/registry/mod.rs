//! A stand-in for a ZooKeeper registry: several members over one history of transactions, sessions that expire, ephemeral
//! and sequential entries, watches of all kinds, access lists.
//!
//! Written from the ZooKeeper Programmer's Guide, Internals and record definitions, release 3.9. Members take writes at
//! once; each has its own copy, which may lag. A member turns away whoever has seen a newer state than it has. What a
//! client wrote it sees answered only once its member has it, and its requests are answered in their order.
//!
//! For failures at chosen moments: [`Registry::kill`] ends a session, [`Registry::freeze`] stops a member with its
//! connections open, [`Registry::drop_member`] closes it, [`Registry::delay`] holds back what it says,
//! [`Registry::lag`] holds back what it learns, [`Registry::lose_watches`] loses what watches would have told.

mod connections;
pub mod control;
mod jute;
mod requests;
mod tree;
mod world;

pub use world::Counts;

use crate::{AbortOnDrop, Result};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tree::{Change, Tree};
use world::{lock, unix_ms, Conn, Member, Watches, World};

/// How often sessions, lags and containers are looked at.
const TICK: Duration = Duration::from_millis(10);

/// Who somebody is known as by the scheme `digest`, who proves himself by `name:password`.
pub fn digest_id(proof: &str) -> String {
    requests::digest(proof)
}

/// A registry. It ends when this is dropped.
pub struct Registry {
    /// Where the members listen.
    pub members: Vec<SocketAddr>,
    world: Arc<Mutex<World>>,
    _tasks: Vec<AbortOnDrop>,
}

impl Registry {
    /// Starts so many members on ports of their own.
    ///
    /// # Errors
    /// If no ports are to be had.
    pub async fn start(members: usize) -> Result<Registry> {
        Self::at("127.0.0.1:0".parse()?, members).await
    }

    /// The same, the first member at this address and the others at ports beside it; port 0 is any.
    ///
    /// # Errors
    /// If an address is not to be had.
    pub async fn at(address: SocketAddr, members: usize) -> Result<Registry> {
        let member = || Member {
            tree: Tree::default(),
            behind: VecDeque::new(),
            lag: Duration::ZERO,
            delay: Duration::ZERO,
            dropped: false,
            watches: Watches::default(),
            has: watch::channel(0).0,
            frozen: watch::channel(false).0,
        };
        let world = World {
            tree: Tree::default(),
            members: (0..members).map(|_| member()).collect(),
            sessions: HashMap::new(),
            conns: HashMap::new(),
            // Sessions of two registries are not alike, as with servers that count from the time.
            next: (unix_ms() as u64) << 8,
            lose: 0,
            counts: Counts::default(),
            ttl: BTreeMap::new(),
        };
        let world = Arc::new(Mutex::new(world));
        let (mut addresses, mut tasks) = (vec![], vec![]);
        for n in 0..members {
            let port = if address.port() == 0 {
                0
            } else {
                address.port() + n as u16
            };
            let listener = TcpListener::bind(SocketAddr::new(address.ip(), port)).await?;
            addresses.push(listener.local_addr()?);
            tasks.push(crate::spawn(connections::accept(
                listener,
                n,
                world.clone(),
            )));
        }
        let ticking = world.clone();
        tasks.push(crate::spawn(async move {
            let mut every = tokio::time::interval(TICK);
            loop {
                every.tick().await;
                lock(&ticking).tick(Instant::now());
            }
        }));
        Ok(Registry {
            members: addresses,
            world,
            _tasks: tasks,
        })
    }

    /// The sessions that are there, oldest first.
    pub fn sessions(&self) -> Vec<i64> {
        let mut ids: Vec<i64> = lock(&self.world).sessions.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Ends a session, as if its time had run out; whether there was one.
    pub fn kill(&self, session: i64) -> bool {
        let mut world = lock(&self.world);
        world.counts.expired += u64::from(world.sessions.contains_key(&session));
        world.end_session(session)
    }

    /// A member stops with its connections open, or goes on.
    pub fn freeze(&self, member: usize, frozen: bool) {
        if let Some(m) = lock(&self.world).members.get(member) {
            m.frozen.send_replace(frozen);
        }
    }

    /// A member closes its connections and takes none, or comes back with what it had.
    pub fn drop_member(&self, member: usize, dropped: bool) {
        let mut world = lock(&self.world);
        if let Some(m) = world.members.get_mut(member) {
            m.dropped = dropped;
        }
        if dropped {
            world
                .conns
                .values()
                .filter(|c| c.member == member)
                .for_each(Conn::close);
        }
    }

    /// All that a member says comes so much later.
    pub fn delay(&self, member: usize, delay: Duration) {
        if let Some(m) = lock(&self.world).members.get_mut(member) {
            m.delay = delay;
        }
    }

    /// A member learns of changes so much later. Those that it waits for already come when they would have.
    pub fn lag(&self, member: usize, lag: Duration) {
        if let Some(m) = lock(&self.world).members.get_mut(member) {
            m.lag = lag;
        }
    }

    /// The next so many words of watches are lost.
    pub fn lose_watches(&self, n: u64) {
        lock(&self.world).lose = n;
    }

    /// How many sessions are connected to a member.
    pub fn connected(&self, member: usize) -> usize {
        let world = lock(&self.world);
        world
            .conns
            .values()
            .filter(|c| c.member == member && c.session != 0)
            .count()
    }

    /// What has been counted.
    pub fn counts(&self) -> Counts {
        lock(&self.world).counts
    }

    /// The data of an entry, and the session that it ends with.
    pub fn get(&self, path: &str) -> Option<(Vec<u8>, i64)> {
        lock(&self.world)
            .tree
            .nodes
            .get(path)
            .map(|n| (n.data.clone(), n.owner))
    }

    /// The names of an entry's children.
    pub fn children(&self, path: &str) -> Vec<String> {
        let world = lock(&self.world);
        world
            .tree
            .nodes
            .get(path)
            .map_or(vec![], |n| n.children.iter().cloned().collect())
    }

    /// Opens a session that nobody has a connection for, such as a server's whose process is played by a test. It
    /// lives until it is killed.
    pub fn open_session(&self) -> i64 {
        lock(&self.world).open_session(Duration::MAX, 0).0
    }

    /// Makes or replaces an entry of a session (0: of none) with all that is above it.
    pub fn put(&self, path: &str, data: &[u8], session: i64) {
        let mut world = lock(&self.world);
        let acl = vec![(31, "world".to_owned(), "anyone".to_owned())];
        let create = |path: &str, data: &[u8], owner| Change::Create {
            path: path.to_owned(),
            data: data.to_vec(),
            acl: acl.clone(),
            owner,
        };
        let mut changes = vec![];
        for (at, _) in path.char_indices().filter(|(at, c)| *at > 0 && *c == '/') {
            if !world.tree.nodes.contains_key(&path[..at]) {
                changes.push(create(&path[..at], &[], 0));
            }
        }
        match world.tree.nodes.get(path) {
            Some(node) if node.owner == session => {
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
        world.commit(changes);
    }

    /// The access list of an entry: permissions, scheme and id of each line.
    pub fn acl(&self, path: &str) -> Vec<(i32, String, String)> {
        lock(&self.world)
            .tree
            .nodes
            .get(path)
            .map_or(vec![], |n| n.acl.clone())
    }

    /// Replaces the access list of an entry.
    pub fn set_acl(&self, path: &str, acl: &[(i32, &str, &str)]) {
        let acl = acl
            .iter()
            .map(|(p, s, i)| (*p, (*s).to_owned(), (*i).to_owned()))
            .collect();
        lock(&self.world).commit(vec![Change::SetAcl {
            path: path.to_owned(),
            acl,
        }]);
    }

    /// Removes an entry; whether there was one.
    pub fn remove(&self, path: &str) -> bool {
        let mut world = lock(&self.world);
        let there = world.tree.nodes.contains_key(path);
        if there {
            world.commit(vec![Change::Delete {
                path: path.to_owned(),
            }]);
        }
        there
    }
}
