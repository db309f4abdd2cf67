//! Starting a rollout: its record and its first stage.

use super::{Publisher, Rollout, RolloutDraft, MAX_ENDED_RECORDS};
use crate::output::Output;
use crate::publish::{check_writable, PendingChange, PublishError, MAX_OPEN_ROLLOUTS};
use crate::resource::{Content, Draft, Key, Name, Urgency, Version};
use crate::rollout::policy::InvalidPolicy;
use crate::rollout::record::{RolloutRecord, RolloutState};
use crate::Time;
use reelfall_lease::token::Claim;

impl Publisher {
    /// Starts a rollout: publishes its first stage, from which it advances by itself. Returns the version of the first
    /// stage.
    ///
    /// # Errors
    /// If nothing was published: as with [`Publisher::publish_canary`], or if the policy is invalid, the resource has
    /// an open rollout, or there are too many of them.
    pub fn start_rollout(
        &mut self,
        now: Time,
        claim: &Claim,
        draft: RolloutDraft,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        self.check_lease(now, claim)?;
        let RolloutDraft {
            name,
            content,
            seed,
            policy,
        } = draft;
        check_writable(&name)?;
        policy.check()?;
        if content == Content::Removed {
            return Err(InvalidPolicy::Removal.into());
        }
        self.check_rollout_allowed(&name)?;
        let after = self.head();
        let state = RolloutState::Running;
        let hash = crate::resource::ContentHash::of(content.bytes());
        let expected = Vec::new();
        let mut record = RolloutRecord {
            name: name.clone(),
            content_hash: hash,
            seed,
            after,
            policy,
            expected,
            state,
        };
        record.expected = self.known_nodes_per_stage(&record);
        let first = record.fraction(record.policy.stages.first().copied().unwrap_or(0));
        let canary = PendingChange::canary(
            Draft {
                name: name.clone(),
                content,
                urgency: Urgency::Normal,
            },
            first,
        );
        let mut pending = vec![PendingChange::record(&record), canary];
        pending.extend(self.removal_of_oldest_ended_record());
        let version = self.publish_pending(now, pending, outputs)?;
        self.rollouts.by_name.insert(name, Rollout::new(record));
        self.rollouts.schedule_check(now);
        Ok(version)
    }

    pub(super) fn check_rollout_allowed(&self, name: &Name) -> Result<(), PublishError> {
        if self
            .rollouts
            .open_rollouts()
            .any(|rollout| rollout.record.name == *name)
        {
            return Err(PublishError::RolloutOpen);
        }
        if self.rollouts.open_rollouts().count() >= MAX_OPEN_ROLLOUTS {
            return Err(PublishError::TooManyRollouts);
        }
        Ok(())
    }

    /// The number of known nodes in each stage.
    pub(super) fn known_nodes_per_stage(&self, record: &RolloutRecord) -> Vec<u32> {
        let stages = record.policy.stages.iter();
        let count = |thousandths: &u16| {
            let fraction = record.fraction(*thousandths);
            self.node_statuses
                .iter()
                .filter(|(node, _)| fraction.contains(*node))
                .count() as u32
        };
        stages.map(count).collect()
    }

    /// The removal of the oldest record of an ended rollout, if there are too many.
    pub(super) fn removal_of_oldest_ended_record(&mut self) -> Option<PendingChange> {
        let ended = self
            .rollouts
            .by_name
            .values()
            .filter(|rollout| !rollout.record.state.is_open());
        let keys: Vec<(Key, Name)> = ended
            .map(|rollout| {
                (
                    RolloutRecord::key_of(&rollout.record.name),
                    rollout.record.name.clone(),
                )
            })
            .collect();
        if keys.len() < MAX_ENDED_RECORDS {
            return None;
        }
        let version = |key: &Key| self.log().get(key).map(|change| change.version);
        let (key, name) = keys.into_iter().min_by_key(|(key, _)| version(key))?;
        self.rollouts.by_name.remove(&name);
        let fraction = crate::resource::NodeFraction::ALL;
        Some(PendingChange {
            key,
            content: Content::Removed,
            urgency: Urgency::Normal,
            fraction,
        })
    }
}
