//! An author: writes by grace of a lease, and serves the first relays.
//!
//! | state | ends |
//! | --- | --- |
//! | standing by: follows a relay, to have what others write | when the lease is held |
//! | taking over: takes in what each first relay has, one after the other | when all have been heard; after [`AuthorConfig::takeover_timeout`] |
//! | writing: serves relays, follows nobody | at the lease's end; when it is given back; when a later token is heard of |
//!
//! A later author may lack what an earlier one wrote just before it was cut off. What relays and nodes have of that are
//! orphans: they report them, and the present author writes its own content anew over them. So all come to the same
//! content, and versions go up everywhere.

mod orphans;
mod rollouts;

pub use rollouts::{RolloutDraft, RolloutStatus};

use crate::coverage::Coverage;
use crate::downstream::{Downstream, DownstreamConfig};
use crate::epoch::Epoch;
use crate::history::ChangeHistory;
use crate::log::{Capacity, ChangeLog};
use crate::message::{self, Payload};
use crate::node_status::{NodeStatuses, Rejection, VersionStatus};
use crate::output::{Event, Output, Record};
use crate::peer::PeerId;
use crate::publish::{self, check_writable, PendingChange, PublishError};
use crate::replica::{orphaned_changes, Replica, ReplicaUpdate};
use crate::replica_view::ReplicaView;
use crate::report::Report;
use crate::resource::{Change, Content, Draft, Key, Name, NodeFraction, Slot, Urgency, Version};
use crate::restore::RestoredState;
use crate::session_end::CloseReason;
use crate::upstream::Upstream;
use crate::upstream_config::UpstreamConfig;
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
    pub upstream: UpstreamConfig,
    /// How it serves.
    pub downstream: DownstreamConfig,
    /// How much it holds.
    pub capacity: Capacity,
    /// How much it keeps for taking changes back, in bytes.
    pub history_bytes: usize,
    /// How long it waits at most for what others wrote, in seconds.
    pub takeover_timeout: Time,
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
    history: ChangeHistory,
    node_statuses: NodeStatuses,
    rollouts: Rollouts,
    clock: Time,
}

impl Author {
    /// One that begins without records.
    pub fn new(config: AuthorConfig, now: Time) -> Author {
        let restored = RestoredState::empty(config.capacity);
        Author::from_restored(config, restored, now)
    }

    /// One that goes on from what was stored.
    pub fn restore(
        config: AuthorConfig,
        records: impl IntoIterator<Item = Record>,
        now: Time,
    ) -> Author {
        let restored = RestoredState::from_records(config.capacity, records);
        Author::from_restored(config, restored, now)
    }

    fn from_restored(config: AuthorConfig, mut restored: RestoredState, now: Time) -> Author {
        let upstream = Upstream::new(
            config.upstream.clone(),
            config.lease.clone(),
            config.seed,
            now,
        );
        let replica = Replica::new(upstream, &mut restored);
        let mut history = ChangeHistory::new(config.history_bytes);
        for (old, new) in &restored.replaced {
            history.record_replaced(old, new);
        }
        let downstream =
            Downstream::new(config.downstream, crate::random::mix_bits(config.seed), now);
        let board = NodeStatuses::default();
        let (state, rollouts) = (State::StandingBy, Rollouts::default());
        Author {
            state,
            replica,
            downstream,
            history,
            node_statuses: board,
            rollouts,
            clock: now,
            config,
        }
    }

    /// What it has.
    pub fn log(&self) -> &ChangeLog {
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
    pub fn status(&self, version: Version) -> VersionStatus {
        self.node_statuses.status(version)
    }

    /// The lease is held until then, by this claim: its beginning, and each renewal.
    ///
    /// # Errors
    /// If it is another lease, or a later token has been seen.
    pub fn hold_lease(
        &mut self,
        now: Time,
        claim: &Claim,
        until: Time,
        outputs: &mut Vec<Output>,
    ) -> Result<(), PublishError> {
        self.clock = self.clock.max(now);
        if claim.lease != self.config.lease {
            return Err(PublishError::LeaseNotHeld);
        }
        let seen = self.highest_token();
        if claim.token < seen {
            return Err(PublishError::Fenced(seen));
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
                let deadline = now + self.config.takeover_timeout;
                let (claim, heard) = (claim.clone(), BTreeSet::new());
                self.state = State::TakingOver {
                    claim,
                    until,
                    deadline,
                    heard,
                };
                if self.config.upstream.upstreams.is_empty() {
                    self.begin_writing(now, outputs);
                }
            }
        }
        Ok(())
    }

