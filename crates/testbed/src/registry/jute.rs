//! Jute serialization (ZooKeeper's record encoding) for registry members.
//!
//! Implemented independently of the registry client, so that a fault in one implementation is not hidden by the other.

use super::protocol::ErrorCode;
use bytes::{BufMut, Bytes, BytesMut};

/// Length prefix of a null buffer.
const ABSENT: i32 = -1;
/// Size of the length prefix of a frame, in bytes.
pub(super) const FRAME_HEADER_BYTES: usize = 4;

/// Decodes fields. Each method fails with [`ErrorCode::BadArguments`] if bytes are missing or invalid.
pub(super) struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes }
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], ErrorCode> {
        let (field, rest) = self
            .bytes
            .split_at_checked(length)
            .ok_or(ErrorCode::BadArguments)?;
        self.bytes = rest;
        Ok(field)
    }

    fn take_array<const LENGTH: usize>(&mut self) -> Result<[u8; LENGTH], ErrorCode> {
        let field = self.take(LENGTH)?;
        field.try_into().map_err(|_| ErrorCode::BadArguments)
    }

    pub(super) fn bool(&mut self) -> Result<bool, ErrorCode> {
        let [byte] = self.take_array()?;
        Ok(byte != 0)
    }

    pub(super) fn int(&mut self) -> Result<i32, ErrorCode> {
        self.take_array().map(i32::from_be_bytes)
    }

    pub(super) fn long(&mut self) -> Result<i64, ErrorCode> {
        self.take_array().map(i64::from_be_bytes)
    }

    pub(super) fn buffer(&mut self) -> Result<&'a [u8], ErrorCode> {
        match self.int()? {
            ABSENT => Ok(&[]),
            length => {
                let length = usize::try_from(length).map_err(|_| ErrorCode::BadArguments)?;
                self.take(length)
            }
        }
    }

    pub(super) fn text(&mut self) -> Result<String, ErrorCode> {
        let bytes = self.buffer()?.to_vec();
        String::from_utf8(bytes).map_err(|_| ErrorCode::BadArguments)
    }

    pub(super) fn texts(&mut self) -> Result<Vec<String>, ErrorCode> {
        let count = self.int()?.max(0);
        (0..count).map(|_| self.text()).collect()
    }
}

/// Encodes fields.
#[derive(Default)]
pub(super) struct Writer {
    bytes: BytesMut,
}

impl Writer {
    pub(super) fn bool(mut self, value: bool) -> Self {
        self.bytes.put_u8(value.into());
        self
    }

    pub(super) fn int(mut self, value: i32) -> Self {
        self.bytes.put_i32(value);
        self
    }

    pub(super) fn long(mut self, value: i64) -> Self {
        self.bytes.put_i64(value);
        self
    }

    pub(super) fn buffer(mut self, value: &[u8]) -> Self {
        self.bytes.put_i32(value.len() as i32);
        self.bytes.extend_from_slice(value);
        self
    }

    pub(super) fn text(self, value: &str) -> Self {
        self.buffer(value.as_bytes())
    }

    pub(super) fn texts<T: AsRef<str>>(self, values: impl ExactSizeIterator<Item = T>) -> Self {
        let counted = self.int(values.len() as i32);
        values.fold(counted, |writer, value| writer.text(value.as_ref()))
    }

    /// Appends the fields of another record.
    pub(super) fn append(mut self, fields: &Writer) -> Self {
        self.bytes.extend_from_slice(&fields.bytes);
        self
    }

    /// Returns the fields as a frame with a length prefix.
    pub(super) fn into_frame(self) -> Bytes {
        let mut frame = BytesMut::with_capacity(self.bytes.len() + FRAME_HEADER_BYTES);
        frame.put_u32(self.bytes.len() as u32);
        frame.extend_from_slice(&self.bytes);
        frame.freeze()
    }
}
