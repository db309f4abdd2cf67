//! Servers that several pools list.
//!
//! Each pool has a list of its own and decides for itself. What one list says of a server still concerns every pool
//! that sends to it: a drain holds for all of them, and what a cold server tolerates is one amount that they share.
//!
//! | state of an address in another pool's list | effect on this pool |
//! | --- | --- |
//! | it serves | both send; the cold server's tolerance is shared |
//! | it drains | it drains here |
//! | it is gone | it drains here for [`GONE_TTL`], unless this pool's list reports a later start |
//! | it started at some moment (a list that follows servers) | it started then, or later if this list says so |
//! | not listed any more (the list was taken from the settings, or the pool ended) | none |
//!
//! A cold server's tolerance can't be divided at will: each pool has to be able to send one request now and then. So
//! the [`SHARERS_MOST`] oldest pools send to it, and it is withheld from any further pool until it is warm.

use crate::Time;
use std::collections::HashMap;
use std::hash::Hash;

/// How long a server that another pool's list reports as gone is drained here, in seconds. Lists are seconds late, so a
/// list that still has the server is most likely outdated; after this time it is believed.
pub const GONE_TTL: Time = 10.0;

/// Maximum number of pools that send to one cold server. Each of them may send one request at once; with more pools,
/// these alone would be more than the server tolerates.
pub const SHARERS_MOST: u32 = 8;

/// The state of a server in a pool's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedState {
    /// Whether it takes requests.
    pub status: ServerStatus,
    /// When it last started; 0 for long ago.
    pub ready_at: Time,
    /// The list follows servers and knows when they start. Otherwise somebody wrote it, and `ready_at` is a guess
    /// that concerns nobody else.
    pub knows_start: bool,
}

/// Whether a server takes requests, according to a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStatus {
    /// It takes requests.
    Up,
    /// It finishes what it has.
    Draining,
    /// It has ended.
    Gone,
}

/// The state of a server for one pool, with the lists of all pools combined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CombinedView {
    /// Nothing new may be sent to it, according to another list.
    pub is_draining: bool,
    /// Number of pools that send to it, this one included.
    pub sharers: u32,
    /// When it last started; 0 for long ago.
    pub ready_at: Time,
    /// This pool may not send to it until then: the server is cold, and older pools send to it.
    pub withheld_until: Option<Time>,
}

impl CombinedView {
    /// A server that no other pool lists.
    pub fn unshared(ready_at: Time) -> CombinedView {
        CombinedView {
            is_draining: false,
            sharers: 1,
            ready_at,
            withheld_until: None,
        }
    }
}

#[derive(Clone, Debug)]
struct PoolListing<P> {
    pool: P,
    state: ListedState,
    /// When the list reported this state first.
    since: Time,
}

/// The states of servers in the lists of all pools, by address.
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
    /// Updates the state of a server in a pool's list; `None` removes it. Returns whether that may change what holds for
    /// other pools.
    pub fn update(&mut self, now: Time, pool: P, address: &A, state: Option<ListedState>) -> bool {
        // A start in the future would leave the server cold for others for as long as somebody's clock is wrong.
        let state = state.map(|s| ListedState {
            ready_at: s.ready_at.min(now),
            ..s
        });
        let listings = self.servers.entry(address.clone()).or_default();
        let old = listings.iter().position(|listing| listing.pool == pool);
        let changed = match (old, state) {
            (None, None) => false,
            (Some(n), None) => {
                listings.swap_remove(n);
                true
            }
            // The end of a server that the pool never listed concerns nobody.
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
            (Some(n), Some(state)) => listings.get_mut(n).is_some_and(|listing| {
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

    /// The state of a server for a pool whose own list has it as `own`, and for which a server is warm `warm_after`
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
            return CombinedView::unshared(own.ready_at);
        };
        let others = || listings.iter().filter(|listing| listing.pool != pool);
        let is_draining = others().any(|listing| match listing.state.status {
            ServerStatus::Up => false,
            ServerStatus::Draining => true,
            ServerStatus::Gone => {
                now - listing.since < GONE_TTL && own.ready_at <= listing.state.ready_at
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
            sharers: count(1 + senders().count()),
            ready_at,
            withheld_until: (older_pools >= SHARERS_MOST && now < warm_at).then_some(warm_at),
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

    /// Keeps the listings that fulfil a condition. Returns the addresses of the others.
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
/// Guards against a pool that takes a server for warm (a written list knows no starts) while others know that it
/// has just begun, and would overload it. It ought to catch every server that starts anew under its old address.
/// Harm: a list that is wrong about a start makes the server cold, and slow to fill, for all pools that have it.
fn latest_start(own: ListedState, others: impl Iterator<Item = ListedState>) -> Time {
    let states = std::iter::once(own).chain(others);
    let starts = states
        .filter(|state| state.knows_start)
        .map(|state| state.ready_at);
    starts.reduce(f64::max).unwrap_or(own.ready_at)
}
