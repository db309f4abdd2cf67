//! Cluster members of [`reelfall_cluster`] as endpoints of a network, for the scale runs of membership.
//!
//! A fleet of thousands takes minutes to discover its members, which does not matter where the steady state is measured.
//! So each node starts with the datagrams in which an earlier member would send it all others ([`Roster`]).

use super::endpoint::{Endpoint, OutgoingFrame};
use super::network::POLL_INTERVAL;
use crate::together::secret;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_cluster::entry::Key;
use reelfall_cluster::fleet::{Config, Fleet, FleetEvent, MAX_PEERS};
use reelfall_cluster::members::{MemberEvent, MembershipConfig};
use reelfall_cluster::node::{Incarnation, Node};
use reelfall_cluster::wire::{Header, MemberState, MemberUpdate, Secret, Writer};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Maximum number of peers of which a node remembers clocks and incarnations.
pub const MAX_REMEMBERED: usize = MAX_PEERS;

/// Port of all nodes; each has an address of its own.
const PORT: u16 = 7400;
/// Number of servers that each node lists; it bounds how many can be condemned, which does not happen here.
const LISTED_SERVERS: usize = 20;

/// The address of a node.
fn address_of(endpoint: u32) -> SocketAddr {
    let [_, b, c, d] = endpoint.to_be_bytes();
    SocketAddr::from(([10, b, c, d], PORT))
}

fn endpoint_of(address: SocketAddr) -> Option<u32> {
    let IpAddr::V4(v4) = address.ip() else {
        return None;
    };
    let [network, b, c, d] = Ipv4Addr::octets(&v4);
    (network == 10).then(|| u32::from_be_bytes([0, b, c, d]))
}

fn name_of(endpoint: u32) -> String {
    format!("node-{endpoint}")
}

/// The header of a datagram without content.
fn empty_header(from: Node, to: u64, sequence: u64, clock_us: u64) -> Header {
    Header {
        from,
        to,
        sequence,
        clock_us,
        echo: None,
        requests_echo: false,
        newer_incarnation: None,
        swim: Vec::new(),
        anti_entropy: None,
        members: Vec::new(),
    }
}

/// All nodes of a fleet, with the configuration and the key that they share.
pub struct Roster {
    nodes: Vec<NodeSeed>,
    config: Config,
    secret: Secret,
}

/// The random values of one node.
#[derive(Clone, Copy)]
struct NodeSeed {
    /// Tells processes of one name and number apart.
    incarnation_tag: u64,
    /// The seed of its random numbers.
    seed: u64,
}

impl Roster {
    /// A roster of this many nodes in their first incarnations.
    pub fn new(node_count: u32, seed: u64) -> Rc<Roster> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = (0..node_count)
            .map(|_| NodeSeed {
                incarnation_tag: rng.random::<u64>() | 1,
                seed: rng.random(),
            })
            .collect();
        let secret = secret();
        let membership = MembershipConfig {
            size: node_count,
            ..MembershipConfig::default()
        };
        let seeds = seeds(node_count).map(address_of).collect();
        let config = Config {
            membership,
            seeds,
            ..Config::default()
        };
        Rc::new(Roster {
            nodes,
            config,
            secret,
        })
    }

    fn seed_of(&self, endpoint: u32) -> NodeSeed {
        let unknown = NodeSeed {
            incarnation_tag: 1,
            seed: 1,
        };
        let node = self.nodes.get(endpoint as usize);
        node.copied().unwrap_or(unknown)
    }

    /// The datagrams in which a member that nobody else knows sends a node all others. Their order is random for each node,
    /// since a node probes members in the order in which it has learned of them.
    fn introductions(&self, seed: u64) -> Vec<Vec<u8>> {
        let introducer = node(u32::from_be_bytes([0, u8::MAX, u8::MAX, u8::MAX]), 2);
        let mut remaining = self.shuffled(seed);
        let mut datagrams = Vec::new();
        let mut sequence = 0;
        while !remaining.is_empty() {
            sequence += 1;
            let mut header = empty_header(introducer.clone(), 0, sequence, 0);
            header.add_members(&mut remaining);
            let Some(writer) = Writer::new(&header).filter(|_| !header.members.is_empty()) else {
                break;
            };
            datagrams.push(writer.seal(&self.secret));
        }
        datagrams
    }

    fn shuffled(&self, seed: u64) -> Vec<MemberUpdate> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let update = |(endpoint, node_seed): (u32, &NodeSeed)| MemberUpdate {
            node: node(endpoint, node_seed.incarnation_tag),
            swim_incarnation: 0,
            state: MemberState::Alive,
        };
        let mut all: Vec<MemberUpdate> = (0u32..).zip(&self.nodes).map(update).collect();
        for n in (1..all.len()).rev() {
            all.swap(n, rng.random_range(0..=n));
        }
        all
    }
}

/// The seed nodes, which a node contacts to join: in different regions.
fn seeds(node_count: u32) -> impl Iterator<Item = u32> {
    [0, node_count / 2, node_count.saturating_sub(1)].into_iter()
}

