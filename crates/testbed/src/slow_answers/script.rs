//! How a server writes an answer.

use std::time::{Duration, Instant};

/// How the end of an answer is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// In chunks.
    Chunked,
    /// By an announced end of the connection.
    UntilClose,
    /// By the end of the connection, as HTTP/1.0 has it.
    Http10,
    /// By `Content-Length`.
    Announced,
}

impl Framing {
    /// Those of which the head does not tell the length.
    pub const UNKNOWN_LENGTH: [Framing; 3] =
        [Framing::Chunked, Framing::UntilClose, Framing::Http10];

    pub(super) fn head(self, length: usize) -> String {
        match self {
            Framing::Chunked => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(),
            Framing::UntilClose => "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_owned(),
            Framing::Http10 => "HTTP/1.0 200 OK\r\n\r\n".to_owned(),
            Framing::Announced => format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"),
        }
    }

    pub(super) fn encode(self, data: Vec<u8>) -> Vec<u8> {
        match self {
            Framing::Chunked => {
                let size_line = format!("{:x}\r\n", data.len());
                [size_line.as_bytes(), &data, b"\r\n"].concat()
            }
            _ => data,
        }
    }
}

/// What a server does after the last part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Completes it.
    Whole,
    /// Writes nothing more, and keeps the connection open.
    Stops,
    /// Resets the connection in the middle of it.
    Breaks,
}

/// How a server answers a request.
#[derive(Clone, Debug)]
pub struct Script {
    /// How its end is found.
    pub framing: Framing,
    /// The pause between the head and the first part.
    pub first_pause: Duration,
    /// The pause between two parts, and before the end.
    pub pause: Duration,
    /// The sizes of the parts, in bytes.
    pub parts: Vec<usize>,
    /// What comes after the last part.
    pub ending: Ending,
}

impl Script {
    /// The length of the whole answer, in bytes. One that stops or breaks would have twice as much as is written.
    pub fn length(&self) -> usize {
        let written: usize = self.parts.iter().sum();
        match self.ending {
            Ending::Whole => written,
            Ending::Stops | Ending::Breaks => 2 * written,
        }
    }
}

/// How much of an answer had been written or received at a time, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The time.
    pub at: Instant,
    /// The bytes of the body so far.
    pub bytes: usize,
}

/// The part of a body at this offset.
pub fn pattern(offset: usize, length: usize) -> Vec<u8> {
    let byte_at = |offset: usize| (offset / 251 + offset % 251) as u8;
    (offset..offset + length).map(byte_at).collect()
}
