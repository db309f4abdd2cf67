//! A node of the model. Its bans are merged by the crate's own table.

use crate::ban::{microseconds, BanVersion, SentBan};
use reelfall_cluster::entry::Entry;
use reelfall_cluster::table::{Table, PARTITIONS};

pub const NODES: usize = 3;
/// Digests of which none equals that of any table in the model.
pub const NO_DIGESTS: [u64; PARTITIONS] = [u64::MAX; PARTITIONS];

/// A version of a ban in the table of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoredBan {
    pub ban: BanVersion,
    /// The age that the ban had when it was received.
    pub received_age_us: u64,
    pub received_at: u8,
}

impl StoredBan {
    pub fn age_us(&self, now: u8) -> u64 {
        self.received_age_us + microseconds(now - self.received_at)
    }
}

/// The last datagram that a node received from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Contact {
    /// When the datagram was sent, by the sender's clock.
    pub sent_at: u8,
    pub received_at: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Node {
    pub bans: Vec<StoredBan>,
    pub last_contact: [Option<Contact>; NODES],
    /// The numbers of the bans that the node knows to be lifted.
    pub lifted: Vec<u32>,
}

impl Node {
    fn table(&self) -> Table {
        let mut table = Table::default();
        for stored in &self.bans {
            let entry = stored.ban.to_entry(stored.received_age_us);
            table.merge(f64::from(stored.received_at), entry);
        }
        table
    }

    /// The entries that the node sends to one whose table differs in all partitions.
    pub fn entries(&self, now: u8) -> Vec<Entry> {
        self.table()
            .entries_of_differing_partitions(f64::from(now), &NO_DIGESTS)
    }

    /// Merges a received ban with the table.
    pub fn merge(&mut self, now: u8, received: SentBan) {
        let mut table = self.table();
        table.merge(f64::from(now), received.ban.to_entry(received.age_us));
        let received = StoredBan {
            ban: received.ban,
            received_age_us: received.age_us,
            received_at: now,
        };
        let live = live_bans(&table, now).into_iter();
        let bans = live.filter_map(|ban| self.youngest(ban, received, now));
        self.bans = bans.collect();
        if received.ban.is_lifted && !self.lifted.contains(&received.ban.number) {
            self.lifted.push(received.ban.number);
            self.lifted.sort_unstable();
        }
    }

    /// The one of the stored and the received copy of `ban` that has the lower age, since it arrived over a faster
    /// path.
    fn youngest(&self, ban: BanVersion, received: StoredBan, now: u8) -> Option<StoredBan> {
        let stored = self.bans.iter().find(|stored| stored.ban == ban).copied();
        let received = Some(received).filter(|received| received.ban == ban);
        match (stored, received) {
            (Some(stored), Some(received)) if stored.age_us(now) <= received.age_us(now) => {
                Some(stored)
            }
            (stored, received) => received.or(stored),
        }
    }

    /// The bans that the node applies.
    pub fn active_bans(&self, now: u8) -> Vec<BanVersion> {
        let mut bans = live_bans(&self.table(), now);
        bans.retain(|ban| !ban.is_lifted);
        bans
    }

    /// Whether the node applies a ban that it knows to be lifted.
    pub fn applies_lifted_ban(&self, now: u8) -> bool {
        let active = self.active_bans(now);
        active.iter().any(|ban| self.lifted.contains(&ban.number))
    }
}

/// The bans and lifts in a table that have not expired.
pub fn live_bans(table: &Table, now: u8) -> Vec<BanVersion> {
    table
        .live(f64::from(now))
        .map(|(key, stored)| BanVersion::new(key, &stored.value, stored.version))
        .collect()
}
