//! Clients that record when each part of an answer came, on blocking sockets.

use super::script::{pattern, Progress};
use super::upload::Upload;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer that comes later than this after the client's time is lost.
pub const MAX_LATENESS: Duration = Duration::from_millis(500);
/// A client waits no longer than this for more of an answer.
const MAX_SILENCE: Duration = Duration::from_secs(8);

/// The class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May be repeated.
    Safe,
    /// May be repeated with its key.
    Keyed,
    /// Must run once at most.
    Unsafe,
}

impl Class {
    /// The text of a request of this class.
    fn request(self, version: Version, id: &str, time_left: Duration) -> String {
        let body = if self == Class::Safe { "" } else { "x" };
        let framing = match self {
            Class::Safe => "",
            Class::Keyed | Class::Unsafe => "content-length: 1\r\n",
        };
        self.head(version, id, time_left, framing) + body
    }

    /// The head of a request of this class, with the header for its body.
    fn head(self, version: Version, id: &str, time_left: Duration, framing: &str) -> String {
        let version = version.text();
        let time_left = time_left.as_secs_f64();
        let (method, name, fields) = match self {
            Class::Safe => ("GET", "read", String::new()),
            Class::Keyed => ("POST", "keyed", format!("idempotency-key: {id}\r\n")),
            Class::Unsafe => ("POST", "write", String::new()),
        };
        format!(
            "{method} /api {version}\r\nhost: {name}.example.org\r\nx-correlation-id: {id}\r\nx-service-class: {name}\r\n\
             x-time-left: {time_left:.3}\r\n{fields}{framing}\r\n"
        )
    }
}

/// The version of HTTP that a client speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// Answers of unknown length end with the connection.
    Http10,
    /// Answers of unknown length come in chunks.
    Http11,
}

impl Version {
    fn text(self) -> &'static str {
        match self {
            Version::Http10 => "HTTP/1.0",
            Version::Http11 => "HTTP/1.1",
        }
    }
}

/// How an answer has ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With its last byte.
    Whole,
    /// Before its last byte, which the client can tell.
    Broken,
    /// Not within the longest wait of a client.
    Silent,
}

/// An answer as its client received it.
#[derive(Debug)]
pub struct Reception {
    /// How long the client waits for the first bytes.
    time_left: Duration,
    /// When the writing of the request began.
    pub started_at: Instant,
    /// When the last byte of the request was written; when the answer had ended, if that came first.
    pub sent_at: Instant,
    /// `None` if there was no head.
    pub status: Option<u16>,
    /// Whether the node announced that it closes the connection.
    closes: bool,
    /// When the head had come.
    pub head_at: Instant,
    /// How much of the body had come at which time.
    pub received: Vec<Progress>,
    /// Whether all of it is what the server wrote.
    pub is_unchanged: bool,
    /// How it has ended.
    pub end: End,
    /// When it has ended.
    pub ended_at: Instant,
}

impl Reception {
    /// How much of the body has come, in bytes.
    pub fn bytes(&self) -> usize {
        self.received.last().map_or(0, |progress| progress.bytes)
    }

    /// Whether the client was told that trying again is harmless.
    pub fn is_refused(&self) -> bool {
        matches!(self.status, Some(429 | 503))
    }

    /// Whether the first bytes came in time, or so little later that they only earn nothing.
    pub fn is_head_in_time(&self) -> bool {
        self.head_at - self.sent_at <= self.time_left + MAX_LATENESS
    }

    /// Whether the last byte came in time, or so little later that it only earns nothing.
    pub fn is_end_in_time(&self) -> bool {
        self.ended_at - self.sent_at <= self.time_left + MAX_LATENESS
    }

    /// Whether another request can be written to the connection.
    pub fn leaves_connection_open(&self) -> bool {
        self.status.is_some() && self.end == End::Whole && !self.closes
    }

    /// How much had come at this time, in bytes.
    pub fn bytes_at(&self, at: Instant) -> usize {
        let earlier = self.received.iter().rev().find(|it| it.at <= at);
        earlier.map_or(0, |progress| progress.bytes)
    }

    fn record(&mut self, data: &[u8]) {
        let offset = self.bytes();
        self.is_unchanged &= data == pattern(offset, data.len());
        self.received.push(Progress {
            at: Instant::now(),
            bytes: offset + data.len(),
        });
    }
}

/// The head of an answer.
struct Head {
    status: u16,
    framing: BodyFraming,
    closes: bool,
}

/// How the end of a body is found.
enum BodyFraming {
    Length(usize),
    Chunked,
    UntilClose,
}

/// A request whose answer is awaited.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    time_left: Duration,
    sent_at: Instant,
}

/// A client's connection, which carries one request after the other.
pub struct Connection {
    reader: BufReader<TcpStream>,
    version: Version,
}

impl Connection {
    /// Opens a connection of a client that speaks HTTP/1.1.
    ///
    /// # Errors
    /// Fails if it can't be established.
    pub fn open(node: SocketAddr) -> std::io::Result<Connection> {
        Connection::open_with(node, Version::Http11)
    }

