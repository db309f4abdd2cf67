//! Size limits of frames, and the size that a value takes in one.

use serde::Serialize;

/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Bytes that a frame takes beside its payload, at most.
pub const MAX_FRAME_OVERHEAD_BYTES: usize = 80;

/// Size of a value in a frame, in bytes.
pub fn serialized_size<T: Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).map_or(MAX_FRAME_BYTES, |bytes| bytes.len())
}
