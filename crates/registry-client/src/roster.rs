//! The listed servers: those that a registry's entries describe, after conflicts between entries are resolved, and
//! without servers whose return is delayed because they flap.
//!
//! A removal is always immediate. The first return of a server is immediate as well; the second one within
//! [`FLAP_WINDOW`] is delayed by [`INITIAL_RETURN_DELAY`], and each further one twice as long as the one before, up to
//! [`MAX_RETURN_DELAY`].
//!
//! Of several entries with the same name or address, the one that was created last (the greatest `czxid`) is effective:
//! a process that reconnects with a new session has a second entry until the old session expires, and the latest owner
//! of an address is the one that accepts connections there. If the later entry is removed, the earlier one is effective
//! again.
//!
//! | an entry | its server |
//! | --- | --- |
//! | effective, and the return is not delayed | listed, as up or draining |
//! | effective, and the return is delayed | not listed until the delay is over |
//! | not effective, or invalid | not listed, unless another entry of the same name is effective |

use crate::entry::{Entry, EntryError};
use crate::Time;
use std::borrow::Borrow;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::net::SocketAddr;

/// A departure of a server within this time of the previous one counts as flapping, in seconds.
pub const FLAP_WINDOW: Time = 30.0;
/// The delay of a server's second return within the window, in seconds.
pub const INITIAL_RETURN_DELAY: Time = 1.0;
/// Maximum delay of a return, in seconds.
pub const MAX_RETURN_DELAY: Time = 30.0;
/// Maximum number of flap records. A server whose record is evicted returns without delay.
pub const MAX_FLAP_RECORDS: usize = 4096;

/// Maximum number of doublings of the delay, enough to reach [`MAX_RETURN_DELAY`].
const MAX_DOUBLINGS: u32 = 16;
/// The interval at which expired flap records are removed, in seconds.
const SWEEP_INTERVAL: Time = 1.0;

/// A change of the listed servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A server is listed or has changed; this entry describes it.
    Listed(Entry),
    /// The server of this name is no longer listed.
    Removed(String),
}

/// A valid entry.
#[derive(Debug)]
struct StoredEntry {
    czxid: i64,
    entry: Entry,
}

/// The recent departures of a server.
#[derive(Clone, Copy, Debug)]
struct FlapRecord {
    departures: u32,
    last_departure: Time,
    /// The server is not listed before this time.
    delayed_until: Time,
    /// The time of the server's item in [`Roster::delayed`], if it has one.
    scheduled_at: Option<Ticks>,
}

/// An entry in an [`Index`], ordered by creation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct IndexedEntry {
    czxid: i64,
    child: String,
}

impl IndexedEntry {
    fn new(czxid: i64, child: &str) -> Self {
        IndexedEntry {
            czxid,
            child: child.to_owned(),
        }
    }
}

/// The entries that share a name or an address, in the order of their creation.
#[derive(Debug)]
struct Index<K>(HashMap<K, BTreeSet<IndexedEntry>>);

impl<K> Default for Index<K> {
    fn default() -> Self {
        Index(HashMap::new())
    }
}

impl<K: Eq + Hash + Clone> Index<K> {
    fn add(&mut self, key: &K, czxid: i64, child: &str) {
        self.0
            .entry(key.clone())
            .or_default()
            .insert(IndexedEntry::new(czxid, child));
    }

    fn remove(&mut self, key: &K, czxid: i64, child: &str) {
        if let Some(entries) = self.0.get_mut(key) {
            entries.remove(&IndexedEntry::new(czxid, child));
            if entries.is_empty() {
                self.0.remove(key);
            }
        }
    }

    /// The entry that was created last.
    fn latest<Q>(&self, key: &Q) -> Option<&str>
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.0.get(key)?.last().map(|entry| entry.child.as_str())
    }

    fn children(&self, key: &K) -> impl Iterator<Item = &str> {
        self.0
            .get(key)
            .into_iter()
            .flatten()
            .map(|entry| entry.child.as_str())
    }
}

