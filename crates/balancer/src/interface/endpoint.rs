//! The entries of the endpoint list.

use super::{MachineTypeId, ServerId, Time, ZoneId};

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts new requests.
    Up,
    /// It completes its requests in flight and accepts no new ones.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// A hash of its name, the same on every node.
    pub hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Its cell: servers of one cell may share the memory of idempotency keys.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its listed weight.
    pub weight: f64,
    /// When it last started; 0 if that is unknown or long ago.
    pub started_at: Time,
    /// Number of balancers of this node that send to it, including this one.
    pub local_balancers: u32,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The endpoints that have changed.
    Delta,
    /// All endpoints; a server that is missing has been removed.
    Snapshot,
    /// All endpoints, from this node's own copy of an earlier list.
    Cached,
    /// No endpoints: a poll failed or the watch ended.
    Failed,
}
