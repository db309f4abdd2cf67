//! The limits of each service, if several services share the process.

use super::Shared;
use reelfall_routing::budget::QuotaExceeded;
use reelfall_routing::limits::{LimitExceeded, Resource, ServiceId, ServiceLimits};
use std::rc::Rc;

/// Units of a limit that a service uses; they are returned when this is dropped.
pub struct Permit {
    shared: Rc<Shared>,
    member: ServiceId,
    kind: Resource,
    units: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limits) = &self.shared.service_limits {
            limits
                .borrow_mut()
                .release(self.member, self.kind, self.units);
        }
        match self.kind {
            Resource::Memory => self.shared.buffer_memory.notify_freed(),
            Resource::Connections => self.shared.notify_connection_freed(),
            Resource::OpenRequests => {}
        }
    }
}

impl Shared {
    /// Adds a service to the limits; `None` if the process has one service only.
    pub fn add_member(&self, allowed: &ServiceLimits) -> Option<ServiceId> {
        self.service_limits
            .as_ref()
            .map(|limits| limits.borrow_mut().add_service(self.clock.now(), allowed))
    }

    /// Changes the limits of a service.
    pub fn set_allowed(&self, member: ServiceId, allowed: &ServiceLimits) {
        if let Some(limits) = &self.service_limits {
            limits
                .borrow_mut()
                .set_service_limits(self.clock.now(), member, allowed);
        }
    }

    /// Removes a service from the limits.
    pub fn remove_member(&self, member: ServiceId) {
        if let Some(limits) = &self.service_limits {
            limits.borrow_mut().remove_service(member);
        }
    }

    /// Admits one request of a service.
    ///
    /// # Errors
    /// Names the limit that the service has reached.
    pub fn admit(self: &Rc<Self>, member: ServiceId) -> Result<Option<Permit>, LimitExceeded> {
        let Some(limits) = &self.service_limits else {
            return Ok(None);
        };
        limits.borrow_mut().admit(self.clock.now(), member)?;
        Ok(Some(Permit {
            shared: self.clone(),
            member,
            kind: Resource::OpenRequests,
            units: 1,
        }))
    }

    /// Reserves units of a limit for a service.
    pub(super) fn reserve_units(
        self: &Rc<Self>,
        member: ServiceId,
        kind: Resource,
        units: u64,
    ) -> Result<Permit, QuotaExceeded> {
        let limits = self
            .service_limits
            .as_ref()
            .ok_or(QuotaExceeded::OwnLimit)?;
        limits
            .borrow_mut()
            .acquire(self.clock.now(), member, kind, units)?;
        Ok(Permit {
            shared: self.clone(),
            member,
            kind,
            units,
        })
    }
}
