//! One member outside of a network, whose peers exist only as datagrams. The scale runs measure its memory and processor
//! time.

use super::roster::{empty_header, node, Roster};
use super::Member;
use crate::control::endpoint::Endpoint;
use crate::control::network::POLL_INTERVAL;
use reelfall_cluster::wire::DatagramWriter;
use std::rc::Rc;

/// One datagram to a node from each of its peers.
pub struct PeerDatagrams {
    roster: Rc<Roster>,
    endpoint: u32,
    datagrams: Vec<Vec<u8>>,
}

impl PeerDatagrams {
    /// Creates the datagrams of this many peers.
    pub fn new(count: u32, seed: u64) -> Rc<PeerDatagrams> {
        let roster = Roster::new(count + 1, seed);
        let receiver_tag = roster.seed_of(count).incarnation_tag;
        let datagrams = (0..count)
            .zip(&roster.nodes)
            .filter_map(|(peer, peer_seed)| {
                let sender = node(peer, peer_seed.incarnation_tag);
                DatagramWriter::new(&empty_header(sender, receiver_tag, 1, 0))
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

/// A node outside of a network that knows its peers and has received a datagram of each.
pub struct IsolatedMember {
    member: Member,
    peers: Rc<PeerDatagrams>,
    now: f64,
    /// Number of the initial datagrams that it has accepted.
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

    /// Delivers the initial datagrams again; returns how many were accepted.
    pub fn replay(&mut self) -> u64 {
        deliver(&mut self.member, self.now, &self.peers.datagrams)
    }

    /// Runs the node's timers for this many seconds while no peer responds. After one or two seconds it begins to suspect its
    /// peers.
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

/// Delivers datagrams to a node and drops its responses; returns how many were accepted.
fn deliver(member: &mut Member, now: f64, datagrams: &[Vec<u8>]) -> u64 {
    let before = member.accepted_datagrams();
    let mut responses = Vec::new();
    for datagram in datagrams {
        member.receive(now, 0, datagram, &mut responses);
        responses.clear();
    }
    member.accepted_datagrams() - before
}
