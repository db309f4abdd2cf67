//! The discovery service of the platform.

use super::{serve, Message, PATIENCE};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Interval of the empty lines that a watch sends as heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// An endpoint list as discovery sends it. The servers have a name, an address and a status.
pub fn endpoint_list(
    index: u64,
    is_snapshot: bool,
    servers: &[(&str, SocketAddr, &str)],
) -> String {
    let endpoint = |(name, address, status): &(&str, SocketAddr, &str)| {
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"k","group":1,"status":"{status}","weight":1.0,"since_ms":0}}"#
        )
    };
    let endpoints: Vec<String> = servers.iter().map(endpoint).collect();
    let endpoints = endpoints.join(",");
    format!(r#"{{"index":{index},"snapshot":{is_snapshot},"endpoints":[{endpoints}]}}"#)
}

/// A discovery service. Each watch gets the latest line, again whenever it changes.
pub struct Discovery {
    /// Where it listens.
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
    /// Calls are answered 503, and watches end.
    is_unavailable: bool,
    calls: usize,
}

impl Discovery {
    /// Starts without a list.
    pub fn start() -> Discovery {
        let shared = Arc::new(Shared::default());
        let of_thread = shared.clone();
        let address = serve(move |stream, _| serve_connection(stream, &of_thread));
        Discovery { address, shared }
    }

    /// Sends a complete list.
    pub fn send_snapshot(&self, index: u64, servers: &[(&str, SocketAddr, &str)]) {
        self.send_line(&endpoint_list(index, true, servers));
    }

    /// Sends changes of the list.
    pub fn send_delta(&self, index: u64, servers: &[(&str, SocketAddr, &str)]) {
        self.send_line(&endpoint_list(index, false, servers));
    }

    /// Sends a line, which need not be a list.
    pub fn send_line(&self, line: &str) {
        let mut state = self.shared.state.lock().unwrap();
        line.clone_into(&mut state.line);
        state.changes += 1;
        self.shared.changed.notify_all();
    }

    /// Whether calls are answered 503 from now on; open watches end.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.shared.state.lock().unwrap().is_unavailable = is_unavailable;
        self.shared.changed.notify_all();
    }

    /// Number of calls so far.
    pub fn calls(&self) -> usize {
        self.shared.state.lock().unwrap().calls
    }

    /// Waits for the first watch.
    pub fn wait_for_watch(&self) {
        let state = self.shared.state.lock().unwrap();
        let is_missing = |state: &mut State| state.watches == 0;
        let waited = self
            .shared
            .changed
            .wait_timeout_while(state, PATIENCE, is_missing);
        assert!(!waited.unwrap().1.timed_out(), "nobody watches");
    }
}

fn serve_connection(mut stream: TcpStream, shared: &Shared) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(request) = Message::read(&mut reader) {
        let is_unavailable = {
            let mut state = shared.state.lock().unwrap();
            state.calls += 1;
            state.is_unavailable
        };
        if is_unavailable {
            let answer = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(answer);
        } else if request.start_line.contains("watch=1") {
            return serve_watch(&mut stream, shared);
        } else {
            let line = shared.state.lock().unwrap().line.clone();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", line.len());
            stream.write_all((head + &line).as_bytes()).unwrap();
        }
    }
}

/// Sends changes and heartbeats until the client is gone or discovery is unavailable.
fn serve_watch(stream: &mut TcpStream, shared: &Shared) {
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    if stream.write_all(head).is_err() {
        return;
    }
    let mut sent_changes = 0;
    let mut state = shared.state.lock().unwrap();
    state.watches += 1;
    shared.changed.notify_all();
    while !state.is_unavailable {
        let is_new = state.changes > sent_changes;
        let line = if is_new {
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
            .unwrap()
            .0;
    }
}
