//! A node: subscribes to what it needs, and puts changes in force.
//!
//! Of each resource the log has what is for all nodes and what is on trial; the later of the two is what is wanted. The driver
//! is asked to apply it and accepts or rejects it. What it rejects is told to the author, and the last good one stays.

use crate::applied::{AppliedResources, SlotVersions};
use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::log::{Capacity, ChangeLog, PutOutcome};
use crate::message::{self};
use crate::output::{Event, Output, Record};
use crate::peer::PeerId;
use crate::replica::{keys_not_listed, missing_versions, orphaned_changes};
use crate::report::{self, Report};
use crate::resource::{Change, Content, Key, Name, NodeFraction, Selector, Slot, Urgency, Version};
use crate::restore::RestoredState;
use crate::session::UpstreamEvent;
use crate::upstream::Upstream;
use crate::upstream_config::UpstreamConfig;
use crate::{Time, DRIFT};
use reelfall_lease::token::LeaseName;
use std::collections::BTreeSet;
use thiserror::Error;

/// What a subscriber is given.
#[derive(Clone, Debug)]
pub struct SubscriberConfig {
    /// Which node this is.
    pub node: PeerId,
    /// The lease of those who write.
    pub lease: LeaseName,
    /// Whom it follows.
    pub upstream: UpstreamConfig,
    /// How much it holds.
    pub capacity: Capacity,
    /// It says up to which version it has all, so often at most, in seconds.
    pub acknowledgement_interval: Time,
    /// For what is drawn, sessions' numbers among it: another one at each start.
    pub seed: u64,
}

/// Its standing is said again after so long without news, in seconds: the author may be another one.
pub const ACKNOWLEDGEMENT_REFRESH_INTERVAL: Time = 60.0;
/// What has come of subscriptions without changes is stored so often, in seconds.
pub const COVERAGE_STORE_INTERVAL: Time = 60.0;

/// There are too many subscriptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{most} subscriptions at most", most = crate::child::MAX_SUBSCRIPTIONS)]
pub struct TooManySubscriptions;

/// See the module.
#[derive(Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    upstream: Upstream,
    log: ChangeLog,
    applied: AppliedResources,
    /// Resources that were stored and have not been compared with what is in force.
    unverified: Vec<Name>,
    /// When all was last known to be there, and how old that was.
    last_current: Option<(Time, Time)>,
    head: Version,
    last_acknowledgement: Option<(Time, Version)>,
    stored_at: Time,
    /// Subscriptions of which something was stored, and nothing has come since.
    stored_selectors: BTreeSet<Selector>,
    /// The author that was heard last, in whatever run of the process.
    epoch: Option<Epoch>,
    /// The token of the author that was heard last in this run.
    latest_token: u64,
    clock: Time,
}

impl Subscriber {
    /// One that begins without records.
    pub fn new(config: SubscriberConfig, now: Time) -> Subscriber {
        let restored = RestoredState::empty(config.capacity);
        Subscriber::from_restored(config, restored, None, now)
    }

    /// One that goes on from what was stored, with its subscriptions. `age`: how old the records are, in seconds, if the
    /// driver knows. What was stored and not accepted is asked to be applied again with the next poll.
    pub fn restore(
        config: SubscriberConfig,
        records: impl IntoIterator<Item = Record>,
        age: Option<Time>,
        now: Time,
    ) -> Subscriber {
        let restored = RestoredState::from_records(config.capacity, records);
        Subscriber::from_restored(config, restored, age, now)
    }

    fn from_restored(
        config: SubscriberConfig,
        restored: RestoredState,
        age: Option<Time>,
        now: Time,
    ) -> Subscriber {
        let mut upstream = Upstream::new(
            config.upstream.clone(),
            config.lease.clone(),
            config.seed,
            now,
        );
        let stored = restored.coverage.keys().cloned().collect();
        for (selector, (coverage, floor)) in restored.coverage {
            upstream.subscribe(selector.clone(), coverage, floor);
            announce_changes(&mut upstream, &restored.log, &selector);
        }
        let stored_names = restored.log.changes().map(|change| change.key.name.clone());
        let unchecked = stored_names
            .chain(restored.applied.keys().cloned())
            .collect();
        Subscriber {
            config,
            upstream,
            unverified: unchecked,
            log: restored.log,
            applied: AppliedResources::restore(restored.applied),
            last_current: age.map(|age| (now, age)),
            head: Version::ZERO,
            last_acknowledgement: None,
            stored_at: f64::NEG_INFINITY,
            stored_selectors: stored,
            epoch: restored.epoch,
            latest_token: 0,
            clock: now,
        }
    }

