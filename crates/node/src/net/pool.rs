//! One pool of servers at work: feeds its [`Engine`] with what happens on the sockets and carries out what the
//! engine wants done. No choice is made here.

use super::answer::{Answer, Reply};
use super::message::{Arrival, Message};
use super::shared::{Condemnation, OverdueRequest, Peer, PoolId, Shared};
use super::upstream::{self, Times, Upstream};
use super::Chance;
use reelfall_core::engine::{self, Command, Engine, Place};
use reelfall_core::interface::*;
use reelfall_core::settings::{Figures, Vocabulary};
use reelfall_core::Balancer;
use reelfall_fleet::entry::ServerInstance;
use reelfall_fleet::observer::AttemptOutcome;
use reelfall_routes::common::{Line, Word};
use reelfall_routes::limits::Member;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

/// What is kept with a request for as long as an attempt of it may be out.
struct Ticket {
    message: Rc<Message>,
    task: Option<AbortHandle>,
}

/// The engine's requests are sent over sockets.
struct Wire;

impl engine::Host for Wire {
    type Payload = Ticket;
    type Reply = oneshot::Sender<Reply>;
    type Address = SocketAddr;
    type Answer = Box<Answer>;
}

/// The engine of one pool and all that it acts on.
pub struct Pool {
    pub id: PoolId,
    engine: RefCell<Engine<Wire>>,
    /// Kept between calls for its room.
    commands: Cell<Vec<Command<Wire>>>,
    pub names: RefCell<Vocabulary>,
    pub shared: Rc<Shared>,
    /// What this pool's list says, where other lists may say something of the same servers.
    own: RefCell<Own>,
    /// Whether a server that the list no longer names has ended, or may serve others still.
    missing: Missing,
    /// A server is warm so long after its start, in seconds.
    warm_after: Time,
    /// Cold servers that this pool may not send to until then.
    withheld: RefCell<HashMap<SocketAddr, Time>>,
    pub classes: Vec<Class>,
    pub upstream: Upstream,
    pub figures: Figures,
    /// The module asks for a watch.
    pub watch: Notify,
    /// A list has come.
    pub listed: Notify,
    /// Requests can be served.
    pub ready: Cell<bool>,
    /// When the source of the list was last heard, where that tells how old the list is.
    pub heard: Cell<Option<Time>>,
    discovery: Discovery,
    /// For rests that must not come in step with other nodes'.
    pub chance: Chance,
}

/// A list as its source has it, before other lists add anything.
#[derive(Default)]
struct Own {
    places: HashMap<ServerId, Place<SocketAddr>>,
    /// The servers at each address.
    at: HashMap<SocketAddr, Vec<ServerId>>,
}

impl Own {
    fn insert(&mut self, place: &Place<SocketAddr>) -> Option<Place<SocketAddr>> {
        let old = self.remove(place.entry.server);
        self.at.entry(place.address).or_default().push(place.entry.server);
        self.places.insert(place.entry.server, place.clone());
        old
    }

    fn remove(&mut self, server: ServerId) -> Option<Place<SocketAddr>> {
        let old = self.places.remove(&server)?;
        if let Some(at) = self.at.get_mut(&old.address) {
            at.retain(|s| *s != server);
            if at.is_empty() {
                self.at.remove(&old.address);
            }
        }
        Some(old)
    }

    /// The servers that the list has at an address.
    fn at(&self, address: &SocketAddr) -> impl Iterator<Item = &Place<SocketAddr>> {
        self.at.get(address).into_iter().flatten().filter_map(|s| self.places.get(s))
    }

    fn has(&self, address: &SocketAddr) -> bool {
        self.at.contains_key(address)
    }
}

/// What it means that a list no longer names a server.
#[derive(Clone, Copy, PartialEq)]
pub enum Missing {
    /// The server has ended: the list follows servers.
    Ended,
    /// This pool has no use for it any more: the list is somebody's settings.
    Unused,
}

