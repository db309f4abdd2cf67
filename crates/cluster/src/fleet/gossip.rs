//! Gossip and anti-entropy rounds, announcements, and sending datagrams.

use super::{Fleet, OutgoingDatagram, ISOLATION_TIMEOUT};
use crate::members::max_transmissions;
use crate::node::Node;
use crate::wire::{AntiEntropy, AppMessage, DatagramWriter, Header};
use crate::{Time, MICROS_PER_SECOND};
use rand::RngExt;
use std::net::SocketAddr;

/// Maximum number of peers whose clocks are awaited.
const MAX_AWAITED_ECHOES: usize = 64;
/// Interval of announcements of an isolated node, in seconds.
const ISOLATED_ANNOUNCE_INTERVAL: Time = 0.5;
/// Interval of announcements of a node that is not isolated, in seconds.
const ANNOUNCE_INTERVAL: Time = 10.0;
/// Factors by which the intervals of announcements vary at random.
const ANNOUNCE_JITTER: std::ops::Range<f64> = 0.5..1.0;

impl Fleet {
    /// Sends an application message to another node. It may be lost, and one that is too long is dropped.
    pub fn send_message(&mut self, to: &Node, body: Vec<u8>) {
        let message = AppMessage {
            from: self.members.local_node().clone(),
            to_tag: to.incarnation.tag,
            body,
        };
        if let Some(datagram) = message.seal(&self.secret) {
            self.enqueue(to.address, datagram);
        }
    }

    pub(super) fn header(&mut self, now: Time, to: &Node) -> Header {
        self.last_sequence += 1;
        Header {
            from: self.members.local_node().clone(),
            to_tag: to.incarnation.tag,
            sequence: self.last_sequence,
            clock_us: (now * MICROS_PER_SECOND) as u64,
            echo: self.clocks.echo(now, to.incarnation.tag),
            requests_echo: false,
            newer_incarnation: None,
            swim: Vec::new(),
            anti_entropy: None,
            members: Vec::new(),
        }
    }

    /// Sends a datagram with as many pending entries as fit; without entries if there is no echo, from which the
    /// receiver computes a bound of their ages.
    pub(super) fn send_with_entries(&mut self, now: Time, to: SocketAddr, header: &Header) {
        let Some(mut writer) = DatagramWriter::new(header) else {
            return;
        };
        if header.echo.is_some() {
            let max_transmissions = max_transmissions(self.members.other_count());
            self.table
                .offer_pending(now, max_transmissions, |entry| writer.add(entry));
        }
        self.send(to, writer);
    }

    pub(super) fn send(&mut self, to: SocketAddr, writer: DatagramWriter) {
        let datagram = writer.seal(&self.secret);
        self.enqueue(to, datagram);
    }

    fn enqueue(&mut self, to: SocketAddr, datagram: Vec<u8>) {
        self.counters.sent_datagrams += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        self.outgoing.push_back(OutgoingDatagram {
            to,
            bytes: datagram,
        });
    }

    /// A random sample of at most `size` other members.
    fn sample_members(&mut self, size: usize) -> Vec<Node> {
        let mut all: Vec<&Node> = self.members.others().collect();
        // Sorted since the order of a hash table is random, and the same seed has to give the same sample.
        all.sort_unstable_by_key(|node| node.incarnation);
        let mut sample = Vec::with_capacity(size);
        while sample.len() < size && !all.is_empty() {
            let index = self.rng.random_range(0..all.len());
            sample.push(all.swap_remove(index).clone());
        }
        sample
    }

    /// Sends the pending entries to a sample of the members. Those whose clocks are unknown are asked for them first.
    pub(super) fn gossip_round(&mut self, now: Time) {
        if !self
            .table
            .has_pending(max_transmissions(self.members.other_count()))
        {
            return;
        }
        for to in self.sample_members(self.config.gossip_fanout) {
            let mut header = self.header(now, &to);
            if header.echo.is_none() {
                header.requests_echo = true;
                self.awaiting_echo.insert(to.incarnation.tag);
            }
            self.send_with_entries(now, to.address, &header);
        }
        // Peers that do not respond are not awaited forever.
        while self.awaiting_echo.len() > MAX_AWAITED_ECHOES {
            self.awaiting_echo.pop_first();
        }
    }

    /// Sends the digests of this node's table and membership to one other member, which responds with what differs.
    pub(super) fn anti_entropy_round(&mut self, now: Time) {
        for to in self.sample_members(1) {
            let mut header = self.header(now, &to);
            header.anti_entropy = Some(AntiEntropy::Request(self.digests()));
            self.send_with_entries(now, to.address, &header);
        }
    }

    /// Announces the local node to one address where another node may be found: often while it is isolated, otherwise
    /// rarely. The rare announcements merge the two sides of a partition that has lasted so long that they have
    /// forgotten each other. The addresses of known members are candidates besides the seeds, since all members may
    /// have restarted and ignore datagrams to their former incarnations.
    pub(super) fn announce(&mut self, now: Time) {
        let is_isolated =
            self.members.other_count() == 0 || now - self.last_received_at > ISOLATION_TIMEOUT;
        let known = self.known_addresses();
        if !known.is_empty() {
            let index = self.rng.random_range(0..known.len());
            self.members.announce(now, known[index]);
        }
        let interval = if is_isolated {
            ISOLATED_ANNOUNCE_INTERVAL
        } else {
            ANNOUNCE_INTERVAL
        };
        self.next_announce = now + interval * self.rng.random_range(ANNOUNCE_JITTER);
    }

    fn known_addresses(&self) -> Vec<SocketAddr> {
        let own = self.members.local_node().address;
        let mut known: Vec<SocketAddr> = self.members.others().map(|n| n.address).collect();
        known.extend(&self.config.seeds);
        known.retain(|address| *address != own);
        known.sort_unstable();
        known.dedup();
        known
    }
}
