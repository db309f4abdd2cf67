//! Which servers the entries make.
//!
//! Removal is immediate, always. Admission waits where a server has come and gone too often: a first return is taken at
//! its word, each further one within [`WINDOW`] waits twice as long as the one before, up to [`HOLD_MOST`].
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

use crate::entry::{Entry, EntryFault};
use crate::Time;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::net::SocketAddr;

/// Returns of one server within this time, in seconds, count together.
pub const WINDOW: Time = 30.0;
/// How long the second return within the window waits, in seconds.
pub const HOLD: Time = 1.0;
/// The longest that a return waits.
pub const HOLD_MOST: Time = 30.0;
/// Most servers of which returns are counted beside those that are listed. One that is forgotten returns at once.
pub const FLAPS_MOST: usize = 4096;

/// What became of a server.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It is there, as the entry says.
    There(Entry),
    /// Nothing new may go there from now on.
    Gone(String),
}

#[derive(Debug)]
struct Known {
    czxid: i64,
    entry: Entry,
}

#[derive(Clone, Copy, Debug)]
struct Flap {
    returns: u32,
    /// When it last went.
    went: Time,
    /// It may return then.
    until: Time,
    /// Its place among those that wait; one for each name, however often it comes and goes.
    queued: Option<u64>,
}

/// Entries by what they have in common, the one that was made last at the end.
#[derive(Debug)]
struct Index<K>(HashMap<K, BTreeSet<(i64, String)>>);

