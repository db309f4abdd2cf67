//! Services: each has a pool of servers, the source of the pool's endpoint list and its limits.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `error` | why a plan can't be applied |
//! | `prepared` | a plan with the data that is expensive to derive from it |
//! | `routing` | how requests find their services |
//! | `services` | all services of a node, across reloads of its settings |
//! | `sources` | the sources of endpoint lists |

mod error;
pub mod prepared;
mod routing;
mod services;
mod sources;

pub use error::{ApplyPlanError, StartServiceError};
pub use routing::{RouteMatch, Routing, Table};
pub use services::Services;
pub use sources::DiscoverySource;

use super::graphql_operations::GraphQl;
use super::pool::{ListOrigin, Pool, PoolConfig};
use super::registry::{RegistryAccess, RegistryAccessError, RegistrySource};
use super::shared::Shared;
use super::source::follow;
use super::task::AbortOnDrop;
use prepared::{is_same, ListedServer, PlannedService, PoolKey, RuntimeSettings};
use reelfall_balancer::interface::Time;
use reelfall_config::model;
use reelfall_graphql::persisted::PersistedDocuments;
use reelfall_routing::limits::ServiceId;
use sources::StaticSource;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// One service.
pub struct Service {
    /// Its name; empty if it is the only one.
    pub name: String,
    /// Its servers.
    pub pool: Rc<Pool>,
    /// Its entry in the shared limits, if several services share the process.
    pub service_id: Option<ServiceId>,
    /// Whether it rejects new requests and finishes the open ones.
    pub is_draining: Cell<bool>,
    /// Maximum time after which a rejected client is advised to retry, in seconds; 0 for no advice.
    pub max_retry_after: Cell<Time>,
    /// The GraphQL settings, if its requests are GraphQL.
    pub graphql: RefCell<Option<Rc<GraphQl>>>,
    list_updates: ListUpdates,
    /// The settings that the pool was created from, if they come from a file.
    pool_key: Option<Arc<PoolKey>>,
    /// The current settings that can change without a new pool.
    runtime_settings: RefCell<Option<Arc<RuntimeSettings>>>,
    _follow_task: AbortOnDrop,
}

/// How the source of a service's list is updated when the settings change.
enum ListUpdates {
    /// The settings contain the list.
    Channel(watch::Sender<Arc<Vec<ListedServer>>>),
    /// The source follows its list by itself.
    None,
}

/// A task that follows a source, and how the source is updated.
struct FollowedSource {
    task: AbortOnDrop,
    list_updates: ListUpdates,
}

impl Service {
    /// The single service of a node that is configured by its platform.
    pub fn single(pool: Rc<Pool>, follow: AbortOnDrop) -> Rc<Self> {
        Rc::new(Service {
            name: String::new(),
            pool,
            service_id: None,
            is_draining: Cell::new(false),
            max_retry_after: Cell::new(0.0),
            graphql: RefCell::default(),
            list_updates: ListUpdates::None,
            pool_key: None,
            runtime_settings: RefCell::default(),
            _follow_task: follow,
        })
    }

    /// Starts a service of a plan.
    fn start(
        shared: &Rc<Shared>,
        planned: &PlannedService,
        seed: u64,
        service_id: Option<ServiceId>,
    ) -> Result<Rc<Self>, StartServiceError> {
        let service = planned.model;
        let config = planned.prepared.plan.balancer_config(service);
        let registry_access = registry_access(planned)?;
        let pool = Pool::new(PoolConfig {
            settings: config.settings,
            names: config.names,
            connection_settings: config.connections,
            seed,
            list_origin: list_origin(&service.list_source),
            shared: shared.clone(),
            service_id,
        })?;
        let source = follow_source(&pool, planned, registry_access)?;
        Ok(Rc::new(Service {
            name: service.name.clone(),
            pool,
            service_id,
            is_draining: Cell::new(service.state == model::ServiceState::Draining),
            max_retry_after: Cell::new(service.attempts.max_retry_after),
            graphql: RefCell::new(graphql_settings(service, None)?),
            list_updates: source.list_updates,
            pool_key: Some(planned.parts.pool_key.clone()),
            runtime_settings: RefCell::default(),
            _follow_task: source.task,
        }))
    }

