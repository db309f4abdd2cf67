//! State that all pools of a process share, such as connection limits, buffer memory and the operators' bans.
//!
//! The frontend, pools and connections hold an `Rc` of [`Shared`]. Each module below owns one part of its state:
//!
//! | module | state |
//! | --- | --- |
//! | `clock` | the time of engines and limits |
//! | `connections` | numbers of open connections to servers and their limits |
//! | `endpoint_lists` | what several pools' lists state about the same servers |
//! | `fleet` | bans and ejections by the fleet, and its observer of attempts |
//! | `listed` | the number of distinct servers in all lists |
//! | `memory` | memory for connections, and for buffered request bodies and responses |
//! | `ledger` | the bans and the drain that operators order |
//! | `request_ids` | the ids of open requests, and of unsafe ones that have ended |
//! | `service_limits` | the limits of each service, if several share the process |

mod clock;
mod connections;
mod endpoint_lists;
mod fleet;
mod ledger;
mod listed;
mod memory;
mod request_ids;
mod service_limits;

pub use clock::Clock;
pub use connections::ConnectionPermit;
pub use fleet::{FleetObserver, OverdueRequest, QuorumEjection};
pub use listed::{ListedByPool, ListedServers};
pub use memory::{AnswerBuffer, AnswerQuota, BufferLayout, MemoryPermit};
pub use request_ids::{ClaimError, OpenId, Repeatability};
pub use service_limits::Permit;

use super::memory::{MemoryAccount, MemoryPlan};
use super::request_events::RequestEvents;
use super::{Log, ResourceLimits};
use connections::ConnectionCounts;
use memory::BufferLimits;
use reelfall_admin::ban::Bans;
use reelfall_admin::ledger::Ledger;
use reelfall_balancer::interface::Time;
use reelfall_cluster::entry::ServerInstance;
use reelfall_routing::limits::{AdmissionControl, ProcessResources};
use reelfall_routing::shared_servers::SharedServers;
use request_ids::RequestIds;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Instant;
use tokio::sync::Notify;

/// A pool's number, never reused while the process runs.
pub type PoolId = u32;

/// What [`Shared`] requests of a pool on behalf of other pools, operators and the fleet.
pub trait PoolPeer {
    /// When the connection that has been idle longest became idle, among those to one address or among all.
    fn oldest_idle_since(&self, address: Option<SocketAddr>) -> Option<Instant>;
    /// Closes that connection. Returns whether there was one.
    fn close_oldest_idle(&self, address: Option<SocketAddr>) -> bool;
    /// Wakes the attempts that wait for a connection.
    fn connection_freed(&self);
    /// Called periodically: closes connections that were idle too long, and uses servers that are no longer withheld.
    fn tick(self: Rc<Self>);
    /// Adjusts the endpoints at an address, since its listing by another pool has changed.
    fn listing_changed(self: Rc<Self>, address: SocketAddr);
    /// Adjusts a server, since operators or the fleet have banned it or lifted its ban.
    fn ban_changed(self: Rc<Self>, name: &str);
    /// Adjusts all endpoints.
    fn refresh_endpoints(self: Rc<Self>);
    /// Whether the pool's list names a server or named it recently.
    fn knows_server(&self, name: &str) -> bool;
    /// Adds the pool's attempts that have exceeded their latency objective.
    fn collect_overdue(&self, now: Time, overdue: &mut Vec<OverdueRequest>);
    /// Applies, or ends, the ejection of a server by the fleet.
    fn apply_quorum_ejection(self: Rc<Self>, ejection: &QuorumEjection);
    /// Readmits a server after the fleet has found that it responds again.
    fn readmit(self: Rc<Self>, server: &ServerInstance);
}

/// State that all pools of a process share.
pub struct Shared {
    /// The rate-limited log.
    pub log: Log,
    /// What happens to requests that are not simply answered.
    pub request_events: Rc<RequestEvents>,
    /// The time of engines and limits.
    pub clock: Clock,
    request_ids: RequestIds,
    connections: ConnectionCounts,
    buffer_limits: BufferLimits,
    /// The memory that is held for clients and servers.
    memory: Rc<MemoryAccount>,
    /// How the memory is divided while this is the only process of the node.
    memory_plan: Cell<MemoryPlan>,
    /// `None` if the process has a single service, which may use all of its resources.
    service_limits: Option<RefCell<AdmissionControl>>,
    combined_lists: RefCell<SharedServers<SocketAddr, PoolId>>,
    listed_servers: Rc<ListedServers>,
    pools: RefCell<HashMap<PoolId, Weak<dyn PoolPeer>>>,
    next_pool_id: Cell<PoolId>,
    /// The bans and the drain that operators have ordered at this node.
    ledger: RefCell<Ledger>,
    /// Servers that are banned in the whole fleet.
    fleet_bans: RefCell<Bans>,
    /// `None` if the node is not part of a fleet.
    observer: RefCell<Option<Rc<dyn FleetObserver>>>,
    /// Notified when the node's drain starts or ends.
    pub drain_changed: Notify,
    /// Processes of this node that serve at the same time, this one included.
    process_count: Cell<u32>,
}

