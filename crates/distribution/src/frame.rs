//! Size limits of frames, and the size that a value takes in one.

use serde::Serialize;

/// Longest frame, in bytes.
pub const FRAME_MOST: usize = 16 * 1024;
/// Bytes that a frame takes beside its payload, at most.
pub const FRAME_OVERHEAD: usize = 80;

/// How many bytes something takes in a frame.
pub fn written<T: Serialize>(value: &T) -> usize {
    postcard::to_allocvec(value).map_or(FRAME_MOST, |bytes| bytes.len())
}
