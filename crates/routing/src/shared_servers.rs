//! Combines what the endpoint lists of several pools say of a server that all of them list.
//!
//! Each pool has a list of its own and decides for itself. What one list says of a server still concerns every pool
//! that sends to it: a drain holds for all of them, and they share the load that a server tolerates while it warms up.
//!
//! | state of an address in another pool's list | effect on this pool |
//! | --- | --- |
//! | up | both send; they share what the server tolerates while it warms up |
//! | draining | it drains here |
//! | gone | it drains here for [`GONE_TTL`], unless this pool's list reports a later start |
//! | started at some time (a list that follows servers) | it started then, or later if this list says so |
//! | not listed any more (the list was replaced by new settings, or the pool ended) | none |
//!
//! The load that a server tolerates while it warms up can't be divided at will: each pool has to be able to send at
//! least one request at a time. So only the [`MAX_POOLS_IN_SLOW_START`] oldest pools send to it; it is withheld from any
//! other pool until it is warm.

use crate::Time;
use std::collections::HashMap;
use std::hash::Hash;

/// How long a server that another pool's list reports as gone is drained here, in seconds. Lists are seconds late, so a
/// list that still has the server is most likely outdated; after this time it is believed.
pub const GONE_TTL: Time = 10.0;

/// Maximum number of pools that send to a server that is warming up. Each of them may send one request at a time; with
/// more pools, these alone would overload the server.
pub const MAX_POOLS_IN_SLOW_START: u32 = 8;

/// The state of a server in a pool's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedState {
    /// Whether it takes requests.
    pub status: ServerStatus,
    /// When it last started; 0 for long ago.
    pub started_at: Time,
    /// Whether the list follows servers and reports when they start. In a static list, `ready_at` is only an
    /// assumption of its own pool.
    pub reports_start: bool,
}

/// Whether a server takes requests, according to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It takes requests.
    Up,
    /// It completes the requests in flight.
    Draining,
    /// It has stopped.
    Gone,
}

/// The state of a server for one pool, with the lists of all pools combined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CombinedView {
    /// Whether it drains according to another list.
    pub is_draining: bool,
    /// Number of pools that send to it, this one included.
    pub pools: u32,
    /// When it last started; 0 for long ago.
    pub started_at: Time,
    /// Until then, this pool may not send to it: the server is warming up, and enough older pools send to it.
    pub withheld_until: Option<Time>,
}

impl CombinedView {
    /// A server that no other pool lists.
    pub fn unshared(ready_at: Time) -> CombinedView {
        CombinedView {
            is_draining: false,
            pools: 1,
            started_at: ready_at,
            withheld_until: None,
        }
    }
}

#[derive(Clone, Debug)]
struct PoolListing<P> {
    pool: P,
    state: ListedState,
    /// When the list first reported this state.
    since: Time,
}

/// The states of all servers in the lists of all pools, by address. The node has one for all of its pools.
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
    /// Updates the state of a server in a pool's list; `None` removes it. Returns whether the view of other pools may
    /// have changed.
    pub fn update(&mut self, now: Time, pool: P, address: &A, state: Option<ListedState>) -> bool {
        // A start in the future, by a clock that is wrong, would keep the server cold for all other pools.
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
            // A server that the pool never listed.
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

    /// The state of a server for a pool whose own list has it as `own`. For this pool, a server is warm `warm_after`
    /// seconds after its start.
    pub fn view(
        &self,
        now: Time,
        pool: P,
        address: &A,
        own: ListedState,
        warm_after: Time,
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
        let ready_at = latest_start(own, senders().map(|listing| listing.state));
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let warm_at = if ready_at > 0.0 {
            ready_at + warm_after
        } else {
            0.0
        };
        let older_pools = count(senders().filter(|listing| listing.pool < pool).count());
        CombinedView {
            is_draining,
            pools: count(1 + senders().count()),
            started_at: ready_at,
            withheld_until: (older_pools >= MAX_POOLS_IN_SLOW_START && now < warm_at)
                .then_some(warm_at),
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

    /// Removes the listings of servers that have been gone for [`GONE_TTL`]. Returns their addresses.
    pub fn expire(&mut self, now: Time) -> Vec<A> {
        self.retain(|listing| {
            listing.state.status != ServerStatus::Gone || now - listing.since < GONE_TTL
        })
    }

    /// Removes all listings of a pool that has ended. Returns their addresses.
    pub fn remove_pool(&mut self, pool: P) -> Vec<A> {
        self.retain(|listing| listing.pool != pool)
    }

    /// Retains the listings that fulfil a condition. Returns the addresses of the others.
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

    /// Number of servers in the lists of all pools.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no pool lists a server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// When a server last started: the latest start that a list knows of; if none does, what this pool's list assumes.
///
/// A pool with a static list would otherwise overload a server that has just restarted under its old address.
fn latest_start(own: ListedState, others: impl Iterator<Item = ListedState>) -> Time {
    let states = std::iter::once(own).chain(others);
    let starts = states
        .filter(|state| state.reports_start)
        .map(|state| state.started_at);
    starts.reduce(f64::max).unwrap_or(own.started_at)
}
