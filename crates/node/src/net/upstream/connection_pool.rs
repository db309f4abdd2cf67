//! The idle connections of all servers.

use super::connection::Connection;
use crate::net::shared::{ConnectionPermit, Shared};
use reelfall_balancer::interface::{ServerId, Time};
use reelfall_routing::budget::QuotaExceeded;
use reelfall_routing::keep_alive::KeepAlive;
use reelfall_routing::limits::ServiceId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Fraction of the servers' idle timeout after which a connection is no longer used: a request that is written while
/// the server closes ends in a reset, and might have run.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The idle connections of one listed server.
struct ServerConnections {
    /// The most recently used one is last.
    idle: Vec<Connection>,
    /// The generation of the server's current connections; those of an earlier one are not returned to the pool.
    generation: u64,
}

/// The connections to all servers of one [`Pool`](crate::net::pool::Pool).
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerId, ServerConnections>>,
    last_generation: Cell<u64>,
    pub(super) shared: Rc<Shared>,
    /// The service whose limits apply, if several services share the process.
    pub(super) service: Option<ServiceId>,
    /// Notified when a connection may have become available.
    pub(super) connection_available: Notify,
    keep_alive: Cell<KeepAlive>,
    last_expiry_check: Cell<Instant>,
    pub(super) connect_timeout: Duration,
}

impl ConnectionPool {
    /// An empty pool. `idle_timeout` is that of the servers.
    pub fn new(
        shared: Rc<Shared>,
        service: Option<ServiceId>,
        idle_timeout: Time,
        connect_timeout: Time,
    ) -> Self {
        ConnectionPool {
            servers: RefCell::default(),
            last_generation: Cell::new(0),
            shared,
            service,
            connection_available: Notify::new(),
            keep_alive: Cell::new(KeepAlive::new(idle_timeout * IDLE_TIMEOUT_FRACTION)),
            last_expiry_check: Cell::new(Instant::now()),
            connect_timeout: Duration::try_from_secs_f64(connect_timeout).unwrap_or_default(),
        }
    }

    /// Closes the idle connections to a server; those in use are closed instead of being returned.
    pub fn remove_server(&self, server: ServerId) {
        self.servers.borrow_mut().remove(&server);
    }

    /// Closes connections that have been idle for too long or were closed by their server.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut keep_alive = self.keep_alive.get();
        keep_alive.tick((now - self.last_expiry_check.replace(now)).as_secs_f64());
        self.keep_alive.set(keep_alive);
        let idle_timeout = self.idle_timeout();
        for server in self.servers.borrow_mut().values_mut() {
            server
                .idle
                .retain(|connection| !connection.is_expired(now, idle_timeout));
        }
    }

    /// How long a connection may be idle at present.
    fn idle_timeout(&self) -> Duration {
        Duration::try_from_secs_f64(self.keep_alive.get().idle_timeout()).unwrap_or(Duration::MAX)
    }

    /// Records that a server has rejected a new connection.
    pub(super) fn record_rejected_connection(&self) {
        let mut keep_alive = self.keep_alive.get();
        keep_alive.record_rejection();
        self.keep_alive.set(keep_alive);
    }

    /// Takes the most recently used idle connection to a server that can carry a request.
    pub(super) fn take(&self, server: ServerId) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&server)?.idle;
        let idle_timeout = self.idle_timeout();
        for index in (0..idle.len()).rev() {
            let connection = idle.get(index)?;
            if connection.is_expired(Instant::now(), idle_timeout) {
                idle.remove(index);
            } else if connection.sender.is_ready() {
                return Some(idle.remove(index));
            }
        }
        None
    }

    /// Returns a connection whose answer was read to its end.
    pub(super) fn put(&self, mut connection: Connection) {
        if connection.sender.is_closed() || connection.has_large_buffers() {
            return;
        }
        connection.idle_since = Instant::now();
        connection.is_reused = true;
        if !self.is_current(&connection) {
            return;
        }
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get_mut(&connection.target.server) {
            server.idle.push(connection);
            self.shared.notify_connection_freed();
        }
    }

    /// Whether a connection leads to the current instance of its server: the list has not removed, moved or restarted the
    /// server since the connection was begun, and it does not drain. Otherwise another process may have its address.
    pub(super) fn is_current(&self, connection: &Connection) -> bool {
        let target = connection.target;
        let servers = self.servers.borrow();
        let current = servers.get(&target.server);
        current.is_some_and(|server| server.generation == target.generation)
    }

    /// Reserves capacity for one more connection. A service at its own limit closes one of its idle connections first.
    pub(super) fn reserve_connection(&self, address: SocketAddr) -> Option<ConnectionPermit> {
        match self.shared.reserve_connection(address, self.service) {
            Err(QuotaExceeded::OwnLimit) if self.close_oldest_idle(None) => {
                self.shared.reserve_connection(address, self.service).ok()
            }
            reserved => reserved.ok(),
        }
    }

    /// Wakes one attempt that waits for a connection.
    pub fn notify_connection_available(&self) {
        self.connection_available.notify_one();
    }

    /// When the connection that has been idle longest became idle, among those to one address or among all.
    pub fn oldest_idle_since(&self, address: Option<SocketAddr>) -> Option<Instant> {
        self.servers
            .borrow()
            .values()
            .filter_map(|server| server.oldest_idle_since(address))
            .min()
    }

    /// Closes that connection; returns whether there was one.
    pub fn close_oldest_idle(&self, address: Option<SocketAddr>) -> bool {
        let mut servers = self.servers.borrow_mut();
        let oldest = servers
            .values_mut()
            .filter_map(|server| Some((server.oldest_idle_since(address)?, server)))
            .min_by_key(|(idle_since, _)| *idle_since);
        oldest.map(|(_, server)| server.idle.remove(0)).is_some()
    }

    /// The generation that new connections to a server belong to.
    pub(super) fn generation(&self, server: ServerId) -> u64 {
        let next_generation = || {
            self.last_generation.set(self.last_generation.get() + 1);
            ServerConnections {
                idle: Vec::new(),
                generation: self.last_generation.get(),
            }
        };
        self.servers
            .borrow_mut()
            .entry(server)
            .or_insert_with(next_generation)
            .generation
    }
}

impl ServerConnections {
    /// When the connection that has been idle longest became idle, if it leads to `address`.
    fn oldest_idle_since(&self, address: Option<SocketAddr>) -> Option<Instant> {
        self.idle
            .first()
            .filter(|connection| address.is_none_or(|to| connection.target.address == to))
            .map(|connection| connection.idle_since)
    }
}
