//! Bans and ejections that the fleet applies to the pools, and what the pools report to the fleet.

use super::{ListedByPool, PoolId, Shared};
use reelfall_balancer::interface::Time;
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The ejection of one instance of a server by the fleet, because it fails requests of other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct QuorumEjection {
    /// The instance.
    pub server: ServerInstance,
    /// When it expires unless it is renewed; a time in the past ends it.
    pub until: Time,
    /// Whether this node checks the server's health in the meantime, for the whole fleet.
    pub is_prober: bool,
}

/// An attempt that has exceeded its latency objective.
#[derive(Clone, Debug)]
pub struct OverdueRequest {
    /// The server that it was sent to.
    pub server: ServerInstance,
    /// How long it has waited, in seconds.
    pub waited: Time,
    /// The latency objective of its class, in seconds.
    pub latency_objective: Time,
}

/// Observes how attempts at servers end, and which lists are followed.
pub trait FleetObserver {
    /// An attempt at one instance of a server has ended.
    fn attempt_ended(&self, server: ServerInstance, outcome: AttemptOutcome);
    /// A pool received a list with this index.
    fn list_updated(&self, list: &str, pool: PoolId, index: u64);
    /// A pool stopped following a list.
    fn list_dropped(&self, list: &str, pool: PoolId);
}

impl Shared {
    /// Sets the servers that are banned in the whole fleet, and applies the change to all pools.
    pub fn set_fleet_bans(&self, banned: &BTreeSet<String>) {
        let now = self.clock.now();
        let old = self.fleet_bans.borrow().clone();
        let mut new = old.clone();
        for (name, _) in old.banned().filter(|(name, _)| !banned.contains(*name)) {
            new.lift(name, now);
        }
        for name in banned {
            if let Err(error) = new.ban(name, now) {
                self.log.write_line(format_args!("fleet: {error}"));
            }
        }
        let changed = old.changed_servers(&new);
        self.fleet_bans.replace(new);
        let pools = self.pools();
        for name in changed {
            for pool in &pools {
                pool.clone().ban_changed(&name);
            }
        }
    }

    /// Applies, or ends, the ejection of a server in all pools.
    pub fn apply_quorum_ejection(&self, ejection: &QuorumEjection) {
        for pool in self.pools() {
            pool.apply_quorum_ejection(ejection);
        }
    }

    /// Readmits a server in all pools.
    pub fn readmit(&self, server: &ServerInstance) {
        for pool in self.pools() {
            pool.readmit(server);
        }
    }

    /// The number of distinct servers in all endpoint lists.
    pub fn listed_server_count(&self) -> usize {
        self.listed_servers.count()
    }

    /// Counts the servers of a new pool's list among those of all lists.
    pub fn listed_by_pool(&self) -> ListedByPool {
        ListedByPool::new(self.listed_servers.clone())
    }

    /// The attempts of all pools that have exceeded their latency objective.
    pub fn overdue_requests(&self) -> Vec<OverdueRequest> {
        let now = self.clock.now();
        let mut overdue = Vec::new();
        for pool in self.pools() {
            pool.collect_overdue(now, &mut overdue);
        }
        overdue
    }

    /// Sets the observer of attempts and lists.
    pub fn set_fleet_observer(&self, observer: Rc<dyn FleetObserver>) {
        self.observer.replace(Some(observer));
    }

    /// The observer of attempts and lists, if the node is part of a fleet.
    pub fn fleet_observer(&self) -> Option<Rc<dyn FleetObserver>> {
        self.observer.borrow().clone()
    }
}
