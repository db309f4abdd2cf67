//! The fields of records.

use super::WireFault;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Reads a record's fields.
pub struct Reader(Bytes);

impl Reader {
    /// Of a whole frame.
    pub fn new(frame: Bytes) -> Reader {
        Reader(frame)
    }

    /// Nothing is left.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// A byte that tells yes or no.
    ///
    /// # Errors
    /// If there is none.
    pub fn boolean(&mut self) -> Result<bool, WireFault> {
        self.0
            .try_get_u8()
            .map(|b| b != 0)
            .map_err(|_| WireFault::Short)
    }

    /// Four bytes.
    ///
    /// # Errors
    /// If there are fewer.
    pub fn int(&mut self) -> Result<i32, WireFault> {
        self.0.try_get_i32().map_err(|_| WireFault::Short)
    }

    /// Eight bytes.
    ///
    /// # Errors
    /// If there are fewer.
    pub fn long(&mut self) -> Result<i64, WireFault> {
        self.0.try_get_i64().map_err(|_| WireFault::Short)
    }

    /// Bytes with their length before them; none are as good as no bytes.
    ///
    /// # Errors
    /// If there are fewer than it says, or it says what can't be.
    pub fn buffer(&mut self) -> Result<Bytes, WireFault> {
        match self.int()? {
            -1 => Ok(Bytes::new()),
            n => {
                let length = usize::try_from(n).map_err(|_| WireFault::Length(n.into()))?;
                if length > self.0.len() {
                    return Err(WireFault::Short);
                }
                Ok(self.0.split_to(length))
            }
        }
    }

    /// A text.
    ///
    /// # Errors
    /// As for bytes, or if it is not in UTF-8.
    pub fn text(&mut self) -> Result<String, WireFault> {
        let bytes = self.buffer()?;
        std::str::from_utf8(&bytes)
            .map(str::to_owned)
            .map_err(|_| WireFault::Text)
    }

    /// Texts, with their number before them. One that is not in UTF-8 is given as `None`, so that a path with odd bytes
    /// costs nothing but itself.
    ///
    /// # Errors
    /// If there are fewer than it says, or it says what can't be.
    pub fn texts(&mut self) -> Result<Vec<Option<String>>, WireFault> {
        let n = self.int()?;
        let n = usize::try_from(n.max(0)).map_err(|_| WireFault::Length(n.into()))?;
        // Each has a length of four bytes: a count that can't be must not make room for itself.
        if n > self.0.len() / 4 {
            return Err(WireFault::Short);
        }
        (0..n)
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

    /// A byte that tells yes or no.
    #[must_use]
    pub fn boolean(mut self, b: bool) -> Self {
        self.0.put_u8(b.into());
        self
    }

    /// Four bytes.
    #[must_use]
    pub fn int(mut self, n: i32) -> Self {
        self.0.put_i32(n);
        self
    }

    /// Eight bytes.
    #[must_use]
    pub fn long(mut self, n: i64) -> Self {
        self.0.put_i64(n);
        self
    }

    /// Bytes with their length before them.
    #[must_use]
    pub fn buffer(mut self, bytes: &[u8]) -> Self {
        self.0
            .put_i32(i32::try_from(bytes.len()).unwrap_or(i32::MAX));
        self.0.extend_from_slice(bytes);
        self
    }

    /// A text.
    #[must_use]
    pub fn text(self, text: &str) -> Self {
        self.buffer(text.as_bytes())
    }

    /// Texts, with their number before them.
    #[must_use]
    pub fn texts(self, texts: &[String]) -> Self {
        let counted = self.int(i32::try_from(texts.len()).unwrap_or(i32::MAX));
        texts.iter().fold(counted, |w, t| w.text(t))
    }

    /// The frame, with its length before it.
    pub fn done(mut self) -> Bytes {
        let length = u32::try_from(self.0.len().saturating_sub(4)).unwrap_or(u32::MAX);
        if let Some(head) = self.0.first_chunk_mut::<4>() {
            *head = length.to_be_bytes();
        }
        self.0.freeze()
    }
}
