//! The change log: the latest change of each key, ordered by version.
//!
//! A change replaces the previous change of its key, so the log is as long as there are keys, and what a peer lacks
//! after some version is the part of the log after that version. Removals stay as tombstones until there are too many;
//! pruned ones have versions up to [`ChangeLog::pruned_through`].

use crate::coverage::Coverage;
use crate::resource::{Change, Key, Selector, Urgency, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Limits of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size in bytes, as counted by [`Change::size_bytes`].
    pub max_bytes: usize,
    /// Maximum number of tombstones; beyond it the oldest are pruned.
    pub max_tombstones: usize,
}

impl Capacity {
    /// For a publisher or a relay with 640,000 resources.
    pub const CONTROL: Capacity = Capacity {
        max_keys: 2_000_000,
        max_bytes: 1 << 30,
        max_tombstones: 100_000,
    };
    /// For a node.
    pub const NODE: Capacity = Capacity {
        max_keys: 200_000,
        max_bytes: 24 << 20,
        max_tombstones: 10_000,
    };
}

/// Result of [`ChangeLog::put`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The change is now the latest of its key.
    Stored,
    /// The log has this change or a later one of its key.
    Outdated,
    /// The log has no capacity for the change.
    CapacityExceeded,
}

#[derive(Clone, Debug, Default)]
struct Index {
    versions: BTreeMap<Version, Key>,
    urgent: BTreeSet<Version>,
}

impl Index {
    fn add(&mut self, change: &Change) {
        self.versions.insert(change.version, change.key.clone());
        if change.urgency == Urgency::Urgent {
            self.urgent.insert(change.version);
        }
    }

    fn remove(&mut self, version: Version) {
        self.versions.remove(&version);
        self.urgent.remove(&version);
    }

    /// The last version up to a bound.
    fn last_at_or_below(&self, bound: Version) -> Option<Version> {
        let last = self.versions.range(..=bound).next_back();
        last.map(|(version, _)| *version)
    }
}

/// The latest change of each key, with indexes by selector.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    capacity: Capacity,
    changes: BTreeMap<Key, Change>,
    all_keys: Index,
    /// Indexes for every selector but [`Selector::Everything`].
    by_selector: BTreeMap<Selector, Index>,
    tombstones: BTreeSet<Version>,
    bytes: usize,
    pruned_through: Version,
}

impl ChangeLog {
    /// An empty log.
    pub fn new(capacity: Capacity) -> ChangeLog {
        ChangeLog {
            capacity,
            changes: BTreeMap::new(),
            all_keys: Index::default(),
            by_selector: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            bytes: 0,
            pruned_through: Version::ZERO,
        }
    }

    /// Stores a change, if it is the latest of its key.
    pub fn put(&mut self, change: Change) -> PutOutcome {
        let previous = self.changes.get(&change.key);
        if previous.is_some_and(|previous| previous.version >= change.version) {
            return PutOutcome::Outdated;
        }
        let previous_bytes = previous.map_or(0, Change::size_bytes);
        let bytes = self.bytes - previous_bytes + change.size_bytes();
        let keys = self.changes.len() + usize::from(previous.is_none());
        if bytes > self.capacity.max_bytes || keys > self.capacity.max_keys {
            return PutOutcome::CapacityExceeded;
        }
        self.remove(&change.key);
        self.bytes += change.size_bytes();
        self.all_keys.add(&change);
        for selector in narrow_selectors(&change.key) {
            self.by_selector.entry(selector).or_default().add(&change);
        }
        if change.is_removal() {
            self.tombstones.insert(change.version);
        }
        self.changes.insert(change.key.clone(), change);
        PutOutcome::Stored
    }

    /// Removes a key and its change.
    pub fn remove(&mut self, key: &Key) -> Option<Change> {
        let change = self.changes.remove(key)?;
        self.bytes -= change.size_bytes();
        self.all_keys.remove(change.version);
        self.tombstones.remove(&change.version);
        for selector in narrow_selectors(key) {
            self.remove_from(&selector, change.version);
        }
        Some(change)
    }

    fn remove_from(&mut self, selector: &Selector, version: Version) {
        let Some(index) = self.by_selector.get_mut(selector) else {
            return;
        };
        index.remove(version);
        if index.versions.is_empty() {
            self.by_selector.remove(selector);
        }
    }

    /// Removes the oldest tombstones beyond the capacity; returns their keys.
    pub fn prune_tombstones(&mut self) -> Vec<Key> {
        let mut pruned = Vec::new();
        while self.tombstones.len() > self.capacity.max_tombstones {
            let Some(version) = self.tombstones.first().copied() else {
                break;
            };
            let Some(key) = self.all_keys.versions.get(&version).cloned() else {
                break;
            };
            self.remove(&key);
            self.pruned_through = self.pruned_through.max(version);
            pruned.push(key);
        }
        pruned
    }

