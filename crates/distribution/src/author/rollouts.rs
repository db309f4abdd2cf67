//! Staged rollouts at the author: begins them, counts what the nodes say, goes on or takes back.
//!
//! | the log says | the rollout |
//! | --- | --- |
//! | the trial of the record is there | is at the stage that the trial's part says |
//! | a later change for all nodes, with the same content | is completed |
//! | a later change for all nodes, with another content, or another trial | is superseded |
//! | no trial | was ended |
//!
//! So an operator ends one by [`Author::promote_canary`] or [`Author::revert`] as with any trial, and an author that takes over
//! goes on from what it has. Counts and soak times begin anew there: moments of another clock say nothing.

use super::Author;
use crate::log::ChangeLog;
use crate::output::{Event, Output};
use crate::peer::PeerId;
use crate::publish::{check_writable, PendingChange, PublishError, MAX_OPEN_ROLLOUTS};
use crate::resource::{Change, Content, Draft, Group, Key, Name, Selector, Slot, Urgency, Version};
use crate::rollout::policy::{InvalidPolicy, OnRejections, RolloutPolicy};
use crate::rollout::record::{
    RejectingNode, RolloutRecord, RolloutState, StopSummary, MAX_STORED_REJECTIONS,
};
use crate::rollout::stage::{self, AdvanceBlocker, RejectingNodes, Stage, StageCounts, Verdict};
use crate::Time;
use reelfall_lease::token::Claim;
use std::collections::BTreeMap;

/// Most records of rollouts that are over; of more, the earliest are removed.
pub const MAX_ENDED_RECORDS: usize = 64;
/// A stage whose soak time is over is looked at so often, in seconds: reports grow old without a call.
pub const STAGE_CHECK_INTERVAL: Time = 1.0;

/// A change that is to reach all nodes by stages.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutDraft {
    /// Of which resource.
    pub name: Name,
    /// What it is to be; a removal can't be on trial.
    pub content: Content,
    /// Which nodes come first, as [`crate::resource::NodeFraction::seed`].
    pub seed: u64,
    /// The rules.
    pub policy: RolloutPolicy,
}

/// What an operator sees of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// What is stored of it.
    pub record: RolloutRecord,
    /// Its stage, in thousandths of the nodes; none once it is over.
    pub thousandths: Option<u16>,
    /// What the nodes of the stage have said to this author.
    pub counts: StageCounts,
    /// Why the stage does not end yet; none if it is over, was halted, or ends with the next call.
    pub waiting: Option<AdvanceBlocker>,
    /// Who refused, as this author heard.
    pub rejecting_nodes: Vec<RejectingNode>,
}

/// One rollout, as the author that writes knows it.
#[derive(Debug)]
struct Rollout {
    record: RolloutRecord,
    /// The change of the present stage, and when it began here.
    stage: Option<(Version, Time)>,
    counts: StageCounts,
    waiting: Option<AdvanceBlocker>,
    rejecting_nodes: RejectingNodes,
}

impl Rollout {
    fn new(record: RolloutRecord) -> Rollout {
        let (counts, refusing) = (StageCounts::default(), RejectingNodes::default());
        Rollout {
            record,
            stage: None,
            counts,
            waiting: None,
            rejecting_nodes: refusing,
        }
    }

    /// When the verdict on the present stage may be another one without a call, after a moment.
    fn next_check(&self, now: Time) -> Time {
        let (RolloutState::Running, Some((_, since))) = (&self.record.state, self.stage) else {
            return f64::INFINITY;
        };
        let RolloutPolicy {
            decision_time,
            soak_time: soak,
            ..
        } = self.record.policy;
        let moments = [since + decision_time, since + soak];
        moments
            .into_iter()
            .find(|moment| *moment > now)
            .unwrap_or(now + STAGE_CHECK_INTERVAL)
    }

    fn stop_summary(&self, thousandths: u16) -> StopSummary {
        let StageCounts {
            accepted,
            rejected: refused,
            ..
        } = self.counts;
        StopSummary {
            thousandths,
            accepted,
            rejected: refused,
            rejecting_nodes: self.rejecting_nodes.first(MAX_STORED_REJECTIONS),
        }
    }
}

/// All rollouts of which the writing author has records.
#[derive(Debug)]
pub(super) struct Rollouts {
    by_name: BTreeMap<Name, Rollout>,
    next_check_at: Time,
    /// When the author began to write.
    writing_since: Time,
}

impl Default for Rollouts {
    fn default() -> Rollouts {
        Rollouts {
            by_name: BTreeMap::new(),
            next_check_at: f64::INFINITY,
            writing_since: f64::INFINITY,
        }
    }
}

impl Rollouts {
    /// Something was written or heard: they are looked at with the next poll.
    pub fn check_at(&mut self, now: Time) {
        if !self.by_name.is_empty() {
            self.next_check_at = self.next_check_at.min(now);
        }
    }

