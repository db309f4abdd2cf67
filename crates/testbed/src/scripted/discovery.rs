//! The platform's discovery service, which sends exactly the lines that a test specifies.

use super::{serve, Message, WAIT_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval of the empty lines that are sent on a watch as heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// A server in an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer<'a> {
    /// Name by which the node identifies the server.
    pub name: &'a str,
    /// Address of the server.
    pub address: SocketAddr,
    /// Status in the list, such as `active`, `leaving` or `left`.
    pub status: &'a str,
}

impl<'a> ListedServer<'a> {
    /// Creates a list entry; its other fields have fixed values.
    pub fn new(name: &'a str, address: SocketAddr, status: &'a str) -> ListedServer<'a> {
        ListedServer {
            name,
            address,
            status,
        }
    }

    fn to_json(self) -> String {
        let ListedServer {
            name,
            address,
            status,
        } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    }
}

/// Formats an endpoint list as one line in the discovery protocol.
pub fn endpoint_list(index: u64, is_snapshot: bool, servers: &[ListedServer<'_>]) -> String {
    let endpoints: Vec<String> = servers.iter().map(|server| server.to_json()).collect();
    let endpoints = endpoints.join(",");
    format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{endpoints}]}}"#)
}

/// A discovery service. Each watch receives the current line when it opens and again whenever the line changes.
pub struct Discovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    line: String,
    changes: usize,
    watches: usize,
    /// While set, requests are answered with 503 and open watches end.
    is_unavailable: bool,
    requests: usize,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Discovery {
    /// Starts a service whose current line is empty.
    pub fn start() -> Discovery {
        let shared = Arc::new(Shared::default());
        let connection_shared = shared.clone();
        let address = serve(move |stream, _| serve_connection(stream, &connection_shared));
        Discovery { address, shared }
    }

    /// Starts a service that lists these servers as active, with the names `s-0`, `s-1` and so on.
    pub fn listing(servers: &[SocketAddr]) -> Discovery {
        let names: Vec<String> = (0..servers.len()).map(|n| format!("s-{n}")).collect();
        let listed: Vec<ListedServer> = names
            .iter()
            .zip(servers)
            .map(|(name, server)| ListedServer::new(name, *server, "active"))
            .collect();
        let discovery = Discovery::start();
        discovery.send_snapshot(1, &listed);
        discovery
    }

    /// Sends a complete list to all watches.
    pub fn send_snapshot(&self, index: u64, servers: &[ListedServer<'_>]) {
        self.send_line(&endpoint_list(index, true, servers));
    }

    /// Sends the changed servers of the list to all watches.
    pub fn send_delta(&self, index: u64, servers: &[ListedServer<'_>]) {
        self.send_line(&endpoint_list(index, false, servers));
    }

    /// Sends an arbitrary line, which need not be a valid list, to all watches.
    pub fn send_line(&self, line: &str) {
        let mut state = self.shared.lock();
        line.clone_into(&mut state.line);
        state.changes += 1;
        self.shared.changed.notify_all();
    }

    /// Sets whether requests are answered with 503. While the service is unavailable, watches end.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.shared.lock().is_unavailable = is_unavailable;
        self.shared.changed.notify_all();
    }

    /// Number of requests received so far.
    pub fn requests(&self) -> usize {
        self.shared.lock().requests
    }

    /// Waits until a watch has been opened.
    ///
    /// # Panics
    /// Panics if there is none within [`WAIT_TIMEOUT`].
    pub fn wait_for_watch(&self) {
        let state = self.shared.lock();
        let is_missing = |state: &mut State| state.watches == 0;
        let (_state, waited) = self
            .shared
            .changed
            .wait_timeout_while(state, WAIT_TIMEOUT, is_missing)
            .unwrap_or_else(PoisonError::into_inner);
        assert!(!waited.timed_out(), "no client opened a watch");
    }
}

fn serve_connection(mut stream: TcpStream, shared: &Shared) {
    let mut reader = BufReader::new(stream.try_clone().expect("a socket can be cloned"));
    while let Some(request) = Message::read(&mut reader) {
        let is_unavailable = {
            let mut state = shared.lock();
            state.requests += 1;
            state.is_unavailable
        };
        if is_unavailable {
            let response = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(response);
        } else if request.start_line.contains("watch=1") {
            return serve_watch(&mut stream, shared);
        } else {
            let line = shared.lock().line.clone();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", line.len());
            let response = head + &line;
            stream
                .write_all(response.as_bytes())
                .expect("the node reads the list");
        }
    }
}

/// Sends changes and heartbeats until the client disconnects or the service becomes unavailable.
fn serve_watch(stream: &mut TcpStream, shared: &Shared) {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    if stream.write_all(head).is_err() {
        return;
    }
    let mut sent_changes = 0;
    let mut state = shared.lock();
    state.watches += 1;
    shared.changed.notify_all();
    while !state.is_unavailable {
        let is_changed = state.changes > sent_changes;
        let line = if is_changed {
            state.line.clone() + "\n"
        } else {
            "\n".to_owned()
        };
        sent_changes = state.changes;
        let chunk = format!("{:x}\r\n{line}\r\n", line.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return;
        }
        state = shared
            .changed
            .wait_timeout(state, HEARTBEAT_INTERVAL)
            .unwrap_or_else(PoisonError::into_inner)
            .0;
    }
}
