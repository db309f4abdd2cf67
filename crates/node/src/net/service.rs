//! Services at work: each with its pool, its place in the books and its source of servers, and how requests find
//! them.

use super::discovery;
use super::operations::GraphQl;
use super::pool::{Missing, Pool};
use super::registry::{Registry, Way};
use super::shared::Shared;
use reelfall_conf::model;
use reelfall_conf::Plan;
use reelfall_core::engine::Place;
use reelfall_core::interface::{ClassId, ListKind, ServerState, Time};
use reelfall_core::settings::Listed;
use reelfall_graphql::persisted::Persisted;
use reelfall_routes::limits::{Allowed, Member};
use reelfall_routes::table::Query;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A node that knows servers from before waits this long for newer news before it serves.
const NEWS_WITHIN: Duration = Duration::from_secs(1);

/// Where a pool hears of its servers. Each source is a task that tells the pool through [`Pool::members`].
pub trait Source {
    /// Tells the pool of its servers for as long as it is polled.
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static;
}

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

/// A server of a list that somebody wrote, and since when it has been taking requests: 0 for long ago.
#[derive(Clone, PartialEq)]
pub struct Written {
    server: model::Server,
    since: Time,
}

/// A list that somebody wrote, in the form that was written last.
pub struct Static {
    pub list: watch::Receiver<Vec<Written>>,
}

impl Source for Static {
    fn follow(mut self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        // At once, so that nothing finds a pool that has not heard of its servers.
        tell_written(&pool, &self.list.borrow_and_update());
        pool.ready.set(true);
        async move {
            while self.list.changed().await.is_ok() {
                tell_written(&pool, &self.list.borrow_and_update());
            }
            std::future::pending().await
        }
    }
}

fn tell_written(pool: &Rc<Pool>, list: &[Written]) {
    let place = |Written { server, since }: &Written| {
        let listed = Listed {
            name: &server.name,
            zone: server.zone.as_deref(),
            kind: server.kind.as_deref(),
            cell: 0,
            state: server.state,
            weight: server.weight,
            ready_at: Some(*since),
        };
        Place { entry: pool.names.borrow_mut().entry(&listed), address: server.address }
    };
    let places = list.iter().map(place).collect();
    pool.members(ListKind::Full, places);
}

/// Ends a task when it is dropped.
pub struct AbortOnDrop(pub AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts to follow a source; the pool is ready when the first list has come. An old one serves too, if no newer
/// comes.
pub fn follow(pool: &Rc<Pool>, source: impl Source) -> AbortOnDrop {
    let ready = pool.clone();
    let follow = source.follow(pool.clone());
    let task = tokio::task::spawn_local(async move {
        let mut follow = std::pin::pin!(follow);
        let wait = async {
            if ready.ready.get() {
                return std::future::pending().await;
            }
            let news = ready.listed.notified();
            if ready.has_servers() {
                let _ = tokio::time::timeout(NEWS_WITHIN, news).await;
            } else {
                news.await;
            }
            ready.ready.set(true);
            std::future::pending::<()>().await;
        };
        // The wait is polled first, so that no list is missed.
        tokio::select! {
            biased;
            () = wait => {}
            () = follow.as_mut() => {}
        }
    });
    AbortOnDrop(task.abort_handle())
}

/// One service.
pub struct Service {
    pub name: String,
    pub pool: Rc<Pool>,
    /// Its place in the books, where there are several.
    pub member: Option<Member>,
    /// It finishes what it has and refuses what comes.
    pub draining: Cell<bool>,
    /// Longest advice on when to come back, in seconds; 0 for none.
    pub retry_after: Cell<Time>,
    /// What its requests are, if they are not plain ones.
    pub graphql: RefCell<Option<Rc<GraphQl>>>,
    told: Told,
    /// What the pool was made from.
    key: Option<PoolKey>,
    _follow: AbortOnDrop,
}

/// How a source is told of changes in the settings.
enum Told {
    /// The list of a static source.
    Static(watch::Sender<Vec<Written>>),
    /// Nothing, or somebody else does.
    Nothing,
}

/// All that a pool is made from: as long as this stays, the pool stays, with all that it has learned.
#[derive(Clone, PartialEq)]
struct PoolKey {
    source: SourceKey,
    tries: model::Tries,
    cold: model::Cold,
    classes: Vec<model::At<model::Class>>,
    members: Vec<model::At<model::Member>>,
    zone: Option<String>,
    nodes: u32,
}

#[derive(Clone, PartialEq)]
enum SourceKey {
    Static,
    Discovery(SocketAddr),
    Registry(Box<(Option<model::Registry>, model::Followed)>),
}

impl SourceKey {
    fn of(model: &model::Model, source: &model::Source) -> Self {
        match source {
            model::Source::Static(_) => SourceKey::Static,
            model::Source::Discovery(address) => SourceKey::Discovery(*address),
            model::Source::Registry(followed) => {
                let registry = registry(model, followed).map(|r| {
                    // What concerns the node's own entry alone leaves the pool as it is.
                    model::Registry { entry: None, ..r.clone() }
                });
                SourceKey::Registry(Box::new((registry, followed.clone())))
            }
        }
    }
}

/// The registry that a service follows.
fn registry<'a>(model: &'a model::Model, followed: &model::Followed) -> Option<&'a model::Registry> {
    model.registries.iter().find(|r| r.name == followed.registry).map(|r| &r.value)
}

