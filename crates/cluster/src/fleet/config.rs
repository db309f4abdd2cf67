//! Settings of a node's part in a fleet.

use crate::members::MembershipConfig;
use crate::quorum::Quorum;
use crate::Time;
use std::net::SocketAddr;

/// Settings of a node's part in a fleet. The fields are named after the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// How members are probed.
    pub membership: MembershipConfig,
    /// The quorum of reports that ejects a server.
    pub quorum: Quorum,
    /// Interval of gossip rounds, in seconds; each goes to [`Config::gossip_fanout`] members.
    pub gossip_interval: Time,
    /// See [`Config::gossip_interval`].
    pub gossip_fanout: usize,
    /// Interval of anti-entropy rounds, in seconds; each goes to one member.
    pub anti_entropy_interval: Time,
    /// Time to live of a report, in seconds.
    pub report_ttl: Time,
    /// An ejected server is probed by one node in each such interval, in seconds.
    pub ejected_probe_interval: Time,
    /// Addresses where members may be found.
    pub seeds: Vec<SocketAddr>,
    /// This node's zone; empty for none.
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