    /// Opens a connection of a client that speaks this version of HTTP.
    ///
    /// # Errors
    /// Fails if it can't be established.
    pub fn open_with(node: SocketAddr, version: Version) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(node)?;
        stream.set_read_timeout(Some(MAX_SILENCE))?;
        Ok(Connection {
            reader: BufReader::new(stream),
            version,
        })
    }

    /// Writes a request. If that fails, receiving its answer fails too.
    pub fn send(&mut self, class: Class, id: &str, time_left: Duration) -> SentRequest {
        let text = class.request(self.version, id, time_left);
        let sent_at = Instant::now();
        let _ = self.reader.get_mut().write_all(text.as_bytes());
        SentRequest { time_left, sent_at }
    }

    /// Receives the answer to a request.
    pub fn receive(&mut self, request: SentRequest) -> Reception {
        let head = read_head(&mut self.reader);
        let now = Instant::now();
        let mut reception = Reception {
            time_left: request.time_left,
            started_at: request.sent_at,
            sent_at: request.sent_at,
            status: None,
            closes: false,
            head_at: now,
            received: Vec::new(),
            is_unchanged: true,
            end: End::Silent,
            ended_at: now,
        };
        reception.end = match head {
            Ok(head) => {
                reception.status = Some(head.status);
                reception.closes = head.closes;
                end_of(read_body(&mut self.reader, &head.framing, &mut reception))
            }
            Err(error) => end_of(Err(error)),
        };
        reception.ended_at = Instant::now();
        reception
    }

    /// Writes a request with a large body while its answer is awaited, and receives that.
    ///
    /// # Errors
    /// Fails if the socket can't be shared with the thread that writes.
    pub fn exchange_upload(
        &mut self,
        class: Class,
        id: &str,
        time_left: Duration,
        upload: &Upload,
    ) -> std::io::Result<Reception> {
        let head = class.head(self.version, id, time_left, &upload.header());
        let text = [head.into_bytes(), upload.encode()].concat();
        let mut writer = self.reader.get_ref().try_clone()?;
        let sent_at = Instant::now();
        let writing = std::thread::spawn(move || {
            let written = writer.write_all(&text);
            written.ok().map(|()| Instant::now())
        });
        let mut reception = self.receive(SentRequest { time_left, sent_at });
        if !reception.leaves_connection_open() {
            // The writer may still be blocked.
            let _ = self.reader.get_ref().shutdown(std::net::Shutdown::Both);
        }
        let written_at = writing.join().ok().flatten();
        reception.sent_at = written_at.map_or(reception.ended_at, |at| at.min(reception.ended_at));
        Ok(reception)
    }

    /// Writes a request and receives its answer.
    pub fn exchange(&mut self, class: Class, id: &str, time_left: Duration) -> Reception {
        let request = self.send(class, id, time_left);
        self.receive(request)
    }
}

fn end_of(read: std::io::Result<()>) -> End {
    match read {
        Ok(()) => End::Whole,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            End::Silent
        }
        Err(_) => End::Broken,
    }
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_lowercase())
}

fn invalid<E>(_: E) -> std::io::Error {
    ErrorKind::InvalidData.into()
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Head> {
    let status_line = read_line(reader)?;
    let status = status_line.split(' ').nth(1).unwrap_or_default();
    let mut head = Head {
        status: status.parse().map_err(invalid)?,
        framing: BodyFraming::UntilClose,
        closes: false,
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(head);
        }
        head.closes |= line == "connection: close";
        if line == "transfer-encoding: chunked" {
            head.framing = BodyFraming::Chunked;
        }
        if let Some(length) = line.strip_prefix("content-length: ") {
            head.framing = BodyFraming::Length(length.parse().map_err(invalid)?);
        }
    }
}

fn read_body(
    reader: &mut impl BufRead,
    framing: &BodyFraming,
    reception: &mut Reception,
) -> std::io::Result<()> {
    match framing {
        BodyFraming::Length(length) => read_bytes(reader, *length, reception),
        BodyFraming::UntilClose => loop {
            let mut buffer = [0; 16 << 10];
            match reader.read(&mut buffer)? {
                0 => return Ok(()),
                count => reception.record(&buffer[..count]),
            }
        },
        BodyFraming::Chunked => loop {
            let size = usize::from_str_radix(&read_line(reader)?, 16).map_err(invalid)?;
            read_bytes(reader, size, reception)?;
            read_line(reader)?;
            if size == 0 {
                return Ok(());
            }
        },
    }
}

fn read_bytes(
    reader: &mut impl Read,
    length: usize,
    reception: &mut Reception,
) -> std::io::Result<()> {
    let (mut left, mut buffer) = (length, [0; 16 << 10]);
    while left > 0 {
        let wanted = left.min(buffer.len());
        match reader.read(&mut buffer[..wanted])? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => {
                reception.record(&buffer[..count]);
                left -= count;
            }
        }
    }
    Ok(())
}
