//! One node's part in a fleet.
//!
//! | state | owner | bound | ends |
//! | --- | --- | --- | --- |
//! | members | [`Members`] | the fleet's size | an hour after their end |
//! | entries | [`Table`] | [`crate::table::MAX_ENTRIES`] | with their time to live |
//! | clocks of peers | [`PeerClocks`] | [`MAX_PEERS`] | when pushed out by others |
//! | incarnations of peers | [`Fleet`] | [`MAX_PEERS`] | when pushed out by others |
//! | outgoing datagrams | [`Fleet`] | what one call makes | when the caller takes them |
//!
//! | module | responsibility |
//! | --- | --- |
//! | `config` | the settings |
//! | `receive` | handling datagrams that come |
//! | `gossip` | gossip and anti-entropy rounds, sending datagrams |
//! | `incarnations` | the incarnations of names, conflicts over this node's name |
//! | `publish` | the entries of this node: reports, bans, leaving, indexes of lists |
//! | `query` | what the table says of servers and lists |

mod config;
mod gossip;
mod incarnations;
mod publish;
mod query;
mod receive;

pub use config::Config;
pub use incarnations::{CLAIMS_WINDOW, CONFLICT_PAUSE, MAX_CLAIMS};
pub use query::{EjectedServer, PublishedReport};
pub use receive::{MAX_ENTRY_DATAGRAMS, MAX_MEMBER_DATAGRAMS, MAX_MESSAGES};

use crate::entry::Key;
use crate::freshness::PeerClocks;
use crate::members::{MemberEvent, Members, SwimDatagram};
use crate::node::{Incarnation, Node};
use crate::observer::Observer;
use crate::table::Table;
use crate::wire::{DropReason, Secret};
use crate::Time;
use incarnations::{KnownIncarnations, NameClaims};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Maximum number of other processes whose clocks and incarnations are remembered.
pub const MAX_PEERS: usize = 4096;
/// A node that was in contact with no other for this time, in seconds, assumes that it is partitioned and announces itself.
pub const ISOLATION_TIMEOUT: Time = 3.0;
/// Delay of an announcement once the node is isolated, in seconds.
const ISOLATED_ANNOUNCE_DELAY: Time = 0.5;
/// Jitter of the anti-entropy interval.
const ANTI_ENTROPY_JITTER: std::ops::Range<f64> = 0.75..1.25;

/// A change that the driver of the node has to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// A member joined or ended.
    Member(MemberEvent),
    /// An entry was added or replaced.
    Updated(Key),
    /// An entry has expired.
    Expired(Key),
    /// Another process has this node's name: this one publishes nothing for a while.
    NameConflict,
}

/// A datagram that the caller has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The address of its receiver.
    pub to: SocketAddr,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// A message that the application of another node has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeMessage {
    /// The node.
    pub from: Node,
    /// The bytes that the application gave it.
    pub body: Vec<u8>,
}

/// Counters of datagrams and entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received_datagrams: u64,
    /// Datagrams dropped, by reason.
    pub dropped_datagrams: BTreeMap<DropReason, u64>,
    /// Entries ignored, since nothing proved how old they were.
    pub unproven_entries: u64,
    /// Entries ignored, since they had expired when they were received.
    pub expired_entries: u64,
    /// Entries rejected: the table was full, or they were invalid.
    pub rejected_entries: u64,
}

/// One node's part in a fleet.
pub struct Fleet {
    config: Config,
    secret: Secret,
    members: Members,
    table: Table,
    clocks: PeerClocks,
    observer: Observer,
    rng: Pcg64Mcg,
    incarnations: KnownIncarnations,
    claims: NameClaims,
    /// Peers that an echo was requested from, so that they can be sent entries.
    awaiting_echo: BTreeSet<u64>,
    next_gossip: Time,
    next_anti_entropy: Time,
    next_announce: Time,
    /// When a datagram was last accepted.
    received_at: Time,
    /// Counts datagrams.
    sequence: u64,
    /// Counts entries.
    versions: u64,
    /// Counts bans.
    bans: u32,
    /// Bans of this node that have no end of their own.
    permanent_bans: BTreeSet<Key>,
    outgoing: VecDeque<OutgoingDatagram>,
    /// Application messages that were received.
    messages: VecDeque<NodeMessage>,
    events: VecDeque<FleetEvent>,
    counters: Counters,
}

