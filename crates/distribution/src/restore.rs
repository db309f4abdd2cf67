//! What was persisted, read back.

use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::log::{Capacity, ChangeLog};
use crate::output::Record;
use crate::resource::{Change, Name, Selector, Version};
use std::collections::BTreeMap;

/// What the records say, in their order.
#[derive(Debug)]
pub struct RestoredState {
    /// The changes.
    pub log: ChangeLog,
    /// What of each selector had come, and up to where removals are known.
    pub coverage: BTreeMap<Selector, (Coverage, Version)>,
    /// Who the author was.
    pub epoch: Option<Epoch>,
    /// What was in force at a node.
    pub applied: BTreeMap<Name, Change>,
    /// Changes that others took the place of, each with its successor, in their order.
    pub replaced: Vec<(Change, Change)>,
}

impl RestoredState {
    /// Without records.
    pub fn empty(capacity: Capacity) -> RestoredState {
        RestoredState {
            log: ChangeLog::new(capacity),
            coverage: BTreeMap::new(),
            epoch: None,
            applied: BTreeMap::new(),
            replaced: Vec::new(),
        }
    }

    /// From the records that were stored. What is not sound is left out: a disk may bring anything.
    pub fn from_records(
        capacity: Capacity,
        records: impl IntoIterator<Item = Record>,
    ) -> RestoredState {
        let mut restored = RestoredState::empty(capacity);
        for record in records {
            restored.apply(record);
        }
        restored
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Put(change) if change.is_valid() => self.put(change),
            Record::Applied(change) if change.is_valid() => self.put_applied(change),
            Record::Put(_) | Record::Applied(_) => {}
            Record::Confirmed(name, version) => {
                if let Some(change) = self.applied.get_mut(&name) {
                    change.version = change.version.max(version);
                }
            }
            Record::Forget(key) => {
                self.log.remove(&key);
            }
            Record::Epoch(epoch) if epoch.known.is_valid() => self.epoch = Some(epoch),
            Record::Epoch(_) => {}
            Record::PrunedThrough(floor) => self.log.raise_pruned_through(floor),
            Record::Covered {
                selector,
                coverage,
                removals_known: floor,
            } if coverage.is_valid() => {
                self.coverage.insert(selector, (coverage, floor));
            }
            Record::Covered { .. } => {}
            Record::Unsubscribed(selector) => {
                self.coverage.remove(&selector);
            }
        }
    }

    fn put(&mut self, change: Change) {
        if let Some(old) = self.log.get(&change.key) {
            self.replaced.push((old.clone(), change.clone()));
        }
        self.log.put(change);
    }

    fn put_applied(&mut self, change: Change) {
        let name = change.key.name.clone();
        if change.is_removal() {
            self.applied.remove(&name);
        } else {
            self.applied.insert(name, change);
        }
    }
}
