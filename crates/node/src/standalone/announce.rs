//! The line on standard output with the addresses that the node has bound: with port 0 in the settings file, the system
//! chooses the ports, and only this line tells them.

use crate::fleet::FleetRuntime;
use crate::net::frontend::Frontend;
use serde_json::{Map, Value};
use std::io::Write;
use std::net::TcpListener;

/// Prints the addresses of the listeners, of the management interface and of the fleet as one line of JSON.
pub fn print(frontend: &Frontend, management: Option<&TcpListener>, fleet: Option<&FleetRuntime>) {
    let listeners: Map<String, Value> = frontend
        .addresses()
        .into_iter()
        .map(|(name, address)| (name, address.to_string().into()))
        .collect();
    let mut line = Map::from_iter([("listening".to_owned(), listeners.into())]);
    let management = management.and_then(|listener| listener.local_addr().ok());
    if let Some(address) = management {
        line.insert("management".to_owned(), address.to_string().into());
    }
    if let Some(address) = fleet.and_then(FleetRuntime::address) {
        line.insert("fleet".to_owned(), address.to_string().into());
    }
    let line = Value::from(line);
    // Standard output may be closed, which is no reason to stop.
    let _ = writeln!(std::io::stdout(), "{line}");
}
