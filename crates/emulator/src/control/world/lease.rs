//! The lease of the publishers. Grants are simulated: once a lease has expired, the first running and eligible publisher
//! receives the next token. In production, `reelfall_lease` grants leases.

use super::World;
use crate::control::invariants::ViolationKind;
use reelfall_distribution::publisher::Publisher;
use reelfall_lease::token::Claim;
use std::collections::BTreeSet;

/// Duration of a lease, in seconds. After the loss of the publisher, the sum of this, the takeover, and up to 7 s until
/// relays follow the new publisher must not exceed the 15 s within which a change has to be applied.
pub const LEASE_DURATION: f64 = 5.0;
/// Interval between renewals of a lease, in seconds: a third of its duration, as in `reelfall_lease`.
const LEASE_RENEWAL_INTERVAL: f64 = LEASE_DURATION / 3.0;

/// The lease and its holder.
#[derive(Default)]
pub(super) struct LeaseState {
    holder: Option<u32>,
    /// Publishers to which the lease is not granted.
    excluded: BTreeSet<u32>,
    token: u64,
    expires_at: f64,
    renew_at: f64,
}

impl World {
    /// The publisher that holds the lease.
    pub fn leader(&self) -> Option<u32> {
        self.lease.holder
    }

    /// Stops granting the lease to a publisher, as if it were partitioned from the keepers.
    pub fn exclude_from_lease(&mut self, publisher: u32) {
        self.lease.excluded.insert(publisher);
        if self.lease.holder == Some(publisher) {
            self.lease.renew_at = f64::INFINITY;
        }
    }

    /// Makes a publisher eligible for the lease again.
    pub fn readmit_to_lease(&mut self, publisher: u32) {
        self.lease.excluded.remove(&publisher);
    }

    fn is_eligible(&self, publisher: u32) -> bool {
        self.network.endpoint(publisher).is_some() && !self.lease.excluded.contains(&publisher)
    }

    /// Renews the lease, or grants it to the first eligible publisher once it has expired.
    pub(super) fn maintain_lease(&mut self) {
        let now = self.network.now();
        let is_renewed = self.leader().is_some_and(|leader| self.is_eligible(leader));
        if now >= self.lease.renew_at && is_renewed {
            self.grant(now);
        }
        if now < self.lease.expires_at {
            return;
        }
        let publishers = self.layout.publishers().iter().copied();
        let next = publishers
            .into_iter()
            .find(|publisher| self.is_eligible(*publisher));
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
            machine.with_publisher(now, outgoing, |publisher, local, outputs| {
                publisher.hold_lease(local, &claim, local_expiry, outputs)
            })
        });
        if let Some(Some(Err(error))) = granted {
            let kind = ViolationKind::LeaseRejected {
                publisher: holder,
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

    /// The publisher that holds the lease, if it runs.
    pub fn publisher(&self) -> Option<&Publisher> {
        self.network.endpoint(self.leader()?)?.as_publisher()
    }

    /// The publisher that holds the lease, if it runs, has taken over and can publish.
    pub(super) fn ready_publisher(&self) -> Option<&Publisher> {
        self.publisher()
            .filter(|publisher| publisher.is_publishing())
    }
}
