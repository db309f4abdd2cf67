//! Splits a stream of bytes into frames: a length of four bytes, followed by as many bytes.

use super::{WireError, MAX_FRAME_LEN};
use bytes::{Buf, Bytes, BytesMut};

/// The bytes that were received but do not form a complete frame yet.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete frame, without its length.
    ///
    /// # Errors
    /// If its length is invalid, after which the stream can't be used any more.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, WireError> {
        let Some(head) = self.buffer.first_chunk::<4>() else {
            return Ok(None);
        };
        let stated = i32::from_be_bytes(*head);
        let length = usize::try_from(stated)
            .ok()
            .filter(|length| *length <= MAX_FRAME_LEN)
            .ok_or(WireError::InvalidLength(stated.into()))?;
        if self.buffer.len() < 4 + length {
            return Ok(None);
        }
        self.buffer.advance(4);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}