/// The sizes of a roster's collections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RosterSizes {
    /// Valid entries.
    pub entries: usize,
    /// Listed servers.
    pub servers: usize,
    /// Servers with a record of recent departures.
    pub flap_records: usize,
}

/// A server that is listed after a delay, ordered by the time of its return.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DelayedReturn {
    at: Ticks,
    name: String,
}

/// The listed servers; see the module documentation. [`crate::follow`] updates it with the entries of the registry.
#[derive(Debug)]
pub struct Roster {
    entries: HashMap<String, StoredEntry>,
    by_name: Index<String>,
    by_address: Index<SocketAddr>,
    /// The listed servers by name, each as reported by the last [`Change`].
    listed: HashMap<String, Entry>,
    flaps: HashMap<String, FlapRecord>,
    /// The servers whose return is delayed, in the order of their return.
    delayed: BTreeSet<DelayedReturn>,
    /// When expired flap records were last removed.
    last_sweep: Time,
    changes: Vec<Change>,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            entries: HashMap::new(),
            by_name: Index::default(),
            by_address: Index::default(),
            listed: HashMap::new(),
            flaps: HashMap::new(),
            delayed: BTreeSet::new(),
            last_sweep: 0.0,
            changes: Vec::new(),
        }
    }
}

/// A time in whole microseconds; unlike [`Time`], it has a total order.
type Ticks = u64;

fn to_ticks(time: Time) -> Ticks {
    (time * 1e6) as Ticks
}

/// A tick that is later than a time even after rounding.
fn ticks_after(time: Time) -> Ticks {
    to_ticks(time) + 2
}

