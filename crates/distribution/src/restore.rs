//! What was persisted, read back.

use crate::coverage::Coverage;
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
            Record::Forget(key) => {
                self.log.take_out(&key);
            }
            Record::Floor(floor) => self.log.raise_floor(floor),
            Record::Covered { selector, coverage, floor } if coverage.sound() => {
                self.covered.insert(selector, (coverage, floor));
            }
            Record::Covered { .. } => {}
            Record::Unsubscribed(selector) => self.unsubscribe(&selector),
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

    fn unsubscribe(&mut self, selector: &Selector) {
        self.covered.remove(selector);
        let others: Vec<Selector> = self.covered.keys().cloned().collect();
        let gone = |name: &Name| {
            selector.holds(&name.group) && !others.iter().any(|other| other.holds(&name.group))
        };
        let keys: Vec<_> = self.log.changes().map(|c| c.key.clone()).filter(|key| gone(&key.name)).collect();
        for key in keys {
            self.log.take_out(&key);
        }
        self.in_force.retain(|name, _| !gone(name));
    }
}
