//! A node's table of entries: a map that is replicated by gossip and anti-entropy.
//!
//! | state of an entry | ends |
//! | --- | --- |
//! | pending: still has to be sent to others | when it has been sent often enough, was replaced or has expired |
//! | stored | when an entry with a greater precedence replaces it, or it expires |
//! | expired: removed, but its key is kept | when [`Table::take_expired`] returns the key |
//!
//! The computed age of an entry is never less than the true one: it starts with the age in the datagram, plus the
//! longest time for which the datagram may have been in transit, and grows by this node's clock, which is assumed to
//! run as slow as [`DRIFT`] allows. So every node drops an entry no later than its creator intended.

mod queues;

use crate::entry::{Entry, Key, Precedence, Value, Version};
use crate::{Time, DRIFT, MICROS_PER_SECOND, MILLIS_PER_SECOND};
use queues::{Expiry, PendingEntry};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of entries in a table.
pub const MAX_ENTRIES: usize = 8192;
/// Maximum number of reports of one node in a table. If a node finds more servers faulty, its reports are of no use.
pub const MAX_REPORTS_PER_NODE: usize = 256;
/// Number of partitions of a table; anti-entropy compares a digest of each.
pub const PARTITIONS: usize = 32;
const MICROS_PER_MILLI: u64 = 1000;

/// What merging an entry has done to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry was added, or has replaced another one.
    Updated,
    /// The table contains the same entry, or one that takes precedence.
    Unchanged,
    /// The entry was not added, since it has expired.
    Expired,
    /// The entry was not added, since the table is full or the entry is invalid.
    Rejected,
}

/// An entry in the table, without its key.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredEntry {
    /// See [`Entry::version`].
    pub version: Version,
    /// See [`Entry::value`].
    pub value: Value,
    /// Time to live from the creation of the entry, in milliseconds.
    pub ttl_ms: u32,
    /// An upper bound of the entry's age when it was received, in seconds.
    received_age: Time,
    received_at: Time,
    /// How often the entry has been sent to others.
    transmissions: u32,
    digest: u64,
}

impl StoredEntry {
    /// An upper bound of the entry's age, in seconds.
    pub fn age(&self, now: Time) -> Time {
        self.received_age + (now - self.received_at).max(0.0) / (1.0 - DRIFT)
    }

    /// A lower bound of the remaining time to live, in seconds; not positive once the entry has expired.
    pub fn remaining_ttl(&self, now: Time) -> Time {
        f64::from(self.ttl_ms) / MILLIS_PER_SECOND - self.age(now)
    }

    fn is_live(&self, now: Time) -> bool {
        self.remaining_ttl(now) > 0.0
    }

    fn entry(&self, key: &Key, now: Time) -> Entry {
        let age_us = (self.age(now) * MICROS_PER_SECOND).ceil() as u64;
        let (version, value) = (self.version, self.value.clone());
        Entry {
            key: key.clone(),
            version,
            value,
            ttl_ms: self.ttl_ms,
            age_us,
        }
    }

    fn precedence(&self) -> Precedence<'_> {
        Precedence::new(self.version, &self.value, self.ttl_ms)
    }

    /// When the entry expires, in microseconds of this node's clock, rounded up.
    fn expires_at_us(&self) -> u64 {
        let ttl = f64::from(self.ttl_ms) / MILLIS_PER_SECOND;
        let expires_at = self.received_at + (ttl - self.received_age) * (1.0 - DRIFT);
        (expires_at.max(0.0) * MICROS_PER_SECOND).ceil() as u64
    }

    fn expiry(&self, key: &Key) -> Expiry {
        Expiry {
            at_us: self.expires_at_us(),
            key: key.clone(),
        }
    }

    fn pending(&self, key: &Key) -> PendingEntry {
        PendingEntry {
            transmissions: self.transmissions,
            key: key.clone(),
        }
    }
}

/// A node's table of entries. See the [module](self).
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<Key, StoredEntry>,
    /// Entries that still have to be sent to others, the least often sent first.
    pending: BTreeSet<PendingEntry>,
    /// The expiry of each entry, the earliest first.
    expiries: BTreeSet<Expiry>,
    /// Number of reports by reporting node.
    report_counts: BTreeMap<String, usize>,
    /// Keys of expired entries that have not been taken.
    expired: Vec<Key>,
    digests: [u64; PARTITIONS],
}

