//! The lease of the authors. Its grants are simulated and not negotiated: the first author that runs and is eligible gets
//! the next token once the lease of the previous one has expired. `reelfall_lease` is what grants leases in production.

use super::World;
use crate::control::invariants::ViolationKind;
use reelfall_distribution::author::Author;
use reelfall_lease::token::Claim;
use std::collections::BTreeSet;

/// Duration of a lease, in seconds: after the loss of the author, this, the takeover and up to 7 s until relays follow
/// the new author must stay within the 15 s in which a change is applied.
pub const LEASE_DURATION: f64 = 5.0;
/// Interval between renewals of a lease, in seconds: three in its duration, as `reelfall_lease` does.
const LEASE_RENEWAL_INTERVAL: f64 = LEASE_DURATION / 3.0;

/// The lease and its holder.
#[derive(Default)]
pub(super) struct LeaseState {
    holder: Option<u32>,
    /// Authors that are not granted the lease.
    excluded: BTreeSet<u32>,
    token: u64,
    expires_at: f64,
    renew_at: f64,
}

impl World {
    /// The author that holds the lease.
    pub fn leader(&self) -> Option<u32> {
        self.lease.holder
    }

    /// Stops to grant the lease to an author, as if it were partitioned from the keepers.
    pub fn exclude_from_lease(&mut self, author: u32) {
        self.lease.excluded.insert(author);
        if self.lease.holder == Some(author) {
            self.lease.renew_at = f64::INFINITY;
        }
    }

    /// Makes an author eligible for the lease again.
    pub fn readmit_to_lease(&mut self, author: u32) {
        self.lease.excluded.remove(&author);
    }

    fn is_eligible(&self, author: u32) -> bool {
        self.network.endpoint(author).is_some() && !self.lease.excluded.contains(&author)
    }

    /// Renews the lease, or grants it to the first eligible author once it has expired.
    pub(super) fn maintain_lease(&mut self) {
        let now = self.network.now();
        let is_renewed = self.leader().is_some_and(|leader| self.is_eligible(leader));
        if now >= self.lease.renew_at && is_renewed {
            self.grant(now);
        }
        if now < self.lease.expires_at {
            return;
        }
        let authors = self.layout.authors().iter().copied();
        let next = authors.into_iter().find(|author| self.is_eligible(*author));
        self.lease.holder = next;
        if next.is_some() {
            self.lease.token += 1;
            self.grant(now);
        }
    }

    fn grant(&mut self, now: f64) {
        let Some(holder) = self.lease.holder else {
            return;
        };
        self.lease.expires_at = now + LEASE_DURATION;
        self.lease.renew_at = now + LEASE_RENEWAL_INTERVAL;
        let (claim, expires_at) = (self.claim(), self.lease.expires_at);
        let granted = self.network.with(holder, |machine, now, outgoing| {
            let local_expiry = machine.clock().local(expires_at);
            machine.with_author(now, outgoing, |author, local, outputs| {
                author.hold_lease(local, &claim, local_expiry, outputs)
            })
        });
        if let Some(Some(Err(error))) = granted {
            let kind = ViolationKind::LeaseRejected {
                author: holder,
                token: self.lease.token,
                error,
            };
            self.checker.record(now, kind);
        }
    }

    pub(super) fn claim(&self) -> Claim {
        Claim {
            lease: self.layout.lease().clone(),
            token: self.lease.token,
        }
    }

    /// The author that holds the lease, if it runs.
    pub fn author(&self) -> Option<&Author> {
        self.network.endpoint(self.leader()?)?.as_author()
    }

    /// The same, if it has taken over and can publish.
    pub(super) fn publishing_author(&self) -> Option<&Author> {
        self.author().filter(|author| author.is_writing())
    }
}
