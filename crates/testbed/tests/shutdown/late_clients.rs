//! Clients that keep their connections and send one more request on each after SIGTERM.

use crate::fixtures::KILL_AFTER_DEADLINE;
use reelfall_testbed::node::{Node, WAIT_TIMEOUT};
use reelfall_testbed::pool::{RequestEvent, Server};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of clients.
const CLIENT_COUNT: u32 = 24;
/// When the first client sends its late request, counted from SIGTERM.
const FIRST_LATE_REQUEST: Duration = Duration::from_millis(300);
/// Time between the late requests of two clients.
const LATE_REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// How long a process may be held up.
const MAX_STALL: Duration = Duration::from_millis(150);
/// When further signals follow SIGTERM.
const FURTHER_SIGNALS_AFTER: Duration = Duration::from_millis(100);
/// Maximum length of a response.
const MAX_RESPONSE_LEN: usize = 4096;

/// The signals that end a node.
#[derive(Clone, Copy, Debug)]
pub enum Ending {
    /// SIGTERM.
    Plain,
    /// The process is held up when SIGTERM comes.
    HeldUp,
    /// SIGHUP and a second SIGTERM follow.
    FurtherSignals,
}

impl Ending {
    /// Sends the signals; returns when SIGTERM was sent.
    async fn send(self, node: &Node) -> Instant {
        if matches!(self, Ending::HeldUp) {
            node.signal("STOP").unwrap();
        }
        node.signal("TERM").unwrap();
        let terminated_at = Instant::now();
        match self {
            Ending::Plain => {}
            Ending::HeldUp => {
                tokio::time::sleep_until((terminated_at + MAX_STALL).into()).await;
                node.signal("CONT").unwrap();
            }
            Ending::FurtherSignals => {
                tokio::time::sleep_until((terminated_at + FURTHER_SIGNALS_AFTER).into()).await;
                node.signal("HUP").unwrap();
                node.signal("TERM").unwrap();
            }
        }
        terminated_at
    }
}

/// A connection on which a request was answered.
struct LateClient {
    id: String,
    stream: TcpStream,
}

impl LateClient {
    async fn connect(address: SocketAddr, number: u32) -> LateClient {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let first = request(&format!("first-{number}"));
        stream.write_all(first.as_bytes()).await.unwrap();
        let mut response = [0; MAX_RESPONSE_LEN];
        let length = stream.read(&mut response).await.unwrap();
        assert!(response[..length].starts_with(b"HTTP/1.1 "));
        LateClient {
            id: format!("late-{number}"),
            stream,
        }
    }

    /// Sends the late request; returns its id if it gets no answer.
    async fn send_late(mut self, at: Instant) -> Option<String> {
        tokio::time::sleep_until(at.into()).await;
        let mut response = Vec::new();
        if self
            .stream
            .write_all(request(&self.id).as_bytes())
            .await
            .is_ok()
        {
            // What came before an error counts.
            let _ = self.stream.read_to_end(&mut response).await;
        }
        (!response.starts_with(b"HTTP/1.1 ")).then_some(self.id)
    }
}

fn request(id: &str) -> String {
    format!("GET /api HTTP/1.1\r\nhost: a\r\nx-correlation-id: {id}\r\n\r\n")
}

/// Clients of a node, and the requests that its server has received.
pub struct LateClients {
    clients: Vec<LateClient>,
    received: Arc<Mutex<HashSet<String>>>,
}

impl LateClients {
    /// Connects the clients; a request of each is answered.
    pub async fn connect(node: &Node, server: &Server) -> LateClients {
        let received = Arc::new(Mutex::new(HashSet::new()));
        let observed = received.clone();
        server.set_observer(Arc::new(move |id, event| {
            if event == RequestEvent::Received {
                observed.lock().unwrap().insert(id.to_owned());
            }
        }));
        let mut clients = Vec::new();
        for number in 0..CLIENT_COUNT {
            clients.push(LateClient::connect(node.address(), number).await);
        }
        LateClients { clients, received }
    }

    /// Ends the node by these signals, and by SIGKILL as early as it may come with this longest deadline. Returns the late requests
    /// that the server has received and that got no answer.
    ///
    /// A request that the server has not received may have crossed the end of its connection; it is not lost.
    pub async fn lost_in_shutdown(
        self,
        node: &mut Node,
        ending: Ending,
        deadline: Duration,
    ) -> Vec<String> {
        let terminated_at = ending.send(node).await;
        let mut requests = tokio::task::JoinSet::new();
        let mut sends_at = terminated_at + FIRST_LATE_REQUEST;
        for client in self.clients {
            requests.spawn(client.send_late(sends_at));
            sends_at += LATE_REQUEST_INTERVAL;
        }
        let killed_at = terminated_at + deadline + KILL_AFTER_DEADLINE;
        if tokio::time::timeout_at(killed_at.into(), node.wait_for_exit())
            .await
            .is_err()
        {
            // The process may end at the same moment.
            let _ = node.signal("KILL");
        }
        let unanswered = tokio::time::timeout(WAIT_TIMEOUT, requests.join_all()).await;
        let received = self.received.lock().unwrap();
        unanswered
            .expect("each connection ends")
            .into_iter()
            .flatten()
            .filter(|id| received.contains(id))
            .collect()
    }
}
