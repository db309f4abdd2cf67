//! A plan with all that is costly to derive from it, made on any thread.
//!
//! What is the same as in the plan before is shared with it: the thread that serves compares pointers, and touches
//! only the services that have changed.

use crate::net::registry::RegistryAccess;
use reelfall_balancer::interface::{ServerState, Time};
use reelfall_config::{model, Plan};
use reelfall_routing::limits::Allowed;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Since when the servers of static lists have been taking requests.
type StartTimes = HashMap<SocketAddr, Time>;

/// A checked plan, ready to be put in force.
pub struct PreparedPlan {
    /// The plan.
    pub plan: Plan,
    /// The parts of its services, in the same order.
    pub services: Vec<ServiceParts>,
    /// The ways to its registries, or why there is none, by their names.
    registry_access: HashMap<String, Result<RegistryAccess, String>>,
    pub(super) start_times: StartTimes,
}

/// A service by the parts that change independently of each other.
pub struct ServiceParts {
    /// What its pool is made from.
    pub pool_key: Arc<PoolKey>,
    /// What can change under a pool.
    pub runtime_settings: Arc<RuntimeSettings>,
    /// Its servers, if the file lists them.
    pub list: Option<Arc<Vec<ListedServer>>>,
}

/// All that a pool is made from: as long as this stays, the pool stays, with all that it has learned.
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
    Registry(Box<(Option<model::Registry>, model::RegistrySource)>),
}

/// What can change under a pool, but for its list of servers and the routes to it.
#[derive(PartialEq)]
pub struct RuntimeSettings {
    state: model::ServiceState,
    max_retry_after: Time,
    resource_limits: Allowed,
    graphql: Option<model::Located<model::GraphQl>>,
}

/// A server of a list that somebody wrote, and since when it has been taking requests: 0 for long ago.
#[derive(Clone, PartialEq)]
pub struct ListedServer {
    pub server: model::Server,
    pub serving_since: Time,
}

impl PreparedPlan {
    /// Prepares the first plan of a process.
    pub fn initial(plan: Plan) -> Arc<PreparedPlan> {
        Self::new(plan, None, 0.0)
    }

    /// Prepares a plan that is to follow another.
    pub fn replacing(plan: Plan, before: &PreparedPlan, now: Time) -> Arc<PreparedPlan> {
        Self::new(plan, Some(before), now)
    }

    fn new(plan: Plan, before: Option<&PreparedPlan>, now: Time) -> Arc<PreparedPlan> {
        let since = since(&plan.model, before.map(|before| &before.start_times), now);
        let old = before
            .map(PreparedPlan::services_by_name)
            .unwrap_or_default();
        let model = &plan.model;
        let parts = |service: &model::Located<model::Service>| {
            let old = old.get(service.name.as_str()).copied();
            ServiceParts::of(model, service, &since, old)
        };
        let services = model.services.iter().map(parts).collect();
        let accesses = model
            .registries
            .iter()
            .map(|r| (r.name.clone(), RegistryAccess::from_settings(r)))
            .collect();
        Arc::new(PreparedPlan {
            plan,
            services,
            registry_access: accesses,
            start_times: since,
        })
    }

    /// The parts of the services by the services' names.
    pub fn services_by_name(&self) -> HashMap<&str, &ServiceParts> {
        let names = self.plan.model.services.iter().map(|s| s.name.as_str());
        names.zip(&self.services).collect()
    }

    /// The way to a registry.
    ///
    /// # Errors
    /// If there is no such registry, or its proof can't be read.
    pub fn registry_access(&self, registry: &str) -> Result<&RegistryAccess, String> {
        let access = self
            .registry_access
            .get(registry)
            .ok_or("no such registry")?;
        access.as_ref().map_err(Clone::clone)
    }
}

impl ServiceParts {
    fn of(
        model: &model::Model,
        service: &model::Service,
        since: &StartTimes,
        old: Option<&ServiceParts>,
    ) -> ServiceParts {
        let list = match &service.source {
            model::Source::Static(list) => Some(listed_servers(list, since)),
            model::Source::Discovery(_) | model::Source::Registry(_) => None,
        };
        let old_list = old.and_then(|old| old.list.as_ref());
        ServiceParts {
            pool_key: kept_or_new(old.map(|old| &old.pool_key), PoolKey::of(model, service)),
            runtime_settings: kept_or_new(
                old.map(|old| &old.runtime_settings),
                RuntimeSettings::of(service),
            ),
            list: list.map(|list| kept_or_new(old_list, list)),
        }
    }
}

impl PoolKey {
    fn of(model: &model::Model, service: &model::Service) -> Self {
        let process = &model.process;
        PoolKey {
            source: SourceKey::of(model, &service.source),
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
    fn of(model: &model::Model, source: &model::Source) -> Self {
        match source {
            model::Source::Static(_) => SourceKey::Static,
            model::Source::Discovery(address) => SourceKey::Discovery(*address),
            model::Source::Registry(followed) => {
                let registry = model
                    .registries
                    .iter()
                    .find(|r| r.name == followed.registry)
                    .map(|r| {
                        // What concerns the node's own entry alone leaves the pool as it is.
                        model::Registry {
                            entry: None,
                            ..r.value.clone()
                        }
                    });
                SourceKey::Registry(Box::new((registry, followed.clone())))
            }
        }
    }
}

impl RuntimeSettings {
    fn of(service: &model::Service) -> Self {
        RuntimeSettings {
            state: service.state,
            max_retry_after: service.attempts.max_retry_after,
            resource_limits: service.limits.value,
            graphql: service.graphql.clone(),
        }
    }
}

/// Whether two parts are the same; those of services that did not change are so at a glance.
pub fn is_same<T: PartialEq>(a: &Arc<T>, b: &Arc<T>) -> bool {
    Arc::ptr_eq(a, b) || a == b
}

/// The old part if the new one is the same, so that both plans share it.
fn kept_or_new<T: PartialEq>(old: Option<&Arc<T>>, new: T) -> Arc<T> {
    match old {
        Some(old) if **old == new => old.clone(),
        _ => Arc::new(new),
    }
}

/// A list that is written by hand says nothing of starts. What the first plan lists counts as warm; what is added
/// later, or takes requests again after a drain, counts as started at that moment.
///
/// Guards the rule on cold servers against servers that are started and written into the file. Harm: a warm
/// server that is added gets less than its part for as long as a start takes.
fn since(model: &model::Model, old: Option<&StartTimes>, now: Time) -> StartTimes {
    let lists = model.services.iter().filter_map(|s| match &s.source {
        model::Source::Static(list) => Some(list),
        model::Source::Discovery(_) | model::Source::Registry(_) => None,
    });
    let up = lists.flatten().filter(|s| s.state == ServerState::Up);
    let since = |address: &SocketAddr| old.and_then(|old| old.get(address)).copied().unwrap_or(now);
    up.map(|s| (s.address, since(&s.address))).collect()
}

fn listed_servers(list: &[model::Located<model::Server>], since: &StartTimes) -> Vec<ListedServer> {
    let since = |s: &model::Server| since.get(&s.address).copied().unwrap_or(0.0);
    list.iter()
        .map(|s| ListedServer {
            server: s.value.clone(),
            serving_since: since(s),
        })
        .collect()
}
