//! Admission control: the resources of a process, and what each of its services may use of them.

use crate::budget::{Budget, ConsumerId, Quota, QuotaError, QuotaExceeded};
use crate::rate::{RateLimit, TokenBucket};
use crate::Time;
use thiserror::Error;

/// The limits of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Requests that have no final response yet, or an attempt in flight.
    pub open: Quota,
    /// Connections to servers.
    pub connections: Quota,
    /// KiB of bodies, of requests and of large responses.
    pub memory: Quota,
    /// The request rate; `None` for no limit.
    pub rate: Option<RateLimit>,
}

impl ServiceLimits {
    /// No limits but those of the process.
    pub const UNLIMITED: ServiceLimits = ServiceLimits {
        open: Quota::UNLIMITED,
        connections: Quota::UNLIMITED,
        memory: Quota::UNLIMITED,
        rate: None,
    };
}

/// The resources of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessResources {
    /// Requests that have no final response yet, or an attempt in flight.
    pub open: u64,
    /// Connections to servers.
    pub connections: u64,
    /// KiB of bodies, of requests and of large responses.
    pub memory: u64,
}

/// A limited resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Requests that have no final response yet, or an attempt in flight.
    Open,
    /// Connections to servers.
    Connections,
    /// KiB of bodies, of requests and of large responses.
    Memory,
}

impl std::fmt::Display for Resource {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Resource::Open => "open requests",
            Resource::Connections => "connections",
            Resource::Memory => "memory",
        })
    }
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum LimitExceeded {
    /// The service is over its request rate; the next request is admitted after this time, in seconds.
    #[error("over its rate")]
    RateExceeded(Time),
    /// The service can't have more of a resource.
    #[error("{0}: {1}")]
    NotAvailable(Resource, QuotaExceeded),
}

/// The quotas of a resource are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{kind}: {source}")]
pub struct LimitsError {
    /// The resource.
    pub kind: Resource,
    /// What is wrong.
    pub source: QuotaError,
}

/// The handle of a service in [`Limits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceId {
    open: ConsumerId,
    connections: ConsumerId,
    memory: ConsumerId,
    /// The index of its rate limiter.
    rate: usize,
}

impl ServiceId {
    /// The consumer of a resource's budget that stands for this service.
    fn consumer(self, kind: Resource) -> ConsumerId {
        match kind {
            Resource::Open => self.open,
            Resource::Connections => self.connections,
            Resource::Memory => self.memory,
        }
    }
}

/// The resources of a process and the services that use them.
#[derive(Debug)]
pub struct Limits {
    open: Budget,
    connections: Budget,
    memory: Budget,
    rate_limiters: Vec<Option<TokenBucket>>,
    /// Free indices of `rate_limiters`.
    free: Vec<usize>,
}

impl Limits {
    /// Limits without services.
    pub fn new(totals: ProcessResources) -> Self {
        Limits {
            open: Budget::new(totals.open),
            connections: Budget::new(totals.connections),
            memory: Budget::new(totals.memory),
            rate_limiters: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Validates the limits of all services against the resources of the process.
    ///
    /// # Errors
    /// The first resource whose quotas are invalid.
    pub fn check(totals: ProcessResources, allowed: &[ServiceLimits]) -> Result<(), LimitsError> {
        let check = |kind, total, quota: fn(&ServiceLimits) -> Quota| {
            Budget::check(total, allowed.iter().map(quota))
                .map_err(|source| LimitsError { kind, source })
        };
        check(Resource::Open, totals.open, |limits| limits.open)?;
        check(Resource::Connections, totals.connections, |limits| {
            limits.connections
        })?;
        check(Resource::Memory, totals.memory, |limits| limits.memory)
    }

    /// Changes the resources of the process; what is in use stays in use.
    pub fn set_totals(&mut self, totals: ProcessResources) {
        self.open.set_total(totals.open);
        self.connections.set_total(totals.connections);
        self.memory.set_total(totals.memory);
    }

    /// Adds a service.
    pub fn add(&mut self, now: Time, allowed: &ServiceLimits) -> ServiceId {
        let rate_limiter = allowed.rate.map(|limit| TokenBucket::new(now, limit));
        let index = self.free.pop().unwrap_or(self.rate_limiters.len());
        match self.rate_limiters.get_mut(index) {
            Some(slot) => *slot = rate_limiter,
            None => self.rate_limiters.push(rate_limiter),
        }
        ServiceId {
            open: self.open.add(allowed.open),
            connections: self.connections.add(allowed.connections),
            memory: self.memory.add(allowed.memory),
            rate: index,
        }
    }

    /// Changes the limits of a service; what is in use stays in use.
    pub fn set(&mut self, now: Time, member: ServiceId, allowed: &ServiceLimits) {
        self.open.set(member.open, allowed.open);
        self.connections
            .set(member.connections, allowed.connections);
        self.memory.set(member.memory, allowed.memory);
        if let Some(slot) = self.rate_limiters.get_mut(member.rate) {
            match (slot.as_mut(), allowed.rate) {
                (Some(rate_limiter), Some(limit)) => rate_limiter.set(now, limit),
                (_, limit) => *slot = limit.map(|limit| TokenBucket::new(now, limit)),
            }
        }
    }

    /// Removes a service, once. What it uses counts until it is given back; nothing may be acquired for it afterwards.
    pub fn remove(&mut self, member: ServiceId) {
        self.open.remove(member.open);
        self.connections.remove(member.connections);
        self.memory.remove(member.memory);
        if let Some(slot) = self.rate_limiters.get_mut(member.rate) {
            *slot = None;
            self.free.push(member.rate);
        }
    }

    /// Admits one request. The caller owes [`Limits::release`] of one [`Resource::Open`] at its end.
    ///
    /// # Errors
    /// The limit that the service would exceed; nothing is acquired then.
    pub fn admit(&mut self, now: Time, member: ServiceId) -> Result<(), LimitExceeded> {
        self.open
            .acquire(now, member.open, 1)
            .map_err(|denied| LimitExceeded::NotAvailable(Resource::Open, denied))?;
        let slot = self.rate_limiters.get_mut(member.rate);
        let Some(rate_limiter) = slot.and_then(Option::as_mut) else {
            return Ok(());
        };
        rate_limiter.take(now).map_err(|exceeded| {
            self.open.release(member.open, 1);
            LimitExceeded::RateExceeded(exceeded.retry_after)
        })
    }

    /// Acquires units of a resource for a service, all or none.
    ///
    /// # Errors
    /// Why they are not available now.
    pub fn acquire(
        &mut self,
        now: Time,
        member: ServiceId,
        kind: Resource,
        units: u64,
    ) -> Result<(), QuotaExceeded> {
        self.budget_mut(kind)
            .acquire(now, member.consumer(kind), units)
    }

    /// Releases units of a resource.
    pub fn release(&mut self, member: ServiceId, kind: Resource, units: u64) {
        self.budget_mut(kind).release(member.consumer(kind), units);
    }

    /// The units of a resource that a service uses.
    pub fn used(&self, member: ServiceId, kind: Resource) -> u64 {
        self.budget(kind).used(member.consumer(kind))
    }

    fn budget(&self, kind: Resource) -> &Budget {
        match kind {
            Resource::Open => &self.open,
            Resource::Connections => &self.connections,
            Resource::Memory => &self.memory,
        }
    }

    fn budget_mut(&mut self, kind: Resource) -> &mut Budget {
        match kind {
            Resource::Open => &mut self.open,
            Resource::Connections => &mut self.connections,
            Resource::Memory => &mut self.memory,
        }
    }
}
