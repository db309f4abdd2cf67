//! The settings files of real nodes, for [`real`](super::real).

use super::datagram::FLEET_NAME;
use super::fleet_state::{zone_name, ZONES};
use super::network::Network;
use reelfall_testbed::pool::Server;
use std::net::SocketAddr;
use std::path::Path;

/// The parameters that the settings of all real nodes share.
pub struct RealFleet<'a> {
    /// Number of real nodes.
    pub count: usize,
    /// The simulated nodes of the same fleet.
    pub network: &'a Network,
    /// The key file of the fleet.
    pub key_file: &'a Path,
    /// The stub servers of the service that serves requests.
    pub servers: &'a [Server],
    /// Address of the discovery service that the other service follows.
    pub discovery: SocketAddr,
}

impl RealFleet<'_> {
    /// Renders the settings of one node: a service that serves requests, and one that only follows an endpoint list.
    pub fn settings(&self, index: usize) -> String {
        let seeds: Vec<String> = self
            .network
            .state
            .seeds()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let servers: String = self.servers.iter().map(server_table).collect();
        let discovery = format!("discovery = \"{}\"\n", self.discovery);
        let serving = service_tables("evaluate", "", &servers);
        let following = service_tables("listed", &discovery, "");
        format!(
            "[process]\nnodes = {}\nzone = \"{}\"\n\n[management]\naddress = \"127.0.0.1:0\"\n\n[fleet]\n\
             name = \"{FLEET_NAME}\"\nnode = \"real-{index}\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"{}\"\n\
             seeds = [{}]\nsize = {}\n\n[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n\
             {serving}{following}",
            self.count,
            zone_name(index % ZONES),
            self.key_file.display(),
            seeds.join(", "),
            self.network.node_count() + self.count,
        )
    }
}

fn server_table(server: &Server) -> String {
    format!(
        "[[service.server]]\nname = \"{}\"\naddress = \"{}\"\n",
        server.name, server.address
    )
}

fn service_tables(name: &str, discovery: &str, servers: &str) -> String {
    format!(
        "[[service]]\nname = \"{name}\"\n{discovery}cold = {{ warm_after = \"50ms\" }}\n[[service.class]]\n\
         name = \"{name}\"\nrepeat = \"safe\"\naim = \"200ms\"\ndeadline = \"2s\"\n[[service.route]]\n\
         host = \"{name}.example.org\"\npath = \"/api\"\n{servers}\n"
    )
}
