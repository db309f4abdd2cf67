//! Combines the states that the endpoint lists of several pools report for the same server.
//!
//! Each pool has its own list and balances on its own, but some states of a server apply to every pool that sends to
//! it: a drain applies to all of them, and all of them share the load that the server tolerates during its slow start.
//!
//! | state of the server in another pool's list | effect on this pool |
//! | --- | --- |
//! | up | both pools send to it and share the load that it tolerates during its slow start |
//! | draining | it is drained here too |
//! | gone | it is drained here for [`GONE_TTL`], unless this pool's list reports a later start |
//! | start time reported (by a list that follows servers) | the latest reported start time applies |
//! | no longer listed (new settings replaced the list, or the pool was removed) | none |
//!
//! The load that a server tolerates during its slow start can't be divided arbitrarily, because each pool needs to send
//! at least one request at a time. So only the [`MAX_POOLS_IN_SLOW_START`] oldest pools send to it; the server is withheld
//! from the others until its slow start ends.

use crate::Time;
use std::collections::HashMap;
use std::hash::Hash;

/// How long a server that another pool's list reports as gone is drained here, in seconds. Lists lag by seconds, so a
/// list that still has the server is most likely outdated; one that has it after this time is taken as correct.
pub const GONE_TTL: Time = 10.0;

/// Maximum number of pools that send to a server in its slow start. Each of them may always have one request in flight;
/// with more pools, these requests alone would overload the server.
pub const MAX_POOLS_IN_SLOW_START: u32 = 8;

/// The state of a server in a pool's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedState {
    /// Whether the server accepts requests.
    pub status: ServerStatus,
    /// When the server last started; 0 for long ago.
    pub started_at: Time,
    /// Whether the list follows servers and reports when they start. For a static list, `started_at` is only an
    /// assumption of its own pool.
    pub reports_start: bool,
}

/// Whether a server accepts requests, according to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It accepts requests.
    Up,
    /// It completes the requests in flight.
    Draining,
    /// It has stopped and left the list.
    Gone,
}

/// The state of a server as one pool sees it, combined from the lists of all pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CombinedView {
    /// Whether the server is drained because of another pool's list.
    pub is_draining: bool,
    /// The number of pools that send to the server, this one included.
    pub pool_count: u32,
    /// When the server last started; 0 for long ago.
    pub started_at: Time,
    /// Until when this pool may not send to the server, because the server is in its slow start and as many older pools
    /// as permitted send to it.
    pub withheld_until: Option<Time>,
}

impl CombinedView {
    /// The view of a server that no other pool lists.
    pub fn unshared(start_time: Time) -> CombinedView {
        CombinedView {
            is_draining: false,
            pool_count: 1,
            started_at: start_time,
            withheld_until: None,
        }
    }
}

/// The state of a server in the list of one pool.
#[derive(Clone, Debug)]
struct PoolListing<P> {
    pool: P,
    state: ListedState,
    /// When the list reported this state first.
    since: Time,
}

/// The states of all servers in the lists of all pools, by address; a node has one for all of its pools.
#[derive(Clone, Debug)]
pub struct SharedServers<A, P> {
    servers: HashMap<A, Vec<PoolListing<P>>>,
}

impl<A, P> Default for SharedServers<A, P> {
    fn default() -> Self {
        SharedServers {
            servers: HashMap::new(),
        }
    }
}

