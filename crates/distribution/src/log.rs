//! The latest change of each key, in the order of versions.
//!
//! A later change of a key takes the place of the earlier one, so the log is as long as there are resources, and what a
//! peer lacks since a version is what stands in the log above it. Removals stay until there are too many; the versions of
//! those that were forgotten are below [`Log::floor`].

use crate::coverage::Coverage;
use crate::resource::{Change, Key, Selector, Urgency, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// How much a log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Most keys.
    pub keys: usize,
    /// Most bytes, as [`Change::size`] counts them.
    pub bytes: usize,
    /// Most removals; of more, the earliest are forgotten.
    pub removals: usize,
}

impl Room {
    /// On a control machine, for 640,000 resources.
    pub const CONTROL: Room = Room {
        keys: 2_000_000,
        bytes: 1 << 30,
        removals: 100_000,
    };
    /// At a node.
    pub const NODE: Room = Room {
        keys: 200_000,
        bytes: 24 << 20,
        removals: 10_000,
    };
}

/// What became of a change that was put in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// It is the latest of its key.
    Taken,
    /// This one, or a later one, was there.
    Old,
    /// There is no room.
    Full,
}

#[derive(Clone, Debug, Default)]
struct Index {
    all: BTreeMap<Version, Key>,
    urgent: BTreeSet<Version>,
}

impl Index {
    fn add(&mut self, change: &Change) {
        self.all.insert(change.version, change.key.clone());
        if change.urgency == Urgency::Urgent {
            self.urgent.insert(change.version);
        }
    }

    fn remove(&mut self, version: Version) {
        self.all.remove(&version);
        self.urgent.remove(&version);
    }
}

/// See the module.
#[derive(Clone, Debug)]
pub struct Log {
    room: Room,
    changes: BTreeMap<Key, Change>,
    every: Index,
    /// By what can be asked for.
    parts: BTreeMap<Selector, Index>,
    removals: BTreeSet<Version>,
    bytes: usize,
    floor: Version,
}

impl Log {
    /// An empty one.
    pub fn new(room: Room) -> Log {
        Log {
            room,
            changes: BTreeMap::new(),
            every: Index::default(),
            parts: BTreeMap::new(),
            removals: BTreeSet::new(),
            bytes: 0,
            floor: Version::ZERO,
        }
    }

    /// Puts a change in, if it is the latest of its key.
    pub fn put(&mut self, change: Change) -> Put {
        let old = self.changes.get(&change.key);
        if old.is_some_and(|old| old.version >= change.version) {
            return Put::Old;
        }
        let old_bytes = old.map_or(0, Change::size);
        let bytes = self.bytes - old_bytes + change.size();
        let keys = self.changes.len() + usize::from(old.is_none());
        if bytes > self.room.bytes || keys > self.room.keys {
            return Put::Full;
        }
        self.take_out(&change.key);
        self.bytes += change.size();
        self.every.add(&change);
        for selector in parts_of(&change.key) {
            self.parts.entry(selector).or_default().add(&change);
        }
        if change.removes() {
            self.removals.insert(change.version);
        }
        self.changes.insert(change.key.clone(), change);
        Put::Taken
    }

    /// Takes a key out, with its change.
    pub fn take_out(&mut self, key: &Key) -> Option<Change> {
        let change = self.changes.remove(key)?;
        self.bytes -= change.size();
        self.every.remove(change.version);
        self.removals.remove(&change.version);
        for selector in parts_of(key) {
            self.remove_from(&selector, change.version);
        }
        Some(change)
    }

    fn remove_from(&mut self, selector: &Selector, version: Version) {
        let Some(index) = self.parts.get_mut(selector) else {
            return;
        };
        index.remove(version);
        if index.all.is_empty() {
            self.parts.remove(selector);
        }
    }

    /// Forgets the earliest removals of which there are too many; says which keys.
    pub fn forget_removals(&mut self) -> Vec<Key> {
        let mut forgotten = Vec::new();
        while self.removals.len() > self.room.removals {
            let Some(version) = self.removals.first().copied() else {
                break;
            };
            let Some(key) = self.every.all.get(&version).cloned() else {
                break;
            };
            self.take_out(&key);
            self.floor = self.floor.max(version);
            forgotten.push(key);
        }
        forgotten
    }

