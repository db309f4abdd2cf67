//! An author: writes by grace of a lease, and serves the first relays.
//!
//! | state | ends |
//! | --- | --- |
//! | standing by: follows a relay, to have what others write | when the lease is held |
//! | taking over: takes in what each first relay has, one after the other | when all have been heard; after [`AuthorConfig::takeover`] |
//! | writing: serves relays, follows nobody | at the lease's end; when it is given back; when a later token is heard of |
//!
//! A later author may lack what an earlier one wrote just before it was cut off. What relays and nodes have of that are
//! orphans: they report them, and the present author writes its own content anew over them. So all come to the same
//! content, and versions go up everywhere.

mod orphans;
mod rollouts;

pub use rollouts::{RolloutDraft, RolloutStatus};

use crate::coverage::Coverage;
use crate::downstream::{Downstream, ServeRules};
use crate::epoch::Epoch;
use crate::feed::Source;
use crate::follow::FollowRules;
use crate::history::History;
use crate::log::{Log, Room};
use crate::message::{self, Payload};
use crate::output::{Event, Output, Record};
use crate::peer::PeerId;
use crate::publish::{self, check_free, Refusal, Write};
use crate::replica::{orphans, Replica, Update};
use crate::report::Report;
use crate::resource::{Change, Content, Draft, Key, Name, Part, Slot, Urgency, Version};
use crate::restore::Restored;
use crate::session_end::Reason;
use crate::status::{Board, Refused, Status};
use crate::upstream::Upstream;
use crate::Time;
use reelfall_lease::token::{Claim, LeaseName};
use rollouts::Rollouts;
use std::collections::BTreeSet;

/// What an author is given.
#[derive(Clone, Debug)]
pub struct AuthorConfig {
    /// The lease of those who write.
    pub lease: LeaseName,
    /// Whom it follows while it does not write: the first relays.
    pub follow: FollowRules,
    /// How it serves.
    pub serve: ServeRules,
    /// How much it holds.
    pub room: Room,
    /// How much it keeps for taking changes back, in bytes.
    pub history: usize,
    /// How long it waits at most for what others wrote, in seconds.
    pub takeover: Time,
    /// For what is drawn, sessions' numbers among it: another one at each start.
    pub seed: u64,
}

#[derive(Debug)]
enum State {
    StandingBy,
    TakingOver {
        claim: Claim,
        until: Time,
        deadline: Time,
        heard: BTreeSet<PeerId>,
    },
    Writing {
        epoch: Epoch,
        until: Time,
        orphans: usize,
    },
}

/// See the module.
#[derive(Debug)]
pub struct Author {
    config: AuthorConfig,
    state: State,
    replica: Replica,
    downstream: Downstream,
    history: History,
    board: Board,
    rollouts: Rollouts,
    clock: Time,
}

impl Author {
    /// One that begins without records.
    pub fn new(config: AuthorConfig, now: Time) -> Author {
        let restored = Restored::empty(config.room);
        Author::from_restored(config, restored, now)
    }

    /// One that goes on from what was stored.
    pub fn restore(
        config: AuthorConfig,
        records: impl IntoIterator<Item = Record>,
        now: Time,
    ) -> Author {
        let restored = Restored::read(config.room, records);
        Author::from_restored(config, restored, now)
    }

    fn from_restored(config: AuthorConfig, mut restored: Restored, now: Time) -> Author {
        let upstream = Upstream::new(
            config.follow.clone(),
            config.lease.clone(),
            config.seed,
            now,
        );
        let replica = Replica::new(upstream, &mut restored);
        let mut history = History::new(config.history);
        for (old, new) in &restored.replaced {
            history.replaced(old, new);
        }
        let downstream = Downstream::new(config.serve, crate::chance::mix(config.seed), now);
        let board = Board::default();
        let (state, rollouts) = (State::StandingBy, Rollouts::default());
        Author {
            state,
            replica,
            downstream,
            history,
            board,
            rollouts,
            clock: now,
            config,
        }
    }

    /// What it has.
    pub fn log(&self) -> &Log {
        &self.replica.log
    }

    /// Which versions it covers.
    pub fn coverage(&self) -> &Coverage {
        self.replica.coverage()
    }

    /// The latest version that it has.
    pub fn head(&self) -> Version {
        self.replica.head()
    }

    /// Whether it can publish.
    pub fn is_writing(&self) -> bool {
        matches!(self.state, State::Writing { .. })
    }

    /// Who follows it.
    pub fn children(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.downstream.children()
    }

    /// What the nodes have said of a version.
    pub fn status(&self, version: Version) -> Status {
        self.board.status(version)
    }

