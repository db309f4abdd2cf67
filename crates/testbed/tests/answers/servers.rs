//! Servers that write each answer by a script of the test, on blocking sockets.

use reelfall_testbed::scripted::{self, Message};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of servers that behave in the same way. While a node does not use one of them, it uses the others.
const SERVERS: usize = 6;

/// How the end of an answer is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
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

    fn head(self, length: usize) -> String {
        match self {
            Framing::Chunked => "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(),
            Framing::UntilClose => "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_owned(),
            Framing::Http10 => "HTTP/1.0 200 OK\r\n\r\n".to_owned(),
            Framing::Announced => format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"),
        }
    }

    fn encode(self, data: Vec<u8>) -> Vec<u8> {
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
    pub framing: Framing,
    /// The pause between the head and the first part.
    pub first_pause: Duration,
    /// The pause between two parts, and before the end.
    pub pause: Duration,
    /// The sizes of the parts, in bytes.
    pub parts: Vec<usize>,
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
    pub at: Instant,
    pub bytes: usize,
}

/// The part of a body at this offset.
pub fn pattern(offset: usize, length: usize) -> Vec<u8> {
    let byte_at = |offset: usize| (offset / 251 + offset % 251) as u8;
    (offset..offset + length).map(byte_at).collect()
}

/// One request, as the test plans it and as servers saw it.
#[derive(Default)]
struct Exchange {
    script: Option<Script>,
    attempts: usize,
    written: Vec<Progress>,
}

/// Servers that answer each request by the script for its id.
#[derive(Clone, Default)]
pub struct Servers {
    exchanges: Arc<Mutex<HashMap<String, Exchange>>>,
    pub addresses: Vec<SocketAddr>,
}

impl Servers {
    pub fn start() -> Servers {
        let mut servers = Servers::default();
        servers.addresses = (0..SERVERS).map(|_| servers.start_one()).collect();
        servers
    }

    fn start_one(&self) -> SocketAddr {
        let servers = self.clone();
        scripted::serve(move |mut stream, _| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Some(request) = Message::read(&mut reader) {
                let id = request.header("x-correlation-id").unwrap().to_owned();
                if servers.answer(&id, &mut stream).is_none() {
                    return;
                }
            }
        })
    }

    /// Sets how the request with this id is answered.
    pub fn plan(&self, id: &str, script: Script) {
        let exchange = Exchange {
            script: Some(script),
            ..Exchange::default()
        };
        self.exchanges
            .lock()
            .unwrap()
            .insert(id.to_owned(), exchange);
    }

    /// How many attempts of a request were received.
    pub fn attempts(&self, id: &str) -> usize {
        self.exchanges.lock().unwrap()[id].attempts
    }

    /// What was written of the answer to a request.
    pub fn written(&self, id: &str) -> Vec<Progress> {
        self.exchanges.lock().unwrap()[id].written.clone()
    }

    /// Writes an answer; `None` if its connection can't be used any more.
    fn answer(&self, id: &str, stream: &mut TcpStream) -> Option<()> {
        let script = {
            let mut exchanges = self.exchanges.lock().unwrap();
            let exchange = exchanges.get_mut(id).unwrap();
            exchange.attempts += 1;
            exchange.script.clone().unwrap()
        };
        let head = script.framing.head(script.length());
        stream.write_all(head.as_bytes()).ok()?;
        std::thread::sleep(script.first_pause);
        let mut offset = 0;
        for size in &script.parts {
            let part = script.framing.encode(pattern(offset, *size));
            stream.write_all(&part).ok()?;
            offset += size;
            self.record_written(id, offset);
            std::thread::sleep(script.pause);
        }
        self.end(&script, stream)
    }

    fn end(&self, script: &Script, stream: &mut TcpStream) -> Option<()> {
        match (script.ending, script.framing) {
            (Ending::Whole, Framing::Chunked) => stream.write_all(b"0\r\n\r\n").ok(),
            (Ending::Whole, Framing::Announced) => Some(()),
            (Ending::Whole, _) => None,
            (Ending::Breaks, _) => {
                let socket = socket2::SockRef::from(&*stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                None
            }
            (Ending::Stops, _) => {
                // Until the node closes the connection.
                let _ = std::io::copy(stream, &mut std::io::sink());
                None
            }
        }
    }

    fn record_written(&self, id: &str, bytes: usize) {
        let mut exchanges = self.exchanges.lock().unwrap();
        let written = &mut exchanges.get_mut(id).unwrap().written;
        let at = Instant::now();
        written.push(Progress { at, bytes });
    }
}
