//! Settings files of nodes with several services.

use reelfall_testbed::pool::Server;

const LISTENER: &str = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n";

/// A settings file with one listener and these services.
pub fn settings_file(services: &[&str]) -> String {
    LISTENER.to_owned() + &services.concat()
}

/// A service at `NAME.example.org` whose requests are idempotent. `service_settings` is added to the section of the service.
pub fn idempotent_service(name: &str, service_settings: &str, servers: &str) -> String {
    service(name, "safe", service_settings, servers)
}

/// A service at `NAME.example.org` whose requests must take effect at most once.
pub fn non_idempotent_service(name: &str, service_settings: &str, servers: &str) -> String {
    service(name, "unsafe", service_settings, servers)
}

/// A service with one class, which has the name of the service.
fn service(name: &str, repeat: &str, service_settings: &str, servers: &str) -> String {
    format!(
        "[[service]]\nname = \"{name}\"\n{service_settings}\n[[service.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\n\
         aim = \"500ms\"\ndeadline = \"5s\"\n[[service.route]]\nhost = \"{name}.example.org\"\npath = \"/api\"\n{servers}"
    )
}

/// The `[[service.server]]` sections of these servers.
pub fn server_sections(servers: &[&Server]) -> String {
    servers
        .iter()
        .map(|server| server_section(server))
        .collect()
}

fn server_section(server: &Server) -> String {
    format!(
        "[[service.server]]\nname = \"{}\"\naddress = \"{}\"\n\n",
        server.name, server.address
    )
}
