//! Who holds the lease. That is decided here, not played: the first author that runs and that may be chosen gets the next
//! token once the lease of the one before is over. How leases are granted is `reelfall_lease`'s matter.

use super::World;
use reelfall_distribution::author::Author;
use reelfall_lease::token::Claim;

/// A lease lasts so long, in seconds: after the loss of the author, this, the takeover and up to 7 s until relays follow
/// the successor have to keep to the 15 s in which a change is in force.
pub const LEASE_LASTS: f64 = 5.0;
/// A lease is renewed so often, in seconds: three times in its length, as `reelfall_lease` does.
const LEASE_RENEWED: f64 = LEASE_LASTS / 3.0;

impl World {
    /// Who holds the lease.
    pub fn leader(&self) -> Option<u32> {
        self.leader
    }

    /// An author gets the lease no more, as one that the lease's keepers do not hear.
    pub fn bar(&mut self, author: u32) {
        self.barred.insert(author);
        if self.leader == Some(author) {
            self.renew_at = f64::INFINITY;
        }
    }

    /// An author may get the lease again.
    pub fn admit(&mut self, author: u32) {
        self.barred.remove(&author);
    }

    fn may_lead(&self, author: u32) -> bool {
        self.network.endpoint(author).is_some() && !self.barred.contains(&author)
    }

    /// Renews the lease, or gives it to the first author that may have it once it is over.
    pub(super) fn keep_lease(&mut self) {
        let now = self.network.now();
        if now >= self.renew_at && self.leader.is_some_and(|leader| self.may_lead(leader)) {
            self.grant(now);
        }
        if now < self.held_until {
            return;
        }
        self.leader = self
            .layout
            .authors()
            .iter()
            .copied()
            .find(|author| self.may_lead(*author));
        if self.leader.is_some() {
            self.token += 1;
            self.grant(now);
        }
    }

    fn grant(&mut self, now: f64) {
        let Some(leader) = self.leader else { return };
        self.held_until = now + LEASE_LASTS;
        self.renew_at = now + LEASE_RENEWED;
        let (claim, until) = (self.claim(), self.held_until);
        let held = self.network.with(leader, |machine, now, sends| {
            let until = machine.clock().local(until);
            machine.with_author(now, sends, |author, local, outputs| {
                author.hold_lease(local, &claim, until, outputs)
            })
        });
        if let Some(Some(Err(refusal))) = held {
            self.checker.fault(
                now,
                format!("author {leader} refused token {}: {refusal}", self.token),
            );
        }
    }

    pub(super) fn claim(&self) -> Claim {
        Claim {
            lease: self.layout.lease().clone(),
            token: self.token,
        }
    }

    /// The author that holds the lease.
    pub fn author(&self) -> Option<&Author> {
        self.network.endpoint(self.leader?)?.as_author()
    }

    pub(super) fn writer(&self) -> Option<&Author> {
        self.author().filter(|author| author.is_writing())
    }
}