impl Roster {
    /// Returns the changes since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &Entry> {
        self.listed.values()
    }

    /// The sizes of the collections.
    pub fn sizes(&self) -> RosterSizes {
        RosterSizes {
            entries: self.entries.len(),
            servers: self.listed.len(),
            flap_records: self.flaps.len(),
        }
    }

    /// Adds or updates an entry. An invalid entry counts as removed.
    pub fn update(&mut self, now: Time, child: &str, czxid: i64, entry: Result<Entry, EntryError>) {
        let before = self.remove_entry(child);
        if let Ok(entry) = entry {
            self.by_name.add(&entry.name, czxid, child);
            self.by_address.add(&entry.address, czxid, child);
            self.entries
                .insert(child.to_owned(), StoredEntry { czxid, entry });
        }
        self.reevaluate_related(now, child, before);
    }

    /// Removes an entry.
    pub fn remove(&mut self, now: Time, child: &str) {
        let before = self.remove_entry(child);
        self.reevaluate_related(now, child, before);
    }

    fn remove_entry(&mut self, child: &str) -> Option<Entry> {
        let StoredEntry { czxid, entry } = self.entries.remove(child)?;
        self.by_name.remove(&entry.name, czxid, child);
        self.by_address.remove(&entry.address, czxid, child);
        Some(entry)
    }

    /// Reevaluates all servers that share a name or an address with an entry as it was before or is after a change.
    fn reevaluate_related(&mut self, now: Time, child: &str, before: Option<Entry>) {
        let after = self.entries.get(child).map(|stored| stored.entry.clone());
        let mut names: Vec<String> = Vec::new();
        for entry in before.iter().chain(&after) {
            names.push(entry.name.clone());
            let same_address = self.by_address.children(&entry.address);
            let stored = same_address.filter_map(|child| self.entries.get(child));
            names.extend(stored.map(|stored| stored.entry.name.clone()));
        }
        names.sort_unstable();
        names.dedup();
        // Removals are reported first, so that two servers with the same address are never listed at the same time.
        let (listed, removed): (Vec<String>, Vec<String>) = names
            .into_iter()
            .partition(|name| self.effective_entry(name).is_some());
        for name in removed.iter().chain(&listed) {
            self.reevaluate(now, name);
        }
    }

    /// The effective entry of a name: the latest one with this name, if it is also the latest one with its address.
    fn effective_entry(&self, name: &str) -> Option<&Entry> {
        let child = self.by_name.latest(name)?;
        let entry = &self.entries.get(child)?.entry;
        (self.by_address.latest(&entry.address) == Some(child)).then_some(entry)
    }

    fn reevaluate(&mut self, now: Time, name: &str) {
        let effective = self.effective_entry(name).cloned();
        match (self.listed.get(name), effective) {
            (Some(_), None) => {
                self.listed.remove(name);
                self.record_departure(now, name);
                self.changes.push(Change::Removed(name.to_owned()));
            }
            (Some(listed), Some(entry)) if *listed != entry => self.list(name, entry),
            (None, Some(entry)) => self.list_or_delay(now, name, entry),
            _ => {}
        }
    }

    /// Lists a server that is not listed: at once, or after a delay if it flaps.
    fn list_or_delay(&mut self, now: Time, name: &str, entry: Entry) {
        let flap = self.flaps.get_mut(name);
        let Some(flap) = flap.filter(|flap| now < flap.delayed_until) else {
            return self.list(name, entry);
        };
        let item = |at| DelayedReturn {
            at,
            name: name.to_owned(),
        };
        let at = ticks_after(flap.delayed_until);
        if let Some(replaced) = flap.scheduled_at.replace(at) {
            self.delayed.remove(&item(replaced));
        }
        self.delayed.insert(item(at));
    }

    fn list(&mut self, name: &str, entry: Entry) {
        self.listed.insert(name.to_owned(), entry.clone());
        self.changes.push(Change::Listed(entry));
    }

    /// Records that a server was removed, which may delay its next return. Without the delay, a process that repeatedly
    /// loses its session would receive requests each time, and would flood the balancer with updates.
    fn record_departure(&mut self, now: Time, name: &str) {
        if self.flaps.len() >= MAX_FLAP_RECORDS && !self.flaps.contains_key(name) {
            self.evict_flap_record();
        }
        let flap = self.flaps.entry(name.to_owned()).or_insert(FlapRecord {
            departures: 0,
            last_departure: now,
            delayed_until: now,
            scheduled_at: None,
        });
        flap.departures = if now - flap.last_departure <= FLAP_WINDOW {
            flap.departures.saturating_add(1)
        } else {
            1
        };
        flap.last_departure = now;
        flap.delayed_until = match flap.departures {
            0 | 1 => now,
            departures => {
                let factor = 2u32.saturating_pow((departures - 2).min(MAX_DOUBLINGS));
                now + (INITIAL_RETURN_DELAY * f64::from(factor)).min(MAX_RETURN_DELAY)
            }
        };
    }

    /// Removes the flap record with the oldest departure.
    fn evict_flap_record(&mut self) {
        let oldest = self
            .flaps
            .iter()
            .min_by(|(_, a), (_, b)| a.last_departure.total_cmp(&b.last_departure))
            .map(|(name, _)| name.clone());
        if let Some(name) = oldest {
            self.flaps.remove(&name);
        }
    }

    /// When [`Roster::tick`] has to be called next; `None` if no return is delayed.
    pub fn deadline(&self) -> Option<Time> {
        // One tick later, so that rounding does not make the deadline too early.
        self.delayed
            .first()
            .map(|delayed| (delayed.at + 1) as f64 / 1e6)
    }

    /// Lists the servers whose delay has passed, and removes expired flap records.
    pub fn tick(&mut self, now: Time) {
        while let Some(delayed) = self.delayed.first() {
            if delayed.at > to_ticks(now) {
                break;
            }
            let Some(DelayedReturn { name, .. }) = self.delayed.pop_first() else {
                break;
            };
            if let Some(flap) = self.flaps.get_mut(&name) {
                flap.scheduled_at = None;
            }
            self.reevaluate(now, &name);
        }
        // Not at every call, since there may be thousands of calls per second.
        if now - self.last_sweep >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.flaps
                .retain(|_, flap| now - flap.last_departure <= FLAP_WINDOW);
        }
    }
}