    /// Asks for more.
    ///
    /// # Errors
    /// If there are too many subscriptions.
    pub fn subscribe(&mut self, selector: Selector) -> Result<(), TooManySubscriptions> {
        if self.upstream.subscriptions().count() >= crate::child::MAX_SUBSCRIPTIONS {
            return Err(TooManySubscriptions);
        }
        self.upstream
            .subscribe(selector.clone(), Coverage::EMPTY, Version::ZERO);
        announce_changes(&mut self.upstream, &self.log, &selector);
        Ok(())
    }

    /// Asks for less. The resources are no longer in force here; the driver is not asked to apply that.
    pub fn unsubscribe(&mut self, selector: &Selector, outputs: &mut Vec<Output>) {
        if !self.upstream.unsubscribe(selector) {
            return;
        }
        self.stored_selectors.remove(selector);
        outputs.push(Output::Persist(Record::Unsubscribed(selector.clone())));
        let upstream = &self.upstream;
        let gone = |name: &Name| {
            selector.matches(&name.group)
                && !upstream
                    .subscriptions()
                    .any(|(other, _)| other.matches(&name.group))
        };
        let keys = self
            .log
            .keys_after(selector, Version::ZERO)
            .map(|(_, key)| key);
        let keys: Vec<Key> = keys.filter(|key| gone(&key.name)).cloned().collect();
        // Stored the other way round, a crash between the two would leave in force what the log knows no version of, and an
        // upstream that is behind would replace it by an earlier one.
        self.applied.remove_where(gone, outputs);
        for key in &keys {
            outputs.push(Output::Persist(Record::Forget(key.clone())));
            self.log.remove(key);
        }
    }

    /// What is in force of a resource.
    pub fn applied_change(&self, name: &Name) -> Option<&Change> {
        self.applied.get(name)
    }

    /// All that is in force.
    pub fn applied_changes(&self) -> impl Iterator<Item = &Change> {
        self.applied.all()
    }

    /// Whether all of a subscription had come at some time: what is not in force then is not there.
    pub fn is_complete(&self, selector: &Selector) -> bool {
        self.upstream
            .subscription(selector)
            .is_some_and(|held| held.is_complete)
    }

    /// How old at most is what is known here of the subscriptions that are complete, in seconds; without bound if that
    /// can't be told.
    pub fn staleness(&self, now: Time) -> Time {
        match self.last_current {
            Some((at, age)) => age + (now - at).max(0.0) * (1.0 + 2.0 * DRIFT),
            None => f64::INFINITY,
        }
    }

    /// Up to which version all is known here.
    pub fn head(&self) -> Version {
        self.head
    }

    /// Whom it follows.
    pub fn following(&self) -> Option<PeerId> {
        self.upstream.following()
    }

    /// The driver has put the change of this version in force.
    pub fn accepted(&mut self, version: Version, outputs: &mut Vec<Output>) {
        for change in self.applied.take_answered(version) {
            let name = change.key.name.clone();
            self.applied.mark_applied(change, outputs);
            self.reconcile(&name, outputs);
        }
    }

    /// The driver can't use the change of this version: the last good one stays in force, and the author hears of it.
    pub fn rejected(&mut self, version: Version, reason: &str, outputs: &mut Vec<Output>) {
        for change in self.applied.take_answered(version) {
            let name = change.key.name.clone();
            let slot = self.slot_of(&name, version);
            let key = Key {
                name: name.clone(),
                slot,
            };
            let reason = report::truncate_reason(reason);
            self.upstream.queue_report(Report::Rejected {
                node: self.config.node,
                key,
                version,
                reason,
            });
            self.reconcile(&name, outputs);
        }
    }

