//! The listed servers, by identifier and by address, and the identifiers of removed servers.

use crate::interface::{ServerId, ServerState, Time};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::Hash;

/// The identifier of a removed server is not reused for this time, in seconds, as attempts may still refer to it.
pub const SERVER_ID_QUARANTINE: Time = 30.0;

/// A listed server, in any state.
pub(super) struct ListedServer<A> {
    pub(super) address: A,
    pub(super) state: ServerState,
    pub(super) started_at: Time,
}

/// A removed server whose identifier is in quarantine.
struct RemovedServer {
    server: ServerId,
    removed_at: Time,
}

/// The servers of one list. The cost of an operation on a single server does not depend on the length of the list.
pub(super) struct Servers<A> {
    listed: HashMap<ServerId, ListedServer<A>>,
    /// The servers at each address. If there are several, at most one is up and the others drain.
    by_address: HashMap<A, BTreeSet<ServerId>>,
    /// Servers whose identifiers are in quarantine, earliest removal first.
    removed: VecDeque<RemovedServer>,
    /// How often each server occurs in `removed`, as it may have been listed and removed again.
    removals: HashMap<ServerId, usize>,
}

impl<A: Clone + Eq + Hash> Servers<A> {
    pub(super) fn new() -> Self {
        Servers {
            listed: HashMap::new(),
            by_address: HashMap::new(),
            removed: VecDeque::new(),
            removals: HashMap::new(),
        }
    }

    /// Whether a server is listed, in any state.
    pub(super) fn is_listed(&self, server: ServerId) -> bool {
        self.listed.contains_key(&server)
    }

    pub(super) fn get(&self, server: ServerId) -> Option<&ListedServer<A>> {
        self.listed.get(&server)
    }

    /// Whether any server accepts new requests.
    pub(super) fn any_up(&self) -> bool {
        self.listed
            .values()
            .any(|listed| listed.state == ServerState::Up)
    }

    /// The listed servers that are not in `named`.
    pub(super) fn missing(&self, named: &HashSet<ServerId>) -> Vec<ServerId> {
        self.listed
            .keys()
            .filter(|server| !named.contains(server))
            .copied()
            .collect()
    }

    /// The servers at an address other than this one.
    pub(super) fn others_at(&self, address: &A, server: ServerId) -> Vec<ServerId> {
        let all = self.by_address.get(address).into_iter().flatten().copied();
        all.filter(|other| *other != server).collect()
    }

    /// Adds a server, or replaces its state and address.
    pub(super) fn insert(&mut self, server: ServerId, new: ListedServer<A>) {
        let has_moved = self
            .listed
            .get(&server)
            .is_some_and(|old| old.address != new.address);
        if has_moved {
            self.remove_address(server);
        }
        self.by_address
            .entry(new.address.clone())
            .or_default()
            .insert(server);
        self.listed.insert(server, new);
    }

    /// Removes a server and starts the quarantine of its identifier.
    pub(super) fn remove(&mut self, now: Time, server: ServerId) {
        self.remove_address(server);
        if self.listed.remove(&server).is_some() {
            self.removed.push_back(RemovedServer {
                server,
                removed_at: now,
            });
            *self.removals.entry(server).or_default() += 1;
        }
    }

    /// Removes and returns the identifiers whose quarantine has ended and that are not listed again.
    pub(super) fn take_free_ids(&mut self, now: Time) -> Vec<ServerId> {
        let mut free = Vec::new();
        while let Some(oldest) = self.removed.front() {
            if now - oldest.removed_at <= SERVER_ID_QUARANTINE {
                break;
            }
            let server = oldest.server;
            self.removed.pop_front();
            if self.is_last_removal(server) && !self.is_listed(server) {
                free.push(server);
            }
        }
        free
    }

    /// Decrements the number of removals of a server; returns whether none is left.
    fn is_last_removal(&mut self, server: ServerId) -> bool {
        let Some(count) = self.removals.get_mut(&server) else {
            return true;
        };
        *count -= 1;
        let is_last = *count == 0;
        if is_last {
            self.removals.remove(&server);
        }
        is_last
    }

    fn remove_address(&mut self, server: ServerId) {
        let Some(listed) = self.listed.get(&server) else {
            return;
        };
        let Some(servers) = self.by_address.get_mut(&listed.address) else {
            return;
        };
        servers.remove(&server);
        if servers.is_empty() {
            self.by_address.remove(&listed.address);
        }
    }
}
