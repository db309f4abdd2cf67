//! Clients at the nodes of a fleet, that ask at random moments and write the history of it.

use super::history::{Event, History};
use super::name;
use crate::client::Client;
use crate::SeededRng;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Where clients reach each node now; a process that begins again has another port.
pub(super) type Addresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Clients at work.
pub struct Load {
    clients: Vec<tokio::task::JoinHandle<()>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    pub(super) fn new(clients: Vec<tokio::task::JoinHandle<()>>, stop: Arc<AtomicBool>) -> Load {
        Load { clients, stop }
    }

    /// No more is asked; waits for what is under way.
    pub async fn end(mut self) {
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

/// In what time an answer is worth all.
pub const AIM: Duration = Duration::from_millis(200);
/// What clients wait for an answer.
pub const DEADLINE: Duration = Duration::from_secs(2);

pub(super) async fn clients(
    node: usize,
    addresses: Addresses,
    rate: f64,
    risky: f64,
    mut draw: SeededRng,
    history: Arc<History>,
    stop: Arc<AtomicBool>,
) {
    let mut to: Option<(SocketAddr, Arc<Client>)> = None;
    let mut running = tokio::task::JoinSet::new();
    let tag = draw.next_u64() & 0xffff;
    let mut due = Instant::now();
    for n in 0u64.. {
        due += Duration::from_secs_f64(draw.next_gap(rate));
        tokio::time::sleep_until(due.into()).await;
        if stop.load(Ordering::Relaxed) {
            break;
        }
        while running.try_join_next().is_some() {}
        let now = addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(node)
            .copied()
            .flatten();
        // Where nobody is, nobody is asked.
        let Some(address) = now else { continue };
        let client = match &to {
            Some((at, client)) if *at == address => client.clone(),
            _ => to
                .insert((address, Arc::new(Client::new(address))))
                .1
                .clone(),
        };
        let risky = draw.next_fraction() < risky;
        let id = format!(
            "{}-{}{tag:x}-{n}",
            name(node),
            if risky { "w" } else { "r" }
        );
        let history = history.clone();
        running.spawn(async move { ask(node, &client, &history, id, risky).await });
    }
    while running.join_next().await.is_some() {}
}

async fn ask(node: usize, client: &Client, history: &History, id: String, risky: bool) {
    let request = Request::builder()
        .method(if risky { "POST" } else { "GET" })
        .uri("/api/flags")
        .header(
            "host",
            if risky {
                "toggle.example.org"
            } else {
                "evaluate.example.org"
            },
        )
        .header("x-correlation-id", &id)
        .body(Full::new(if risky {
            Bytes::from_static(b"{}")
        } else {
            Bytes::new()
        }));
    let Ok(request) = request else { return };
    history.add(Event::Asked {
        node,
        id: id.clone(),
        risky,
    });
    let got = tokio::time::timeout(DEADLINE + Duration::from_secs(40), client.send(request)).await;
    let status = match got {
        Ok(Ok(got)) => Some(got.status.as_u16()),
        Ok(Err(_)) | Err(_) => None,
    };
    history.add(Event::Answered { node, id, status });
}