    /// The lease is no longer held.
    pub fn stand_down(&mut self, now: Time, outputs: &mut Vec<Output>) {
        if self.is_writing() {
            self.downstream.close_all(now, CloseReason::Fenced, outputs);
        }
        self.state = State::StandingBy;
        self.rollouts = Rollouts::default();
        self.replica.upstream.resume(now);
    }

    fn highest_token(&self) -> u64 {
        self.replica.upstream.highest_token().max(self.head().token)
    }

    fn begin_writing(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::TakingOver { claim, until, .. } = &self.state else {
            return;
        };
        let (claim, until) = (claim.clone(), *until);
        let seen = self.highest_token();
        let known = self.replica.known_versions();
        let epoch = Epoch { claim, known };
        if seen > epoch.claim.token || self.replica.upstream.admit_epoch(&epoch).is_err() {
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
        let own = orphaned_changes(self.log(), &epoch);
        // Stored the other way round, a crash between the two would leave what is covered by this word alone as known.
        self.replica.set_epoch(epoch.clone(), outputs);
        self.replica.mark_complete(head, outputs);
        self.state = State::Writing {
            epoch,
            until,
            orphans: 0,
        };
        self.rewrite_orphaned(now, own, outputs);
        self.take_over_rollouts(now, outputs);
    }

    fn check_lease(&self, now: Time, claim: &Claim) -> Result<(), PublishError> {
        let seen = self.highest_token();
        match &self.state {
            _ if claim.token < seen => Err(PublishError::Fenced(seen)),
            State::TakingOver { claim: taking, .. } if taking == claim => {
                Err(PublishError::TakingOver)
            }
            State::Writing { epoch, until, .. } if epoch.claim == *claim && now < *until => Ok(()),
            _ => Err(PublishError::LeaseNotHeld),
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
    ) -> Result<Version, PublishError> {
        self.check_lease(now, claim)?;
        drafts
            .iter()
            .try_for_each(|draft| check_writable(&draft.name))?;
        let writes = drafts.into_iter().map(PendingChange::stable).collect();
        self.publish_pending(now, writes, outputs)
    }

    /// Publishes a change for a part of the nodes; a later stage of the same trial has a greater part.
    ///
    /// # Errors
    /// Says why nothing was published.
    pub fn publish_canary(
        &mut self,
        now: Time,
        claim: &Claim,
        draft: Draft,
        part: NodeFraction,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        self.check_lease(now, claim)?;
        check_writable(&draft.name)?;
        self.publish_pending(now, vec![PendingChange::canary(draft, part)], outputs)
    }

    /// Makes what is on trial hold for all nodes.
    ///
    /// # Errors
    /// Says why nothing was published.
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
        let trial = self
            .log()
            .get(&key)
            .filter(|trial| !trial.is_removal())
            .ok_or(PublishError::NoCanary)?;
        let (content, urgency) = (trial.content.clone(), trial.urgency);
        let whole = PendingChange::stable(Draft {
            name: name.clone(),
            content,
            urgency,
        });
        let end = PendingChange::end_of_canary(name.clone(), urgency);
        self.publish_pending(now, vec![whole, end], outputs)
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
        let write = PendingChange {
            key,
            content,
            urgency: Urgency::Urgent,
            fraction: NodeFraction::ALL,
        };
        self.publish_pending(now, vec![write], outputs)
    }

    fn publish_pending(
        &mut self,
        now: Time,
        writes: Vec<PendingChange>,
        outputs: &mut Vec<Output>,
    ) -> Result<Version, PublishError> {
        publish::check(&writes, self.log(), self.config.capacity)?;
        Ok(self.append_all(now, writes, outputs))
    }

    fn append_all(
        &mut self,
        now: Time,
        writes: Vec<PendingChange>,
        outputs: &mut Vec<Output>,
    ) -> Version {
        let mut version = self.head();
        let mut update = ReplicaUpdate::default();
        for write in writes {
            version.sequence += 1;
            let PendingChange {
                key,
                content,
                urgency,
                fraction: part,
            } = write;
            let replaces = self
                .log()
                .get(&key)
                .map_or(Version::ZERO, |old| old.version);
            let change = Change {
                key,
                version,
                urgency,
                fraction: part,
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

    fn propagate_update(&mut self, now: Time, update: &ReplicaUpdate) {
        for (old, new) in &update.replaced {
            self.history.record_replaced(old, new);
        }
        if self.is_writing() {
            self.rollouts.check_at(now);
            let source = as_author(self.replica.view(now));
            for key in &update.keys {
                self.downstream.notify_changed(now, key, source);
            }
        }
    }

    /// Takes a frame in; any bytes.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::parse(from, frame) else {
            return;
        };
        if !received.head.from_child {
            let upstream = &mut self.replica.upstream;
            let heard = upstream.receive(now, received, outputs);
            if let Some(heard) = heard {
                let update = self.replica.apply_event(now, heard, outputs);
                self.apply_update(now, &update, outputs);
            }
            return;
        }
        if !self.is_writing() {
            if !matches!(received.payload, Payload::Close { .. }) {
                self.downstream.reject(
                    now,
                    from,
                    received.head.session,
                    CloseReason::Fenced,
                    outputs,
                );
            }
            return;
        }
        let source = as_author(self.replica.view(now));
        let reports = self.downstream.receive(now, received, source, outputs);
        for report in reports {
            self.handle_report(now, report, outputs);
        }
        if self.downstream.take_fencing_notice() {
            self.handle_fencing(now, outputs);
        }
    }

    fn apply_update(&mut self, now: Time, update: &ReplicaUpdate, outputs: &mut Vec<Output>) {
        self.propagate_update(now, update);
        for (key, version) in update.orphans.iter().cloned() {
            outputs.push(Output::Event(Event::Orphaned { key, version }));
        }
        if update.is_current {
            self.relay_caught_up(now, outputs);
        }
    }

    /// Guards against the loss of what an earlier author has told one relay alone. Harm: the others' answers are waited
    /// for, up to [`AuthorConfig::takeover_timeout`].
    fn relay_caught_up(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::TakingOver { heard, .. } = &mut self.state else {
            return;
        };
        let Some(relay) = self.replica.upstream.following() else {
            return;
        };
        heard.insert(relay);
        if self
            .config
            .upstream
            .upstreams
            .iter()
            .all(|relay| heard.contains(relay))
        {
            self.begin_writing(now, outputs);
        } else {
            self.replica
                .upstream
                .switch_upstream(now, self.config.takeover_timeout, outputs);
        }
    }

    /// A relay has heard of a later token: this author has lost the lease without knowing.
    fn handle_fencing(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Writing { epoch, .. } = &self.state else {
            return;
        };
        outputs.push(Output::Event(Event::Fenced {
            token: epoch.claim.token,
        }));
        self.stand_down(now, outputs);
    }

    fn handle_report(&mut self, now: Time, report: Report, outputs: &mut Vec<Output>) {
        match report {
            Report::Acknowledged {
                node,
                version: upto,
            } => {
                self.node_statuses.record_acknowledgement(now, node, upto);
            }
            Report::Rejected {
                node,
                key,
                version,
                reason,
            } => {
                self.rollouts.record_rejection(
                    now,
                    node,
                    &key,
                    version,
                    &reason,
                    &self.replica.log,
                );
                self.node_statuses
                    .record_rejection(version, Rejection { node, key, reason });
            }
            Report::Orphan { key, version } => self.overwrite_orphan(now, key, version, outputs),
        }
    }

    /// Sends what is due; ends what the lease's end ends.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        match &self.state {
            State::TakingOver { until, .. } | State::Writing { until, .. } if now >= *until => {
                self.stand_down(now, outputs);
            }
            State::TakingOver { deadline, .. } if now >= *deadline => {
                self.begin_writing(now, outputs)
            }
            _ => {}
        }
        if self.is_writing() {
            self.check_rollouts(now, outputs);
            let source = as_author(self.replica.view(now));
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
                .min(self.rollouts.next_check_at())
                .min(*until),
        }
    }
}

/// What the author has is never old.
fn as_author(source: ReplicaView) -> ReplicaView {
    ReplicaView {
        age: Some(0.0),
        ..source
    }
}