impl Pool {
    /// A pool without servers, for one life of a node.
    ///
    /// # Errors
    /// Says which setting cannot be used.
    pub fn new(
        settings: Settings, names: Vocabulary, figures: Figures, seed: u64, missing: Missing,
        shared: Rc<Shared>, member: Option<Member>,
    ) -> Result<Rc<Self>, String> {
        let (classes, conn_idle) = (settings.classes.clone(), settings.limits.conn_idle);
        let (max_attempts, discovery) = (settings.limits.max_attempts, settings.discovery);
        let warm_after = settings.rules.warm_after;
        let module = Balancer::new(settings, seed, shared.clock.now())?;
        let upstream = Upstream::new(shared.clone(), member, conn_idle, figures.connect_timeout);
        let pool = Rc::new(Pool {
            id: shared.number(),
            engine: RefCell::new(Engine::new(module, &classes, max_attempts)),
            commands: Cell::default(),
            names: RefCell::new(names),
            shared,
            own: RefCell::default(),
            missing,
            warm_after,
            withheld: RefCell::default(),
            classes,
            upstream,
            figures,
            watch: Notify::new(),
            listed: Notify::new(),
            ready: Cell::new(false),
            heard: Cell::new(None),
            discovery,
            chance: Chance::new(seed),
        });
        pool.shared.enter(pool.id, &(pool.clone() as Rc<dyn Peer>));
        Ok(pool)
    }

    /// Lists come by themselves, or only when asked for.
    pub fn pushed(&self) -> bool {
        self.discovery == Discovery::Push
    }

    /// Some server may be sent to.
    pub fn has_servers(&self) -> bool {
        self.engine.borrow().has_servers()
    }

    /// Seconds since the source of the list was last heard, where that tells how old the list is.
    pub fn list_age(&self) -> Option<Time> {
        self.heard.get().map(|heard| (self.shared.clock.now() - heard).max(0.0))
    }

    /// Where a server of this list is, where several pools may list it.
    pub fn address_of(&self, server: ServerId) -> Option<SocketAddr> {
        self.own.borrow().places.get(&server).map(|p| p.address)
    }

    /// What the module has learned, for a process that takes over.
    pub fn learned(&self) -> serde_json::Value {
        let learned = self.engine.borrow().module().learned(self.shared.clock.now());
        // Numbers and plain lists always have a form.
        serde_json::to_value(learned).unwrap_or_default()
    }

    /// Takes in what another process has learned; what can't be read is left.
    pub fn adopt(&self, learned: &serde_json::Value) {
        match Learned::deserialize(learned) {
            Ok(learned) => self.engine.borrow_mut().adopt(self.shared.clock.now(), &learned),
            Err(e) => self.shared.log.say(format_args!("what was learned can't be read: {e}")),
        }
    }

    /// Requests that have no final answer yet, or an attempt that is out.
    pub fn open(&self) -> usize {
        self.engine.borrow().open()
    }

