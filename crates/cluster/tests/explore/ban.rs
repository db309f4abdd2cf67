//! The versions of a ban in the model, and the entries that represent them.

use reelfall_cluster::entry::{BanId, Entry, Key, Value, Version};
use reelfall_cluster::node::Incarnation;

/// The TTL of a ban, in seconds.
pub const BAN_TTL: u8 = 2;
/// The TTL of a lift, which outlives every ban, in milliseconds.
pub const LIFT_TTL_MS: u32 = 600_000;
pub const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// One version of a ban or of its lift.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BanVersion {
    pub is_lifted: bool,
    pub number: u32,
    pub version: u64,
}

impl BanVersion {
    pub fn new(key: &Key, value: &Value, version: Version) -> BanVersion {
        let number = match key {
            Key::Ban { id, .. } => id.number,
            _ => 0,
        };
        BanVersion {
            is_lifted: matches!(value, Value::BanLifted { .. }),
            number,
            version: version.sequence,
        }
    }

    pub fn to_entry(self, age_us: u64) -> Entry {
        let incarnation = Incarnation { number: 1, tag: 7 };
        let operator = "ada".to_owned();
        let value = if self.is_lifted {
            Value::BanLifted { operator }
        } else {
            Value::Banned { operator }
        };
        let ttl_ms = if self.is_lifted {
            LIFT_TTL_MS
        } else {
            u32::from(BAN_TTL) * 1000
        };
        let id = BanId {
            node: "a".to_owned(),
            incarnation,
            number: self.number,
        };
        Entry {
            key: Key::Ban {
                server: "s".to_owned(),
                id,
            },
            version: Version {
                incarnation,
                sequence: self.version,
            },
            value,
            ttl_ms,
            age_us,
        }
    }
}

/// A version of a ban in a datagram, with the age that it had when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SentBan {
    pub ban: BanVersion,
    pub age_us: u64,
}

pub fn microseconds(seconds: u8) -> u64 {
    u64::from(seconds) * MICROSECONDS_PER_SECOND
}
