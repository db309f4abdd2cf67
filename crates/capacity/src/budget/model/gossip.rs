//! Gossip among nodes: membership and verdicts on servers. The tables of roles, the ranking and the worst cases call it.

use super::costs::Costs;
use super::program_limits;
use crate::scale::report::Size;

/// Peers that a gossip round sends updates to.
const FANOUT: f64 = 3.0;
/// Updates for a node that restarts: its end, its beginning and the later incarnation.
const UPDATES_PER_RESTART: f64 = 3.0;
/// Fewest transmissions of an update.
const TRANSMISSION_FLOOR: f64 = 2.0;
/// Most transmissions of an update.
const TRANSMISSION_CEILING: f64 = 32.0;

/// How often each node sends an update, as in `crates/cluster/src/members.rs`.
pub fn transmissions(nodes: f64) -> f64 {
    ((nodes + 1.0).log10() * 4.0)
        .ceil()
        .clamp(TRANSMISSION_FLOOR, TRANSMISSION_CEILING)
}

/// Bytes a second, in and out, that one node spends at most on updates: all datagrams full.
pub fn max_traffic() -> f64 {
    2.0 * program_limits::GOSSIP_DATAGRAM_RATE * program_limits::DATAGRAM_BYTES
}

/// Seconds until a node has sent so many verdicts as often as it has to.
pub fn spread_seconds(costs: &Costs, verdicts: f64, nodes: f64) -> f64 {
    let verdicts_per_datagram = ((program_limits::DATAGRAM_BYTES - costs.header_bytes)
        / costs.verdict_bytes)
        .floor()
        .max(1.0);
    verdicts * transmissions(nodes) / verdicts_per_datagram / program_limits::GOSSIP_DATAGRAM_RATE
}

/// Share of the other nodes whose clock echo is recent enough to accept updates from at once, without updates to send.
pub fn recent_echo_ratio(costs: &Costs, size: &Size) -> f64 {
    let peers = size.nodes as f64 - 1.0;
    1.0 - (-program_limits::ECHO_AGE_SECONDS * costs.gossip_datagram_rate / peers).exp()
}

/// Restarts of nodes a second, of all restarts of machines: their share of the machines.
pub fn node_restart_rate(size: &Size, restart_rate: f64) -> f64 {
    restart_rate * size.nodes as f64 / (size.nodes + size.servers) as f64
}

/// Member updates that a node sends a second, at a rate of restarts of machines a second.
pub fn member_update_rate(size: &Size, restart_rate: f64) -> f64 {
    UPDATES_PER_RESTART * node_restart_rate(size, restart_rate) * transmissions(size.nodes as f64)
}

/// Bytes a second, in and out, of member updates, at a rate of restarts of machines a second.
pub fn membership_traffic(costs: &Costs, size: &Size, restart_rate: f64) -> f64 {
    let updates = member_update_rate(size, restart_rate);
    2.0 * updates * (costs.member_update_bytes + costs.header_bytes)
}

/// Processor seconds of applying one member update: all members are scanned.
pub fn member_update_seconds(costs: &Costs, nodes: f64) -> f64 {
    nodes * costs.member_update_seconds
}

/// Processor time of sampling peers while there are updates: all members are sorted, each time.
pub fn sampling_cores(costs: &Costs, nodes: f64) -> f64 {
    program_limits::GOSSIP_DATAGRAM_RATE / FANOUT * nodes * costs.sampling_seconds
}
