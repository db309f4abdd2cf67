//! Services at work: each with its pool, its place in the books and its source of servers, and how requests find
//! them.

use super::discovery;
use super::operations::GraphQl;
use super::pool::{ListOrigin, Pool, PoolConfig};
use super::registry::Registry;
use super::shared::Shared;
use super::source::{follow, Source};
use super::task::AbortOnDrop;
use reelfall_balancer::interface::{ClassId, Time, UpdateKind};
use reelfall_config::model;
use reelfall_graphql::persisted::Persisted;
use reelfall_routing::limits::{Allowed, Member};
use reelfall_routing::table::Query;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

pub mod prepared;

use prepared::{is_same, ListedServer, PoolKey, PreparedPlan, RuntimeSettings, ServiceParts};

/// The platform's discovery, at the address that is named last.
pub struct Discovery {
    pub address: watch::Receiver<SocketAddr>,
    /// The version of the list that is known already.
    pub known: u64,
    /// What the list is called among the nodes of a fleet.
    pub list: String,
}

impl Source for Discovery {
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        discovery::follow(pool, self.address, self.known, self.list)
    }
}

/// A list that somebody wrote, in the form that was written last.
pub struct Static {
    pub list: watch::Receiver<Arc<Vec<ListedServer>>>,
}

impl Source for Static {
    fn follow(mut self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        // At once, so that nothing finds a pool that has not heard of its servers.
        apply_list(&pool, &self.list.borrow_and_update());
        pool.is_ready.set(true);
        async move {
            while self.list.changed().await.is_ok() {
                apply_list(&pool, &self.list.borrow_and_update());
            }
            std::future::pending().await
        }
    }
}

fn apply_list(pool: &Rc<Pool>, list: &[ListedServer]) {
    let entry =
        |listed: &ListedServer| pool.configured_endpoint(&listed.server, listed.serving_since);
    let places = list.iter().map(entry).collect();
    pool.update_endpoints(UpdateKind::Snapshot, places);
}

/// One service.
pub struct Service {
    pub name: String,
    pub pool: Rc<Pool>,
    /// Its place in the books, where there are several.
    pub member: Option<Member>,
    /// It finishes what it has and refuses what comes.
    pub is_draining: Cell<bool>,
    /// Longest advice on when to come back, in seconds; 0 for none.
    pub max_retry_after: Cell<Time>,
    /// What its requests are, if they are not plain ones.
    pub graphql: RefCell<Option<Rc<GraphQl>>>,
    list_updates: ListUpdates,
    /// What the pool was made from, if that is a settings file.
    key: Option<Arc<PoolKey>>,
    /// What is in force of all that can change under the pool.
    terms: RefCell<Option<Arc<RuntimeSettings>>>,
    _follow: AbortOnDrop,
}

/// How a source is told of changes in the settings.
enum ListUpdates {
    /// The list of a static source.
    Channel(watch::Sender<Arc<Vec<ListedServer>>>),
    /// Nothing, or somebody else does.
    None,
}

impl Service {
    /// The one service of a node on its platform.
    pub fn single(pool: Rc<Pool>, follow: AbortOnDrop) -> Rc<Self> {
        Rc::new(Service {
            name: String::new(),
            pool,
            member: None,
            is_draining: Cell::new(false),
            max_retry_after: Cell::new(0.0),
            graphql: RefCell::default(),
            list_updates: ListUpdates::None,
            key: None,
            terms: RefCell::default(),
            _follow: follow,
        })
    }

