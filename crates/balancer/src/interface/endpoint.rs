//! Servers, as the endpoint list describes them.

use super::{MachineTypeId, ServerId, Time, ZoneId};

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It does.
    Up,
    /// It completes those that it has.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// A hash of its name that is the same on every node.
    pub hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its listed weight.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Time,
    /// How many balancers of this node send to it, this one included.
    pub local_balancers: u32,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The endpoints that changed.
    Delta,
    /// All endpoints; a server that is missing was removed.
    Snapshot,
    /// All endpoints, as this node last had them.
    Cached,
    /// None: a poll failed or the watch ended.
    Failed,
}
