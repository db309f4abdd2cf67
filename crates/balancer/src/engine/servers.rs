//! The servers that the newest list names, by number and by address, and the numbers of those that went.

use crate::interface::{ServerId, ServerState, Time};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::Hash;

/// A number of a server that is gone is not given to another while an attempt may name it; in seconds.
pub const NUMBER_RESTS: Time = 30.0;

/// A server that is listed, whether or not it may be sent to.
pub(super) struct Listed<A> {
    pub(super) address: A,
    pub(super) state: ServerState,
    pub(super) ready_at: Time,
}

/// The servers of one list. Every operation on one of them costs the same however long the list is.
pub(super) struct Servers<A> {
    listed: HashMap<ServerId, Listed<A>>,
    /// The servers at each address; more than one while all but one of them drain.
    at: HashMap<A, BTreeSet<ServerId>>,
    /// Servers that went, oldest first, until their numbers are free.
    gone: VecDeque<(Time, ServerId)>,
    /// How often each of them stands there: one may have come back and gone again.
    resting: HashMap<ServerId, usize>,
}

impl<A: Clone + Eq + Hash> Servers<A> {
    /// No servers.
    pub(super) fn new() -> Self {
        Servers {
            listed: HashMap::new(),
            at: HashMap::new(),
            gone: VecDeque::new(),
            resting: HashMap::new(),
        }
    }

    /// Whether the list names a server.
    pub(super) fn lists(&self, server: ServerId) -> bool {
        self.listed.contains_key(&server)
    }

    /// What is listed of a server.
    pub(super) fn get(&self, server: ServerId) -> Option<&Listed<A>> {
        self.listed.get(&server)
    }

    /// Some server may be sent to.
    pub(super) fn any_up(&self) -> bool {
        self.listed.values().any(|s| s.state == ServerState::Up)
    }

    /// The servers that are not among those named.
    pub(super) fn missing(&self, named: &HashSet<ServerId>) -> Vec<ServerId> {
        self.listed
            .keys()
            .filter(|server| !named.contains(server))
            .copied()
            .collect()
    }

    /// The servers at an address but for one.
    pub(super) fn others_at(&self, address: &A, but: ServerId) -> Vec<ServerId> {
        self.at
            .get(address)
            .into_iter()
            .flatten()
            .copied()
            .filter(|server| *server != but)
            .collect()
    }

    /// Lists a server as it is now.
    pub(super) fn insert(&mut self, server: ServerId, new: Listed<A>) {
        let moved = self
            .listed
            .get(&server)
            .is_some_and(|old| old.address != new.address);
        if moved {
            self.leave_address(server);
        }
        self.at
            .entry(new.address.clone())
            .or_default()
            .insert(server);
        self.listed.insert(server, new);
    }

    /// Takes a server off the list; its number rests from now on.
    pub(super) fn remove(&mut self, now: Time, server: ServerId) {
        self.leave_address(server);
        if self.listed.remove(&server).is_some() {
            self.gone.push_back((now, server));
            *self.resting.entry(server).or_default() += 1;
        }
    }

    /// The numbers that have rested for long enough and are not in use again.
    pub(super) fn rested(&mut self, now: Time) -> Vec<ServerId> {
        let mut free = Vec::new();
        while let Some((since, server)) = self.gone.front().copied() {
            if now - since <= NUMBER_RESTS {
                break;
            }
            self.gone.pop_front();
            if self.rests_no_more(server) && !self.lists(server) {
                free.push(server);
            }
        }
        free
    }

    /// Counts one rest of a number less; whether that was the last.
    fn rests_no_more(&mut self, server: ServerId) -> bool {
        let Some(count) = self.resting.get_mut(&server) else {
            return true;
        };
        *count -= 1;
        let last = *count == 0;
        if last {
            self.resting.remove(&server);
        }
        last
    }

    fn leave_address(&mut self, server: ServerId) {
        let Some(address) = self.listed.get(&server).map(|listed| &listed.address) else {
            return;
        };
        let Some(there) = self.at.get_mut(address) else {
            return;
        };
        there.remove(&server);
        if there.is_empty() {
            self.at.remove(address);
        }
    }
}
