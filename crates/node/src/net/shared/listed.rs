//! How many servers the lists of all pools name, kept as the lists change: counting them by a walk over all lists would
//! hold up requests.

use reelfall_balancer::interface::ServerId;
use std::cell::RefCell;
use std::collections::hash_map::{Entry, HashMap, RandomState};
use std::hash::BuildHasher;
use std::rc::Rc;

/// A hash in place of a server instance: the pools hold the names already.
type Fingerprint = u64;

/// The distinct server instances in the lists of all pools. It is as large as these lists, and shrinks with them.
#[derive(Default)]
pub struct ListedServers {
    hasher: RandomState,
    /// How many lists name each instance.
    lists: RefCell<HashMap<Fingerprint, usize>>,
}

impl ListedServers {
    /// Number of distinct instances.
    pub fn count(&self) -> usize {
        self.lists.borrow().len()
    }

    fn add(&self, name: &str, start_ms: u64) -> Fingerprint {
        let fingerprint = self.hasher.hash_one((name, start_ms));
        *self.lists.borrow_mut().entry(fingerprint).or_default() += 1;
        fingerprint
    }

    fn subtract(&self, fingerprint: Fingerprint) {
        if let Entry::Occupied(mut lists) = self.lists.borrow_mut().entry(fingerprint) {
            match lists.get() {
                0 | 1 => drop(lists.remove()),
                n => drop(lists.insert(n - 1)),
            }
        }
    }
}

/// What the list of one pool adds to [`ListedServers`]; it is taken back when this is dropped.
pub struct ListedByPool {
    all: Rc<ListedServers>,
    servers: HashMap<ServerId, Fingerprint>,
}

impl ListedByPool {
    /// For a list that names no server yet.
    pub fn new(all: Rc<ListedServers>) -> ListedByPool {
        ListedByPool {
            all,
            servers: HashMap::new(),
        }
    }

    /// The list names this instance of a server, and no other instance of it any more. The arguments are the fields of a
    /// [`reelfall_cluster::entry::ServerInstance`], which would own a copy of the name.
    pub fn insert(&mut self, server: ServerId, name: &str, start_ms: u64) {
        let fingerprint = self.all.add(name, start_ms);
        if let Some(old) = self.servers.insert(server, fingerprint) {
            self.all.subtract(old);
        }
    }

    /// The list does not name a server any more.
    pub fn remove(&mut self, server: ServerId) {
        if let Some(old) = self.servers.remove(&server) {
            self.all.subtract(old);
        }
    }
}

impl Drop for ListedByPool {
    fn drop(&mut self) {
        self.servers
            .values()
            .for_each(|fingerprint| self.all.subtract(*fingerprint));
    }
}

#[cfg(test)]
mod tests;
