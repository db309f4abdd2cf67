//! One node of a fleet.
//!
//! | state | owner | bound | removed |
//! | --- | --- | --- | --- |
//! | members | [`Members`] | the fleet's size | an hour after they died or left |
//! | entries | [`Table`] | [`crate::table::MAX_ENTRIES`] | when their time to live ends |
//! | clocks of peers | [`PeerClocks`] | [`MAX_PEERS`] | when others replace them |
//! | incarnations of peers | [`Fleet`] | [`MAX_PEERS`] | when others replace them |
//! | outgoing datagrams | [`Fleet`] | those of one call | when the caller takes them |
//!
//! | module | responsibility |
//! | --- | --- |
//! | `config` | the configuration |
//! | `receive` | handling received datagrams |
//! | `gossip` | gossip and anti-entropy rounds, announcements, sending datagrams |
//! | `incarnations` | the known incarnations of each name, and conflicts over the local node's name |
//! | `publish` | publishing the local node's entries: reports, bans, leaving, indexes of lists |
//! | `query` | queries about servers and lists |

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

/// Maximum number of other processes whose clocks and incarnations are stored.
pub const MAX_PEERS: usize = 4096;
/// A node that has received no datagram for this time, in seconds, assumes that it is partitioned and announces itself.
pub const ISOLATION_TIMEOUT: Time = 3.0;
/// Maximum time until the next announcement of an isolated node, in seconds.
const ISOLATED_ANNOUNCE_DELAY: Time = 0.5;
/// Factors by which the anti-entropy interval varies at random.
const ANTI_ENTROPY_JITTER: std::ops::Range<f64> = 0.75..1.25;

/// A change that the caller may have to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// The membership has changed.
    Member(MemberEvent),
    /// The entry with this key was added or replaced.
    Updated(Key),
    /// The entry with this key has expired.
    Expired(Key),
    /// Another process has the local node's name: this one publishes nothing for [`CONFLICT_PAUSE`] seconds.
    NameConflict,
}

/// A datagram that the caller has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where to send it.
    pub to: SocketAddr,
    /// The whole datagram, with its MAC.
    pub bytes: Vec<u8>,
}

/// A message of another node's application.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeMessage {
    /// The node that has sent the message.
    pub from: Node,
    /// The message, as encoded by the application.
    pub body: Vec<u8>,
}

/// Counters of datagrams and entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of datagrams given to the caller to send.
    pub sent_datagrams: u64,
    /// Number of bytes in these datagrams.
    pub sent_bytes: u64,
    /// Number of received datagrams that were accepted.
    pub received_datagrams: u64,
    /// Number of received datagrams that were dropped, by reason.
    pub dropped_datagrams: BTreeMap<DropReason, u64>,
    /// Number of received entries that were ignored since there was no bound of their age.
    pub unproven_entries: u64,
    /// Number of received entries that were ignored since they had expired.
    pub expired_entries: u64,
    /// Number of received entries that were rejected: the table was full, or they were invalid.
    pub rejected_entries: u64,
}

/// One node of a fleet: its members, its table of entries, and the datagrams that it exchanges with the others.
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
    /// Tags of the peers whose clocks were requested, so that entries can be sent to them.
    awaiting_echo: BTreeSet<u64>,
    next_gossip: Time,
    next_anti_entropy: Time,
    next_announce: Time,
    /// When the last datagram was accepted.
    last_received_at: Time,
    /// The sequence number of the last gossip datagram.
    last_sequence: u64,
    /// The sequence number of the last version of an entry.
    last_version: u64,
    /// The number of the last ban.
    last_ban: u32,
    /// The bans that this process has published without a duration.
    permanent_bans: BTreeSet<Key>,
    outgoing: VecDeque<OutgoingDatagram>,
    /// Received application messages.
    messages: VecDeque<NodeMessage>,
    events: VecDeque<FleetEvent>,
    counters: Counters,
}

impl Fleet {
    /// A node that knows no other nodes yet. `tag` and `seed` have to be random for each process; `now` must not be
    /// negative.
    pub fn new(
        name: &str,
        address: SocketAddr,
        tag: u64,
        config: Config,
        secret: Secret,
        seed: u64,
        now: Time,
    ) -> Fleet {
        let local_node = Node {
            name: name.to_owned(),
            address,
            incarnation: Incarnation { number: 1, tag },
        };
        let members = Members::new(local_node, config.membership, seed);
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
            last_received_at: now,
            last_sequence: 0,
            last_version: 0,
            last_ban: 0,
            permanent_bans: BTreeSet::new(),
            outgoing: VecDeque::new(),
            messages: VecDeque::new(),
            events: VecDeque::new(),
            counters: Counters::default(),
            config,
        }
    }

    /// The members of the fleet, the local node included.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The replicated entries, as this node has them.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Counters of datagrams and entries since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Removes and returns the next datagram to send.
    pub fn next_datagram(&mut self) -> Option<OutgoingDatagram> {
        self.outgoing.pop_front()
    }

    /// Removes and returns the next event.
    pub fn next_event(&mut self) -> Option<FleetEvent> {
        self.events.pop_front()
    }

    /// Removes and returns the next application message.
    pub fn next_message(&mut self) -> Option<NodeMessage> {
        self.messages.pop_front()
    }

    /// When [`Fleet::tick`] has to be called next.
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

    /// Handles the timers and rounds that are due. `listed_servers` is the number of servers in the endpoint lists.
    pub fn tick(&mut self, now: Time, listed_servers: usize) {
        self.members.tick(now);
        self.table.expire(now);
        // An isolated node does not wait for the regular announcement.
        if now - self.last_received_at > ISOLATION_TIMEOUT {
            self.next_announce = self.next_announce.min(now + ISOLATED_ANNOUNCE_DELAY);
        }
        if now >= self.next_announce {
            self.announce(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.config.gossip_interval;
            self.publish_reports(now, listed_servers);
            self.refresh_bans(now);
            self.gossip_round(now);
        }
        if now >= self.next_anti_entropy {
            let jitter = self.rng.random_range(ANTI_ENTROPY_JITTER);
            self.next_anti_entropy = now + self.config.anti_entropy_interval * jitter;
            self.anti_entropy_round(now);
        }
        self.process_output(now);
    }

    /// Forwards the datagrams and events of the members, and the expired entries of the table.
    fn process_output(&mut self, now: Time) {
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
                // The node has just joined the fleet, and requests the entries of the others at once.
                self.next_anti_entropy = now;
            }
            self.events.push_back(FleetEvent::Member(event));
        }
    }
}
