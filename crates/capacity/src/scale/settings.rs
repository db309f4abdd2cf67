//! Settings files of any size, as input of a [`computation`](super::computation).

use super::report::Size;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;

/// Address that precedes the servers' addresses.
const BASE_ADDRESS: u32 = u32::from_be_bytes([10, 0, 0, 0]);
/// The port of all servers.
const SERVER_PORT: u16 = 8080;
/// Zones that the servers are distributed over.
const ZONES: usize = 3;
/// One route in this many is a write route, whose requests must not be retried.
const ROUTES_PER_WRITE: usize = 4;

/// The part of the file between the number of nodes and the services.
const HEAD: &str = r#"descriptors = 65536
memory = "2GiB"

[[listener]]
name = "public"
address = "127.0.0.1:8443"
"#;

/// The request classes of each service.
const CLASSES: &str = r#"
[[service.class]]
name = "read"
repeat = "safe"
aim = "150ms"
deadline = "600ms"

[[service.class]]
name = "write"
repeat = "unsafe"
aim = "200ms"
deadline = "1s"
"#;

/// Writes a settings file with as many services, servers, routes and tenants as `size` says, distributed evenly.
///
/// There is at least one service, and at least one route for each service, or the file would be invalid. The same size
/// gives the same file.
pub fn settings_file(size: &Size) -> String {
    let services = size.services.max(1);
    let routes = size.routes.max(services);
    let mut text = format!("[process]\nnodes = {}\n{HEAD}", size.nodes.max(1));
    for service in 0..services {
        let servers = items_of(size.servers, services, service);
        text += &format!("\n[[service]]\nname = \"service-{service}\"\n");
        if servers.is_empty() {
            // A service without this key would be invalid.
            text += "server = []\n";
        }
        text += CLASSES;
        text.extend(items_of(routes, services, service).map(|index| route(service, index)));
        text.extend(servers.map(server));
        text.extend(items_of(size.tenants, services, service).map(tenant));
    }
    text
}

/// Returns the indexes of the items that one service gets out of `total`.
fn items_of(total: usize, services: usize, service: usize) -> Range<usize> {
    let start = |service: usize| total / services * service + (total % services).min(service);
    start(service)..start(service + 1)
}

fn route(service: usize, index: usize) -> String {
    let (method, class) = if index.is_multiple_of(ROUTES_PER_WRITE) {
        ("POST", "write")
    } else {
        ("GET", "read")
    };
    format!(
        "\n[[service.route]]\nhost = \"service-{service}.example.org\"\npath = \"/v1/route-{index}\"\n\
         methods = [\"{method}\"]\nassign = \"{class}\"\n"
    )
}

fn server(index: usize) -> String {
    let number = u32::try_from(index + 1).unwrap_or(u32::MAX);
    let address = SocketAddrV4::new(
        Ipv4Addr::from(BASE_ADDRESS.saturating_add(number)),
        SERVER_PORT,
    );
    let zone = index % ZONES;
    format!("\n[[service.server]]\nname = \"server-{index}\"\naddress = \"{address}\"\nzone = \"zone-{zone}\"\n")
}

fn tenant(index: usize) -> String {
    format!("\n[[service.member]]\nname = \"tenant-{index}\"\nquota = \"10/s\"\n")
}
