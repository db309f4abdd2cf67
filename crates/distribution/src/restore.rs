//! Restores a process's state from its stored records.

use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::log::{Capacity, ChangeLog};
use crate::output::Record;
use crate::resource::{Change, Name, Replacement, Selector, Version};
use std::collections::BTreeMap;

/// The stored coverage of a selector.
#[derive(Clone, Debug, Default)]
pub struct StoredCoverage {
    /// The covered versions.
    pub coverage: Coverage,
    /// All removals up to this version are known.
    pub removals_known: Version,
}

/// The state of a process, rebuilt from its records.
#[derive(Debug)]
pub struct RestoredState {
    /// The latest changes.
    pub log: ChangeLog,
    /// The coverage of each selector.
    pub coverage: BTreeMap<Selector, StoredCoverage>,
    /// The term of the last known publisher.
    pub epoch: Option<Epoch>,
    /// The changes that a node had applied.
    pub applied: BTreeMap<Name, Change>,
    /// Replaced changes, each with its successor, in order.
    pub replaced: Vec<Replacement>,
}

impl RestoredState {
    /// The state of a process that has no records.
    pub fn empty(capacity: Capacity) -> RestoredState {
        RestoredState {
            log: ChangeLog::new(capacity),
            coverage: BTreeMap::new(),
            epoch: None,
            applied: BTreeMap::new(),
            replaced: Vec::new(),
        }
    }

    /// Rebuilds the state from records in the order in which they were stored. Invalid ones are skipped, since a disk
    /// may return corrupt data.
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
            Record::PrunedThrough(version) => self.log.raise_pruned_through(version),
            Record::Covered {
                selector,
                coverage,
                removals_known,
            } if coverage.is_valid() => {
                self.coverage.insert(
                    selector,
                    StoredCoverage {
                        coverage,
                        removals_known,
                    },
                );
            }
            Record::Covered { .. } => {}
            Record::Unsubscribed(selector) => {
                self.coverage.remove(&selector);
            }
        }
    }

    fn put(&mut self, change: Change) {
        if let Some(previous) = self.log.get(&change.key) {
            self.replaced.push(Replacement {
                previous: previous.clone(),
                successor: change.clone(),
            });
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
