//! The control side of one node, without its socket. [`drive`](super::drive) runs it on a socket.
//!
//! A [`SimulatedNode`] does what the node's program does between its socket and its pools, at the same intervals: it
//! receives datagrams, ticks, evaluates the quorum on failing servers and reports the outcomes of attempts. There are
//! no clients and no pools: attempts at failing servers are sampled.

use super::datagram::fleet_secret;
use reelfall_cluster::entry::{Key, ServerInstance};
use reelfall_cluster::fleet::{Config, Fleet, FleetEvent, OutgoingDatagram};
use reelfall_cluster::members::MembershipConfig;
use reelfall_cluster::observer::AttemptOutcome;
use reelfall_cluster::wire::KeyTooShort;
use reelfall_testbed::SeededRng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Interval at which the node's program checks for overdue attempts, in seconds.
pub const OVERDUE_CHECK_INTERVAL: f64 = 0.025;
/// Interval at which the node's program evaluates the quorum on failing servers, in seconds.
pub const QUORUM_INTERVAL: f64 = 0.1;
/// Attempts per second of a node at each failing server that is not ejected.
pub const ATTEMPT_RATE: f64 = 0.5;
/// Operator name that the fleet records for bans.
const BAN_AUTHOR: &str = "scale";

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address of the node's socket.
    pub address: SocketAddr,
    /// Addresses of the nodes through which it joins.
    pub seeds: Vec<SocketAddr>,
    /// Expected number of nodes of the fleet.
    pub fleet_size: u32,
}

/// A server that fails, as the list names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FailingServer {
    /// Name of the server.
    pub name: String,
    /// When it last started, in milliseconds.
    pub started_ms: u64,
}

/// The control side of one node.
pub struct SimulatedNode {
    fleet: Fleet,
    rng: SeededRng,
    next_overdue_check: f64,
    next_quorum: f64,
    ejected: BTreeSet<ServerInstance>,
    /// Ejected servers that this node is to probe.
    probed: BTreeSet<ServerInstance>,
}

impl SimulatedNode {
    /// Creates a node that knows no other node yet.
    ///
    /// # Errors
    /// If the fleet's key is too short.
    pub fn new(config: &NodeConfig, seed: u64, now: f64) -> Result<SimulatedNode, KeyTooShort> {
        let mut rng = SeededRng(seed);
        let process_tag = rng.next_u64() | 1;
        let fleet_seed = rng.next_u64();
        let fleet = Fleet::new(
            &config.name,
            config.address,
            process_tag,
            fleet_config(config),
            fleet_secret()?,
            fleet_seed,
            now,
        );
        Ok(SimulatedNode {
            fleet,
            rng,
            next_overdue_check: now,
            next_quorum: now,
            ejected: BTreeSet::new(),
            probed: BTreeSet::new(),
        })
    }

    /// Handles a datagram. Application messages are dropped.
    pub fn receive(&mut self, now: f64, datagram: &[u8]) {
        self.fleet.receive(now, datagram);
        while self.fleet.next_message().is_some() {}
    }

    /// Runs the timers that are due. Returns the servers banned since the last call.
    pub fn tick(&mut self, now: f64, listed: usize, failing: &[FailingServer]) -> Vec<String> {
        if now >= self.next_overdue_check {
            self.next_overdue_check = now + OVERDUE_CHECK_INTERVAL;
            self.fleet.set_overdue(now, &[]);
        }
        self.fleet.tick(now, listed);
        let banned = self.banned_servers();
        if now >= self.next_quorum {
            self.next_quorum = now + QUORUM_INTERVAL;
            self.evaluate_quorum(now, listed);
            self.attempt(now, failing);
        }
        banned
    }

    /// Returns the time at which [`SimulatedNode::tick`] is due next.
    pub fn deadline(&self) -> f64 {
        self.fleet
            .deadline()
            .min(self.next_overdue_check)
            .min(self.next_quorum)
    }

    /// Takes the next datagram to send.
    pub fn next_datagram(&mut self) -> Option<OutgoingDatagram> {
        self.fleet.next_datagram()
    }

    /// Returns the number of other members that the node knows.
    pub fn member_count(&self) -> usize {
        self.fleet.members().other_count()
    }

    /// Bans a server for `seconds` seconds. Returns whether the node could publish the ban.
    pub fn ban(&mut self, now: f64, server: &str, seconds: f64) -> bool {
        self.fleet
            .ban(now, server, BAN_AUTHOR, Some(seconds))
            .is_some()
    }

    /// Publishes the index of a list that the node has applied.
    pub fn publish_list_index(&mut self, now: f64, list: &str, index: u64) {
        self.fleet.publish_list_index(now, list, index);
    }

    /// Takes the fleet's events. Returns the servers of new bans.
    fn banned_servers(&mut self) -> Vec<String> {
        let mut banned = Vec::new();
        while let Some(event) = self.fleet.next_event() {
            if let FleetEvent::Updated(Key::Ban { server, .. }) = event {
                banned.push(server);
            }
        }
        banned
    }

    fn evaluate_quorum(&mut self, now: f64, listed: usize) {
        let ejected = self.fleet.ejected_servers(now, listed);
        self.probed = ejected
            .iter()
            .filter(|verdict| verdict.is_prober)
            .map(|verdict| verdict.server.clone())
            .collect();
        self.ejected = ejected.into_iter().map(|verdict| verdict.server).collect();
    }

    /// Samples attempts at failing servers. An ejected server is attempted only if this node is its prober.
    fn attempt(&mut self, now: f64, failing: &[FailingServer]) {
        for server in failing {
            let server = ServerInstance {
                name: server.name.clone(),
                started_ms: server.started_ms,
            };
            let is_attempted = if self.ejected.contains(&server) {
                self.probed.contains(&server)
            } else {
                self.rng.next_fraction() < ATTEMPT_RATE * QUORUM_INTERVAL
            };
            if is_attempted {
                self.fleet
                    .record_outcome(now, &server, AttemptOutcome::ServerError);
            }
        }
    }
}

fn fleet_config(config: &NodeConfig) -> Config {
    Config {
        membership: MembershipConfig {
            expected_nodes: config.fleet_size,
            ..MembershipConfig::default()
        },
        seeds: config.seeds.clone(),
        zone: config.zone.clone(),
        ..Config::default()
    }
}
