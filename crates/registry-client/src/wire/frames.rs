//! Frames: a length of four bytes, and so many bytes.

use super::{WireFault, FRAME_MOST};
use bytes::{Buf, Bytes, BytesMut};

/// Cuts a stream of bytes into frames.
#[derive(Debug, Default)]
pub struct Frames {
    held: BytesMut,
}

impl Frames {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole frame.
    ///
    /// # Errors
    /// If its length can't be: the stream is of no further use. At most [`FRAME_MOST`] bytes and what one read brings
    /// are held.
    pub fn frame(&mut self) -> Result<Option<Bytes>, WireFault> {
        let Some(head) = self.held.first_chunk::<4>() else {
            return Ok(None);
        };
        let stated = i32::from_be_bytes(*head);
        let length = usize::try_from(stated).ok().filter(|n| *n <= FRAME_MOST);
        let length = length.ok_or(WireFault::Length(stated.into()))?;
        if self.held.len() < 4 + length {
            return Ok(None);
        }
        self.held.advance(4);
        Ok(Some(self.held.split_to(length).freeze()))
    }
}
