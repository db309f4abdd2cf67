//! One server: its listener, controls and counters. Started by [`super::Pool`], and directly by tests.

use super::app::App;
use super::behavior::ServerBehavior;
use super::respond::respond;
use super::server_state::{lock, Observer, ServerState};
use super::slow_start::{SlowStart, SlowStartState};
use crate::{AbortOnDrop, Result};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Instant;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// A running server. Dropping it stops the server.
pub struct Server {
    /// Name of the server in settings, endpoint lists and registry entries.
    pub name: String,
    /// Address on which the server listens.
    pub address: SocketAddr,
    state: Arc<ServerState>,
    _accept_task: AbortOnDrop,
}

impl Server {
    /// Starts a server on a free port of the loopback address.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(
        name: &str,
        workers: usize,
        behavior: ServerBehavior,
        seed: u64,
    ) -> Result<Server> {
        Self::bind(any_port(), name, workers, behavior, seed, None).await
    }

    /// Starts a server that runs an application, on a free port of the loopback address.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start_with_app(
        name: &str,
        workers: usize,
        behavior: ServerBehavior,
        seed: u64,
        app: App,
    ) -> Result<Server> {
        Self::bind(any_port(), name, workers, behavior, seed, Some(app)).await
    }

    /// Starts a server on the given address.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        name: &str,
        workers: usize,
        behavior: ServerBehavior,
        seed: u64,
        app: Option<App>,
    ) -> Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState::new(workers, behavior, seed, app));
        let accept_task = crate::spawn(accept_connections(listener, state.clone()));
        Ok(Server {
            name: name.to_owned(),
            address,
            state,
            _accept_task: accept_task,
        })
    }

    /// Changes the behavior for subsequent requests; a change of `is_frozen` also affects requests that are waiting.
    pub fn update_behavior(&self, change: impl FnOnce(&mut ServerBehavior)) {
        change(&mut lock(&self.state.behavior));
    }

    /// Sets the observer, which is called for each later event of a request.
    pub fn set_observer(&self, observer: Observer) {
        *lock(&self.state.observer) = Some(observer);
    }

    /// Starts the slow-start phase, as if the server had just started.
    pub fn begin_slow_start(&self, config: SlowStart) {
        *lock(&self.state.slow_start) = Some(SlowStartState::new(config, Instant::now()));
    }

    /// The highest request rate during slow start, as a multiple of the capacity at that time. If it exceeds
    /// [`SlowStart::overload_factor`], the server has collapsed and closes the connection of every request.
    pub fn peak_overload(&self) -> f64 {
        lock(&self.state.slow_start)
            .as_ref()
            .map_or(0.0, SlowStartState::peak_overload)
    }

    /// Number of requests received so far.
    pub fn requests_received(&self) -> u64 {
        lock(&self.state.counters).requests
    }

    /// When the last request was received.
    pub fn last_request_at(&self) -> Option<Instant> {
        lock(&self.state.counters).last_request_at
    }

    /// How often each effect id has taken effect at this server.
    pub fn effect_counts(&self) -> HashMap<String, u32> {
        lock(&self.state.counters).effects.clone()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        lock(&self.state.connections).len()
    }

    /// The highest number of connections that were open at the same time.
    pub fn max_open_connections(&self) -> usize {
        *lock(&self.state.max_open_connections)
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn accept_connections(listener: TcpListener, state: Arc<ServerState>) {
    // Dropping the set ends the connections together with the server.
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let Ok(handle) = socket2::SockRef::from(&stream).try_clone() else {
            continue;
        };
        // Added here rather than in the task, so that connections are counted in the order of acceptance.
        state.add_connection(peer, handle);
        connections.spawn(serve_connection(stream, peer, state.clone()));
    }
}

async fn serve_connection(stream: TcpStream, peer: SocketAddr, state: Arc<ServerState>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| respond(state.clone(), request));
    // Tests and injected faults break connections on purpose, so errors are ignored.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    lock(&state.connections).remove(&peer);
}
