//! Staged rollouts at the author: begins them, counts what the nodes say, goes on or takes back.
//!
//! | the log says | the rollout |
//! | --- | --- |
//! | the trial of the record is there | is at the stage that the trial's part says |
//! | a later change for all nodes, with the same content | is completed |
//! | a later change for all nodes, with another content, or another trial | is superseded |
//! | no trial | was ended |
//!
//! So an operator ends one by [`Author::release`] or [`Author::revert`] as with any trial, and an author that takes over
//! goes on from what it has. Counts and soak times begin anew there: moments of another clock say nothing.

use super::Author;
use crate::log::Log;
use crate::output::{Event, Output};
use crate::peer::PeerId;
use crate::publish::{check_free, Refusal, Write, ROLLOUTS_MOST};
use crate::resource::{Change, Content, Draft, Group, Key, Name, Selector, Slot, Urgency, Version};
use crate::rollout::policy::{BadPolicy, OnRefusals, RolloutPolicy};
use crate::rollout::record::{RefusingNode, RolloutRecord, RolloutState, Stop, REFUSALS_STORED};
use crate::rollout::stage::{self, Refusing, Stage, StageCounts, Verdict, Waiting};
use crate::Time;
use reelfall_lease::token::Claim;
use std::collections::BTreeMap;

/// Most records of rollouts that are over; of more, the earliest are removed.
pub const ENDED_MOST: usize = 64;
/// A stage whose soak time is over is looked at so often, in seconds: reports grow old without a call.
pub const CHECK_EVERY: Time = 1.0;

/// A change that is to reach all nodes by stages.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutDraft {
    /// Of which resource.
    pub name: Name,
    /// What it is to be; a removal can't be on trial.
    pub content: Content,
    /// Which nodes come first, as [`crate::resource::Part::seed`].
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
    pub waiting: Option<Waiting>,
    /// Who refused, as this author heard.
    pub refusing: Vec<RefusingNode>,
}

/// One rollout, as the author that writes knows it.
#[derive(Debug)]
struct Rollout {
    record: RolloutRecord,
    /// The change of the present stage, and when it began here.
    stage: Option<(Version, Time)>,
    counts: StageCounts,
    waiting: Option<Waiting>,
    refusing: Refusing,
}

impl Rollout {
    fn new(record: RolloutRecord) -> Rollout {
        let (counts, refusing) = (StageCounts::default(), Refusing::default());
        Rollout {
            record,
            stage: None,
            counts,
            waiting: None,
            refusing,
        }
    }

    /// When the verdict on the present stage may be another one without a call, after a moment.
    fn next_check(&self, now: Time) -> Time {
        let (RolloutState::Running, Some((_, since))) = (&self.record.state, self.stage) else {
            return f64::INFINITY;
        };
        let RolloutPolicy {
            decision_time,
            soak,
            ..
        } = self.record.policy;
        let moments = [since + decision_time, since + soak];
        moments
            .into_iter()
            .find(|moment| *moment > now)
            .unwrap_or(now + CHECK_EVERY)
    }

    fn stop(&self, thousandths: u16) -> Stop {
        let StageCounts {
            accepted, refused, ..
        } = self.counts;
        Stop {
            thousandths,
            accepted,
            refused,
            refusing: self.refusing.list(REFUSALS_STORED),
        }
    }
}

/// All rollouts of which the writing author has records.
#[derive(Debug)]
pub(super) struct Rollouts {
    by_name: BTreeMap<Name, Rollout>,
    due: Time,
    /// When the author began to write.
    began: Time,
}

impl Default for Rollouts {
    fn default() -> Rollouts {
        Rollouts {
            by_name: BTreeMap::new(),
            due: f64::INFINITY,
            began: f64::INFINITY,
        }
    }
}

impl Rollouts {
    /// Something was written or heard: they are looked at with the next poll.
    pub fn wake(&mut self, now: Time) {
        if !self.by_name.is_empty() {
            self.due = self.due.min(now);
        }
    }

    /// When they are to be looked at.
    pub fn due(&self) -> Time {
        self.due
    }

    /// A node has refused a change. Nodes outside of the stage refuse what is for all nodes, under the trial's version.
    pub fn refused(
        &mut self,
        now: Time,
        node: PeerId,
        key: &Key,
        version: Version,
        reason: &str,
        log: &Log,
    ) {
        let Some(rollout) = self.by_name.get_mut(&key.name) else {
            return;
        };
        let Found::Stage { trial, .. } = find(&rollout.record, log) else {
            return;
        };
        if rollout.record.state.is_open()
            && version > rollout.record.after
            && trial.part.holds(node)
        {
            rollout.refusing.add(node, reason.to_owned());
            self.due = self.due.min(now);
        }
    }

