//! The line on standard output with the node's addresses: with port 0 in the settings file, nobody else knows them.

use crate::fleet::FleetRuntime;
use crate::net::frontend::Frontend;
use serde_json::{Map, Value};
use std::io::Write;
use std::net::TcpListener;

/// Prints the addresses of the listeners, the management address and the fleet's as one line of JSON.
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
    // Nobody may be there to read it.
    let _ = writeln!(std::io::stdout(), "{line}");
}