    /// Why it can't serve now; `None` if it can.
    pub fn unavailable_reason(&self) -> Option<&'static str> {
        if self.is_draining.get() {
            return Some("draining\n");
        }
        if !self.pool.is_ready.get() {
            return Some("no server list yet\n");
        }
        (!self.pool.has_servers()).then_some("no server takes requests\n")
    }

    /// Whether its pool was created from this key.
    fn is_made_from(&self, pool_key: &Arc<PoolKey>) -> bool {
        self.pool_key
            .as_ref()
            .is_some_and(|own| is_same(own, pool_key))
    }

    /// Updates the list of a static source, if it has changed.
    fn update_list(&self, list: Option<&Arc<Vec<ListedServer>>>) {
        if let (ListUpdates::Channel(sender), Some(list)) = (&self.list_updates, list) {
            sender.send_if_modified(|current| {
                let has_changed = !is_same(current, list);
                *current = list.clone();
                has_changed
            });
        }
    }

    /// Applies the settings that can change without a new pool, if any of them has changed. `runtime_settings` are
    /// those of `service`.
    fn update_settings(
        &self,
        shared: &Shared,
        service: &model::Service,
        runtime_settings: &Arc<RuntimeSettings>,
    ) {
        let previous = self
            .runtime_settings
            .replace(Some(runtime_settings.clone()));
        if previous.is_some_and(|previous| is_same(&previous, runtime_settings)) {
            return;
        }
        let persisted = self
            .graphql
            .borrow()
            .as_ref()
            .map(|graphql| graphql.persisted.clone());
        // The classes of a checked plan are valid.
        self.graphql
            .replace(graphql_settings(service, persisted).unwrap_or_default());
        self.is_draining
            .set(service.state == model::ServiceState::Draining);
        self.max_retry_after.set(service.attempts.max_retry_after);
        if let Some(service_id) = self.service_id {
            shared.set_service_limits(service_id, &service.limits);
        }
    }
}

fn list_origin(source: &model::ListSource) -> ListOrigin {
    match source {
        model::ListSource::Static(_) => ListOrigin::Configured,
        model::ListSource::Discovery(_) | model::ListSource::Registry(_) => ListOrigin::Discovered,
    }
}

/// The access to a service's registry, if that is its source.
fn registry_access(
    planned: &PlannedService,
) -> Result<Option<RegistryAccess>, RegistryAccessError> {
    match &planned.model.list_source {
        model::ListSource::Registry(followed) => planned
            .prepared
            .registry_access(&followed.registry)
            .map(|access| Some(access.clone())),
        model::ListSource::Static(_) | model::ListSource::Discovery(_) => Ok(None),
    }
}

/// Starts to follow the source of a service's list.
fn follow_source(
    pool: &Rc<Pool>,
    planned: &PlannedService,
    registry_access: Option<RegistryAccess>,
) -> Result<FollowedSource, RegistryAccessError> {
    let service = planned.model;
    match &service.list_source {
        model::ListSource::Static(_) => {
            let (sender, list) = watch::channel(planned.parts.list.clone().unwrap_or_default());
            Ok(FollowedSource {
                task: follow(pool, StaticSource { list }),
                list_updates: ListUpdates::Channel(sender),
            })
        }
        model::ListSource::Discovery(address) => {
            // The address never changes: it is part of the pool's key.
            let (_, address) = watch::channel(*address);
            let source = DiscoverySource {
                address,
                known_index: 0,
                list_name: service.name.clone(),
            };
            Ok(FollowedSource {
                task: follow(pool, source),
                list_updates: ListUpdates::None,
            })
        }
        model::ListSource::Registry(followed) => {
            let source = RegistrySource {
                access: registry_access.ok_or(RegistryAccessError::UnknownRegistry)?,
                path: followed.path.clone(),
                config: followed.follower.clone(),
                initial_servers: followed.initial_servers.clone(),
            };
            Ok(FollowedSource {
                task: follow(pool, source),
                list_updates: ListUpdates::None,
            })
        }
    }
}

/// The GraphQL settings of a service, with the cache of `persisted` documents of the previous settings.
fn graphql_settings(
    service: &model::Service,
    persisted: Option<Rc<RefCell<PersistedDocuments>>>,
) -> Result<Option<Rc<GraphQl>>, StartServiceError> {
    let Some(graphql) = &service.graphql else {
        return Ok(None);
    };
    let classes = reelfall_config::check::graphql_classes(service, graphql)?;
    Ok(Some(Rc::new(GraphQl {
        classes,
        limits: graphql.limits,
        field_work: graphql.field_work,
        max_parallel_reads: graphql.max_parallel_reads,
        persisted: persisted.unwrap_or_default(),
    })))
}

#[cfg(test)]
mod tests;
