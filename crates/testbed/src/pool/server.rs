//! One server.

use super::cold::{Cold, Warming};
use super::manner::{App, Manner};
use super::respond::respond;
use super::state::{lock, Observer, State};
use crate::{Draw, Result, Task};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// One server. It ends when this is dropped.
pub struct Server {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
    _task: Task,
}

impl Server {
    /// Starts a server with so many workers.
    ///
    /// # Errors
    /// If no port is to be had.
    pub async fn start(name: &str, workers: usize, manner: Manner, seed: u64) -> Result<Server> {
        Self::at("127.0.0.1:0".parse()?, name, workers, manner, seed, None).await
    }

    /// Starts a server that runs an application.
    ///
    /// # Errors
    /// If no port is to be had.
    pub async fn running(
        name: &str,
        workers: usize,
        manner: Manner,
        seed: u64,
        app: App,
    ) -> Result<Server> {
        Self::at(
            "127.0.0.1:0".parse()?,
            name,
            workers,
            manner,
            seed,
            Some(app),
        )
        .await
    }

    /// Starts a server at an address.
    ///
    /// # Errors
    /// If the address is not to be had.
    pub async fn at(
        address: SocketAddr,
        name: &str,
        workers: usize,
        manner: Manner,
        seed: u64,
        app: Option<App>,
    ) -> Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            app,
            observer: Mutex::default(),
            manner: Mutex::new(manner),
            counts: Mutex::default(),
            draw: Mutex::new(Draw(seed)),
            workers: Semaphore::new(workers),
            capacity: workers,
            warming: Mutex::default(),
            connections: Mutex::default(),
            most_connections: Mutex::default(),
        });
        let serving = state.clone();
        let task = crate::task(async move {
            // Connections end with the server.
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, peer)) = listener.accept().await else {
                    continue;
                };
                while connections.try_join_next().is_some() {}
                let state = serving.clone();
                let Ok(handle) = socket2::SockRef::from(&stream).try_clone() else {
                    continue;
                };
                // Counted in the order in which they came.
                state.connected(peer, handle);
                connections.spawn(async move {
                    let _ = stream.set_nodelay(true);
                    let answer = service_fn(|request| respond(state.clone(), request));
                    // What the peer does to its connection is its own affair.
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), answer)
                        .await;
                    lock(&state.connections).remove(&peer);
                });
            }
        });
        Ok(Server {
            name: name.to_owned(),
            address,
            state,
            _task: task,
        })
    }

    /// Changes how requests are treated from here on.
    pub fn behave(&self, change: impl FnOnce(&mut Manner)) {
        change(&mut lock(&self.state.manner));
    }

    /// From now on somebody is told of each request that comes and each effect, at its moment.
    pub fn observe(&self, observer: Observer) {
        *lock(&self.state.observer) = Some(observer);
    }

    /// It has just started, and comes to its capacity so.
    pub fn start_cold(&self, cold: Cold) {
        let warming = Warming {
            cold,
            began: Instant::now(),
            sent: VecDeque::new(),
            push: 0.0,
        };
        *lock(&self.state.warming) = Some(warming);
    }

    /// The most that it was sent while it was cold, as a multiple of what it could do at that moment. Beyond
    /// [`Cold::factor`] it has fallen over: whatever comes is dropped.
    pub fn push(&self) -> f64 {
        lock(&self.state.warming).as_ref().map_or(0.0, |w| w.push)
    }

    /// Requests that have come so far.
    pub fn seen(&self) -> u64 {
        lock(&self.state.counts).seen
    }

    /// When the last one came.
    pub fn last_seen(&self) -> Option<Instant> {
        lock(&self.state.counts).last_seen
    }

    /// How often each id has had its effect here.
    pub fn effects(&self) -> HashMap<String, u32> {
        lock(&self.state.counts).effects.clone()
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        lock(&self.state.connections).len()
    }

    /// The most connections that were open at once.
    pub fn most_connections(&self) -> usize {
        *lock(&self.state.most_connections)
    }
}
