//! A node with its discovery, servers and clients, all on loopback sockets.
//!
//! Threads and blocking sockets, one thread for each connection: slow, but what happens in which order is plain.
#![allow(missing_docs)]

use crate::node::Folder;
pub use crate::node::Program;
use crate::ports::Port;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Condvar, Mutex};
use std::time::{Duration, Instant};

/// No wait in these tests is longer; a passing one needs a small part of it.
pub const PATIENCE: Duration = Duration::from_secs(20);

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A listener that has room for one connection that nobody has accepted: the next one waits until that is accepted, and
/// the system tries again.
pub fn full_queue() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Waits until somebody's connection to this port is on its way.
pub fn until_connecting(port: u16) {
    let began = Instant::now();
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let syn_sent = format!(":{port:04X} 02 ");
        if table.contains(&syn_sent) {
            return;
        }
        assert!(began.elapsed() < PATIENCE, "nobody connects");
        std::thread::yield_now();
    }
}

/// Calls `with` on a thread of its own for each connection that comes, and its number from 0.
pub fn serve(with: impl Fn(TcpStream, usize) + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let with = Arc::new(with);
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let with = with.clone();
            std::thread::spawn(move || with(stream, number));
        }
    });
    address
}

/// A list as the list service words it.
pub fn list(index: u64, whole: bool, servers: &[(&str, SocketAddr, &str)]) -> String {
    let lines: Vec<String> = servers
        .iter()
        .map(|(name, address, status)| {
            format!(
                r#"{{"name":"{name}","address":"{address}","zone":"a","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#,
        lines.join(",")
    )
}

/// One message as it came: its first line, its headers in lower case, its body by `Content-Length`.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let first = line.trim_end().to_owned();
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .map_or(0, |l| l.parse().unwrap());
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
}

/// The list service; it tells every watch the whole list, again whenever that changes.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    list: String,
    changes: usize,
    watched: usize,
    /// Calls are answered 503, and watches end.
    refuses: bool,
    calls: usize,
}

impl Discovery {
    pub fn start() -> Discovery {
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let shared = state.clone();
        let address = serve(move |stream, _| watch(stream, &shared));
        Discovery { address, state }
    }

    /// Tells the whole list.
    pub fn list(&self, index: u64, servers: &[(&str, SocketAddr, &str)]) {
        self.tell(index, true, servers);
    }

    /// Tells what has changed.
    pub fn list_change(&self, index: u64, servers: &[(&str, SocketAddr, &str)]) {
        self.tell(index, false, servers);
    }

    fn tell(&self, index: u64, whole: bool, servers: &[(&str, SocketAddr, &str)]) {
        let list = list(index, whole, servers);
        let mut state = self.state.0.lock().unwrap();
        state.list = list;
        state.changes += 1;
        self.state.1.notify_all();
    }

    /// Tells a line that need not be a list.
    pub fn say(&self, line: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.list = line.to_owned();
        state.changes += 1;
        self.state.1.notify_all();
    }

    /// Whether every call is answered 503 from now on; watches that are open end.
    pub fn refuse(&self, refuses: bool) {
        self.state.0.lock().unwrap().refuses = refuses;
        self.state.1.notify_all();
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        self.state.0.lock().unwrap().calls
    }

    pub fn until_watched(&self) {
        let state = self.state.0.lock().unwrap();
        let done = self
            .state
            .1
            .wait_timeout_while(state, PATIENCE, |s| s.watched == 0)
            .unwrap();
        assert!(!done.1.timed_out(), "nobody watches");
    }
}

fn watch(stream: TcpStream, shared: &(Mutex<State>, Condvar)) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut stream = stream;
    while let Some(request) = Message::read(&mut reader) {
        let refuses = {
            let mut state = shared.0.lock().unwrap();
            state.calls += 1;
            state.refuses
        };
        if refuses {
            let _ =
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
            continue;
        }
        if !request.first.contains("watch=1") {
            let list = shared.0.lock().unwrap().list.clone();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", list.len());
            stream.write_all((head + &list).as_bytes()).unwrap();
            continue;
        }
        if stream
            .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            .is_err()
        {
            return;
        }
        let mut told = 0;
        let mut state = shared.0.lock().unwrap();
        state.watched += 1;
        shared.1.notify_all();
        loop {
            if state.refuses {
                return;
            }
            let line = if state.changes > told {
                state.list.clone() + "\n"
            } else {
                "\n".to_owned()
            };
            told = state.changes;
            if stream
                .write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())
                .is_err()
            {
                return;
            }
            state = shared
                .1
                .wait_timeout(state, Duration::from_millis(500))
                .unwrap()
                .0;
        }
    }
}

