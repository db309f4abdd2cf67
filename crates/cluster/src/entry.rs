//! The entries that nodes replicate.
//!
//! | value | owner | expires |
//! | --- | --- | --- |
//! | [`Value::Report`] | the reporting node | after [`MAX_REPORT_TTL`] at most, or when its owner replaces it |
//! | [`Value::Banned`] | the admin call that created the ban | after its time to live, or when that ban is lifted |
//! | [`Value::BanLifted`] | the same ban | [`MAX_BAN_TTL`] after the lift: every version of the ban has expired by then |
//! | [`Value::Leaving`] | the leaving node | after [`MAX_LEAVING_TTL`]; it applies to one incarnation of the node |
//! | [`Value::ListIndex`] | none: the greatest index wins | [`MAX_INDEX_TTL`] after it was seen |
//!
//! A report is about one instance of a server. A ban applies to every instance: operators mean the machine.
//!
//! Merging keeps the greater of two entries by a total order ([`Entry::precedence`], then the smaller age), so that it
//! is commutative, associative and idempotent. [`Value::BanLifted`] is a tombstone: it takes precedence over every
//! version of its ban, so that a lifted ban is not applied again, however late a datagram with it arrives. If an
//! operator bans the server again, that is another ban, which no older tombstone covers.

use crate::node::{Incarnation, MAX_NAME_LEN};
use crate::{Time, MICROS_PER_SECOND, MILLIS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// Maximum time to live of a report on a server, in seconds.
pub const MAX_REPORT_TTL: Time = 60.0;
/// Maximum time to live of a ban or its tombstone, in seconds (a week).
pub const MAX_BAN_TTL: Time = 7.0 * 86_400.0;
/// Maximum time to live of the notice that a node is leaving, in seconds.
pub const MAX_LEAVING_TTL: Time = 3600.0;
/// Maximum time to live of the index of an endpoint list, in seconds.
pub const MAX_INDEX_TTL: Time = 600.0;

/// One instance of a server, from its start to its end. A restarted server is another instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's name in the endpoint list.
    pub name: String,
    /// When it began to accept requests, in milliseconds, according to the endpoint list; 0 if that was long ago.
    pub started_ms: u64,
}

/// Identifies a ban by the admin call that created it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BanId {
    /// The name of the node that received the call.
    pub node: String,
    /// The incarnation of that node at the time of the call.
    pub incarnation: Incarnation,
    /// The number of the ban, counted by the process that received the call.
    pub number: u32,
}

/// The subject and the owner of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// A ban of a server by an operator.
    Ban {
        /// The name of the banned server.
        server: String,
        /// Distinguishes several bans of one server.
        id: BanId,
    },
    /// One node's report on a server.
    Report {
        /// The instance that the report is about.
        server: ServerInstance,
        /// The name of the reporting node.
        reporter: String,
    },
    /// A node that is leaving.
    Leaving {
        /// The node's name.
        node: String,
        /// The incarnation that is leaving; later ones are not.
        incarnation: Incarnation,
    },
    /// The latest index of an endpoint list that any node has seen.
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

    /// The smallest possible key of a ban of this server.
    pub fn first_ban(server: String) -> Key {
        let id = BanId {
            node: String::new(),
            incarnation: Incarnation::default(),
            number: 0,
        };
        Key::Ban { server, id }
    }

    /// The smallest possible key of a report.
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

/// What a node has observed of a server, in the order of increasing evidence. The admin output prints the variant
/// names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Finding {
    /// The server answers in time.
    Well,
    /// The server rejected requests in order to shed load.
    Tipped,
    /// No connection could be established; the cause may be the network path.
    Unreached,
    /// The server was reached and answered too late.
    Slow,
    /// The server was reached and did not answer.
    Silent,
    /// The server was reached and failed.
    Failing,
    /// Withdraws the previous report, whose attempts were answered after all or ended without an outcome. It is no
    /// vote.
    Unclear,
}

impl Report {
    /// Whether the server has responded to the reporting node.
    pub fn shows_response(&self) -> bool {
        self.finding == Finding::Well || (self.finding == Finding::Unclear && self.successes > 0)
    }
}

impl Finding {
    /// Whether this finding counts against the server.
    pub fn is_fault(self) -> bool {
        !matches!(self, Finding::Well | Finding::Unclear)
    }
}

/// A node's report on a server, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Report {
    /// What the evidence leads to.
    pub finding: Finding,
    /// Number of failed attempts, each of another request.
    pub failures: u16,
    /// Number of successful attempts in the same window. With [`Finding::Unclear`]: 1 if the server has responded after
    /// all.
    pub successes: u16,
    /// The zone of the reporting node; empty for none.
    pub zone: String,
    /// Number of servers that the reporting node finds faulty.
    pub faulty_servers: u16,
    /// Number of servers in the reporting node's endpoint lists.
    pub listed_servers: u16,
}

/// The value of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// A report on a server.
    Report(Report),
    /// The server receives no new requests.
    Banned {
        /// Who banned the server.
        operator: String,
    },
    /// A tombstone: the ban was lifted.
    BanLifted {
        /// Who lifted the ban.
        operator: String,
    },
    /// The node is leaving and takes no new requests.
    Leaving,
    /// See [`Key::ListIndex`]; the index is the sequence number of the entry's version.
    ListIndex,
}

/// Orders the values that an owner has published under one key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The owner's incarnation when it published the value.
    pub incarnation: Incarnation,
    /// Increases with each entry that the owner publishes.
    pub sequence: u64,
}

/// An entry as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Subject and owner of the entry.
    pub key: Key,
    /// Orders this value among those of the same key.
    pub version: Version,
    /// What the owner states.
    pub value: Value,
    /// Time to live from the creation of the entry, in milliseconds.
    pub ttl_ms: u32,
    /// An upper bound of the entry's age when it was sent, in microseconds.
    pub age_us: u64,
}

/// The order of entries with the same key, regardless of their ages: of two, the greater one is kept. A lifted ban is
/// greater than any version of the ban.
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
    /// An upper bound of the entry's age, in seconds.
    pub fn age(&self) -> Time {
        self.age_us as f64 / MICROS_PER_SECOND
    }

    /// The entry's time to live, in seconds.
    pub fn ttl(&self) -> Time {
        f64::from(self.ttl_ms) / MILLIS_PER_SECOND
    }

    /// The rank of this entry among those with the same key.
    pub fn precedence(&self) -> Precedence<'_> {
        Precedence::new(self.version, &self.value, self.ttl_ms)
    }

    /// Whether a node can have created this entry: names have allowed lengths, the value fits the key, and the time to
    /// live is within its limit.
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

    /// Whether the entry stems from an operator's action. Such an entry takes precedence over what nodes have observed.
    pub fn is_manual(&self) -> bool {
        matches!(self.key, Key::Ban { .. } | Key::Leaving { .. })
    }
}
