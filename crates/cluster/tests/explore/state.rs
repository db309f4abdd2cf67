//! A state of the model: the nodes, the datagrams in flight, and the history of the ban.

use crate::ban::{microseconds, BanVersion, SentBan, BAN_TTL, MICROSECONDS_PER_SECOND};
use crate::node::{live_bans, Contact, Node, NODES};
use reelfall_cluster::freshness::{max_transit, ClockEcho};
use reelfall_cluster::table::{Table, PARTITIONS};

/// The node that bans the server.
pub const BANNING_NODE: usize = 0;
/// The node that lifts the ban.
pub const LIFTING_NODE: usize = 1;
/// The number of the only ban.
pub const BAN: u32 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Datagram {
    pub from: usize,
    pub to: usize,
    pub sent_at: u8,
    /// The sender's last contact with the receiver.
    pub last_contact: Option<Contact>,
    pub bans: Vec<SentBan>,
}

/// A version of the ban, and when the banning node created it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Announcement {
    pub number: u32,
    pub version: u64,
    pub at: u8,
}

/// What a table contains after merging the entries of all nodes.
#[derive(PartialEq)]
struct MergedTable {
    bans: Vec<BanVersion>,
    digests: [u64; PARTITIONS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: u8,
    pub nodes: [Node; NODES],
    pub in_flight: Vec<Datagram>,
    pub announcements: Vec<Announcement>,
    pub lifts: u8,
    pub has_restarted: bool,
    /// Whether a node that knew of a lift has applied the ban again.
    pub has_reapplied_lifted_ban: bool,
}

impl State {
    /// Makes the banning node ban the server, or renew its ban.
    pub fn announce_ban(&mut self) {
        let earlier = self.announcements.iter();
        let version = earlier.filter(|earlier| earlier.number == BAN).count() as u64 + 1;
        self.announcements.push(Announcement {
            number: BAN,
            version,
            at: self.now,
        });
        let ban = BanVersion {
            is_lifted: false,
            number: BAN,
            version,
        };
        self.nodes[BANNING_NODE].merge(self.now, SentBan { ban, age_us: 0 });
    }

    pub fn lift_ban(&mut self) {
        self.lifts += 1;
        let node = &mut self.nodes[LIFTING_NODE];
        // The lift has the version of the ban, so that the banning node can meanwhile announce a greater one.
        let ban = BanVersion {
            is_lifted: true,
            ..node.active_bans(self.now)[0]
        };
        node.merge(self.now, SentBan { ban, age_us: 0 });
    }

    pub fn send(&mut self, from: usize, to: usize) {
        let sender = &self.nodes[from];
        let entries = sender.entries(self.now).into_iter();
        let bans = entries.map(|entry| SentBan {
            ban: BanVersion::new(&entry.key, &entry.value, entry.version),
            age_us: entry.age_us,
        });
        self.in_flight.push(Datagram {
            from,
            to,
            sent_at: self.now,
            last_contact: sender.last_contact[to],
            bans: bans.collect(),
        });
        self.in_flight.sort();
    }

    pub fn receive(&mut self, datagram: Datagram) {
        let now = self.now;
        let node = &mut self.nodes[datagram.to];
        node.last_contact[datagram.from] = Some(Contact {
            sent_at: datagram.sent_at,
            received_at: now,
        });
        let echo = datagram.last_contact.map(|contact| ClockEcho {
            clock_us: microseconds(contact.sent_at),
            elapsed_us: microseconds(datagram.sent_at - contact.received_at),
        });
        let Some(max_transit) = echo.and_then(|echo| max_transit(f64::from(now), echo)) else {
            return;
        };
        let max_transit_us = (max_transit * MICROSECONDS_PER_SECOND as f64).ceil() as u64;
        for sent in datagram.bans {
            let age_us = sent.age_us + max_transit_us;
            node.merge(now, SentBan { age_us, ..sent });
        }
    }

    /// Whether every ban that a node applies was announced at most [`BAN_TTL`] seconds ago.
    pub fn active_bans_are_in_time(&self) -> bool {
        let mut active = self
            .nodes
            .iter()
            .flat_map(|node| node.active_bans(self.now));
        active.all(|ban| {
            let mut announcements = self.announcements.iter();
            let announced = announcements.find(|announcement| {
                announcement.number == ban.number && announcement.version == ban.version
            });
            announced.is_some_and(|announced| self.now - announced.at <= BAN_TTL)
        })
    }

    /// The result of merging the entries of all nodes in the given order.
    fn merged(&self, order: [usize; NODES]) -> MergedTable {
        let mut table = Table::default();
        for entry in order
            .map(|node| self.nodes[node].entries(self.now))
            .concat()
        {
            table.merge(f64::from(self.now), entry);
        }
        MergedTable {
            bans: live_bans(&table, self.now),
            digests: table.digests(),
        }
    }

    pub fn merge_is_independent_of_order(&self) -> bool {
        let merged = self.merged([0, 1, 2]);
        merged == self.merged([2, 1, 0]) && merged == self.merged([1, 0, 2])
    }

    pub fn renewed_ban_outlives_first(&self) -> bool {
        let active = self.nodes[2].active_bans(self.now);
        self.announcements.len() == 2
            && active.iter().any(|ban| ban.version == 2)
            && self.now > BAN_TTL
    }
}