    fn slot_of(&self, name: &Name, version: Version) -> Slot {
        let trial = Key {
            name: name.clone(),
            slot: Slot::Canary,
        };
        let on_trial = self
            .log
            .get(&trial)
            .is_some_and(|trial| trial.version == version);
        if on_trial {
            Slot::Canary
        } else {
            Slot::Stable
        }
    }

    /// What a resource is to be here by the log.
    fn desired_change(&self, name: &Name) -> (Change, SlotVersions) {
        let get = |slot| {
            self.log.get(&Key {
                name: name.clone(),
                slot,
            })
        };
        let (whole, trial) = (get(Slot::Stable), get(Slot::Canary));
        let on_trial = trial.filter(|trial| !trial.is_removal());
        let on_trial =
            on_trial.filter(|trial| whole.is_none_or(|whole| whole.version < trial.version));
        let basis = SlotVersions {
            stable: whole.map(|c| c.version),
            canary: trial.map(|c| c.version),
        };
        let version = basis.stable.max(basis.canary).unwrap_or(Version::ZERO);
        let content = match on_trial.or(whole) {
            Some(change) => change.content.clone(),
            None => Content::Removed,
        };
        (applied_change(name, version, content), basis)
    }

    /// Asks the driver for what a resource is to be, if it is another than what is in force.
    fn reconcile(&mut self, name: &Name, outputs: &mut Vec<Output>) {
        let (wanted, basis) = self.desired_change(name);
        self.applied.request(wanted, basis, outputs);
        if basis == SlotVersions::default() {
            self.applied.remove_if_idle(name);
        }
    }

