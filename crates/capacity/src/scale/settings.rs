//! Settings files of any size, for measuring what reading and applying them costs.

use super::report::Size;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::Range;

/// The address before that of the first server; the others follow it.
const BEFORE_SERVERS: u32 = u32::from_be_bytes([10, 0, 0, 0]);
/// The port of all servers.
const SERVER_PORT: u16 = 8080;
/// Zones that the servers are spread over.
const ZONES: usize = 3;
/// One route in so many changes something and must not be repeated.
const WRITES_EVERY: usize = 4;

/// What stands before the services, behind the number of nodes.
const HEAD: &str = r#"descriptors = 65536
memory = "2GiB"

[[listener]]
name = "public"
address = "127.0.0.1:8443"
"#;

/// The kinds of requests that each service knows.
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

/// Writes a settings file with as many services, servers, routes and tenants as `size` says, spread evenly.
///
/// There is one service at least, and one route at least for each service, or the file would not be valid. The same
/// size gives the same file.
pub fn settings_file(size: &Size) -> String {
    let services = size.services.max(1);
    let routes = size.routes.max(services);
    let mut text = format!("[process]\nnodes = {}\n{HEAD}", size.nodes.max(1));
    for service in 0..services {
        let servers = share(size.servers, services, service);
        text += &format!("\n[[service]]\nname = \"service-{service}\"\n");
        if servers.is_empty() {
            // Without a word on servers, a service would not be valid.
            text += "server = []\n";
        }
        text += CLASSES;
        text.extend(share(routes, services, service).map(|n| route(service, n)));
        text.extend(servers.map(server));
        text.extend(share(size.tenants, services, service).map(member));
    }
    text
}

/// The part of `total` things that one of several services has.
fn share(total: usize, services: usize, service: usize) -> Range<usize> {
    let start = |service: usize| total / services * service + (total % services).min(service);
    start(service)..start(service + 1)
}

fn route(service: usize, n: usize) -> String {
    let (method, class) = if n.is_multiple_of(WRITES_EVERY) {
        ("POST", "write")
    } else {
        ("GET", "read")
    };
    format!(
        "\n[[service.route]]\nhost = \"service-{service}.example.org\"\npath = \"/v1/route-{n}\"\n\
         methods = [\"{method}\"]\nassign = \"{class}\"\n"
    )
}

fn server(n: usize) -> String {
    let number = u32::try_from(n + 1).unwrap_or(u32::MAX);
    let address = SocketAddrV4::new(
        Ipv4Addr::from(BEFORE_SERVERS.saturating_add(number)),
        SERVER_PORT,
    );
    let zone = n % ZONES;
    format!("\n[[service.server]]\nname = \"server-{n}\"\naddress = \"{address}\"\nzone = \"zone-{zone}\"\n")
}

fn member(n: usize) -> String {
    format!("\n[[service.member]]\nname = \"tenant-{n}\"\nquota = \"10/s\"\n")
}