fn node(endpoint: u32, incarnation_tag: u64) -> Node {
    Node {
        name: name_of(endpoint),
        address: address_of(endpoint),
        incarnation: Incarnation {
            number: 1,
            tag: incarnation_tag,
        },
    }
}

/// One process of a node.
pub struct Member {
    endpoint: u32,
    roster: Rc<Roster>,
    starts_at: f64,
    seed: NodeSeed,
    /// Whether it starts with the members of the roster.
    is_introduced: bool,
    fleet: Option<Fleet>,
    /// When the ban of each server was received.
    bans: BTreeMap<String, f64>,
    declared_dead: u64,
}

impl Member {
    /// The first process of a node; it starts with the members of the roster.
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

    /// A later process of a node; it knows the seed nodes alone.
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
            .map_or(0, |fleet| fleet.members().count())
    }

    /// When it received the ban of a server.
    pub fn ban_received_at(&self, server: &str) -> Option<f64> {
        self.bans.get(server).copied()
    }

    /// How often it has declared another member dead.
    pub fn declared_dead(&self) -> u64 {
        self.declared_dead
    }

    /// Number of verdicts that it has ignored since they had no proof of their age.
    pub fn unproven_verdicts(&self) -> u64 {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.counters().unproven)
    }

    /// Number of datagrams that it has accepted.
    pub fn accepted_datagrams(&self) -> u64 {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.counters().received)
    }

    /// Bans a server, as an operator does.
    pub fn ban(&mut self, now: f64, server: &str, outgoing: &mut Vec<OutgoingFrame>) {
        let clock = self.clock(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.ban(clock, server, "operator", None);
        }
        self.flush(now, outgoing);
    }

    /// The process's own clock, which starts at 0.
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

    /// Sends the datagrams of the fleet and records its events.
    fn flush(&mut self, now: f64, outgoing: &mut Vec<OutgoingFrame>) {
        let Some(fleet) = &mut self.fleet else { return };
        while let Some((address, datagram)) = fleet.next_datagram() {
            if let Some(to) = endpoint_of(address) {
                outgoing.push(OutgoingFrame {
                    to,
                    frame: datagram,
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

/// Peers of a node, with one datagram of each to it.
pub struct PeerDatagrams {
    roster: Rc<Roster>,
    endpoint: u32,
    datagrams: Vec<Vec<u8>>,
}

impl PeerDatagrams {
    /// This many peers of one node.
    pub fn new(count: u32, seed: u64) -> Rc<PeerDatagrams> {
        let roster = Roster::new(count + 1, seed);
        let receiver_tag = roster.seed_of(count).incarnation_tag;
        let datagrams = (0..count)
            .zip(&roster.nodes)
            .filter_map(|(peer, peer_seed)| {
                let sender = node(peer, peer_seed.incarnation_tag);
                Writer::new(&empty_header(sender, receiver_tag, 1, 0))
            })
            .map(|writer| writer.seal(&roster.secret))
            .collect();
        Rc::new(PeerDatagrams {
            roster,
            endpoint: count,
            datagrams,
        })
    }
}

/// One node that knows its peers and has received a datagram of each, outside of a network.
pub struct IsolatedMember {
    member: Member,
    peers: Rc<PeerDatagrams>,
    now: f64,
    /// Number of datagrams of peers that it has accepted.
    pub accepted_datagrams: u64,
}

impl IsolatedMember {
    /// Starts a node that knows its peers, and delivers a datagram of each.
    pub fn new(peers: Rc<PeerDatagrams>) -> IsolatedMember {
        let mut member = Member::new(peers.endpoint, Rc::clone(&peers.roster), 0.0);
        member.poll(0.0, &mut Vec::new());
        let accepted_datagrams = deliver(&mut member, 0.0, &peers.datagrams);
        IsolatedMember {
            member,
            peers,
            now: 0.0,
            accepted_datagrams,
        }
    }

    /// Number of peers that it considers alive.
    pub fn peer_count(&self) -> usize {
        self.member.peer_count()
    }

    /// Delivers the same datagrams once more; returns how many it accepted.
    pub fn replay(&mut self) -> u64 {
        deliver(&mut self.member, self.now, &self.peers.datagrams)
    }

    /// Lets time pass in which no peer responds. After a second or two it begins to suspect its peers.
    pub fn run_alone(&mut self, seconds: f64) {
        let end = self.now + seconds;
        let mut outgoing = Vec::new();
        loop {
            let due = self.member.next_wakeup().max(self.now + POLL_INTERVAL);
            if due > end {
                break;
            }
            self.now = due;
            self.member.poll(due, &mut outgoing);
            outgoing.clear();
        }
        self.now = end;
    }

    /// Bans a server at this node, as an operator does.
    pub fn ban(&mut self, server: &str) {
        self.member.ban(self.now, server, &mut Vec::new());
    }
}

/// Delivers datagrams to a node and drops its responses; returns how many it accepted.
fn deliver(member: &mut Member, now: f64, datagrams: &[Vec<u8>]) -> u64 {
    let before = member.accepted_datagrams();
    let mut responses = Vec::new();
    for datagram in datagrams {
        member.receive(now, 0, datagram, &mut responses);
        responses.clear();
    }
    member.accepted_datagrams() - before
}
