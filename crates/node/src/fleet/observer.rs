//! What the pools report to the fleet: outcomes of attempts, and the indexes of the endpoint lists that they follow.

use super::events::ListLag;
use super::{FleetRuntime, FollowedList};
use crate::net::shared::{FleetObserver, PoolId};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;

impl FleetObserver for FleetRuntime {
    fn attempt_ended(&self, server: ServerInstance, outcome: AttemptOutcome) {
        self.fleet
            .borrow_mut()
            .record_outcome(self.clock.now(), &server, outcome);
    }

    fn list_updated(&self, list: &str, pool: PoolId, index: u64) {
        let now = self.clock.now();
        let followed = FollowedList {
            pool,
            index,
            lag: ListLag::None,
        };
        self.lists.borrow_mut().insert(list.to_owned(), followed);
        self.fleet.borrow_mut().publish_list_index(now, list, index);
    }

    fn list_dropped(&self, list: &str, pool: PoolId) {
        // After a reload, a new pool may already follow a list of the same name.
        self.lists
            .borrow_mut()
            .retain(|name, followed| name != list || followed.pool != pool);
    }
}
