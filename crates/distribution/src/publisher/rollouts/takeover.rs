//! Takes over the rollouts of earlier publishers when a publisher begins to publish.

use super::{progress_of, Publisher, Rollout, RolloutProgress, Rollouts};
use crate::log::ChangeLog;
use crate::output::{Event, Output};
use crate::resource::{Change, Group, Key, Selector, Slot, Version};
use crate::rollout::record::{RolloutRecord, RolloutState};
use crate::Time;

impl Publisher {
    /// Takes over the rollouts of earlier publishers, and completes what they had begun.
    pub(in crate::publisher) fn take_over_rollouts(
        &mut self,
        now: Time,
        outputs: &mut Vec<Output>,
    ) {
        self.rollouts = Rollouts {
            publishing_since: now,
            ..Rollouts::default()
        };
        let mut readable = Vec::new();
        for (change, record) in records(self.log()) {
            match record {
                Some(record) => readable.push((change.version, record)),
                None => {
                    let key = change.key.clone();
                    outputs.push(Output::Event(Event::RolloutUnreadable { key }));
                }
            }
        }
        for (version, record) in readable {
            self.complete_interrupted_rollout(now, version, &record, outputs);
            let name = record.name.clone();
            self.report_resumed(&record, outputs);
            self.rollouts
                .by_name
                .entry(name)
                .or_insert_with(|| Rollout::new(record));
        }
        self.rollouts.schedule_check(now);
    }

    pub(super) fn report_resumed(&self, record: &RolloutRecord, outputs: &mut Vec<Output>) {
        if let (true, RolloutProgress::Stage { canary, .. }) =
            (record.state.is_open(), progress_of(record, self.log()))
        {
            let (name, thousandths) = (record.name.clone(), canary.fraction.thousandths);
            outputs.push(Output::Event(Event::RolloutResumed { name, thousandths }));
        }
    }

    /// Completes a rollout whose publisher failed after it had stored that the rollout ended and before it published
    /// the changes that follow, or whose canary was published again by a publisher that took over again. A manual
    /// canary with the content, the seed and a stage of an ended rollout counts as that rollout's.
    pub(super) fn complete_interrupted_rollout(
        &mut self,
        now: Time,
        version: Version,
        record: &RolloutRecord,
        outputs: &mut Vec<Output>,
    ) {
        match (&record.state, progress_of(record, self.log())) {
            (_, RolloutProgress::Stage { .. }) if record.state.is_open() => {}
            (RolloutState::Completed, RolloutProgress::Stage { .. }) => {
                for change in self.promotion_of(record) {
                    self.publish_or_report_capacity(now, change, outputs);
                }
            }
            (RolloutState::Completed, RolloutProgress::NoCanary) => {
                let stable = self.log().get(&Key {
                    name: record.name.clone(),
                    slot: Slot::Stable,
                });
                if stable
                    .is_none_or(|stable| stable.version < version && !record.is_content_of(stable))
                {
                    self.rollouts
                        .by_name
                        .insert(record.name.clone(), Rollout::new(record.clone()));
                    self.end_rollout(now, &record.name, RolloutState::Lost, false, outputs);
                }
            }
            // The publisher that promoted it has taken over again and published the promotion again.
            (RolloutState::Lost, RolloutProgress::Promoted) => {
                self.rollouts
                    .by_name
                    .insert(record.name.clone(), Rollout::new(record.clone()));
                self.end_rollout(now, &record.name, RolloutState::Completed, false, outputs);
            }
            (_, RolloutProgress::Stage { .. })
            | (RolloutState::Superseded, RolloutProgress::Superseded) => {
                self.end_canary(now, record, outputs);
            }
            _ => {}
        }
    }
}

/// The stored rollout records; `None` for an unreadable one.
pub(super) fn records(log: &ChangeLog) -> impl Iterator<Item = (&Change, Option<RolloutRecord>)> {
    let selector = Selector::Group(Group::Publishers);
    let keys = log.keys_after(&selector, Version::ZERO).map(|(_, key)| key);
    let changes = keys
        .filter_map(|key| log.get(key))
        .filter(|change| !change.is_removal());
    changes.map(|change| (change, RolloutRecord::from_change(change)))
}
