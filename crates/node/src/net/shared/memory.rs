//! Memory for buffered request bodies and responses.

use super::{Permit, Shared};
use reelfall_routing::limits::{Resource, ServiceId};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout_at;

/// Memory reserved for a body, released when this is dropped.
pub enum MemoryPermit {
    /// Memory of the process, if it has one service only.
    Process(#[allow(dead_code)] OwnedSemaphorePermit),
    /// Memory of a service.
    Service(#[allow(dead_code)] Permit),
}

/// The memory of a process with one service, in KiB. Services that share a process have theirs in the service limits.
pub(super) struct BufferMemory {
    request_bodies: Arc<Semaphore>,
    responses: Arc<Semaphore>,
    /// Notified when a service has freed memory.
    freed: Notify,
}

impl BufferMemory {
    pub(super) fn new(kib: usize) -> Self {
        BufferMemory {
            request_bodies: Arc::new(Semaphore::new(kib)),
            responses: Arc::new(Semaphore::new(kib)),
            freed: Notify::new(),
        }
    }

    /// Lowers both amounts.
    pub(super) fn shrink(&self, kib: usize) {
        self.request_bodies.forget_permits(kib);
        self.responses.forget_permits(kib);
    }

    /// Raises both amounts.
    pub(super) fn grow(&self, kib: usize) {
        self.request_bodies.add_permits(kib);
        self.responses.add_permits(kib);
    }

    /// Wakes the responses that wait for memory of a service.
    pub(super) fn notify_freed(&self) {
        self.freed.notify_waiters();
    }
}

impl Shared {
    /// Reserves memory for the body of a request, if there is enough now.
    pub fn reserve_body(
        self: &Rc<Self>,
        service_id: Option<ServiceId>,
        kib: u32,
    ) -> Option<MemoryPermit> {
        self.try_reserve(&self.buffer_memory.request_bodies, service_id, kib)
    }

    /// Reserves memory for a response, if there is enough now.
    pub fn reserve_answer(
        self: &Rc<Self>,
        service_id: Option<ServiceId>,
        kib: u32,
    ) -> Option<MemoryPermit> {
        self.try_reserve(&self.buffer_memory.responses, service_id, kib)
    }

    fn try_reserve(
        self: &Rc<Self>,
        process_memory: &Arc<Semaphore>,
        service_id: Option<ServiceId>,
        kib: u32,
    ) -> Option<MemoryPermit> {
        match service_id {
            Some(service_id) => self
                .reserve_units(service_id, Resource::Memory, kib.into())
                .ok()
                .map(MemoryPermit::Service),
            None => process_memory
                .clone()
                .try_acquire_many_owned(kib)
                .ok()
                .map(MemoryPermit::Process),
        }
    }

    /// Reserves memory for a response and waits for it until the deadline.
    pub async fn reserve_answer_by(
        self: &Rc<Self>,
        service_id: Option<ServiceId>,
        kib: u32,
        deadline: Instant,
    ) -> Option<MemoryPermit> {
        if service_id.is_none() {
            let acquire = self.buffer_memory.responses.clone().acquire_many_owned(kib);
            return timeout_at(deadline.into(), acquire)
                .await
                .ok()
                .and_then(Result::ok)
                .map(MemoryPermit::Process);
        }
        loop {
            let freed = self.buffer_memory.freed.notified();
            if let Some(permit) = self.reserve_answer(service_id, kib) {
                return Some(permit);
            }
            timeout_at(deadline.into(), freed).await.ok()?;
        }
    }
}
