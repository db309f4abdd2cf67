//! Nodes of [`reelfall_cluster`] as endpoints of a network.
//!
//! A fleet of thousands takes minutes to find itself, which is of no interest where its steady state is measured. So
//! nodes are introduced to all others as they begin, by the datagrams that an earlier member would send them
//! ([`Roster`]); from then on everything is their own. All use of the fleet's interface is in this file.

use super::endpoint::Endpoint;
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
/// Servers that each node lists; they bound how many can be condemned, which is not played here.
const LISTED: usize = 20;

/// Where a node is reached.
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

/// A datagram's header from one node to another, with nothing in it.
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

/// All nodes of a fleet, as an earlier member introduces them to one that begins.
pub struct Roster {
    /// The tag of each node, and the seed of its draws.
    tags: Vec<(u64, u64)>,
    config: Config,
    secret: Secret,
}

impl Roster {
    /// So many nodes in their first incarnations.
    pub fn new(nodes: u32, seed: u64) -> Rc<Roster> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let tags = (0..nodes)
            .map(|_| (rng.random::<u64>() | 1, rng.random()))
            .collect();
        let secret = secret();
        let membership = MembershipConfig {
            size: nodes,
            ..MembershipConfig::default()
        };
        let seeds = seeds(nodes).map(address_of).collect();
        let config = Config {
            membership,
            seeds,
            ..Config::default()
        };
        Rc::new(Roster {
            tags,
            config,
            secret,
        })
    }

    /// The tag and the seed of a node.
    fn draws_of(&self, endpoint: u32) -> (u64, u64) {
        self.tags.get(endpoint as usize).copied().unwrap_or((1, 1))
    }

    /// The datagrams in which a member that nobody else knows tells a node of all others, each node in an order of its
    /// own: probes go by the order in which members were heard of.
    fn introductions(&self, seed: u64) -> Vec<Vec<u8>> {
        let introducer = node(u32::from_be_bytes([0, u8::MAX, u8::MAX, u8::MAX]), 2);
        let mut told = self.shuffled(seed);
        let mut datagrams = Vec::new();
        let mut number = 0;
        while !told.is_empty() {
            number += 1;
            let mut header = empty_header(introducer.clone(), 0, number, 0);
            header.add_members(&mut told);
            let Some(writer) = Writer::new(&header).filter(|_| !header.members.is_empty()) else {
                break;
            };
            datagrams.push(writer.seal(&self.secret));
        }
        datagrams
    }

    fn shuffled(&self, seed: u64) -> Vec<MemberUpdate> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let update = |(endpoint, (tag, _)): (u32, &(u64, u64))| MemberUpdate {
            node: node(endpoint, *tag),
            swim_incarnation: 0,
            state: MemberState::Alive,
        };
        let mut all: Vec<MemberUpdate> = (0u32..).zip(&self.tags).map(update).collect();
        for n in (1..all.len()).rev() {
            all.swap(n, rng.random_range(0..=n));
        }
        all
    }
}

/// Nodes that are asked for membership by those that know nobody: in different regions.
fn seeds(nodes: u32) -> impl Iterator<Item = u32> {
    [0, nodes / 2, nodes.saturating_sub(1)].into_iter()
}

fn node(endpoint: u32, tag: u64) -> Node {
    Node {
        name: name_of(endpoint),
        address: address_of(endpoint),
        incarnation: Incarnation { number: 1, tag },
    }
}

/// A node of the fleet.
pub struct Member {
    endpoint: u32,
    roster: Rc<Roster>,
    begins: f64,
    tag: u64,
    seed: u64,
    /// Whether it is introduced to all others as it begins.
    introduced: bool,
    fleet: Option<Fleet>,
    /// When each server's ban was heard of.
    bans: BTreeMap<String, f64>,
    downs: u64,
}

impl Member {
    /// A node that begins at a moment, and is introduced to all others then.
    pub fn new(endpoint: u32, roster: Rc<Roster>, begins: f64) -> Member {
        let (tag, seed) = roster.draws_of(endpoint);
        Member {
            endpoint,
            roster,
            begins,
            tag,
            seed,
            introduced: true,
            fleet: None,
            bans: BTreeMap::new(),
            downs: 0,
        }
    }

    /// A later process of a node, that knows nobody but the seeds.
    pub fn successor(endpoint: u32, roster: Rc<Roster>, begins: f64, tag: u64) -> Member {
        Member {
            tag,
            introduced: false,
            ..Member::new(endpoint, roster, begins)
        }
    }

