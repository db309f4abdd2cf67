//! The roster of a fleet: names, addresses and incarnations of all nodes, and the datagrams that introduce them to a node.

use crate::cluster::secret;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use reelfall_cluster::fleet::Config;
use reelfall_cluster::members::MembershipConfig;
use reelfall_cluster::node::{Incarnation, Node};
use reelfall_cluster::wire::{DatagramWriter, Header, MemberState, MemberUpdate, Secret};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// Port of all nodes, which have different IP addresses.
const PORT: u16 = 7400;

/// The address of a node.
pub(super) fn address_of(endpoint: u32) -> SocketAddr {
    let [_, b, c, d] = endpoint.to_be_bytes();
    SocketAddr::from(([10, b, c, d], PORT))
}

pub(super) fn endpoint_of(address: SocketAddr) -> Option<u32> {
    let IpAddr::V4(v4) = address.ip() else {
        return None;
    };
    let [network, b, c, d] = Ipv4Addr::octets(&v4);
    (network == 10).then(|| u32::from_be_bytes([0, b, c, d]))
}

pub(super) fn name_of(endpoint: u32) -> String {
    format!("node-{endpoint}")
}

/// The header of a datagram without members and updates.
pub(super) fn empty_header(from: Node, to_tag: u64, sequence: u64, clock_us: u64) -> Header {
    Header {
        from,
        to_tag,
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

/// All nodes of a fleet, with their shared configuration and key.
pub struct Roster {
    pub(super) nodes: Vec<NodeSeed>,
    pub(super) config: Config,
    pub(super) secret: Secret,
}

/// The random values of one node.
#[derive(Clone, Copy)]
pub(super) struct NodeSeed {
    /// Distinguishes processes that have the same name and incarnation number.
    pub(super) incarnation_tag: u64,
    /// The seed of its random numbers.
    pub(super) seed: u64,
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
            expected_nodes: node_count,
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

    pub(super) fn seed_of(&self, endpoint: u32) -> NodeSeed {
        let unknown = NodeSeed {
            incarnation_tag: 1,
            seed: 1,
        };
        let node = self.nodes.get(endpoint as usize);
        node.copied().unwrap_or(unknown)
    }

    /// The datagrams in which a fictitious member sends all members to a node. Members are in a random order that differs
    /// between nodes, since a node probes members in the order in which it has learned of them.
    pub(super) fn introductions(&self, seed: u64) -> Vec<Vec<u8>> {
        let introducer = node(u32::from_be_bytes([0, u8::MAX, u8::MAX, u8::MAX]), 2);
        let mut remaining = self.shuffled(seed);
        let mut datagrams = Vec::new();
        let mut sequence = 0;
        while !remaining.is_empty() {
            sequence += 1;
            let mut header = empty_header(introducer.clone(), 0, sequence, 0);
            header.add_members(&mut remaining);
            let Some(writer) = DatagramWriter::new(&header).filter(|_| !header.members.is_empty())
            else {
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
        for last in (1..all.len()).rev() {
            all.swap(last, rng.random_range(0..=last));
        }
        all
    }
}

/// The seed nodes, which a node contacts to join: the first, middle and last node, in different regions.
fn seeds(node_count: u32) -> impl Iterator<Item = u32> {
    [0, node_count / 2, node_count.saturating_sub(1)].into_iter()
}

pub(super) fn node(endpoint: u32, incarnation_tag: u64) -> Node {
    Node {
        name: name_of(endpoint),
        address: address_of(endpoint),
        incarnation: Incarnation {
            number: 1,
            tag: incarnation_tag,
        },
    }
}
