//! Numbers of open connections to servers and their limits.
//!
//! An attempt that needs a new connection reserves one here first; if the limit is reached, an idle connection of
//! some pool is closed for it.

use super::{Permit, Shared};
use crate::net::memory::Reservation;
use reelfall_routing::budget::QuotaExceeded;
use reelfall_routing::limits::{Resource, ServiceId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// Connections to servers: how many are open, how many may be, and how many attempts wait for one.
pub(super) struct ConnectionCounts {
    open: Cell<usize>,
    max: Cell<usize>,
    /// Counted only if several services may send to one server.
    open_by_server: RefCell<HashMap<SocketAddr, usize>>,
    max_per_server: Cell<Option<usize>>,
    waiting_attempts: Cell<usize>,
}

impl ConnectionCounts {
    pub(super) fn new(max: usize) -> Self {
        ConnectionCounts {
            open: Cell::new(0),
            max: Cell::new(max),
            open_by_server: RefCell::default(),
            max_per_server: Cell::new(None),
            waiting_attempts: Cell::new(0),
        }
    }

    pub(super) fn set_max(&self, max: usize) {
        self.max.set(max);
    }

    pub(super) fn set_max_per_server(&self, max_per_server: Option<usize>) {
        self.max_per_server.set(max_per_server);
    }

    /// Whether no further connection may be opened.
    fn is_full(&self) -> bool {
        self.open.get() >= self.max.get()
    }

    /// Whether no further connection to a server may be opened.
    fn is_server_full(&self, address: &SocketAddr) -> bool {
        let Some(max) = self.max_per_server.get() else {
            return false;
        };
        self.open_by_server
            .borrow()
            .get(address)
            .is_some_and(|open| *open >= max)
    }

    /// Counts a new connection, for `server` too if that is given.
    fn add(&self, server: Option<SocketAddr>) {
        self.open.set(self.open.get() + 1);
        if let Some(address) = server {
            *self.open_by_server.borrow_mut().entry(address).or_default() += 1;
        }
    }

    /// Counts a connection that was closed, with the `server` that it was added with.
    fn remove(&self, server: Option<SocketAddr>) {
        self.open.set(self.open.get().saturating_sub(1));
        let Some(address) = server else {
            return;
        };
        let mut open_by_server = self.open_by_server.borrow_mut();
        if let Some(open) = open_by_server.get_mut(&address) {
            *open = open.saturating_sub(1);
            if *open == 0 {
                open_by_server.remove(&address);
            }
        }
    }
}

/// Permission for one open connection to a server, released when this is dropped.
pub struct ConnectionPermit {
    shared: Rc<Shared>,
    /// The server, if connections are counted by server.
    counted_server: Option<SocketAddr>,
    _permit: Option<Permit>,
    _memory: Reservation,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.shared.connections.remove(self.counted_server);
        self.shared.notify_connection_freed();
    }
}

/// Counts an attempt that waits for a connection until this is dropped.
pub struct WaitingAttempt<'a>(&'a Cell<usize>);

impl Drop for WaitingAttempt<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Shared {
    /// Reserves one more connection to a server. If a limit is reached, an idle connection is closed: one to that
    /// server if the limit is the server's, else the one of all pools that has been idle longest.
    ///
    /// # Errors
    /// [`QuotaExceeded::OwnLimit`] if the service has reached its limit: no other service's connection is closed for it
    /// then. [`QuotaExceeded::Exhausted`] if no connection can be closed.
    pub fn reserve_connection(
        self: &Rc<Self>,
        address: SocketAddr,
        service_id: Option<ServiceId>,
    ) -> Result<ConnectionPermit, QuotaExceeded> {
        if self.connections.is_server_full(&address) {
            self.evict_idle(Some(address))
                .ok_or(QuotaExceeded::Exhausted)?;
        }
        if self.connections.is_full() {
            self.evict_idle(None).ok_or(QuotaExceeded::Exhausted)?;
        }
        let permit = match service_id {
            None => None,
            Some(service_id) => Some(self.reserve_service_connection(service_id)?),
        };
        let counted_server = self.combines_lists().then_some(address);
        self.connections.add(counted_server);
        Ok(ConnectionPermit {
            shared: self.clone(),
            counted_server,
            _permit: permit,
            _memory: self.reserve_server_memory(),
        })
    }

    fn reserve_service_connection(
        self: &Rc<Self>,
        service_id: ServiceId,
    ) -> Result<Permit, QuotaExceeded> {
        match self.reserve_units(service_id, Resource::Connections, 1) {
            Ok(permit) => Ok(permit),
            Err(QuotaExceeded::OwnLimit) => Err(QuotaExceeded::OwnLimit),
            Err(denied) => {
                self.evict_idle(None).ok_or(denied)?;
                self.reserve_units(service_id, Resource::Connections, 1)
            }
        }
    }

    /// Closes the connection that has been idle longest, of those to one address or of all; `None` if none is idle.
    fn evict_idle(&self, address: Option<SocketAddr>) -> Option<()> {
        let pools = self.pools();
        let (_, pool) = pools
            .iter()
            .filter_map(|pool| Some((pool.oldest_idle_since(address)?, pool)))
            .min_by_key(|(idle_since, _)| *idle_since)?;
        pool.close_oldest_idle(address).then_some(())
    }

    /// Counts an attempt that waits for a connection, until the guard is dropped.
    pub fn count_waiting_attempt(&self) -> WaitingAttempt<'_> {
        let waiting = &self.connections.waiting_attempts;
        waiting.set(waiting.get() + 1);
        WaitingAttempt(waiting)
    }

    /// Wakes the attempts that wait for a connection, since one was closed or has become idle.
    pub fn notify_connection_freed(&self) {
        if self.connections.waiting_attempts.get() == 0 {
            return;
        }
        // A pool that is removed from the map while it is borrowed drops its connections, which notifies again.
        if let Ok(pools) = self.pools.try_borrow() {
            pools
                .values()
                .filter_map(Weak::upgrade)
                .for_each(|pool| pool.connection_freed());
        }
    }
}
