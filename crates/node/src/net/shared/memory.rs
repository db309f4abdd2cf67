//! Memory for buffered request bodies and responses, within the account of the process and the limits of its services.

use super::{Permit, Shared};
use crate::net::memory::{server_connection_bytes, MemoryAccount, Reservation};
use reelfall_routing::limits::{Resource, ServiceId};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout_at;

/// Memory reserved for a body, released when this is dropped.
pub struct MemoryPermit {
    /// Released before the reservation, whose release wakes those who wait for either.
    _limit: Option<LimitPermit>,
    _reservation: Reservation,
}

/// How a body is laid out in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BufferLayout {
    /// In chunks of moderate size, which leave no gaps in the heap that other chunks do not fit in.
    Chunked,
    /// In one piece, since it is parsed. The heap may have as much again in gaps between such pieces.
    Contiguous,
}

impl BufferLayout {
    /// The memory that a body of this many KiB may take up, in bytes.
    fn bytes_for(self, kib: u32) -> usize {
        let bytes = kib as usize * 1024;
        match self {
            BufferLayout::Chunked => bytes,
            BufferLayout::Contiguous => 2 * bytes,
        }
    }
}

/// Whether a buffered answer counts towards the limits of its service.
#[derive(Clone, Copy)]
pub enum AnswerQuota {
    /// Only the account of the process counts it, since it is small.
    Exempt,
    /// It counts towards those of this service, or of the only one.
    Of(Option<ServiceId>),
}

/// A part of an answer that is to be buffered.
#[derive(Clone, Copy)]
pub struct AnswerBuffer {
    pub kib: u32,
    pub layout: BufferLayout,
    pub quota: AnswerQuota,
}

/// The share of a limit that a body uses.
enum LimitPermit {
    /// Of the process, if it has one service only.
    Process(#[allow(dead_code)] OwnedSemaphorePermit),
    /// Of a service.
    Service(#[allow(dead_code)] Permit),
}

/// The limits of a process with one service, in KiB. Services that share a process have theirs in the service limits.
pub(super) struct BufferLimits {
    request_bodies: Arc<Semaphore>,
    responses: Arc<Semaphore>,
}

impl BufferLimits {
    pub(super) fn new(kib: usize) -> Self {
        BufferLimits {
            request_bodies: Arc::new(Semaphore::new(kib)),
            responses: Arc::new(Semaphore::new(kib)),
        }
    }

    /// Lowers both limits.
    pub(super) fn shrink(&self, kib: usize) {
        self.request_bodies.forget_permits(kib);
        self.responses.forget_permits(kib);
    }

    /// Raises both limits.
    pub(super) fn grow(&self, kib: usize) {
        self.request_bodies.add_permits(kib);
        self.responses.add_permits(kib);
    }
}

impl Shared {
    /// Reserves memory for the body of a request, if there is enough now.
    pub fn reserve_body(
        self: &Rc<Self>,
        service_id: Option<ServiceId>,
        kib: u32,
        layout: BufferLayout,
    ) -> Option<MemoryPermit> {
        // An answer in one piece waits for memory while the body of its request is held: bodies must not take all of it.
        if layout == BufferLayout::Contiguous && !self.memory.leaves_half(layout.bytes_for(kib)) {
            return None;
        }
        let limit = &self.buffer_limits.request_bodies;
        self.try_reserve(limit, service_id, kib, layout)
    }

    /// Reserves memory for a response, if there is enough now.
    pub fn reserve_answer(self: &Rc<Self>, buffer: AnswerBuffer) -> Option<MemoryPermit> {
        let AnswerBuffer { kib, layout, quota } = buffer;
        match quota {
            AnswerQuota::Exempt => Some(MemoryPermit {
                _limit: None,
                _reservation: self.reserve_buffer(layout.bytes_for(kib))?,
            }),
            AnswerQuota::Of(service_id) => {
                let limit = &self.buffer_limits.responses;
                self.try_reserve(limit, service_id, kib, layout)
            }
        }
    }

    fn try_reserve(
        self: &Rc<Self>,
        process_limit: &Arc<Semaphore>,
        service_id: Option<ServiceId>,
        kib: u32,
        layout: BufferLayout,
    ) -> Option<MemoryPermit> {
        let limit = match service_id {
            Some(service_id) => self
                .reserve_units(service_id, Resource::Memory, kib.into())
                .ok()
                .map(LimitPermit::Service)?,
            None => process_limit
                .clone()
                .try_acquire_many_owned(kib)
                .ok()
                .map(LimitPermit::Process)?,
        };
        Some(MemoryPermit {
            _limit: Some(limit),
            _reservation: self.reserve_buffer(layout.bytes_for(kib))?,
        })
    }

    /// Reserves memory for a response and waits for it until the deadline.
    pub async fn reserve_answer_by(
        self: &Rc<Self>,
        buffer: AnswerBuffer,
        deadline: Instant,
    ) -> Option<MemoryPermit> {
        loop {
            let released = self.memory.released();
            if let Some(permit) = self.reserve_answer(buffer) {
                return Some(permit);
            }
            timeout_at(deadline.into(), released).await.ok()?;
        }
    }

    /// Reserves memory for something buffered that no limit of a service covers, if there is enough now.
    pub fn reserve_buffer(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let reserved = self.memory.try_reserve(bytes);
        if reserved.is_none() {
            self.log.write_line(format_args!(
                "no memory for another {} KiB: {}",
                bytes >> 10,
                self.memory
            ));
        }
        reserved
    }

    /// Counts something that is buffered already, whether or not there is memory for it.
    pub fn charge_buffer(&self, bytes: usize) -> MemoryPermit {
        MemoryPermit {
            _limit: None,
            _reservation: self.memory.charge(bytes),
        }
    }

    /// The memory that is held for clients and servers.
    pub fn memory(&self) -> &Rc<MemoryAccount> {
        &self.memory
    }

    /// Reserves the memory of a connection to a server.
    pub(super) fn reserve_server_memory(&self) -> Reservation {
        let bytes = server_connection_bytes(self.read_bytes());
        self.memory.reserve_connection(bytes)
    }

    /// How much is read from a server at once, in bytes.
    pub fn read_bytes(&self) -> usize {
        self.memory_plan.get().read_bytes
    }
}