/// The digest of an entry, over everything but its age.
fn digest(entry: &Entry) -> u64 {
    // Encoding can't fail: these are plain values, written to memory.
    let fields = (&entry.key, entry.version, &entry.value, entry.ttl_ms);
    let bytes = postcard::to_stdvec(&fields).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    u64::from_le_bytes(hash.as_bytes().first_chunk().copied().unwrap_or_default())
}

fn partition_of(key: &Key) -> usize {
    let bytes = postcard::to_stdvec(key).unwrap_or_default();
    usize::from(
        blake3::hash(&bytes)
            .as_bytes()
            .first()
            .copied()
            .unwrap_or_default(),
    ) % PARTITIONS
}

impl Table {
    /// Merges a received entry, whose age is an upper bound at this time.
    pub fn merge(&mut self, now: Time, entry: Entry) -> MergeOutcome {
        if !entry.is_valid() {
            return MergeOutcome::Rejected;
        }
        self.expire(now);
        if entry.age() >= entry.ttl() {
            return MergeOutcome::Expired;
        }
        if let Some(stored) = self.entries.get(&entry.key) {
            match entry.precedence().cmp(&stored.precedence()) {
                Ordering::Less => return MergeOutcome::Unchanged,
                Ordering::Equal => {
                    self.reduce_age(now, &entry);
                    return MergeOutcome::Unchanged;
                }
                Ordering::Greater => {}
            }
        } else if !self.ensure_capacity(&entry) {
            return MergeOutcome::Rejected;
        }
        self.remove(&entry.key);
        self.insert(now, entry);
        MergeOutcome::Updated
    }

    /// Lowers the bound of a stored entry's age if the same entry was received with a lower one, over a faster path.
    fn reduce_age(&mut self, now: Time, entry: &Entry) {
        let Some(stored) = self.entries.get(&entry.key) else {
            return;
        };
        if entry.age() < stored.age(now) {
            let mut stored = stored.clone();
            self.expiries.remove(&stored.expiry(&entry.key));
            (stored.received_age, stored.received_at) = (entry.age(), now);
            self.expiries.insert(stored.expiry(&entry.key));
            self.entries.insert(entry.key.clone(), stored);
        }
    }

    /// Returns whether there is capacity for a new entry. If the table is full, an entry that stems from an operator
    /// evicts the report that expires first.
    fn ensure_capacity(&mut self, entry: &Entry) -> bool {
        if let Key::Report { reporter, .. } = &entry.key {
            if self
                .report_counts
                .get(reporter)
                .is_some_and(|n| *n >= MAX_REPORTS_PER_NODE)
            {
                return false;
            }
        }
        if self.entries.len() < MAX_ENTRIES {
            return true;
        }
        let is_report = |key: &&Key| matches!(key, Key::Report { .. });
        let first_to_expire = self
            .expiries
            .iter()
            .map(|expiry| &expiry.key)
            .find(is_report);
        match first_to_expire.cloned().filter(|_| entry.is_manual()) {
            Some(key) => {
                self.remove(&key);
                true
            }
            None => false,
        }
    }

    fn insert(&mut self, now: Time, entry: Entry) {
        let (digest, received_age) = (digest(&entry), entry.age());
        let Entry {
            key,
            version,
            value,
            ttl_ms,
            ..
        } = entry;
        let stored = StoredEntry {
            version,
            value,
            ttl_ms,
            received_age,
            received_at: now,
            transmissions: 0,
            digest,
        };
        if let Key::Report { reporter, .. } = &key {
            *self.report_counts.entry(reporter.clone()).or_default() += 1;
        }
        self.digests[partition_of(&key)] ^= stored.digest;
        self.expiries.insert(stored.expiry(&key));
        self.pending.insert(stored.pending(&key));
        self.entries.insert(key, stored);
    }

    fn remove(&mut self, key: &Key) {
        let Some(stored) = self.entries.remove(key) else {
            return;
        };
        if let Key::Report { reporter, .. } = key {
            self.uncount_report(reporter);
        }
        self.digests[partition_of(key)] ^= stored.digest;
        self.expiries.remove(&stored.expiry(key));
        self.pending.remove(&stored.pending(key));
    }

