//! The configuration of a node.

use crate::members::MembershipConfig;
use crate::quorum::Quorum;
use crate::Time;
use std::net::SocketAddr;

/// The configuration of a node of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How members are probed, and when they are declared dead.
    pub membership: MembershipConfig,
    /// When reports eject a server.
    pub quorum: Quorum,
    /// Interval of gossip rounds, in seconds.
    pub gossip_interval: Time,
    /// Number of members that each gossip round sends datagrams to.
    pub gossip_fanout: usize,
    /// Interval of anti-entropy rounds, in seconds; each compares the tables and memberships with one other member.
    pub anti_entropy_interval: Time,
    /// Time to live of this node's reports, in seconds.
    pub report_ttl: Time,
    /// Interval in which an ejected server is probed, in seconds; on average by one node.
    pub ejected_probe_interval: Time,
    /// Addresses at which other nodes may be found in order to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The local node's zone; empty for none.
    pub zone: String,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            membership: MembershipConfig::default(),
            quorum: Quorum::default(),
            gossip_interval: 0.1,
            gossip_fanout: 3,
            anti_entropy_interval: 1.0,
            report_ttl: 10.0,
            ejected_probe_interval: 1.0,
            seeds: Vec::new(),
            zone: String::new(),
        }
    }
}