    /// Tombstones up to this version may have been pruned.
    pub fn pruned_through(&self) -> Version {
        self.pruned_through
    }

    /// Raises the pruning floor: the tombstones of removals up to it may be missing here.
    pub fn raise_pruned_through(&mut self, version: Version) {
        self.pruned_through = self.pruned_through.max(version);
    }

    /// The latest change of a key.
    pub fn get(&self, key: &Key) -> Option<&Change> {
        self.changes.get(key)
    }

    /// The change of a version, if it is still the latest of its key.
    pub fn get_version(&self, version: Version) -> Option<&Change> {
        self.changes.get(self.all_keys.versions.get(&version)?)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether the log has no keys.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Total size of all changes, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The last version in the log.
    pub fn last_version(&self) -> Version {
        self.all_keys
            .versions
            .last_key_value()
            .map_or(Version::ZERO, |(version, _)| *version)
    }

    /// All changes, by key.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values()
    }

    fn index(&self, selector: &Selector) -> Option<&Index> {
        match selector {
            Selector::Everything => Some(&self.all_keys),
            selector => self.by_selector.get(selector),
        }
    }

    /// The last urgent change of a selector that a coverage lacks.
    pub fn newest_uncovered_urgent(
        &self,
        selector: &Selector,
        coverage: &Coverage,
    ) -> Option<Version> {
        let index = self.index(selector)?;
        let last_at_or_below = |bound: Version| index.urgent.range(..=bound).next_back().copied();
        newest_uncovered(coverage, index.urgent.last().copied(), last_at_or_below)
    }

    /// The last change of a selector that a coverage lacks.
    pub fn newest_uncovered(&self, selector: &Selector, coverage: &Coverage) -> Option<Version> {
        let index = self.index(selector)?;
        newest_uncovered(
            coverage,
            index.versions.last_key_value().map(|(version, _)| *version),
            |bound| index.last_at_or_below(bound),
        )
    }

    /// The last change of a selector before a version that a coverage lacks.
    pub fn newest_uncovered_before(
        &self,
        selector: &Selector,
        coverage: &Coverage,
        version: Version,
    ) -> Option<Version> {
        let index = self.index(selector)?;
        newest_uncovered(
            coverage,
            self.previous_version(selector, version),
            |bound| index.last_at_or_below(bound),
        )
    }

    /// The first change of a selector after a version that a coverage lacks.
    pub fn oldest_uncovered_after(
        &self,
        selector: &Selector,
        coverage: &Coverage,
        version: Version,
    ) -> Option<Version> {
        let mut version = self.next_version(selector, version)?;
        while let Some(span) = coverage.span_containing(version) {
            version = self.next_version(selector, span.through)?;
        }
        Some(version)
    }

    /// The last change of a selector before a version.
    pub fn previous_version(&self, selector: &Selector, version: Version) -> Option<Version> {
        let (earlier, _) = self
            .index(selector)?
            .versions
            .range(..version)
            .next_back()?;
        Some(*earlier)
    }

    /// The first change of a selector after a version.
    pub fn next_version(&self, selector: &Selector, version: Version) -> Option<Version> {
        self.keys_after(selector, version)
            .next()
            .map(|(later, _)| later)
    }

    /// The keys of a selector whose changes are later than a version, in version order.
    pub fn keys_after<'a>(
        &'a self,
        selector: &Selector,
        after: Version,
    ) -> impl Iterator<Item = (Version, &'a Key)> + 'a {
        let range = (Bound::Excluded(after), Bound::Unbounded);
        let keys = self
            .index(selector)
            .map(|index| index.versions.range(range));
        keys.into_iter()
            .flatten()
            .map(|(version, key)| (*version, key))
    }
}

/// The selectors other than [`Selector::Everything`] that match a key.
fn narrow_selectors(key: &Key) -> impl Iterator<Item = Selector> {
    Selector::all_matching(&key.name.group)
        .into_iter()
        .filter(|selector| *selector != Selector::Everything)
}

/// The last version that a coverage lacks; `last_at_or_below` returns the last version up to a bound.
fn newest_uncovered(
    coverage: &Coverage,
    last: Option<Version>,
    last_at_or_below: impl Fn(Version) -> Option<Version>,
) -> Option<Version> {
    let mut version = last?;
    while let Some(span) = coverage.span_containing(version) {
        version = last_at_or_below(span.after)?;
    }
    Some(version)
}
