//! Nodes, servers and clients of these tests, on blocking sockets.

use reelfall_testbed::node;
use reelfall_testbed::scripted::{self, connect, read_response, Discovery, ListedServer, Program};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a client waits for its answer, from the last byte of its request on.
pub const TIME_LEFT: Duration = Duration::from_secs(1);
/// An answer that comes later than this after the client's time is lost.
pub const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Number of servers that behave in the same way. While a node does not use one of them, it uses the others.
const SERVERS: usize = 6;
const MAX_SOCKETS: usize = 512;
/// The size in bytes of the first piece of a body for which the node has to reserve memory.
const RESERVED_PIECE_BYTES: usize = 5_000;
/// The announced sizes of bodies that use up the node's memory, the largest that are buffered first, in bytes.
const MEMORY_FILLING_BYTES: [usize; 8] = [
    1 << 20,
    512 << 10,
    256 << 10,
    128 << 10,
    64 << 10,
    32 << 10,
    16 << 10,
    8 << 10,
];
const LARGEST_FILLING_BODIES: usize = 16;

/// How a node is configured.
#[derive(Clone, Copy, Debug)]
pub enum NodeKind {
    /// By the platform, with one service.
    Platform,
    /// By a settings file with a service whose memory does not suffice for a body.
    SettingsFile,
}

impl NodeKind {
    pub const ALL: [NodeKind; 2] = [NodeKind::Platform, NodeKind::SettingsFile];
}

/// Runs a check on nodes of all kinds at the same time.
pub fn for_each_kind(check: impl Fn(NodeKind) + Sync) {
    std::thread::scope(|scope| {
        for kind in NodeKind::ALL {
            let check = &check;
            scope.spawn(move || check(kind));
        }
    });
}

/// A running node.
pub struct TestNode {
    pub address: SocketAddr,
    pub process: NodeProcess,
}

/// The process of a node, and what it needs to run.
pub enum NodeProcess {
    Platform {
        node: Box<scripted::Node>,
        _discovery: Discovery,
    },
    SettingsFile {
        node: Box<node::Node>,
        runtime: tokio::runtime::Runtime,
    },
}

pub fn program() -> Program {
    Program::in_testbed(env!("CARGO_BIN_EXE_reelfall-testbed"))
}

impl TestNode {
    /// Starts a node with these servers.
    pub fn start(kind: NodeKind, servers: &[SocketAddr]) -> TestNode {
        match kind {
            NodeKind::Platform => TestNode::start_platform(servers),
            NodeKind::SettingsFile => TestNode::start_with_settings(&settings(servers)),
        }
    }

    fn start_platform(servers: &[SocketAddr]) -> TestNode {
        let names: Vec<String> = (0..servers.len()).map(|n| format!("s-{n}")).collect();
        let listed: Vec<ListedServer> = names
            .iter()
            .zip(servers)
            .map(|(name, server)| ListedServer::new(name, *server, "active"))
            .collect();
        let discovery = Discovery::start();
        discovery.send_snapshot(1, &listed);
        let node = scripted::Node::start(&program(), discovery.address, MAX_SOCKETS);
        TestNode {
            address: node.address,
            process: NodeProcess::Platform {
                node: Box::new(node),
                _discovery: discovery,
            },
        }
    }

    /// Starts a node with this settings file.
    pub fn start_with_settings(settings: &str) -> TestNode {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let node = runtime.block_on(async {
            let node = node::Node::start(&program(), settings).await.unwrap();
            node.wait_for_health("/_health", true).await.unwrap();
            node
        });
        TestNode {
            address: node.address(),
            process: NodeProcess::SettingsFile {
                node: Box::new(node),
                runtime,
            },
        }
    }

    /// Sends the process a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        match &self.process {
            NodeProcess::Platform { node, .. } => node.signal(name),
            NodeProcess::SettingsFile { node, .. } => node.signal(name).unwrap(),
        }
    }
}

/// A settings file with one service of unsafe requests, whose memory is too small for any body that needs some.
pub fn settings(servers: &[SocketAddr]) -> String {
    let mut text = "[[listener]]\nname = \"client\"\naddress = \"127.0.0.1:0\"\n[[service]]\nname = \"write\"\n\
                    limits = { memory = \"1KiB\" }\n[[service.class]]\nname = \"write\"\nrepeat = \"unsafe\"\naim = \"500ms\"\n\
                    deadline = \"5s\"\n[[service.route]]\nhost = \"write.example.org\"\npath = \"/api\"\n"
        .to_owned();
    for (number, server) in servers.iter().enumerate() {
        text += &format!("[[service.server]]\nname = \"s-{number}\"\naddress = \"{server}\"\n");
    }
    text
}

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

pub const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok\n";

/// Requests whose bodies are received in part, so that no memory is left for other bodies as long as this exists.
pub struct UsedMemory {
    _connections: Vec<TcpStream>,
}

impl UsedMemory {
    /// Uses up the memory of a node. For a node with a settings file there is nothing to do.
    pub fn fill(kind: NodeKind, node: SocketAddr) -> UsedMemory {
        let sizes = match kind {
            NodeKind::SettingsFile => Vec::new(),
            NodeKind::Platform => {
                let mut sizes = vec![MEMORY_FILLING_BYTES[0]; LARGEST_FILLING_BODIES];
                sizes.extend_from_slice(&MEMORY_FILLING_BYTES);
                sizes
            }
        };
        let connections = sizes
            .into_iter()
            .enumerate()
            .map(|(number, size)| {
                let mut stream = connect(node);
                let framing = format!("content-length: {size}");
                let mut text = head(&format!("fill-{number}"), &framing).into_bytes();
                text.resize(text.len() + RESERVED_PIECE_BYTES, b'x');
                stream.write_all(&text).unwrap();
                stream
            })
            .collect();
        UsedMemory {
            _connections: connections,
        }
    }
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
