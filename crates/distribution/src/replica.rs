//! A full replica that follows an upstream: what relays and publishers have in common.

use crate::close_reason::CloseReason;
use crate::coverage::{Coverage, Span};
use crate::epoch::Epoch;
use crate::log::{ChangeLog, PutOutcome};
use crate::output::{Event, Output, Record};
use crate::replica_view::ReplicaView;
use crate::report::Report;
use crate::resource::{Change, ChangeId, Key, Replacement, Selector, Version};
use crate::restore::{RestoredState, StoredCoverage};
use crate::staleness::KnownAge;
use crate::upstream::Upstream;
use crate::upstream_event::UpstreamEvent;
use crate::Time;
use std::collections::BTreeSet;

/// The coverage is stored after this number of frames of changes at most.
const MAX_UNSTORED_FRAMES: u32 = 64;

/// What an upstream event has changed.
#[derive(Debug, Default)]
pub(crate) struct ReplicaUpdate {
    /// Keys whose change was replaced or removed.
    pub keys: Vec<Key>,
    /// Replaced changes, each with its successor.
    pub replaced: Vec<Replacement>,
    /// Changes that the current publisher does not have.
    pub orphans: Vec<ChangeId>,
    /// Whether the epoch of a new publisher was received.
    pub has_new_epoch: bool,
    /// Whether everything that the upstream has was received.
    pub is_up_to_date: bool,
}

/// The log, the publisher's epoch and the session with the upstream.
#[derive(Debug)]
pub(crate) struct Replica {
    pub upstream: Upstream,
    pub log: ChangeLog,
    pub epoch: Option<Epoch>,
    /// The highest fencing token of an epoch received in this run.
    latest_token: u64,
    /// When the upstream last reported that it had sent everything, and the staleness at that time.
    last_up_to_date: Option<KnownAge>,
    stored_coverage: Coverage,
    unstored_frames: u32,
}

impl Replica {
    pub fn new(mut upstream: Upstream, restored: &mut RestoredState) -> Replica {
        let known = restored.coverage.remove(&Selector::Everything);
        let StoredCoverage {
            coverage,
            removals_known,
        } = known.unwrap_or_default();
        upstream.subscribe(Selector::Everything, coverage.clone(), removals_known);
        let log = std::mem::replace(
            &mut restored.log,
            ChangeLog::new(crate::log::Capacity::NODE),
        );
        if !log.is_empty() {
            upstream.mark_has_changes(&Selector::Everything);
        }
        let epoch = restored
            .epoch
            .take()
            .filter(|epoch| upstream.admit_epoch(epoch).is_ok());
        Replica {
            upstream,
            log,
            epoch,
            latest_token: 0,
            last_up_to_date: None,
            stored_coverage: coverage,
            unstored_frames: 0,
        }
    }

    /// The versions that are covered.
    pub fn coverage(&self) -> &Coverage {
        static EMPTY: Coverage = Coverage::EMPTY;
        self.upstream
            .subscription(&Selector::Everything)
            .map_or(&EMPTY, |subscription| &subscription.coverage)
    }

    /// The last version in the log or in the coverage.
    pub fn head(&self) -> Version {
        self.coverage().last_version().max(self.log.last_version())
    }

    /// Upper bound of the staleness in seconds, if it is known.
    pub fn staleness(&self, now: Time) -> Option<Time> {
        self.last_up_to_date.map(|known| known.at_time(now))
    }

