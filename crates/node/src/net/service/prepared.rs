//! A plan with the data that is expensive to derive from it, which can be prepared on any thread.
//!
//! Parts that equal those of the previous plan are shared with it, so that the serving thread compares pointers and
//! updates only the services that have changed.

use crate::net::registry::{RegistryAccess, RegistryAccessError};
use reelfall_balancer::interface::{ServerState, Time};
use reelfall_config::{model, Plan};
use reelfall_routing::limits::ServiceLimits;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// When the servers of static lists started to accept requests, by their addresses.
type StartTimes = HashMap<SocketAddr, Time>;

/// A checked plan, ready to be applied.
pub struct PreparedPlan {
    /// The plan.
    pub plan: Plan,
    /// The parts of its services, in the same order.
    pub services: Vec<ServiceParts>,
    /// The access to each registry, by its name.
    registry_access: HashMap<String, Result<RegistryAccess, RegistryAccessError>>,
    pub(super) start_times: StartTimes,
}

/// The settings of a service, divided into parts that change independently of each other.
pub struct ServiceParts {
    /// The settings that its pool is created from.
    pub pool_key: Arc<PoolKey>,
    /// The settings that can change without a new pool.
    pub runtime_settings: Arc<RuntimeSettings>,
    /// Its servers, if the settings list them.
    pub list: Option<Arc<Vec<ListedServer>>>,
}

/// One service of a prepared plan.
pub(super) struct PlannedService<'a> {
    pub(super) prepared: &'a PreparedPlan,
    pub(super) model: &'a model::Service,
    pub(super) parts: &'a ServiceParts,
}

/// The settings that a pool is created from. While they are equal, a reload retains the pool and its learned state.
#[derive(PartialEq)]
pub struct PoolKey {
    source: SourceKey,
    attempt_limits: model::AttemptLimits,
    slow_start: model::SlowStart,
    classes: Vec<model::Located<model::Class>>,
    tenants: Vec<model::Located<model::Tenant>>,
    zone: Option<String>,
    node_count: u32,
}

#[derive(PartialEq)]
enum SourceKey {
    Static,
    Discovery(SocketAddr),
    Registry(Box<RegistryKey>),
}

#[derive(PartialEq)]
struct RegistryKey {
    /// The registry without this node's own entry, which does not concern the pool.
    registry: Option<model::Registry>,
    source: model::RegistrySource,
}

/// The settings that can change without a new pool, except for the list of servers and the routes.
#[derive(PartialEq)]
pub struct RuntimeSettings {
    state: model::ServiceState,
    max_retry_after: Time,
    resource_limits: ServiceLimits,
    graphql: Option<model::Located<model::GraphQl>>,
}

/// A server of a list in the settings.
#[derive(Clone, PartialEq)]
pub struct ListedServer {
    /// The server.
    pub server: model::Server,
    /// When it started to accept requests; 0 for long ago.
    pub serving_since: Time,
}

impl PreparedPlan {
    /// Prepares the first plan of a process.
    pub fn initial(plan: Plan) -> Arc<PreparedPlan> {
        Self::new(plan, None, 0.0)
    }

    /// Prepares a plan that replaces another.
    pub fn replacing(plan: Plan, previous: &PreparedPlan, now: Time) -> Arc<PreparedPlan> {
        Self::new(plan, Some(previous), now)
    }

    fn new(plan: Plan, previous: Option<&PreparedPlan>, now: Time) -> Arc<PreparedPlan> {
        let previous_start_times = previous.map(|previous| &previous.start_times);
        let start_times = start_times(&plan.model, previous_start_times, now);
        let previous_services = previous
            .map(PreparedPlan::services_by_name)
            .unwrap_or_default();
        let services = plan
            .model
            .services
            .iter()
            .map(|service| {
                let previous = previous_services.get(service.name.as_str()).copied();
                ServiceParts::new(&plan.model, service, &start_times, previous)
            })
            .collect();
        let registry_access = plan
            .model
            .registries
            .iter()
            .map(|registry| {
                let access = RegistryAccess::from_settings(registry);
                (registry.name.clone(), access)
            })
            .collect();
        Arc::new(PreparedPlan {
            plan,
            services,
            registry_access,
            start_times,
        })
    }

