//! Requests and responses on one connection, byte by byte. Used by `client`.

use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;
/// Length of the read buffer, in bytes.
const READ_BYTES: usize = 4096;

/// A request as it is written.
pub(super) struct RequestText {
    pub(super) id: String,
    pub(super) at_most_once: bool,
    pub(super) bytes: Vec<u8>,
}

impl RequestText {
    /// Builds a request with the host of the route in the settings file and the name of its class.
    pub(super) fn new(
        id: String,
        at_most_once: bool,
        body_length: usize,
        deadline: Duration,
    ) -> RequestText {
        let (method, class) = if at_most_once {
            ("POST", "write")
        } else {
            ("GET", "read")
        };
        let framing = if at_most_once {
            format!("content-length: {body_length}\r\n")
        } else {
            String::new()
        };
        let head = format!(
            "{method} /api/flags HTTP/1.1\r\nhost: {class}.example.org\r\nx-correlation-id: {id}\r\nx-service-class: {class}\r\n\
             x-time-left: {:.3}\r\n{framing}\r\n",
            deadline.as_secs_f64()
        );
        let mut bytes = head.into_bytes();
        bytes.resize(bytes.len() + body_length, b'x');
        RequestText {
            id,
            at_most_once,
            bytes,
        }
    }
}

/// The result of reading a response.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ReadResponse {
    /// A complete response.
    Response { status: u16, body: Vec<u8> },
    /// The connection ended within a response.
    CutShort,
    /// The connection ended before the first byte of a response.
    Ended { was_reset: bool },
}

/// The head of a response.
struct Head {
    status: u16,
    length: usize,
    body_length: Option<usize>,
    closes: bool,
}

/// A client's connection.
pub(super) struct Connection {
    stream: TcpStream,
    /// Bytes read after the last response.
    unread: Vec<u8>,
    is_announced_closed: bool,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Connection {
        // With Nagle's algorithm the system may hold back a request that counts as written.
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            unread: Vec::new(),
            is_announced_closed: false,
        }
    }

    /// Writes bytes; returns whether the system accepted them.
    pub(super) async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Whether a response announced the close of the connection (`connection: close`).
    pub(super) fn is_announced_closed(&self) -> bool {
        self.is_announced_closed
    }

    /// Returns when the peer has closed the connection or sent data.
    pub(super) async fn closed(&mut self) {
        let mut byte = [0];
        let _ = self.stream.peek(&mut byte).await;
    }

    /// Shuts down the write side of the connection.
    pub(super) async fn close(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Reads the next response; interim (1xx) responses are skipped.
    pub(super) async fn read_response(&mut self) -> ReadResponse {
        loop {
            let head = loop {
                if let Some(head) = parse_head(&self.unread) {
                    break head;
                }
                if let Err(end) = self.read_more().await {
                    return end;
                }
            };
            self.unread.drain(..head.length);
            if head.status < 200 {
                continue;
            }
            self.is_announced_closed |= head.closes;
            return self.read_body(&head).await;
        }
    }

    async fn read_body(&mut self, head: &Head) -> ReadResponse {
        let Some(length) = head.body_length else {
            return ReadResponse::CutShort;
        };
        while self.unread.len() < length {
            if self.read_more().await.is_err() {
                return ReadResponse::CutShort;
            }
        }
        ReadResponse::Response {
            status: head.status,
            body: self.unread.drain(..length).collect(),
        }
    }

    /// Reads available bytes into `unread`.
    ///
    /// # Errors
    /// Returns how the connection ended.
    async fn read_more(&mut self) -> Result<(), ReadResponse> {
        let mut buffer = [0; READ_BYTES];
        let has_part = !self.unread.is_empty();
        let read = self.stream.read(&mut buffer).await;
        match read {
            Ok(length) if length > 0 => {
                self.unread
                    .extend_from_slice(buffer.get(..length).unwrap_or_default());
                Ok(())
            }
            _ if has_part => Err(ReadResponse::CutShort),
            Ok(_) => Err(ReadResponse::Ended { was_reset: false }),
            Err(error) => Err(ReadResponse::Ended {
                was_reset: error.kind() == io::ErrorKind::ConnectionReset,
            }),
        }
    }
}

/// Parses the head of a response; `None` until it is complete.
fn parse_head(bytes: &[u8]) -> Option<Head> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(length)) = response.parse(bytes) else {
        return None;
    };
    let value = |name: &str| {
        let header = response
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok()
    };
    let closes = value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
    let body_length = value("content-length").and_then(|value| value.trim().parse().ok());
    Some(Head {
        status: response.code?,
        length,
        body_length,
        closes,
    })
}
