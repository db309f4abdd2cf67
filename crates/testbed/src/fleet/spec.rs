//! Size and settings of a fleet, as chosen by tests and scenarios.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of nodes.
    pub node_count: usize,
    /// Number of servers.
    pub server_count: usize,
    /// Number of zones, to which nodes and servers are assigned in turn. With one, the settings name no zone.
    pub zone_count: usize,
    /// How long a server takes for a request.
    pub service_time: Duration,
    /// Additional lines of the section `[fleet]` of the settings; `None` for nodes that are not members of a fleet.
    /// `{folder}` stands for the data folder of the node, which survives its process.
    pub fleet_settings: Option<String>,
    /// Additional lines of the section of each service.
    pub service_settings: String,
    /// Number of discovery services, which are assigned to the nodes in turn. With none, the settings list the servers,
    /// and each node connects to each server through a link of its own.
    pub discovery_count: usize,
    /// Names of the nodes that do not have the default name.
    pub node_names: BTreeMap<usize, String>,
    /// Addresses of seeds in addition to the first three nodes.
    pub seeds: Vec<SocketAddr>,
}

/// Service settings with a slow start that is too short to hide the effects of verdicts.
pub const SHORT_SLOW_START: &str = "cold = { warm_after = \"50ms\" }";

impl Default for FleetSpec {
    fn default() -> FleetSpec {
        FleetSpec {
            node_count: 5,
            server_count: 6,
            zone_count: 1,
            service_time: Duration::from_millis(2),
            fleet_settings: Some(String::new()),
            service_settings: String::new(),
            discovery_count: 0,
            node_names: BTreeMap::new(),
            seeds: Vec::new(),
        }
    }
}
