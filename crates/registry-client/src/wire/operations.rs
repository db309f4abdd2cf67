//! Requests to the registry, their responses and errors.

use super::{Acl, Reader, Stat, WireError, Writer};
use bytes::Bytes;
use thiserror::Error;

/// The mode of a watch that is persistent and recursive (`PERSISTENT_RECURSIVE` of `AddWatchMode`).
const PERSISTENT_RECURSIVE: i32 = 1;

/// A request to the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Creates an entry at a path.
    Create {
        /// The path.
        path: String,
        /// The data of the entry.
        data: Bytes,
        /// The access list of the entry.
        acl: Vec<Acl>,
        /// Whether the registry removes the entry when this session ends.
        ephemeral: bool,
    },
    /// Removes an entry if it has the given version.
    Delete {
        /// The path.
        path: String,
        /// The required version; -1 matches any.
        version: i32,
    },
    /// Replaces the data of an entry if it has the given version.
    SetData {
        /// The path.
        path: String,
        /// The new data.
        data: Bytes,
        /// The required version; -1 matches any.
        version: i32,
    },
    /// Checks whether an entry exists. The watch reports the next change, removal or creation of the entry.
    Exists {
        /// The path.
        path: String,
        /// Whether to set a watch.
        watch: bool,
    },
    /// Reads the data of an entry. The watch reports its next change or the removal of the entry.
    GetData {
        /// The path.
        path: String,
        /// Whether to set a watch.
        watch: bool,
    },
    /// Reads the access list of an entry.
    GetAcl {
        /// The path.
        path: String,
    },
    /// Lists the children of an entry. The watch reports the next change of the list or the removal of the entry.
    GetChildren {
        /// The path.
        path: String,
        /// Whether to set a watch.
        watch: bool,
    },
    /// Makes the member catch up with the leader before it executes later requests of this session.
    Sync {
        /// The path.
        path: String,
    },
    /// Sets a watch that reports every change of an entry and of all entries below it. It stays set when it fires.
    AddWatch {
        /// The path.
        path: String,
    },
}

impl Op {
    /// The operation code in the request header.
    fn code(&self) -> i32 {
        match self {
            Op::Create { .. } => 1,
            Op::Delete { .. } => 2,
            Op::Exists { .. } => 3,
            Op::GetData { .. } => 4,
            Op::SetData { .. } => 5,
            Op::GetAcl { .. } => 6,
            Op::Sync { .. } => 9,
            Op::GetChildren { .. } => 12,
            Op::AddWatch { .. } => 106,
        }
    }

    /// Encodes the request with the request id `xid` as a frame.
    pub(crate) fn frame(&self, xid: i32) -> Bytes {
        let writer = Writer::new().int(xid).int(self.code());
        match self {
            Op::Create {
                path,
                data,
                acl,
                ephemeral,
            } => {
                let writer = writer
                    .string(path)
                    .buffer(data)
                    .int(i32::try_from(acl.len()).unwrap_or(0));
                let writer = acl.iter().fold(writer, |writer, acl| {
                    writer
                        .int(acl.permissions)
                        .string(&acl.scheme)
                        .string(&acl.id)
                });
                writer.int((*ephemeral).into()).finish()
            }
            Op::Delete { path, version } => writer.string(path).int(*version).finish(),
            Op::SetData {
                path,
                data,
                version,
            } => writer.string(path).buffer(data).int(*version).finish(),
            Op::Exists { path, watch }
            | Op::GetData { path, watch }
            | Op::GetChildren { path, watch } => writer.string(path).boolean(*watch).finish(),
            Op::GetAcl { path } | Op::Sync { path } => writer.string(path).finish(),
            Op::AddWatch { path } => writer.string(path).int(PERSISTENT_RECURSIVE).finish(),
        }
    }
}

/// An error response of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OperationError {
    /// The entry does not exist.
    #[error("the entry does not exist")]
    NoNode,
    /// The entry exists already.
    #[error("the entry exists already")]
    NodeExists,
    /// The entry has another version.
    #[error("the entry has another version")]
    BadVersion,
    /// The session lacks the required permission.
    #[error("this session lacks the required permission")]
    NoAuth,
    /// The registry does not support the operation.
    #[error("the registry does not support the operation")]
    Unimplemented,
    /// Another error, by its code.
    #[error("the registry returned the error code {0}")]
    Other(i32),
}

impl OperationError {
    fn from_code(code: i32) -> OperationError {
        match code {
            -101 => OperationError::NoNode,
            -110 => OperationError::NodeExists,
            -103 => OperationError::BadVersion,
            -102 => OperationError::NoAuth,
            -6 => OperationError::Unimplemented,
            code => OperationError::Other(code),
        }
    }
}

/// The response to a successful request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The operation succeeded without a result.
    Done,
    /// The metadata of an entry.
    Stat(Stat),
    /// The data and metadata of an entry.
    Data(Bytes, Stat),
    /// The access list and metadata of an entry.
    Acl(Vec<Acl>, Stat),
    /// The names of an entry's children (`None` for a name that is not in UTF-8), and the metadata of the entry.
    Children(Vec<Option<String>>, Stat),
}

/// Decodes the body of the response to `op`; `code` is the error code of the response header.
///
/// # Errors
/// If the body is not a valid response to this operation.
pub(crate) fn decode_response(
    op: &Op,
    code: i32,
    reader: &mut Reader,
) -> Result<Result<Response, OperationError>, WireError> {
    if code != 0 {
        return Ok(Err(OperationError::from_code(code)));
    }
    Ok(Ok(match op {
        Op::Create { .. } | Op::Delete { .. } | Op::Sync { .. } | Op::AddWatch { .. } => {
            Response::Done
        }
        Op::Exists { .. } | Op::SetData { .. } => Response::Stat(Stat::read(reader)?),
        Op::GetData { .. } => Response::Data(reader.buffer()?, Stat::read(reader)?),
        Op::GetChildren { .. } => Response::Children(reader.strings()?, Stat::read(reader)?),
        Op::GetAcl { .. } => {
            let count = reader.int()?;
            let mut acl = Vec::new();
            for _ in 0..count.max(0) {
                acl.push(Acl::read(reader)?);
            }
            Response::Acl(acl, Stat::read(reader)?)
        }
    }))
}
