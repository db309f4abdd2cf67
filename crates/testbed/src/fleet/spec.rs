//! What a fleet consists of, as tests and scenarios choose it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of nodes.
    pub node_count: usize,
    /// Number of servers.
    pub server_count: usize,
    /// Number of zones that nodes and servers are assigned to in turn; with one, the settings name none.
    pub zone_count: usize,
    /// How long a server takes for a request.
    pub service_time: Duration,
    /// Lines of the section `[fleet]` of the settings, beyond those of every fleet; `None` for nodes that don't know each
    /// other. `{folder}` stands for a folder of the node's own, which survives its process.
    pub fleet_settings: Option<String>,
    /// Lines of the section of each service.
    pub service_settings: String,
    /// Number of discovery services, which are assigned to the nodes in turn. With none, the settings list the servers,
    /// and each node reaches each server by a link of its own.
    pub discovery_count: usize,
    /// Names of the nodes that do not have the default one.
    pub node_names: BTreeMap<usize, String>,
    /// Addresses of seeds beside the first three nodes.
    pub seeds: Vec<SocketAddr>,
}

/// Service settings with a slow start so short that the effects of verdicts are not hidden by it.
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
