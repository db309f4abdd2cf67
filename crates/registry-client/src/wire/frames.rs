//! Splits a stream of bytes into frames, each of which is a length of four bytes followed by as many bytes.

use super::{WireError, MAX_FRAME_LEN};
use bytes::{Buf, Bytes, BytesMut};

/// A decoder of frames, with the received bytes that do not form a complete frame yet.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame without its length prefix; `None` if it is incomplete.
    ///
    /// # Errors
    /// If the length is invalid. The stream can't be decoded any further then.
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
