//! Services at work: each with its pool, its place in the books and its source of servers, and how requests find
//! them.

use super::discovery;
use super::pool::{Missing, Pool};
use super::shared::Shared;
use reelfall_conf::model;
use reelfall_conf::Plan;
use reelfall_core::engine::Place;
use reelfall_core::interface::{ClassId, ListKind, ServerState, Time};
use reelfall_core::settings::Listed;
use reelfall_routes::limits::{Allowed, Member};
use reelfall_routes::table::Query;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
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
}

impl Source for Discovery {
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        discovery::follow(pool, self.address, self.known)
    }
}

/// A list that somebody wrote, in the form that was written last.
pub struct Static {
    pub list: watch::Receiver<Vec<model::At<model::Server>>>,
}

impl Source for Static {
    async fn follow(mut self, pool: Rc<Pool>) {
        let mut seen = HashMap::new();
        let mut first = true;
        loop {
            let list = self.list.borrow_and_update().clone();
            pool.members(ListKind::Full, places(&pool, &list, &mut seen, first));
            first = false;
            if self.list.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }
}

/// A static list in the module's terms. `seen` keeps since when a server has been taking requests.
///
/// A list that is written by hand says nothing of starts. What was there when this node started counts as warm;
/// what is added later, or takes requests again after a drain, counts as started at that moment.
fn places(
    pool: &Pool, list: &[model::At<model::Server>], seen: &mut HashMap<String, Time>, first: bool,
) -> Vec<Place<SocketAddr>> {
    let now = pool.shared.clock.now();
    let up = |s: &&model::At<model::Server>| s.state == ServerState::Up;
    let names: HashSet<&str> = list.iter().filter(up).map(|s| s.name.as_str()).collect();
    seen.retain(|name, _| names.contains(name.as_str()));
    let place = |s: &model::At<model::Server>| {
        let since = if first { 0.0 } else { now };
        let ready_at = match s.state {
            ServerState::Up => *seen.entry(s.name.clone()).or_insert(since),
            _ => 0.0,
        };
        let listed = Listed {
            name: &s.name,
            zone: s.zone.as_deref(),
            kind: s.kind.as_deref(),
            cell: 0,
            state: s.state,
            weight: s.weight,
            ready_at: Some(ready_at),
        };
        Place { entry: pool.names.borrow_mut().entry(&listed), address: s.address }
    };
    list.iter().map(place).collect()
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
    told: Told,
    /// What the pool was made from.
    key: Option<PoolKey>,
    _follow: AbortOnDrop,
}

/// How a source is told of changes in the settings.
enum Told {
    /// The list of a static source.
    Static(watch::Sender<Vec<model::At<model::Server>>>),
    /// Nothing, or somebody else does.
    Nothing,
}

/// All that a pool is made from: as long as this stays, the pool stays, with all that it has learned.
#[derive(Clone, PartialEq)]
struct PoolKey {
    discovery: Option<SocketAddr>,
    tries: model::Tries,
    cold: model::Cold,
    classes: Vec<model::At<model::Class>>,
    members: Vec<model::At<model::Member>>,
    zone: Option<String>,
    nodes: u32,
}

impl PoolKey {
    fn of(process: &model::Process, service: &model::Service) -> Self {
        PoolKey {
            discovery: match &service.source {
                model::Source::Static(_) => None,
                model::Source::Discovery(address) => Some(*address),
            },
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
            told: Told::Nothing,
            key: None,
            _follow: follow,
        })
    }

    fn start(
        shared: &Rc<Shared>, plan: &Plan, service: &model::Service, seed: u64, member: Option<Member>,
    ) -> Result<Rc<Self>, String> {
        let (settings, names, figures) = plan.settings(service);
        let missing = match service.source {
            model::Source::Static(_) => Missing::Unused,
            model::Source::Discovery(_) => Missing::Ended,
        };
        let pool = Pool::new(settings, names, figures, seed, missing, shared.clone(), member)?;
        let (follow, told) = match &service.source {
            model::Source::Static(list) => {
                let (sender, list) = watch::channel(list.clone());
                (follow(&pool, Static { list }), Told::Static(sender))
            }
            model::Source::Discovery(address) => {
                // The address is part of the key: with another, there is another pool.
                let (_, address) = watch::channel(*address);
                (follow(&pool, Discovery { address, known: 0 }), Told::Nothing)
            }
        };
        Ok(Rc::new(Service {
            name: service.name.clone(),
            pool,
            member,
            draining: Cell::new(service.state == model::ServiceState::Draining),
            retry_after: Cell::new(service.tries.retry_after),
            told,
            key: Some(PoolKey::of(&plan.model.process, service)),
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

    fn tell(&self, service: &model::Service) {
        if let (Told::Static(list), model::Source::Static(servers)) = (&self.told, &service.source) {
            list.send_if_modified(|old| {
                let changed = old != servers;
                if changed {
                    old.clone_from(servers);
                }
                changed
            });
        }
    }
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
    seeds: Cell<u64>,
}

impl Services {
    /// No services yet. `seed` is for the choices of the modules.
    pub fn new(shared: Rc<Shared>, seed: u64) -> Self {
        Services { shared, current: RefCell::default(), leaving: RefCell::default(), seeds: Cell::new(seed) }
    }

    /// Puts a plan in force, whole or not at all: what can fail is done before anything changes.
    ///
    /// # Errors
    /// Says what of the plan can't be used; everything is as it was.
    pub fn apply(&self, plan: Plan) -> Result<Routing, String> {
        let model = &plan.model;
        let mut services = Vec::with_capacity(model.services.len());
        let mut joined = Vec::new();
        for service in &model.services {
            let old = self.current.borrow().iter().find(|s| s.name == service.name).cloned();
            let key = PoolKey::of(&model.process, service);
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
            match Service::start(&self.shared, &plan, service, seed, member) {
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
            service.draining.set(new.state == model::ServiceState::Draining);
            service.retry_after.set(new.tries.retry_after);
            service.tell(new);
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
                Some(new) => old.tell(new),
                // It keeps its place, but no reservations, until what it has taken is done.
                None => old.member.into_iter().for_each(|member| self.shared.allow(member, &Allowed::OPEN)),
            }
            self.leaving.borrow_mut().push(old);
        }
        self.tick();
        Ok(Routing::Table(Box::new(Table { plan, services })))
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