impl Fleet {
    /// A node that knows nobody yet. `tag` and `seed` are random for each process; `now` is never negative.
    pub fn new(
        name: &str,
        address: SocketAddr,
        tag: u64,
        config: Config,
        secret: Secret,
        seed: u64,
        now: Time,
    ) -> Fleet {
        let me = Node {
            name: name.to_owned(),
            address,
            incarnation: Incarnation { number: 1, tag },
        };
        let members = Members::new(me, config.membership, seed);
        let observer = Observer::new(config.zone.clone(), config.report_ttl, config.quorum);
        Fleet {
            members,
            observer,
            secret,
            table: Table::default(),
            clocks: PeerClocks::new(MAX_PEERS),
            rng: Pcg64Mcg::seed_from_u64(seed ^ tag),
            incarnations: KnownIncarnations::default(),
            claims: NameClaims::new(now),
            awaiting_echo: BTreeSet::new(),
            next_gossip: now,
            next_anti_entropy: now,
            next_announce: now,
            received_at: now,
            sequence: 0,
            versions: 0,
            bans: 0,
            permanent_bans: BTreeSet::new(),
            outgoing: VecDeque::new(),
            messages: VecDeque::new(),
            events: VecDeque::new(),
            counters: Counters::default(),
            config,
        }
    }

    /// The members, and this node.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The table of entries.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Takes the next datagram to send.
    pub fn next_datagram(&mut self) -> Option<OutgoingDatagram> {
        self.outgoing.pop_front()
    }

    /// Takes the next event.
    pub fn next_event(&mut self) -> Option<FleetEvent> {
        self.events.pop_front()
    }

    /// Takes the next application message.
    pub fn next_message(&mut self) -> Option<NodeMessage> {
        self.messages.pop_front()
    }

    /// When [`Fleet::tick`] has something to do.
    pub fn deadline(&self) -> Time {
        let timers = [self.members.deadline(), self.table.next_expiry()]
            .into_iter()
            .flatten();
        timers.fold(
            self.next_gossip
                .min(self.next_anti_entropy)
                .min(self.next_announce),
            f64::min,
        )
    }

    /// Does what is due at this time. `listed` is how many servers this node knows.
    pub fn tick(&mut self, now: Time, listed: usize) {
        self.members.tick(now);
        self.table.expire(now);
        // An isolated node announces itself at once, not when it would have.
        if now - self.received_at > ISOLATION_TIMEOUT {
            self.next_announce = self.next_announce.min(now + ISOLATED_ANNOUNCE_DELAY);
        }
        if now >= self.next_announce {
            self.announce(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_interval;
            self.publish_reports(now, listed);
            self.refresh_bans(now);
            self.gossip_round(now);
        }
        if now >= self.next_anti_entropy {
            let jitter = self.rng.random_range(ANTI_ENTROPY_JITTER);
            self.next_anti_entropy = now + self.config.anti_entropy_interval * jitter;
            self.anti_entropy_round(now);
        }
        self.process_effects(now);
    }

    /// Sends and reports what has come of the members and the table.
    fn process_effects(&mut self, now: Time) {
        for key in self.table.take_expired() {
            self.events.push_back(FleetEvent::Expired(key));
        }
        while let Some(SwimDatagram { to, payload }) = self.members.next_datagram() {
            let mut header = self.header(now, &to);
            header.swim = payload;
            self.send_with_entries(now, to.address, &header);
        }
        while let Some(suspect) = self.members.next_suspicion_notice(now) {
            let to = suspect.node.clone();
            self.send_members(now, &to, &mut vec![suspect]);
        }
        while let Some(event) = self.members.next_event() {
            if matches!(event, MemberEvent::Up(_)) && self.members.other_count() == 1 {
                // The node has joined: it asks for the entries of the others at once.
                self.next_anti_entropy = now;
            }
            self.events.push_back(FleetEvent::Member(event));
        }
    }
}
