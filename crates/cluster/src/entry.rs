//! The entries that nodes replicate.
//!
//! | value | owner | expires |
//! | --- | --- | --- |
//! | [`Value::Report`] | the node that reports | after [`MAX_REPORT_TTL`] at most, or with a newer one of its owner |
//! | [`Value::Banned`] | the admin call of an operator | with its time to live, or when that ban is lifted |
//! | [`Value::BanLifted`] | the same ban | [`MAX_BAN_TTL`] after the lift: no ban lasts longer, so none comes back |
//! | [`Value::Leaving`] | the node that leaves | with that incarnation of the node, after [`MAX_LEAVING_TTL`] at most |
//! | [`Value::ListIndex`] | nobody: the greatest counts | [`MAX_INDEX_TTL`] after it was seen |
//!
//! A report on a server is about one instance of it. A ban names the server alone: operators mean the machine.
//!
//! Merging takes the greater of two entries by a total order ([`Entry::precedence`], then the smaller age), so that it is
//! commutative, associative and idempotent. [`Value::BanLifted`] is a tombstone: it is greater than anything else of its
//! ban, so that a lifted ban never counts again, however late it comes. A ban that an operator repeats is another ban, and
//! no older tombstone covers it.

use crate::node::{Incarnation, MAX_NAME_LEN};
use crate::{Time, MICROS_PER_SECOND, MILLIS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// Maximum time to live of a report on a server, in seconds.
pub const MAX_REPORT_TTL: Time = 60.0;
/// Maximum time to live of a ban or its tombstone, in seconds: a week.
pub const MAX_BAN_TTL: Time = 7.0 * 86_400.0;
/// Maximum time to live of the notice of a leaving node, in seconds.
pub const MAX_LEAVING_TTL: Time = 3600.0;
/// Maximum time to live of the index of a list, in seconds.
pub const MAX_INDEX_TTL: Time = 600.0;

/// One instance of a server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Its name, as in the list.
    pub name: String,
    /// When it began to take requests, in milliseconds, as its list tells it; 0 for long ago.
    pub started_ms: u64,
}

/// The identity of a ban: one admin call of an operator at one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BanId {
    /// The node that was called.
    pub node: String,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts the calls of that incarnation.
    pub number: u32,
}

/// The subject and the owner of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A ban of a server by an operator.
    Ban {
        /// The name of the server.
        server: String,
        /// The ban.
        id: BanId,
    },
    /// One node's report on a server.
    Report {
        /// The server.
        server: ServerInstance,
        /// The reporting node.
        reporter: String,
    },
    /// A node that is leaving.
    Leaving {
        /// Its name.
        node: String,
        /// The leaving incarnation, and no other.
        incarnation: Incarnation,
    },
    /// The latest index of a list.
    ListIndex {
        /// The list's name.
        list: String,
    },
}

impl Key {
    /// The smallest key in the order of keys.
    pub fn first() -> Key {
        Key::first_ban(String::new())
    }

    /// The smallest key of a ban of this server.
    pub fn first_ban(server: String) -> Key {
        let id = BanId {
            node: String::new(),
            incarnation: Incarnation::default(),
            number: 0,
        };
        Key::Ban { server, id }
    }

    /// The smallest key of a report.
    pub fn first_report() -> Key {
        let server = ServerInstance {
            name: String::new(),
            started_ms: 0,
        };
        Key::Report {
            server,
            reporter: String::new(),
        }
    }
}

/// What a node has found out about a server, the strongest evidence last. The names are part of the admin output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// It answers in time.
    Well,
    /// It broke down while it was cold, or shed load.
    Tipped,
    /// It was unreachable: that may be due to the path.
    Unreached,
    /// It was reached and answered too slowly.
    Slow,
    /// It was reached and did not answer.
    Silent,
    /// It was reached and failed.
    Failing,
    /// The previous report was wrong: its attempts were answered after all, or have ended without an outcome. Counts for
    /// nothing, and replaces that report.
    Unclear,
}

