//! Publishing: changes for all nodes, canaries, promotions and reverts.

use super::Publisher;
use crate::output::Output;
use crate::publish::{self, check_writable, PendingChange, PublishError};
use crate::replica::ReplicaUpdate;
use crate::resource::{Change, Content, Draft, Key, Name, NodeFraction, Slot, Urgency, Version};
use crate::Time;
use reelfall_lease::token::Claim;

impl Publisher {
    /// Publishes changes for all nodes; returns the last version.
    ///
    /// # Errors
    /// If nothing was published.
    pub fn publish(
        &mut self,
        now: Time,
        claim: &Claim,
        drafts: Vec<Draft>,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        self.check_lease(now, claim)?;
        drafts
            .iter()
            .try_for_each(|draft| check_writable(&draft.name))?;
        let pending = drafts.into_iter().map(PendingChange::stable).collect();
        self.publish_pending(now, pending, outputs)
    }

    /// Publishes a canary for a fraction of the nodes. Published again with a greater fraction, it reaches further
    /// nodes.
    ///
    /// # Errors
    /// If nothing was published.
    pub fn publish_canary(
        &mut self,
        now: Time,
        claim: &Claim,
        draft: Draft,
        fraction: NodeFraction,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        self.check_lease(now, claim)?;
        check_writable(&draft.name)?;
        self.publish_pending(now, vec![PendingChange::canary(draft, fraction)], outputs)
    }

    /// Promotes a canary to all nodes.
    ///
    /// # Errors
    /// If nothing was published.
    pub fn promote_canary(
        &mut self,
        now: Time,
        claim: &Claim,
        name: &Name,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        self.check_lease(now, claim)?;
        let key = Key {
            name: name.clone(),
            slot: Slot::Canary,
        };
        let canary = self
            .log()
            .get(&key)
            .filter(|canary| !canary.is_removal())
            .ok_or(PublishError::NoCanary)?;
        let (content, urgency) = (canary.content.clone(), canary.urgency);
        let stable = PendingChange::stable(Draft {
            name: name.clone(),
            content,
            urgency,
        });
        let removal = PendingChange::canary_removal(name.clone(), urgency);
        self.publish_pending(now, vec![stable, removal], outputs)
    }

    /// Reverts a change: publishes the previous content as a new, urgent version. Reverting a canary ends it.
    ///
    /// # Errors
    /// If nothing was published.
    pub fn revert(
        &mut self,
        now: Time,
        claim: &Claim,
        version: Version,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        self.check_lease(now, claim)?;
        let change = self
            .log()
            .get_version(version)
            .ok_or(PublishError::Superseded)?;
        check_writable(&change.key.name)?;
        let content = match change.key.slot {
            Slot::Canary => Content::Removed,
            Slot::Stable => self
                .history
                .content_before(change)
                .ok_or(PublishError::HistoryExpired)?,
        };
        let key = change.key.clone();
        let change = PendingChange {
            key,
            content,
            urgency: Urgency::Urgent,
            fraction: NodeFraction::ALL,
        };
        self.publish_pending(now, vec![change], outputs)
    }

    pub(super) fn publish_pending(
        &mut self,
        now: Time,
        pending: Vec<PendingChange>,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        publish::check(&pending, self.log(), self.config.capacity)?;
        Ok(self.append_all(now, pending, outputs))
    }

    pub(super) fn append_all(
        &mut self,
        now: Time,
        pending: Vec<PendingChange>,
        outputs: &mut Vec<Output>,
    ) -> Version {
        let mut version = self.head();
        let mut update = ReplicaUpdate::default();
        for change in pending {
            version.sequence += 1;
            let PendingChange {
                key,
                content,
                urgency,
                fraction,
            } = change;
            let replaces = self
                .log()
                .get(&key)
                .map_or(Version::ZERO, |previous| previous.version);
            let change = Change {
                key,
                version,
                urgency,
                fraction,
                replaces,
                content,
            };
            self.replica.put(change, &mut update, outputs);
        }
        update.keys.extend(self.replica.prune_tombstones(outputs));
        self.replica.mark_complete(version, outputs);
        self.propagate_update(now, &update);
        version
    }

    pub(super) fn propagate_update(&mut self, now: Time, update: &ReplicaUpdate) {
        for replacement in &update.replaced {
            self.history
                .record_replaced(&replacement.previous, &replacement.successor);
        }
        if self.is_publishing() {
            self.rollouts.schedule_check(now);
            let replica = self.replica.view(now).authoritative();
            for key in &update.keys {
                self.downstream.notify_changed(now, key, replica);
            }
        }
    }
}