impl PoolKey {
    fn of(model: &model::Model, service: &model::Service) -> Self {
        let process = &model.process;
        PoolKey {
            source: SourceKey::of(model, &service.source),
            tries: service.tries,
            cold: service.cold,
            classes: service.classes.clone(),
            members: service.members.clone(),
            zone: process.zone.clone(),
            nodes: process.nodes,
        }
    }
}

impl Service {
    /// The one service of a node on its platform.
    pub fn alone(pool: Rc<Pool>, follow: AbortOnDrop) -> Rc<Self> {
        Rc::new(Service {
            name: String::new(),
            pool,
            member: None,
            draining: Cell::new(false),
            retry_after: Cell::new(0.0),
            graphql: RefCell::default(),
            told: Told::Nothing,
            key: None,
            _follow: follow,
        })
    }

    fn start(
        shared: &Rc<Shared>, plan: &Plan, service: &model::Service, seed: u64, member: Option<Member>,
        since: &Since,
    ) -> Result<Rc<Self>, String> {
        let (settings, names, figures) = plan.settings(service);
        let missing = match service.source {
            model::Source::Static(_) => Missing::Unused,
            model::Source::Discovery(_) | model::Source::Registry(_) => Missing::Ended,
        };
        let way = match &service.source {
            model::Source::Registry(followed) => {
                let registry = registry(&plan.model, followed).ok_or("no such registry")?;
                Some(Way::of(registry)?)
            }
            _ => None,
        };
        let pool = Pool::new(settings, names, figures, seed, missing, shared.clone(), member)?;
        let (follow, told) = match &service.source {
            model::Source::Static(list) => {
                let (sender, list) = watch::channel(written(list, since));
                (follow(&pool, Static { list }), Told::Static(sender))
            }
            model::Source::Discovery(address) => {
                // The address is part of the key: with another, there is another pool.
                let (_, address) = watch::channel(*address);
                let list = service.name.clone();
                (follow(&pool, Discovery { address, known: 0, list }), Told::Nothing)
            }
            model::Source::Registry(followed) => {
                let model::Followed { path, limits, known, .. } = followed.clone();
                let way = way.ok_or("no such registry")?;
                (follow(&pool, Registry { way, path, limits, known }), Told::Nothing)
            }
        };
        Ok(Rc::new(Service {
            name: service.name.clone(),
            pool,
            member,
            draining: Cell::new(service.state == model::ServiceState::Draining),
            retry_after: Cell::new(service.tries.retry_after),
            graphql: RefCell::new(graphql(service, None)?),
            told,
            key: Some(PoolKey::of(&plan.model, service)),
            _follow: follow,
        }))
    }