    /// The services, in the plan's order.
    pub(super) fn planned_services(&self) -> impl Iterator<Item = PlannedService<'_>> {
        self.plan
            .model
            .services
            .iter()
            .zip(&self.services)
            .map(|(service, parts)| PlannedService {
                prepared: self,
                model: service,
                parts,
            })
    }

    /// The parts of the services by the services' names.
    pub fn services_by_name(&self) -> HashMap<&str, &ServiceParts> {
        let names = self
            .plan
            .model
            .services
            .iter()
            .map(|service| service.name.as_str());
        names.zip(&self.services).collect()
    }

    /// The access to a registry.
    ///
    /// # Errors
    /// If there is no such registry, or its digest file can't be used.
    pub fn registry_access(&self, registry: &str) -> Result<&RegistryAccess, RegistryAccessError> {
        let access = self
            .registry_access
            .get(registry)
            .ok_or(RegistryAccessError::UnknownRegistry)?;
        access.as_ref().map_err(Clone::clone)
    }
}

impl ServiceParts {
    fn new(
        model: &model::Model,
        service: &model::Service,
        start_times: &StartTimes,
        previous: Option<&ServiceParts>,
    ) -> ServiceParts {
        let list = match &service.list_source {
            model::ListSource::Static(list) => Some(listed_servers(list, start_times)),
            model::ListSource::Discovery(_) | model::ListSource::Registry(_) => None,
        };
        let previous_list = previous.and_then(|previous| previous.list.as_ref());
        ServiceParts {
            pool_key: share_if_equal(
                previous.map(|previous| &previous.pool_key),
                PoolKey::new(model, service),
            ),
            runtime_settings: share_if_equal(
                previous.map(|previous| &previous.runtime_settings),
                RuntimeSettings::new(service),
            ),
            list: list.map(|list| share_if_equal(previous_list, list)),
        }
    }
}

impl PoolKey {
    fn new(model: &model::Model, service: &model::Service) -> Self {
        let process = &model.process;
        PoolKey {
            source: SourceKey::new(model, &service.list_source),
            attempt_limits: service.attempts,
            slow_start: service.slow_start,
            classes: service.classes.clone(),
            tenants: service.tenants.clone(),
            zone: process.zone.clone(),
            node_count: process.node_count,
        }
    }
}

impl SourceKey {
    fn new(model: &model::Model, source: &model::ListSource) -> Self {
        match source {
            model::ListSource::Static(_) => SourceKey::Static,
            model::ListSource::Discovery(address) => SourceKey::Discovery(*address),
            model::ListSource::Registry(source) => SourceKey::Registry(Box::new(RegistryKey {
                registry: registry_without_entry(model, &source.registry),
                source: source.clone(),
            })),
        }
    }
}

fn registry_without_entry(model: &model::Model, name: &str) -> Option<model::Registry> {
    let registry = model
        .registries
        .iter()
        .find(|registry| registry.name == name)?;
    Some(model::Registry {
        entry: None,
        ..registry.value.clone()
    })
}

impl RuntimeSettings {
    fn new(service: &model::Service) -> Self {
        RuntimeSettings {
            state: service.state,
            max_retry_after: service.attempts.max_retry_after,
            resource_limits: service.limits.value,
            graphql: service.graphql.clone(),
        }
    }
}

/// Whether two parts are equal. Shared parts are recognized by their pointers.
pub fn is_same<T: PartialEq>(left: &Arc<T>, right: &Arc<T>) -> bool {
    Arc::ptr_eq(left, right) || left == right
}

/// The previous part if the new one equals it, so that both plans share it.
fn share_if_equal<T: PartialEq>(previous: Option<&Arc<T>>, new: T) -> Arc<T> {
    match previous {
        Some(previous) if **previous == new => previous.clone(),
        _ => Arc::new(new),
    }
}

/// When the servers of static lists started, which the settings do not state. Those of the first plan count as started
/// long ago. One that is added later, or accepts requests again after a drain, counts as started at that time, since it
/// may need a slow start.
fn start_times(model: &model::Model, previous: Option<&StartTimes>, now: Time) -> StartTimes {
    model
        .services
        .iter()
        .filter_map(|service| match &service.list_source {
            model::ListSource::Static(list) => Some(list),
            model::ListSource::Discovery(_) | model::ListSource::Registry(_) => None,
        })
        .flatten()
        .filter(|server| server.state == ServerState::Up)
        .map(|server| {
            let known = previous.and_then(|previous| previous.get(&server.address));
            (server.address, known.copied().unwrap_or(now))
        })
        .collect()
}

fn listed_servers(
    list: &[model::Located<model::Server>],
    start_times: &StartTimes,
) -> Vec<ListedServer> {
    list.iter()
        .map(|server| ListedServer {
            server: server.value.clone(),
            serving_since: start_times.get(&server.address).copied().unwrap_or(0.0),
        })
        .collect()
}
