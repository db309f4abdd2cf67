//! Reads and writes the fields of records.

use super::WireError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Reads the fields of a record.
pub struct Reader(Bytes);

impl Reader {
    /// A reader of a frame without its length prefix.
    pub fn new(frame: Bytes) -> Reader {
        Reader(frame)
    }

    /// Whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads a Boolean: one byte.
    ///
    /// # Errors
    /// If no byte is left.
    pub fn boolean(&mut self) -> Result<bool, WireError> {
        self.0
            .try_get_u8()
            .map(|byte| byte != 0)
            .map_err(|_| WireError::Truncated)
    }

    /// Reads an integer of four bytes.
    ///
    /// # Errors
    /// If fewer bytes are left.
    pub fn int(&mut self) -> Result<i32, WireError> {
        self.0.try_get_i32().map_err(|_| WireError::Truncated)
    }

    /// Reads an integer of eight bytes.
    ///
    /// # Errors
    /// If fewer bytes are left.
    pub fn long(&mut self) -> Result<i64, WireError> {
        self.0.try_get_i64().map_err(|_| WireError::Truncated)
    }

    /// Reads bytes that are prefixed by their length. The length -1 (no buffer) is read as an empty buffer.
    ///
    /// # Errors
    /// If the length is invalid, or fewer bytes are left.
    pub fn buffer(&mut self) -> Result<Bytes, WireError> {
        let stated = self.int()?;
        if stated == -1 {
            return Ok(Bytes::new());
        }
        let length =
            usize::try_from(stated).map_err(|_| WireError::InvalidLength(stated.into()))?;
        if length > self.0.len() {
            return Err(WireError::Truncated);
        }
        Ok(self.0.split_to(length))
    }

    /// Reads a string that is prefixed by its length in bytes.
    ///
    /// # Errors
    /// As for [`Reader::buffer`], or if the string is not in UTF-8.
    pub fn string(&mut self) -> Result<String, WireError> {
        let bytes = self.buffer()?;
        std::str::from_utf8(&bytes)
            .map(str::to_owned)
            .map_err(|_| WireError::InvalidUtf8)
    }

    /// Reads a list of strings that is prefixed by their number. A string that is not in UTF-8 is `None`, so that it
    /// does not invalidate the others.
    ///
    /// # Errors
    /// If the list or one of its strings is truncated.
    pub fn strings(&mut self) -> Result<Vec<Option<String>>, WireError> {
        let stated = self.int()?;
        let count =
            usize::try_from(stated.max(0)).map_err(|_| WireError::InvalidLength(stated.into()))?;
        // Each string has a length prefix of four bytes, so an invalid number is rejected before anything is allocated.
        if count > self.0.len() / 4 {
            return Err(WireError::Truncated);
        }
        (0..count)
            .map(|_| Ok(String::from_utf8(self.buffer()?.to_vec()).ok()))
            .collect()
    }
}

/// Writes one frame.
pub struct Writer(BytesMut);

impl Default for Writer {
    fn default() -> Self {
        Writer::new()
    }
}

impl Writer {
    /// An empty frame.
    pub fn new() -> Writer {
        let mut frame = BytesMut::with_capacity(64);
        frame.put_i32(0);
        Writer(frame)
    }

    /// Appends a Boolean: one byte.
    #[must_use]
    pub fn boolean(mut self, value: bool) -> Self {
        self.0.put_u8(value.into());
        self
    }

    /// Appends an integer of four bytes.
    #[must_use]
    pub fn int(mut self, number: i32) -> Self {
        self.0.put_i32(number);
        self
    }

    /// Appends an integer of eight bytes.
    #[must_use]
    pub fn long(mut self, number: i64) -> Self {
        self.0.put_i64(number);
        self
    }

    /// Appends bytes, prefixed by their length.
    #[must_use]
    pub fn buffer(mut self, bytes: &[u8]) -> Self {
        self.0
            .put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
        self.0.extend_from_slice(bytes);
        self
    }

    /// Appends a string, prefixed by its length in bytes.
    #[must_use]
    pub fn string(self, value: &str) -> Self {
        self.buffer(value.as_bytes())
    }

    /// Appends a list of strings, prefixed by their number.
    #[must_use]
    pub fn strings(self, values: &[String]) -> Self {
        let counted = self.int(i32::try_from(values.len()).unwrap_or(i32::MAX));
        values
            .iter()
            .fold(counted, |writer, value| writer.string(value))
    }

    /// Completes the frame and returns it, prefixed by its length.
    pub fn finish(mut self) -> Bytes {
        let length = u32::try_from(self.0.len().saturating_sub(4)).unwrap_or(u32::MAX);
        if let Some(head) = self.0.first_chunk_mut::<4>() {
            *head = length.to_be_bytes();
        }
        self.0.freeze()
    }
}
