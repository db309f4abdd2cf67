//! The servers of these tests, on blocking sockets.

use reelfall_testbed::scripted;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

/// Number of servers that behave in the same way. While a node does not use one of them, it uses the others.
const SERVERS: usize = 6;

pub const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok\n";

/// How often each request has run, by its id.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<HashMap<String, usize>>>);

impl Runs {
    pub fn record(&self, id: &str) {
        *self.0.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }

    pub fn count(&self, id: &str) -> usize {
        self.0.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// A request as a server receives it.
pub struct ReceivedHead {
    pub id: String,
    /// `None` for a chunked body.
    pub length: Option<usize>,
    pub time_left: String,
}

/// Reads the head of a request; `None` once the connection has ended.
pub fn read_head(reader: &mut impl BufRead) -> Option<ReceivedHead> {
    let mut head = ReceivedHead {
        id: String::new(),
        length: None,
        time_left: String::new(),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(head);
        }
        let (name, value) = line.split_once(": ").unwrap_or((line, ""));
        match name.to_lowercase().as_str() {
            "x-correlation-id" => head.id = value.to_owned(),
            "content-length" => head.length = value.parse().ok(),
            "x-time-left" => head.time_left = value.to_owned(),
            _ => {}
        }
    }
}

/// Reads the body that follows a head; `None` if the connection ends before its end.
pub fn read_body(reader: &mut impl BufRead, head: &ReceivedHead) -> Option<()> {
    if let Some(length) = head.length {
        return read_bytes(reader, length);
    }
    loop {
        let mut size_line = String::new();
        reader.read_line(&mut size_line).ok()?;
        let size = usize::from_str_radix(size_line.trim_end(), 16).ok()?;
        read_bytes(reader, size + "\r\n".len())?;
        if size == 0 {
            return Some(());
        }
    }
}

/// Reads this many bytes; `None` if the connection ends before.
pub fn read_bytes(reader: &mut impl Read, count: usize) -> Option<()> {
    let read = std::io::copy(&mut reader.take(count as u64), &mut std::io::sink()).ok()?;
    (read == count as u64).then_some(())
}

/// Keeps a connection open without reading from it.
pub fn hang() -> ! {
    loop {
        std::thread::park();
    }
}

/// The number of connections to these servers that have not ended at their client's side.
pub fn open_connections(servers: &[SocketAddr]) -> usize {
    /// The state of an open connection in `/proc/net/tcp`.
    const ESTABLISHED: &str = "01";
    let ports: Vec<String> = servers
        .iter()
        .map(|server| format!(":{:04X}", server.port()))
        .collect();
    let is_open = |line: &&str| {
        let mut fields = line.split_whitespace().skip(2);
        let (remote, state) = (fields.next().unwrap_or(""), fields.next());
        state == Some(ESTABLISHED) && ports.iter().any(|port| remote.ends_with(port))
    };
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().filter(is_open).count()
}

/// Starts servers whose connections are handled by `handle`, with a buffered reader of the same socket.
pub fn serve(
    handle: impl Fn(BufReader<TcpStream>, TcpStream) + Send + Sync + 'static,
) -> Vec<SocketAddr> {
    let handle = Arc::new(handle);
    let start_server = |_| {
        let handle = handle.clone();
        scripted::serve(move |stream, _| {
            let reader = BufReader::new(stream.try_clone().unwrap());
            handle(reader, stream);
        })
    };
    (0..SERVERS).map(start_server).collect()
}
