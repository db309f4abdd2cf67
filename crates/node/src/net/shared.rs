//! What all pools of a process share: descriptors, memory, ids of open requests, and what their lists say of servers
//! that several of them have.

use super::{Bounds, Log};
use reelfall_core::interface::Time;
use reelfall_fleet::entry::ServerInstance;
use reelfall_fleet::observer::AttemptOutcome;
use reelfall_operations::ban::{Bans, View as Banned};
use reelfall_operations::ledger::Ledger;
use reelfall_routes::budget::Denied;
use reelfall_routes::common::{Common, Line, View};
use reelfall_routes::limits::{Allowed, Denial, Kind, Limits, Member, Totals};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout_at;

/// The moments of engines and limits. Lists state starts in Unix time and 0 for long ago: a clock that began at 0
/// here would make every cold server look warm.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Time,
}

impl Clock {
    #[allow(clippy::disallowed_methods)] // Once, as the process begins; from there on it counts by itself.
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1.0, |d| d.as_secs_f64().max(1.0));
        Clock { started: Instant::now(), unix }
    }

    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    pub fn time(&self, at: Instant) -> Time {
        self.unix + at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn instant(&self, at: Time) -> Instant {
        let since = Duration::try_from_secs_f64(at - self.unix).unwrap_or_default();
        self.started.checked_add(since).unwrap_or(self.started)
    }
}

/// An id of a request that is open here; it is free again when this is dropped.
pub struct OpenId {
    shared: Rc<Shared>,
    id: Box<[u8]>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.shared.ids.borrow_mut().remove(&self.id);
    }
}

/// Units that a service holds; they go back when this is dropped.
pub struct Permit {
    shared: Rc<Shared>,
    member: Member,
    kind: Kind,
    n: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(limits) = &self.shared.limits {
            limits.borrow_mut().give(self.member, self.kind, self.n);
        }
        match self.kind {
            Kind::Memory => self.shared.memory_freed.notify_waiters(),
            Kind::Connections => self.shared.freed(),
            Kind::Open => {}
        }
    }
}

