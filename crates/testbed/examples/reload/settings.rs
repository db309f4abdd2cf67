//! Large settings files of a given size. Called by `main` for each reload.

/// The size of a file.
#[derive(Clone, Copy, Debug)]
pub struct FileSize {
    /// Number of services.
    pub services: usize,
    /// Number of servers of all services.
    pub servers: usize,
    /// Number of routes of all services.
    pub routes: usize,
    /// Number of entries in the server lists of all services; a server may be in several.
    pub listed: usize,
}

/// The beginning of every file: one listener, at any free port.
pub const HEAD: &str = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n";
/// Number of addresses that are used in each subnet; their last bytes are 1 to 250.
const SERVERS_PER_SUBNET: usize = 250;

/// A path that every service but the last one serves in every revision of a file.
pub const LOADED_PATH: &str = "/api/0";

/// The host of a service by its number.
pub fn host(service: usize) -> String {
    format!("service-{service}.example.org")
}

/// A settings file. The first services have the servers of `loaded_servers`, the others have addresses that nothing listens
/// on. Two revisions differ only in the last route.
pub fn text(size: &FileSize, loaded_servers: &[String], revision: usize) -> String {
    let mut text = HEAD.to_owned();
    for service in 0..size.services {
        text += &format!(
            "\n[[service]]\nname = \"service-{service}\"\n\
             [[service.class]]\nname = \"read\"\nrepeat = \"safe\"\naim = \"500ms\"\ndeadline = \"10s\"\n"
        );
        for route in routes(size, service) {
            text += &route_section(size, service, route, revision);
        }
        match loaded_servers.get(service) {
            Some(servers) => text += servers,
            None => text.extend(listed_servers(size, service).map(unreachable_server)),
        }
    }
    text
}

/// The routes of a service: all routes are assigned to the services round-robin.
fn routes(size: &FileSize, service: usize) -> impl Iterator<Item = usize> {
    (service..size.routes).step_by(size.services.max(1))
}

fn route_section(size: &FileSize, service: usize, route: usize, revision: usize) -> String {
    let is_last = route + 1 == size.routes;
    let path = if is_last {
        format!("/revision/{revision}")
    } else {
        format!("/api/{}", route / size.services)
    };
    format!(
        "[[service.route]]\nhost = \"{}\"\npath = \"{path}\"\n",
        host(service)
    )
}

/// The servers of a service: consecutive ones, so that no service lists a server twice.
fn listed_servers(size: &FileSize, service: usize) -> impl Iterator<Item = usize> {
    let first_line = |service: usize| service * size.listed / size.services.max(1);
    let servers = size.servers.max(1);
    (first_line(service)..first_line(service + 1)).map(move |line| line % servers)
}

/// The section of a server at an address that nothing listens on; no request is sent to it.
fn unreachable_server(server: usize) -> String {
    let subnet = server / SERVERS_PER_SUBNET;
    let address = server % SERVERS_PER_SUBNET + 1;
    format!("[[service.server]]\nname = \"server-{server}\"\naddress = \"127.64.{subnet}.{address}:9000\"\n")
}
