//! Selects the service of each request, on behalf of the frontend.

use super::prepared::PreparedPlan;
use super::Service;
use reelfall_balancer::interface::ClassId;
use reelfall_routing::table::RouteQuery;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The service and class of a request.
pub struct RouteMatch {
    /// The service.
    pub service: Rc<Service>,
    /// The class, if the route assigns one.
    pub class: Option<ClassId>,
}

/// How the service of a request is selected.
pub enum Routing {
    /// All requests go to one service.
    Single(Rc<Service>),
    /// The routes of a plan select the service.
    Table(Rc<Table>),
}

impl Routing {
    /// The maximum deadline of a request, over the classes of all services.
    pub fn longest_deadline(&self) -> Duration {
        let services = match self {
            Routing::Single(service) => std::slice::from_ref(service),
            Routing::Table(table) => table.services(),
        };
        let max_deadline = services
            .iter()
            .flat_map(|service| &service.pool.classes)
            .map(|class| class.deadline)
            .fold(0.0, f64::max);
        Duration::try_from_secs_f64(max_deadline).unwrap_or_default()
    }
}

/// Receives a plan that is no longer current, so that it can be freed on another thread.
pub type Retire = Rc<dyn Fn(Arc<PreparedPlan>)>;

/// The routes of a plan, and its services in the plan's order.
pub struct Table {
    /// `None` before the first plan.
    prepared: Option<Arc<PreparedPlan>>,
    services: Vec<Rc<Service>>,
    retire: Retire,
}

impl Table {
    /// A table without routes.
    pub(super) fn empty(retire: Retire) -> Self {
        Table {
            prepared: None,
            services: Vec::new(),
            retire,
        }
    }

    /// The table of a plan whose services are these.
    pub(super) fn new(
        prepared: Arc<PreparedPlan>,
        services: Vec<Rc<Service>>,
        retire: Retire,
    ) -> Self {
        Table {
            prepared: Some(prepared),
            services,
            retire,
        }
    }

    /// The plan, if there is one.
    pub(super) fn prepared(&self) -> Option<&Arc<PreparedPlan>> {
        self.prepared.as_ref()
    }

    /// Finds the service and class of a request; `None` if no route matches.
    pub fn find(&self, query: &RouteQuery) -> Option<RouteMatch> {
        let plan = &self.prepared.as_ref()?.plan;
        let goal = plan.route_targets.get(plan.route_table.find(query)?)?;
        Some(RouteMatch {
            service: self.services.get(goal.service)?.clone(),
            class: goal.assigned_class,
        })
    }

    /// The services, in the plan's order.
    pub fn services(&self) -> &[Rc<Service>] {
        &self.services
    }
}

impl Drop for Table {
    fn drop(&mut self) {
        if let Some(prepared) = self.prepared.take() {
            (self.retire)(prepared);
        }
    }
}