    /// The lease is held until then, by this claim: its beginning, and each renewal.
    ///
    /// # Errors
    /// If it is another lease, or a later token has been seen.
    pub fn hold(
        &mut self,
        now: Time,
        claim: &Claim,
        until: Time,
        outputs: &mut Vec<Output>,
    ) -> Result<(), Refusal> {
        self.clock = self.clock.max(now);
        if claim.lease != self.config.lease {
            return Err(Refusal::NotHeld);
        }
        let seen = self.token_seen();
        if claim.token < seen {
            return Err(Refusal::Fenced(seen));
        }
        match &mut self.state {
            State::Writing {
                epoch, until: held, ..
            } if epoch.claim == *claim => *held = until,
            State::TakingOver {
                claim: taking,
                until: held,
                ..
            } if taking == claim => *held = until,
            _ => {
                self.stand_down(now, outputs);
                let deadline = now + self.config.takeover;
                let (claim, heard) = (claim.clone(), BTreeSet::new());
                self.state = State::TakingOver {
                    claim,
                    until,
                    deadline,
                    heard,
                };
                if self.config.follow.upstreams.is_empty() {
                    self.begin(now, outputs);
                }
            }
        }
        Ok(())
    }

    /// The lease is no longer held.
    pub fn stand_down(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.is_writing() {
            self.downstream.close_all(now, Reason::Fenced, outputs);
        }
        self.state = State::StandingBy;
        self.rollouts = Rollouts::default();
        self.replica.upstream.resume(now);
    }

    fn token_seen(&self) -> u64 {
        self.replica.upstream.token_seen().max(self.head().token)
    }

    fn begin(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::TakingOver { claim, until, .. } = &self.state else {
            return;
        };
        let (claim, until) = (claim.clone(), *until);
        let seen = self.token_seen();
        let known = self.replica.known();
        let epoch = Epoch { claim, known };
        if seen > epoch.claim.token || self.replica.upstream.admit(&epoch).is_err() {
            outputs.push(Output::Event(Event::Fenced { token: seen }));
            self.stand_down(now, outputs);
            return;
        }
        self.replica.upstream.suspend(now, outputs);
        let start = Version {
            token: epoch.claim.token,
            sequence: 0,
        };
        let head = self.head().max(start);
        let own = orphans(self.log(), &epoch);
        // Stored the other way round, a crash between the two would leave what is covered by this word alone as known.
        self.replica.set_epoch(epoch.clone(), outputs);
        self.replica.cover_all(head, outputs);
        self.state = State::Writing {
            epoch,
            until,
            orphans: 0,
        };
        self.write_own_again(now, own, outputs);
        self.take_over_rollouts(now, outputs);
    }

    fn may_write(&self, now: Time, claim: &Claim) -> Result<(), Refusal> {
        let seen = self.token_seen();
        match &self.state {
            _ if claim.token < seen => Err(Refusal::Fenced(seen)),
            State::TakingOver { claim: taking, .. } if taking == claim => Err(Refusal::TakingOver),
            State::Writing { epoch, until, .. } if epoch.claim == *claim && now < *until => Ok(()),
            _ => Err(Refusal::NotHeld),
        }
    }

