//! Splits a stream of bytes into JSON lists.

use super::error::ListError;
use bytes::{Buf, BytesMut};
use serde_json::Value;

/// Maximum size of a list or a change of one, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Reads consecutive lists: JSON objects, with or without line breaks, that arrive in chunks of any size.
#[derive(Default)]
pub(super) struct ListReader {
    buffer: BytesMut,
    /// The length of the buffer when it was last found to be an incomplete list.
    incomplete_len: usize,
}

impl ListReader {
    /// Adds received data.
    ///
    /// # Errors
    /// If the data exceeds the maximum size of a list or can't begin one.
    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), ListError> {
        self.buffer.extend_from_slice(data);
        self.skip_whitespace();
        match self.buffer.first() {
            Some(byte) if *byte != b'{' => Err(ListError::NotAList),
            _ if self.buffer.len() > MAX_LIST_BYTES => Err(ListError::TooLarge),
            _ => Ok(()),
        }
    }

    /// The next complete list; `None` if there is none yet.
    ///
    /// # Errors
    /// If the data is not valid JSON.
    pub(super) fn next_list(&mut self) -> Result<Option<Value>, ListError> {
        if !self.may_be_complete() {
            return Ok(None);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter::<Value>();
        let (value, end) = (values.next(), values.byte_offset());
        match value {
            Some(Ok(value)) => {
                self.buffer.advance(end);
                self.incomplete_len = 0;
                self.skip_whitespace();
                Ok(Some(value))
            }
            Some(Err(error)) if !error.is_eof() => Err(ListError::Malformed(error)),
            _ => {
                self.incomplete_len = self.buffer.len();
                Ok(None)
            }
        }
    }

    /// Whether to parse the buffer. A list in many chunks is not parsed again with each of them, but only if it may
    /// have ended or the buffer has grown by half since.
    fn may_be_complete(&self) -> bool {
        if self.buffer.is_empty() {
            return false;
        }
        let ends_like_list = self.buffer.trim_ascii_end().last() == Some(&b'}');
        ends_like_list || 2 * self.buffer.len() >= 3 * self.incomplete_len
    }

    /// Whether no part of a list is buffered.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    fn skip_whitespace(&mut self) {
        let whitespace = self.buffer.len() - self.buffer.trim_ascii_start().len();
        self.buffer.advance(whitespace);
    }
}
