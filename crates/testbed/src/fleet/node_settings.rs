//! The settings files of the nodes, which [`TestFleet`](super::TestFleet) generates at its start.

use super::datagrams::DatagramNetwork;
use super::{node_name, server_name, FleetSpec, LATENCY_OBJECTIVE};
use crate::link::Link;
use std::path::{Path, PathBuf};

/// All nodes use this number of nodes, the first ones, as seeds.
const SEED_NODES: usize = 3;

/// The data folder of a node, which survives its process.
pub(super) fn node_folder(parent: &Path, node: usize) -> PathBuf {
    parent.join(format!("folder-{node}"))
}

/// The sections `[management]` and `[fleet]` of a node's settings, with the lines `extra` in the latter.
pub(super) fn fleet_section(
    node: usize,
    spec: &FleetSpec,
    network: &DatagramNetwork,
    key_file: &Path,
    extra: &str,
) -> String {
    let seed_nodes = 0..network.node_count().min(SEED_NODES);
    let seeds: Vec<String> = seed_nodes
        .map(|seed| network.address(seed))
        .chain(spec.seeds.iter().copied())
        .map(|address| format!("\"{address}\""))
        .collect();
    let name = spec
        .node_names
        .get(&node)
        .cloned()
        .unwrap_or_else(|| node_name(node));
    let folder = node_folder(key_file.parent().unwrap_or(key_file), node);
    let extra = extra.replace("{folder}", &folder.display().to_string());
    format!(
        "[management]\naddress = \"127.0.0.1:0\"\n\n[fleet]\nname = \"rig\"\nnode = \"{name}\"\nlisten = \"127.0.0.1:0\"\n\
         advertise = \"{}\"\nkey_file = \"{}\"\nseeds = [{}]\n{extra}\n",
        network.address(node),
        key_file.display(),
        seeds.join(", ")
    )
}

/// Name of the zone of a node or server; `None` in a fleet with a single zone.
fn zone(index: usize, spec: &FleetSpec) -> Option<String> {
    (spec.zone_count > 1).then(|| format!("z{}", index % spec.zone_count))
}

fn zone_line(index: usize, spec: &FleetSpec) -> String {
    zone(index, spec).map_or(String::new(), |zone| format!("zone = \"{zone}\"\n"))
}

/// The list of servers in a node's settings, with the addresses of the node's own links to them.
pub(super) fn server_list(spec: &FleetSpec, links: &[Link]) -> String {
    let entry = |(server, link): (usize, &Link)| {
        let name = server_name(server);
        let zone = zone_line(server, spec);
        format!(
            "[[service.server]]\nname = \"{name}\"\naddress = \"{}\"\n{zone}",
            link.address
        )
    };
    links.iter().enumerate().map(entry).collect()
}

/// Where a node gets its servers from, as lines of a service's section.
pub(super) enum ListSource {
    /// A line that names the discovery service.
    Discovery(String),
    /// The list of servers.
    List(String),
}

/// The settings file of a node, with `fleet_section` for the sections of the fleet.
pub(super) fn node_settings(
    node: usize,
    spec: &FleetSpec,
    source: &ListSource,
    fleet_section: &str,
) -> String {
    let zone = zone_line(node, spec);
    let process = format!("[process]\nnodes = {}\n{zone}", spec.node_count);
    format!(
        "{process}\n{fleet_section}\n[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n{}{}",
        service_section("evaluate", "safe", spec, source),
        service_section("toggle", "unsafe", spec, source)
    )
}

fn service_section(
    name: &str,
    retry_safety: &str,
    spec: &FleetSpec,
    source: &ListSource,
) -> String {
    let (discovery, servers) = match source {
        ListSource::Discovery(line) => (line.as_str(), ""),
        ListSource::List(lines) => ("", lines.as_str()),
    };
    format!(
        "[[service]]\nname = \"{name}\"\n{discovery}tries = {{ most = 3, retry_share = 0.5 }}\n{}\n[[service.class]]\n\
         name = \"{name}\"\nrepeat = \"{retry_safety}\"\naim = \"{}ms\"\ndeadline = \"2s\"\n[[service.route]]\n\
         host = \"{name}.example.org\"\npath = \"/api\"\n{servers}\n",
        spec.service_settings,
        LATENCY_OBJECTIVE.as_millis()
    )
}