    fn open(&self) -> impl Iterator<Item = &Rollout> {
        self.by_name
            .values()
            .filter(|rollout| rollout.record.state.is_open())
    }

    fn next_due(&self, now: Time) -> Time {
        self.open()
            .map(|rollout| rollout.next_check(now))
            .fold(f64::INFINITY, Time::min)
    }
}

/// What the log says of a rollout.
enum Found<'a> {
    Stage { trial: &'a Change, index: usize },
    Released,
    Superseded,
    Gone,
}

fn find<'a>(record: &RolloutRecord, log: &'a Log) -> Found<'a> {
    let get = |slot| {
        log.get(&Key {
            name: record.name.clone(),
            slot,
        })
    };
    let (whole, trial) = (get(Slot::Whole), get(Slot::Trial));
    let own = record.own_trial(trial);
    let since = own.map_or(record.after, |own| own.version);
    if let Some(whole) = whole.filter(|whole| whole.version > since) {
        return if record.is_content_of(whole) {
            Found::Released
        } else {
            Found::Superseded
        };
    }
    if let Some(trial) = own {
        let index = record.policy.stage_of(trial.part.thousandths).unwrap_or(0);
        return Found::Stage { trial, index };
    }
    let other = trial.is_some_and(|trial| !trial.removes());
    if other {
        Found::Superseded
    } else {
        Found::Gone
    }
}

/// The records of rollouts, with their versions; none in place of one that can't be read.
fn records(log: &Log) -> impl Iterator<Item = (&Change, Option<RolloutRecord>)> {
    let selector = Selector::Group(Group::Authors);
    let keys = log.keys_after(&selector, Version::ZERO).map(|(_, key)| key);
    let changes = keys
        .filter_map(|key| log.get(key))
        .filter(|change| !change.removes());
    changes.map(|change| (change, RolloutRecord::read(change)))
}

impl Author {
    /// Publishes a change for the first stage of its rollout; it goes on by itself from there. Gives back the version of the
    /// first stage.
    ///
    /// # Errors
    /// Says why nothing was published: what [`Author::stage`] says, a policy out of its bounds, another open rollout of the
    /// resource, too many of others.
    pub fn roll_out(
        &mut self,
        now: Time,
        claim: &Claim,
        draft: RolloutDraft,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, Refusal> {
        self.may_write(now, claim)?;
        let RolloutDraft {
            name,
            content,
            seed,
            policy,
        } = draft;
        check_free(&name)?;
        policy.check()?;
        if content == Content::Removed {
            return Err(BadPolicy::Removal.into());
        }
        self.check_rollouts(&name)?;
        let after = self.head();
        let state = RolloutState::Running;
        let hash = crate::resource::ContentHash::of(content.bytes());
        let expected = Vec::new();
        let mut record = RolloutRecord {
            name: name.clone(),
            content: hash,
            seed,
            after,
            policy,
            expected,
            state,
        };
        record.expected = self.nodes_of_stages(&record);
        let first = record.part(record.policy.stages.first().copied().unwrap_or(0));
        let trial = Write::trial(
            Draft {
                name: name.clone(),
                content,
                urgency: Urgency::Normal,
            },
            first,
        );
        let mut writes = vec![Write::record(&record), trial];
        writes.extend(self.earliest_ended_record());
        let version = self.write(now, writes, outputs)?;
        self.rollouts.by_name.insert(name, Rollout::new(record));
        self.rollouts.wake(now);
        Ok(version)
    }

    fn check_rollouts(&self, name: &Name) -> Result<(), Refusal> {
        if self
            .rollouts
            .open()
            .any(|rollout| rollout.record.name == *name)
        {
            return Err(Refusal::RollingOut);
        }
        if self.rollouts.open().count() >= ROLLOUTS_MOST {
            return Err(Refusal::Rollouts);
        }
        Ok(())
    }

    /// How many nodes that are known now each stage holds.
    fn nodes_of_stages(&self, record: &RolloutRecord) -> Vec<u32> {
        let stages = record.policy.stages.iter();
        let count = |thousandths: &u16| {
            let part = record.part(*thousandths);
            self.board
                .standings()
                .filter(|(node, _)| part.holds(*node))
                .count() as u32
        };
        stages.map(count).collect()
    }

    /// The end of the earliest record of a rollout that is over, if there are too many.
    fn earliest_ended_record(&mut self) -> Option<Write> {
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
        if keys.len() < ENDED_MOST {
            return None;
        }
        let version = |key: &Key| self.log().get(key).map(|change| change.version);
        let (key, name) = keys.into_iter().min_by_key(|(key, _)| version(key))?;
        self.rollouts.by_name.remove(&name);
        let part = crate::resource::Part::ALL;
        Some(Write {
            key,
            content: Content::Removed,
            urgency: Urgency::Normal,
            part,
        })
    }

    /// What is known of a resource's last rollout. Who does not write knows what was stored alone.
    pub fn rollout(&self, name: &Name) -> Option<RolloutStatus> {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            let record = RolloutRecord::read(self.log().get(&RolloutRecord::key_of(name))?)?;
            return Some(self.status_of(&Rollout::new(record)));
        };
        Some(self.status_of(rollout))
    }

