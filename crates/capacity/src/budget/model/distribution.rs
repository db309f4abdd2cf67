//! Control machines that distribute settings to nodes, for the tables of roles and the worst cases.

use super::costs::Costs;
use crate::scale::report::Size;

/// Nodes that each of `machines` control machines serves.
pub fn nodes_per_machine(size: &Size, machines: f64) -> f64 {
    size.nodes as f64 / machines
}

/// Seconds to send `bytes` to each of `nodes` from `machines` whose links are saturated.
pub fn transfer_seconds(costs: &Costs, bytes: f64, nodes: f64, machines: f64) -> f64 {
    bytes * nodes / machines / costs.machine_bandwidth
}
