//! A growing buffer in chunks of moderate size.
//!
//! One large allocation for each buffered message would fragment the heap, and its memory could only be freed when all of the
//! message was sent.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// Chunks are filled up to this size, in bytes. A larger part that is added at once is a chunk of its own.
const CHUNK_BYTES: usize = 16 << 10;

/// The bytes of a message that were received so far.
pub struct ChunkedBuffer {
    /// How large a chunk may become, in bytes.
    chunk_bytes: usize,
    full_chunks: VecDeque<Bytes>,
    last_chunk: BytesMut,
    length: usize,
}

impl ChunkedBuffer {
    /// An empty buffer.
    pub fn new() -> Self {
        ChunkedBuffer {
            chunk_bytes: CHUNK_BYTES,
            full_chunks: VecDeque::new(),
            last_chunk: BytesMut::new(),
            length: 0,
        }
    }

    /// An empty buffer whose content stays in one chunk, of which `capacity` bytes are expected.
    pub fn contiguous(capacity: usize) -> Self {
        ChunkedBuffer {
            chunk_bytes: usize::MAX,
            last_chunk: BytesMut::with_capacity(capacity),
            ..ChunkedBuffer::new()
        }
    }

    /// Adds a copy of this data.
    pub fn push(&mut self, data: &[u8]) {
        let is_full = self.last_chunk.len().saturating_add(data.len()) > self.chunk_bytes;
        if is_full && !self.last_chunk.is_empty() {
            let full = std::mem::take(&mut self.last_chunk);
            self.full_chunks.push_back(full.freeze());
        }
        self.last_chunk.extend_from_slice(data);
        self.length += data.len();
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// All bytes of a contiguous buffer; of any other, those of the last chunk.
    pub fn last_chunk(&self) -> &[u8] {
        &self.last_chunk
    }

    /// The chunks, in order.
    pub fn into_chunks(self) -> VecDeque<Bytes> {
        let mut chunks = self.full_chunks;
        if !self.last_chunk.is_empty() {
            chunks.push_back(self.last_chunk.freeze());
        }
        chunks
    }
}