    /// How many others it takes for members.
    pub fn peers(&self) -> usize {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.members().count())
    }

    /// When it heard that a server was banned.
    pub fn heard_of_ban(&self, server: &str) -> Option<f64> {
        self.bans.get(server).copied()
    }

    /// How often it took another for gone.
    pub fn downs(&self) -> u64 {
        self.downs
    }

    /// Verdicts that came without a proof of their age, and were left for that.
    pub fn unproven(&self) -> u64 {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.counters().unproven)
    }

    /// Datagrams that it took in.
    pub fn taken(&self) -> u64 {
        self.fleet
            .as_ref()
            .map_or(0, |fleet| fleet.counters().received)
    }

    /// An operator bans a server here.
    pub fn ban(&mut self, now: f64, server: &str, sends: &mut Vec<(u32, Vec<u8>)>) {
        let clock = self.clock(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.ban(clock, server, "operator", None);
        }
        self.flush(now, sends);
    }

    /// The node's own clock, which begins with it.
    fn clock(&self, now: f64) -> f64 {
        (now - self.begins).max(0.0)
    }

    fn begin(&mut self) {
        let (config, secret) = (self.roster.config.clone(), self.roster.secret.clone());
        let (name, address) = (name_of(self.endpoint), address_of(self.endpoint));
        let mut fleet = Fleet::new(&name, address, self.tag, config, secret, self.seed, 0.0);
        if self.introduced {
            let introductions = self.roster.introductions(self.seed);
            introductions
                .iter()
                .for_each(|datagram| fleet.receive(0.0, datagram));
        }
        self.fleet = Some(fleet);
    }

    fn flush(&mut self, now: f64, sends: &mut Vec<(u32, Vec<u8>)>) {
        let Some(fleet) = &mut self.fleet else { return };
        while let Some(datagram) = fleet.next_datagram() {
            if let Some(to) = endpoint_of(datagram.to) {
                sends.push((to, datagram.bytes));
            }
        }
        while let Some(event) = fleet.next_event() {
            match event {
                FleetEvent::Updated(Key::Ban { server, .. }) => {
                    self.bans.entry(server).or_insert(now);
                }
                FleetEvent::Member(MemberEvent::Down(_)) => self.downs += 1,
                _ => {}
            }
        }
    }
}

impl Endpoint for Member {
    fn receive(&mut self, now: f64, _from: u32, frame: &[u8], sends: &mut Vec<(u32, Vec<u8>)>) {
        let clock = self.clock(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.receive(clock, frame);
        }
        self.flush(now, sends);
    }

    fn poll(&mut self, now: f64, sends: &mut Vec<(u32, Vec<u8>)>) {
        let clock = self.clock(now);
        match &mut self.fleet {
            Some(fleet) => fleet.tick(clock, LISTED),
            None => self.begin(),
        }
        self.flush(now, sends);
    }

    fn next_wakeup(&self) -> f64 {
        self.fleet
            .as_ref()
            .map_or(self.begins, |fleet| self.begins + fleet.deadline())
    }
}

/// Peers of a node, and one datagram of each to it.
pub struct Peers {
    roster: Rc<Roster>,
    endpoint: u32,
    datagrams: Vec<Vec<u8>>,
}

impl Peers {
    /// So many peers of one node.
    pub fn new(count: u32, seed: u64) -> Rc<Peers> {
        let roster = Roster::new(count + 1, seed);
        let (reader, _) = roster.draws_of(count);
        let datagrams = (0..count)
            .zip(&roster.tags)
            .filter_map(|(peer, (tag, _))| {
                Writer::new(&empty_header(node(peer, *tag), reader, 1, 0))
            })
            .map(|writer| writer.seal(&roster.secret))
            .collect();
        Rc::new(Peers {
            roster,
            endpoint: count,
            datagrams,
        })
    }
}

/// A node that was introduced to its peers and has heard each of them once.
pub struct Acquainted {
    member: Member,
    peers: Rc<Peers>,
    now: f64,
    /// Datagrams of peers that it took in.
    pub taken: u64,
}

impl Acquainted {
    /// Introduces a node to its peers, each of which writes to it.
    pub fn new(peers: Rc<Peers>) -> Acquainted {
        let mut member = Member::new(peers.endpoint, Rc::clone(&peers.roster), 0.0);
        member.poll(0.0, &mut Vec::new());
        let taken = deliver(&mut member, 0.0, &peers.datagrams);
        Acquainted {
            member,
            peers,
            now: 0.0,
            taken,
        }
    }

    /// How many peers it takes for members.
    pub fn peers(&self) -> usize {
        self.member.peers()
    }

    /// Sends it the same datagrams once more; how many it took for new.
    pub fn replay(&mut self) -> u64 {
        deliver(&mut self.member, self.now, &self.peers.datagrams)
    }

    /// Lets time pass in which nobody answers. Longer than a second or two, it begins to doubt its peers.
    pub fn run_alone(&mut self, seconds: f64) {
        let end = self.now + seconds;
        let mut sends = Vec::new();
        loop {
            let due = self.member.next_wakeup().max(self.now + POLL_INTERVAL);
            if due > end {
                break;
            }
            self.now = due;
            self.member.poll(due, &mut sends);
            sends.clear();
        }
        self.now = end;
    }

    /// An operator bans a server at this node.
    pub fn ban(&mut self, server: &str) {
        self.member.ban(self.now, server, &mut Vec::new());
    }
}

/// Delivers datagrams to a node, whatever it answers; how many it took in.
fn deliver(member: &mut Member, now: f64, datagrams: &[Vec<u8>]) -> u64 {
    let before = member.taken();
    let mut answers = Vec::new();
    for datagram in datagrams {
        member.receive(now, 0, datagram, &mut answers);
        answers.clear();
    }
    member.taken() - before
}
