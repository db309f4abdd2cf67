//! Admission control: the resources of a process, and how much of them each of its services may use.

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
    /// No limits except the resources of the process.
    pub const UNLIMITED: ServiceLimits = ServiceLimits {
        open_requests: Quota::UNLIMITED,
        connections: Quota::UNLIMITED,
        memory_kib: Quota::UNLIMITED,
        rate: None,
    };
}

/// The resources of a process, which its services share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessResources {
    /// Requests that have no final response yet, or an attempt in flight.
    pub open_requests: u64,
    /// Connections to servers.
    pub connections: u64,
    /// KiB of bodies, of requests and of large responses.
    pub memory_kib: u64,
}

/// A resource that is limited for each service.
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

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum LimitExceeded {
    /// The service has exceeded its request rate; the next request is admitted after this time, in seconds.
    #[error("request rate exceeded")]
    RateExceeded(Time),
    /// The quota of the service grants no more units of a resource.
    #[error("{0}: {1}")]
    NotAvailable(Resource, QuotaExceeded),
}

/// The quotas of a resource are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{resource}: {source}")]
pub struct LimitsError {
    /// The resource whose quotas are invalid.
    pub resource: Resource,
    /// Why they are invalid.
    pub source: QuotaError,
}

/// The handle of a service, returned by [`AdmissionControl::add_service`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceId {
    open: ConsumerId,
    connections: ConsumerId,
    memory: ConsumerId,
    /// The index of the rate limiter.
    rate_limiter: usize,
}

impl ServiceId {
    /// The consumer that represents this service in the budget of a resource.
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
    /// Indices of `rate_limiters` that can be reused.
    free_rate_limiters: Vec<usize>,
}

impl AdmissionControl {
    /// Admission control without services.
    pub fn new(totals: ProcessResources) -> Self {
        AdmissionControl {
            open: Budget::new(totals.open_requests),
            connections: Budget::new(totals.connections),
            memory: Budget::new(totals.memory_kib),
            rate_limiters: Vec::new(),
            free_rate_limiters: Vec::new(),
        }
    }

    /// Validates the limits of all services against the resources of the process.
    ///
    /// # Errors
    /// The first resource whose quotas are invalid.
    pub fn check(totals: ProcessResources, limits: &[ServiceLimits]) -> Result<(), LimitsError> {
        let check = |resource, total, quota: fn(&ServiceLimits) -> Quota| {
            Budget::check(total, limits.iter().map(quota))
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

    /// Changes the resources of the process. Units in use stay in use, even if they exceed the new totals.
    pub fn set_totals(&mut self, totals: ProcessResources) {
        self.open.set_total(totals.open_requests);
        self.connections.set_total(totals.connections);
        self.memory.set_total(totals.memory_kib);
    }

    /// Adds a service, with a full burst of requests if its rate is limited.
    pub fn add_service(&mut self, now: Time, limits: &ServiceLimits) -> ServiceId {
        let rate_limiter = limits.rate.map(|limit| TokenBucket::new(now, limit));
        let index = self
            .free_rate_limiters
            .pop()
            .unwrap_or(self.rate_limiters.len());
        match self.rate_limiters.get_mut(index) {
            Some(slot) => *slot = rate_limiter,
            None => self.rate_limiters.push(rate_limiter),
        }
        ServiceId {
            open: self.open.add(limits.open_requests),
            connections: self.connections.add(limits.connections),
            memory: self.memory.add(limits.memory_kib),
            rate_limiter: index,
        }
    }

    /// Changes the limits of a service. Units in use stay in use, even if they exceed the new limits.
    pub fn set_service_limits(&mut self, now: Time, service: ServiceId, limits: &ServiceLimits) {
        self.open.set_quota(service.open, limits.open_requests);
        self.connections
            .set_quota(service.connections, limits.connections);
        self.memory.set_quota(service.memory, limits.memory_kib);
        if let Some(slot) = self.rate_limiters.get_mut(service.rate_limiter) {
            match (slot.as_mut(), limits.rate) {
                (Some(rate_limiter), Some(limit)) => rate_limiter.set_limit(now, limit),
                (_, limit) => *slot = limit.map(|limit| TokenBucket::new(now, limit)),
            }
        }
    }

    /// Removes a service; it must be removed only once. Units that it uses count as used until they are released, and
    /// nothing may be acquired for it afterwards.
    pub fn remove_service(&mut self, service: ServiceId) {
        self.open.remove(service.open);
        self.connections.remove(service.connections);
        self.memory.remove(service.memory);
        if let Some(slot) = self.rate_limiters.get_mut(service.rate_limiter) {
            *slot = None;
            self.free_rate_limiters.push(service.rate_limiter);
        }
    }

    /// Admits one request. When it ends, the caller must [release](Self::release) one [`Resource::OpenRequests`].
    ///
    /// # Errors
    /// The limit that the service would exceed; in this case nothing is acquired.
    pub fn admit(&mut self, now: Time, service: ServiceId) -> Result<(), LimitExceeded> {
        self.open
            .acquire(now, service.open, 1)
            .map_err(|denied| LimitExceeded::NotAvailable(Resource::OpenRequests, denied))?;
        let slot = self.rate_limiters.get_mut(service.rate_limiter);
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
    /// Why the units are not available now.
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

    /// Releases units of a resource that a service has acquired.
    pub fn release(&mut self, service: ServiceId, resource: Resource, units: u64) {
        self.budget_mut(resource)
            .release(service.consumer(resource), units);
    }

    /// The units of a resource that a service has in use.
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