    /// When they are to be looked at.
    pub fn next_check_at(&self) -> Time {
        self.next_check_at
    }

    /// A node has refused a change. Nodes outside of the stage refuse what is for all nodes, under the trial's version.
    pub fn record_rejection(
        &mut self,
        now: Time,
        node: PeerId,
        key: &Key,
        version: Version,
        reason: &str,
        log: &ChangeLog,
    ) {
        let Some(rollout) = self.by_name.get_mut(&key.name) else {
            return;
        };
        let RolloutProgress::Stage { trial, .. } = progress_of(&rollout.record, log) else {
            return;
        };
        if rollout.record.state.is_open()
            && version > rollout.record.after
            && trial.fraction.contains(node)
        {
            rollout.rejecting_nodes.add(node, reason.to_owned());
            self.next_check_at = self.next_check_at.min(now);
        }
    }

    fn open_rollouts(&self) -> impl Iterator<Item = &Rollout> {
        self.by_name
            .values()
            .filter(|rollout| rollout.record.state.is_open())
    }

    fn earliest_check(&self, now: Time) -> Time {
        self.open_rollouts()
            .map(|rollout| rollout.next_check(now))
            .fold(f64::INFINITY, Time::min)
    }
}

/// What the log says of a rollout.
enum RolloutProgress<'a> {
    Stage { trial: &'a Change, index: usize },
    Promoted,
    Superseded,
    NoCanary,
}

fn progress_of<'a>(record: &RolloutRecord, log: &'a ChangeLog) -> RolloutProgress<'a> {
    let get = |slot| {
        log.get(&Key {
            name: record.name.clone(),
            slot,
        })
    };
    let (whole, trial) = (get(Slot::Stable), get(Slot::Canary));
    let own = record.own_canary(trial);
    let since = own.map_or(record.after, |own| own.version);
    if let Some(whole) = whole.filter(|whole| whole.version > since) {
        return if record.is_content_of(whole) {
            RolloutProgress::Promoted
        } else {
            RolloutProgress::Superseded
        };
    }
    if let Some(trial) = own {
        let index = record
            .policy
            .stage_of(trial.fraction.thousandths)
            .unwrap_or(0);
        return RolloutProgress::Stage { trial, index };
    }
    let other = trial.is_some_and(|trial| !trial.is_removal());
    if other {
        RolloutProgress::Superseded
    } else {
        RolloutProgress::NoCanary
    }
}

/// The records of rollouts, with their versions; none in place of one that can't be read.
fn records(log: &ChangeLog) -> impl Iterator<Item = (&Change, Option<RolloutRecord>)> {
    let selector = Selector::Group(Group::Authors);
    let keys = log.keys_after(&selector, Version::ZERO).map(|(_, key)| key);
    let changes = keys
        .filter_map(|key| log.get(key))
        .filter(|change| !change.is_removal());
    changes.map(|change| (change, RolloutRecord::from_change(change)))
}

