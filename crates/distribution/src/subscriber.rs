//! A node: subscribes to what it needs, and puts changes in force.
//!
//! Of each resource the log has what is for all nodes and what is on trial; the later of the two is what is wanted. The driver
//! is asked to apply it and accepts or rejects it. What it rejects is told to the author, and the last good one stays.

use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::follow::FollowRules;
use crate::force::{Basis, Force};
use crate::log::{Log, Put, Room};
use crate::message::{self};
use crate::output::{Event, Output, Record};
use crate::peer::PeerId;
use crate::replica::{lacking, orphans, unlisted};
use crate::report::{self, Report};
use crate::resource::{Change, Content, Key, Name, Part, Selector, Slot, Urgency, Version};
use crate::restore::Restored;
use crate::session::Heard;
use crate::upstream::Upstream;
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
    pub follow: FollowRules,
    /// How much it holds.
    pub room: Room,
    /// It says up to which version it has all, so often at most, in seconds.
    pub standing_every: Time,
    /// For what is drawn, sessions' numbers among it: another one at each start.
    pub seed: u64,
}

/// Its standing is said again after so long without news, in seconds: the author may be another one.
pub const STANDING_AGAIN: Time = 60.0;
/// What has come of subscriptions without changes is stored so often, in seconds.
pub const STORED_EVERY: Time = 60.0;

/// There are too many subscriptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{most} subscriptions at most", most = crate::child::SUBSCRIPTIONS_MOST)]
pub struct TooMany;

/// See the module.
#[derive(Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    upstream: Upstream,
    log: Log,
    force: Force,
    /// Resources that were stored and have not been compared with what is in force.
    unchecked: Vec<Name>,
    /// When all was last known to be there, and how old that was.
    current: Option<(Time, Time)>,
    head: Version,
    said: Option<(Time, Version)>,
    stored_at: Time,
    /// Subscriptions of which something was stored, and nothing has come since.
    stored: BTreeSet<Selector>,
    /// The author that was heard last, in whatever run of the process.
    epoch: Option<Epoch>,
    /// The token of the author that was heard last in this run.
    token_heard: u64,
    clock: Time,
}

impl Subscriber {
    /// One that begins without records.
    pub fn new(config: SubscriberConfig, now: Time) -> Subscriber {
        let restored = Restored::empty(config.room);
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
        let restored = Restored::read(config.room, records);
        Subscriber::from_restored(config, restored, age, now)
    }

    fn from_restored(
        config: SubscriberConfig,
        restored: Restored,
        age: Option<Time>,
        now: Time,
    ) -> Subscriber {
        let mut upstream = Upstream::new(
            config.follow.clone(),
            config.lease.clone(),
            config.seed,
            now,
        );
        let stored = restored.covered.keys().cloned().collect();
        for (selector, (coverage, floor)) in restored.covered {
            upstream.subscribe(selector.clone(), coverage, floor);
            tell_changes(&mut upstream, &restored.log, &selector);
        }
        let stored_names = restored.log.changes().map(|change| change.key.name.clone());
        let unchecked = stored_names
            .chain(restored.in_force.keys().cloned())
            .collect();
        Subscriber {
            config,
            upstream,
            unchecked,
            log: restored.log,
            force: Force::restore(restored.in_force),
            current: age.map(|age| (now, age)),
            head: Version::ZERO,
            said: None,
            stored_at: f64::NEG_INFINITY,
            stored,
            epoch: restored.epoch,
            token_heard: 0,
            clock: now,
        }
    }

    /// Asks for more.
    ///
    /// # Errors
    /// If there are too many subscriptions.
    pub fn subscribe(&mut self, selector: Selector) -> Result<(), TooMany> {
        if self.upstream.held().count() >= crate::child::SUBSCRIPTIONS_MOST {
            return Err(TooMany);
        }
        self.upstream
            .subscribe(selector.clone(), Coverage::EMPTY, Version::ZERO);
        tell_changes(&mut self.upstream, &self.log, &selector);
        Ok(())
    }

    /// Asks for less. The resources are no longer in force here; the driver is not asked to apply that.
    pub fn unsubscribe(&mut self, selector: &Selector, outputs: &mut Vec<Output>) {
        if !self.upstream.unsubscribe(selector) {
            return;
        }
        self.stored.remove(selector);
        outputs.push(Output::Persist(Record::Unsubscribed(selector.clone())));
        let upstream = &self.upstream;
        let gone = |name: &Name| {
            selector.holds(&name.group)
                && !upstream.held().any(|(other, _)| other.holds(&name.group))
        };
        let keys = self
            .log
            .keys_after(selector, Version::ZERO)
            .map(|(_, key)| key);
        let keys: Vec<Key> = keys.filter(|key| gone(&key.name)).cloned().collect();
        // Stored the other way round, a crash between the two would leave in force what the log knows no version of, and an
        // upstream that is behind would replace it by an earlier one.
        self.force.drop_where(gone, outputs);
        for key in &keys {
            outputs.push(Output::Persist(Record::Forget(key.clone())));
            self.log.take_out(key);
        }
    }

