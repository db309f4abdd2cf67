//! What all pools of a process share: descriptors, memory, ids of open requests, and what their lists say of servers
//! that several of them have.

mod clock;
mod fleet;
mod listed;
mod permits;

pub use clock::Clock;
pub use fleet::{Condemnation, FleetObserver, OverdueRequest};
pub use listed::{ListedByPool, ListedServers};
pub use permits::{ConnectionPermit, MemoryPermit, OpenId, Permit};

use super::{Log, ResourceLimits};
use reelfall_admin::ban::{BanStatus, Bans};
use reelfall_admin::ledger::Ledger;
use reelfall_balancer::interface::Time;
use reelfall_routing::common::{CombinedView, ListedState, SharedServers};
use reelfall_routing::limits::{Limits, Totals};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{Notify, Semaphore};

/// A pool's number, never used twice in one life of the process.
pub type PoolId = u32;

/// What pools ask of each other, by way of what they share.
pub trait PoolPeer {
    /// Since when the longest idle connection, to one address or to any, has been idle.
    fn oldest_idle_since(&self, to: Option<SocketAddr>) -> Option<Instant>;
    /// Closes that connection; whether there was one.
    fn close_oldest_idle(&self, to: Option<SocketAddr>) -> bool;
    /// Whoever waits for a connection looks again.
    fn connection_freed(&self);
    /// Looks at what time alone changes: connections that have been idle for too long, servers that have become warm.
    fn tick(self: Rc<Self>);
    /// What another list says of a server has changed, one that this one may name.
    fn listing_changed(self: Rc<Self>, address: SocketAddr);
    /// Operators have said something of a server that this pool may know.
    fn ban_changed(self: Rc<Self>, name: &str);
    /// What holds of every server may have changed.
    fn refresh_endpoints(self: Rc<Self>);
    /// Whether its list has named a server, now or lately.
    fn knows_server(&self, name: &str) -> bool;
    /// Adds the attempts that have waited past their target.
    fn collect_overdue(&self, now: Time, to: &mut Vec<OverdueRequest>);
    /// Applies, or ends, the condemnation of a server by the fleet.
    fn apply_condemnation(self: Rc<Self>, condemnation: &Condemnation);
}

/// See the module.
pub struct Shared {
    pub log: Log,
    pub clock: Clock,
    open_request_ids: RefCell<HashSet<Box<[u8]>>>,
    /// Connections to servers that are open, and the most that may be.
    open_connections: Cell<usize>,
    max_connections: Cell<usize>,
    /// The same for each server, where several services may send to one.
    connections_by_server: RefCell<HashMap<SocketAddr, usize>>,
    max_connections_per_server: Cell<Option<usize>>,
    /// Memory for bodies of requests and for large answers, where there is one service alone.
    body_memory: Arc<Semaphore>,
    response_memory: Arc<Semaphore>,
    memory_freed: Notify,
    /// Attempts that wait for a connection.
    waiting_attempts: Cell<usize>,
    service_limits: Option<RefCell<Limits>>,
    combined_lists: RefCell<SharedServers<SocketAddr, PoolId>>,
    listed_servers: Rc<ListedServers>,
    pools: RefCell<HashMap<PoolId, Weak<dyn PoolPeer>>>,
    next_pool_id: Cell<PoolId>,
    /// The bans and the drain that operators have ordered here.
    operations: RefCell<Ledger>,
    /// Servers that are banned in the whole fleet.
    fleet_bans: RefCell<Bans>,
    /// The fleet, if the node is part of one.
    observer: RefCell<Option<Rc<dyn FleetObserver>>>,
    /// The node begins or ends to be emptied.
    pub drain_changed: Notify,
    /// Processes of this node that serve beside each other, this one included.
    process_count: Cell<u32>,
}

impl Shared {
    /// For one service alone, which has all that the process has.
    pub fn for_single_service(bounds: ResourceLimits) -> Rc<Self> {
        Rc::new(Self::new(
            bounds.server_connections,
            bounds.body_memory_kib,
            None,
        ))
    }

