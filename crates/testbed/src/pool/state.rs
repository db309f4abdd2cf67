//! What a server has seen and done, and how it behaves now.

use super::cold::Warming;
use super::manner::{App, Manner};
use crate::Draw;
use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::Semaphore;

#[derive(Default)]
pub(super) struct Counts {
    /// How often each id has had its effect.
    pub(super) effects: HashMap<String, u32>,
    pub(super) seen: u64,
    pub(super) last_seen: Option<Instant>,
}

/// Who is told of requests that come, and of effects: the id, and whether it is an effect.
pub type Observer = Arc<dyn Fn(&str, bool) + Send + Sync>;

pub(super) struct State {
    pub(super) app: Option<App>,
    pub(super) observer: Mutex<Option<Observer>>,
    pub(super) manner: Mutex<Manner>,
    pub(super) counts: Mutex<Counts>,
    pub(super) draw: Mutex<Draw>,
    pub(super) workers: Semaphore,
    pub(super) capacity: usize,
    pub(super) warming: Mutex<Option<Warming>>,
    /// A second handle on each socket, to see ends that have come though nobody has read them yet.
    pub(super) connections: Mutex<HashMap<SocketAddr, socket2::Socket>>,
    pub(super) most_connections: Mutex<usize>,
}

pub(super) fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    pub(super) fn connected(&self, peer: SocketAddr, handle: socket2::Socket) {
        let mut connections = lock(&self.connections);
        connections.insert(peer, handle);
        let open = |s: &&socket2::Socket| !matches!(s.peek(&mut [MaybeUninit::uninit()]), Ok(0));
        let open = connections.values().filter(open).count();
        let mut most = lock(&self.most_connections);
        *most = (*most).max(open);
    }

    /// Counts a request against what a cold server bears.
    pub(super) fn bears(&self) -> bool {
        let service = lock(&self.manner).service.as_secs_f64();
        let capacity = self.capacity as f64 / service.max(1e-6);
        lock(&self.warming)
            .as_mut()
            .is_none_or(|w| w.bears(Instant::now(), capacity))
    }

    pub(super) fn tell(&self, id: &str, effect: bool) {
        if let Some(observer) = &*lock(&self.observer) {
            observer(id, effect);
        }
    }

    pub(super) fn count(&self, id: &str) {
        self.tell(id, true);
        *lock(&self.counts).effects.entry(id.to_owned()).or_default() += 1;
    }
}