    /// Takes a frame in; any bytes.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::parse(from, frame) else {
            return;
        };
        if received.head.from_child {
            return;
        }
        let heard = self.upstream.receive(now, received, outputs);
        match heard {
            None => {}
            Some(UpstreamEvent::Epoch(epoch)) => self.apply_epoch(now, epoch, outputs),
            Some(UpstreamEvent::Changes {
                selector,
                span,
                changes,
            }) => {
                for change in changes {
                    self.apply_change(change, outputs);
                }
                self.stored_selectors.remove(&selector);
                self.upstream.add_coverage(&selector, span);
            }
            Some(UpstreamEvent::Manifest {
                selector,
                pruned_through: floor,
                digests,
            }) => {
                self.apply_manifest(&selector, floor, &digests, outputs);
            }
            Some(UpstreamEvent::Current { head, age, .. }) => {
                self.apply_current(now, head, age, outputs)
            }
        }
    }

    fn apply_epoch(&mut self, now: Time, epoch: Epoch, outputs: &mut Vec<Output>) {
        if epoch.claim.token <= self.latest_token {
            return;
        }
        self.latest_token = epoch.claim.token;
        for (key, version) in orphaned_changes(&self.log, &epoch) {
            self.upstream.queue_report(Report::Orphan { key, version });
        }
        let known = self.epoch.as_ref();
        if known.is_some_and(|known| known.claim.token >= epoch.claim.token) {
            return;
        }
        let covered = self.combined_coverage();
        let lacking = known.map_or(Coverage::EMPTY, |known| {
            missing_versions(known, &epoch, &covered)
        });
        self.upstream.resubscribe(now, &lacking, outputs);
        if !lacking.is_empty() {
            self.store_coverage(true, outputs);
        }
        outputs.push(Output::Persist(Record::Epoch(epoch.clone())));
        self.epoch = Some(epoch);
    }

    /// What is covered by one subscription at least.
    fn combined_coverage(&self) -> Coverage {
        let mut covered = Coverage::EMPTY;
        for span in self
            .upstream
            .subscriptions()
            .flat_map(|(_, held)| held.coverage.spans())
        {
            covered.add(*span);
        }
        covered
    }

    fn apply_change(&mut self, change: Change, outputs: &mut Vec<Output>) {
        let (key, version) = (change.key.clone(), change.version);
        match self.log.put(change.clone()) {
            PutOutcome::Outdated => {}
            PutOutcome::Stored => {
                outputs.push(Output::Persist(Record::Put(change)));
                self.reconcile(&key.name, outputs);
            }
            PutOutcome::CapacityExceeded => {
                let reason = "no room".to_owned();
                let report = Report::Rejected {
                    node: self.config.node,
                    key: key.clone(),
                    version,
                    reason,
                };
                self.upstream.queue_report(report);
                outputs.push(Output::Event(Event::CapacityExceeded { key, version }));
            }
        }
        for key in self.log.prune_tombstones() {
            self.forget_tombstone(&key, outputs);
        }
    }

    /// A removal is no longer kept.
    fn forget_tombstone(&mut self, key: &Key, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::Forget(key.clone())));
        self.reconcile(&key.name, outputs);
    }

    fn apply_manifest(
        &mut self,
        selector: &Selector,
        floor: Version,
        digests: &BTreeSet<u64>,
        outputs: &mut Vec<Output>,
    ) {
        for key in keys_not_listed(&self.log, selector, floor, digests) {
            self.log.remove(&key);
            outputs.push(Output::Persist(Record::Forget(key.clone())));
            self.reconcile(&key.name, outputs);
        }
        self.stored_selectors.remove(selector);
        self.upstream.mark_removals_known(selector, floor);
    }

    fn apply_current(
        &mut self,
        now: Time,
        head: Version,
        age: Option<Time>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(age) = age {
            self.last_current = Some((now, age));
            self.head = self.head.max(head);
        }
        let all = now >= self.stored_at + COVERAGE_STORE_INTERVAL;
        if all {
            self.stored_at = now;
        }
        self.store_coverage(all, outputs);
    }

    /// Stores what is covered: of all subscriptions, or of those of which something has come since the last time.
    fn store_coverage(&mut self, all: bool, outputs: &mut Vec<Output>) {
        for (selector, held) in self.upstream.subscriptions() {
            if held.is_complete && (all || !self.stored_selectors.contains(selector)) {
                let (coverage, floor) = (held.coverage.clone(), held.removals_known);
                let selector = selector.clone();
                self.stored_selectors.insert(selector.clone());
                outputs.push(Output::Persist(Record::Covered {
                    selector,
                    coverage,
                    removals_known: floor,
                }));
            }
        }
    }

    /// Sends what is due.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        for name in std::mem::take(&mut self.unverified) {
            self.reconcile(&name, outputs);
        }
        self.queue_acknowledgement_if_due(now);
        self.upstream.poll(now, outputs);
    }

    fn queue_acknowledgement_if_due(&mut self, now: Time) {
        if now < self.next_acknowledgement_at() {
            return;
        }
        self.last_acknowledgement = Some((now, self.head));
        self.upstream.queue_report(Report::Acknowledged {
            node: self.config.node,
            version: self.head,
        });
    }

    fn next_acknowledgement_at(&self) -> Time {
        if self.head == Version::ZERO || !self.applied.is_settled() {
            return f64::INFINITY;
        }
        match self.last_acknowledgement {
            None => self.clock,
            Some((at, version)) if version < self.head => at + self.config.acknowledgement_interval,
            Some((at, _)) => at + ACKNOWLEDGEMENT_REFRESH_INTERVAL,
        }
    }

    /// When [`Subscriber::poll`] is to be called.
    pub fn next_wakeup(&self) -> Time {
        if !self.unverified.is_empty() {
            return self.clock;
        }
        self.upstream
            .next_wakeup(self.clock)
            .min(self.next_acknowledgement_at())
    }
}

/// What a resource is to be, as the driver is told.
fn applied_change(name: &Name, version: Version, content: Content) -> Change {
    let key = Key {
        name: name.clone(),
        slot: Slot::Stable,
    };
    let (urgency, replaces) = (Urgency::Normal, Version::ZERO);
    Change {
        key,
        version,
        urgency,
        fraction: NodeFraction::ALL,
        replaces,
        content,
    }
}

/// Lets the upstream know of changes of a subscription that are here already.
fn announce_changes(upstream: &mut Upstream, log: &ChangeLog, selector: &Selector) {
    if log.keys_after(selector, Version::ZERO).next().is_some() {
        upstream.mark_has_changes(selector);
    }
}