    /// For several services, which have what they are allowed of the totals.
    pub fn for_services(totals: Totals, most_by_server: Option<usize>) -> Rc<Self> {
        let shared = Self::new(
            totals.connections as usize,
            0,
            Some(RefCell::new(Limits::new(totals))),
        );
        shared.max_connections_per_server.set(most_by_server);
        Rc::new(shared)
    }

    fn new(most: usize, body_kib: usize, limits: Option<RefCell<Limits>>) -> Self {
        Shared {
            log: Log::default(),
            clock: Clock::start(),
            open_request_ids: RefCell::default(),
            open_connections: Cell::new(0),
            max_connections: Cell::new(most),
            connections_by_server: RefCell::default(),
            max_connections_per_server: Cell::new(None),
            body_memory: Arc::new(Semaphore::new(body_kib)),
            response_memory: Arc::new(Semaphore::new(body_kib)),
            memory_freed: Notify::new(),
            waiting_attempts: Cell::new(0),
            service_limits: limits,
            combined_lists: RefCell::default(),
            listed_servers: Rc::default(),
            pools: RefCell::default(),
            next_pool_id: Cell::new(0),
            operations: RefCell::default(),
            fleet_bans: RefCell::default(),
            observer: RefCell::default(),
            drain_changed: Notify::new(),
            process_count: Cell::new(1),
        }
    }

    /// Changes what there is; what is held stays held.
    pub fn set_totals(&self, totals: Totals, most_by_server: Option<usize>) {
        self.max_connections.set(totals.connections as usize);
        self.max_connections_per_server.set(most_by_server);
        if let Some(limits) = &self.service_limits {
            limits.borrow_mut().set_totals(totals);
        }
    }

    /// A connection has ended or is idle: whoever waits for one looks again.
    pub fn notify_connection_freed(&self) {
        if self.waiting_attempts.get() == 0 {
            return;
        }
        // A pool that is being dropped gives its connections back in the middle of a look at the others.
        if let Ok(pools) = self.pools.try_borrow() {
            pools
                .values()
                .filter_map(Weak::upgrade)
                .for_each(|p| p.connection_freed());
        }
    }

    // ---- bans and drains ----

    /// The bans and the drain that hold at this node.
    pub fn operations(&self) -> Ledger {
        self.operations.borrow().clone()
    }

    /// Applies bans and drains to all pools.
    pub fn apply_operations(&self, new: Ledger) {
        let old = self.operations.replace(new.clone());
        let pools = self.peers();
        for name in old.bans.changed_servers(&new.bans) {
            pools.iter().for_each(|p| p.clone().ban_changed(&name));
        }
        if old.drain != new.drain {
            self.drain_changed.notify_waiters();
        }
    }

    /// Whether a server is banned, at this node or by its fleet, and when it counts as started if its list says `ready_at`.
    pub fn ban_status(&self, name: &str, ready_at: Time) -> BanStatus {
        let here = self.operations.borrow().bans.status(name, ready_at);
        let fleet = self.fleet_bans.borrow().status(name, here.ready_at);
        BanStatus {
            is_banned: here.is_banned || fleet.is_banned,
            ready_at: fleet.ready_at,
        }
    }

    /// Whether the node is being emptied.
    pub fn is_draining(&self) -> bool {
        self.operations.borrow().drain.is_active()
    }

    /// When a connection that has been idle since then has to go, if the node is being emptied.
    pub fn idle_deadline(&self, since: Instant) -> Option<Instant> {
        let until = self
            .operations
            .borrow()
            .drain
            .idle_deadline(self.clock.time(since));
        until.map(|until| self.clock.instant(until))
    }

    /// How many processes of this node serve beside each other.
    pub fn process_count(&self) -> u32 {
        self.process_count.get()
    }

