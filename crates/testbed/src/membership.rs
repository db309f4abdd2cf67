//! Servers that have entries in a registry, and the settings of a node that follows them.

use crate::pool::Server;
use crate::registry::Registry;
use serde_json::json;
use std::time::Duration;

/// Where the entries of servers are.
pub const PATH: &str = "/flags/evaluate";

/// A server's entry, with a session that lives until it is killed.
pub struct Announced {
    /// The server's name, and the entry's.
    pub name: String,
    /// The session that it ends with.
    pub session: i64,
}

/// What an entry says. `started` is in milliseconds of Unix time; 0 for long ago.
pub fn data(address: &str, started: u64) -> Vec<u8> {
    json!({ "address": address, "zone": "a", "started": started })
        .to_string()
        .into_bytes()
}

impl Announced {
    /// A server enters itself with a new session.
    pub fn enter(registry: &Registry, server: &Server, name: &str, started: u64) -> Announced {
        let session = registry.open_session();
        registry.put(
            &format!("{PATH}/{name}"),
            &data(&server.address.to_string(), started),
            session,
        );
        Announced {
            name: name.to_owned(),
            session,
        }
    }

    /// Its session ends, though its process may go on.
    pub fn kill(&self, registry: &Registry) {
        registry.kill(self.session);
    }
}

/// The settings of a registry, and of a node with a service `evaluate` (safe, `GET`) and one `toggle` (unsafe, `POST`)
/// that follow the same entries. `follow` goes into the services' registry part, `more` into the registry's.
pub fn settings(registry: &Registry, follow: &str, more: &str) -> String {
    let members: Vec<String> = registry
        .members
        .iter()
        .map(|m| format!("\"{m}\""))
        .collect();
    let service = |name: &str, repeat: &str| {
        format!(
            "[[service]]\nname = \"{name}\"\nregistry = {{ name = \"main\", path = \"{PATH}\"{follow} }}\n\
             tries = {{ most = 4, retry_share = 1.0 }}\n\
             [[service.class]]\nname = \"{name}\"\nrepeat = \"{repeat}\"\naim = \"200ms\"\ndeadline = \"2s\"\n\
             [[service.route]]\nhost = \"{name}.example.org\"\npath = \"/api\"\n\n"
        )
    };
    format!(
        "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n\n[[registry]]\nname = \"main\"\n\
         members = [{}]\n{more}\n\n{}{}",
        members.join(", "),
        service("evaluate", "safe"),
        service("toggle", "unsafe")
    )
}

/// Requests of one of the services.
pub fn kind(run: &str, service: &str, rate: f64) -> crate::load::Workload {
    crate::load::Workload {
        name: format!("{run}-{service}"),
        host: format!("{service}.example.org"),
        method: if service == "toggle" { "POST" } else { "GET" },
        path: "/api/flags".to_owned(),
        headers: Vec::new(),
        body: None,
        deadline: Duration::from_secs(2),
        rate,
    }
}
