//! Permits for what all pools of a process share: ids of open requests, memory, connections to servers.

use super::Shared;
use reelfall_routing::budget::Denied;
use reelfall_routing::limits::{Allowed, Denial, Kind, Member};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout_at;

/// An id of a request that is open here; it is free again when this is dropped.
pub struct OpenId {
    shared: Rc<Shared>,
    id: Box<[u8]>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.shared.open_request_ids.borrow_mut().remove(&self.id);
    }
}

/// Units that a service holds; they go back when this is dropped.
pub struct Permit {
    shared: Rc<Shared>,
    member: Member,
    kind: Kind,
    units: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limits) = &self.shared.service_limits {
            limits.borrow_mut().give(self.member, self.kind, self.units);
        }
        match self.kind {
            Kind::Memory => self.shared.memory_freed.notify_waiters(),
            Kind::Connections => self.shared.notify_connection_freed(),
            Kind::Open => {}
        }
    }
}

/// Memory for a body, as long as it is held.
pub enum MemoryPermit {
    /// Of the process, where there is one service alone.
    Process(#[allow(dead_code)] OwnedSemaphorePermit),
    /// Of a service.
    Service(#[allow(dead_code)] Permit),
}

/// One of the connections to servers that may be open.
pub struct ConnectionPermit {
    shared: Rc<Shared>,
    /// The server, where connections are counted by server.
    counted_server: Option<SocketAddr>,
    _permit: Option<Permit>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared
            .open_connections
            .set(shared.open_connections.get().saturating_sub(1));
        if let Some(address) = &self.counted_server {
            let mut by_server = shared.connections_by_server.borrow_mut();
            if let Some(n) = by_server.get_mut(address) {
                *n = n.saturating_sub(1);
                if *n == 0 {
                    by_server.remove(address);
                }
            }
        }
        shared.notify_connection_freed();
    }
}

/// An attempt that waits for a connection.
pub struct WaitingAttempt<'a>(&'a Cell<usize>);

impl Drop for WaitingAttempt<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Shared {
    /// Takes an id for a request, unless an open one has it.
    ///
    /// Guards against a client that uses the id of another's request, so that servers, which know a request by
    /// it, would see a second copy; it ought to catch a proxy before this node that sends twice as well. Bounded
    /// by the requests that are open. Harm: a client that reuses an id too soon is told so and has to take a new.
    pub fn claim_request_id(self: &Rc<Self>, id: &[u8]) -> Option<OpenId> {
        let id: Box<[u8]> = id.into();
        self.open_request_ids
            .borrow_mut()
            .insert(id.clone())
            .then(|| OpenId {
                shared: self.clone(),
                id,
            })
    }

    /// A new service's place in the books; `None` where there is one service alone.
    pub fn add_member(&self, allowed: &Allowed) -> Option<Member> {
        self.service_limits
            .as_ref()
            .map(|l| l.borrow_mut().add(self.clock.now(), allowed))
    }

    /// Changes what a service is allowed.
    pub fn set_allowed(&self, member: Member, allowed: &Allowed) {
        if let Some(limits) = &self.service_limits {
            limits.borrow_mut().set(self.clock.now(), member, allowed);
        }
    }

    /// A service leaves the books.
    pub fn remove_member(&self, member: Member) {
        if let Some(limits) = &self.service_limits {
            limits.borrow_mut().remove(member);
        }
    }

    /// Admits one request of a service.
    ///
    /// # Errors
    /// Says which limit it is over.
    pub fn admit(self: &Rc<Self>, member: Member) -> Result<Option<Permit>, Denial> {
        let Some(limits) = &self.service_limits else {
            return Ok(None);
        };
        limits.borrow_mut().admit(self.clock.now(), member)?;
        Ok(Some(Permit {
            shared: self.clone(),
            member,
            kind: Kind::Open,
            units: 1,
        }))
    }

    fn reserve_units(
        self: &Rc<Self>,
        member: Member,
        kind: Kind,
        n: u64,
    ) -> Result<Permit, Denied> {
        let limits = self.service_limits.as_ref().ok_or(Denied::Most)?;
        limits
            .borrow_mut()
            .take(self.clock.now(), member, kind, n)?;
        Ok(Permit {
            shared: self.clone(),
            member,
            kind,
            units: n,
        })
    }

