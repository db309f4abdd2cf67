//! The clients of these tests, on blocking sockets.

use reelfall_testbed::scripted::{connect, read_response};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// How long a client waits for its answer, from the last byte of its request on.
pub const TIME_LEFT: Duration = Duration::from_secs(1);
/// An answer that comes later than this after the client's time is lost.
pub const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Sizes of the first piece of a body in bytes, about as much as the buffers between a client and its server hold: for some of
/// them the client's data runs out just when a server that reads nothing has filled these buffers.
pub fn piece_sizes_around_full_buffers() -> Vec<usize> {
    (240_000..500_000).step_by(2_000).collect()
}

/// A client that writes more than this at once, in bytes, chooses a send buffer of [`LARGE_SEND_BUFFER`].
const LARGE_PIECE_BYTES: usize = 12 << 20;
/// The largest send buffer that a client may choose on some systems, in bytes.
const LARGE_SEND_BUFFER: usize = 4 << 20;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// By `Content-Length`.
    Announced,
    Chunked,
}

impl Framing {
    pub const ALL: [Framing; 2] = [Framing::Announced, Framing::Chunked];
}

/// What a client writes at once, after a pause.
pub struct ClientWrite {
    pub pause: Duration,
    pub data: Vec<u8>,
}

/// The head of an unsafe request.
pub fn head(id: &str, framing: &str) -> String {
    let time_left = TIME_LEFT.as_secs_f64();
    format!(
        "POST /api HTTP/1.1\r\nhost: write.example.org\r\nx-correlation-id: {id}\r\nx-service-class: write\r\n\
         x-time-left: {time_left:.3}\r\n{framing}\r\n\r\n"
    )
}

/// An unsafe request whose body consists of pieces of these lengths, as one text for the head and one for each piece.
pub fn request_parts(id: &str, framing: Framing, pieces: &[usize]) -> Vec<Vec<u8>> {
    let length: usize = pieces.iter().sum();
    let framing_line = match framing {
        Framing::Announced => format!("content-length: {length}"),
        Framing::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    let mut parts = vec![head(id, &framing_line).into_bytes()];
    for piece in pieces {
        let data = vec![b'x'; *piece];
        parts.push(match framing {
            Framing::Announced => data,
            Framing::Chunked => {
                let size_line = format!("{piece:x}\r\n");
                [size_line.as_bytes(), &data, b"\r\n"].concat()
            }
        });
    }
    if let (Framing::Chunked, Some(last)) = (framing, parts.last_mut()) {
        last.extend_from_slice(b"0\r\n\r\n");
    }
    parts
}

/// How a request ended for its client.
#[derive(Debug)]
pub struct Ending {
    /// The status of the answer; `None` if the connection ended without one, or nothing came within the waits of these tests.
    pub status: Option<u16>,
    /// When the client had written its last byte; `None` if the connection ended before.
    pub written_at: Option<Instant>,
    pub ended_at: Instant,
}

impl Ending {
    /// Whether the client got an answer, and in time if it had written all of its request.
    pub fn is_in_time(&self) -> bool {
        let waited = self.written_at.map_or(Duration::ZERO, |at| {
            self.ended_at.saturating_duration_since(at)
        });
        self.status.is_some() && waited <= TIME_LEFT + MAX_LATENESS
    }

    /// Whether the client was told that trying again is harmless.
    pub fn is_refused(&self) -> bool {
        matches!(self.status, Some(429 | 503))
    }
}

/// A request that a thread writes while its answer is awaited.
pub struct Upload {
    stream: TcpStream,
    written: Receiver<Option<Instant>>,
}

impl Upload {
    /// Begins to write the parts of a request on a new connection.
    pub fn start(node: SocketAddr, writes: Vec<ClientWrite>) -> Upload {
        let stream = connect(node);
        if writes
            .iter()
            .any(|write| write.data.len() > LARGE_PIECE_BYTES)
        {
            let socket = socket2::SockRef::from(&stream);
            socket.set_send_buffer_size(LARGE_SEND_BUFFER).unwrap();
        }
        let mut writer = stream.try_clone().unwrap();
        let (sender, written) = channel();
        std::thread::spawn(move || {
            let _ = sender.send(write_all(&mut writer, &writes));
        });
        Upload { stream, written }
    }

    /// Closes the connection.
    pub fn abort(self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Waits for the answer.
    pub fn wait(self) -> Ending {
        let response = read_response(&self.stream);
        let ended_at = Instant::now();
        // The writer may still be blocked.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        Ending {
            status: response.map(|response| response.status),
            written_at: self.written.recv().unwrap(),
            ended_at,
        }
    }
}

fn write_all(stream: &mut TcpStream, writes: &[ClientWrite]) -> Option<Instant> {
    for write in writes {
        std::thread::sleep(write.pause);
        stream.write_all(&write.data).ok()?;
    }
    Some(Instant::now())
}

/// Writes of these texts, without pauses.
pub fn at_once(parts: Vec<Vec<u8>>) -> Vec<ClientWrite> {
    let write = |data| ClientWrite {
        pause: Duration::ZERO,
        data,
    };
    parts.into_iter().map(write).collect()
}

/// Sends a request and waits for its answer.
pub fn send(node: SocketAddr, writes: Vec<ClientWrite>) -> Ending {
    Upload::start(node, writes).wait()
}

/// Sends these requests at the same time, and checks that all are answered in time; returns their names and how they ended.
pub fn send_all_in_time(
    node: SocketAddr,
    test: &str,
    requests: Vec<(String, Vec<ClientWrite>)>,
) -> Vec<(String, Ending)> {
    let endings = send_all(node, requests);
    for (id, ending) in &endings {
        assert!(ending.is_in_time(), "{test}, {id}: {ending:?}");
    }
    endings
}

/// Sends these requests at the same time; returns their names and how they ended.
pub fn send_all(
    node: SocketAddr,
    requests: Vec<(String, Vec<ClientWrite>)>,
) -> Vec<(String, Ending)> {
    let threads: Vec<_> = requests
        .into_iter()
        .map(|(name, writes)| std::thread::spawn(move || (name, send(node, writes))))
        .collect();
    let results = threads.into_iter().map(|thread| thread.join().unwrap());
    results.collect()
}
