//! What several pools' endpoint lists state about the same servers.
//!
//! Pools update their listings here and are notified when another pool's listing of one of their servers changes.

use super::{PoolId, Shared};
use reelfall_balancer::interface::Time;
use reelfall_routing::shared_servers::{CombinedView, ListedState};
use std::net::SocketAddr;
use std::rc::Weak;

impl Shared {
    /// Whether the lists of several pools are combined.
    pub fn combines_lists(&self) -> bool {
        self.service_limits.is_some()
    }

    /// Updates the state of a server in a pool's list; `None` removes it. Returns whether other pools have to be
    /// notified.
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
        slow_start_duration: Time,
    ) -> CombinedView {
        self.combined_lists.borrow().view(
            self.clock.now(),
            pool,
            &address,
            own,
            slow_start_duration,
        )
    }

    /// Notifies the pools that list a server that its listing has changed, except for the pool that changed it.
    pub fn notify_listing_changed(&self, address: SocketAddr, changed_by: Option<PoolId>) {
        let ids: Vec<PoolId> = self
            .combined_lists
            .borrow()
            .pools(&address)
            .filter(|pool| Some(*pool) != changed_by)
            .collect();
        for id in ids {
            let pool = self.pools.borrow().get(&id).and_then(Weak::upgrade);
            if let Some(pool) = pool {
                pool.listing_changed(address);
            }
        }
    }

    /// Removes the pools that no longer exist, and their listings.
    pub(super) fn remove_dropped_pools(&self) {
        let dropped: Vec<PoolId> = self
            .pools
            .borrow()
            .iter()
            .filter(|(_, pool)| pool.strong_count() == 0)
            .map(|(id, _)| *id)
            .collect();
        for id in dropped {
            self.pools.borrow_mut().remove(&id);
            let removed = self.combined_lists.borrow_mut().remove_pool(id);
            for address in removed {
                self.notify_listing_changed(address, None);
            }
        }
    }

    /// Removes the listings that have expired.
    pub(super) fn expire_listings(&self) {
        let expired = self.combined_lists.borrow_mut().expire(self.clock.now());
        for address in expired {
            self.notify_listing_changed(address, None);
        }
    }
}
