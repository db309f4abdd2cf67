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
type Since = HashMap<SocketAddr, Time>;

/// A checked plan, ready to be put in force.
pub struct Prepared {
    /// The plan.
    pub plan: Plan,
    /// The parts of its services, in the same order.
    pub services: Vec<Parts>,
    /// The ways to its registries, or why there is none, by their names.
    accesses: HashMap<String, Result<RegistryAccess, String>>,
    pub(super) since: Since,
}

/// A service by the parts that change independently of each other.
pub struct Parts {
    /// What its pool is made from.
    pub key: Arc<PoolKey>,
    /// What can change under a pool.
    pub terms: Arc<Terms>,
    /// Its servers, if the file lists them.
    pub list: Option<Arc<Vec<ListedServer>>>,
}

/// All that a pool is made from: as long as this stays, the pool stays, with all that it has learned.
#[derive(PartialEq)]
pub struct PoolKey {
    source: SourceKey,
    tries: model::AttemptLimits,
    cold: model::SlowStart,
    classes: Vec<model::Located<model::Class>>,
    members: Vec<model::Located<model::Tenant>>,
    zone: Option<String>,
    nodes: u32,
}

#[derive(PartialEq)]
enum SourceKey {
    Static,
    Discovery(SocketAddr),
    Registry(Box<(Option<model::Registry>, model::RegistrySource)>),
}

/// What can change under a pool, but for its list of servers and the routes to it.
#[derive(PartialEq)]
pub struct Terms {
    state: model::ServiceState,
    retry_after: Time,
    allowed: Allowed,
    graphql: Option<model::Located<model::GraphQl>>,
}

/// A server of a list that somebody wrote, and since when it has been taking requests: 0 for long ago.
#[derive(Clone, PartialEq)]
pub struct ListedServer {
    pub server: model::Server,
    pub since: Time,
}

impl Prepared {
    /// Prepares the first plan of a process.
    pub fn first(plan: Plan) -> Arc<Prepared> {
        Self::new(plan, None, 0.0)
    }

    /// Prepares a plan that is to follow another.
    pub fn after(plan: Plan, before: &Prepared, now: Time) -> Arc<Prepared> {
        Self::new(plan, Some(before), now)
    }

    fn new(plan: Plan, before: Option<&Prepared>, now: Time) -> Arc<Prepared> {
        let since = since(&plan.model, before.map(|before| &before.since), now);
        let old = before.map(Prepared::by_name).unwrap_or_default();
        let model = &plan.model;
        let parts = |service: &model::Located<model::Service>| {
            let old = old.get(service.name.as_str()).copied();
            Parts::of(model, service, &since, old)
        };
        let services = model.services.iter().map(parts).collect();
        let accesses = model
            .registries
            .iter()
            .map(|r| (r.name.clone(), RegistryAccess::of(r)))
            .collect();
        Arc::new(Prepared {
            plan,
            services,
            accesses,
            since,
        })
    }

    /// The parts of the services by the services' names.
    pub fn by_name(&self) -> HashMap<&str, &Parts> {
        let names = self.plan.model.services.iter().map(|s| s.name.as_str());
        names.zip(&self.services).collect()
    }

    /// The way to a registry.
    ///
    /// # Errors
    /// If there is no such registry, or its proof can't be read.
    pub fn access(&self, registry: &str) -> Result<&RegistryAccess, String> {
        let access = self.accesses.get(registry).ok_or("no such registry")?;
        access.as_ref().map_err(Clone::clone)
    }
}

impl Parts {
    fn of(
        model: &model::Model,
        service: &model::Service,
        since: &Since,
        old: Option<&Parts>,
    ) -> Parts {
        let list = match &service.source {
            model::Source::Static(list) => Some(listed_servers(list, since)),
            model::Source::Discovery(_) | model::Source::Registry(_) => None,
        };
        let old_list = old.and_then(|old| old.list.as_ref());
        Parts {
            key: kept_or_new(old.map(|old| &old.key), PoolKey::of(model, service)),
            terms: kept_or_new(old.map(|old| &old.terms), Terms::of(service)),
            list: list.map(|list| kept_or_new(old_list, list)),
        }
    }
}

impl PoolKey {
    fn of(model: &model::Model, service: &model::Service) -> Self {
        let process = &model.process;
        PoolKey {
            source: SourceKey::of(model, &service.source),
            tries: service.attempts,
            cold: service.slow_start,
            classes: service.classes.clone(),
            members: service.tenants.clone(),
            zone: process.zone.clone(),
            nodes: process.node_count,
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

impl Terms {
    fn of(service: &model::Service) -> Self {
        Terms {
            state: service.state,
            retry_after: service.attempts.max_retry_after,
            allowed: service.limits.value,
            graphql: service.graphql.clone(),
        }
    }
}

/// Whether two parts are the same; those of services that did not change are so at a glance.
pub fn same<T: PartialEq>(a: &Arc<T>, b: &Arc<T>) -> bool {
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
fn since(model: &model::Model, old: Option<&Since>, now: Time) -> Since {
    let lists = model.services.iter().filter_map(|s| match &s.source {
        model::Source::Static(list) => Some(list),
        model::Source::Discovery(_) | model::Source::Registry(_) => None,
    });
    let up = lists.flatten().filter(|s| s.state == ServerState::Up);
    let since = |address: &SocketAddr| old.and_then(|old| old.get(address)).copied().unwrap_or(now);
    up.map(|s| (s.address, since(&s.address))).collect()
}

fn listed_servers(list: &[model::Located<model::Server>], since: &Since) -> Vec<ListedServer> {
    let since = |s: &model::Server| since.get(&s.address).copied().unwrap_or(0.0);
    list.iter()
        .map(|s| ListedServer {
            server: s.value.clone(),
            since: since(s),
        })
        .collect()
}
