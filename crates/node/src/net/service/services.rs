//! All services of a node with a settings file, across reloads of that file.

use super::error::ApplyPlanError;
use super::prepared::PreparedPlan;
use super::routing::{Retire, Routing, Table};
use super::Service;
use crate::net::memory::MemoryPlan;
use crate::net::shared::Shared;
use crate::net::SPLITMIX64_INCREMENT;
use reelfall_routing::limits::{ServiceId, ServiceLimits};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

/// The services of the current plan, and those that finish the requests of earlier plans.
pub struct Services {
    pub(super) shared: Rc<Shared>,
    current: RefCell<Rc<Table>>,
    /// Replaced or removed services that still have requests. Their sources are followed until those have
    /// ended, so that retries still respect a server's drain.
    pub(super) draining_services: RefCell<Vec<Rc<Service>>>,
    last_seed: Cell<u64>,
    retire: Retire,
}

impl Services {
    /// Creates an empty set of services. `seed` seeds the random choices of their pools.
    pub fn new(shared: Rc<Shared>, seed: u64, retire: Retire) -> Self {
        let empty = Table::empty(retire.clone());
        Services {
            shared,
            current: RefCell::new(Rc::new(empty)),
            draining_services: RefCell::default(),
            last_seed: Cell::new(seed),
            retire,
        }
    }

    /// The current plan, if there is one.
    pub fn current_plan(&self) -> Option<Arc<PreparedPlan>> {
        self.current.borrow().prepared().cloned()
    }

    /// Applies a plan completely or not at all: every step that can fail is done before anything changes.
    ///
    /// # Errors
    /// If a service can't be started; the error names it, and the current plan stays in use.
    pub fn apply(&self, prepared: Arc<PreparedPlan>) -> Result<Routing, ApplyPlanError> {
        let services = self.start_services(&prepared)?;
        // Nothing can fail from here on.
        self.shared.set_totals(
            prepared.plan.resources,
            prepared.plan.model.process.max_connections_per_server,
            MemoryPlan::of_settings(&prepared.plan),
        );
        for (service, planned) in services.iter().zip(prepared.planned_services()) {
            service.update_settings(&self.shared, planned.model, &planned.parts.runtime_settings);
            service.update_list(planned.parts.list.as_ref());
        }
        let table = Rc::new(Table::new(prepared, services, self.retire.clone()));
        let previous = self.current.replace(table.clone());
        self.drain_replaced(&previous, &table);
        self.remove_drained();
        Ok(Routing::Table(table))
    }

    /// The services of a plan: current ones whose pools can be retained, and new ones.
    fn start_services(&self, prepared: &PreparedPlan) -> Result<Vec<Rc<Service>>, ApplyPlanError> {
        let current = self.current.borrow().clone();
        let current_by_name: HashMap<&str, &Rc<Service>> = current
            .services()
            .iter()
            .map(|service| (service.name.as_str(), service))
            .collect();
        let mut services = Vec::with_capacity(prepared.services.len());
        let mut added_ids = Vec::new();
        for planned in prepared.planned_services() {
            let name = &planned.model.name;
            let existing = current_by_name.get(name.as_str()).copied();
            if let Some(unchanged) =
                existing.filter(|service| service.is_made_from(&planned.parts.pool_key))
            {
                services.push(unchanged.clone());
                continue;
            }
            // A service and its replacement share one entry in the limits, so that they use one quota.
            let service_id = existing.and_then(|service| service.service_id).or_else(|| {
                let added = self.shared.add_service(&planned.model.limits);
                added_ids.extend(added);
                added
            });
            let started = Service::start(&self.shared, &planned, self.next_seed(), service_id);
            match started {
                Ok(service) => services.push(service),
                Err(source) => {
                    self.remove_from_limits(added_ids);
                    return Err(ApplyPlanError {
                        service: name.clone(),
                        source,
                    });
                }
            }
        }
        Ok(services)
    }

    fn next_seed(&self) -> u64 {
        let seed = self.last_seed.get().wrapping_add(SPLITMIX64_INCREMENT);
        self.last_seed.set(seed);
        seed
    }

    fn remove_from_limits(&self, service_ids: impl IntoIterator<Item = ServiceId>) {
        for service_id in service_ids {
            self.shared.remove_service(service_id);
        }
    }

    /// Lets the services that were replaced or removed finish their requests.
    fn drain_replaced(&self, previous: &Table, table: &Table) {
        let retained: HashSet<*const Service> = table.services().iter().map(Rc::as_ptr).collect();
        let parts_by_name = table
            .prepared()
            .map(|prepared| prepared.services_by_name())
            .unwrap_or_default();
        let replaced = previous
            .services()
            .iter()
            .filter(|service| !retained.contains(&Rc::as_ptr(service)));
        for service in replaced {
            match parts_by_name.get(service.name.as_str()) {
                Some(parts) => service.update_list(parts.list.as_ref()),
                None => self.release_reservations(service),
            }
            self.draining_services.borrow_mut().push(service.clone());
        }
    }

    /// Ends the reservations of a removed service, which keeps what it uses until it has finished its requests.
    fn release_reservations(&self, service: &Service) {
        if let Some(service_id) = service.service_id {
            self.shared
                .set_service_limits(service_id, &ServiceLimits::UNLIMITED);
        }
    }

    /// Whether every service can serve, except for those that drain according to the plan.
    pub fn are_ready(&self) -> bool {
        let current = self.current.borrow();
        !current.services().is_empty()
            && current
                .services()
                .iter()
                .all(|service| service.is_draining.get() || service.unavailable_reason().is_none())
    }

    /// Removes replaced or removed services that have finished their requests.
    pub fn remove_drained(&self) {
        for service in self.take_drained() {
            let has_same_id = |other: &Rc<Service>| other.service_id == service.service_id;
            let is_id_used = self.current.borrow().services().iter().any(has_same_id)
                || self.draining_services.borrow().iter().any(has_same_id);
            if !is_id_used {
                self.remove_from_limits(service.service_id);
            }
        }
    }

    fn take_drained(&self) -> Vec<Rc<Service>> {
        let mut draining_services = self.draining_services.borrow_mut();
        let (drained, remaining) = draining_services
            .drain(..)
            .partition(|service| service.pool.open_requests() == 0);
        *draining_services = remaining;
        drained
    }
}
