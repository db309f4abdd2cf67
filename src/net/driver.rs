//! Owns the balancer, the requests in hand and the clock. Events go in, actions come out and are carried out
//! within the rules that no action may break.

use super::upstream::{self, Answer, Upstream};
use super::{Bounds, Log};
use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, Notify, OwnedSemaphorePermit};
use tokio::task::AbortHandle;
use weldpass::interface::*;
use weldpass::settings::{Figures, Vocabulary};
use weldpass::Balancer;

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
pub enum Reply {
    Served(Box<Answer>),
    Refused {
        retry_after: Option<Time>,
    },
    /// The outcome of its last attempt, if there was one.
    Failed(Option<Outcome>),
}

/// A line of the server list with its address.
pub struct Place {
    pub entry: Entry,
    pub address: SocketAddr,
}

struct Request {
    message: Rc<Message>,
    deadline: Instant,
    /// Gone once the request has its final answer or its client left.
    reply: Option<oneshot::Sender<Reply>>,
    made: u32,
    out: Option<Out>,
    last: Option<Outcome>,
}

struct Out {
    attempt: u32,
    server: ServerId,
    sent: Instant,
    task: Option<AbortHandle>,
}

/// A server that is listed, whether or not it may be sent to.
struct Listed {
    address: SocketAddr,
    state: ServerState,
    ready_at: Time,
}

/// A number of a server that is gone is not given to another while an attempt may name it.
const NUMBER_RESTS: Duration = Duration::from_secs(30);

struct Core {
    balancer: Balancer,
    requests: HashMap<RequestId, Request>,
    next: RequestId,
    servers: HashMap<ServerId, Listed>,
    /// Servers that went, oldest first, until their numbers are free.
    gone: VecDeque<(Instant, ServerId)>,
}

/// One node's balancer and all that it acts on.
pub struct Driver {
    core: RefCell<Core>,
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
    max_attempts: u32,
    discovery: Discovery,
    started: Instant,
    unix: Time,
}

impl Driver {
    /// A driver for one life of a node.
    pub fn new(
        settings: Settings, names: Vocabulary, figures: Figures, seed: u64, bounds: Bounds,
    ) -> Result<Self, String> {
        // Lists state starts in Unix time and 0 for long ago: a clock that began at 0 here would make every
        // cold server look warm.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1.0, |d| d.as_secs_f64().max(1.0));
        let conn_idle = settings.limits.conn_idle;
        Ok(Driver {
            classes: settings.classes.clone(),
            max_attempts: settings.limits.max_attempts,
            discovery: settings.discovery,
            core: RefCell::new(Core {
                balancer: Balancer::new(settings, seed, unix)?,
                requests: HashMap::new(),
                next: 0,
                servers: HashMap::new(),
                gone: VecDeque::new(),
            }),
            names: RefCell::new(names),
            ids: Ids::default(),
            upstream: Upstream::new(bounds, conn_idle),
            figures,
            log: Log::default(),
            watch: Notify::new(),
            listed: Notify::new(),
            ready: Cell::new(false),
            started: Instant::now(),
            unix,
        })
    }

    /// Lists come by themselves, or only when asked for.
    pub fn pushed(&self) -> bool {
        self.discovery == Discovery::Push
    }

    /// Some server may be sent to.
    pub fn has_servers(&self) -> bool {
        self.core.borrow().servers.values().any(|s| s.state == ServerState::Up)
    }

    fn now(&self) -> Time {
        self.unix + self.started.elapsed().as_secs_f64()
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
        let request = {
            let core = &mut *self.core.borrow_mut();
            let id = core.next;
            core.next = core.next.wrapping_add(1);
            let message = Rc::new(message);
            let request =
                Request { message, deadline: a.deadline, reply: Some(reply), made: 0, out: None, last: None };
            core.requests.insert(id, request);
            id
        };
        let left = a.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let Arrival { class, tenant, hint, key, .. } = a;
        self.feed(Event::Request { request, class, tenant, hint, key, left });
        (request, answer)
    }