impl<K: Eq + Hash + Clone> Index<K> {
    fn add(&mut self, key: &K, czxid: i64, child: &str) {
        self.0.entry(key.clone()).or_default().insert((czxid, child.to_owned()));
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

/// See the module.
#[derive(Debug)]
pub struct Roster {
    entries: HashMap<String, Known>,
    names: Index<String>,
    addresses: Index<SocketAddr>,
    /// What was told last of each server that is there.
    told: HashMap<String, Entry>,
    flaps: HashMap<String, Flap>,
    /// Names that wait, by when their time comes.
    waiting: BTreeSet<(u64, String)>,
    /// When what is over was forgotten last.
    swept: Time,
    changes: Vec<Change>,
}

impl Default for Roster {
    fn default() -> Self {
        Roster {
            entries: HashMap::new(),
            names: Index(HashMap::new()),
            addresses: Index(HashMap::new()),
            told: HashMap::new(),
            flaps: HashMap::new(),
            waiting: BTreeSet::new(),
            swept: 0.0,
            changes: Vec::new(),
        }
    }
}

/// Times as keys: whole microseconds that have passed.
fn key(at: Time) -> u64 {
    (at * 1e6) as u64
}

/// The key from which on a time has surely passed, whatever was lost in counting.
fn past(at: Time) -> u64 {
    key(at) + 2
}

impl Roster {
    /// What has changed since this was last asked, in its order.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The servers that are there.
    pub fn there(&self) -> impl Iterator<Item = &Entry> {
        self.told.values()
    }

    /// Entries that are held, servers that are there, and servers of which returns are counted.
    pub fn size(&self) -> (usize, usize, usize) {
        (self.entries.len(), self.told.len(), self.flaps.len())
    }

    /// An entry has been read. One that can't be used is as good as none.
    pub fn see(&mut self, now: Time, child: &str, czxid: i64, entry: Result<Entry, EntryFault>) {
        let before = self.take_out(child);
        if let Ok(entry) = entry {
            self.names.add(&entry.name, czxid, child);
            self.addresses.add(&entry.address, czxid, child);
            self.entries.insert(child.to_owned(), Known { czxid, entry });
        }
        self.settle(now, child, before);
    }

    /// An entry is gone.
    pub fn gone(&mut self, now: Time, child: &str) {
        let before = self.take_out(child);
        self.settle(now, child, before);
    }

    fn take_out(&mut self, child: &str) -> Option<Entry> {
        let Known { czxid, entry } = self.entries.remove(child)?;
        self.names.remove(&entry.name, czxid, child);
        self.addresses.remove(&entry.address, czxid, child);
        Some(entry)
    }

    /// Looks again at all servers that an entry has to do with, as it was and as it is.
    fn settle(&mut self, now: Time, child: &str, before: Option<Entry>) {
        let after = self.entries.get(child).map(|k| k.entry.clone());
        let mut names: Vec<String> = Vec::new();
        for entry in before.iter().chain(&after) {
            names.push(entry.name.clone());
            // Those that share its address, whatever their names are.
            let sharing = self.addresses.0.get(&entry.address).into_iter().flatten();
            names.extend(sharing.filter_map(|(_, c)| Some(self.entries.get(c)?.entry.name.clone())));
        }
        names.sort_unstable();
        names.dedup();
        // What ends is told before what begins: a server that takes another's address is not told beside it.
        let (stay, end): (Vec<String>, Vec<String>) =
            names.into_iter().partition(|n| self.counting(n).is_some());
        end.iter().chain(&stay).for_each(|name| self.look(now, name));
    }

    /// The entry that counts for a name: the last of its name, if it is the last of its address too.
    fn counting(&self, name: &str) -> Option<&Entry> {
        let child = self.names.0.get(name)?.last().map(|(_, child)| child.as_str())?;
        let entry = &self.entries.get(child)?.entry;
        (self.addresses.last(&entry.address) == Some(child)).then_some(entry)
    }

    fn look(&mut self, now: Time, name: &str) {
        let counting = self.counting(name).cloned();
        match (self.told.get(name), counting) {
            (Some(_), None) => {
                self.told.remove(name);
                self.flapped(now, name);
                self.changes.push(Change::Gone(name.to_owned()));
            }
            (Some(told), Some(entry)) if *told != entry => self.tell(name, entry),
            (None, Some(entry)) => match self.flaps.get_mut(name).filter(|f| now < f.until) {
                Some(flap) => {
                    let at = past(flap.until);
                    if let Some(old) = flap.queued.replace(at) {
                        self.waiting.remove(&(old, name.to_owned()));
                    }
                    self.waiting.insert((at, name.to_owned()));
                }
                None => self.tell(name, entry),
            },
            _ => {}
        }
    }

    fn tell(&mut self, name: &str, entry: Entry) {
        self.told.insert(name.to_owned(), entry.clone());
        self.changes.push(Change::There(entry));
    }

    /// A server has gone: its next return may have to wait.
    ///
    /// Guards against an entry that comes and goes several times a second, each return of which would give a server
    /// new work, flood the module with news, and end again. It ought to catch processes that lose their session over
    /// and over. Harm: a server that was restarted twice within the window waits for a second or two.
    fn flapped(&mut self, now: Time, name: &str) {
        if self.flaps.len() >= FLAPS_MOST && !self.flaps.contains_key(name) {
            let oldest =
                self.flaps.iter().min_by(|a, b| a.1.went.total_cmp(&b.1.went)).map(|(n, _)| n.clone());
            oldest.and_then(|n| self.flaps.remove(&n));
        }
        let flap = self.flaps.entry(name.to_owned()).or_insert(Flap {
            returns: 0,
            went: now,
            until: now,
            queued: None,
        });
        flap.returns = if now - flap.went <= WINDOW { flap.returns.saturating_add(1) } else { 1 };
        flap.went = now;
        flap.until = match flap.returns {
            0 | 1 => now,
            n => now + (HOLD * f64::from(2u32.saturating_pow((n - 2).min(16)))).min(HOLD_MOST),
        };
    }

    /// When [`Roster::tick`] has something to do.
    pub fn deadline(&self) -> Option<Time> {
        // Not before it, lest a look too early find nothing to do.
        self.waiting.first().map(|(at, _)| (*at + 1) as f64 / 1e6)
    }

    /// Time has passed: servers whose wait is over are there again.
    pub fn tick(&mut self, now: Time) {
        while self.waiting.first().is_some_and(|(at, _)| *at <= key(now)) {
            let Some((_, name)) = self.waiting.pop_first() else { break };
            if let Some(flap) = self.flaps.get_mut(&name) {
                flap.queued = None;
            }
            self.look(now, &name);
        }
        // Not at each tick: news may come thousands of times a second.
        if now - self.swept >= 1.0 {
            self.swept = now;
            self.flaps.retain(|_, f| now - f.went <= WINDOW);
        }
    }
}