/// A server that answers each request as told.
pub struct Server {
    pub address: SocketAddr,
    seen: Arc<AtomicUsize>,
}

impl Server {
    /// Calls `answer` with each request and its number, from 0, and the socket.
    pub fn start(
        answer: impl Fn(&Message, usize, &mut TcpStream) + Send + Sync + 'static,
    ) -> Server {
        let seen = Arc::new(AtomicUsize::new(0));
        let count = seen.clone();
        let address = serve(move |mut stream, _| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            while let Some(request) = Message::read(&mut reader) {
                let number = count.fetch_add(1, Ordering::SeqCst);
                answer(&request, number, &mut stream);
            }
        });
        Server { address, seen }
    }

    /// One that answers 200 with the id that it was asked for.
    pub fn good() -> Server {
        Server::start(|request, _, stream| {
            let _ = stream.write_all(&answer_to(request));
        })
    }

    pub fn seen(&self) -> usize {
        self.seen.load(Ordering::SeqCst)
    }
}

/// A server that holds each request: the first barrier tells that one has come, the second lets its answer go.
pub fn holding() -> (Server, Arc<Barrier>, Arc<Barrier>) {
    let (held, hold) = (Arc::new(Barrier::new(2)), Arc::new(Barrier::new(2)));
    let (at, until) = (held.clone(), hold.clone());
    let server = Server::start(move |request, _, stream| {
        at.wait();
        until.wait();
        let _ = stream.write_all(&answer_to(request));
    });
    (server, held, hold)
}

/// The good answer to a request: its id.
pub fn answer_to(request: &Message) -> Vec<u8> {
    let id = request.header("x-correlation-id").unwrap_or("none");
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    )
    .into_bytes()
}

/// The program under test. It is killed when this is dropped.
pub struct Node {
    pub address: SocketAddr,
    /// Where operators call.
    pub management: SocketAddr,
    child: Child,
    config: PathBuf,
    sockets: usize,
    /// What it may write to; the processes of an upgrade share it.
    folder: Arc<Folder>,
    discovery: SocketAddr,
    /// The client's address, which the processes of an upgrade share, and the operators' one.
    port: Arc<Port>,
    _calls: Port,
}

impl Node {
    pub fn start(program: &Program, discovery: SocketAddr, sockets: usize) -> Node {
        let folder = Arc::new(Folder::new().unwrap());
        let mut node = Node::spawn(
            program,
            Arc::new(Port::take().unwrap()),
            discovery,
            sockets,
            folder,
        );
        let (began, address) = (Instant::now(), node.address);
        while !health(address) || !node.ready() {
            node.lives();
            assert!(began.elapsed() < PATIENCE, "the node does not get ready");
            std::thread::sleep(Duration::from_millis(10));
        }
        node
    }

    fn spawn(
        program: &Program,
        port: Arc<Port>,
        discovery: SocketAddr,
        sockets: usize,
        folder: Arc<Folder>,
    ) -> Node {
        let calls = Port::take().unwrap();
        let (address, management) = (port.address(), calls.address());
        let config = folder.path().join(format!("{}.json", management.port()));
        std::fs::write(&config, configuration(address, discovery, sockets)).unwrap();
        let mut command = program.command();
        command
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_MANAGEMENT", management.to_string());
        command.env("TMPDIR", folder.path()).stdout(Stdio::null());
        let child = command.spawn().unwrap();
        Node {
            address,
            management,
            child,
            config,
            sockets,
            folder,
            discovery,
            port,
            _calls: calls,
        }
    }

    /// Panics if the program has ended by itself.
    fn lives(&mut self) {
        if let Some(status) = self.child.try_wait().unwrap() {
            panic!("the node has ended by itself: {status}");
        }
    }