impl Author {
    /// Publishes a change for the first stage of its rollout; it goes on by itself from there. Gives back the version of the
    /// first stage.
    ///
    /// # Errors
    /// Says why nothing was published: what [`Author::publish_canary`] says, a policy out of its bounds, another open rollout of the
    /// resource, too many of others.
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
        let trial = PendingChange::canary(
            Draft {
                name: name.clone(),
                content,
                urgency: Urgency::Normal,
            },
            first,
        );
        let mut writes = vec![PendingChange::record(&record), trial];
        writes.extend(self.removal_of_oldest_ended_record());
        let version = self.publish_pending(now, writes, outputs)?;
        self.rollouts.by_name.insert(name, Rollout::new(record));
        self.rollouts.check_at(now);
        Ok(version)
    }

    fn check_rollout_allowed(&self, name: &Name) -> Result<(), PublishError> {
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

    /// How many nodes that are known now each stage holds.
    fn known_nodes_per_stage(&self, record: &RolloutRecord) -> Vec<u32> {
        let stages = record.policy.stages.iter();
        let count = |thousandths: &u16| {
            let part = record.fraction(*thousandths);
            self.node_statuses
                .iter()
                .filter(|(node, _)| part.contains(*node))
                .count() as u32
        };
        stages.map(count).collect()
    }

    /// The end of the earliest record of a rollout that is over, if there are too many.
    fn removal_of_oldest_ended_record(&mut self) -> Option<PendingChange> {
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
        let part = crate::resource::NodeFraction::ALL;
        Some(PendingChange {
            key,
            content: Content::Removed,
            urgency: Urgency::Normal,
            fraction: part,
        })
    }

    /// What is known of a resource's last rollout. Who does not write knows what was stored alone.
    pub fn rollout(&self, name: &Name) -> Option<RolloutStatus> {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            let record = RolloutRecord::from_change(self.log().get(&RolloutRecord::key_of(name))?)?;
            return Some(self.rollout_status(&Rollout::new(record)));
        };
        Some(self.rollout_status(rollout))
    }

    fn rollout_status(&self, rollout: &Rollout) -> RolloutStatus {
        let record = rollout.record.clone();
        let thousandths = match progress_of(&record, self.log()) {
            RolloutProgress::Stage { trial, .. } if record.state.is_open() => {
                Some(trial.fraction.thousandths)
            }
            _ => None,
        };
        let refusing = rollout.rejecting_nodes.first(stage::MAX_REJECTING_NODES);
        RolloutStatus {
            record,
            thousandths,
            counts: rollout.counts,
            waiting: rollout.waiting,
            rejecting_nodes: refusing,
        }
    }

    /// The author begins to write: takes over the rollouts of earlier authors, and brings to an end what they had no time to.
    pub(super) fn take_over_rollouts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.rollouts = Rollouts {
            writing_since: now,
            ..Rollouts::default()
        };
        let mut read = Vec::new();
        for (change, record) in records(self.log()) {
            match record {
                Some(record) => read.push((change.version, record)),
                None => {
                    let key = change.key.clone();
                    outputs.push(Output::Event(Event::RolloutUnreadable { key }));
                }
            }
        }
        for (version, record) in read {
            self.complete_interrupted_rollout(now, version, &record, outputs);
            let name = record.name.clone();
            self.report_resumed(&record, outputs);
            self.rollouts
                .by_name
                .entry(name)
                .or_insert_with(|| Rollout::new(record));
        }
        self.rollouts.check_at(now);
    }

    fn report_resumed(&self, record: &RolloutRecord, outputs: &mut Vec<Output>) {
        if let (true, RolloutProgress::Stage { trial, .. }) =
            (record.state.is_open(), progress_of(record, self.log()))
        {
            let (name, thousandths) = (record.name.clone(), trial.fraction.thousandths);
            outputs.push(Output::Event(Event::RolloutResumed { name, thousandths }));
        }
    }

    /// Guards against an author that ended between storing that a rollout is over and writing what that means, and against
    /// one that writes its own trial anew, which an author between did not have. Harm: a trial by hand that has the content,
    /// the seed and a stage of a rollout that is over counts as that one's.
    fn complete_interrupted_rollout(
        &mut self,
        now: Time,
        version: Version,
        record: &RolloutRecord,
        outputs: &mut Vec<Output>,
    ) {
        match (&record.state, progress_of(record, self.log())) {
            (_, RolloutProgress::Stage { .. }) if record.state.is_open() => {}
            (RolloutState::Completed, RolloutProgress::Stage { .. }) => {
                for write in self.promotion_of(record) {
                    self.publish_or_report_full(now, write, outputs);
                }
            }
            (RolloutState::Completed, RolloutProgress::NoCanary) => {
                let whole = self.log().get(&Key {
                    name: record.name.clone(),
                    slot: Slot::Stable,
                });
                if whole.is_none_or(|whole| whole.version < version && !record.is_content_of(whole))
                {
                    self.rollouts
                        .by_name
                        .insert(record.name.clone(), Rollout::new(record.clone()));
                    self.end_rollout(now, &record.name, RolloutState::Lost, false, outputs);
                }
            }
            // The author that released it is back and has written its release anew.
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

    /// What releases the trial of a record: latest last, so that a link carries the change for all nodes before the trial's
    /// end.
    fn promotion_of(&self, record: &RolloutRecord) -> Vec<PendingChange> {
        let key = Key {
            name: record.name.clone(),
            slot: Slot::Canary,
        };
        let Some(trial) = record.own_canary(self.log().get(&key)) else {
            return Vec::new();
        };
        let (name, urgency) = (record.name.clone(), Urgency::Normal);
        let whole = PendingChange::stable(Draft {
            name: name.clone(),
            content: trial.content.clone(),
            urgency,
        });
        vec![PendingChange::end_of_canary(name, urgency), whole]
    }

    /// Ends the trial of a record, if it is still there.
    fn end_canary(&mut self, now: Time, record: &RolloutRecord, outputs: &mut Vec<Output>) {
        let key = Key {
            name: record.name.clone(),
            slot: Slot::Canary,
        };
        if record.own_canary(self.log().get(&key)).is_some() {
            let end = PendingChange::end_of_canary(record.name.clone(), Urgency::Urgent);
            // It takes less room than the trial, so there is room for it.
            self.append_all(now, vec![end], outputs);
        }
    }

    /// Looks at all rollouts that are open, if that is due.
    pub(super) fn check_rollouts(&mut self, now: Time, outputs: &mut Vec<Output>) {
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

    fn check_rollout(&mut self, now: Time, name: &Name, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get_mut(name) else {
            return;
        };
        let log = &self.replica.log;
        let (trial, index) = match progress_of(&rollout.record, log) {
            RolloutProgress::Stage { trial, index } => (trial, index),
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
        let (_, since) = *rollout.stage.insert(match rollout.stage {
            Some(stage) if stage.0 == trial.version => stage,
            _ => (trial.version, now),
        });
        let Rollout {
            record,
            rejecting_nodes: refusing,
            ..
        } = &*rollout;
        let (policy, part, version) = (&record.policy, trial.fraction, trial.version);
        let expected = record.expected.get(index).copied().unwrap_or(0);
        let stage = Stage {
            version,
            fraction: part,
            expected,
            reports_since: self.rollouts.writing_since,
        };
        let counts = stage::count_nodes(now, stage, policy, &self.node_statuses, refusing);
        let verdict = stage::evaluate(policy, counts, now - since);
        let on_refusals = policy.on_rejections;
        rollout.counts = counts;
        rollout.waiting = None;
        if rollout.record.state != RolloutState::Running {
            return;
        }
        match verdict {
            Verdict::Wait(blocker) => rollout.waiting = Some(blocker),
            Verdict::Advance => self.advance_stage(now, name, index + 1, outputs),
            Verdict::Stop => {
                let stop = rollout.stop_summary(part.thousandths);
                match on_refusals {
                    OnRejections::Halt => {
                        self.end_rollout(now, name, RolloutState::Halted(stop), false, outputs);
                    }
                    OnRejections::RollBack => {
                        self.end_rollout(now, name, RolloutState::RolledBack(stop), true, outputs);
                    }
                }
            }
        }
    }

    /// The next stage begins, or the last one is over.
    fn advance_stage(&mut self, now: Time, name: &Name, next: usize, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get_mut(name) else {
            return;
        };
        let key = Key {
            name: name.clone(),
            slot: Slot::Canary,
        };
        let Some(trial) = self.replica.log.get(&key) else {
            return;
        };
        let counts = rollout.counts;
        let Some(thousandths) = rollout.record.policy.stages.get(next).copied() else {
            return self.complete_rollout(now, name, outputs);
        };
        let part = rollout.record.fraction(thousandths);
        let draft = Draft {
            name: name.clone(),
            content: trial.content.clone(),
            urgency: Urgency::Normal,
        };
        match self.publish_pending(now, vec![PendingChange::canary(draft, part)], outputs) {
            Ok(version) => {
                if let Some(rollout) = self.rollouts.by_name.get_mut(name) {
                    rollout.stage = Some((version, now));
                }
                let name = name.clone();
                outputs.push(Output::Event(Event::RolloutAdvanced {
                    name,
                    thousandths,
                    counts,
                }));
            }
            Err(_) => self.report_full(key, outputs),
        }
    }

    fn complete_rollout(&mut self, now: Time, name: &Name, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            return;
        };
        let (mut record, counts) = (rollout.record.clone(), rollout.counts);
        let release = self.promotion_of(&record);
        record.state = RolloutState::Completed;
        let writes = std::iter::once(PendingChange::record(&record))
            .chain(release)
            .collect();
        match self.publish_pending(now, writes, outputs) {
            Ok(_) => self.record_rollout_end(name, record.state, counts, outputs),
            Err(_) => self.report_full(RolloutRecord::key_of(name), outputs),
        }
    }

    /// A rollout goes on no more by itself. `ends_trial`: nor does its trial, with the same write.
    fn end_rollout(
        &mut self,
        now: Time,
        name: &Name,
        state: RolloutState,
        ends_trial: bool,
        outputs: &mut Vec<Output>,
    ) {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            return;
        };
        let (mut record, counts) = (rollout.record.clone(), rollout.counts);
        record.state = state;
        // Without room for the record the trial ends all the same.
        if self
            .publish_pending(now, vec![PendingChange::record(&record)], outputs)
            .is_err()
        {
            self.report_full(RolloutRecord::key_of(name), outputs);
        }
        if ends_trial {
            self.end_canary(now, &record, outputs);
        }
        self.record_rollout_end(name, record.state, counts, outputs);
    }

    fn record_rollout_end(
        &mut self,
        name: &Name,
        state: RolloutState,
        counts: StageCounts,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(rollout) = self.rollouts.by_name.get_mut(name) {
            rollout.record.state = state.clone();
            rollout.waiting = None;
            if !state.is_open() {
                rollout.rejecting_nodes.drop_nodes_without_reason();
            }
        }
        let name = name.clone();
        outputs.push(Output::Event(Event::RolloutStopped {
            name,
            state,
            counts,
        }));
    }

    fn report_full(&self, key: Key, outputs: &mut Vec<Output>) {
        let version = self.head();
        outputs.push(Output::Event(Event::CapacityExceeded { key, version }));
    }
}
