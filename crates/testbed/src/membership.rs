//! Servers that are registered in a registry, and the settings of a node that follows their entries. Used by the demo, the
//! scenario and the measurement `membership` and by the tests of registries.

use crate::load::Workload;
use crate::pool::Server;
use crate::registry::Registry;
use serde_json::json;
use std::time::Duration;

/// Path below which the servers have their entries.
pub const SERVERS_PATH: &str = "/flags/evaluate";
/// How long a client of either service waits for a response.
const DEADLINE: Duration = Duration::from_secs(2);

/// A server with an ephemeral entry, whose session lasts until `expire_session` is called.
pub struct RegisteredServer {
    /// Name of the server and of its entry.
    pub name: String,
    /// The session that owns the entry.
    pub session: i64,
}

/// The data of a server's entry. `started_ms` is the server's start in milliseconds of Unix time; 0 stands for long ago.
pub fn entry_data(address: &str, started_ms: u64) -> Vec<u8> {
    json!({ "address": address, "zone": "a", "started": started_ms })
        .to_string()
        .into_bytes()
}

impl RegisteredServer {
    /// Registers a server with a new session.
    pub fn register(
        registry: &Registry,
        server: &Server,
        name: &str,
        started_ms: u64,
    ) -> RegisteredServer {
        let session = registry.open_session();
        let data = entry_data(&server.address.to_string(), started_ms);
        registry.put(&format!("{SERVERS_PATH}/{name}"), &data, session);
        RegisteredServer {
            name: name.to_owned(),
            session,
        }
    }

    /// Expires the session. The server's process continues to serve.
    pub fn expire_session(&self, registry: &Registry) {
        registry.expire_session(self.session);
    }
}

/// The settings of a node with the services `evaluate` (idempotent, `GET`) and `toggle` (at most once, `POST`), which both
/// follow the entries of the servers. `service_options` is appended to the registry table of each service, `registry_lines`
/// to the section of the registry.
pub fn node_settings(registry: &Registry, service_options: &str, registry_lines: &str) -> String {
    let members: Vec<String> = registry
        .members
        .iter()
        .map(|member| format!("\"{member}\""))
        .collect();
    format!(
        "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n[[registry]]\nname = \"main\"\n\
         members = [{}]\n{registry_lines}\n\n{}{}",
        members.join(", "),
        service_section("evaluate", "safe", service_options),
        service_section("toggle", "unsafe", service_options)
    )
}

fn service_section(name: &str, retry_safety: &str, registry_options: &str) -> String {
    format!(
        "[[service]]\nname = \"{name}\"\nregistry = {{ name = \"main\", path = \"{SERVERS_PATH}\"{registry_options} }}\n\
         tries = {{ most = 4, retry_share = 1.0 }}\n\
         [[service.class]]\nname = \"{name}\"\nrepeat = \"{retry_safety}\"\naim = \"200ms\"\ndeadline = \"2s\"\n\
         [[service.route]]\nhost = \"{name}.example.org\"\npath = \"/api\"\n\n"
    )
}

/// A workload for one of the services, with `rate` requests per second. The ids of its requests begin with `run`.
pub fn workload(run: &str, service: &str, rate: f64) -> Workload {
    Workload {
        name: format!("{run}-{service}"),
        host: format!("{service}.example.org"),
        method: if service == "toggle" { "POST" } else { "GET" },
        path: "/api/flags".to_owned(),
        headers: Vec::new(),
        body: None,
        deadline: DEADLINE,
        rate,
    }
}
