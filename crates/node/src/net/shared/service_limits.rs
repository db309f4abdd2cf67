//! The limits of each service, if several services share the process.

use super::Shared;
use reelfall_routing::budget::QuotaExceeded;
use reelfall_routing::limits::{LimitExceeded, Resource, ServiceId, ServiceLimits};
use std::rc::Rc;

/// Units of a limit that a service uses, released when this is dropped.
pub struct Permit {
    shared: Rc<Shared>,
    service_id: ServiceId,
    kind: Resource,
    units: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limits) = &self.shared.service_limits {
            limits
                .borrow_mut()
                .release(self.service_id, self.kind, self.units);
        }
        match self.kind {
            Resource::Connections => self.shared.notify_connection_freed(),
            // The release of the memory itself wakes those who wait for it.
            Resource::Memory | Resource::OpenRequests => {}
        }
    }
}

impl Shared {
    /// Adds a service to the limits; `None` if the process has one service only.
    pub fn add_service(&self, allowed: &ServiceLimits) -> Option<ServiceId> {
        self.service_limits
            .as_ref()
            .map(|limits| limits.borrow_mut().add_service(self.clock.now(), allowed))
    }

    /// Changes the limits of a service.
    pub fn set_service_limits(&self, service_id: ServiceId, allowed: &ServiceLimits) {
        if let Some(limits) = &self.service_limits {
            limits
                .borrow_mut()
                .set_service_limits(self.clock.now(), service_id, allowed);
        }
    }

    /// Removes a service from the limits.
    pub fn remove_service(&self, service_id: ServiceId) {
        if let Some(limits) = &self.service_limits {
            limits.borrow_mut().remove_service(service_id);
        }
    }

    /// Admits one request of a service.
    ///
    /// # Errors
    /// If the service has reached a limit; the error names it.
    pub fn admit(self: &Rc<Self>, service_id: ServiceId) -> Result<Option<Permit>, LimitExceeded> {
        let Some(limits) = &self.service_limits else {
            return Ok(None);
        };
        limits.borrow_mut().admit(self.clock.now(), service_id)?;
        Ok(Some(Permit {
            shared: self.clone(),
            service_id,
            kind: Resource::OpenRequests,
            units: 1,
        }))
    }

    /// Reserves units of a limit for a service.
    pub(super) fn reserve_units(
        self: &Rc<Self>,
        service_id: ServiceId,
        kind: Resource,
        units: u64,
    ) -> Result<Permit, QuotaExceeded> {
        let limits = self
            .service_limits
            .as_ref()
            .ok_or(QuotaExceeded::OwnLimit)?;
        limits
            .borrow_mut()
            .acquire(self.clock.now(), service_id, kind, units)?;
        Ok(Permit {
            shared: self.clone(),
            service_id,
            kind,
            units,
        })
    }
}
