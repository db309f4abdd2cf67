//! Bodies of requests, and servers that read them slowly.

use crate::scripted::Message;
use std::io::{BufRead, Read};
use std::time::Duration;

/// How often a server reads that reads slowly.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// How long a server that has stopped reading keeps its connection open.
const HANG_TIME: Duration = Duration::from_secs(12);

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UploadFraming {
    /// By `Content-Length`.
    Announced,
    /// In chunks.
    Chunked,
}

/// How a server reads a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// As fast as it comes.
    AtOnce,
    /// At this rate, in bytes per second.
    Slowly(usize),
    /// As fast as it comes up to this many bytes, and nothing more.
    StopsAfter(usize),
}

/// The body of a request that its client writes at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upload {
    /// Its length, in bytes.
    pub bytes: usize,
    /// How its end is found.
    pub framing: UploadFraming,
    /// How its server reads it.
    pub reading: Reading,
}

impl Upload {
    /// The header that tells how its end is found.
    pub(super) fn header(&self) -> String {
        match self.framing {
            UploadFraming::Announced => format!("content-length: {}\r\n", self.bytes),
            UploadFraming::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
        }
    }

    /// Its text.
    pub(super) fn encode(&self) -> Vec<u8> {
        let data = vec![b'x'; self.bytes];
        match self.framing {
            UploadFraming::Announced => data,
            UploadFraming::Chunked => {
                let size_line = format!("{:x}\r\n", self.bytes);
                [size_line.as_bytes(), &data, b"\r\n0\r\n\r\n"].concat()
            }
        }
    }
}

/// Reads the body of a request as a server does; `None` if the connection ends before its end, or can't be used any more.
pub(super) fn read_body(reader: &mut impl BufRead, head: &Message, reading: Reading) -> Option<()> {
    let mut body = SlowReader {
        reader,
        reading,
        bytes: 0,
    };
    if head.header("transfer-encoding").is_none() {
        return body.read(head.content_length().unwrap_or(0));
    }
    loop {
        let mut size_line = String::new();
        body.reader.read_line(&mut size_line).ok()?;
        let size = usize::from_str_radix(size_line.trim_end(), 16).ok()?;
        body.read(size + "\r\n".len())?;
        if size == 0 {
            return Some(());
        }
    }
}

/// Reads a body at the rate of its server.
struct SlowReader<'a, R> {
    reader: &'a mut R,
    reading: Reading,
    /// What was read so far.
    bytes: usize,
}

impl<R: BufRead> SlowReader<'_, R> {
    fn read(&mut self, count: usize) -> Option<()> {
        let mut left = count;
        while left > 0 {
            let size = match self.reading {
                Reading::AtOnce => left,
                Reading::Slowly(rate) => {
                    std::thread::sleep(READ_INTERVAL);
                    (rate as f64 * READ_INTERVAL.as_secs_f64()) as usize
                }
                Reading::StopsAfter(limit) if self.bytes >= limit => {
                    std::thread::sleep(HANG_TIME);
                    return None;
                }
                Reading::StopsAfter(limit) => limit - self.bytes,
            };
            let size = size.clamp(1, left);
            let mut part = (&mut *self.reader).take(size as u64);
            let read = std::io::copy(&mut part, &mut std::io::sink()).ok()?;
            (read == size as u64).then_some(())?;
            self.bytes += size;
            left -= size;
        }
        Some(())
    }
}