    fn status_of(&self, rollout: &Rollout) -> RolloutStatus {
        let record = rollout.record.clone();
        let thousandths = match find(&record, self.log()) {
            Found::Stage { trial, .. } if record.state.is_open() => Some(trial.part.thousandths),
            _ => None,
        };
        let refusing = rollout.refusing.list(stage::REFUSING_MOST);
        RolloutStatus {
            record,
            thousandths,
            counts: rollout.counts,
            waiting: rollout.waiting,
            refusing,
        }
    }

    /// The author begins to write: takes over the rollouts of earlier authors, and brings to an end what they had no time to.
    pub(super) fn take_over_rollouts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.rollouts = Rollouts {
            began: now,
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
            self.finish(now, version, &record, outputs);
            let name = record.name.clone();
            self.resumed(&record, outputs);
            self.rollouts
                .by_name
                .entry(name)
                .or_insert_with(|| Rollout::new(record));
        }
        self.rollouts.wake(now);
    }

    fn resumed(&self, record: &RolloutRecord, outputs: &mut Vec<Output>) {
        if let (true, Found::Stage { trial, .. }) =
            (record.state.is_open(), find(record, self.log()))
        {
            let (name, thousandths) = (record.name.clone(), trial.part.thousandths);
            outputs.push(Output::Event(Event::RolloutResumed { name, thousandths }));
        }
    }

    /// Guards against an author that ended between storing that a rollout is over and writing what that means, and against
    /// one that writes its own trial anew, which an author between did not have. Harm: a trial by hand that has the content,
    /// the seed and a stage of a rollout that is over counts as that one's.
    fn finish(
        &mut self,
        now: Time,
        version: Version,
        record: &RolloutRecord,
        outputs: &mut Vec<Output>,
    ) {
        match (&record.state, find(record, self.log())) {
            (_, Found::Stage { .. }) if record.state.is_open() => {}
            (RolloutState::Completed, Found::Stage { .. }) => {
                for write in self.release_of(record) {
                    self.write_or_tell(now, write, outputs);
                }
            }
            (RolloutState::Completed, Found::Gone) => {
                let whole = self.log().get(&Key {
                    name: record.name.clone(),
                    slot: Slot::Whole,
                });
                if whole.is_none_or(|whole| whole.version < version && !record.is_content_of(whole))
                {
                    self.rollouts
                        .by_name
                        .insert(record.name.clone(), Rollout::new(record.clone()));
                    self.stopped(now, &record.name, RolloutState::Lost, false, outputs);
                }
            }
            // The author that released it is back and has written its release anew.
            (RolloutState::Lost, Found::Released) => {
                self.rollouts
                    .by_name
                    .insert(record.name.clone(), Rollout::new(record.clone()));
                self.stopped(now, &record.name, RolloutState::Completed, false, outputs);
            }
            (_, Found::Stage { .. }) | (RolloutState::Superseded, Found::Superseded) => {
                self.end_trial(now, record, outputs);
            }
            _ => {}
        }
    }

    /// What releases the trial of a record: latest last, so that a link carries the change for all nodes before the trial's
    /// end.
    fn release_of(&self, record: &RolloutRecord) -> Vec<Write> {
        let key = Key {
            name: record.name.clone(),
            slot: Slot::Trial,
        };
        let Some(trial) = record.own_trial(self.log().get(&key)) else {
            return Vec::new();
        };
        let (name, urgency) = (record.name.clone(), Urgency::Normal);
        let whole = Write::whole(Draft {
            name: name.clone(),
            content: trial.content.clone(),
            urgency,
        });
        vec![Write::end_of_trial(name, urgency), whole]
    }

    /// Ends the trial of a record, if it is still there.
    fn end_trial(&mut self, now: Time, record: &RolloutRecord, outputs: &mut Vec<Output>) {
        let key = Key {
            name: record.name.clone(),
            slot: Slot::Trial,
        };
        if record.own_trial(self.log().get(&key)).is_some() {
            let end = Write::end_of_trial(record.name.clone(), Urgency::Urgent);
            // It takes less room than the trial, so there is room for it.
            self.put_all(now, vec![end], outputs);
        }
    }

    /// Looks at all rollouts that are open, if that is due.
    pub(super) fn drive_rollouts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if now < self.rollouts.due {
            return;
        }
        let names: Vec<Name> = self
            .rollouts
            .open()
            .map(|rollout| rollout.record.name.clone())
            .collect();
        for name in names {
            self.drive_rollout(now, &name, outputs);
        }
        self.rollouts.due = self.rollouts.next_due(now);
    }

    fn drive_rollout(&mut self, now: Time, name: &Name, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get_mut(name) else {
            return;
        };
        let log = &self.replica.log;
        let (trial, index) = match find(&rollout.record, log) {
            Found::Stage { trial, index } => (trial, index),
            Found::Released => {
                return self.stopped(now, name, RolloutState::Completed, false, outputs)
            }
            Found::Superseded => {
                return self.stopped(now, name, RolloutState::Superseded, true, outputs)
            }
            Found::Gone => return self.stopped(now, name, RolloutState::Ended, false, outputs),
        };
        let (_, since) = *rollout.stage.insert(match rollout.stage {
            Some(stage) if stage.0 == trial.version => stage,
            _ => (trial.version, now),
        });
        let Rollout {
            record, refusing, ..
        } = &*rollout;
        let (policy, part, version) = (&record.policy, trial.part, trial.version);
        let expected = record.expected.get(index).copied().unwrap_or(0);
        let stage = Stage {
            version,
            part,
            expected,
            heard_since: self.rollouts.began,
        };
        let counts = stage::count(now, stage, policy, &self.board, refusing);
        let verdict = stage::judge(policy, counts, now - since);
        let on_refusals = policy.on_refusals;
        rollout.counts = counts;
        rollout.waiting = None;
        if rollout.record.state != RolloutState::Running {
            return;
        }
        match verdict {
            Verdict::Wait(waiting) => rollout.waiting = Some(waiting),
            Verdict::Advance => self.advance(now, name, index + 1, outputs),
            Verdict::Stop => {
                let stop = rollout.stop(part.thousandths);
                match on_refusals {
                    OnRefusals::Halt => {
                        self.stopped(now, name, RolloutState::Halted(stop), false, outputs);
                    }
                    OnRefusals::RollBack => {
                        self.stopped(now, name, RolloutState::RolledBack(stop), true, outputs);
                    }
                }
            }
        }
    }

    /// The next stage begins, or the last one is over.
    fn advance(&mut self, now: Time, name: &Name, next: usize, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get_mut(name) else {
            return;
        };
        let key = Key {
            name: name.clone(),
            slot: Slot::Trial,
        };
        let Some(trial) = self.replica.log.get(&key) else {
            return;
        };
        let counts = rollout.counts;
        let Some(thousandths) = rollout.record.policy.stages.get(next).copied() else {
            return self.complete(now, name, outputs);
        };
        let part = rollout.record.part(thousandths);
        let draft = Draft {
            name: name.clone(),
            content: trial.content.clone(),
            urgency: Urgency::Normal,
        };
        match self.write(now, vec![Write::trial(draft, part)], outputs) {
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
            Err(_) => self.tell_full(key, outputs),
        }
    }

    fn complete(&mut self, now: Time, name: &Name, outputs: &mut Vec<Output>) {
        let Some(rollout) = self.rollouts.by_name.get(name) else {
            return;
        };
        let (mut record, counts) = (rollout.record.clone(), rollout.counts);
        let release = self.release_of(&record);
        record.state = RolloutState::Completed;
        let writes = std::iter::once(Write::record(&record))
            .chain(release)
            .collect();
        match self.write(now, writes, outputs) {
            Ok(_) => self.over(name, record.state, counts, outputs),
            Err(_) => self.tell_full(RolloutRecord::key_of(name), outputs),
        }
    }

    /// A rollout goes on no more by itself. `ends_trial`: nor does its trial, with the same write.
    fn stopped(
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
            .write(now, vec![Write::record(&record)], outputs)
            .is_err()
        {
            self.tell_full(RolloutRecord::key_of(name), outputs);
        }
        if ends_trial {
            self.end_trial(now, &record, outputs);
        }
        self.over(name, record.state, counts, outputs);
    }

    fn over(
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
                rollout.refusing.shorten();
            }
        }
        let name = name.clone();
        outputs.push(Output::Event(Event::RolloutStopped {
            name,
            state,
            counts,
        }));
    }

    fn tell_full(&self, key: Key, outputs: &mut Vec<Output>) {
        let version = self.head();
        outputs.push(Output::Event(Event::Full { key, version }));
    }
}
