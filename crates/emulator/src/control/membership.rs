//! Cluster members of [`reelfall_cluster`] as endpoints of a network, for scale runs of membership.
//!
//! A fleet of thousands of nodes takes minutes to discover its members. To measure the steady state without this delay, each
//! node starts with the datagrams in which an existing member would send it all others ([`Roster`]).

mod isolated;
mod roster;

pub use self::isolated::{IsolatedMember, PeerDatagrams};
pub use self::roster::Roster;

use self::roster::{address_of, endpoint_of, name_of, NodeSeed};
use super::endpoint::{Endpoint, OutgoingFrame};
use reelfall_cluster::entry::Key;
use reelfall_cluster::fleet::{Fleet, FleetEvent, MAX_PEERS};
use reelfall_cluster::members::MemberEvent;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of peers whose clocks and incarnations a node remembers.
pub const MAX_REMEMBERED: usize = MAX_PEERS;

/// Number of servers in each node's endpoint lists; it bounds ejections, of which there are none here.
const LISTED_SERVERS: usize = 20;

/// A process of a node.
pub struct Member {
    endpoint: u32,
    roster: Rc<Roster>,
    starts_at: f64,
    seed: NodeSeed,
    /// Whether it starts with the members of the roster.
    is_introduced: bool,
    fleet: Option<Fleet>,
    /// When the node first received the ban of each server.
    bans: BTreeMap<String, f64>,
    declared_dead: u64,
}

impl Member {
    /// The first process of a node, which knows all members of the roster when it starts.
    pub fn new(endpoint: u32, roster: Rc<Roster>, starts_at: f64) -> Member {
        let seed = roster.seed_of(endpoint);
        Member {
            endpoint,
            roster,
            starts_at,
            seed,
            is_introduced: true,
            fleet: None,
            bans: BTreeMap::new(),
            declared_dead: 0,
        }
    }

    /// A restarted process of a node, which knows only the seed nodes.
    pub fn restarted(
        endpoint: u32,
        roster: Rc<Roster>,
        starts_at: f64,
        incarnation_tag: u64,
    ) -> Member {
        let mut member = Member::new(endpoint, roster, starts_at);
        member.seed.incarnation_tag = incarnation_tag;
        member.is_introduced = false;
        member
    }

    /// Number of other members that it considers alive.
    pub fn peer_count(&self) -> usize {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.members().other_count())
    }

    /// When it received the ban of a server.
    pub fn ban_received_at(&self, server: &str) -> Option<f64> {
        self.bans.get(server).copied()
    }

    /// How often it has declared another member dead.
    pub fn declared_dead(&self) -> u64 {
        self.declared_dead
    }

    /// Number of verdicts that it has ignored because their age was not proven.
    pub fn unproven_verdicts(&self) -> u64 {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.counters().unproven_entries)
    }

    /// Number of datagrams that it has accepted.
    pub fn accepted_datagrams(&self) -> u64 {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.counters().received_datagrams)
    }

    /// Bans a server, as an operator does.
    pub fn ban(&mut self, now: f64, server: &str, outgoing: &mut Vec<OutgoingFrame>) {
        let clock = self.clock(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.ban(clock, server, "operator", None);
        }
        self.flush(now, outgoing);
    }

    /// The time of the process's clock, which starts at 0.
    fn clock(&self, now: f64) -> f64 {
        (now - self.starts_at).max(0.0)
    }

    fn start(&mut self) {
        let (config, secret) = (self.roster.config.clone(), self.roster.secret.clone());
        let (name, address) = (name_of(self.endpoint), address_of(self.endpoint));
        let NodeSeed {
            incarnation_tag,
            seed,
        } = self.seed;
        let mut fleet = Fleet::new(&name, address, incarnation_tag, config, secret, seed, 0.0);
        if self.is_introduced {
            let introductions = self.roster.introductions(seed);
            introductions
                .iter()
                .for_each(|datagram| fleet.receive(0.0, datagram));
        }
        self.fleet = Some(fleet);
    }

    /// Sends the pending datagrams of the node and records its events.
    fn flush(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>) {
        let Some(fleet) = &mut self.fleet else { return };
        while let Some(datagram) = fleet.next_datagram() {
            if let Some(to) = endpoint_of(datagram.to) {
                outgoing.push(OutgoingFrame {
                    to,
                    frame: datagram.bytes,
                });
            }
        }
        while let Some(event) = fleet.next_event() {
            match event {
                FleetEvent::Updated(Key::Ban { server, .. }) => {
                    self.bans.entry(server).or_insert(now);
                }
                FleetEvent::Member(MemberEvent::Down(_)) => self.declared_dead += 1,
                _ => {}
            }
        }
    }
}

impl Endpoint for Member {
    fn receive(&mut self, now: f64, _from: u32, frame: &[u8], outgoing: &mut Vec<OutgoingFrame>) {
        let clock = self.clock(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.receive(clock, frame);
        }
        self.flush(now, outgoing);
    }

    fn poll(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>) {
        let clock = self.clock(now);
        match &mut self.fleet {
            Some(fleet) => fleet.tick(clock, LISTED_SERVERS),
            None => self.start(),
        }
        self.flush(now, outgoing);
    }

    fn next_wakeup(&self) -> f64 {
        self.fleet
            .as_ref()
            .map_or(self.starts_at, |fleet| self.starts_at + fleet.deadline())
    }
}