    /// The view from which children are served.
    pub fn view(&self, now: Time) -> ReplicaView<'_> {
        let coverage = self.coverage();
        let (is_contiguous, age) = (coverage.is_contiguous(), self.staleness(now));
        let subscription = self.upstream.subscription(&Selector::Everything);
        let removals_known =
            subscription.map_or(Version::ZERO, |subscription| subscription.removals_known);
        ReplicaView {
            log: &self.log,
            coverage,
            is_contiguous,
            removals_known,
            age,
            epoch: self.epoch.as_ref(),
        }
    }

    /// Applies a message of the upstream.
    pub fn apply_event(
        &mut self,
        now: Time,
        event: UpstreamEvent,
        outputs: &mut Vec<Output>,
    ) -> ReplicaUpdate {
        match event {
            UpstreamEvent::Epoch(epoch) => self.apply_epoch(now, epoch, outputs),
            UpstreamEvent::Changes { span, changes, .. } => {
                self.apply_changes(now, span, changes, outputs)
            }
            UpstreamEvent::Manifest {
                pruned_through: removals_known,
                digests,
                ..
            } => self.apply_manifest(removals_known, &digests, outputs),
            UpstreamEvent::UpToDate {
                pruned_through: removals_known,
                age,
                ..
            } => {
                self.raise_pruned_through(removals_known, outputs);
                if let Some(age) = age {
                    self.last_up_to_date = Some(KnownAge { at: now, age });
                }
                self.store_coverage(outputs);
                ReplicaUpdate {
                    is_up_to_date: true,
                    ..ReplicaUpdate::default()
                }
            }
        }
    }

    fn apply_epoch(&mut self, now: Time, epoch: Epoch, outputs: &mut Vec<Output>) -> ReplicaUpdate {
        if epoch.claim.token <= self.latest_token {
            return ReplicaUpdate::default();
        }
        self.latest_token = epoch.claim.token;
        // Orphans are reported again in each run, since the previous one may have failed before it could report them.
        let orphans = orphaned_changes(&self.log, &epoch);
        for ChangeId { key, version } in orphans.iter().cloned() {
            self.upstream.queue_report(Report::Orphan { key, version });
        }
        if self
            .epoch
            .as_ref()
            .is_some_and(|known| known.claim.token >= epoch.claim.token)
        {
            return ReplicaUpdate {
                orphans,
                ..ReplicaUpdate::default()
            };
        }
        let known = self.epoch.as_ref();
        let missing = known.map_or(Coverage::EMPTY, |known| {
            missing_versions(known, &epoch, self.coverage())
        });
        self.upstream.resubscribe(now, &missing, outputs);
        self.store_coverage(outputs);
        self.set_epoch(epoch, outputs);
        ReplicaUpdate {
            orphans,
            has_new_epoch: true,
            ..ReplicaUpdate::default()
        }
    }

    /// Stores the epoch of the current publisher.
    pub fn set_epoch(&mut self, epoch: Epoch, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::Epoch(epoch.clone())));
        self.epoch = Some(epoch);
    }

    /// The covered versions that the last known publisher had: those that it knew when it took over, and those that it
    /// published. This can be less than the coverage, if an earlier publisher published changes that its successor
    /// never received.
    pub fn known_versions(&self) -> Coverage {
        let Some(epoch) = &self.epoch else {
            return self.coverage().clone();
        };
        known_since(epoch, self.head()).intersection(self.coverage())
    }

    fn apply_changes(
        &mut self,
        now: Time,
        span: Span,
        changes: Vec<Change>,
        outputs: &mut Vec<Output>,
    ) -> ReplicaUpdate {
        let mut update = ReplicaUpdate::default();
        let mut capacity_exceeded = false;
        for change in changes {
            capacity_exceeded |= !self.put(change, &mut update, outputs);
        }
        update.keys.extend(self.prune_tombstones(outputs));
        if capacity_exceeded {
            // Covering a change that was not stored would tell children that it does not exist.
            self.upstream
                .leave(now, CloseReason::CapacityExceeded, outputs);
        } else {
            self.upstream.add_coverage(&Selector::Everything, span);
        }
        self.unstored_frames += 1;
        if self.unstored_frames >= MAX_UNSTORED_FRAMES {
            self.store_coverage(outputs);
        }
        update
    }

    /// Stores a change, if it is the latest of its key; false if there is no capacity.
    pub fn put(
        &mut self,
        change: Change,
        update: &mut ReplicaUpdate,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let previous = self.log.get(&change.key).cloned();
        match self.log.put(change.clone()) {
            PutOutcome::Outdated => true,
            PutOutcome::CapacityExceeded => {
                outputs.push(Output::Event(Event::CapacityExceeded {
                    key: change.key,
                    version: change.version,
                }));
                false
            }
            PutOutcome::Stored => {
                outputs.push(Output::Persist(Record::Put(change.clone())));
                update.keys.push(change.key.clone());
                update.replaced.extend(previous.map(|previous| Replacement {
                    previous,
                    successor: change,
                }));
                true
            }
        }
    }

    /// Prunes tombstones beyond the capacity.
    pub fn prune_tombstones(&mut self, outputs: &mut Vec<Output>) -> Vec<Key> {
        let pruned = self.log.prune_tombstones();
        for key in &pruned {
            outputs.push(Output::Persist(Record::Forget(key.clone())));
        }
        if !pruned.is_empty() {
            outputs.push(Output::Persist(Record::PrunedThrough(
                self.log.pruned_through(),
            )));
        }
        pruned
    }

    fn apply_manifest(
        &mut self,
        removals_known: Version,
        digests: &BTreeSet<u64>,
        outputs: &mut Vec<Output>,
    ) -> ReplicaUpdate {
        let keys = keys_not_listed(&self.log, &Selector::Everything, removals_known, digests);
        for key in &keys {
            self.log.remove(key);
            outputs.push(Output::Persist(Record::Forget(key.clone())));
        }
        self.raise_pruned_through(removals_known, outputs);
        self.upstream
            .mark_removals_known(&Selector::Everything, removals_known);
        ReplicaUpdate {
            keys,
            ..ReplicaUpdate::default()
        }
    }

    fn raise_pruned_through(&mut self, removals_known: Version, outputs: &mut Vec<Output>) {
        if removals_known > self.log.pruned_through() {
            self.log.raise_pruned_through(removals_known);
            outputs.push(Output::Persist(Record::PrunedThrough(removals_known)));
        }
    }

    /// Covers all versions up to this one. Called only by the active publisher, whose log defines which changes exist.
    pub fn mark_complete(&mut self, head: Version, outputs: &mut Vec<Output>) {
        self.upstream.add_coverage(
            &Selector::Everything,
            Span {
                after: Version::ZERO,
                through: head,
            },
        );
        self.upstream
            .mark_removals_known(&Selector::Everything, head);
        self.store_coverage(outputs);
    }

    fn store_coverage(&mut self, outputs: &mut Vec<Output>) {
        self.unstored_frames = 0;
        let Some(subscription) = self.upstream.subscription(&Selector::Everything) else {
            return;
        };
        if subscription.coverage == self.stored_coverage {
            return;
        }
        self.stored_coverage = subscription.coverage.clone();
        let (coverage, removals_known) =
            (subscription.coverage.clone(), subscription.removals_known);
        let selector = Selector::Everything;
        outputs.push(Output::Persist(Record::Covered {
            selector,
            coverage,
            removals_known,
        }));
    }
}

