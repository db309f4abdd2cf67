//! Control machines that distribute settings to nodes. The tables of roles and the worst cases call it.

use super::costs::Costs;
use crate::scale::report::Size;

/// Nodes of one control machine, of so many machines.
pub fn nodes_per_machine(size: &Size, machines: f64) -> f64 {
    size.nodes as f64 / machines
}

/// Seconds to send so many bytes to each of so many nodes from so many machines, their links filled.
pub fn transfer_seconds(costs: &Costs, bytes: f64, nodes: f64, machines: f64) -> f64 {
    bytes * nodes / machines / costs.machine_bandwidth
}
