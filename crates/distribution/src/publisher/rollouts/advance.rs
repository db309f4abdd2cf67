//! Checks open rollouts: begins the next stage, completes, halts or rolls back.

use super::{progress_of, CurrentStage, Publisher, Rollout, RolloutProgress};
use crate::output::{Event, Output};
use crate::publish::PendingChange;
use crate::resource::{Draft, Key, Name, Slot, Urgency};
use crate::rollout::policy::OnRejections;
use crate::rollout::record::{RolloutRecord, RolloutState, StopSummary};
use crate::rollout::stage::{self, Stage, StageCounts, Verdict};
use crate::Time;

impl Publisher {
    /// Checks all open rollouts, if that is due.
    pub(in crate::publisher) fn check_rollouts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if now < self.rollouts.next_check_at {
            return;
        }
        let names: Vec<Name> = self
            .rollouts
            .open_rollouts()
            .map(|rollout| rollout.record.name.clone())
            .collect();
        for name in names {
            self.check_rollout(now, &name, outputs);
        }
        self.rollouts.next_check_at = self.rollouts.earliest_check(now);
    }

    pub(super) fn check_rollout(&mut self, now: Time, name: &Name, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get_mut(name) else {
            return;
        };
        let log = &self.replica.log;
        let (canary, index) = match progress_of(&rollout.record, log) {
            RolloutProgress::Stage { canary, index } => (canary, index),
            RolloutProgress::Promoted => {
                return self.end_rollout(now, name, RolloutState::Completed, false, outputs)
            }
            RolloutProgress::Superseded => {
                return self.end_rollout(now, name, RolloutState::Superseded, true, outputs)
            }
            RolloutProgress::NoCanary => {
                return self.end_rollout(now, name, RolloutState::Ended, false, outputs)
            }
        };
        let current = *rollout.stage.insert(match rollout.stage {
            Some(stage) if stage.version == canary.version => stage,
            _ => CurrentStage {
                version: canary.version,
                began_at: now,
            },
        });
        let Rollout {
            record,
            rejecting_nodes,
            ..
        } = &*rollout;
        let (policy, fraction, version) = (&record.policy, canary.fraction, canary.version);
        let expected = record.expected.get(index).copied().unwrap_or(0);
        let stage = Stage {
            version,
            fraction,
            expected,
            reports_since: self.rollouts.publishing_since,
        };
        let counts = stage::count_nodes(now, stage, policy, &self.node_statuses, rejecting_nodes);
        let verdict = stage::evaluate(policy, counts, now - current.began_at);
        let on_rejections = policy.on_rejections;
        rollout.counts = counts;
        rollout.blocker = None;
        if rollout.record.state != RolloutState::Running {
            return;
        }
        match verdict {
            Verdict::Wait(blocker) => rollout.blocker = Some(blocker),
            Verdict::Advance => self.advance_stage(now, name, index + 1, outputs),
            Verdict::Stop => {
                let stop = rollout.stop_summary(fraction.thousandths);
                self.stop_rollout(now, name, on_rejections, stop, outputs);
            }
        }
    }

    /// Halts or rolls back a rollout that too many nodes rejected.
    fn stop_rollout(
        &mut self,
        now: Time,
        name: &Name,
        on_rejections: OnRejections,
        stop: StopSummary,
        outputs: &mut Vec<Output>,
    ) {
        match on_rejections {
            OnRejections::Halt => {
                self.end_rollout(now, name, RolloutState::Halted(stop), false, outputs);
            }
            OnRejections::RollBack => {
                self.end_rollout(now, name, RolloutState::RolledBack(stop), true, outputs);
            }
        }
    }

    /// Begins the next stage, or completes the rollout after the last one.
    pub(super) fn advance_stage(
        &mut self,
        now: Time,
        name: &Name,
        next: usize,
        outputs: &mut Vec<Output>,
    ) {
        let Some(rollout) = self.rollouts.by_name.get_mut(name) else {
            return;
        };
        let key = Key {
            name: name.clone(),
            slot: Slot::Canary,
        };
        let Some(canary) = self.replica.log.get(&key) else {
            return;
        };
        let counts = rollout.counts;
        let Some(thousandths) = rollout.record.policy.stages.get(next).copied() else {
            return self.complete_rollout(now, name, outputs);
        };
        let fraction = rollout.record.fraction(thousandths);
        let draft = Draft {
            name: name.clone(),
            content: canary.content.clone(),
            urgency: Urgency::Normal,
        };
        match self.publish_pending(now, vec![PendingChange::canary(draft, fraction)], outputs) {
            Ok(version) => {
                if let Some(rollout) = self.rollouts.by_name.get_mut(name) {
                    rollout.stage = Some(CurrentStage {
                        version,
                        began_at: now,
                    });
                }
                let name = name.clone();
                outputs.push(Output::Event(Event::RolloutAdvanced {
                    name,
                    thousandths,
                    counts,
                }));
            }
            Err(_) => self.report_capacity_exceeded(key, outputs),
        }
    }

    pub(super) fn complete_rollout(&mut self, now: Time, name: &Name, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            return;
        };
        let (mut record, counts) = (rollout.record.clone(), rollout.counts);
        let promotion = self.promotion_of(&record);
        record.state = RolloutState::Completed;
        let pending = std::iter::once(PendingChange::record(&record))
            .chain(promotion)
            .collect();
        match self.publish_pending(now, pending, outputs) {
            Ok(_) => self.record_rollout_end(name, record.state, counts, outputs),
            Err(_) => self.report_capacity_exceeded(RolloutRecord::key_of(name), outputs),
        }
    }

    /// Ends or halts a rollout; with `ends_canary` it also removes the canary.
    pub(super) fn end_rollout(
        &mut self,
        now: Time,
        name: &Name,
        state: RolloutState,
        ends_canary: bool,
        outputs: &mut Vec<Output>,
    ) {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            return;
        };
        let (mut record, counts) = (rollout.record.clone(), rollout.counts);
        record.state = state;
        // The canary is removed even if there is no capacity for the record.
        if self
            .publish_pending(now, vec![PendingChange::record(&record)], outputs)
            .is_err()
        {
            self.report_capacity_exceeded(RolloutRecord::key_of(name), outputs);
        }
        if ends_canary {
            self.end_canary(now, &record, outputs);
        }
        self.record_rollout_end(name, record.state, counts, outputs);
    }

    pub(super) fn record_rollout_end(
        &mut self,
        name: &Name,
        state: RolloutState,
        counts: StageCounts,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(rollout) = self.rollouts.by_name.get_mut(name) {
            rollout.record.state = state.clone();
            rollout.blocker = None;
            if !state.is_open() {
                rollout.rejecting_nodes.truncate();
            }
        }
        let name = name.clone();
        outputs.push(Output::Event(Event::RolloutStopped {
            name,
            state,
            counts,
        }));
    }

    pub(super) fn report_capacity_exceeded(&self, key: Key, outputs: &mut Vec<Output>) {
        let version = self.head();
        outputs.push(Output::Event(Event::CapacityExceeded { key, version }));
    }

    /// The changes that promote a canary. The stable change has the later version, so a link sends it before the
    /// removal of the canary.
    pub(super) fn promotion_of(&self, record: &RolloutRecord) -> Vec<PendingChange> {
        let key = Key {
            name: record.name.clone(),
            slot: Slot::Canary,
        };
        let Some(canary) = record.own_canary(self.log().get(&key)) else {
            return Vec::new();
        };
        let (name, urgency) = (record.name.clone(), Urgency::Normal);
        let stable = PendingChange::stable(Draft {
            name: name.clone(),
            content: canary.content.clone(),
            urgency,
        });
        vec![PendingChange::canary_removal(name, urgency), stable]
    }

    /// Removes a rollout's canary, if it is still active.
    pub(super) fn end_canary(
        &mut self,
        now: Time,
        record: &RolloutRecord,
        outputs: &mut Vec<Output>,
    ) {
        let key = Key {
            name: record.name.clone(),
            slot: Slot::Canary,
        };
        if record.own_canary(self.log().get(&key)).is_some() {
            let removal = PendingChange::canary_removal(record.name.clone(), Urgency::Urgent);
            // The removal is smaller than the canary, so the log has capacity for it.
            self.append_all(now, vec![removal], outputs);
        }
    }
}
