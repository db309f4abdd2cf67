//! The registry's protocol, as a client speaks it: frames, records, operations.
//!
//! Whatever comes is untrusted: lengths are held against what is there before anything is taken, and a frame longer than
//! [`FRAME_MOST`] ends the connection before it is kept.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `frames` | a stream of bytes cut into frames |
//! | `fields` | the fields of records, read and written |
//! | `records` | records that several operations share |
//! | `operations` | operations, their answers and errors |
//!
//! Source: the ZooKeeper Programmer's Guide and Internals, and the published record definitions (`zookeeper.jute`,
//! release 3.9): integers are big-endian, texts and buffers have a length of four bytes before them (-1 for none).

mod fields;
mod frames;
mod operations;
mod records;

pub use fields::{Reader, Writer};
pub use frames::Frames;
pub(crate) use operations::answer;
pub use operations::{Answer, Op, Refusal};
pub use records::{Acl, Fired, Happened, Stat};

use thiserror::Error;

/// Longest frame, in bytes: what registries take by default (`jute.maxbuffer`, 1 MiB), and room for its head.
pub const FRAME_MOST: usize = (1 << 20) + (64 << 10);

/// Why bytes are not what the protocol has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WireFault {
    /// A frame of a length that can't be.
    #[error("a frame says that it has {0} bytes")]
    Length(i64),
    /// A record that ends before it should.
    #[error("a record is cut short")]
    Short,
    /// A text that is none.
    #[error("a text is not in UTF-8")]
    Text,
    /// An answer to something that was not asked, or out of order.
    #[error("an answer to request {0}, which is not next")]
    Order(i32),
    /// The registry went back to an older state than it has shown.
    #[error("state {0:#x} after state {1:#x}")]
    Older(i64, i64),
}
