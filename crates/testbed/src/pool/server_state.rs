//! Counters and current behavior of a server. Shared by `server` and the requests in progress.

use super::app::App;
use super::behavior::ServerBehavior;
use super::slow_start::SlowStartState;
use crate::SeededRng;
use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Semaphore;

/// Lower bound of the service time in the calculation of the capacity, which keeps the capacity finite.
const MIN_SERVICE_SECONDS: f64 = 1e-6;

/// An event in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The head of the request has been received.
    Received,
    /// The request has taken effect.
    EffectApplied,
}

/// Called synchronously with the id of a request or effect, and the event.
pub type Observer = Arc<dyn Fn(&str, RequestEvent) + Send + Sync>;

/// Counters of one server.
#[derive(Default)]
pub(super) struct Counters {
    /// How often each effect id has taken effect.
    pub(super) effects: HashMap<String, u32>,
    pub(super) requests: u64,
    pub(super) last_request_at: Option<Instant>,
}

/// The state of one server, which its tasks share.
pub(super) struct ServerState {
    pub(super) app: Option<App>,
    pub(super) observer: Mutex<Option<Observer>>,
    pub(super) behavior: Mutex<ServerBehavior>,
    pub(super) counters: Mutex<Counters>,
    pub(super) rng: Mutex<SeededRng>,
    pub(super) free_workers: Semaphore,
    pub(super) worker_count: usize,
    pub(super) slow_start: Mutex<Option<SlowStartState>>,
    /// A duplicate handle of each socket, to detect closed connections whose end has not been read yet.
    pub(super) connections: Mutex<HashMap<SocketAddr, socket2::Socket>>,
    pub(super) max_open_connections: Mutex<usize>,
}

/// Locks a mutex, ignoring poisoning.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ServerState {
    pub(super) fn new(
        workers: usize,
        behavior: ServerBehavior,
        seed: u64,
        app: Option<App>,
    ) -> ServerState {
        ServerState {
            app,
            observer: Mutex::default(),
            behavior: Mutex::new(behavior),
            counters: Mutex::default(),
            rng: Mutex::new(SeededRng(seed)),
            free_workers: Semaphore::new(workers),
            worker_count: workers,
            slow_start: Mutex::default(),
            connections: Mutex::default(),
            max_open_connections: Mutex::default(),
        }
    }

    pub(super) fn add_connection(&self, peer: SocketAddr, handle: socket2::Socket) {
        let mut connections = lock(&self.connections);
        connections.insert(peer, handle);
        let is_open =
            |socket: &&socket2::Socket| !matches!(socket.peek(&mut [MaybeUninit::uninit()]), Ok(0));
        let open = connections.values().filter(is_open).count();
        let mut max_open = lock(&self.max_open_connections);
        *max_open = (*max_open).max(open);
    }

    pub(super) fn count_request(&self) {
        let mut counters = lock(&self.counters);
        counters.requests += 1;
        counters.last_request_at = Some(Instant::now());
    }

    /// Counts a request for slow start. Returns `false` if the server has collapsed.
    pub(super) fn admit(&self) -> bool {
        let service_seconds = lock(&self.behavior).service_time.as_secs_f64();
        let capacity = self.worker_count as f64 / service_seconds.max(MIN_SERVICE_SECONDS);
        lock(&self.slow_start)
            .as_mut()
            .is_none_or(|slow_start| slow_start.admit(Instant::now(), capacity))
    }

    pub(super) fn notify(&self, id: &str, event: RequestEvent) {
        if let Some(observer) = &*lock(&self.observer) {
            observer(id, event);
        }
    }

    pub(super) fn apply_effects(&self, ids: &[String]) {
        for id in ids {
            self.notify(id, RequestEvent::EffectApplied);
            let mut counters = lock(&self.counters);
            *counters.effects.entry(id.clone()).or_default() += 1;
        }
    }
}
