//! The links of a [`Cluster`]: loss, duplication, delay and partitions, and the datagrams in flight.

use super::address::node_at;
use super::Cluster;
use rand::Rng;
use std::net::SocketAddr;

/// Microseconds per second. Deliveries and timers are ordered by whole microseconds.
pub(super) const MICROSECONDS: f64 = 1e6;

/// The properties of links.
#[derive(Clone, Copy)]
pub struct Links {
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Fraction of the datagrams that are duplicated.
    pub duplication: f64,
    /// Minimum delay of a datagram, in seconds.
    pub min_delay: f64,
    /// Maximum delay of a datagram, in seconds.
    pub max_delay: f64,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            loss: 0.0,
            duplication: 0.0,
            min_delay: 0.0005,
            max_delay: 0.002,
        }
    }
}

/// One direction of the link between two nodes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Path {
    from: usize,
    to: usize,
}

/// When a datagram arrives. Datagrams of the same microsecond arrive in the order in which they were sent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeliveryTime {
    pub(super) microseconds: u64,
    sequence: u64,
}

/// A datagram in flight.
pub(super) struct InFlight {
    pub(super) to: usize,
    pub(super) datagram: Vec<u8>,
}

impl Cluster {
    /// Drops all datagrams between two sets of nodes, in both directions.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        self.partition_one_way(one, other);
        self.partition_one_way(other, one);
    }

    /// Drops all datagrams that are sent from one set of nodes to another from now on.
    pub fn partition_one_way(&mut self, from: &[usize], to: &[usize]) {
        for from in from {
            let paths = to.iter().map(|to| Path {
                from: *from,
                to: *to,
            });
            self.partitioned.extend(paths);
        }
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Delivers a datagram to a node after `delay` seconds, regardless of links and partitions.
    pub fn inject(&mut self, to: usize, datagram: Vec<u8>, delay: f64) {
        self.last_sequence += 1;
        if let Some(digest) = &mut self.digest {
            digest
                .update(&self.now.to_bits().to_le_bytes())
                .update(&delay.to_bits().to_le_bytes());
            digest.update(&(to as u64).to_le_bytes()).update(&datagram);
        }
        let at = DeliveryTime {
            microseconds: ((self.now + delay) * MICROSECONDS) as u64,
            sequence: self.last_sequence,
        };
        self.in_flight.insert(at, InFlight { to, datagram });
    }

    /// Sends a datagram of a node over its link, which may drop, delay or duplicate it.
    pub(super) fn send(&mut self, from: usize, to: SocketAddr, datagram: &[u8]) {
        self.datagrams_sent += 1;
        self.bytes_sent += datagram.len() as u64;
        if let Some(inspector) = &mut self.inspector {
            inspector.add(datagram);
        }
        let to = node_at(to);
        if to >= self.processes.len() || self.partitioned.contains(&Path { from, to }) {
            return;
        }
        let is_duplicated = self.rng.random::<f64>() < self.links.duplication;
        let copies = 1 + usize::from(is_duplicated);
        for _ in 0..copies {
            let receive_loss = self.receive_loss.get(&to);
            let is_lost_at_receiver =
                receive_loss.is_some_and(|loss| self.rng.random::<f64>() < *loss);
            if self.rng.random::<f64>() >= self.links.loss && !is_lost_at_receiver {
                let Links {
                    min_delay,
                    max_delay,
                    ..
                } = self.links;
                let delay = min_delay + (max_delay - min_delay) * self.rng.random::<f64>();
                self.inject(to, datagram.to_vec(), delay);
            }
        }
    }
}
