//! The number of distinct servers in the lists of all pools. It is updated as the lists change, since an iteration over
//! all lists for each query would delay requests.

use reelfall_balancer::interface::ServerId;
use std::cell::RefCell;
use std::collections::hash_map::{Entry, HashMap, RandomState};
use std::hash::BuildHasher;
use std::rc::Rc;

/// A hash that identifies a server instance without another copy of its name, which the pools already store.
type Fingerprint = u64;

/// The distinct server instances in the lists of all pools.
#[derive(Default)]
pub struct ListedServers {
    hasher: RandomState,
    /// The number of lists that name each instance.
    list_counts: RefCell<HashMap<Fingerprint, usize>>,
}

impl ListedServers {
    /// Number of distinct instances.
    pub fn count(&self) -> usize {
        self.list_counts.borrow().len()
    }

    fn add(&self, name: &str, start_ms: u64) -> Fingerprint {
        let fingerprint = self.hasher.hash_one((name, start_ms));
        *self
            .list_counts
            .borrow_mut()
            .entry(fingerprint)
            .or_default() += 1;
        fingerprint
    }

    fn subtract(&self, fingerprint: Fingerprint) {
        if let Entry::Occupied(mut list_count) = self.list_counts.borrow_mut().entry(fingerprint) {
            match list_count.get() {
                0 | 1 => drop(list_count.remove()),
                count => drop(list_count.insert(count - 1)),
            }
        }
    }
}

/// The server instances of one pool's list, as counted in [`ListedServers`] until this is dropped.
pub struct ListedByPool {
    all: Rc<ListedServers>,
    servers: HashMap<ServerId, Fingerprint>,
}

impl ListedByPool {
    /// An empty list.
    pub fn new(all: Rc<ListedServers>) -> ListedByPool {
        ListedByPool {
            all,
            servers: HashMap::new(),
        }
    }

    /// Adds an instance of a server, in place of any other instance of it. The arguments are the fields of a
    /// [`reelfall_cluster::entry::ServerInstance`], which would own a copy of the name.
    pub fn insert(&mut self, server: ServerId, name: &str, start_ms: u64) {
        let fingerprint = self.all.add(name, start_ms);
        if let Some(old) = self.servers.insert(server, fingerprint) {
            self.all.subtract(old);
        }
    }

    /// Removes a server.
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
