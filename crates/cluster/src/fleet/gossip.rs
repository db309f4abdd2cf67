//! Gossip and anti-entropy rounds, announcements, and sending datagrams.

use super::{Fleet, OutgoingDatagram, ISOLATION_TIMEOUT};
use crate::members::max_transmissions;
use crate::node::Node;
use crate::wire::{AntiEntropy, AppMessage, DatagramWriter, Header};
use crate::{Time, MICROS_PER_SECOND};
use rand::RngExt;
use std::net::SocketAddr;

/// Maximum number of peers whose echo is awaited.
const MAX_AWAITED_ECHOES: usize = 64;
/// Interval of announcements of an isolated node, in seconds.
const ISOLATED_ANNOUNCE_INTERVAL: Time = 0.5;
/// Interval of announcements otherwise, in seconds.
const ANNOUNCE_INTERVAL: Time = 10.0;
/// Jitter of these intervals.
const ANNOUNCE_JITTER: std::ops::Range<f64> = 0.5..1.0;

impl Fleet {
    /// Sends an application message to another node; it may be lost.
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
        self.sequence += 1;
        Header {
            from: self.members.local_node().clone(),
            to_tag: to.incarnation.tag,
            sequence: self.sequence,
            clock_us: (now * MICROS_PER_SECOND) as u64,
            echo: self.clocks.echo(now, to.incarnation.tag),
            requests_echo: false,
            newer_incarnation: None,
            swim: Vec::new(),
            anti_entropy: None,
            members: Vec::new(),
        }
    }

    /// Sends a datagram with as many pending entries as fit, if their age can be proven to the reader.
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

    /// A random sample of so many other members.
    fn sample_members(&mut self, n: usize) -> Vec<Node> {
        let mut all: Vec<&Node> = self.members.others().collect();
        // The order of a hash table is random too: the same seed has to give the same sample.
        all.sort_unstable_by_key(|node| node.incarnation);
        let mut sample = Vec::with_capacity(n);
        while sample.len() < n && !all.is_empty() {
            let at = self.rng.random_range(0..all.len());
            sample.push(all.swap_remove(at).clone());
        }
        sample
    }

    /// Sends the pending entries to a sample of the members, or first asks for an echo those that have sent none.
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
        // Peers that do not answer are not awaited for ever.
        while self.awaiting_echo.len() > MAX_AWAITED_ECHOES {
            self.awaiting_echo.pop_first();
        }
    }

    /// Compares this node's table and members with those of one other member.
    pub(super) fn anti_entropy_round(&mut self, now: Time) {
        for to in self.sample_members(1) {
            let mut header = self.header(now, &to);
            header.anti_entropy = Some(AntiEntropy::Request(self.digests()));
            self.send_with_entries(now, to.address, &header);
        }
    }

    /// Announces this node to another one that may be a member: often while this node is isolated, otherwise rarely, so that
    /// two sides of a long partition that have forgotten each other merge again. The addresses of known members are
    /// candidates too, since all of them may have restarted and ignore datagrams to their former incarnations.
    pub(super) fn announce(&mut self, now: Time) {
        let is_isolated =
            self.members.other_count() == 0 || now - self.received_at > ISOLATION_TIMEOUT;
        let known = self.known_addresses();
        if !known.is_empty() {
            let at = self.rng.random_range(0..known.len());
            self.members.announce(now, known[at]);
        }
        let interval = if is_isolated {
            ISOLATED_ANNOUNCE_INTERVAL
        } else {
            ANNOUNCE_INTERVAL
        };
        self.next_announce = now + interval * self.rng.random_range(ANNOUNCE_JITTER);
    }

    fn known_addresses(&self) -> Vec<SocketAddr> {
        let me = self.members.local_node().address;
        let mut known: Vec<SocketAddr> = self.members.others().map(|n| n.address).collect();
        known.extend(&self.config.seeds);
        known.retain(|address| *address != me);
        known.sort_unstable();
        known.dedup();
        known
    }
}