    /// Why it can't serve now; `None` if it can.
    pub fn unready(&self) -> Option<&'static str> {
        if self.draining.get() {
            return Some("draining\n");
        }
        if !self.pool.ready.get() {
            return Some("no server list yet\n");
        }
        (!self.pool.has_servers()).then_some("no server takes requests\n")
    }

    fn tell(&self, service: &model::Service, since: &Since) {
        if let (Told::Static(list), model::Source::Static(servers)) = (&self.told, &service.source) {
            let new = written(servers, since);
            list.send_if_modified(|old| {
                let changed = *old != new;
                *old = new;
                changed
            });
        }
    }
}

/// What a service needs to take GraphQL; the documents that it knows already are kept.
fn graphql(
    service: &model::Service, kept: Option<Rc<RefCell<Persisted>>>,
) -> Result<Option<Rc<GraphQl>>, String> {
    let Some(graphql) = &service.graphql else { return Ok(None) };
    Ok(Some(Rc::new(GraphQl {
        classes: reelfall_conf::check::graphql_classes(service, graphql)?,
        limits: graphql.limits,
        field_work: graphql.field_work,
        side_by_side: graphql.side_by_side,
        persisted: kept.unwrap_or_default(),
    })))
}

/// Since when the servers of static lists have been taking requests.
type Since = HashMap<SocketAddr, Time>;

fn written(list: &[model::At<model::Server>], since: &Since) -> Vec<Written> {
    let since = |s: &model::Server| since.get(&s.address).copied().unwrap_or(0.0);
    list.iter().map(|s| Written { server: s.value.clone(), since: since(s) }).collect()
}

/// Where a request goes.
pub struct Found {
    pub service: Rc<Service>,
    /// The class that the route assigns.
    pub assign: Option<ClassId>,
}

/// How requests find their services.
pub enum Routing {
    /// All go to the one service.
    Alone(Rc<Service>),
    /// By the table.
    Table(Box<Table>),
}

/// A plan and its services, in the same order.
pub struct Table {
    plan: Plan,
    services: Vec<Rc<Service>>,
}

impl Table {
    pub fn find(&self, q: &Query) -> Option<Found> {
        let goal = self.plan.goals.get(self.plan.table.get(q)?)?;
        Some(Found { service: self.services.get(goal.service)?.clone(), assign: goal.assign })
    }

    pub fn services(&self) -> &[Rc<Service>] {
        &self.services
    }
}

impl Routing {
    /// The longest time that a client waits, over all services.
    pub fn longest_deadline(&self) -> Duration {
        let services = match self {
            Routing::Alone(service) => std::slice::from_ref(service),
            Routing::Table(table) => &table.services,
        };
        let deadlines = services.iter().flat_map(|s| &s.pool.classes).map(|c| c.deadline);
        Duration::try_from_secs_f64(deadlines.fold(0.0, f64::max)).unwrap_or_default()
    }
}

/// The services of a node with a file of its own, over all its reloads.
pub struct Services {
    shared: Rc<Shared>,
    current: RefCell<Vec<Rc<Service>>>,
    /// Pools that are replaced or removed and have requests in hand still. Their sources are followed to the end, so
    /// that a drain is kept by what is left of them too.
    leaving: RefCell<Vec<Rc<Service>>>,
    /// `None` before the first plan.
    since: RefCell<Option<Since>>,
    seeds: Cell<u64>,
}

impl Services {
    /// No services yet. `seed` is for the choices of the modules.
    pub fn new(shared: Rc<Shared>, seed: u64) -> Self {
        Services {
            shared,
            current: RefCell::default(),
            leaving: RefCell::default(),
            since: RefCell::default(),
            seeds: Cell::new(seed),
        }
    }

