//! Endpoint lists pushed by list services or polled from a registry, for the tables of roles, the ranking and the worst cases.

use super::costs::Costs;
use super::{program_limits, DAY_SECONDS};
use crate::scale::report::Size;

/// Cost to a node of polling all entries of a registry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegistryPolling {
    /// Bytes per second.
    pub traffic: f64,
    /// Processor seconds per second.
    pub cores: f64,
}

/// Bytes per second of the heartbeats on one watch: a packet and its acknowledgement each.
pub fn watch_heartbeat_traffic(costs: &Costs) -> f64 {
    (costs.heartbeat_bytes + 2.0 * costs.packet_overhead) / costs.heartbeat_interval
}

/// Bytes per second of heartbeats with one watch for each service.
pub fn heartbeat_traffic(costs: &Costs, size: &Size) -> f64 {
    size.services as f64 / costs.heartbeat_interval
        * (costs.heartbeat_bytes + 2.0 * costs.packet_overhead)
}

/// Bytes of lists that name `servers` servers in total.
pub fn list_bytes(costs: &Costs, servers: f64) -> f64 {
    costs.list_line_bytes * servers
}

/// Number of servers in the longest list that a node accepts.
pub fn max_list_servers(costs: &Costs) -> f64 {
    (program_limits::ENDPOINT_LIST_BYTES / costs.list_line_bytes).floor()
}

/// Restarts per second, averaged over a day.
pub fn restart_rate(size: &Size) -> f64 {
    size.restarts as f64 / DAY_SECONDS
}

/// Bytes per second of list changes, given the restarts per second.
pub fn change_traffic(costs: &Costs, restart_rate: f64) -> f64 {
    restart_rate
        * costs.list_changes_per_restart
        * (costs.list_line_bytes + 2.0 * costs.packet_overhead)
}

/// Computes the cost of polling all entries of a registry.
pub fn registry_polling(costs: &Costs, size: &Size) -> RegistryPolling {
    let read_rate = size.servers as f64 / costs.registry_poll_interval;
    RegistryPolling {
        traffic: read_rate * costs.registry_entry_bytes,
        cores: read_rate * costs.registry_entry_seconds,
    }
}