    /// Removals up to this version may have been forgotten.
    pub fn floor(&self) -> Version {
        self.floor
    }

    /// Raises the floor: removals up to there are not known here.
    pub fn raise_floor(&mut self, floor: Version) {
        self.floor = self.floor.max(floor);
    }

    /// The latest change of a key.
    pub fn get(&self, key: &Key) -> Option<&Change> {
        self.changes.get(key)
    }

    /// The change of a version, if it is still the latest of its key.
    pub fn at(&self, version: Version) -> Option<&Change> {
        self.changes.get(self.every.all.get(&version)?)
    }

    /// How many keys there are.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// How many bytes its changes take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The greatest version in it.
    pub fn top(&self) -> Version {
        self.every
            .all
            .last_key_value()
            .map_or(Version::ZERO, |(version, _)| *version)
    }

    /// All changes, by their keys.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values()
    }

    fn index(&self, selector: &Selector) -> Option<&Index> {
        match selector {
            Selector::Everything => Some(&self.every),
            part => self.parts.get(part),
        }
    }

    /// The latest urgent change of a selector that is not covered.
    pub fn newest_urgent(&self, selector: &Selector, coverage: &Coverage) -> Option<Version> {
        let index = self.index(selector)?;
        let below = |bound: Version| index.urgent.range(..=bound).next_back().copied();
        newest_uncovered(coverage, index.urgent.last().copied(), below)
    }

    /// The latest change of a selector that is not covered.
    pub fn newest(&self, selector: &Selector, coverage: &Coverage) -> Option<Version> {
        let index = self.index(selector)?;
        let below = |bound: Version| {
            index
                .all
                .range(..=bound)
                .next_back()
                .map(|(version, _)| *version)
        };
        newest_uncovered(
            coverage,
            index.all.last_key_value().map(|(version, _)| *version),
            below,
        )
    }

    /// The latest change of a selector before a version that is not covered.
    pub fn newest_before(
        &self,
        selector: &Selector,
        coverage: &Coverage,
        version: Version,
    ) -> Option<Version> {
        let index = self.index(selector)?;
        let below = |bound: Version| {
            index
                .all
                .range(..=bound)
                .next_back()
                .map(|(version, _)| *version)
        };
        newest_uncovered(coverage, self.earlier(selector, version), below)
    }

    /// The earliest change of a selector after a version that is not covered.
    pub fn oldest_after(
        &self,
        selector: &Selector,
        coverage: &Coverage,
        version: Version,
    ) -> Option<Version> {
        let mut version = self.later(selector, version)?;
        while let Some(span) = coverage.span_of(version) {
            version = self.later(selector, span.upto)?;
        }
        Some(version)
    }

    /// The latest change of a selector before a version.
    pub fn earlier(&self, selector: &Selector, version: Version) -> Option<Version> {
        let (earlier, _) = self.index(selector)?.all.range(..version).next_back()?;
        Some(*earlier)
    }

    /// The earliest change of a selector after a version.
    pub fn later(&self, selector: &Selector, version: Version) -> Option<Version> {
        self.keys_after(selector, version)
            .next()
            .map(|(later, _)| later)
    }

    /// The keys of a selector whose changes are later than a version, in their order.
    pub fn keys_after<'a>(
        &'a self,
        selector: &Selector,
        after: Version,
    ) -> impl Iterator<Item = (Version, &'a Key)> + 'a {
        let range = (Bound::Excluded(after), Bound::Unbounded);
        let keys = self.index(selector).map(|index| index.all.range(range));
        keys.into_iter()
            .flatten()
            .map(|(version, key)| (*version, key))
    }
}

/// The selectors but [`Selector::Everything`] that hold a key.
fn parts_of(key: &Key) -> impl Iterator<Item = Selector> {
    Selector::all_of(&key.name.group)
        .into_iter()
        .filter(|selector| *selector != Selector::Everything)
}

/// The latest version that is not covered, where `below` gives the latest one up to a bound.
fn newest_uncovered(
    coverage: &Coverage,
    last: Option<Version>,
    below: impl Fn(Version) -> Option<Version>,
) -> Option<Version> {
    let mut version = last?;
    while let Some(span) = coverage.span_of(version) {
        version = below(span.after)?;
    }
    Some(version)
}
