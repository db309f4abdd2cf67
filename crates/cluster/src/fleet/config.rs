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
    /// Interval of gossip rounds, in seconds; each goes to [`Config::fanout`] members.
    pub spread_every: Time,
    /// See [`Config::spread_every`].
    pub fanout: usize,
    /// Interval of anti-entropy rounds, in seconds; each goes to one member.
    pub heal_every: Time,
    /// Time to live of a report, in seconds.
    pub report_lasts: Time,
    /// An ejected server is probed by one node in each such interval, in seconds.
    pub trial_every: Time,
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
            spread_every: 0.1,
            fanout: 3,
            heal_every: 1.0,
            report_lasts: 10.0,
            trial_every: 1.0,
            seeds: Vec::new(),
            zone: String::new(),
        }
    }
}
