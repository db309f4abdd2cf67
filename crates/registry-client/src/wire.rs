//! The client side of the registry's wire protocol.
//!
//! Received bytes are untrusted: lengths are checked against the available bytes before anything is allocated, and a
//! frame longer than [`MAX_FRAME_LEN`] is rejected by its header.
//!
//! | module | content |
//! | --- | --- |
//! | `frames` | splits a stream of bytes into frames |
//! | `fields` | reads and writes the fields of records |
//! | `records` | records that several operations share |
//! | `operations` | requests, their responses and errors |
//!
//! Source: the ZooKeeper Programmer's Guide and Internals, and the published record definitions (`zookeeper.jute`,
//! release 3.9): integers are big-endian, strings and buffers are prefixed by a length of four bytes (-1 for none).

mod fields;
mod frames;
mod operations;
mod records;

pub use fields::{Reader, Writer};
pub use frames::FrameDecoder;
pub(crate) use operations::decode_response;
pub use operations::{Op, OperationError, Response};
pub use records::{Acl, Stat, WatchEvent, WatchEventKind};

use thiserror::Error;

/// Maximum length of a frame, in bytes: the default limit of registries (`jute.maxbuffer`, 1 MiB) plus space for
/// headers.
pub const MAX_FRAME_LEN: usize = (1 << 20) + (64 << 10);

/// A violation of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The length of a frame, buffer or list is negative or exceeds the maximum.
    #[error("invalid length in a message: {0}")]
    InvalidLength(i64),
    /// A frame ends before the end of its record.
    #[error("truncated record")]
    Truncated,
    /// A string is not in UTF-8.
    #[error("a string is not valid UTF-8")]
    InvalidUtf8,
    /// A response does not belong to the oldest pending request; its request id (xid) is given.
    #[error("unexpected response to request {0}")]
    UnexpectedResponse(i32),
    /// A member responded from an older state than the session has seen; both transaction ids (zxid) are given.
    #[error("the registry's state {0:#x} is older than the last seen state {1:#x}")]
    StaleState(i64, i64),
}