    fn uncount_report(&mut self, reporter: &str) {
        if let Some(count) = self.report_counts.get_mut(reporter) {
            *count -= 1;
            if *count == 0 {
                self.report_counts.remove(reporter);
            }
        }
    }

    /// Removes the expired entries. Their keys are kept until [`Table::take_expired`] is called, so that every expiry
    /// is reported, whichever call detects it.
    pub fn expire(&mut self, now: Time) {
        let now_us = (now * MICROS_PER_SECOND) as u64;
        let has_expired = |expiry: &Expiry| expiry.at_us <= now_us;
        while self.expiries.first().is_some_and(has_expired) {
            let Some(Expiry { key, .. }) = self.expiries.pop_first() else {
                break;
            };
            self.remove(&key);
            self.expired.push(key);
        }
    }

    /// Takes the keys of the entries that have expired since the last call.
    pub fn take_expired(&mut self) -> Vec<Key> {
        std::mem::take(&mut self.expired)
    }

    /// When the next entry expires; `None` for an empty table.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries
            .first()
            .map(|expiry| expiry.at_us as f64 / MICROS_PER_SECOND)
    }

    /// The entries that have not expired, in the order of their keys.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&Key, &StoredEntry)> {
        self.entries
            .iter()
            .filter(move |(_, stored)| stored.is_live(now))
    }

    /// The entries that have not expired, from this key on.
    pub fn live_from<'a>(
        &'a self,
        from: &Key,
        now: Time,
    ) -> impl Iterator<Item = (&'a Key, &'a StoredEntry)> {
        self.entries
            .range(from.clone()..)
            .filter(move |(_, stored)| stored.is_live(now))
    }

    /// The entry with this key, unless it has expired.
    pub fn get(&self, key: &Key, now: Time) -> Option<&StoredEntry> {
        self.entries.get(key).filter(|stored| stored.is_live(now))
    }

    /// Number of stored entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entries are stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether any entry has been sent fewer than `max_transmissions` times.
    pub fn has_pending(&self, max_transmissions: u32) -> bool {
        self.pending
            .first()
            .is_some_and(|pending| pending.transmissions < max_transmissions)
    }

    /// Offers the entries that were sent fewer than `max_transmissions` times to a datagram, the least often sent
    /// first. `add` returns whether the entry fits, and the entry counts as sent if it does; the first one that does
    /// not ends the call.
    pub fn offer_pending(
        &mut self,
        now: Time,
        max_transmissions: u32,
        mut add: impl FnMut(&Entry) -> bool,
    ) {
        self.expire(now);
        let mut sent = Vec::new();
        let end = PendingEntry {
            transmissions: max_transmissions,
            key: Key::first(),
        };
        for pending in self.pending.range(..end) {
            let Some(stored) = self.entries.get(&pending.key) else {
                continue;
            };
            if !add(&stored.entry(&pending.key, now)) {
                break;
            }
            sent.push(pending.clone());
        }
        for pending in sent {
            self.count_transmission(pending, max_transmissions);
        }
    }

    fn count_transmission(&mut self, mut pending: PendingEntry, max_transmissions: u32) {
        self.pending.remove(&pending);
        pending.transmissions += 1;
        if let Some(stored) = self.entries.get_mut(&pending.key) {
            stored.transmissions = pending.transmissions;
        }
        if pending.transmissions < max_transmissions {
            self.pending.insert(pending);
        }
    }

    /// The digest of each partition. Partitions with equal digests contain the same entries, except for hash
    /// collisions.
    pub fn digests(&self) -> [u64; PARTITIONS] {
        self.digests
    }

    /// The entries of the partitions whose digests differ from those of another table, sorted by descending remaining
    /// time to live.
    pub fn entries_of_differing_partitions(
        &self,
        now: Time,
        digests: &[u64; PARTITIONS],
    ) -> Vec<Entry> {
        let differs = |key: &Key| {
            let partition = partition_of(key);
            self.digests[partition] != digests[partition]
        };
        let live = self.live(now).filter(|(key, _)| differs(key));
        let mut entries: Vec<Entry> = live.map(|(key, stored)| stored.entry(key, now)).collect();
        entries.sort_by_key(|e| {
            let ttl_us = u64::from(e.ttl_ms) * MICROS_PER_MILLI;
            Reverse(ttl_us - e.age_us.min(ttl_us))
        });
        entries
    }
}