/// Memory for a body, as long as it is held.
pub enum Held {
    /// Of the process, where there is one service alone.
    Process(#[allow(dead_code)] OwnedSemaphorePermit),
    /// Of a service.
    Service(#[allow(dead_code)] Permit),
}

/// One of the connections to servers that may be open.
pub struct Open {
    shared: Rc<Shared>,
    /// The server, where connections are counted by server.
    counted: Option<SocketAddr>,
    _permit: Option<Permit>,
}

impl Drop for Open {
    fn drop(&mut self) {
        let shared = &self.shared;
        shared.open.set(shared.open.get().saturating_sub(1));
        if let Some(address) = &self.counted {
            let mut by_server = shared.by_server.borrow_mut();
            if let Some(n) = by_server.get_mut(address) {
                *n = n.saturating_sub(1);
                if *n == 0 {
                    by_server.remove(address);
                }
            }
        }
        shared.freed();
    }
}

/// An attempt that waits for a connection.
pub struct Waiting<'a>(&'a Cell<usize>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// A pool's number, never used twice in one life of the process.
pub type PoolId = u32;

/// What pools ask of each other, by way of what they share.
pub trait Peer {
    /// Since when the longest idle connection, to one address or to any, has been idle.
    fn idle_since(&self, to: Option<SocketAddr>) -> Option<Instant>;
    /// Closes that connection; whether there was one.
    fn close_idle(&self, to: Option<SocketAddr>) -> bool;
    /// Whoever waits for a connection looks again.
    fn freed(&self);
    /// Looks at what time alone changes: connections that have been idle for too long, servers that have become warm.
    fn tick(self: Rc<Self>);
    /// Another list has said something of a server that this one may name.
    fn retold(self: Rc<Self>, address: SocketAddr);
    /// Operators have said something of a server that this pool may know.
    fn reseen(self: Rc<Self>, name: &str);
    /// What holds of every server may have changed.
    fn review(self: Rc<Self>);
    /// Whether its list has named a server, now or lately.
    fn knows(&self, name: &str) -> bool;
    /// Adds the servers that its list names, as the fleet knows them.
    fn listed(&self, to: &mut BTreeSet<ServerInstance>);
    /// Adds the attempts that have waited past their target.
    fn overdue(&self, now: Time, to: &mut Vec<OverdueRequest>);
    /// Applies, or ends, the condemnation of a server by the fleet.
    fn apply_condemnation(self: Rc<Self>, condemnation: &Condemnation);
}

/// The condemnation of one instance of a server by the nodes of the fleet: it fails others.
#[derive(Clone, Debug, PartialEq)]
pub struct Condemnation {
    pub server: ServerInstance,
    /// When it expires without further reports; a time that has passed ends it.
    pub until: Time,
    /// Whether this node probes the server meanwhile, for all.
    pub is_prober: bool,
}

/// An attempt that has waited for an answer past its target.
#[derive(Clone, Debug)]
pub struct OverdueRequest {
    pub server: ServerInstance,
    /// How long it has waited, in seconds.
    pub waited: Time,
    /// How long it should have waited at most, in seconds.
    pub aim: Time,
}

/// Observes how attempts at servers end, and which lists are followed.
pub trait FleetObserver {
    /// An attempt at one instance of a server has ended.
    fn attempt_ended(&self, server: ServerInstance, outcome: AttemptOutcome);
    /// A pool received a list with this index.
    fn list_updated(&self, list: &str, pool: PoolId, index: u64);
    /// A pool stopped following a list.
    fn list_dropped(&self, list: &str, pool: PoolId);
}

/// See the module.
pub struct Shared {
    pub log: Log,
    pub clock: Clock,
    ids: RefCell<HashSet<Box<[u8]>>>,
    /// Connections to servers that are open, and the most that may be.
    open: Cell<usize>,
    most: Cell<usize>,
    /// The same for each server, where several services may send to one.
    by_server: RefCell<HashMap<SocketAddr, usize>>,
    most_by_server: Cell<Option<usize>>,
    /// Memory for bodies of requests and for large answers, where there is one service alone.
    bodies: Arc<Semaphore>,
    answers: Arc<Semaphore>,
    memory_freed: Notify,
    /// Attempts that wait for a connection.
    waiting: Cell<usize>,
    limits: Option<RefCell<Limits>>,
    common: RefCell<Common<SocketAddr, PoolId>>,
    pools: RefCell<HashMap<PoolId, Weak<dyn Peer>>>,
    next_pool: Cell<PoolId>,
    /// What operators have said.
    operations: RefCell<Ledger>,
    /// Servers that any node of the fleet was told to send out.
    fleet_bans: RefCell<Bans>,
    /// The fleet, if the node is part of one.
    observer: RefCell<Option<Rc<dyn FleetObserver>>>,
    /// The node begins or ends to be emptied.
    pub drained: Notify,
    /// Processes of this node that serve beside each other, this one included.
    processes: Cell<u32>,
}

impl Shared {
    /// For one service alone, which has all that the process has.
    pub fn alone(bounds: Bounds) -> Rc<Self> {
        Rc::new(Self::new(bounds.upstream, bounds.body_kib, None))
    }

    /// For several services, which have what they are allowed of the totals.
    pub fn parted(totals: Totals, most_by_server: Option<usize>) -> Rc<Self> {
        let shared = Self::new(totals.connections as usize, 0, Some(RefCell::new(Limits::new(totals))));
        shared.most_by_server.set(most_by_server);
        Rc::new(shared)
    }

    fn new(most: usize, body_kib: usize, limits: Option<RefCell<Limits>>) -> Self {
        Shared {
            log: Log::default(),
            clock: Clock::start(),
            ids: RefCell::default(),
            open: Cell::new(0),
            most: Cell::new(most),
            by_server: RefCell::default(),
            most_by_server: Cell::new(None),
            bodies: Arc::new(Semaphore::new(body_kib)),
            answers: Arc::new(Semaphore::new(body_kib)),
            memory_freed: Notify::new(),
            waiting: Cell::new(0),
            limits,
            common: RefCell::default(),
            pools: RefCell::default(),
            next_pool: Cell::new(0),
            operations: RefCell::default(),
            fleet_bans: RefCell::default(),
            observer: RefCell::default(),
            drained: Notify::new(),
            processes: Cell::new(1),
        }
    }

    /// Changes what there is; what is held stays held.
    pub fn set_totals(&self, totals: Totals, most_by_server: Option<usize>) {
        self.most.set(totals.connections as usize);
        self.most_by_server.set(most_by_server);
        if let Some(limits) = &self.limits {
            limits.borrow_mut().set_totals(totals);
        }
    }

    /// Takes an id for a request, unless an open one has it.
    ///
    /// Guards against a client that uses the id of another's request, so that servers, which know a request by
    /// it, would see a second copy; it ought to catch a proxy before this node that sends twice as well. Bounded
    /// by the requests that are open. Harm: a client that reuses an id too soon is told so and has to take a new.
    pub fn claim(self: &Rc<Self>, id: &[u8]) -> Option<OpenId> {
        let id: Box<[u8]> = id.into();
        self.ids.borrow_mut().insert(id.clone()).then(|| OpenId { shared: self.clone(), id })
    }

    // ---- limits ----

    /// A new service's place in the books; `None` where there is one service alone.
    pub fn join(&self, allowed: &Allowed) -> Option<Member> {
        self.limits.as_ref().map(|l| l.borrow_mut().add(self.clock.now(), allowed))
    }

    /// Changes what a service is allowed.
    pub fn allow(&self, member: Member, allowed: &Allowed) {
        if let Some(limits) = &self.limits {
            limits.borrow_mut().set(self.clock.now(), member, allowed);
        }
    }

    /// A service leaves the books.
    pub fn leave(&self, member: Member) {
        if let Some(limits) = &self.limits {
            limits.borrow_mut().remove(member);
        }
    }

    /// Admits one request of a service.
    ///
    /// # Errors
    /// Says which limit it is over.
    pub fn admit(self: &Rc<Self>, member: Member) -> Result<Option<Permit>, Denial> {
        let Some(limits) = &self.limits else { return Ok(None) };
        limits.borrow_mut().admit(self.clock.now(), member)?;
        Ok(Some(Permit { shared: self.clone(), member, kind: Kind::Open, n: 1 }))
    }

    fn take(self: &Rc<Self>, member: Member, kind: Kind, n: u64) -> Result<Permit, Denied> {
        let limits = self.limits.as_ref().ok_or(Denied::Most)?;
        limits.borrow_mut().take(self.clock.now(), member, kind, n)?;
        Ok(Permit { shared: self.clone(), member, kind, n })
    }

    /// Memory for the body of a request, if it is to be had now.
    pub fn body(self: &Rc<Self>, member: Option<Member>, kib: u32) -> Option<Held> {
        match member {
            Some(member) => self.take(member, Kind::Memory, kib.into()).ok().map(Held::Service),
            None => self.bodies.clone().try_acquire_many_owned(kib).ok().map(Held::Process),
        }
    }

    /// Memory for an answer, if it is to be had now.
    pub fn answer(self: &Rc<Self>, member: Option<Member>, kib: u32) -> Option<Held> {
        match member {
            Some(member) => self.take(member, Kind::Memory, kib.into()).ok().map(Held::Service),
            None => self.answers.clone().try_acquire_many_owned(kib).ok().map(Held::Process),
        }
    }

    /// Memory for an answer, waited for.
    pub async fn answer_by(
        self: &Rc<Self>, member: Option<Member>, kib: u32, until: Instant,
    ) -> Option<Held> {
        if member.is_none() {
            let share = self.answers.clone().acquire_many_owned(kib);
            return timeout_at(until.into(), share).await.ok().and_then(Result::ok).map(Held::Process);
        }
        loop {
            let freed = self.memory_freed.notified();
            if let Some(held) = self.answer(member, kib) {
                return Some(held);
            }
            timeout_at(until.into(), freed).await.ok()?;
        }
    }

    // ---- connections to servers ----

    /// Room for one more connection to a server. Where there is none, an idle connection has to go: one to that
    /// server if it has its most, else the oldest of all pools.
    ///
    /// # Errors
    /// `Most` if the service has all that it may: then no other's connection goes for it. `Total` if nothing can go.
    pub fn room(self: &Rc<Self>, address: SocketAddr, member: Option<Member>) -> Result<Open, Denied> {
        if let Some(most) = self.most_by_server.get() {
            if self.by_server.borrow().get(&address).is_some_and(|n| *n >= most) {
                self.spare(Some(address)).ok_or(Denied::Total)?;
            }
        }
        if self.open.get() >= self.most.get() {
            self.spare(None).ok_or(Denied::Total)?;
        }
        let permit = match member {
            None => None,
            Some(member) => match self.take(member, Kind::Connections, 1) {
                Ok(permit) => Some(permit),
                Err(Denied::Most) => return Err(Denied::Most),
                Err(denied) => {
                    self.spare(None).ok_or(denied)?;
                    Some(self.take(member, Kind::Connections, 1)?)
                }
            },
        };
        self.open.set(self.open.get() + 1);
        let counted = self.parts().then_some(address);
        if counted.is_some() {
            *self.by_server.borrow_mut().entry(address).or_default() += 1;
        }
        Ok(Open { shared: self.clone(), counted, _permit: permit })
    }

    /// Counts an attempt that waits for a connection, until the guard is dropped.
    pub fn wait(&self) -> Waiting<'_> {
        self.waiting.set(self.waiting.get() + 1);
        Waiting(&self.waiting)
    }

    /// Closes the idle connection that has been idle longest.
    fn spare(&self, to: Option<SocketAddr>) -> Option<()> {
        let pools = self.peers();
        let oldest = pools.iter().filter_map(|p| Some((p.idle_since(to)?, p)));
        let (_, pool) = oldest.min_by_key(|(since, _)| *since)?;
        pool.close_idle(to).then_some(())
    }

    /// A connection has ended or is idle: whoever waits for one looks again.
    pub fn freed(&self) {
        if self.waiting.get() == 0 {
            return;
        }
        // A pool that is being dropped gives its connections back in the middle of a look at the others.
        if let Ok(pools) = self.pools.try_borrow() {
            pools.values().filter_map(Weak::upgrade).for_each(|p| p.freed());
        }
    }

    // ---- what operators have said ----

    /// What is in force of the operators' word.
    pub fn operations(&self) -> Ledger {
        self.operations.borrow().clone()
    }

    /// Puts the operators' word in force in all pools.
    pub fn operate(&self, new: Ledger) {
        let old = self.operations.replace(new.clone());
        let pools = self.peers();
        for name in old.bans.differ(&new.bans) {
            pools.iter().for_each(|p| p.clone().reseen(&name));
        }
        if old.drain != new.drain {
            self.drained.notify_waiters();
        }
    }

    /// What operators have made of a server, and of its start as its list tells it: at this node, or at any of the fleet.
    pub fn banned(&self, name: &str, ready_at: Time) -> Banned {
        let here = self.operations.borrow().bans.view(name, ready_at);
        let fleet = self.fleet_bans.borrow().view(name, here.ready_at);
        Banned { out: here.out || fleet.out, ready_at: fleet.ready_at }
    }

    // ---- a fleet of nodes ----

    /// The servers that nodes of the fleet were told to send out, all of them. Each that is new, or no longer there, holds
    /// or is back in all pools when this returns.
    pub fn banned_by_fleet(&self, out: &BTreeSet<String>) {
        let now = self.clock.now();
        let old = self.fleet_bans.borrow().clone();
        let mut new = old.clone();
        for name in old.out().filter(|(name, _)| !out.contains(*name)) {
            new.enable(name.0, now);
        }
        for name in out {
            if let Err(full) = new.disable(name, now) {
                self.log.say(format_args!("fleet: {full}"));
            }
        }
        let differ = old.differ(&new);
        self.fleet_bans.replace(new);
        let pools = self.peers();
        for name in differ {
            pools.iter().for_each(|p| p.clone().reseen(&name));
        }
    }

    /// Applies, or ends, the condemnation of a server in all pools.
    pub fn apply_condemnation(&self, condemnation: &Condemnation) {
        self.peers().into_iter().for_each(|p| p.apply_condemnation(condemnation));
    }

    /// How many servers the lists name; one that several name is one.
    pub fn listed(&self) -> usize {
        let mut all = BTreeSet::new();
        self.peers().iter().for_each(|p| p.listed(&mut all));
        all.len()
    }

    /// The attempts of all pools that have waited past their target.
    pub fn overdue(&self) -> Vec<OverdueRequest> {
        let (now, mut all) = (self.clock.now(), Vec::new());
        self.peers().iter().for_each(|p| p.overdue(now, &mut all));
        all
    }

    /// Sets the observer of attempts and lists.
    pub fn tell_of_attempts(&self, to: Rc<dyn FleetObserver>) {
        self.observer.replace(Some(to));
    }

    /// The observer of attempts and lists, if the node is part of a fleet.
    pub fn fleet_observer(&self) -> Option<Rc<dyn FleetObserver>> {
        self.observer.borrow().clone()
    }

    /// Whether the node is being emptied.
    pub fn draining(&self) -> bool {
        self.operations.borrow().drain.is_on()
    }

    /// When a connection that has been idle since then has to go, if the node is being emptied.
    pub fn idle_until(&self, since: Instant) -> Option<Instant> {
        let until = self.operations.borrow().drain.idle_until(self.clock.time(since));
        until.map(|until| self.clock.instant(until))
    }

    /// How many processes of this node serve beside each other.
    pub fn processes(&self) -> u32 {
        self.processes.get()
    }

    /// Changes how many do. Each has its part of what a cold server may be sent.
    pub fn set_processes(&self, processes: u32) {
        if self.processes.replace(processes) != processes {
            self.peers().into_iter().for_each(Peer::review);
        }
    }

    /// Less may be held than at first, before anything is, where there is one service alone.
    pub fn shrink(&self, from: Bounds, to: Bounds) {
        self.most.set(to.upstream);
        let less = from.body_kib.saturating_sub(to.body_kib);
        self.bodies.forget_permits(less);
        self.answers.forget_permits(less);
    }

    /// More may be held from now on, where there is one service alone.
    pub fn grow(&self, from: Bounds, to: Bounds) {
        self.most.set(to.upstream);
        let more = to.body_kib.saturating_sub(from.body_kib);
        self.bodies.add_permits(more);
        self.answers.add_permits(more);
        self.freed();
    }

    /// Whether some list has named a server, now or lately, or operators have it out.
    pub fn knows(&self, name: &str) -> bool {
        self.operations.borrow().bans.is_out(name) || self.peers().iter().any(|p| p.knows(name))
    }

    fn peers(&self) -> Vec<Rc<dyn Peer>> {
        self.pools.borrow().values().filter_map(Weak::upgrade).collect()
    }

    // ---- servers that several pools list ----

    /// A number for a new pool.
    pub fn number(&self) -> PoolId {
        let id = self.next_pool.get();
        self.next_pool.set(id + 1);
        id
    }

    /// A pool has begun.
    pub fn enter(&self, id: PoolId, pool: &Rc<dyn Peer>) {
        self.pools.borrow_mut().insert(id, Rc::downgrade(pool));
    }

    /// Whether what one pool's list says concerns others.
    pub fn parts(&self) -> bool {
        self.limits.is_some()
    }

    /// What a pool's list says of a server; `None` takes it back. Whether others have to be told.
    pub fn say(&self, pool: PoolId, address: SocketAddr, line: Option<Line>) -> bool {
        self.common.borrow_mut().tell(self.clock.now(), pool, &address, line)
    }

    /// What holds for a pool when all lists are put together.
    pub fn view(&self, pool: PoolId, address: SocketAddr, own: Line, warm_after: Time) -> View {
        self.common.borrow().view(self.clock.now(), pool, &address, own, warm_after)
    }

    /// Tells the pools that list a server, but for the one that brought the news.
    pub fn retell(&self, address: SocketAddr, but: Option<PoolId>) {
        let ids: Vec<PoolId> = self.common.borrow().pools(&address).filter(|p| Some(*p) != but).collect();
        for id in ids {
            let pool = self.pools.borrow().get(&id).and_then(Weak::upgrade);
            if let Some(pool) = pool {
                pool.retold(address);
            }
        }
    }

    /// What has to be looked at from time to time: ends that no longer hold, and pools that are gone.
    pub fn tick(&self) {
        let gone: Vec<PoolId> =
            self.pools.borrow().iter().filter(|(_, p)| p.strong_count() == 0).map(|(id, _)| *id).collect();
        for id in gone {
            self.pools.borrow_mut().remove(&id);
            let left = self.common.borrow_mut().leave(id);
            left.into_iter().for_each(|address| self.retell(address, None));
        }
        let lapsed = self.common.borrow_mut().lapse(self.clock.now());
        lapsed.into_iter().for_each(|address| self.retell(address, None));
        self.peers().into_iter().for_each(Peer::tick);
    }
}

#[cfg(test)]
mod tests;