    /// Publishes changes for all nodes; gives back the version of the last one.
    ///
    /// # Errors
    /// Says why nothing was published.
    pub fn publish(
        &mut self,
        now: Time,
        claim: &Claim,
        drafts: Vec<Draft>,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, Refusal> {
        self.may_write(now, claim)?;
        drafts
            .iter()
            .try_for_each(|draft| check_free(&draft.name))?;
        let writes = drafts.into_iter().map(Write::whole).collect();
        self.write(now, writes, outputs)
    }

    /// Publishes a change for a part of the nodes; a later stage of the same trial has a greater part.
    ///
    /// # Errors
    /// Says why nothing was published.
    pub fn stage(
        &mut self,
        now: Time,
        claim: &Claim,
        draft: Draft,
        part: Part,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, Refusal> {
        self.may_write(now, claim)?;
        check_free(&draft.name)?;
        self.write(now, vec![Write::trial(draft, part)], outputs)
    }

    /// Makes what is on trial hold for all nodes.
    ///
    /// # Errors
    /// Says why nothing was published.
    pub fn release(
        &mut self,
        now: Time,
        claim: &Claim,
        name: &Name,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, Refusal> {
        self.may_write(now, claim)?;
        let key = Key {
            name: name.clone(),
            slot: Slot::Trial,
        };
        let trial = self
            .log()
            .get(&key)
            .filter(|trial| !trial.removes())
            .ok_or(Refusal::NoTrial)?;
        let (content, urgency) = (trial.content.clone(), trial.urgency);
        let whole = Write::whole(Draft {
            name: name.clone(),
            content,
            urgency,
        });
        let end = Write::end_of_trial(name.clone(), urgency);
        self.write(now, vec![whole, end], outputs)
    }

    /// Takes a change back: what was there before is published as a new, urgent version. Of a trial: it ends.
    ///
    /// # Errors
    /// Says why nothing was published.
    pub fn revert(
        &mut self,
        now: Time,
        claim: &Claim,
        version: Version,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, Refusal> {
        self.may_write(now, claim)?;
        let change = self.log().at(version).ok_or(Refusal::Superseded)?;
        check_free(&change.key.name)?;
        let content = match change.key.slot {
            Slot::Trial => Content::Removed,
            Slot::Whole => self.history.before(change).ok_or(Refusal::Forgotten)?,
        };
        let key = change.key.clone();
        let write = Write {
            key,
            content,
            urgency: Urgency::Urgent,
            part: Part::ALL,
        };
        self.write(now, vec![write], outputs)
    }

    fn write(
        &mut self,
        now: Time,
        writes: Vec<Write>,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, Refusal> {
        publish::check(&writes, self.log(), self.config.room)?;
        Ok(self.put_all(now, writes, outputs))
    }

    fn put_all(&mut self, now: Time, writes: Vec<Write>, outputs: &mut Vec<Output>) -> Version {
        let mut version = self.head();
        let mut update = Update::default();
        for write in writes {
            version.sequence += 1;
            let Write {
                key,
                content,
                urgency,
                part,
            } = write;
            let replaces = self
                .log()
                .get(&key)
                .map_or(Version::ZERO, |old| old.version);
            let change = Change {
                key,
                version,
                urgency,
                part,
                replaces,
                content,
            };
            self.replica.put(change, &mut update, outputs);
        }
        update.keys.extend(self.replica.forget_removals(outputs));
        self.replica.cover_all(version, outputs);
        self.updated(now, &update);
        version
    }

    fn updated(&mut self, now: Time, update: &Update) {
        for (old, new) in &update.replaced {
            self.history.replaced(old, new);
        }
        if self.is_writing() {
            self.rollouts.wake(now);
            let source = as_author(self.replica.source(now));
            for key in &update.keys {
                self.downstream.changed(now, key, source);
            }
        }
    }

    /// Takes a frame in; any bytes.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::read(from, frame) else {
            return;
        };
        if !received.head.up {
            let upstream = &mut self.replica.upstream;
            let heard = upstream.receive(now, received, outputs);
            if let Some(heard) = heard {
                let update = self.replica.take(now, heard, outputs);
                self.followed(now, &update, outputs);
            }
            return;
        }
        if !self.is_writing() {
            if !matches!(received.payload, Payload::Close { .. }) {
                self.downstream
                    .refuse(now, from, received.head.session, Reason::Fenced, outputs);
            }
            return;
        }
        let source = as_author(self.replica.source(now));
        let reports = self.downstream.receive(now, received, source, outputs);
        for report in reports {
            self.take_report(now, report, outputs);
        }
        if self.downstream.take_fenced() {
            self.fenced(now, outputs);
        }
    }

    fn followed(&mut self, now: Time, update: &Update, outputs: &mut Vec<Output>) {
        self.updated(now, update);
        for (key, version) in update.orphans.iter().cloned() {
            outputs.push(Output::Event(Event::Orphaned { key, version }));
        }
        if update.current {
            self.relay_heard(now, outputs);
        }
    }

    /// Guards against the loss of what an earlier author has told one relay alone. Harm: the others' answers are waited
    /// for, up to [`AuthorConfig::takeover`].
    fn relay_heard(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::TakingOver { heard, .. } = &mut self.state else {
            return;
        };
        let Some(relay) = self.replica.upstream.following() else {
            return;
        };
        heard.insert(relay);
        if self
            .config
            .follow
            .upstreams
            .iter()
            .all(|relay| heard.contains(relay))
        {
            self.begin(now, outputs);
        } else {
            self.replica
                .upstream
                .move_on(now, self.config.takeover, outputs);
        }
    }

    /// A relay has heard of a later token: this author has lost the lease without knowing.
    fn fenced(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Writing { epoch, .. } = &self.state else {
            return;
        };
        outputs.push(Output::Event(Event::Fenced {
            token: epoch.claim.token,
        }));
        self.stand_down(now, outputs);
    }

    fn take_report(&mut self, now: Time, report: Report, outputs: &mut Vec<Output>) {
        match report {
            Report::Standing { node, upto } => {
                self.board.standing(now, node, upto);
            }
            Report::Refused {
                node,
                key,
                version,
                reason,
            } => {
                self.rollouts
                    .refused(now, node, &key, version, &reason, &self.replica.log);
                self.board.refused(version, Refused { node, key, reason });
            }
            Report::Orphan { key, version } => self.write_over(now, key, version, outputs),
        }
    }

    /// Sends what is due; ends what the lease's end ends.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        match &self.state {
            State::TakingOver { until, .. } | State::Writing { until, .. } if now >= *until => {
                self.stand_down(now, outputs);
            }
            State::TakingOver { deadline, .. } if now >= *deadline => self.begin(now, outputs),
            _ => {}
        }
        if self.is_writing() {
            self.drive_rollouts(now, outputs);
            let source = as_author(self.replica.source(now));
            self.downstream.poll(now, source, outputs);
        } else {
            self.replica.upstream.poll(now, outputs);
        }
    }

    /// When [`Author::poll`] is to be called.
    pub fn next_wakeup(&self) -> Time {
        let follow = self.replica.upstream.next_wakeup(self.clock);
        match &self.state {
            State::StandingBy => follow,
            State::TakingOver {
                until, deadline, ..
            } => follow.min(*until).min(*deadline),
            State::Writing { until, .. } => self
                .downstream
                .next_wakeup()
                .min(self.rollouts.due())
                .min(*until),
        }
    }
}

/// What the author has is never old.
fn as_author(source: Source) -> Source {
    Source {
        age: Some(0.0),
        ..source
    }
}