impl Report {
    /// Whether the server has responded to the reporting node.
    pub fn shows_response(&self) -> bool {
        self.finding == Finding::Well || (self.finding == Finding::Unclear && self.successes > 0)
    }
}

impl Finding {
    /// Whether it counts against the server.
    pub fn is_fault(self) -> bool {
        !matches!(self, Finding::Well | Finding::Unclear)
    }
}

/// A node's report on a server, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// The finding.
    pub finding: Finding,
    /// Number of failed attempts, each a request of its own.
    pub failures: u16,
    /// Number of successful attempts in the same time; of an unclear finding, 1 if its attempts were answered after all.
    pub successes: u16,
    /// The zone of the reporting node; empty for none.
    pub zone: String,
    /// Number of servers that the node finds faulty.
    pub faulty_servers: u16,
    /// Number of servers that it knows.
    pub listed_servers: u16,
}

/// The value of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// See [`Report`].
    Report(Report),
    /// No new requests go to the server.
    Banned {
        /// The operator.
        operator: String,
    },
    /// Tombstone: the ban was lifted.
    BanLifted {
        /// The operator.
        operator: String,
    },
    /// No new requests go to the node.
    Leaving,
    /// See [`Key::ListIndex`]; the index is the version.
    ListIndex,
}

/// Orders an owner's values of one key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The owner's incarnation.
    pub incarnation: Incarnation,
    /// Counted within it.
    pub sequence: u64,
}

/// An entry as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its subject and owner.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Value,
    /// Its time to live from its creation, in milliseconds.
    pub ttl_ms: u32,
    /// An upper bound of its age, in microseconds.
    pub age_us: u64,
}

/// The order of entries with the same key, whatever their ages: of two, the greater one is retained. A lifted ban comes
/// before any version of the ban.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence<'a> {
    is_lifted_ban: bool,
    version: Version,
    value: &'a Value,
    ttl_ms: u32,
}

impl<'a> Precedence<'a> {
    pub(crate) fn new(version: Version, value: &'a Value, ttl_ms: u32) -> Self {
        Precedence {
            is_lifted_ban: matches!(value, Value::BanLifted { .. }),
            version,
            value,
            ttl_ms,
        }
    }
}

impl Entry {
    /// An upper bound of its age, in seconds.
    pub fn age(&self) -> Time {
        self.age_us as f64 / MICROS_PER_SECOND
    }

    /// Its time to live, in seconds.
    pub fn ttl(&self) -> Time {
        f64::from(self.ttl_ms) / MILLIS_PER_SECOND
    }

    /// Its precedence over entries with the same key.
    pub fn precedence(&self) -> Precedence<'_> {
        Precedence::new(self.version, &self.value, self.ttl_ms)
    }

    /// Whether it is within the limits of entries that nodes create: names of allowed lengths, a value that fits its key, a
    /// limited time to live.
    pub fn is_valid(&self) -> bool {
        let are_names = |names: &[&String]| {
            names
                .iter()
                .all(|name| !name.is_empty() && name.len() <= MAX_NAME_LEN)
        };
        let (fits, max_ttl) = match (&self.key, &self.value) {
            (Key::Report { server, reporter }, Value::Report(report)) => (
                are_names(&[&server.name, reporter]) && report.zone.len() <= MAX_NAME_LEN,
                MAX_REPORT_TTL,
            ),
            (
                Key::Ban { server, id },
                Value::Banned { operator } | Value::BanLifted { operator },
            ) => (
                are_names(&[server, &id.node]) && operator.len() <= MAX_NAME_LEN,
                MAX_BAN_TTL,
            ),
            (Key::Leaving { node, .. }, Value::Leaving) => (are_names(&[node]), MAX_LEAVING_TTL),
            (Key::ListIndex { list }, Value::ListIndex) => (are_names(&[list]), MAX_INDEX_TTL),
            _ => (false, 0.0),
        };
        fits && self.ttl() <= max_ttl
    }

    /// Whether an operator's call created it, directly or indirectly: it outranks what nodes have observed.
    pub fn is_manual(&self) -> bool {
        matches!(self.key, Key::Ban { .. } | Key::Leaving { .. })
    }
}
