//! Servers that write each answer by the script for its request, on blocking sockets.

use super::script::{pattern, Ending, Framing, Progress, Script};
use super::upload::{read_body, Reading};
use crate::scripted::{self, Message};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Number of servers that behave in the same way. While a node does not use one of them, it uses the others.
const SERVERS: usize = 6;

/// One request, as it is planned and as servers saw it.
struct Exchange {
    script: Script,
    reading: Reading,
    /// When the head of each attempt's answer was written.
    heads: Vec<Instant>,
    written: Vec<Progress>,
}

/// Servers that answer each request by the script for its id.
#[derive(Clone, Default)]
pub struct Servers {
    exchanges: Arc<Mutex<HashMap<String, Exchange>>>,
    /// The addresses of the servers.
    pub addresses: Vec<SocketAddr>,
}

impl Servers {
    /// Starts the servers.
    ///
    /// # Panics
    /// Panics if no port is available.
    pub fn start() -> Servers {
        let mut servers = Servers::default();
        servers.addresses = (0..SERVERS).map(|_| servers.start_one()).collect();
        servers
    }

    fn start_one(&self) -> SocketAddr {
        let servers = self.clone();
        scripted::serve(move |mut stream, _| {
            let Ok(reader) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(reader);
            while let Some(head) = Message::read_head(&mut reader) {
                let id = head.header("x-correlation-id").unwrap_or_default();
                let is_read = read_body(&mut reader, &head, servers.reading(id)).is_some();
                if !is_read || servers.answer(id, &mut stream).is_none() {
                    return;
                }
            }
        })
    }

    fn exchanges(&self) -> MutexGuard<'_, HashMap<String, Exchange>> {
        self.exchanges
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the request with this id is answered.
    pub fn plan(&self, id: &str, script: Script) {
        self.plan_upload(id, Reading::AtOnce, script);
    }

    fn reading(&self, id: &str) -> Reading {
        let exchanges = self.exchanges();
        exchanges
            .get(id)
            .map_or(Reading::AtOnce, |exchange| exchange.reading)
    }

    /// Sets how the body of the request with this id is read, and how it is answered.
    pub fn plan_upload(&self, id: &str, reading: Reading, script: Script) {
        let exchange = Exchange {
            script,
            reading,
            heads: Vec::new(),
            written: Vec::new(),
        };
        self.exchanges().insert(id.to_owned(), exchange);
    }

    /// When the head of the answer of each attempt of a request was written.
    pub fn heads(&self, id: &str) -> Vec<Instant> {
        let exchanges = self.exchanges();
        exchanges
            .get(id)
            .map_or_else(Vec::new, |exchange| exchange.heads.clone())
    }

    /// How many attempts of a request were received.
    pub fn attempts(&self, id: &str) -> usize {
        self.heads(id).len()
    }

    /// What was written of the answers to a request.
    pub fn written(&self, id: &str) -> Vec<Progress> {
        let exchanges = self.exchanges();
        exchanges
            .get(id)
            .map_or_else(Vec::new, |exchange| exchange.written.clone())
    }

    /// Writes an answer; `None` if its connection can't be used any more.
    fn answer(&self, id: &str, stream: &mut TcpStream) -> Option<()> {
        let script = {
            let mut exchanges = self.exchanges();
            let exchange = exchanges.get_mut(id)?;
            exchange.heads.push(Instant::now());
            exchange.script.clone()
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
        Servers::end(&script, stream)
    }

    fn end(script: &Script, stream: &mut TcpStream) -> Option<()> {
        match (script.ending, script.framing) {
            (Ending::Whole, Framing::Chunked) => stream.write_all(b"0\r\n\r\n").ok(),
            (Ending::Whole, Framing::Announced) => Some(()),
            (Ending::Whole, _) => None,
            (Ending::Breaks, _) => {
                // Dropping the socket resets the connection.
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
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
        if let Some(exchange) = self.exchanges().get_mut(id) {
            let at = Instant::now();
            exchange.written.push(Progress { at, bytes });
        }
    }
}
