//! Gossip among nodes on membership and verdicts, for the tables of roles, the ranking and the worst cases.

use super::costs::Costs;
use super::program_limits;
use crate::scale::report::Size;

/// Peers that a gossip round sends updates to.
const FANOUT: f64 = 3.0;
/// Updates that the restart of a node causes: its leaving, its joining and its later incarnation.
const UPDATES_PER_RESTART: f64 = 3.0;
/// Lower bound on the transmissions of an update.
const TRANSMISSION_FLOOR: f64 = 2.0;
/// Upper bound on the transmissions of an update.
const TRANSMISSION_CEILING: f64 = 32.0;

/// Number of times each node sends an update; the formula is the one in `crates/cluster/src/members.rs`.
pub fn transmissions(nodes: f64) -> f64 {
    ((nodes + 1.0).log10() * 4.0)
        .ceil()
        .clamp(TRANSMISSION_FLOOR, TRANSMISSION_CEILING)
}

/// Largest update traffic of one node, in and out, in bytes per second: all datagrams are full.
pub fn max_traffic() -> f64 {
    2.0 * program_limits::GOSSIP_DATAGRAM_RATE * program_limits::DATAGRAM_BYTES
}

/// Seconds until a node has completed all transmissions of `verdicts` verdicts.
pub fn spread_seconds(costs: &Costs, verdicts: f64, nodes: f64) -> f64 {
    let verdicts_per_datagram = ((program_limits::DATAGRAM_BYTES - costs.header_bytes)
        / costs.verdict_bytes)
        .floor()
        .max(1.0);
    verdicts * transmissions(nodes) / verdicts_per_datagram / program_limits::GOSSIP_DATAGRAM_RATE
}

/// Fraction of the other nodes whose clock echo is recent enough for their updates to be accepted immediately, while there are
/// no updates to send.
pub fn recent_echo_ratio(costs: &Costs, size: &Size) -> f64 {
    let peers = size.nodes as f64 - 1.0;
    1.0 - (-program_limits::ECHO_AGE_SECONDS * costs.gossip_datagram_rate / peers).exp()
}

/// Node restarts per second out of all machine restarts, in proportion to the nodes' share of the machines.
pub fn node_restart_rate(size: &Size, restart_rate: f64) -> f64 {
    restart_rate * size.nodes as f64 / (size.nodes + size.servers) as f64
}

/// Member updates that a node sends per second, given the machine restarts per second.
pub fn member_update_rate(size: &Size, restart_rate: f64) -> f64 {
    UPDATES_PER_RESTART * node_restart_rate(size, restart_rate) * transmissions(size.nodes as f64)
}

/// Traffic of member updates, in and out, in bytes per second, given the machine restarts per second.
pub fn membership_traffic(costs: &Costs, size: &Size, restart_rate: f64) -> f64 {
    let updates = member_update_rate(size, restart_rate);
    2.0 * updates * (costs.member_update_bytes + costs.header_bytes)
}

/// Processor seconds to apply one member update, which scans all members.
pub fn member_update_seconds(costs: &Costs, nodes: f64) -> f64 {
    nodes * costs.member_update_seconds
}

/// Processor time of sampling peers while there are updates: each gossip round sorts all members.
pub fn sampling_cores(costs: &Costs, nodes: f64) -> f64 {
    program_limits::GOSSIP_DATAGRAM_RATE / FANOUT * nodes * costs.sampling_seconds
}
