//! The servers that the entries of a registry describe.
//!
//! Removal is immediate, always. Admission waits where a server has come and gone too often: a first return is
//! accepted at once, each further one within [`WINDOW`] waits twice as long as the one before, up to [`HOLD_MOST`].
//!
//! Of two entries with one name or one address, the one that was made last counts (the greatest `czxid`): a process that
//! has come back with a new session stands beside its old entry until the registry has noticed; and whoever holds an
//! address now is the one that answers there. With the younger gone, the older counts again.
//!
//! | an entry | its server |
//! | --- | --- |
//! | counts, and its name does not wait | up, or draining if it says so |
//! | counts, and its name waits | gone, until its time has come |
//! | does not count, or can't be used | gone, unless another with its name counts |

use crate::entry::{Entry, EntryError};
use crate::Time;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::net::SocketAddr;

/// Returns of one server within this time, in seconds, count together.
pub const WINDOW: Time = 30.0;
/// How long the second return within the window is held back, in seconds.
pub const HOLD: Time = 1.0;
/// The longest time that a return is held back, in seconds.
pub const HOLD_MOST: Time = 30.0;
/// Maximum number of servers whose departures are counted. One that is dropped returns at once.
pub const FLAPS_MOST: usize = 4096;

/// A change of a server.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It is listed, as this entry describes it.
    Listed(Entry),
    /// It is not listed any more, and gets no new requests.
    Removed(String),
}

#[derive(Debug)]
struct StoredEntry {
    czxid: i64,
    entry: Entry,
}

#[derive(Clone, Copy, Debug)]
struct FlapRecord {
    departures: u32,
    last_departure: Time,
    /// When the server may return.
    hold_until: Time,
    /// Its key among the waiting servers; one for each name, however often it comes and goes.
    waiting_key: Option<u64>,
}

/// The entries with the same key, the one that was created last at the end.
#[derive(Debug)]
struct Index<K>(HashMap<K, BTreeSet<(i64, String)>>);

impl<K: Eq + Hash + Clone> Index<K> {
    fn add(&mut self, key: &K, czxid: i64, child: &str) {
        self.0
            .entry(key.clone())
            .or_default()
            .insert((czxid, child.to_owned()));
    }

    fn remove(&mut self, key: &K, czxid: i64, child: &str) {
        if let Some(set) = self.0.get_mut(key) {
            set.remove(&(czxid, child.to_owned()));
            if set.is_empty() {
                self.0.remove(key);
            }
        }
    }

    fn last(&self, key: &K) -> Option<&str> {
        self.0.get(key)?.last().map(|(_, child)| child.as_str())
    }
}

/// The listed servers, kept up to date with the entries; see the module.
#[derive(Debug)]
pub struct Roster {
    entries: HashMap<String, StoredEntry>,
    names: Index<String>,
    addresses: Index<SocketAddr>,
    /// The entry that was reported last of each listed server.
    listed: HashMap<String, Entry>,
    flaps: HashMap<String, FlapRecord>,
    /// Names of servers whose return is held back, by when it is accepted.
    waiting: BTreeSet<(u64, String)>,
    /// When old flap records were removed last.
    last_sweep: Time,
    changes: Vec<Change>,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            entries: HashMap::new(),
            names: Index(HashMap::new()),
            addresses: Index(HashMap::new()),
            listed: HashMap::new(),
            flaps: HashMap::new(),
            waiting: BTreeSet::new(),
            last_sweep: 0.0,
            changes: Vec::new(),
        }
    }
}

/// Times as keys: whole microseconds that have passed.
fn to_key(at: Time) -> u64 {
    (at * 1e6) as u64
}

/// The key from which on a time has surely passed, whatever was lost in counting.
fn key_after(at: Time) -> u64 {
    to_key(at) + 2
}