    /// Takes a request in. Its final answer comes over the channel.
    pub fn submit(self: &Rc<Self>, message: Message, a: Arrival) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, answer) = oneshot::channel();
        let Arrival { class, tenant, hint, key, deadline, flows } = a;
        let deadline = self.shared.clock.time(deadline);
        let flows = flows.map(|flows| flows.as_secs_f64());
        let arrival = engine::Arrival { class, tenant, hint, key, deadline, flows };
        let ticket = Ticket { message: Rc::new(message), task: None };
        let id = self.tell(|engine, now, out| engine.submit(now, ticket, reply, arrival, out));
        (id, answer)
    }

    /// The client has left, or has its answer from elsewhere: nothing new is sent.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        self.tell(|engine, now, out| engine.gone(now, id, out));
    }

    /// News of the list.
    pub fn members(self: &Rc<Self>, list: ListKind, mut places: Vec<Place<SocketAddr>>) {
        let told = self.compare(list, &mut places);
        self.tell(|engine, now, out| engine.members(now, list, places, out));
        self.listed.notify_waiters();
        told.into_iter().for_each(|address| self.shared.retell(address, Some(self.id)));
    }

    /// Puts this list beside those of other pools, and gives the servers of which others have to be told.
    fn compare(&self, list: ListKind, places: &mut [Place<SocketAddr>]) -> Vec<SocketAddr> {
        let mut own = self.own.borrow_mut();
        let mut told = Vec::new();
        let parts = self.shared.parts();
        let mut say = |address, line| {
            if parts && self.shared.say(self.id, address, line) {
                told.push(address);
            }
        };
        if matches!(list, ListKind::Full | ListKind::Cached) {
            let named: HashSet<ServerId> = places.iter().map(|p| p.entry.server).collect();
            let missing: Vec<ServerId> =
                own.places.keys().filter(|id| !named.contains(id)).copied().collect();
            let missing: Vec<_> = missing.into_iter().filter_map(|id| own.remove(id)).collect();
            for p in missing.iter().filter(|p| !own.has(&p.address)) {
                let gone = self.line(Word::Gone, p.entry.ready_at);
                say(p.address, (self.missing == Missing::Ended).then_some(gone));
                self.withheld.borrow_mut().remove(&p.address);
            }
        }
        for place in places.iter_mut() {
            let word = word(place.entry.state);
            let old = match place.entry.state {
                ServerState::Gone => own.remove(place.entry.server),
                _ => own.insert(place),
            };
            if let Some(old) = old.filter(|old| old.address != place.address && !own.has(&old.address)) {
                say(old.address, None);
                self.withheld.borrow_mut().remove(&old.address);
            }
            // A server that took the place of another at its address is not gone with that one's name.
            if word != Word::Gone || !own.has(&place.address) {
                say(place.address, Some(self.line(word, place.entry.ready_at)));
            }
            self.adjust(place);
        }
        told
    }

    fn line(&self, word: Word, ready_at: Time) -> Line {
        Line { word, ready_at, known: self.missing == Missing::Ended }
    }

    /// What holds of a server: what this list says, what other lists add, and what operators say before all.
    fn adjust(&self, place: &mut Place<SocketAddr>) {
        if self.shared.parts() {
            self.adjust_to_lists(place);
        }
        let entry = &mut place.entry;
        let names = self.names.borrow();
        let Some(name) = names.servers.name(entry.server) else { return };
        entry.sharers *= self.shared.processes();
        let view = self.shared.banned(name, entry.ready_at);
        entry.ready_at = view.ready_at;
        if view.out && entry.state == ServerState::Up {
            entry.state = ServerState::Draining;
        }
    }

    fn adjust_to_lists(&self, place: &mut Place<SocketAddr>) {
        let Place { entry, address } = place;
        let own = self.line(word(entry.state), entry.ready_at);
        let view = self.shared.view(self.id, *address, own, self.warm_after);
        (entry.sharers, entry.ready_at) = (view.sharers, view.ready_at);
        let mut withheld = self.withheld.borrow_mut();
        match view.withheld.filter(|_| entry.state == ServerState::Up) {
            Some(until) => drop(withheld.insert(*address, until)),
            None => drop(withheld.remove(address)),
        }
        if entry.state == ServerState::Up && (view.drained || view.withheld.is_some()) {
            entry.state = ServerState::Draining;
        }
    }

    /// The instance of a server as the whole fleet knows it. A list that is written by hand tells of no start: when its
    /// file was read is different on each node.
    fn instance_of(&self, server: ServerId) -> Option<ServerInstance> {
        let since = match self.missing {
            Missing::Ended => self.own.borrow().places.get(&server)?.entry.ready_at,
            Missing::Unused => 0.0,
        };
        let name = self.names.borrow().servers.name(server)?.to_owned();
        Some(ServerInstance { name, since: (since.max(0.0) * 1e3).round() as u64 })
    }

    /// Tells the fleet's observer how an attempt ended.
    fn report_outcome(&self, request: RequestId, attempt: u32, outcome: Outcome) {
        let Some(observer) = self.shared.fleet_observer() else { return };
        let Some((server, class, sent)) = self.engine.borrow().attempt_of(request, attempt) else { return };
        let Some(aim) = self.classes.get(usize::from(class)).map(|c| c.aim) else { return };
        let waited = self.shared.clock.now() - sent;
        let Some(attempt) = attempt_outcome(outcome, waited, aim) else { return };
        if let Some(instance) = self.instance_of(server) {
            observer.attempt_ended(instance, attempt);
        }
    }

    /// Tells the engine something and carries out what it wants done.
    fn tell<R>(
        self: &Rc<Self>, what: impl FnOnce(&mut Engine<Wire>, Time, &mut Vec<Command<Wire>>) -> R,
    ) -> R {
        let mut commands = self.commands.take();
        let result = what(&mut self.engine.borrow_mut(), self.shared.clock.now(), &mut commands);
        for command in commands.drain(..) {
            self.carry_out(command);
        }
        self.commands.set(commands);
        result
    }

    fn carry_out(self: &Rc<Self>, command: Command<Wire>) {
        match command {
            Command::Send { request, attempt, server, starts_by, expires } => {
                let mut engine = self.engine.borrow_mut();
                let Some(ticket) = engine.payload(request) else { return };
                let (pool, message) = (self.clone(), ticket.message.clone());
                let clock = &self.shared.clock;
                let times = Times { starts_by: clock.instant(starts_by), expires: clock.instant(expires) };
                let run = upstream::attempt(pool, request, attempt, server, message, times);
                ticket.task = Some(tokio::task::spawn_local(run).abort_handle());
            }
            Command::Abort { request, .. } => {
                let task = self.engine.borrow_mut().payload(request).and_then(|t| t.task.take());
                if let Some(task) = task {
                    task.abort();
                }
            }
            // The client may have left in this very moment; the answer is dropped with it.
            Command::Answer { to, answer, .. } => drop(to.send(answer)),
            Command::Watch => self.watch.notify_one(),
            Command::Timer { after, tag } => {
                // A pool that is removed ends with its last request, not with its last timer.
                let pool = Rc::downgrade(self);
                let after = Duration::try_from_secs_f64(after).unwrap_or_default();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    if let Some(pool) = pool.upgrade() {
                        pool.tell(|engine, now, out| engine.timer(now, tag, out));
                    }
                });
            }
            Command::Forget { server } => self.upstream.forget(server),
            Command::Release { server } => self.names.borrow_mut().servers.release(server),
        }
    }
}

