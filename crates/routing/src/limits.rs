//! Admission control: the resources of a process, and what each of its services may use of them.

use crate::budget::{Budget, ConsumerId, Quota, QuotaError, QuotaExceeded};
use crate::rate::{RateLimit, TokenBucket};
use crate::Time;
use thiserror::Error;

/// The limits of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLimits {
    /// Requests that have no final response yet, or an attempt in flight.
    pub open_requests: Quota,
    /// Connections to servers.
    pub connections: Quota,
    /// KiB of bodies, of requests and of large responses.
    pub memory_kib: Quota,
    /// The request rate; `None` for no limit.
    pub rate: Option<RateLimit>,
}

impl ServiceLimits {
    /// No limits but those of the process.
    pub const UNLIMITED: ServiceLimits = ServiceLimits {
        open_requests: Quota::UNLIMITED,
        connections: Quota::UNLIMITED,
        memory_kib: Quota::UNLIMITED,
        rate: None,
    };
}

/// The resources of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessResources {
    /// Requests that have no final response yet, or an attempt in flight.
    pub open_requests: u64,
    /// Connections to servers.
    pub connections: u64,
    /// KiB of bodies, of requests and of large responses.
    pub memory_kib: u64,
}

/// A limited resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// Requests that have no final response yet, or an attempt in flight.
    OpenRequests,
    /// Connections to servers.
    Connections,
    /// KiB of bodies, of requests and of large responses.
    Memory,
}

impl std::fmt::Display for Resource {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Resource::OpenRequests => "open requests",
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
#[error("{resource}: {source}")]
pub struct LimitsError {
    /// The resource.
    pub resource: Resource,
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
    fn consumer(self, resource: Resource) -> ConsumerId {
        match resource {
            Resource::OpenRequests => self.open,
            Resource::Connections => self.connections,
            Resource::Memory => self.memory,
        }
    }
}

/// The resources of a process and the services that use them.
#[derive(Debug)]
pub struct AdmissionControl {
    open: Budget,
    connections: Budget,
    memory: Budget,
    rate_limiters: Vec<Option<TokenBucket>>,
    /// Free indices of `rate_limiters`.
    free: Vec<usize>,
}

impl AdmissionControl {
    /// Admission control without services.
    pub fn new(totals: ProcessResources) -> Self {
        AdmissionControl {
            open: Budget::new(totals.open_requests),
            connections: Budget::new(totals.connections),
            memory: Budget::new(totals.memory_kib),
            rate_limiters: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Validates the limits of all services against the resources of the process.
    ///
    /// # Errors
    /// The first resource whose quotas are invalid.
    pub fn check(totals: ProcessResources, allowed: &[ServiceLimits]) -> Result<(), LimitsError> {
        let check = |resource, total, quota: fn(&ServiceLimits) -> Quota| {
            Budget::check(total, allowed.iter().map(quota))
                .map_err(|source| LimitsError { resource, source })
        };
        check(Resource::OpenRequests, totals.open_requests, |limits| {
            limits.open_requests
        })?;
        check(Resource::Connections, totals.connections, |limits| {
            limits.connections
        })?;
        check(Resource::Memory, totals.memory_kib, |limits| {
            limits.memory_kib
        })
    }

    /// Changes the resources of the process; what is in use stays in use.
    pub fn set_totals(&mut self, totals: ProcessResources) {
        self.open.set_total(totals.open_requests);
        self.connections.set_total(totals.connections);
        self.memory.set_total(totals.memory_kib);
    }

    /// Adds a service.
    pub fn add_service(&mut self, now: Time, allowed: &ServiceLimits) -> ServiceId {
        let rate_limiter = allowed.rate.map(|limit| TokenBucket::new(now, limit));
        let index = self.free.pop().unwrap_or(self.rate_limiters.len());
        match self.rate_limiters.get_mut(index) {
            Some(slot) => *slot = rate_limiter,
            None => self.rate_limiters.push(rate_limiter),
        }
        ServiceId {
            open: self.open.add(allowed.open_requests),
            connections: self.connections.add(allowed.connections),
            memory: self.memory.add(allowed.memory_kib),
            rate: index,
        }
    }

    /// Changes the limits of a service; what is in use stays in use.
    pub fn set_service_limits(&mut self, now: Time, service: ServiceId, allowed: &ServiceLimits) {
        self.open.set_quota(service.open, allowed.open_requests);
        self.connections
            .set_quota(service.connections, allowed.connections);
        self.memory.set_quota(service.memory, allowed.memory_kib);
        if let Some(slot) = self.rate_limiters.get_mut(service.rate) {
            match (slot.as_mut(), allowed.rate) {
                (Some(rate_limiter), Some(limit)) => rate_limiter.set_limit(now, limit),
                (_, limit) => *slot = limit.map(|limit| TokenBucket::new(now, limit)),
            }
        }
    }

    /// Removes a service, once. What it uses counts until it is given back; nothing may be acquired for it afterwards.
    pub fn remove_service(&mut self, service: ServiceId) {
        self.open.remove(service.open);
        self.connections.remove(service.connections);
        self.memory.remove(service.memory);
        if let Some(slot) = self.rate_limiters.get_mut(service.rate) {
            *slot = None;
            self.free.push(service.rate);
        }
    }

    /// Admits one request. The caller owes [`AdmissionControl::release`] of one [`Resource::OpenRequests`] at its end.
    ///
    /// # Errors
    /// The limit that the service would exceed; nothing is acquired then.
    pub fn admit(&mut self, now: Time, service: ServiceId) -> Result<(), LimitExceeded> {
        self.open
            .acquire(now, service.open, 1)
            .map_err(|denied| LimitExceeded::NotAvailable(Resource::OpenRequests, denied))?;
        let slot = self.rate_limiters.get_mut(service.rate);
        let Some(rate_limiter) = slot.and_then(Option::as_mut) else {
            return Ok(());
        };
        rate_limiter.take(now).map_err(|exceeded| {
            self.open.release(service.open, 1);
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
        service: ServiceId,
        resource: Resource,
        units: u64,
    ) -> Result<(), QuotaExceeded> {
        self.budget_mut(resource)
            .acquire(now, service.consumer(resource), units)
    }

    /// Releases units of a resource.
    pub fn release(&mut self, service: ServiceId, resource: Resource, units: u64) {
        self.budget_mut(resource)
            .release(service.consumer(resource), units);
    }

    /// The units of a resource that a service uses.
    pub fn used(&self, service: ServiceId, resource: Resource) -> u64 {
        self.budget(resource).used(service.consumer(resource))
    }

    fn budget(&self, resource: Resource) -> &Budget {
        match resource {
            Resource::OpenRequests => &self.open,
            Resource::Connections => &self.connections,
            Resource::Memory => &self.memory,
        }
    }

    fn budget_mut(&mut self, resource: Resource) -> &mut Budget {
        match resource {
            Resource::OpenRequests => &mut self.open,
            Resource::Connections => &mut self.connections,
            Resource::Memory => &mut self.memory,
        }
    }
}
