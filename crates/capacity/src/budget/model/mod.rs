//! Formulas for the resources that each part needs, given the size of the system and unit costs. The tables of the page use them.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`costs`] | unit costs of resources |
//! | [`budget`] | budgets for control |
//! | [`program_limits`] | limits of the node's program |
//! | [`settings`] | the settings file and its changes |
//! | [`endpoint_lists`] | lists of servers, from services or a registry |
//! | [`node`] | memory and processor time of a node |
//! | [`connections`] | connections between nodes and servers |
//! | [`gossip`] | membership and verdicts among nodes |
//! | [`leases`] | leases and their keepers |
//! | [`tenants`] | quotas across nodes |
//! | [`distribution`] | control machines that distribute settings |
//!
//! All amounts are in bytes, seconds and cores. A formula extrapolates beyond the measured range only if its comment says why
//! growth stays linear there.

pub mod budget;
pub mod connections;
pub mod costs;
pub mod distribution;
pub mod endpoint_lists;
pub mod gossip;
pub mod leases;
pub mod node;
pub mod program_limits;
pub mod settings;
pub mod tenants;

use crate::scale::report::Size;

/// Seconds in a day.
pub const DAY_SECONDS: f64 = 86_400.0;
/// Requests per second at the target's peak.
pub const PEAK_REQUEST_RATE: f64 = 1_700_000.0;
/// Number of regions, the same at every size.
pub const REGIONS: f64 = 4.0;
/// Number of zones, the same at every size.
pub const ZONES: f64 = 13.0;
/// Servers of a zone at the target.
pub const ZONE_SERVERS: f64 = 3850.0;
/// Nodes of a zone at the target.
pub const ZONE_NODES: f64 = 460.0;
/// Nodes of a region at the target.
pub const REGION_NODES: f64 = 1500.0;
/// Machines dedicated to control.
pub const CONTROL_MACHINES: f64 = 18.0;
/// Nodes at the smallest of the [`page_sizes`].
const SMALL_NODES: usize = 300;
/// Nodes at the middle one of the [`page_sizes`].
const MEDIUM_NODES: usize = 1500;

/// Returns the target size scaled to `nodes` nodes.
pub fn scaled_size(nodes: usize) -> Size {
    let target = Size::TARGET;
    let scaled = |whole: usize| (whole * nodes).div_ceil(target.nodes);
    Size {
        nodes,
        servers: scaled(target.servers),
        services: scaled(target.services),
        routes: scaled(target.routes),
        tenants: scaled(target.tenants),
        changes: scaled(target.changes),
        restarts: scaled(target.restarts),
    }
}

/// Returns the three sizes shown on the page.
pub fn page_sizes() -> [Size; 3] {
    [
        scaled_size(SMALL_NODES),
        scaled_size(MEDIUM_NODES),
        Size::TARGET,
    ]
}

/// Peak requests per second at this size.
pub fn request_rate(size: &Size) -> f64 {
    PEAK_REQUEST_RATE * size.nodes as f64 / Size::TARGET.nodes as f64
}

/// Peak requests per second at one node.
pub fn node_request_rate(size: &Size) -> f64 {
    request_rate(size) / size.nodes as f64
}