impl<A: Clone + Eq + Hash, P: Copy + Ord> SharedServers<A, P> {
    /// Updates the state of a server in a pool's list; `None` removes the server from it. Returns whether the view of
    /// other pools may have changed.
    pub fn update(&mut self, now: Time, pool: P, address: &A, state: Option<ListedState>) -> bool {
        // A start time in the future, from a wrong clock, would prolong the slow start for all other pools.
        let state = state.map(|state| ListedState {
            started_at: state.started_at.min(now),
            ..state
        });
        let listings = self.servers.entry(address.clone()).or_default();
        let old = listings.iter().position(|listing| listing.pool == pool);
        let changed = match (old, state) {
            (None, None) => false,
            (Some(index), None) => {
                listings.swap_remove(index);
                true
            }
            // The pool has never listed this server.
            (
                None,
                Some(ListedState {
                    status: ServerStatus::Gone,
                    ..
                }),
            ) => false,
            (None, Some(state)) => {
                listings.push(PoolListing {
                    pool,
                    state,
                    since: now,
                });
                true
            }
            (Some(index), Some(state)) => listings.get_mut(index).is_some_and(|listing| {
                let changed = listing.state != state;
                if changed {
                    (listing.state, listing.since) = (state, now);
                }
                changed
            }),
        };
        if listings.is_empty() {
            self.servers.remove(address);
        }
        changed
    }

    /// The combined state of a server for a pool whose own list reports `own`. The slow start of a server takes
    /// `slow_start` seconds in this pool.
    pub fn view(
        &self,
        now: Time,
        pool: P,
        address: &A,
        own: ListedState,
        slow_start: Time,
    ) -> CombinedView {
        let Some(listings) = self.servers.get(address) else {
            return CombinedView::unshared(own.started_at);
        };
        let others = || listings.iter().filter(|listing| listing.pool != pool);
        let is_draining = others().any(|listing| match listing.state.status {
            ServerStatus::Up => false,
            ServerStatus::Draining => true,
            ServerStatus::Gone => {
                now - listing.since < GONE_TTL && own.started_at <= listing.state.started_at
            }
        });
        let senders = || others().filter(|listing| listing.state.status != ServerStatus::Gone);
        let start_time = latest_start(own, senders().map(|listing| listing.state));
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let slow_start_end = if start_time > 0.0 {
            start_time + slow_start
        } else {
            0.0
        };
        let older_pools = count(senders().filter(|listing| listing.pool < pool).count());
        CombinedView {
            is_draining,
            pool_count: count(1 + senders().count()),
            started_at: start_time,
            withheld_until: (older_pools >= MAX_POOLS_IN_SLOW_START && now < slow_start_end)
                .then_some(slow_start_end),
        }
    }

    /// The pools that list a server.
    pub fn pools<'a>(&'a self, address: &A) -> impl Iterator<Item = P> + 'a {
        self.servers
            .get(address)
            .into_iter()
            .flatten()
            .map(|listing| listing.pool)
    }

    /// Removes the states of servers that have been gone for [`GONE_TTL`]. Returns their addresses.
    pub fn expire(&mut self, now: Time) -> Vec<A> {
        self.retain(|listing| {
            listing.state.status != ServerStatus::Gone || now - listing.since < GONE_TTL
        })
    }

    /// Removes the list of a pool that no longer exists. Returns the addresses of its servers.
    pub fn remove_pool(&mut self, pool: P) -> Vec<A> {
        self.retain(|listing| listing.pool != pool)
    }

    /// Keeps the listings for which `keep` returns true. Returns the addresses of the others.
    fn retain(&mut self, keep: impl Fn(&PoolListing<P>) -> bool) -> Vec<A> {
        let mut removed = Vec::new();
        self.servers.retain(|address, listings| {
            let before = listings.len();
            listings.retain(&keep);
            if listings.len() < before {
                removed.push(address.clone());
            }
            !listings.is_empty()
        });
        removed
    }

    /// The number of different servers in the lists of all pools.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the lists of all pools are empty.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// When a server last started: the latest start that any list reports, or else the assumption of this pool's own list.
///
/// Without the other lists, a pool with a static list would overload a server that has just restarted at its old address.
fn latest_start(own: ListedState, others: impl Iterator<Item = ListedState>) -> Time {
    let states = std::iter::once(own).chain(others);
    let starts = states
        .filter(|state| state.reports_start)
        .map(|state| state.started_at);
    starts.reduce(f64::max).unwrap_or(own.started_at)
}