impl Roster {
    /// Returns the changes since the last call, in their order.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &Entry> {
        self.listed.values()
    }

    /// Numbers of entries, of listed servers, and of servers whose departures are counted.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.entries.len(), self.listed.len(), self.flaps.len())
    }

    /// Adds or updates an entry. An invalid one counts as missing.
    pub fn update(&mut self, now: Time, child: &str, czxid: i64, entry: Result<Entry, EntryError>) {
        let before = self.remove_entry(child);
        if let Ok(entry) = entry {
            self.names.add(&entry.name, czxid, child);
            self.addresses.add(&entry.address, czxid, child);
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
        self.names.remove(&entry.name, czxid, child);
        self.addresses.remove(&entry.address, czxid, child);
        Some(entry)
    }

    /// Reevaluates all servers that share a name or an address with an entry, as it was and as it is.
    fn reevaluate_related(&mut self, now: Time, child: &str, before: Option<Entry>) {
        let after = self.entries.get(child).map(|k| k.entry.clone());
        let mut names: Vec<String> = Vec::new();
        for entry in before.iter().chain(&after) {
            names.push(entry.name.clone());
            // Those that share its address, whatever their names are.
            let sharing = self.addresses.0.get(&entry.address).into_iter().flatten();
            names
                .extend(sharing.filter_map(|(_, c)| Some(self.entries.get(c)?.entry.name.clone())));
        }
        names.sort_unstable();
        names.dedup();
        // Removals are reported before additions: a server that takes another's address is not listed beside it.
        let (listed, removed): (Vec<String>, Vec<String>) = names
            .into_iter()
            .partition(|n| self.effective_entry(n).is_some());
        removed
            .iter()
            .chain(&listed)
            .for_each(|name| self.reevaluate(now, name));
    }

    /// The entry in force for a name: the last one of this name, if it is the last one of its address too.
    fn effective_entry(&self, name: &str) -> Option<&Entry> {
        let child = self
            .names
            .0
            .get(name)?
            .last()
            .map(|(_, child)| child.as_str())?;
        let entry = &self.entries.get(child)?.entry;
        (self.addresses.last(&entry.address) == Some(child)).then_some(entry)
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
            (None, Some(entry)) => match self.flaps.get_mut(name).filter(|f| now < f.hold_until) {
                Some(flap) => {
                    let at = key_after(flap.hold_until);
                    if let Some(old) = flap.waiting_key.replace(at) {
                        self.waiting.remove(&(old, name.to_owned()));
                    }
                    self.waiting.insert((at, name.to_owned()));
                }
                None => self.list(name, entry),
            },
            _ => {}
        }
    }

    fn list(&mut self, name: &str, entry: Entry) {
        self.listed.insert(name.to_owned(), entry.clone());
        self.changes.push(Change::Listed(entry));
    }

    /// Records that a server was removed: its next return may be held back.
    ///
    /// Guards against an entry that comes and goes several times a second, each return of which would give a server
    /// new work, flood the module with news, and end again. It ought to catch processes that lose their session over
    /// and over. Harm: a server that was restarted twice within the window waits for a second or two.
    fn record_departure(&mut self, now: Time, name: &str) {
        if self.flaps.len() >= FLAPS_MOST && !self.flaps.contains_key(name) {
            let oldest = self
                .flaps
                .iter()
                .min_by(|a, b| a.1.last_departure.total_cmp(&b.1.last_departure))
                .map(|(n, _)| n.clone());
            oldest.and_then(|n| self.flaps.remove(&n));
        }
        let flap = self.flaps.entry(name.to_owned()).or_insert(FlapRecord {
            departures: 0,
            last_departure: now,
            hold_until: now,
            waiting_key: None,
        });
        flap.departures = if now - flap.last_departure <= WINDOW {
            flap.departures.saturating_add(1)
        } else {
            1
        };
        flap.last_departure = now;
        flap.hold_until = match flap.departures {
            0 | 1 => now,
            n => now + (HOLD * f64::from(2u32.saturating_pow((n - 2).min(16)))).min(HOLD_MOST),
        };
    }

    /// When [`Roster::tick`] has to be called next.
    pub fn deadline(&self) -> Option<Time> {
        // Not before it, lest a look too early find nothing to do.
        self.waiting.first().map(|(at, _)| (*at + 1) as f64 / 1e6)
    }

    /// Lists the servers whose return is not held back any more.
    pub fn tick(&mut self, now: Time) {
        while self
            .waiting
            .first()
            .is_some_and(|(at, _)| *at <= to_key(now))
        {
            let Some((_, name)) = self.waiting.pop_first() else {
                break;
            };
            if let Some(flap) = self.flaps.get_mut(&name) {
                flap.waiting_key = None;
            }
            self.reevaluate(now, &name);
        }
        // Not at each tick: news may come thousands of times a second.
        if now - self.last_sweep >= 1.0 {
            self.last_sweep = now;
            self.flaps.retain(|_, f| now - f.last_departure <= WINDOW);
        }
    }
}