    /// Memory for the body of a request, if it is to be had now.
    pub fn reserve_body(self: &Rc<Self>, member: Option<Member>, kib: u32) -> Option<MemoryPermit> {
        match member {
            Some(member) => self
                .reserve_units(member, Kind::Memory, kib.into())
                .ok()
                .map(MemoryPermit::Service),
            None => self
                .body_memory
                .clone()
                .try_acquire_many_owned(kib)
                .ok()
                .map(MemoryPermit::Process),
        }
    }

    /// Memory for an answer, if it is to be had now.
    pub fn reserve_answer(
        self: &Rc<Self>,
        member: Option<Member>,
        kib: u32,
    ) -> Option<MemoryPermit> {
        match member {
            Some(member) => self
                .reserve_units(member, Kind::Memory, kib.into())
                .ok()
                .map(MemoryPermit::Service),
            None => self
                .response_memory
                .clone()
                .try_acquire_many_owned(kib)
                .ok()
                .map(MemoryPermit::Process),
        }
    }

    /// Memory for an answer, waited for.
    pub async fn reserve_answer_by(
        self: &Rc<Self>,
        member: Option<Member>,
        kib: u32,
        until: Instant,
    ) -> Option<MemoryPermit> {
        if member.is_none() {
            let share = self.response_memory.clone().acquire_many_owned(kib);
            return timeout_at(until.into(), share)
                .await
                .ok()
                .and_then(Result::ok)
                .map(MemoryPermit::Process);
        }
        loop {
            let freed = self.memory_freed.notified();
            if let Some(held) = self.reserve_answer(member, kib) {
                return Some(held);
            }
            timeout_at(until.into(), freed).await.ok()?;
        }
    }

    /// Room for one more connection to a server. Where there is none, an idle connection has to go: one to that
    /// server if it has its most, else the oldest of all pools.
    ///
    /// # Errors
    /// `Most` if the service has all that it may: then no other's connection goes for it. `Total` if nothing can go.
    pub fn reserve_connection(
        self: &Rc<Self>,
        address: SocketAddr,
        member: Option<Member>,
    ) -> Result<ConnectionPermit, Denied> {
        if let Some(most) = self.max_connections_per_server.get() {
            if self
                .connections_by_server
                .borrow()
                .get(&address)
                .is_some_and(|n| *n >= most)
            {
                self.evict_idle(Some(address)).ok_or(Denied::Total)?;
            }
        }
        if self.open_connections.get() >= self.max_connections.get() {
            self.evict_idle(None).ok_or(Denied::Total)?;
        }
        let permit = match member {
            None => None,
            Some(member) => match self.reserve_units(member, Kind::Connections, 1) {
                Ok(permit) => Some(permit),
                Err(Denied::Most) => return Err(Denied::Most),
                Err(denied) => {
                    self.evict_idle(None).ok_or(denied)?;
                    Some(self.reserve_units(member, Kind::Connections, 1)?)
                }
            },
        };
        self.open_connections.set(self.open_connections.get() + 1);
        let counted = self.combines_lists().then_some(address);
        if counted.is_some() {
            *self
                .connections_by_server
                .borrow_mut()
                .entry(address)
                .or_default() += 1;
        }
        Ok(ConnectionPermit {
            shared: self.clone(),
            counted_server: counted,
            _permit: permit,
        })
    }

    /// Counts an attempt that waits for a connection, until the guard is dropped.
    pub fn count_waiting_attempt(&self) -> WaitingAttempt<'_> {
        self.waiting_attempts.set(self.waiting_attempts.get() + 1);
        WaitingAttempt(&self.waiting_attempts)
    }

    /// Closes the idle connection that has been idle longest.
    fn evict_idle(&self, to: Option<SocketAddr>) -> Option<()> {
        let pools = self.peers();
        let oldest = pools
            .iter()
            .filter_map(|p| Some((p.oldest_idle_since(to)?, p)));
        let (_, pool) = oldest.min_by_key(|(since, _)| *since)?;
        pool.close_oldest_idle(to).then_some(())
    }
}
