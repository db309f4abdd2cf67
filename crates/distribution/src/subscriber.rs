//! A node: subscribes to what it needs, and puts changes in force.
//!
//! Of each resource the log has what is for all nodes and what is on trial; the later of the two is what is wanted. The driver
//! is asked to apply it and accepts or rejects it. What it rejects is told to the author, and the last good one stays.

mod receive;
mod reconcile;

use crate::applied::AppliedResources;
use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::log::{Capacity, ChangeLog};
use crate::output::{Output, Record};
use crate::peer::PeerId;
use crate::report::Report;
use crate::resource::{Change, Content, Key, Name, NodeFraction, Selector, Slot, Urgency, Version};
use crate::restore::RestoredState;
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
        let is_unsubscribed = |name: &Name| {
            selector.matches(&name.group)
                && !upstream
                    .subscriptions()
                    .any(|(other, _)| other.matches(&name.group))
        };
        let keys = self
            .log
            .keys_after(selector, Version::ZERO)
            .map(|(_, key)| key);
        let keys: Vec<Key> = keys
            .filter(|key| is_unsubscribed(&key.name))
            .cloned()
            .collect();
        // Stored the other way round, a crash between the two would leave in force what the log knows no version of, and an
        // upstream that is behind would replace it by an earlier one.
        self.applied.remove_where(is_unsubscribed, outputs);
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
            .is_some_and(|subscription| subscription.is_complete)
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
