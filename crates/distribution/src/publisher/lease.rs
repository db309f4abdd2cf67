//! The transitions of a publisher between standby, taking over and publishing, as its lease begins and ends.

use super::rollouts::Rollouts;
use super::{Publisher, State};
use crate::close_reason::CloseReason;
use crate::epoch::Epoch;
use crate::output::{Event, Output};
use crate::publish::PublishError;
use crate::replica::orphaned_changes;
use crate::resource::Version;
use crate::Time;
use reelfall_lease::token::Claim;
use std::collections::BTreeSet;

impl Publisher {
    /// Records that `claim` holds the lease until `lease_until`. Has to be called when the lease is acquired and at
    /// each renewal.
    ///
    /// # Errors
    /// If the claim is for another lease, or a later fencing token has been seen.
    pub fn hold_lease(
        &mut self,
        now: Time,
        claim: &Claim,
        lease_until: Time,
        outputs: &mut Vec<Output>,
    ) -> Result<(), PublishError> {
        self.clock = self.clock.max(now);
        if claim.lease != self.config.lease {
            return Err(PublishError::LeaseNotHeld);
        }
        let highest_token = self.highest_token();
        if claim.token < highest_token {
            return Err(PublishError::Fenced(highest_token));
        }
        match &mut self.state {
            State::Publishing {
                epoch,
                lease_until: current_lease_until,
                ..
            } if epoch.claim == *claim => *current_lease_until = lease_until,
            State::TakingOver {
                claim: current_claim,
                lease_until: current_lease_until,
                ..
            } if current_claim == claim => *current_lease_until = lease_until,
            _ => {
                self.step_down(now, outputs);
                let deadline = now + self.config.takeover_timeout;
                let (claim, caught_up) = (claim.clone(), BTreeSet::new());
                self.state = State::TakingOver {
                    claim,
                    lease_until,
                    deadline,
                    caught_up,
                };
                if self.config.upstream.upstreams.is_empty() {
                    self.begin_publishing(now, outputs);
                }
            }
        }
        Ok(())
    }

    /// Records that the lease is no longer held: closes the sessions of all children, and follows an upstream again.
    pub fn step_down(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.is_publishing() {
            self.downstream.close_all(now, CloseReason::Fenced, outputs);
        }
        self.state = State::Standby;
        self.rollouts = Rollouts::default();
        self.replica.upstream.resume(now);
    }

    pub(super) fn highest_token(&self) -> u64 {
        self.replica.upstream.highest_token().max(self.head().token)
    }

    pub(super) fn begin_publishing(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::TakingOver {
            claim, lease_until, ..
        } = &self.state
        else {
            return;
        };
        let (claim, lease_until) = (claim.clone(), *lease_until);
        let highest_token = self.highest_token();
        let known = self.replica.known_versions();
        let epoch = Epoch { claim, known };
        if highest_token > epoch.claim.token || self.replica.upstream.admit_epoch(&epoch).is_err() {
            outputs.push(Output::Event(Event::Fenced {
                token: highest_token,
            }));
            self.step_down(now, outputs);
            return;
        }
        self.replica.upstream.suspend(now, outputs);
        let start = Version {
            token: epoch.claim.token,
            sequence: 0,
        };
        let head = self.head().max(start);
        let orphans = orphaned_changes(self.log(), &epoch);
        // The epoch is stored before the coverage. In the reverse order, a crash in between would make versions count
        // as known that only this coverage claims.
        self.replica.set_epoch(epoch.clone(), outputs);
        self.replica.mark_complete(head, outputs);
        self.state = State::Publishing {
            epoch,
            lease_until,
            overwritten_orphans: 0,
        };
        self.republish_orphaned(now, orphans, outputs);
        self.take_over_rollouts(now, outputs);
    }

    pub(super) fn check_lease(&self, now: Time, claim: &Claim) -> Result<(), PublishError> {
        let highest_token = self.highest_token();
        match &self.state {
            _ if claim.token < highest_token => Err(PublishError::Fenced(highest_token)),
            State::TakingOver {
                claim: current_claim,
                ..
            } if current_claim == claim => Err(PublishError::TakingOver),
            State::Publishing {
                epoch, lease_until, ..
            } if epoch.claim == *claim && now < *lease_until => Ok(()),
            _ => Err(PublishError::LeaseNotHeld),
        }
    }

    /// Records that a relay has sent everything. All first-tier relays are read before the publisher starts to publish,
    /// since the last changes of its predecessor may have reached only one of them; the wait is limited by
    /// [`super::PublisherConfig::takeover_timeout`].
    pub(super) fn relay_caught_up(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::TakingOver { caught_up, .. } = &mut self.state else {
            return;
        };
        let Some(relay) = self.replica.upstream.following() else {
            return;
        };
        caught_up.insert(relay);
        if self
            .config
            .upstream
            .upstreams
            .iter()
            .all(|relay| caught_up.contains(relay))
        {
            self.begin_publishing(now, outputs);
        } else {
            self.replica
                .upstream
                .switch_upstream(now, self.config.takeover_timeout, outputs);
        }
    }

    /// Steps down after a relay has reported a later fencing token: the lease was lost unnoticed.
    pub(super) fn handle_fencing(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Publishing { epoch, .. } = &self.state else {
            return;
        };
        outputs.push(Output::Event(Event::Fenced {
            token: epoch.claim.token,
        }));
        self.step_down(now, outputs);
    }
}
