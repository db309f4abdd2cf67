//! Handles the messages that a subscriber receives from its upstream.

use super::{Subscriber, COVERAGE_STORE_INTERVAL};
use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::log::PutOutcome;
use crate::message::{self};
use crate::output::{Event, Output, Record};
use crate::peer::PeerId;
use crate::replica::{keys_not_listed, missing_versions, orphaned_changes};
use crate::report::Report;
use crate::resource::{Change, ChangeId, Key, Selector, Version};
use crate::staleness::KnownAge;
use crate::upstream_event::UpstreamEvent;
use crate::Time;
use std::collections::BTreeSet;

impl Subscriber {
    /// Handles a frame; any bytes are allowed.
    pub fn receive(&mut self, now: Time, from: PeerId, frame: &[u8], outputs: &mut Vec<Output>) {
        self.clock = self.clock.max(now);
        let Some(received) = message::parse(from, frame) else {
            return;
        };
        if received.head.from_child {
            return;
        }
        let event = self.upstream.receive(now, received, outputs);
        match event {
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
                pruned_through: removals_known,
                digests,
            }) => {
                self.apply_manifest(&selector, removals_known, &digests, outputs);
            }
            Some(UpstreamEvent::UpToDate { head, age, .. }) => {
                self.apply_up_to_date(now, head, age, outputs);
            }
        }
    }

    pub(super) fn apply_epoch(&mut self, now: Time, epoch: Epoch, outputs: &mut Vec<Output>) {
        if epoch.claim.token <= self.latest_token {
            return;
        }
        self.latest_token = epoch.claim.token;
        for ChangeId { key, version } in orphaned_changes(&self.log, &epoch) {
            self.upstream.queue_report(Report::Orphan { key, version });
        }
        let known = self.epoch.as_ref();
        if known.is_some_and(|known| known.claim.token >= epoch.claim.token) {
            return;
        }
        let covered = self.combined_coverage();
        let missing = known.map_or(Coverage::EMPTY, |known| {
            missing_versions(known, &epoch, &covered)
        });
        self.upstream.resubscribe(now, &missing, outputs);
        if !missing.is_empty() {
            self.store_coverage(true, outputs);
        }
        outputs.push(Output::Persist(Record::Epoch(epoch.clone())));
        self.epoch = Some(epoch);
    }

    /// The versions that at least one subscription covers.
    pub(super) fn combined_coverage(&self) -> Coverage {
        let mut covered = Coverage::EMPTY;
        for span in self
            .upstream
            .subscriptions()
            .flat_map(|(_, subscription)| subscription.coverage.spans())
        {
            covered.add(*span);
        }
        covered
    }

    pub(super) fn apply_change(&mut self, change: Change, outputs: &mut Vec<Output>) {
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

    /// Records that a tombstone was pruned, and reconciles its resource.
    pub(super) fn forget_tombstone(&mut self, key: &Key, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::Forget(key.clone())));
        self.reconcile(&key.name, outputs);
    }

    pub(super) fn apply_manifest(
        &mut self,
        selector: &Selector,
        removals_known: Version,
        digests: &BTreeSet<u64>,
        outputs: &mut Vec<Output>,
    ) {
        for key in keys_not_listed(&self.log, selector, removals_known, digests) {
            self.log.remove(&key);
            outputs.push(Output::Persist(Record::Forget(key.clone())));
            self.reconcile(&key.name, outputs);
        }
        self.stored_selectors.remove(selector);
        self.upstream.mark_removals_known(selector, removals_known);
    }

    pub(super) fn apply_up_to_date(
        &mut self,
        now: Time,
        head: Version,
        age: Option<Time>,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(age) = age {
            self.last_up_to_date = Some(KnownAge { at: now, age });
            self.head = self.head.max(head);
        }
        let store_all = now >= self.stored_at + COVERAGE_STORE_INTERVAL;
        if store_all {
            self.stored_at = now;
        }
        self.store_coverage(store_all, outputs);
    }

    /// Stores the coverage of all subscriptions, or of those that have received something since the last time.
    pub(super) fn store_coverage(&mut self, store_all: bool, outputs: &mut Vec<Output>) {
        for (selector, subscription) in self.upstream.subscriptions() {
            if subscription.is_complete && (store_all || !self.stored_selectors.contains(selector))
            {
                let (coverage, removals_known) =
                    (subscription.coverage.clone(), subscription.removals_known);
                let selector = selector.clone();
                self.stored_selectors.insert(selector.clone());
                outputs.push(Output::Persist(Record::Covered {
                    selector,
                    coverage,
                    removals_known,
                }));
            }
        }
    }
}