    /// A list that is written by hand says nothing of starts. What the first plan lists counts as warm; what is added
    /// later, or takes requests again after a drain, counts as started at that moment.
    ///
    /// Guards the rule on cold servers against servers that are started and written into the file. Harm: a warm
    /// server that is added gets less than its part for as long as a start takes.
    fn since(&self, plan: &Plan) -> Since {
        let old = self.since.borrow();
        let now = if old.is_some() { self.shared.clock.now() } else { 0.0 };
        let lists = plan.model.services.iter().filter_map(|s| match &s.source {
            model::Source::Static(list) => Some(list),
            model::Source::Discovery(_) | model::Source::Registry(_) => None,
        });
        let up = lists.flatten().filter(|s| s.state == ServerState::Up);
        let since = |a: SocketAddr| old.as_ref().and_then(|o| o.get(&a)).copied().unwrap_or(now);
        up.map(|s| (s.address, since(s.address))).collect()
    }

    /// Puts a plan in force, whole or not at all: what can fail is done before anything changes.
    ///
    /// # Errors
    /// Says what of the plan can't be used; everything is as it was.
    pub fn apply(&self, plan: Plan) -> Result<Routing, String> {
        let model = &plan.model;
        let since = self.since(&plan);
        let mut services = Vec::with_capacity(model.services.len());
        let mut joined = Vec::new();
        for service in &model.services {
            let old = self.current.borrow().iter().find(|s| s.name == service.name).cloned();
            let key = PoolKey::of(model, service);
            if let Some(old) = old.as_ref().filter(|old| old.key.as_ref() == Some(&key)) {
                services.push(old.clone());
                continue;
            }
            // What is replaced and what replaces it have one place in the books: together they hold no more.
            let member = old.and_then(|old| old.member).or_else(|| {
                let member = self.shared.join(&service.allowed);
                joined.extend(member);
                member
            });
            let seed = self.seeds.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
            self.seeds.set(seed);
            match Service::start(&self.shared, &plan, service, seed, member, &since) {
                Ok(new) => services.push(new),
                Err(fault) => {
                    joined.into_iter().for_each(|member| self.shared.leave(member));
                    return Err(format!("service `{}`: {fault}", service.name));
                }
            }
        }
        // Nothing fails from here on.
        self.shared.set_totals(plan.totals, model.process.server_connections);
        for (service, new) in services.iter().zip(&model.services) {
            let kept = service.graphql.borrow().as_ref().map(|g| g.persisted.clone());
            // The plan was checked: what can't be made here can't be in it.
            service.graphql.replace(graphql(new, kept).unwrap_or_default());
            service.draining.set(new.state == model::ServiceState::Draining);
            service.retry_after.set(new.tries.retry_after);
            service.tell(new, &since);
            if let Some(member) = service.member {
                self.shared.allow(member, &new.allowed);
            }
        }
        let old = self.current.replace(services.clone());
        for old in old {
            if services.iter().any(|s| Rc::ptr_eq(s, &old)) {
                continue;
            }
            match model.services.iter().find(|s| s.name == old.name) {
                Some(new) => old.tell(new, &since),
                // It keeps its place, but no reservations, until what it has taken is done.
                None => old.member.into_iter().for_each(|member| self.shared.allow(member, &Allowed::OPEN)),
            }
            self.leaving.borrow_mut().push(old);
        }
        self.since.replace(Some(since));
        self.tick();
        Ok(Routing::Table(Box::new(Table { plan, services })))
    }

    /// Every service that is not drained on purpose can serve.
    pub fn are_ready(&self) -> bool {
        let current = self.current.borrow();
        !current.is_empty() && current.iter().all(|s| s.draining.get() || s.unready().is_none())
    }

    /// Lets pools go that have nothing in hand any more.
    pub fn tick(&self) {
        let done: Vec<Rc<Service>> = {
            let mut leaving = self.leaving.borrow_mut();
            let (done, left) = leaving.drain(..).partition(|s| s.pool.open() == 0);
            *leaving = left;
            done
        };
        for service in done {
            let kept = |s: &Rc<Service>| s.member == service.member;
            let used = self.current.borrow().iter().any(kept) || self.leaving.borrow().iter().any(kept);
            service.member.into_iter().filter(|_| !used).for_each(|member| self.shared.leave(member));
        }
    }
}

#[cfg(test)]
mod tests;
