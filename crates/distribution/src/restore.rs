//! What was persisted, read back.

use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::log::{Log, Room};
use crate::output::Record;
use crate::resource::{Change, Name, Selector, Version};
use std::collections::BTreeMap;

/// What the records say, in their order.
#[derive(Debug)]
pub struct Restored {
    /// The changes.
    pub log: Log,
    /// What of each selector had come, and up to where removals are known.
    pub covered: BTreeMap<Selector, (Coverage, Version)>,
    /// Who the author was.
    pub epoch: Option<Epoch>,
    /// What was in force at a node.
    pub in_force: BTreeMap<Name, Change>,
    /// Changes that others took the place of, each with its successor, in their order.
    pub replaced: Vec<(Change, Change)>,
}

impl Restored {
    /// Without records.
    pub fn empty(room: Room) -> Restored {
        Restored {
            log: Log::new(room),
            covered: BTreeMap::new(),
            epoch: None,
            in_force: BTreeMap::new(),
            replaced: Vec::new(),
        }
    }

    /// From the records that were stored. What is not sound is left out: a disk may bring anything.
    pub fn read(room: Room, records: impl IntoIterator<Item = Record>) -> Restored {
        let mut restored = Restored::empty(room);
        for record in records {
            restored.take(record);
        }
        restored
    }

    fn take(&mut self, record: Record) {
        match record {
            Record::Put(change) if change.sound() => self.put(change),
            Record::InForce(change) if change.sound() => self.in_force(change),
            Record::Put(_) | Record::InForce(_) => {}
            Record::Confirmed(name, version) => {
                if let Some(change) = self.in_force.get_mut(&name) {
                    change.version = change.version.max(version);
                }
            }
            Record::Forget(key) => {
                self.log.take_out(&key);
            }
            Record::Epoch(epoch) if epoch.known.sound() => self.epoch = Some(epoch),
            Record::Epoch(_) => {}
            Record::Floor(floor) => self.log.raise_floor(floor),
            Record::Covered {
                selector,
                coverage,
                floor,
            } if coverage.sound() => {
                self.covered.insert(selector, (coverage, floor));
            }
            Record::Covered { .. } => {}
            Record::Unsubscribed(selector) => {
                self.covered.remove(&selector);
            }
        }
    }

    fn put(&mut self, change: Change) {
        if let Some(old) = self.log.get(&change.key) {
            self.replaced.push((old.clone(), change.clone()));
        }
        self.log.put(change);
    }

    fn in_force(&mut self, change: Change) {
        let name = change.key.name.clone();
        if change.removes() {
            self.in_force.remove(&name);
        } else {
            self.in_force.insert(name, change);
        }
    }
}