impl Shared {
    /// The state of a process with one service, which may use all of the process's resources.
    pub fn for_single_service(limits: ResourceLimits) -> Rc<Self> {
        Rc::new(Self::new(
            limits.server_connections,
            limits.body_memory_kib,
            limits.memory,
            None,
        ))
    }

    /// The state of a process with several services, each with its share of the totals.
    pub fn for_services(
        totals: ProcessResources,
        max_connections_per_server: Option<usize>,
        memory: MemoryPlan,
    ) -> Rc<Self> {
        let shared = Self::new(
            memory.server_connections,
            0,
            memory,
            Some(RefCell::new(AdmissionControl::new(totals))),
        );
        shared
            .connections
            .set_max_per_server(max_connections_per_server);
        Rc::new(shared)
    }

    fn new(
        max_connections: usize,
        buffer_limit_kib: usize,
        memory: MemoryPlan,
        service_limits: Option<RefCell<AdmissionControl>>,
    ) -> Self {
        Shared {
            log: Log::default(),
            request_events: Rc::default(),
            clock: Clock::start(),
            request_ids: RequestIds::default(),
            connections: ConnectionCounts::new(max_connections),
            buffer_limits: BufferLimits::new(buffer_limit_kib),
            memory: MemoryAccount::new(&memory),
            memory_plan: Cell::new(memory),
            service_limits,
            combined_lists: RefCell::default(),
            listed_servers: Rc::default(),
            pools: RefCell::default(),
            next_pool_id: Cell::new(0),
            ledger: RefCell::default(),
            fleet_bans: RefCell::default(),
            observer: RefCell::default(),
            drain_changed: Notify::new(),
            process_count: Cell::new(1),
        }
    }

    /// Changes the totals of a process with several services. Resources in use are not revoked.
    pub fn set_totals(
        &self,
        totals: ProcessResources,
        max_connections_per_server: Option<usize>,
        memory: MemoryPlan,
    ) {
        self.connections.set_max(memory.server_connections);
        self.set_memory_plan(memory);
        self.connections
            .set_max_per_server(max_connections_per_server);
        if let Some(limits) = &self.service_limits {
            limits.borrow_mut().set_totals(totals);
        }
    }

    /// Lowers the limits of a process with one service, before anything is in use.
    pub fn shrink(&self, from: ResourceLimits, to: ResourceLimits) {
        self.connections.set_max(to.server_connections);
        self.buffer_limits
            .shrink(from.body_memory_kib.saturating_sub(to.body_memory_kib));
    }

    /// Raises the limits of a process with one service.
    pub fn grow(&self, from: ResourceLimits, to: ResourceLimits) {
        self.connections.set_max(to.server_connections);
        self.buffer_limits
            .grow(to.body_memory_kib.saturating_sub(from.body_memory_kib));
        self.notify_connection_freed();
    }

    /// Divides the memory anew, for as many processes as serve at the same time.
    fn set_memory_plan(&self, plan: MemoryPlan) {
        self.memory_plan.set(plan);
        let is_shared = self.process_count.get() > 1;
        let own = if is_shared { plan.halved() } else { plan };
        self.memory.set_plan(&own);
    }

    /// The number of processes of this node that serve at the same time.
    pub fn process_count(&self) -> u32 {
        self.process_count.get()
    }

    /// Changes the number of serving processes, among which the slow-start rate of a server is divided.
    pub fn set_process_count(&self, process_count: u32) {
        if self.process_count.replace(process_count) != process_count {
            self.set_memory_plan(self.memory_plan.get());
            self.pools()
                .into_iter()
                .for_each(PoolPeer::refresh_endpoints);
        }
    }

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

    /// The pools that still exist.
    fn pools(&self) -> Vec<Rc<dyn PoolPeer>> {
        self.pools
            .borrow()
            .values()
            .filter_map(Weak::upgrade)
            .collect()
    }

    /// Called periodically: removes pools that no longer exist and listings that have expired, and calls all pools.
    pub fn tick(&self) {
        self.remove_dropped_pools();
        self.expire_listings();
        self.tick_request_ids();
        self.pools().into_iter().for_each(PoolPeer::tick);
    }
}

#[cfg(test)]
mod tests;
