//! What the fleet and the pools tell each other.

use super::{ListedByPool, PoolId, Shared};
use reelfall_balancer::interface::Time;
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The condemnation of one instance of a server by the nodes of the fleet: it fails others.
#[derive(Clone, Debug, PartialEq)]
pub struct Condemnation {
    pub server: ServerInstance,
    /// When it expires without further reports; a time that has passed ends it.
    pub until: Time,
    /// Whether this node probes the server meanwhile, for all.
    pub is_prober: bool,
}

/// An attempt that has waited for an answer past its target.
#[derive(Clone, Debug)]
pub struct OverdueRequest {
    pub server: ServerInstance,
    /// How long it has waited, in seconds.
    pub waited: Time,
    /// How long it should have waited at most, in seconds.
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
    /// Sets the servers that are banned in the whole fleet. What has changed holds in all pools when this returns.
    pub fn set_fleet_bans(&self, banned: &BTreeSet<String>) {
        let now = self.clock.now();
        let old = self.fleet_bans.borrow().clone();
        let mut new = old.clone();
        for name in old.banned().filter(|(name, _)| !banned.contains(*name)) {
            new.enable(name.0, now);
        }
        for name in banned {
            if let Err(error) = new.disable(name, now) {
                self.log.write_line(format_args!("fleet: {error}"));
            }
        }
        let changed = old.changed_servers(&new);
        self.fleet_bans.replace(new);
        let pools = self.peers();
        for name in changed {
            pools.iter().for_each(|p| p.clone().ban_changed(&name));
        }
    }

    /// Applies, or ends, the condemnation of a server in all pools.
    pub fn apply_condemnation(&self, condemnation: &Condemnation) {
        self.peers()
            .into_iter()
            .for_each(|p| p.apply_condemnation(condemnation));
    }

    /// How many servers the lists name; one that several name is one.
    pub fn listed_server_count(&self) -> usize {
        self.listed_servers.count()
    }

    /// What the list of a new pool adds to that.
    pub fn listed_by_pool(&self) -> ListedByPool {
        ListedByPool::new(self.listed_servers.clone())
    }

    /// The attempts of all pools that have waited past their target.
    pub fn overdue_requests(&self) -> Vec<OverdueRequest> {
        let (now, mut all) = (self.clock.now(), Vec::new());
        self.peers()
            .iter()
            .for_each(|p| p.collect_overdue(now, &mut all));
        all
    }

    /// Sets the observer of attempts and lists.
    pub fn set_fleet_observer(&self, to: Rc<dyn FleetObserver>) {
        self.observer.replace(Some(to));
    }

    /// The observer of attempts and lists, if the node is part of a fleet.
    pub fn fleet_observer(&self) -> Option<Rc<dyn FleetObserver>> {
        self.observer.borrow().clone()
    }
}
