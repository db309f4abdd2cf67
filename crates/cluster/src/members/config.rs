//! The configuration of the membership protocol.

use super::MAX_HEALTH_SCORE;
use crate::wire::MAX_SWIM_LEN;
use crate::Time;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The library remembers a dead member for this time, in seconds.
const REMOVE_DEAD_AFTER: Time = 3600.0;
/// Interval at which the library announces the node to a member, in seconds.
const ANNOUNCE_INTERVAL: Time = 10.0;
/// Interval at which the library announces the node to a dead member, in seconds.
const ANNOUNCE_TO_DEAD_INTERVAL: Time = 2.0;
/// Interval of the library's gossip, in seconds.
const GOSSIP_INTERVAL: Time = 0.2;
/// Number of members that the library gossips with in each interval.
const GOSSIP_FAN_OUT: usize = 3;

/// How members are probed, and when they are declared dead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Interval of probes, in seconds; each probe is sent to one other member.
    pub probe_interval: Time,
    /// If a member does not answer a probe within this time, in seconds, it is probed through other members.
    pub probe_timeout: Time,
    /// A member that does not refute a suspicion within this time, in seconds, is declared dead.
    pub suspicion_timeout: Time,
    /// Number of members through which a member is probed indirectly.
    pub indirect_probes: usize,
    /// The expected number of nodes, which determines how often updates are retransmitted.
    pub expected_nodes: u32,
    /// The worst local health score. At a score of `n`, the intervals and timeouts of probes and suspicions are
    /// multiplied by `n + 1`; 0 disables the extension.
    pub max_health_score: u32,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            probe_interval: 1.0,
            probe_timeout: 0.3,
            suspicion_timeout: 4.0,
            indirect_probes: 3,
            expected_nodes: 32,
            max_health_score: MAX_HEALTH_SCORE,
        }
    }
}

/// How often each node transmits an update: 4 log10(N + 1) for N nodes, as in the library's configuration for a LAN.
pub fn max_transmissions(size: usize) -> u32 {
    ((size as f64 + 1.0).log10() * 4.0).ceil().clamp(2.0, 32.0) as u32
}

impl MembershipConfig {
    pub(super) fn library_config(&self) -> Config {
        let seconds = Duration::from_secs_f64;
        let nonzero = |value: usize| NonZeroUsize::new(value).unwrap_or(NonZeroUsize::MIN);
        let periodic = |interval: Time, members: usize| {
            Some(PeriodicParams {
                frequency: seconds(interval),
                num_members: nonzero(members),
            })
        };
        let transmissions = max_transmissions(self.expected_nodes as usize) as u8;
        Config {
            probe_period: seconds(self.probe_interval),
            probe_rtt: seconds(self.probe_timeout),
            num_indirect_probes: nonzero(self.indirect_probes),
            max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: seconds(self.suspicion_timeout),
            remove_down_after: Some(seconds(REMOVE_DEAD_AFTER)),
            max_packet_size: nonzero(MAX_SWIM_LEN),
            notify_down_members: true,
            periodic_announce: periodic(ANNOUNCE_INTERVAL, 1),
            // Dead members receive announcements too, so that the two sides of a partition merge when it ends.
            periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DEAD_INTERVAL, 1),
            periodic_gossip: periodic(GOSSIP_INTERVAL, GOSSIP_FAN_OUT),
        }
    }
}