/// What the outcome of an attempt tells others about its server. A client with a short deadline tells nothing.
fn attempt_outcome(outcome: Outcome, waited: Time, aim: Time) -> Option<AttemptOutcome> {
    match outcome {
        Outcome::Delivered if waited <= aim => Some(AttemptOutcome::Answered),
        Outcome::Delivered => Some(AttemptOutcome::AnsweredLate),
        Outcome::Error => Some(AttemptOutcome::ServerError),
        Outcome::Dropped => Some(AttemptOutcome::ConnectionBroken),
        Outcome::Shed => Some(AttemptOutcome::Shed),
        Outcome::Expired if waited >= aim => Some(AttemptOutcome::TimedOut),
        Outcome::DialFailed => Some(AttemptOutcome::Unreachable),
        Outcome::Expired | Outcome::Revoked | Outcome::Unused => None,
    }
}

fn word(state: ServerState) -> Word {
    match state {
        ServerState::Up => Word::Up,
        ServerState::Draining => Word::Draining,
        ServerState::Gone => Word::Gone,
    }
}

impl Peer for Pool {
    fn idle_since(&self, to: Option<SocketAddr>) -> Option<Instant> {
        self.upstream.oldest_idle(to)
    }

    fn close_idle(&self, to: Option<SocketAddr>) -> bool {
        self.upstream.drop_oldest_idle(to)
    }

