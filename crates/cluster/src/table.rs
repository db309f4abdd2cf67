//! The table of entries that a node holds: a map that is replicated by gossip and anti-entropy.
//!
//! | state of an entry | owner | ends |
//! | --- | --- | --- |
//! | pending: not yet sent to enough others | [`Table`] | when it was sent so often, or replaced, or expired |
//! | stored | [`Table`] | replaced by one of a greater precedence, or expired |
//! | expired | nobody | at once |
//!
//! An age is never less than the true one: it comes with the entry, grows by the time that the entry may have been in
//! transit and by this node's own clock, which is assumed to run as slow as [`DRIFT`] allows. So whoever holds an entry
//! drops it no later than its creator meant.

mod queues;

use crate::entry::{Entry, Key, Precedence, Value, Version};
use crate::{Time, DRIFT, MICROS_PER_SECOND, MILLIS_PER_SECOND};
use queues::{Expiry, PendingEntry};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of entries.
pub const MAX_ENTRIES: usize = 8192;
/// Maximum number of reports of one node; a node that finds more servers faulty reports nothing useful.
pub const MAX_REPORTS_PER_NODE: usize = 256;
/// Number of partitions in which tables are compared.
pub const PARTITIONS: usize = 32;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// The outcome of merging an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It was added, or replaces another one.
    Updated,
    /// It was known, or a newer one is.
    Unchanged,
    /// It has expired.
    Expired,
    /// The table is full, or the entry is invalid.
    Rejected,
}

/// An entry in the table.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredEntry {
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Value,
    /// Its time to live from its creation, in milliseconds.
    pub ttl_ms: u32,
    /// An upper bound of its age when it was received, in seconds.
    received_age: Time,
    received_at: Time,
    /// How often it has been sent to others.
    transmissions: u32,
    digest: u64,
}

impl StoredEntry {
    /// An upper bound of its age, in seconds.
    pub fn age(&self, now: Time) -> Time {
        self.received_age + (now - self.received_at).max(0.0) / (1.0 - DRIFT)
    }

    /// Its remaining time to live, in seconds.
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

    /// When it expires, in whole microseconds, rounded up.
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

/// The table of entries that a node holds.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<Key, StoredEntry>,
    /// Entries that have to be sent to others, the least often sent first.
    pending: BTreeSet<PendingEntry>,
    /// When entries expire, the first first.
    expiries: BTreeSet<Expiry>,
    /// Number of reports by reporting node.
    reports: BTreeMap<String, usize>,
    /// Expired entries that have not been taken.
    expired: Vec<Key>,
    digests: [u64; PARTITIONS],
}

/// Distinguishes two entries in a comparison of tables, by all but their age.
fn digest(entry: &Entry) -> u64 {
    // Plain values in memory can always be encoded.
    let fields = (&entry.key, entry.version, &entry.value, entry.ttl_ms);
    let bytes = postcard::to_stdvec(&fields).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    u64::from_le_bytes(hash.as_bytes().first_chunk().copied().unwrap_or_default())
}

fn partition(key: &Key) -> usize {
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
    /// Merges an entry whose age is the one at its reception.
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

    /// Lowers the bound of an entry's age, since the entry was received by a faster path as well.
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

    /// Makes sure that there is capacity for a new entry, and returns whether there is. A report is evicted for a manual
    /// entry.
    fn ensure_capacity(&mut self, entry: &Entry) -> bool {
        if let Key::Report { reporter, .. } = &entry.key {
            if self
                .reports
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
            *self.reports.entry(reporter.clone()).or_default() += 1;
        }
        self.digests[partition(&key)] ^= stored.digest;
        self.expiries.insert(stored.expiry(&key));
        self.pending.insert(stored.pending(&key));
        self.entries.insert(key, stored);
    }

    fn remove(&mut self, key: &Key) {
        let Some(stored) = self.entries.remove(key) else {
            return;
        };
        if let Key::Report { reporter, .. } = key {
            self.forget_report(reporter);
        }
        self.digests[partition(key)] ^= stored.digest;
        self.expiries.remove(&stored.expiry(key));
        self.pending.remove(&stored.pending(key));
    }

    fn forget_report(&mut self, reporter: &str) {
        if let Some(n) = self.reports.get_mut(reporter) {
            *n -= 1;
            if *n == 0 {
                self.reports.remove(reporter);
            }
        }
    }

    /// Drops the expired entries. Their keys are stored until they are taken, so that no expiry goes unreported, whichever
    /// call notices it.
    pub fn expire(&mut self, now: Time) {
        let now_us = (now * MICROS_PER_SECOND) as u64;
        let is_over = |expiry: &Expiry| expiry.at_us <= now_us;
        while self.expiries.first().is_some_and(is_over) {
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

    /// When the next entry expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.expiries
            .first()
            .map(|expiry| expiry.at_us as f64 / MICROS_PER_SECOND)
    }

    /// The live entries.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (&Key, &StoredEntry)> {
        self.entries
            .iter()
            .filter(move |(_, stored)| stored.is_live(now))
    }

    /// The live entries from this key on.
    pub fn live_from<'a>(
        &'a self,
        from: &Key,
        now: Time,
    ) -> impl Iterator<Item = (&'a Key, &'a StoredEntry)> {
        self.entries
            .range(from.clone()..)
            .filter(move |(_, stored)| stored.is_live(now))
    }

    /// The entry of a key, if it is live.
    pub fn get(&self, key: &Key, now: Time) -> Option<&StoredEntry> {
        self.entries.get(key).filter(|stored| stored.is_live(now))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether an entry has been sent less often than this.
    pub fn has_pending(&self, max_transmissions: u32) -> bool {
        self.pending
            .first()
            .is_some_and(|pending| pending.transmissions < max_transmissions)
    }

    /// Offers the pending entries to a datagram, the least often sent first. `add` returns whether one fits; it counts as
    /// sent then.
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

    /// The digest of each partition. Partitions with equal digests hold the same entries, up to hash collisions.
    pub fn digests(&self) -> [u64; PARTITIONS] {
        self.digests
    }

    /// The entries of the partitions in which another table has other digests; those that live longest come first.
    pub fn entries_of_differing_partitions(
        &self,
        now: Time,
        digests: &[u64; PARTITIONS],
    ) -> Vec<Entry> {
        let differs = |key: &Key| {
            let partition = partition(key);
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
