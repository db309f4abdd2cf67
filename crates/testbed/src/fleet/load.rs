//! Clients of the nodes of a fleet: they send requests at random times and record them in the history.

use super::history::{Event, History};
use super::{node_name, TestFleet};
use crate::client::Client;
use crate::SeededRng;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, JoinSet};

/// The latency objective of the services.
pub const LATENCY_OBJECTIVE: Duration = Duration::from_millis(200);
/// The deadline of requests.
pub const DEADLINE: Duration = Duration::from_secs(2);
/// How much longer than the deadline a client waits, so that a late response is recorded as late and not as missing.
const CLIENT_TIMEOUT_MARGIN: Duration = Duration::from_secs(40);

/// The client address of each node, which changes when its process is restarted; `None` without a process.
pub(super) type Addresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Clients that are running. They stop when this is dropped.
pub struct Load {
    clients: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    /// Stops sending, and waits for the responses to all requests.
    pub async fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.await;
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

impl TestFleet {
    /// Starts clients that send `rate` requests per second to each node. The share `at_most_once_ratio` of them must be
    /// executed at most once.
    pub fn start_load(&self, rate: f64, at_most_once_ratio: f64, seed: u64) -> Load {
        let nodes: Vec<usize> = (0..self.node_count()).collect();
        self.start_load_at(&nodes, rate, at_most_once_ratio, seed)
    }

    /// Like [`TestFleet::start_load`], for some of the nodes.
    pub fn start_load_at(
        &self,
        nodes: &[usize],
        rate: f64,
        at_most_once_ratio: f64,
        seed: u64,
    ) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let clients = nodes.iter().copied().map(|node| {
            let clients = NodeClients {
                node,
                addresses: self.addresses.clone(),
                rate,
                at_most_once_ratio,
                random: SeededRng(seed.wrapping_mul(0x9e37).wrapping_add(node as u64)),
                history: self.history.clone(),
                stop: stop.clone(),
                client: None,
            };
            tokio::spawn(clients.run())
        });
        Load {
            clients: clients.collect(),
            stop,
        }
    }
}

/// A client with the address that it connects to.
struct ConnectedClient {
    address: SocketAddr,
    client: Arc<Client>,
}

/// The clients of one node.
struct NodeClients {
    node: usize,
    addresses: Addresses,
    /// Requests per second.
    rate: f64,
    at_most_once_ratio: f64,
    random: SeededRng,
    history: Arc<History>,
    stop: Arc<AtomicBool>,
    client: Option<ConnectedClient>,
}

impl NodeClients {
    async fn run(mut self) {
        let mut in_flight = JoinSet::new();
        let tag = self.random.next_u64() & 0xffff;
        let mut due = Instant::now();
        for sequence in 0u64.. {
            due += Duration::from_secs_f64(self.random.next_gap(self.rate));
            tokio::time::sleep_until(due.into()).await;
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            while in_flight.try_join_next().is_some() {}
            // No request is sent to a node without a process.
            let Some(client) = self.current_client() else {
                continue;
            };
            let at_most_once = self.random.next_fraction() < self.at_most_once_ratio;
            let kind = if at_most_once { "w" } else { "r" };
            let id = format!("{}-{kind}{tag:x}-{sequence}", node_name(self.node));
            let (node, history) = (self.node, self.history.clone());
            in_flight.spawn(async move { send(node, &client, &history, id, at_most_once).await });
        }
        while in_flight.join_next().await.is_some() {}
    }

    /// The client of the node's current process; `None` if it has none.
    fn current_client(&mut self) -> Option<Arc<Client>> {
        let address = {
            let addresses = self
                .addresses
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            addresses.get(self.node).copied().flatten()?
        };
        let connected = self
            .client
            .take()
            .filter(|connected| connected.address == address)
            .unwrap_or_else(|| ConnectedClient {
                address,
                client: Arc::new(Client::new(address)),
            });
        let client = connected.client.clone();
        self.client = Some(connected);
        Some(client)
    }
}

/// Sends a request and waits for its response; records both.
async fn send(node: usize, client: &Client, history: &History, id: String, at_most_once: bool) {
    let Ok(request) = request(&id, at_most_once) else {
        return;
    };
    history.record(Event::RequestSent {
        node,
        id: id.clone(),
        at_most_once,
    });
    let timeout = DEADLINE + CLIENT_TIMEOUT_MARGIN;
    let response = tokio::time::timeout(timeout, client.send(request)).await;
    let status = match response {
        Ok(Ok(response)) => Some(response.status.as_u16()),
        Ok(Err(error)) => {
            history.record(Event::RequestFailed {
                node,
                id: id.clone(),
                error: error.to_string(),
            });
            None
        }
        Err(_) => None,
    };
    history.record(Event::ResponseReceived { node, id, status });
}

fn request(id: &str, at_most_once: bool) -> hyper::http::Result<Request<Full<Bytes>>> {
    let (method, host, body) = if at_most_once {
        ("POST", "toggle.example.org", Bytes::from_static(b"{}"))
    } else {
        ("GET", "evaluate.example.org", Bytes::new())
    };
    Request::builder()
        .method(method)
        .uri("/api/flags")
        .header("host", host)
        .header("x-correlation-id", id)
        .body(Full::new(body))
}
