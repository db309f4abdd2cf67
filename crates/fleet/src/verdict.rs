//! What nodes tell one another.
//!
//! | verdict | owner | ends |
//! | --- | --- | --- |
//! | [`Word::Report`] | the node that saw it | after [`REPORT_MOST`] at most, or with a newer one of its owner |
//! | [`Word::Out`] | the call of an operator | when its time is over, or with a lift of that call |
//! | [`Word::Lifted`] | the same call | [`HAND_MOST`] after the lift: no ban lasts longer, so none comes back |
//! | [`Word::Leaving`] | the node that leaves | with that life of the node, after [`LEAVING_MOST`] at most |
//! | [`Word::Index`] | nobody: the greatest counts | [`INDEX_MOST`] after it was seen |
//!
//! A verdict about a server is about one start of it. A ban names the server alone: operators mean the machine.
//!
//! Merging takes the greater of two by a total order ([`Entry::rank`], then the smaller age), so that it is commutative,
//! associative and idempotent. A lift is greater than anything else of its call: a ban that was lifted never counts
//! again, however late it comes. A ban that an operator makes anew is another call, and no older lift covers it.

use crate::node::{Life, NAME_MOST};
use crate::Time;
use serde::{Deserialize, Serialize};

/// The longest that a report of a server counts, in seconds.
pub const REPORT_MOST: Time = 60.0;
/// The longest that a ban or a lift counts, in seconds: a week.
pub const HAND_MOST: Time = 7.0 * 86_400.0;
/// The longest that the word of a node that leaves counts, in seconds.
pub const LEAVING_MOST: Time = 3600.0;
/// The longest that an index of a list counts, in seconds.
pub const INDEX_MOST: Time = 600.0;

/// One start of a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerStart {
    /// Its name, as in the list.
    pub name: String,
    /// Since when it has been taking requests, in milliseconds, as its list tells it; 0 for long ago.
    pub since: u64,
}

/// One call of an operator at one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Call {
    /// The node that was called.
    pub node: String,
    /// Its life.
    pub life: Life,
    /// Which call of that life.
    pub number: u32,
}

/// What a verdict is about, and whose it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A server was sent out by hand.
    Hand {
        /// Its name.
        server: String,
        /// By which call.
        call: Call,
    },
    /// What one node has seen of a server.
    Report {
        /// The server.
        server: ServerStart,
        /// The node.
        by: String,
    },
    /// A node is on its way out.
    Leaving {
        /// Its name.
        node: String,
        /// Which life of it: no other.
        life: Life,
    },
    /// The newest index of a list.
    Index {
        /// The list's name.
        list: String,
    },
}

/// What a node has seen of a server, the strongest evidence last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// It answers in time.
    Well,
    /// It fell over while it was cold, or turned work away.
    Tipped,
    /// It could not be reached: that may be the way there.
    Unreached,
    /// It was reached and answered too slowly.
    Slow,
    /// It was reached and said nothing.
    Silent,
    /// It was reached and failed.
    Failing,
    /// What was said of it before was wrong: it answered after all. Counts for nothing, and takes the place of that.
    Unclear,
}

impl Finding {
    /// Whether it tells against the server.
    pub fn finds_fault(self) -> bool {
        !matches!(self, Finding::Well | Finding::Unclear)
    }
}

/// Evidence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// What it comes to.
    pub finding: Finding,
    /// Attempts that tell of it, each a request of its own.
    pub bad: u16,
    /// Attempts in the same time that were answered well.
    pub good: u16,
    /// The zone of the node that saw it; empty for none.
    pub zone: String,
    /// How many servers that node finds fault with.
    pub accused: u16,
    /// How many it knows.
    pub listed: u16,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Word {
    /// See [`Report`].
    Report(Report),
    /// Nothing new goes to the server.
    Out {
        /// Who said so.
        by: String,
    },
    /// The ban of this call is over.
    Lifted {
        /// Who said so.
        by: String,
    },
    /// Nothing new goes to the node.
    Leaving,
    /// See [`Key::Index`]; the index is the version.
    Index,
}

/// Which of an owner's words on one subject is the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The owner's life.
    pub life: Life,
    /// Counted within it.
    pub n: u64,
}

/// A verdict as one node tells it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// What it is about, and whose it is.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// What is said.
    pub word: Word,
    /// How long it counts, in milliseconds from its making.
    pub lasts_ms: u32,
    /// How old it is at most, in microseconds.
    pub age_us: u64,
}

impl Entry {
    /// How old it is at most, in seconds.
    pub fn age(&self) -> Time {
        self.age_us as f64 / 1e6
    }

    /// How long it counts, in seconds.
    pub fn lasts(&self) -> Time {
        f64::from(self.lasts_ms) / 1e3
    }

    /// The order of verdicts with one key, but for their ages.
    pub fn rank(&self) -> (bool, Version, &Word, u32) {
        (matches!(self.word, Word::Lifted { .. }), self.version, &self.word, self.lasts_ms)
    }

    /// Whether it is one that a node can have made: names within their bounds, a word that fits its subject, an end.
    ///
    /// Guards the table against words that would count too long or take too much room. Harm: none; this program makes
    /// no others.
    pub fn is_sound(&self) -> bool {
        let named = |names: &[&String]| names.iter().all(|n| !n.is_empty() && n.len() <= NAME_MOST);
        let (fits, most) = match (&self.key, &self.word) {
            (Key::Report { server, by }, Word::Report(r)) => {
                (named(&[&server.name, by]) && r.zone.len() <= NAME_MOST, REPORT_MOST)
            }
            (Key::Hand { server, call }, Word::Out { by } | Word::Lifted { by }) => {
                (named(&[server, &call.node]) && by.len() <= NAME_MOST, HAND_MOST)
            }
            (Key::Leaving { node, .. }, Word::Leaving) => (named(&[node]), LEAVING_MOST),
            (Key::Index { list }, Word::Index) => (named(&[list]), INDEX_MOST),
            _ => (false, 0.0),
        };
        fits && self.lasts() <= most
    }

    /// Made by hand: it outranks what nodes have learned.
    pub fn by_hand(&self) -> bool {
        matches!(self.key, Key::Hand { .. } | Key::Leaving { .. })
    }
}