    fn freed(&self) {
        self.upstream.freed();
    }

    fn tick(self: Rc<Self>) {
        self.upstream.retire();
        let now = self.shared.clock.now();
        let warm = |(address, until): (&SocketAddr, &Time)| (*until <= now).then_some(*address);
        let warm: Vec<SocketAddr> = self.withheld.borrow().iter().filter_map(warm).collect();
        warm.into_iter().for_each(|address| self.clone().retold(address));
    }

    fn reseen(self: Rc<Self>, name: &str) {
        let server = self.names.borrow().servers.get(name);
        let address = server.and_then(|server| self.address_of(server));
        if let Some(address) = address {
            self.retold(address);
        }
    }

    fn review(self: Rc<Self>) {
        let mut places: Vec<Place<SocketAddr>> = self.own.borrow().places.values().cloned().collect();
        // The order in which they were named tells which of two at one address holds.
        places.sort_unstable_by_key(|p| p.entry.server);
        places.iter_mut().for_each(|p| self.adjust(p));
        places.retain(|p| self.engine.borrow().lists(p.entry.server));
        if !places.is_empty() {
            self.tell(|engine, now, out| engine.members(now, ListKind::Delta, places, out));
        }
    }

    fn knows(&self, name: &str) -> bool {
        self.names.borrow().servers.get(name).is_some()
    }

    fn listed(&self, to: &mut BTreeSet<ServerInstance>) {
        let servers: Vec<ServerId> = self.own.borrow().places.keys().copied().collect();
        to.extend(servers.into_iter().filter_map(|server| self.instance_of(server)));
    }

    fn overdue(&self, now: Time, to: &mut Vec<OverdueRequest>) {
        let engine = self.engine.borrow();
        for (server, class, since) in engine.waits() {
            let Some(aim) = self.classes.get(usize::from(class)).map(|c| c.aim) else { continue };
            let waited = now - since;
            if waited > aim {
                to.extend(self.instance_of(server).map(|server| OverdueRequest { server, waited, aim }));
            }
        }
    }

    fn apply_condemnation(self: Rc<Self>, condemnation: &Condemnation) {
        let server = self.names.borrow().servers.get(&condemnation.server.name);
        // The condemnation of one instance says nothing about another.
        let Some(server) = server.filter(|s| self.instance_of(*s).as_ref() == Some(&condemnation.server))
        else {
            return;
        };
        let Condemnation { until, is_prober, .. } = *condemnation;
        self.tell(|engine, now, out| engine.told(now, server, until, is_prober, out));
    }

    fn retold(self: Rc<Self>, address: SocketAddr) {
        let mut places: Vec<Place<SocketAddr>> = self.own.borrow().at(&address).cloned().collect();
        places.iter_mut().for_each(|p| self.adjust(p));
        if !places.is_empty() {
            self.tell(|engine, now, out| engine.members(now, ListKind::Delta, places, out));
        }
    }
}

impl upstream::Host for Rc<Pool> {
    fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.engine.borrow().address(server).copied()
    }

    fn wanted(&self, request: RequestId) -> bool {
        let mut engine = self.engine.borrow_mut();
        engine.wanted(request) && engine.payload(request).is_some_and(|t| !t.message.waiter.has_left())
    }

    fn retried(&self, request: RequestId) -> bool {
        self.engine.borrow().retried(request)
    }

    fn spend(&self, request: RequestId) {
        self.engine.borrow_mut().spend(request);
    }

    fn written(&self, request: RequestId) -> Option<Instant> {
        let deadline = self.tell(|engine, now, out| engine.written(now, request, out));
        deadline.map(|deadline| self.shared.clock.instant(deadline))
    }

    fn ended(&self, request: RequestId, attempt: u32, outcome: Outcome, answer: Option<Answer>) {
        let answer = answer.map(Box::new);
        self.report_outcome(request, attempt, outcome);
        self.tell(|engine, now, out| engine.ended(now, request, attempt, outcome, answer, out));
    }
}
