//! One pool of servers at work: feeds its [`Engine`] with what happens on the sockets and carries out what the
//! engine wants done. No choice is made here.

use super::upstream::{self, Answer, Upstream};
use super::{Bounds, Log};
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use reelfall_core::engine::{self, Command, Engine, Final, Place};
use reelfall_core::interface::*;
use reelfall_core::settings::{Figures, Vocabulary};
use reelfall_core::Balancer;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;

/// A request as it goes to a server, the same at every attempt.
pub struct Message {
    pub method: Method,
    pub path: PathAndQuery,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the body holds of the budget for bodies.
    pub _held: Option<OwnedSemaphorePermit>,
    /// Its id, taken for as long as an attempt may be out.
    pub _id: OpenId,
}

type Ids = Rc<RefCell<HashSet<Box<[u8]>>>>;

/// An id of a request that is open here; it is free again when this is dropped.
pub struct OpenId {
    ids: Ids,
    id: Box<[u8]>,
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// What the module is told of a request.
pub struct Arrival {
    pub class: ClassId,
    pub tenant: Option<TenantId>,
    pub hint: Option<f64>,
    pub key: Option<u64>,
    /// The node's last word is due then.
    pub deadline: Instant,
}

/// The one final answer of a request.
pub type Reply = Final<Box<Answer>>;

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

/// The moments of the engine. Lists state starts in Unix time and 0 for long ago: a clock that began at 0 here
/// would make every cold server look warm.
#[derive(Clone, Copy)]
struct Clock {
    started: Instant,
    unix: Time,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1.0, |d| d.as_secs_f64().max(1.0));
        Clock { started: Instant::now(), unix }
    }

    fn now(&self) -> Time {
        self.time(Instant::now())
    }

    fn time(&self, at: Instant) -> Time {
        self.unix + at.saturating_duration_since(self.started).as_secs_f64()
    }

    fn instant(&self, at: Time) -> Instant {
        let since = Duration::try_from_secs_f64(at - self.unix).unwrap_or_default();
        self.started.checked_add(since).unwrap_or(self.started)
    }
}

/// The engine of one pool and all that it acts on.
pub struct Pool {
    engine: RefCell<Engine<Wire>>,
    /// Kept between calls for its room.
    commands: Cell<Vec<Command<Wire>>>,
    pub names: RefCell<Vocabulary>,
    ids: Ids,
    pub classes: Vec<Class>,
    pub upstream: Upstream,
    pub figures: Figures,
    pub log: Log,
    /// The module asks for a watch.
    pub watch: Notify,
    /// A list has come.
    pub listed: Notify,
    /// Requests can be served.
    pub ready: Cell<bool>,
    discovery: Discovery,
    clock: Clock,
}

impl Pool {
    /// A pool without servers, for one life of a node.
    ///
    /// # Errors
    /// Says which setting cannot be used.
    pub fn new(
        settings: Settings, names: Vocabulary, figures: Figures, seed: u64, bounds: Bounds,
    ) -> Result<Self, String> {
        let clock = Clock::start();
        let (classes, conn_idle) = (settings.classes.clone(), settings.limits.conn_idle);
        let (max_attempts, discovery) = (settings.limits.max_attempts, settings.discovery);
        let module = Balancer::new(settings, seed, clock.unix)?;
        Ok(Pool {
            engine: RefCell::new(Engine::new(module, &classes, max_attempts)),
            commands: Cell::default(),
            names: RefCell::new(names),
            ids: Ids::default(),
            classes,
            upstream: Upstream::new(bounds, conn_idle, figures.connect_timeout),
            figures,
            log: Log::default(),
            watch: Notify::new(),
            listed: Notify::new(),
            ready: Cell::new(false),
            discovery,
            clock,
        })
    }

    /// Lists come by themselves, or only when asked for.
    pub fn pushed(&self) -> bool {
        self.discovery == Discovery::Push
    }

    /// Some server may be sent to.
    pub fn has_servers(&self) -> bool {
        self.engine.borrow().has_servers()
    }

    /// Takes an id for a request, unless an open one has it.
    ///
    /// Guards against a client that uses the id of another's request, so that servers, which know a request by
    /// it, would see a second copy; it ought to catch a proxy before this node that sends twice as well. Bounded
    /// by the requests that are open. Harm: a client that reuses an id too soon is told so and has to take a new.
    pub fn claim(&self, id: &[u8]) -> Option<OpenId> {
        let id: Box<[u8]> = id.into();
        self.ids.borrow_mut().insert(id.clone()).then(|| OpenId { ids: self.ids.clone(), id })
    }

    /// Takes a request in. Its final answer comes over the channel.
    pub fn submit(self: &Rc<Self>, message: Message, a: Arrival) -> (RequestId, oneshot::Receiver<Reply>) {
        let (reply, answer) = oneshot::channel();
        let Arrival { class, tenant, hint, key, deadline } = a;
        let deadline = self.clock.time(deadline);
        let arrival = engine::Arrival { class, tenant, hint, key, deadline };
        let ticket = Ticket { message: Rc::new(message), task: None };
        let id = self.tell(|engine, now, out| engine.submit(now, ticket, reply, arrival, out));
        (id, answer)
    }

    /// The client has left, or has its answer from elsewhere: nothing new is sent.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        self.tell(|engine, now, out| engine.gone(now, id, out));
    }

    /// News of the list.
    pub fn members(self: &Rc<Self>, list: ListKind, places: Vec<Place<SocketAddr>>) {
        self.tell(|engine, now, out| engine.members(now, list, places, out));
        self.listed.notify_waiters();
    }

    /// Tells the engine something and carries out what it wants done.
    fn tell<R>(
        self: &Rc<Self>, what: impl FnOnce(&mut Engine<Wire>, Time, &mut Vec<Command<Wire>>) -> R,
    ) -> R {
        let mut commands = self.commands.take();
        let result = what(&mut self.engine.borrow_mut(), self.clock.now(), &mut commands);
        for command in commands.drain(..) {
            self.carry_out(command);
        }
        self.commands.set(commands);
        result
    }

    fn carry_out(self: &Rc<Self>, command: Command<Wire>) {
        match command {
            Command::Send { request, attempt, server, expires } => {
                let mut engine = self.engine.borrow_mut();
                let Some(ticket) = engine.payload(request) else { return };
                let (pool, message) = (self.clone(), ticket.message.clone());
                let expires = self.clock.instant(expires);
                let run = upstream::attempt(pool, request, attempt, server, message, expires);
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

impl upstream::Host for Rc<Pool> {
    fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    fn log(&self) -> &Log {
        &self.log
    }

    fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.engine.borrow().address(server).copied()
    }

    fn retried(&self, request: RequestId) -> bool {
        self.engine.borrow().retried(request)
    }

    fn ended(&self, request: RequestId, attempt: u32, outcome: Outcome, answer: Option<Answer>) {
        let answer = answer.map(Box::new);
        self.tell(|engine, now, out| engine.ended(now, request, attempt, outcome, answer, out));
    }
}
