//! Size limits of frames, and the size of values in them.

use serde::Serialize;

/// Longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Maximum size of a frame without its payload, in bytes.
pub const MAX_FRAME_OVERHEAD_BYTES: usize = 80;

/// Size of a value in a frame, in bytes.
pub fn serialized_size<T: Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).map_or(MAX_FRAME_BYTES, |bytes| bytes.len())
}