    /// Changes how many do. Each has its part of what a cold server may be sent.
    pub fn set_process_count(&self, processes: u32) {
        if self.process_count.replace(processes) != processes {
            self.peers()
                .into_iter()
                .for_each(PoolPeer::refresh_endpoints);
        }
    }

    /// Less may be held than at first, before anything is, where there is one service alone.
    pub fn shrink(&self, from: ResourceLimits, to: ResourceLimits) {
        self.max_connections.set(to.server_connections);
        let less = from.body_memory_kib.saturating_sub(to.body_memory_kib);
        self.body_memory.forget_permits(less);
        self.response_memory.forget_permits(less);
    }

    /// More may be held from now on, where there is one service alone.
    pub fn grow(&self, from: ResourceLimits, to: ResourceLimits) {
        self.max_connections.set(to.server_connections);
        let more = to.body_memory_kib.saturating_sub(from.body_memory_kib);
        self.body_memory.add_permits(more);
        self.response_memory.add_permits(more);
        self.notify_connection_freed();
    }

    /// Whether some list has named a server, now or lately, or it is banned.
    pub fn knows_server(&self, name: &str) -> bool {
        self.operations.borrow().bans.is_banned(name)
            || self.peers().iter().any(|p| p.knows_server(name))
    }

    fn peers(&self) -> Vec<Rc<dyn PoolPeer>> {
        self.pools
            .borrow()
            .values()
            .filter_map(Weak::upgrade)
            .collect()
    }

    // ---- servers that several pools list ----

    /// The id of a new pool.
    pub fn next_pool_id(&self) -> PoolId {
        let id = self.next_pool_id.get();
        self.next_pool_id.set(id + 1);
        id
    }

    /// Registers a new pool.
    pub fn register_pool(&self, id: PoolId, pool: &Rc<dyn PoolPeer>) {
        self.pools.borrow_mut().insert(id, Rc::downgrade(pool));
    }

    /// Whether one pool's list concerns other pools.
    pub fn combines_lists(&self) -> bool {
        self.service_limits.is_some()
    }

    /// Updates the state of a server in a pool's list; `None` removes it. Returns whether other pools have to be told.
    pub fn update_listing(
        &self,
        pool: PoolId,
        address: SocketAddr,
        state: Option<ListedState>,
    ) -> bool {
        self.combined_lists
            .borrow_mut()
            .update(self.clock.now(), pool, &address, state)
    }

    /// The state of a server for a pool, with the lists of all pools combined.
    pub fn combined_view(
        &self,
        pool: PoolId,
        address: SocketAddr,
        own: ListedState,
        warm_after: Time,
    ) -> CombinedView {
        self.combined_lists
            .borrow()
            .view(self.clock.now(), pool, &address, own, warm_after)
    }

    /// Tells the pools that list a server, but for the one that brought the news.
    pub fn notify_listing_changed(&self, address: SocketAddr, but: Option<PoolId>) {
        let ids: Vec<PoolId> = self
            .combined_lists
            .borrow()
            .pools(&address)
            .filter(|p| Some(*p) != but)
            .collect();
        for id in ids {
            let pool = self.pools.borrow().get(&id).and_then(Weak::upgrade);
            if let Some(pool) = pool {
                pool.listing_changed(address);
            }
        }
    }

    /// Periodic work: removes expired listings, and pools that are gone.
    pub fn tick(&self) {
        let gone: Vec<PoolId> = self
            .pools
            .borrow()
            .iter()
            .filter(|(_, p)| p.strong_count() == 0)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.pools.borrow_mut().remove(&id);
            let removed = self.combined_lists.borrow_mut().remove_pool(id);
            removed
                .into_iter()
                .for_each(|address| self.notify_listing_changed(address, None));
        }
        let expired = self.combined_lists.borrow_mut().expire(self.clock.now());
        expired
            .into_iter()
            .for_each(|address| self.notify_listing_changed(address, None));
        self.peers().into_iter().for_each(PoolPeer::tick);
    }
}

#[cfg(test)]
mod tests;
