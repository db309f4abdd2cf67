//! The format of endpoint lists: field names of the protocol, and how they map to the balancer's terms.

use super::error::ListError;
use reelfall_balancer::interface::{ServerState, UpdateKind};
use reelfall_balancer::settings::ListedEndpoint;
use serde_json::Value;
use std::net::SocketAddr;

/// The path of the list.
pub(super) const LIST_PATH: &str = "/catalog/members";

/// The path of the changes after the list with this index, which are sent as they happen.
pub(super) fn watch_path(index: u64) -> String {
    format!("{LIST_PATH}?watch=1&after={index}")
}

/// Fields of a list.
mod list_field {
    /// The endpoints.
    pub(super) const ENDPOINTS: &str = "endpoints";
    /// The index of the list, which grows with each change.
    pub(super) const INDEX: &str = "index";
    /// Whether the list is complete, rather than a change.
    pub(super) const IS_SNAPSHOT: &str = "snapshot";
}

/// Fields of an endpoint.
mod endpoint_field {
    /// The server's name.
    pub(super) const NAME: &str = "name";
    /// The server's socket address.
    pub(super) const ADDRESS: &str = "address";
    /// The server's zone.
    pub(super) const ZONE: &str = "zone";
    /// The server's machine type.
    pub(super) const MACHINE_TYPE: &str = "type";
    /// The server's cell.
    pub(super) const CELL: &str = "group";
    /// The server's state.
    pub(super) const STATUS: &str = "status";
    /// The server's weight.
    pub(super) const WEIGHT: &str = "weight";
    /// The Unix time of the server's start, in milliseconds.
    pub(super) const STARTED_AT_MS: &str = "since_ms";
}

/// The status of a server that accepts requests.
const STATUS_UP: &str = "active";
/// The status of a server that was removed.
const STATUS_REMOVED: &str = "left";

/// A list, or a change of one.
pub(super) struct ListUpdate<'a> {
    /// The endpoints, to be read by [`parse_endpoint`].
    pub(super) endpoints: &'a [Value],
    /// The index of the list after this update.
    pub(super) index: u64,
    is_snapshot: bool,
}

impl<'a> ListUpdate<'a> {
    /// Reads a list without its endpoints.
    pub(super) fn parse(list: &'a Value) -> Result<ListUpdate<'a>, ListError> {
        let endpoints = list
            .get(list_field::ENDPOINTS)
            .and_then(Value::as_array)
            .ok_or(ListError::NoEndpoints)?;
        let index = list
            .get(list_field::INDEX)
            .and_then(Value::as_u64)
            .ok_or(ListError::NoIndex)?;
        let is_snapshot = list
            .get(list_field::IS_SNAPSHOT)
            .and_then(Value::as_bool)
            .unwrap_or(false);
        Ok(ListUpdate {
            endpoints,
            index,
            is_snapshot,
        })
    }

    /// The kind of update for the balancer. `is_cached`: the list is known from before, and may be outdated.
    pub(super) fn kind(&self, is_cached: bool) -> UpdateKind {
        if is_cached {
            UpdateKind::Cached
        } else if self.is_snapshot {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        }
    }
}

/// An endpoint of a list, and its server's address.
pub(super) struct ParsedEndpoint<'a> {
    pub(super) listed: ListedEndpoint<'a>,
    pub(super) address: SocketAddr,
}

/// Reads an endpoint of a list; `None` if it has no name or no valid address.
pub(super) fn parse_endpoint(endpoint: &Value) -> Option<ParsedEndpoint<'_>> {
    let text = |field: &str| endpoint.get(field).and_then(Value::as_str);
    let number = |field: &str| endpoint.get(field).and_then(Value::as_f64);
    let address: SocketAddr = text(endpoint_field::ADDRESS)?.parse().ok()?;
    let cell = endpoint.get(endpoint_field::CELL).and_then(Value::as_u64);
    let listed = ListedEndpoint {
        name: text(endpoint_field::NAME)?,
        zone: text(endpoint_field::ZONE),
        machine_type: text(endpoint_field::MACHINE_TYPE),
        cell: cell.map_or(0, |cell| cell as u32),
        state: server_state(text(endpoint_field::STATUS)),
        weight: number(endpoint_field::WEIGHT),
        started_at: number(endpoint_field::STARTED_AT_MS).map(|ms| ms / 1e3),
    };
    Some(ParsedEndpoint { listed, address })
}

/// The state of a server with this status; one with an unknown status is sent no new requests.
fn server_state(status: Option<&str>) -> ServerState {
    match status {
        Some(STATUS_UP) => ServerState::Up,
        Some(STATUS_REMOVED) => ServerState::Removed,
        _ => ServerState::Draining,
    }
}