/// Changes of earlier publishers that the current one did not have when it took over.
pub(crate) fn orphaned_changes(log: &ChangeLog, epoch: &Epoch) -> Vec<ChangeId> {
    let earlier = |change: &&Change| change.version.token < epoch.claim.token;
    let unknown = |change: &&Change| !epoch.known.contains(change.version);
    let orphans = log.changes().filter(earlier).filter(unknown);
    orphans
        .map(|change| ChangeId {
            key: change.key.clone(),
            version: change.version,
        })
        .collect()
}

/// The versions that a publisher knew when it took over, and those that it has published since.
fn known_since(epoch: &Epoch, head: Version) -> Coverage {
    let mut known = epoch.known.clone();
    let after = Version {
        token: epoch.claim.token,
        sequence: 0,
    };
    known.add(Span {
        after,
        through: head,
    });
    known
}

/// Versions that the current publisher knows, and that are covered here because of an earlier publisher that did not
/// know them: their changes were never received.
pub(crate) fn missing_versions(earlier: &Epoch, current: &Epoch, covered: &Coverage) -> Coverage {
    let known = known_since(earlier, covered.last_version());
    current.known.intersection(covered).difference(&known)
}

/// Keys of a selector up to a pruning floor that a manifest does not list.
pub(crate) fn keys_not_listed(
    log: &ChangeLog,
    selector: &Selector,
    removals_known: Version,
    digests: &BTreeSet<u64>,
) -> Vec<Key> {
    let keys = log.keys_after(selector, Version::ZERO);
    let listable = keys.take_while(|(version, _)| *version <= removals_known);
    listable
        .filter(|(_, key)| !digests.contains(&key.digest()))
        .map(|(_, key)| key.clone())
        .collect()
}
