//! Records as a registry's member reads and writes them. Apart from the client's reading of the same records, so that
//! neither can hide the other's mistakes.

use bytes::{BufMut, Bytes, BytesMut};

/// Reads fields; `None` where there is less than should be.
pub struct In<'a>(pub &'a [u8]);

impl<'a> In<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.0.split_at_checked(n)?;
        self.0 = rest;
        Some(head)
    }

    pub fn bool(&mut self) -> Option<bool> {
        self.take(1).map(|b| b[0] != 0)
    }

    pub fn int(&mut self) -> Option<i32> {
        self.take(4)?.try_into().ok().map(i32::from_be_bytes)
    }

    pub fn long(&mut self) -> Option<i64> {
        self.take(8)?.try_into().ok().map(i64::from_be_bytes)
    }

    pub fn buffer(&mut self) -> Option<&'a [u8]> {
        match self.int()? {
            -1 => Some(&[]),
            n => self.take(usize::try_from(n).ok()?),
        }
    }

    pub fn text(&mut self) -> Option<String> {
        String::from_utf8(self.buffer()?.to_vec()).ok()
    }

    pub fn texts(&mut self) -> Option<Vec<String>> {
        let n = self.int()?.max(0);
        (0..n).map(|_| self.text()).collect()
    }
}

/// Writes fields.
#[derive(Default)]
pub struct Out(pub BytesMut);

impl Out {
    pub fn bool(mut self, b: bool) -> Self {
        self.0.put_u8(b.into());
        self
    }

    pub fn int(mut self, n: i32) -> Self {
        self.0.put_i32(n);
        self
    }

    pub fn long(mut self, n: i64) -> Self {
        self.0.put_i64(n);
        self
    }

    pub fn buffer(mut self, bytes: &[u8]) -> Self {
        self.0.put_i32(bytes.len() as i32);
        self.0.extend_from_slice(bytes);
        self
    }

    pub fn text(self, text: &str) -> Self {
        self.buffer(text.as_bytes())
    }

    pub fn texts<T: AsRef<str>>(self, texts: impl ExactSizeIterator<Item = T>) -> Self {
        let counted = self.int(texts.len() as i32);
        texts.fold(counted, |out, t| out.text(t.as_ref()))
    }

    pub fn raw(mut self, bytes: &[u8]) -> Self {
        self.0.extend_from_slice(bytes);
        self
    }

    /// As a frame, with its length before it.
    pub fn frame(self) -> Bytes {
        let mut frame = BytesMut::with_capacity(self.0.len() + 4);
        frame.put_u32(self.0.len() as u32);
        frame.extend_from_slice(&self.0);
        frame.freeze()
    }
}
