//! The bans and the drain that operators order at this node.
//!
//! `management` applies them; pools and the frontend query them.

use super::Shared;
use reelfall_admin::ban::BanStatus;
use reelfall_admin::ledger::Ledger;
use reelfall_balancer::interface::Time;
use std::time::Instant;

impl Shared {
    /// The bans and the drain in force at this node.
    pub fn ledger(&self) -> Ledger {
        self.ledger.borrow().clone()
    }

    /// Replaces the bans and the drain, and applies the changes to all pools.
    pub fn apply_ledger(&self, new: Ledger) {
        let old = self.ledger.replace(new.clone());
        let pools = self.pools();
        for name in old.bans.changed_servers(&new.bans) {
            for pool in &pools {
                pool.clone().ban_changed(&name);
            }
        }
        if old.drain != new.drain {
            self.drain_changed.notify_waiters();
        }
    }

    /// Whether a server is banned, at this node or in its fleet, and when it counts as started if its list states
    /// `ready_at`.
    pub fn ban_status(&self, name: &str, ready_at: Time) -> BanStatus {
        let here = self.ledger.borrow().bans.status(name, ready_at);
        let fleet = self.fleet_bans.borrow().status(name, here.started_at);
        BanStatus {
            is_banned: here.is_banned || fleet.is_banned,
            started_at: fleet.started_at,
        }
    }

    /// Whether an operator drains the node.
    pub fn is_draining(&self) -> bool {
        self.ledger.borrow().drain.is_active()
    }

    /// When a client connection that has been idle since `idle_since` has to be closed, if the node drains.
    pub fn idle_deadline(&self, idle_since: Instant) -> Option<Instant> {
        let deadline = self
            .ledger
            .borrow()
            .drain
            .idle_deadline(self.clock.time(idle_since));
        deadline.map(|deadline| self.clock.instant(deadline))
    }

    /// Whether a server is banned, or some list names it or named it recently.
    pub fn knows_server(&self, name: &str) -> bool {
        self.ledger.borrow().bans.is_banned(name)
            || self.pools().iter().any(|pool| pool.knows_server(name))
    }
}
