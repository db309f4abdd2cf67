//! Numeric codes of the ZooKeeper protocol: operations, errors, permissions, watches and events.
//!
//! Source: the record definitions of ZooKeeper 3.9.

/// Error code of a successful response.
pub(super) const OK: i32 = 0;
/// Operation number of error results in a batch, and of the end of a batch.
pub(super) const NO_OPERATION: i32 = -1;
/// Request number (xid) of watch events, which answer no request.
pub(super) const WATCH_EVENT_XID: i32 = -1;
/// Connection state in watch events: the client is connected.
pub(super) const STATE_CONNECTED: i32 = 3;

/// Permission bits of an access rule.
pub(super) mod permission {
    pub(in crate::registry) const READ: i32 = 1;
    pub(in crate::registry) const WRITE: i32 = 2;
    pub(in crate::registry) const CREATE: i32 = 4;
    pub(in crate::registry) const DELETE: i32 = 8;
    pub(in crate::registry) const ADMIN: i32 = 16;
    pub(in crate::registry) const ALL: i32 = READ | WRITE | CREATE | DELETE | ADMIN;
}

/// Why a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[repr(i32)]
pub(super) enum ErrorCode {
    #[error("another operation of the batch failed")]
    RuntimeInconsistency = -2,
    #[error("the operation is not implemented")]
    Unimplemented = -6,
    #[error("the arguments are invalid")]
    BadArguments = -8,
    #[error("the entry does not exist")]
    NoNode = -101,
    #[error("the access list does not permit it")]
    NoAuth = -102,
    #[error("the entry has another version")]
    BadVersion = -103,
    #[error("an ephemeral entry has no children")]
    NoChildrenForEphemerals = -108,
    #[error("the entry exists")]
    NodeExists = -110,
    #[error("the entry has children")]
    NotEmpty = -111,
    #[error("the access list is invalid")]
    InvalidAcl = -114,
    #[error("the credentials are invalid")]
    AuthFailed = -115,
    #[error("there is no such watch")]
    NoWatcher = -121,
}

impl ErrorCode {
    /// The code in response headers.
    pub(super) fn code(self) -> i32 {
        self as i32
    }
}

/// An operation that a client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    Create,
    Delete,
    Exists,
    GetData,
    SetData,
    GetAcl,
    SetAcl,
    GetChildren,
    Sync,
    Ping,
    GetChildrenWithStat,
    CheckVersion,
    Multi,
    CreateWithStat,
    CheckWatches,
    RemoveWatches,
    CreateContainer,
    CreateWithTtl,
    MultiRead,
    Authenticate,
    SetWatches,
    GetEphemerals,
    CountDescendants,
    SetAllWatches,
    AddWatch,
    WhoAmI,
    CloseSession,
}

impl Operation {
    /// Decodes an operation number; `None` if it is unknown.
    pub(super) fn from_number(number: i32) -> Option<Operation> {
        Some(match number {
            -11 => Operation::CloseSession,
            1 => Operation::Create,
            2 => Operation::Delete,
            3 => Operation::Exists,
            4 => Operation::GetData,
            5 => Operation::SetData,
            6 => Operation::GetAcl,
            7 => Operation::SetAcl,
            8 => Operation::GetChildren,
            9 => Operation::Sync,
            11 => Operation::Ping,
            12 => Operation::GetChildrenWithStat,
            13 => Operation::CheckVersion,
            14 => Operation::Multi,
            15 => Operation::CreateWithStat,
            17 => Operation::CheckWatches,
            18 => Operation::RemoveWatches,
            19 => Operation::CreateContainer,
            21 => Operation::CreateWithTtl,
            22 => Operation::MultiRead,
            100 => Operation::Authenticate,
            101 => Operation::SetWatches,
            103 => Operation::GetEphemerals,
            104 => Operation::CountDescendants,
            105 => Operation::SetAllWatches,
            106 => Operation::AddWatch,
            107 => Operation::WhoAmI,
            _ => return None,
        })
    }

    /// Whether the operation creates an entry.
    pub(super) fn is_create(self) -> bool {
        matches!(
            self,
            Operation::Create
                | Operation::CreateWithStat
                | Operation::CreateContainer
                | Operation::CreateWithTtl
        )
    }
}

/// The kind of change that a watch event reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(i32)]
pub(super) enum WatchEvent {
    Created = 1,
    Deleted = 2,
    DataChanged = 3,
    ChildrenChanged = 4,
}

impl WatchEvent {
    /// The code in watch events.
    pub(super) fn code(self) -> i32 {
        self as i32
    }
}

/// The kind of watch that a client looks up or removes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchKind {
    Children,
    Data,
    Any,
    Persistent,
    PersistentRecursive,
}

impl WatchKind {
    /// Decodes the number of a watch kind; `None` if it is unknown.
    pub(super) fn from_number(number: i32) -> Option<WatchKind> {
        Some(match number {
            1 => WatchKind::Children,
            2 => WatchKind::Data,
            3 => WatchKind::Any,
            4 => WatchKind::Persistent,
            5 => WatchKind::PersistentRecursive,
            _ => return None,
        })
    }
}
