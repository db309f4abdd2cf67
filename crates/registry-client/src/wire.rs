//! The client side of the registry's wire protocol.
//!
//! Received bytes are untrusted: lengths are checked against the available bytes before anything is allocated, and a frame
//! longer than [`MAX_FRAME_LEN`] is rejected by its header.
//!
//! | module | content |
//! | --- | --- |
//! | `frames` | splits a stream of bytes into frames |
//! | `fields` | reads and writes the fields of records |
//! | `records` | records that several operations share |
//! | `operations` | requests, their responses and errors |
//!
//! Source: the ZooKeeper Programmer's Guide and Internals, and the published record definitions (`zookeeper.jute`,
//! release 3.9): integers are big-endian, texts and buffers are prefixed by a length of four bytes (-1 for none).

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

/// Maximum length of a frame, in bytes: the default of registries (`jute.maxbuffer`, 1 MiB), and space for headers.
pub const MAX_FRAME_LEN: usize = (1 << 20) + (64 << 10);

/// A violation of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireError {
    /// The length of a frame is negative or exceeds the maximum.
    #[error("a frame says that it has {0} bytes")]
    InvalidLength(i64),
    /// A record ends too early.
    #[error("a record is cut short")]
    Truncated,
    /// A text is not in UTF-8.
    #[error("a text is not in UTF-8")]
    InvalidUtf8,
    /// A response does not belong to the oldest request.
    #[error("an answer to request {0}, which is not next")]
    UnexpectedResponse(i32),
    /// A member responded from an older state than the session has seen; both states are given.
    #[error("state {0:#x} after state {1:#x}")]
    StaleState(i64, i64),
}