    /// What is in force of a resource.
    pub fn in_force(&self, name: &Name) -> Option<&Change> {
        self.force.get(name)
    }

    /// All that is in force.
    pub fn all_in_force(&self) -> impl Iterator<Item = &Change> {
        self.force.all()
    }

    /// Whether all of a subscription had come at some time: what is not in force then is not there.
    pub fn is_complete(&self, selector: &Selector) -> bool {
        self.upstream
            .held_of(selector)
            .is_some_and(|held| held.complete)
    }

    /// How old at most is what is known here of the subscriptions that are complete, in seconds; without bound if that
    /// can't be told.
    pub fn staleness(&self, now: Time) -> Time {
        match self.current {
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
        for change in self.force.answered(version) {
            let name = change.key.name.clone();
            self.force.accept(change, outputs);
            self.evaluate(&name, outputs);
        }
    }

    /// The driver can't use the change of this version: the last good one stays in force, and the author hears of it.
    pub fn rejected(&mut self, version: Version, reason: &str, outputs: &mut Vec<Output>) {
        for change in self.force.answered(version) {
            let name = change.key.name.clone();
            let slot = self.slot_of(&name, version);
            let key = Key {
                name: name.clone(),
                slot,
            };
            let reason = report::cut(reason);
            self.upstream.report(Report::Refused {
                node: self.config.node,
                key,
                version,
                reason,
            });
            self.evaluate(&name, outputs);
        }
    }

    fn slot_of(&self, name: &Name, version: Version) -> Slot {
        let trial = Key {
            name: name.clone(),
            slot: Slot::Trial,
        };
        let on_trial = self
            .log
            .get(&trial)
            .is_some_and(|trial| trial.version == version);
        if on_trial {
            Slot::Trial
        } else {
            Slot::Whole
        }
    }

    /// What a resource is to be here by the log.
    fn wanted(&self, name: &Name) -> (Change, Basis) {
        let get = |slot| {
            self.log.get(&Key {
                name: name.clone(),
                slot,
            })
        };
        let (whole, trial) = (get(Slot::Whole), get(Slot::Trial));
        let on_trial = trial.filter(|trial| !trial.removes());
        let on_trial =
            on_trial.filter(|trial| whole.is_none_or(|whole| whole.version < trial.version));
        let basis = Basis {
            whole: whole.map(|c| c.version),
            trial: trial.map(|c| c.version),
        };
        let version = basis.whole.max(basis.trial).unwrap_or(Version::ZERO);
        let content = match on_trial.or(whole) {
            Some(change) => change.content.clone(),
            None => Content::Removed,
        };
        (effective(name, version, content), basis)
    }

    /// Asks the driver for what a resource is to be, if it is another than what is in force.
    fn evaluate(&mut self, name: &Name, outputs: &mut Vec<Output>) {
        let (wanted, basis) = self.wanted(name);
        self.force.want(wanted, basis, outputs);
        if basis == Basis::default() {
            self.force.forget_idle(name);
        }
    }

    /// Takes a frame in; any bytes.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::read(from, frame) else {
            return;
        };
        if received.head.up {
            return;
        }
        let heard = self.upstream.receive(now, received, outputs);
        match heard {
            None => {}
            Some(Heard::Epoch(epoch)) => self.take_epoch(now, epoch, outputs),
            Some(Heard::Changes {
                selector,
                span,
                changes,
            }) => {
                for change in changes {
                    self.take_change(change, outputs);
                }
                self.stored.remove(&selector);
                self.upstream.cover(&selector, span);
            }
            Some(Heard::Listed {
                selector,
                floor,
                digests,
            }) => {
                self.take_listed(&selector, floor, &digests, outputs);
            }
            Some(Heard::Current { head, age, .. }) => self.take_current(now, head, age, outputs),
        }
    }

    fn take_epoch(&mut self, now: Time, epoch: Epoch, outputs: &mut Vec<Output>) {
        if epoch.claim.token <= self.token_heard {
            return;
        }
        self.token_heard = epoch.claim.token;
        for (key, version) in orphans(&self.log, &epoch) {
            self.upstream.report(Report::Orphan { key, version });
        }
        let known = self.epoch.as_ref();
        if known.is_some_and(|known| known.claim.token >= epoch.claim.token) {
            return;
        }
        let covered = self.covered();
        let lacking = known.map_or(Coverage::EMPTY, |known| lacking(known, &epoch, &covered));
        self.upstream.ask_anew(now, &lacking, outputs);
        if !lacking.is_empty() {
            self.store_covered(true, outputs);
        }
        outputs.push(Output::Persist(Record::Epoch(epoch.clone())));
        self.epoch = Some(epoch);
    }

    /// What is covered by one subscription at least.
    fn covered(&self) -> Coverage {
        let mut covered = Coverage::EMPTY;
        for span in self
            .upstream
            .held()
            .flat_map(|(_, held)| held.coverage.spans())
        {
            covered.add(*span);
        }
        covered
    }

    fn take_change(&mut self, change: Change, outputs: &mut Vec<Output>) {
        let (key, version) = (change.key.clone(), change.version);
        match self.log.put(change.clone()) {
            Put::Old => {}
            Put::Taken => {
                outputs.push(Output::Persist(Record::Put(change)));
                self.evaluate(&key.name, outputs);
            }
            Put::Full => {
                let reason = "no room".to_owned();
                let report = Report::Refused {
                    node: self.config.node,
                    key: key.clone(),
                    version,
                    reason,
                };
                self.upstream.report(report);
                outputs.push(Output::Event(Event::Full { key, version }));
            }
        }
        for key in self.log.forget_removals() {
            self.forget(&key, outputs);
        }
    }

    /// A removal is no longer kept.
    fn forget(&mut self, key: &Key, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::Forget(key.clone())));
        self.evaluate(&key.name, outputs);
    }

    fn take_listed(
        &mut self,
        selector: &Selector,
        floor: Version,
        digests: &BTreeSet<u64>,
        outputs: &mut Vec<Output>,
    ) {
        for key in unlisted(&self.log, selector, floor, digests) {
            self.log.take_out(&key);
            outputs.push(Output::Persist(Record::Forget(key.clone())));
            self.evaluate(&key.name, outputs);
        }
        self.stored.remove(selector);
        self.upstream.removals_known(selector, floor);
    }

    fn take_current(
        &mut self,
        now: Time,
        head: Version,
        age: Option<Time>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(age) = age {
            self.current = Some((now, age));
            self.head = self.head.max(head);
        }
        let all = now >= self.stored_at + STORED_EVERY;
        if all {
            self.stored_at = now;
        }
        self.store_covered(all, outputs);
    }

    /// Stores what is covered: of all subscriptions, or of those of which something has come since the last time.
    fn store_covered(&mut self, all: bool, outputs: &mut Vec<Output>) {
        for (selector, held) in self.upstream.held() {
            if held.complete && (all || !self.stored.contains(selector)) {
                let (coverage, floor) = (held.coverage.clone(), held.floor);
                let selector = selector.clone();
                self.stored.insert(selector.clone());
                outputs.push(Output::Persist(Record::Covered {
                    selector,
                    coverage,
                    floor,
                }));
            }
        }
    }

    /// Sends what is due.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        for name in std::mem::take(&mut self.unchecked) {
            self.evaluate(&name, outputs);
        }
        self.say_standing(now);
        self.upstream.poll(now, outputs);
    }

    fn say_standing(&mut self, now: Time) {
        if now < self.standing_at() {
            return;
        }
        self.said = Some((now, self.head));
        self.upstream.report(Report::Standing {
            node: self.config.node,
            upto: self.head,
        });
    }

    fn standing_at(&self) -> Time {
        if self.head == Version::ZERO || !self.force.is_settled() {
            return f64::INFINITY;
        }
        match self.said {
            None => self.clock,
            Some((at, version)) if version < self.head => at + self.config.standing_every,
            Some((at, _)) => at + STANDING_AGAIN,
        }
    }

    /// When [`Subscriber::poll`] is to be called.
    pub fn next_wakeup(&self) -> Time {
        if !self.unchecked.is_empty() {
            return self.clock;
        }
        self.upstream
            .next_wakeup(self.clock)
            .min(self.standing_at())
    }
}

/// What a resource is to be, as the driver is told.
fn effective(name: &Name, version: Version, content: Content) -> Change {
    let key = Key {
        name: name.clone(),
        slot: Slot::Whole,
    };
    let (urgency, replaces) = (Urgency::Normal, Version::ZERO);
    Change {
        key,
        version,
        urgency,
        part: Part::ALL,
        replaces,
        content,
    }
}

/// Lets the upstream know of changes of a subscription that are here already.
fn tell_changes(upstream: &mut Upstream, log: &Log, selector: &Selector) {
    if log.keys_after(selector, Version::ZERO).next().is_some() {
        upstream.has_changes(selector);
    }
}