    fn start(
        shared: &Rc<Shared>,
        prepared: &PreparedPlan,
        service: &model::Service,
        parts: &ServiceParts,
        seed: u64,
        member: Option<Member>,
    ) -> Result<Rc<Self>, String> {
        let (settings, names, connection_settings) = prepared.plan.settings(service);
        let list_origin = match service.source {
            model::Source::Static(_) => ListOrigin::Configured,
            model::Source::Discovery(_) | model::Source::Registry(_) => ListOrigin::Discovered,
        };
        let access = match &service.source {
            model::Source::Registry(followed) => {
                Some(prepared.registry_access(&followed.registry)?.clone())
            }
            _ => None,
        };
        let pool = Pool::new(PoolConfig {
            settings,
            names,
            connection_settings,
            seed,
            list_origin,
            shared: shared.clone(),
            member,
        })
        .map_err(|error| error.to_string())?;
        let (follow, list_updates) = match &service.source {
            model::Source::Static(_) => {
                let (sender, list) = watch::channel(parts.list.clone().unwrap_or_default());
                (follow(&pool, Static { list }), ListUpdates::Channel(sender))
            }
            model::Source::Discovery(address) => {
                // The address is part of the key: with another, there is another pool.
                let (_, address) = watch::channel(*address);
                let list = service.name.clone();
                (
                    follow(
                        &pool,
                        Discovery {
                            address,
                            known: 0,
                            list,
                        },
                    ),
                    ListUpdates::None,
                )
            }
            model::Source::Registry(followed) => {
                let model::RegistrySource {
                    path,
                    limits,
                    initial_servers: known,
                    ..
                } = followed.clone();
                let access = access.ok_or("no such registry")?;
                (
                    follow(
                        &pool,
                        Registry {
                            access,
                            path,
                            limits,
                            known,
                        },
                    ),
                    ListUpdates::None,
                )
            }
        };
        Ok(Rc::new(Service {
            name: service.name.clone(),
            pool,
            member,
            is_draining: Cell::new(service.state == model::ServiceState::Draining),
            max_retry_after: Cell::new(service.attempts.max_retry_after),
            graphql: RefCell::new(graphql(service, None)?),
            list_updates,
            key: Some(parts.pool_key.clone()),
            terms: RefCell::default(),
            _follow: follow,
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

    /// Whether its pool is one that is made from this.
    fn is_made_from(&self, key: &Arc<PoolKey>) -> bool {
        self.key.as_ref().is_some_and(|own| is_same(own, key))
    }

    /// Tells the pool its list, if that has changed.
    fn update_list(&self, list: Option<&Arc<Vec<ListedServer>>>) {
        if let (ListUpdates::Channel(list_updates), Some(list)) = (&self.list_updates, list) {
            list_updates.send_if_modified(|old| {
                let changed = !is_same(old, list);
                *old = list.clone();
                changed
            });
        }
    }

    /// Takes over what can change under its pool, if any of that has. `terms` are those of `service`.
    fn set_terms(&self, shared: &Shared, service: &model::Service, terms: &Arc<RuntimeSettings>) {
        let old = self.terms.replace(Some(terms.clone()));
        if old.is_some_and(|old| is_same(&old, terms)) {
            return;
        }
        let known = self.graphql.borrow().as_ref().map(|g| g.persisted.clone());
        // The plan was checked: what can't be made here can't be in it.
        self.graphql
            .replace(graphql(service, known).unwrap_or_default());
        self.is_draining
            .set(service.state == model::ServiceState::Draining);
        self.max_retry_after.set(service.attempts.max_retry_after);
        if let Some(member) = self.member {
            shared.set_allowed(member, &service.limits);
        }
    }
}

/// What a service needs to take GraphQL; the documents that it knows already are kept.
fn graphql(
    service: &model::Service,
    kept: Option<Rc<RefCell<Persisted>>>,
) -> Result<Option<Rc<GraphQl>>, String> {
    let Some(graphql) = &service.graphql else {
        return Ok(None);
    };
    Ok(Some(Rc::new(GraphQl {
        classes: reelfall_config::check::graphql_classes(service, graphql)?,
        limits: graphql.limits,
        field_work: graphql.field_work,
        side_by_side: graphql.max_parallel_reads,
        persisted: kept.unwrap_or_default(),
    })))
}

/// Where a request goes.
pub struct RouteMatch {
    pub service: Rc<Service>,
    /// The class that the route assigns.
    pub class: Option<ClassId>,
}

/// How requests find their services.
pub enum Routing {
    /// All go to the one service.
    Single(Rc<Service>),
    /// By the table.
    Table(Rc<Table>),
}

/// Takes a plan that is no longer in force, to free it where nobody waits for that.
pub type Retire = Rc<dyn Fn(Arc<PreparedPlan>)>;

/// A plan and its services, in the same order.
pub struct Table {
    /// `None` before the first plan.
    prepared: Option<Arc<PreparedPlan>>,
    services: Vec<Rc<Service>>,
    retire: Retire,
}

impl Table {
    pub fn find(&self, q: &Query) -> Option<RouteMatch> {
        let plan = &self.prepared.as_ref()?.plan;
        let goal = plan.goals.get(plan.table.get(q)?)?;
        Some(RouteMatch {
            service: self.services.get(goal.service)?.clone(),
            class: goal.assign,
        })
    }

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

impl Routing {
    /// The longest time that a client waits, over all services.
    pub fn longest_deadline(&self) -> Duration {
        let services = match self {
            Routing::Single(service) => std::slice::from_ref(service),
            Routing::Table(table) => &table.services,
        };
        let deadlines = services
            .iter()
            .flat_map(|s| &s.pool.classes)
            .map(|c| c.deadline);
        Duration::try_from_secs_f64(deadlines.fold(0.0, f64::max)).unwrap_or_default()
    }
}

/// The services of a node with a file of its own, over all its reloads.
pub struct Services {
    shared: Rc<Shared>,
    current: RefCell<Rc<Table>>,
    /// Pools that are replaced or removed and have requests in hand still. Their sources are followed to the end, so
    /// that a drain is kept by what is left of them too.
    draining_services: RefCell<Vec<Rc<Service>>>,
    seeds: Cell<u64>,
    retire: Retire,
}

impl Services {
    /// No services yet. `seed` is for the choices of the modules.
    pub fn new(shared: Rc<Shared>, seed: u64, retire: Retire) -> Self {
        let none = Table {
            prepared: None,
            services: Vec::new(),
            retire: retire.clone(),
        };
        Services {
            shared,
            current: RefCell::new(Rc::new(none)),
            draining_services: RefCell::default(),
            seeds: Cell::new(seed),
            retire,
        }
    }

    /// The plan that is in force, if there is one already.
    pub fn current_plan(&self) -> Option<Arc<PreparedPlan>> {
        self.current.borrow().prepared.clone()
    }

    /// Puts a plan in force, whole or not at all: what can fail is done before anything changes.
    ///
    /// # Errors
    /// Says what of the plan can't be used; everything is as it was.
    pub fn apply(&self, prepared: Arc<PreparedPlan>) -> Result<Routing, String> {
        let services = self.start(&prepared)?;
        // Nothing fails from here on.
        let model = &prepared.plan.model;
        self.shared.set_totals(
            prepared.plan.totals,
            model.process.max_connections_per_server,
        );
        for ((service, new), parts) in services.iter().zip(&model.services).zip(&prepared.services)
        {
            service.set_terms(&self.shared, new, &parts.runtime_settings);
            service.update_list(parts.list.as_ref());
        }
        let retire = self.retire.clone();
        let table = Rc::new(Table {
            prepared: Some(prepared),
            services,
            retire,
        });
        let old = self.current.replace(table.clone());
        self.release(&old, &table);
        self.remove_drained();
        Ok(Routing::Table(table))
    }

    /// The services of a plan: those that there are, where their pools stay, and new ones.
    fn start(&self, prepared: &PreparedPlan) -> Result<Vec<Rc<Service>>, String> {
        let current = self.current.borrow().clone();
        let by_name: HashMap<&str, &Rc<Service>> = current
            .services
            .iter()
            .map(|s| (s.name.as_str(), s))
            .collect();
        let mut services = Vec::with_capacity(prepared.services.len());
        let mut joined = Vec::new();
        for (service, parts) in prepared.plan.model.services.iter().zip(&prepared.services) {
            let old = by_name.get(service.name.as_str()).copied();
            if let Some(old) = old.filter(|old| old.is_made_from(&parts.pool_key)) {
                services.push(old.clone());
                continue;
            }
            // What is replaced and what replaces it have one place in the books: together they hold no more.
            let member = old.and_then(|old| old.member).or_else(|| {
                let member = self.shared.add_member(&service.limits);
                joined.extend(member);
                member
            });
            let seed = self.seeds.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
            self.seeds.set(seed);
            match Service::start(&self.shared, prepared, service, parts, seed, member) {
                Ok(new) => services.push(new),
                Err(fault) => {
                    joined
                        .into_iter()
                        .for_each(|member| self.shared.remove_member(member));
                    return Err(format!("service `{}`: {fault}", service.name));
                }
            }
        }
        Ok(services)
    }

    /// Services that are replaced or removed finish what they have.
    fn release(&self, old: &Table, new: &Table) {
        let stay: HashSet<*const Service> = new.services.iter().map(Rc::as_ptr).collect();
        let parts = new
            .prepared
            .as_ref()
            .map(|new| new.services_by_name())
            .unwrap_or_default();
        for old in old
            .services
            .iter()
            .filter(|s| !stay.contains(&Rc::as_ptr(s)))
        {
            match parts.get(old.name.as_str()) {
                Some(parts) => old.update_list(parts.list.as_ref()),
                // It keeps its place, but no reservations, until what it has taken is done.
                None => old
                    .member
                    .into_iter()
                    .for_each(|member| self.shared.set_allowed(member, &Allowed::OPEN)),
            }
            self.draining_services.borrow_mut().push(old.clone());
        }
    }

    /// Every service that is not drained on purpose can serve.
    pub fn are_ready(&self) -> bool {
        let current = self.current.borrow();
        !current.services.is_empty()
            && current
                .services
                .iter()
                .all(|s| s.is_draining.get() || s.unavailable_reason().is_none())
    }

    /// Lets pools go that have nothing in hand any more.
    pub fn remove_drained(&self) {
        let done: Vec<Rc<Service>> = {
            let mut draining_services = self.draining_services.borrow_mut();
            let (done, left) = draining_services
                .drain(..)
                .partition(|s| s.pool.open_requests() == 0);
            *draining_services = left;
            done
        };
        for service in done {
            let kept = |s: &Rc<Service>| s.member == service.member;
            let used = self.current.borrow().services.iter().any(kept)
                || self.draining_services.borrow().iter().any(kept);
            service
                .member
                .into_iter()
                .filter(|_| !used)
                .for_each(|member| self.shared.remove_member(member));
        }
    }
}

#[cfg(test)]
mod tests;