    /// Starts the program again at the same address, as an upgrade does, and waits until it says that it is ready.
    pub fn successor(&self, program: &Program) -> Node {
        let mut node = self.spawn_beside(program);
        let began = Instant::now();
        while !node.ready() {
            node.lives();
            assert!(
                began.elapsed() < PATIENCE,
                "the new process does not get ready"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
        node
    }

    /// Starts the program again at the same address.
    pub fn spawn_beside(&self, program: &Program) -> Node {
        Node::spawn(
            program,
            self.port.clone(),
            self.discovery,
            self.sockets,
            self.folder.clone(),
        )
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether it says that it can serve.
    fn ready(&self) -> bool {
        // A call that nobody answers yet is no yes: the process may not have its sockets.
        let Some(mut stream) = connect_maybe(self.management) else {
            return false;
        };
        let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nhost: n\r\n\r\n");
        answer(&stream).is_some_and(|got| got.status == 200)
    }

    /// What its processes share.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }

    /// Ends the program at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Replaces the configuration by one that names another discovery.
    pub fn configure(&self, discovery: SocketAddr) {
        std::fs::write(
            &self.config,
            configuration(self.address, discovery, self.sockets),
        )
        .unwrap();
    }

    pub fn spoil_configuration(&self) {
        std::fs::write(&self.config, "{\"discovery\": ").unwrap();
    }

    /// Waits for the program's end; whether it was a success.
    pub fn ended(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args(["-s", name, &pid])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn configuration(listen: SocketAddr, discovery: SocketAddr, sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","promise":1.5,"deadline":6.0,"worth":1.0,"late-value":0.5,"effect":"{effect}"}}"#
        )
    };
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"1f",
        "limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},"known":null,
        "settings":{{"categories":[{},{}],"discovery":"push","kinds":["k"],"failure-domains":["a"],
        "limits":{{"max-attempts":4,"conn-idle":5.0,"connect-timeout":2.0,"retry-after":true,
        "max-retry-after":0.3}},"rules":{{"answer-slack":0.05}}}}}}"#,
        class("read", "idempotent"),
        class("write", "at_most_once"),
    )
}

fn health(node: SocketAddr) -> bool {
    let ask = || -> Option<String> {
        let mut stream = connect_maybe(node)?;
        stream
            .write_all(b"GET /_health HTTP/1.1\r\nhost: n\r\n\r\n")
            .ok()?;
        Some(Message::read(&mut BufReader::new(stream))?.first)
    };
    ask().is_some_and(|line| line.contains("200"))
}

fn connect_maybe(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    Some(stream)
}

pub fn connect(to: SocketAddr) -> TcpStream {
    connect_maybe(to).expect("a connection to the node")
}

/// What a client gets.
#[derive(Debug, PartialEq)]
pub struct Got {
    pub status: u16,
    pub body: String,
}

/// A request that may be repeated, as its client writes it.
pub fn read_request(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: {id}\r\nx-service-class: read\r\nx-time-left: 6.0\r\n\r\n"
    )
}

/// A request that must not run twice, with the framing that is given.
pub fn write_request(id: &str, framing: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nhost: n\r\nx-correlation-id: {id}\r\nx-service-class: write\r\nx-time-left: 6.0\r\n{framing}\r\n\r\n{body}"
    )
}

/// The next answer on a connection; `None` if it ends or is reset instead.
pub fn answer(stream: &TcpStream) -> Option<Got> {
    let message = Message::read(&mut BufReader::new(stream))?;
    let status = message.first.split(' ').nth(1)?.parse().ok()?;
    Some(Got {
        status,
        body: String::from_utf8(message.body).ok()?,
    })
}

/// Sends bytes on a connection of their own and reads the answer.
pub fn exchange(node: SocketAddr, bytes: &[u8]) -> Option<Got> {
    let mut stream = connect(node);
    let _ = stream.write_all(bytes);
    answer(&stream)
}

/// Makes a call on the operators' address and gives the status of its answer.
pub fn call(management: SocketAddr, method: &str, path: &str) -> u16 {
    let text = format!("{method} {path} HTTP/1.1\r\nhost: n\r\n\r\n");
    exchange(management, text.as_bytes())
        .expect("an answer to a call")
        .status
}

/// One request that may be repeated, on a connection of its own.
pub fn get(node: SocketAddr, id: &str) -> Got {
    exchange(node, read_request(id).as_bytes()).expect("an answer")
}