    /// The client has left, or has its answer from elsewhere: nothing new is sent. An attempt that is out runs
    /// on, so that its outcome teaches and its connection lives.
    pub fn gone(self: &Rc<Self>, id: RequestId) {
        {
            let core = &mut *self.core.borrow_mut();
            let Some(request) = core.requests.get_mut(&id) else { return };
            if request.reply.take().is_none() {
                return;
            }
            if request.out.is_none() {
                core.requests.remove(&id);
            }
        }
        self.feed(Event::Gone { request: id });
    }

    /// Whether a further attempt of this request may be out.
    pub fn retried(&self, id: RequestId) -> bool {
        self.core.borrow().requests.get(&id).is_some_and(|r| r.out.is_some())
    }

    /// The address of a server, unless the newest list says that it drains or is gone.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        let core = self.core.borrow();
        core.servers.get(&server).filter(|s| s.state == ServerState::Up).map(|s| s.address)
    }

    /// An attempt has ended.
    pub fn ended(self: &Rc<Self>, id: RequestId, attempt: u32, outcome: Outcome, answer: Option<Answer>) {
        let event = {
            let core = &mut *self.core.borrow_mut();
            let Some(request) = core.requests.get_mut(&id) else { return };
            let Some(out) = request.out.take_if(|o| o.attempt == attempt) else { return };
            request.last = Some(outcome);
            if let Some(answer) = answer {
                if let Some(reply) = request.reply.take() {
                    // The client may have left in this very moment; the answer is dropped with it.
                    let _ = reply.send(Reply::Served(Box::new(answer)));
                }
            }
            let ended = request.reply.is_none();
            if ended {
                core.requests.remove(&id);
            }
            let latency = out.sent.elapsed().as_secs_f64();
            Event::Outcome { request: id, attempt, server: out.server, outcome, latency, ended, load: None }
        };
        self.feed(event);
    }

    /// News of the list. Idle connections to a server that left, restarted or moved are dropped at once, and
    /// nothing is kept of one that is gone.
    pub fn members(self: &Rc<Self>, list: ListKind, places: Vec<Place>) {
        let mut entries: Vec<Entry> = Vec::with_capacity(places.len());
        {
            let core = &mut *self.core.borrow_mut();
            if matches!(list, ListKind::Full | ListKind::Cached) {
                let named: HashSet<ServerId> = places.iter().map(|p| p.entry.server).collect();
                let missing: Vec<ServerId> =
                    core.servers.keys().filter(|id| !named.contains(id)).copied().collect();
                missing.into_iter().for_each(|id| self.remove(core, id));
            }
            for Place { entry, address } in places {
                if entry.state == ServerState::Gone {
                    self.remove(core, entry.server);
                } else {
                    if entry.state == ServerState::Up {
                        self.supplant(core, &entry, address, &mut entries);
                    }
                    let new = Listed { address, state: entry.state, ready_at: entry.ready_at };
                    let old = core.servers.insert(entry.server, new);
                    let same = old.is_some_and(|o| o.address == address && o.ready_at == entry.ready_at);
                    if !same || entry.state != ServerState::Up {
                        self.upstream.forget(entry.server);
                    }
                }
                entries.push(entry);
            }
            self.release_numbers(core);
        }
        self.feed(Event::Members { list, entries });
        self.listed.notify_waiters();
    }

    fn remove(&self, core: &mut Core, server: ServerId) {
        self.upstream.forget(server);
        if core.servers.remove(&server).is_some() {
            core.gone.push_back((Instant::now(), server));
        }
    }

    /// A server at the address of another: that one is gone, though nobody has said so yet.
    ///
    /// Guards against sending to a machine under two names while the news of the old one's end is late, which
    /// would give a cold server twice its part; it ought to catch any list that names one address twice. Harm: if
    /// two servers did share an address behind something that parts them, only the one named last gets requests.
    fn supplant(&self, core: &mut Core, by: &Entry, address: SocketAddr, entries: &mut Vec<Entry>) {
        let same = |(id, s): (&ServerId, &Listed)| (*id != by.server && s.address == address).then_some(*id);
        let olds: Vec<ServerId> = core.servers.iter().filter_map(same).collect();
        for old in olds {
            self.remove(core, old);
            // Within one list, the last to be named stays.
            entries.retain(|e| e.server != old);
            entries.push(Entry { server: old, state: ServerState::Gone, ..by.clone() });
        }
    }

    /// Names are ever new: without an end, they and what is kept by their numbers would fill the memory.
    fn release_numbers(&self, core: &mut Core) {
        while core.gone.front().is_some_and(|(since, _)| since.elapsed() > NUMBER_RESTS) {
            let Some((_, server)) = core.gone.pop_front() else { return };
            if !core.servers.contains_key(&server) && !core.gone.iter().any(|(_, other)| *other == server) {
                self.names.borrow_mut().servers.release(server);
            }
        }
    }

    fn feed(self: &Rc<Self>, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.core.borrow_mut().balancer.handle(self.now(), event, &mut actions);
            events.extend(actions.into_iter().filter_map(|a| self.act(a)));
        }
    }

    /// Carries out an action; an attempt that may not be made comes back as unused.
    fn act(self: &Rc<Self>, action: Action) -> Option<Event> {
        match action {
            Action::Attempt { request, server, timeout } => return self.attempt(request, server, timeout),
            Action::Refuse { request, retry_after } => self.close(request, Reply::Refused { retry_after }),
            Action::Fail { request } => {
                let last = self.core.borrow().requests.get(&request).and_then(|r| r.last);
                self.close(request, Reply::Failed(last));
            }
            Action::Cancel { request, attempt } => {
                let core = self.core.borrow();
                let out = core.requests.get(&request).and_then(|r| r.out.as_ref());
                let task = out.filter(|o| o.attempt == attempt).and_then(|o| o.task.clone());
                drop(core);
                if let Some(task) = task {
                    task.abort();
                    self.ended(request, attempt, Outcome::Revoked, None);
                }
            }
            Action::Watch => self.watch.notify_one(),
            Action::Timer { after, tag } => {
                let driver = self.clone();
                let after = Duration::try_from_secs_f64(after).unwrap_or_default();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(after).await;
                    driver.feed(Event::Timer { tag });
                });
            }
            // Probes are allowed nowhere yet, and the module sends none.
            Action::Probe { server } => {
                return Some(Event::Probed { server, outcome: Outcome::Unused, load: None });
            }
        }
        None
    }

    fn close(&self, id: RequestId, with: Reply) {
        let core = &mut *self.core.borrow_mut();
        let Some(request) = core.requests.get_mut(&id) else { return };
        if let Some(reply) = request.reply.take() {
            let _ = reply.send(with);
        }
        if request.out.is_none() {
            core.requests.remove(&id);
        }
    }

    /// Starts an attempt, but none after the end of a request, past the most it may have, beside another, or
    /// to a server that no list has named.
    fn attempt(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: Option<Time>) -> Option<Event> {
        let mut core = self.core.borrow_mut();
        let listed = core.servers.contains_key(&server);
        let request = core.requests.get_mut(&id);
        let open = request.filter(|r| {
            r.reply.as_ref().is_some_and(|reply| !reply.is_closed())
                && r.out.is_none()
                && r.made < self.max_attempts
        });
        let Some(request) = open.filter(|_| listed) else {
            let attempt = core.requests.get_mut(&id).map_or(0, |r| {
                r.made += 1;
                r.made - 1
            });
            let (outcome, ended) = (Outcome::Unused, !core.requests.contains_key(&id));
            return Some(Event::Outcome {
                request: id,
                attempt,
                server,
                outcome,
                latency: 0.0,
                ended,
                load: None,
            });
        };
        let sent = Instant::now();
        let attempt = request.made;
        request.made += 1;
        request.out = Some(Out { attempt, server, sent, task: None });
        let within = timeout.and_then(|t| Duration::try_from_secs_f64(t.max(0.0)).ok());
        let expires =
            within.and_then(|t| sent.checked_add(t)).map_or(request.deadline, |t| t.min(request.deadline));
        let (driver, message) = (self.clone(), request.message.clone());
        let run = upstream::attempt(driver, id, attempt, server, message, expires);
        let task = tokio::task::spawn_local(run).abort_handle();
        if let Some(out) = &mut request.out {
            out.task = Some(task);
        }
        None
    }
}
