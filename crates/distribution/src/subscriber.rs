//! The subscriber of a node: follows a relay and applies the changes of its subscriptions.
//!
//! For each resource the log has a stable and a canary change; the later one is to be applied. The driver is asked to
//! apply it, and accepts or rejects it. Rejections are reported to the publisher, and the last applied change stays.

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
use crate::staleness::KnownAge;
use crate::upstream::Upstream;
use crate::upstream_config::UpstreamConfig;
use crate::Time;
use reelfall_lease::token::LeaseName;
use std::collections::BTreeSet;
use thiserror::Error;

/// Configuration of a subscriber.
#[derive(Clone, Debug)]
pub struct SubscriberConfig {
    /// The id of this node, by which publishers identify its reports.
    pub node: PeerId,
    /// The lease under which publishers publish; epochs of other leases are rejected.
    pub lease: LeaseName,
    /// How it follows its upstream.
    pub upstream: UpstreamConfig,
    /// Limits of its log.
    pub capacity: Capacity,
    /// Minimum time between two acknowledgements, in seconds.
    pub acknowledgement_interval: Time,
    /// Seed of its random numbers, including session ids; has to differ at each start.
    pub seed: u64,
}

/// An acknowledgement is repeated after this many seconds without changes: the publisher may be a new one.
pub const ACKNOWLEDGEMENT_REFRESH_INTERVAL: Time = 60.0;
/// The coverage of subscriptions without changes is stored after this many seconds.
pub const COVERAGE_STORE_INTERVAL: Time = 60.0;

/// There are too many subscriptions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("more than {max} subscriptions", max = crate::child::MAX_SUBSCRIPTIONS)]
pub struct TooManySubscriptions;

/// The last acknowledgement that was reported.
#[derive(Clone, Copy, Debug)]
struct SentAcknowledgement {
    at: Time,
    version: Version,
}

/// The replica of a node, and what it has applied.
#[derive(Debug)]
pub struct Subscriber {
    config: SubscriberConfig,
    upstream: Upstream,
    log: ChangeLog,
    applied: AppliedResources,
    /// Restored resources that have not been compared with what is applied.
    unverified: Vec<Name>,
    /// When everything was last known to have been received, and the staleness at that time.
    last_up_to_date: Option<KnownAge>,
    head: Version,
    last_acknowledgement: Option<SentAcknowledgement>,
    stored_at: Time,
    /// Subscriptions whose coverage was stored, and which have received nothing since.
    stored_selectors: BTreeSet<Selector>,
    /// The epoch of the last known publisher, in this run or an earlier one.
    epoch: Option<Epoch>,
    /// The highest fencing token of an epoch received in this run.
    latest_token: u64,
    clock: Time,
}

impl Subscriber {
    /// Creates a subscriber without records.
    pub fn new(config: SubscriberConfig, now: Time) -> Subscriber {
        let restored = RestoredState::empty(config.capacity);
        Subscriber::from_restored(config, restored, None, now)
    }

    /// Restores a subscriber and its subscriptions from stored records. `age` is the age of the records in seconds, if
    /// it is known. Changes that were stored and not accepted are requested again with the next poll.
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
        for (selector, stored) in restored.coverage {
            upstream.subscribe(selector.clone(), stored.coverage, stored.removals_known);
            mark_logged_changes(&mut upstream, &restored.log, &selector);
        }
        let stored_names = restored.log.changes().map(|change| change.key.name.clone());
        let names = stored_names
            .chain(restored.applied.keys().cloned())
            .collect();
        Subscriber {
            config,
            upstream,
            unverified: names,
            log: restored.log,
            applied: AppliedResources::restore(restored.applied),
            last_up_to_date: age.map(|age| KnownAge { at: now, age }),
            head: Version::ZERO,
            last_acknowledgement: None,
            stored_at: f64::NEG_INFINITY,
            stored_selectors: stored,
            epoch: restored.epoch,
            latest_token: 0,
            clock: now,
        }
    }

    /// Adds a subscription.
    ///
    /// # Errors
    /// If there are too many subscriptions.
    pub fn subscribe(&mut self, selector: Selector) -> Result<(), TooManySubscriptions> {
        if self.upstream.subscriptions().count() >= crate::child::MAX_SUBSCRIPTIONS {
            return Err(TooManySubscriptions);
        }
        self.upstream
            .subscribe(selector.clone(), Coverage::EMPTY, Version::ZERO);
        mark_logged_changes(&mut self.upstream, &self.log, &selector);
        Ok(())
    }

    /// Ends a subscription. Its resources are dropped without asking the driver.
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
        // Applied changes are removed first. In the reverse order, a crash in between would leave applied changes
        // without a version in the log, and a lagging upstream could replace them with earlier ones.
        self.applied.remove_where(is_unsubscribed, outputs);
        for key in &keys {
            outputs.push(Output::Persist(Record::Forget(key.clone())));
            self.log.remove(key);
        }
    }

    /// The applied change of a resource.
    pub fn applied_change(&self, name: &Name) -> Option<&Change> {
        self.applied.get(name)
    }

    /// All applied changes.
    pub fn applied_changes(&self) -> impl Iterator<Item = &Change> {
        self.applied.all()
    }

    /// Whether everything of a subscription has been received: a resource that is not applied then does not exist.
    pub fn is_complete(&self, selector: &Selector) -> bool {
        self.upstream
            .subscription(selector)
            .is_some_and(|subscription| subscription.is_complete)
    }

    /// Upper bound of the staleness of the complete subscriptions, in seconds; infinite if it is unknown.
    pub fn staleness(&self, now: Time) -> Time {
        self.last_up_to_date
            .map_or(f64::INFINITY, |known| known.at_time(now))
    }

    /// The version up to which all changes of the subscriptions have been received.
    pub fn head(&self) -> Version {
        self.head
    }

    /// The upstream that is followed.
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
        self.last_acknowledgement = Some(SentAcknowledgement {
            at: now,
            version: self.head,
        });
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
            Some(sent) if sent.version < self.head => {
                sent.at + self.config.acknowledgement_interval
            }
            Some(sent) => sent.at + ACKNOWLEDGEMENT_REFRESH_INTERVAL,
        }
    }

    /// When [`Subscriber::poll`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        if !self.unverified.is_empty() {
            return self.clock;
        }
        self.upstream
            .next_wakeup(self.clock)
            .min(self.next_acknowledgement_at())
    }
}

/// The change that the driver is asked to apply.
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

/// Marks a subscription as having changes, if the log has any that it matches.
fn mark_logged_changes(upstream: &mut Upstream, log: &ChangeLog, selector: &Selector) {
    if log.keys_after(selector, Version::ZERO).next().is_some() {
        upstream.mark_has_changes(selector);
    }
}
