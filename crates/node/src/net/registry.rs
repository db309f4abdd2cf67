//! Registries over sockets: a pool that follows entries, and the entry that this node has itself.
//!
//! Each has a session of its own, so that what costs one its session costs the other nothing. What is to be done is told by
//! [`reelfall_membership`]; here it is done: connect, send, read, wait.

use super::pool::Pool;
use super::shared::{Clock, Shared};
use super::source::Source;
use bytes::{Buf, Bytes, BytesMut};
use reelfall_conf::model;
use reelfall_core::engine::Place;
use reelfall_core::interface::{ListKind, ServerState, Time};
use reelfall_core::settings::Listed;
use reelfall_membership::entry::Entry;
use reelfall_membership::follow::{Follower, Limits, Report};
use reelfall_membership::own::{self, Own};
use reelfall_membership::roster::Change;
use reelfall_membership::session::{Asked, Do, Event, Session, Why, PENDING_MOST};
use reelfall_membership::wire::{Acl, Op};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::future::Future;
use std::hash::BuildHasher;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes that one read brings.
const READ: usize = 64 << 10;

/// What a session serves.
trait Part {
    /// Something has happened on the session.
    fn event(&mut self, now: Time, session: &Session, event: &Event);
    /// What is to be asked next.
    fn op(&mut self) -> Option<(u64, Op)>;
    /// Time has passed, and the session may have been heard.
    fn tick(&mut self, now: Time, session: &Session);
    /// When `tick` has something to do.
    fn deadline(&self) -> Time;
    /// All that has come has been taken in.
    fn settled(&mut self, now: Time);
    /// The session ends here, by its own wish.
    fn is_done(&self) -> bool;
}

/// A session's way to a registry.
#[derive(Clone, PartialEq)]
pub struct Way {
    members: Vec<SocketAddr>,
    timeout: Time,
    connect_within: Time,
    forget_after: Time,
    auth: Option<(String, Bytes)>,
}

impl Way {
    /// What the settings say; the proof is read from its file.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn of(registry: &model::Registry) -> Result<Way, String> {
        let proof = |path: &Path| {
            let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
            match text.trim() {
                proof if proof.contains(':') => {
                    Ok(("digest".to_owned(), Bytes::copy_from_slice(proof.as_bytes())))
                }
                _ => Err(format!("{}: write `name:password`", path.display())),
            }
        };
        Ok(Way {
            members: registry.members.clone(),
            timeout: registry.session,
            connect_within: registry.connect,
            forget_after: registry.forget_after,
            auth: registry.digest_file.as_deref().map(proof).transpose()?,
        })
    }

    fn session(&self, now: Time) -> Session {
        let asked = Asked {
            members: self.members.clone(),
            timeout: self.timeout,
            connect_within: self.connect_within,
            auth: self.auth.clone(),
            forget_after: self.forget_after,
        };
        Session::new(asked, now, RandomState::new().hash_one(now.to_bits()))
    }
}

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The socket under a session.
enum Line {
    None,
    Connecting(Connecting),
    Up(TcpStream),
}

/// What woke the driver.
enum Woken {
    Connected(io::Result<TcpStream>),
    Read(io::Result<usize>),
    Writable,
    Otherwise,
}

struct Driver<P> {
    session: Session,
    part: P,
    clock: Clock,
    line: Line,
    out: BytesMut,
    read: BytesMut,
}

impl<P: Part> Driver<P> {
    fn new(way: &Way, part: P, clock: Clock) -> Self {
        let session = way.session(clock.now());
        Driver {
            session,
            part,
            clock,
            line: Line::None,
            out: BytesMut::new(),
            read: BytesMut::with_capacity(READ),
        }
    }

    /// Runs until the part is done; `told` is for whoever has changed what the part wants.
    async fn run(mut self, told: &Notify) {
        loop {
            self.turn();
            if self.part.is_done() {
                self.session.close(self.clock.now());
                self.turn();
                // The registry drops what ends with the session when this is read; a moment, and no more.
                let _ = tokio::time::timeout(Duration::from_millis(200), self.flush()).await;
                return;
            }
            let woken = self.wait(told).await;
            let now = self.clock.now();
            match woken {
                Woken::Connected(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    self.line = Line::Up(stream);
                    self.session.connected(now);
                }
                Woken::Connected(Err(_)) | Woken::Read(Ok(0) | Err(_)) => {
                    self.line = Line::None;
                    self.session.ended(now);
                }
                Woken::Read(Ok(_)) => {
                    let bytes = self.read.split();
                    self.session.received(now, &bytes);
                }
                Woken::Writable => self.write(),
                Woken::Otherwise => {}
            }
        }
    }

    /// Takes in all that has happened and starts all that is to be done.
    fn turn(&mut self) {
        let now = self.clock.now();
        self.session.tick(now);
        self.part.tick(now, &self.session);
        loop {
            while let Some(event) = self.session.event() {
                self.part.event(now, &self.session, &event);
            }
            while self.session.is_up() && self.session.pending() < PENDING_MOST {
                let Some((token, op)) = self.part.op() else { break };
                self.session.ask(now, token, op);
            }
            let Some(to) = self.session.todo() else { break };
            match to {
                Do::Connect(address) => self.line = Line::Connecting(Box::pin(TcpStream::connect(address))),
                Do::Send(bytes) => self.out.extend_from_slice(&bytes),
                Do::Close => {
                    self.line = Line::None;
                    self.out.clear();
                    self.read.clear();
                }
            }
        }
        self.write();
        self.part.settled(now);
    }

    fn write(&mut self) {
        let Line::Up(stream) = &self.line else { return };
        while !self.out.is_empty() {
            match stream.try_write(&self.out) {
                Ok(n) => self.out.advance(n),
                // What broke shows when it is read.
                Err(_) => return,
            }
        }
    }

    async fn flush(&mut self) {
        while !self.out.is_empty() {
            let Line::Up(stream) = &self.line else { return };
            if stream.writable().await.is_err() {
                return;
            }
            self.write();
        }
    }

    async fn wait(&mut self, told: &Notify) -> Woken {
        let until = self.session.deadline().unwrap_or(f64::MAX).min(self.part.deadline());
        // Without anything due, an hour is as good as any time.
        let rest = Duration::from_secs_f64((until - self.clock.now()).clamp(0.0, 3600.0));
        let sleep = tokio::time::sleep_until((Instant::now() + rest).into());
        match &mut self.line {
            Line::None => tokio::select! {
                () = sleep => Woken::Otherwise,
                () = told.notified() => Woken::Otherwise,
            },
            Line::Connecting(connecting) => tokio::select! {
                connected = connecting.as_mut() => Woken::Connected(connected),
                () = sleep => Woken::Otherwise,
                () = told.notified() => Woken::Otherwise,
            },
            Line::Up(stream) => {
                self.read.reserve(READ);
                let (mut from, to) = stream.split();
                let writes = !self.out.is_empty();
                // News first: what a timer would do can wait for it.
                tokio::select! {
                    biased;
                    read = from.read_buf(&mut self.read) => Woken::Read(read),
                    _ = to.writable(), if writes => Woken::Writable,
                    () = told.notified() => Woken::Otherwise,
                    () = sleep => Woken::Otherwise,
                }
            }
        }
    }
}

// ---- a pool that follows entries ----

/// Entries under a path of a registry.
pub struct Registry {
    pub way: Way,
    pub path: String,
    pub limits: Limits,
    /// Servers that are taken to be there until the registry has been heard.
    pub known: Vec<model::At<model::Server>>,
}

impl Source for Registry {
    fn follow(self, pool: Rc<Pool>) -> impl Future<Output = ()> + 'static {
        if !self.known.is_empty() {
            let place = |server: &model::At<model::Server>| {
                let listed = Listed {
                    name: &server.name,
                    zone: server.zone.as_deref(),
                    kind: server.kind.as_deref(),
                    cell: 0,
                    state: server.state,
                    weight: server.weight,
                    // Nobody knows when they began: whoever wrote them down knew them for some time.
                    ready_at: Some(0.0),
                };
                Place { entry: pool.names.borrow_mut().entry(&listed), address: server.address }
            };
            let places = self.known.iter().map(place).collect();
            pool.members(ListKind::Cached, places);
        }
        let clock = pool.shared.clock;
        let follower = Follower::new(&self.path, self.limits, clock.now());
        let part = Following { pool, path: self.path, follower, told: false, refused: false };
        let driver = Driver::new(&self.way, part, clock);
        async move { driver.run(&Notify::new()).await }
    }
}

struct Following {
    pool: Rc<Pool>,
    path: String,
    follower: Follower,
    /// The pool has had a whole list.
    told: bool,
    /// It has been told that nothing counts, since the list is stale.
    refused: bool,
}

impl Following {
    fn place(&self, entry: &Entry, state: ServerState) -> Place<SocketAddr> {
        let listed = Listed {
            name: &entry.name,
            zone: entry.zone.as_deref(),
            kind: entry.kind.as_deref(),
            cell: 0,
            state,
            weight: Some(entry.weight),
            ready_at: Some(entry.started),
        };
        Place { entry: self.pool.names.borrow_mut().entry(&listed), address: entry.address }
    }

    /// A server as its entry has it, unless nothing counts.
    fn there(&self, entry: &Entry) -> Place<SocketAddr> {
        let drains = entry.draining || self.refused;
        self.place(entry, if drains { ServerState::Draining } else { ServerState::Up })
    }

    fn whole(&self) -> Vec<Place<SocketAddr>> {
        self.follower.roster().there().map(|entry| self.there(entry)).collect()
    }

    /// News of one server. Who has gone and was never told of needs no word.
    fn news(&self, change: &Change) -> Option<Place<SocketAddr>> {
        match change {
            Change::There(entry) => Some(self.there(entry)),
            Change::Gone(name) => {
                self.pool.names.borrow().servers.get(name)?;
                let gone = Listed {
                    name,
                    zone: None,
                    kind: None,
                    cell: 0,
                    state: ServerState::Gone,
                    weight: None,
                    ready_at: None,
                };
                let entry = self.pool.names.borrow_mut().entry(&gone);
                // Where it was is known to the pool.
                let address = self.pool.address_of(entry.server)?;
                Some(Place { entry, address })
            }
        }
    }

    fn heard(&mut self, session: &Session) {
        if session.is_up() {
            self.follower.heard(session.heard());
            self.pool.heard.set(Some(session.heard()));
        }
    }

    fn say(&self, report: &Report) {
        let (log, path) = (&self.pool.shared.log, &self.path);
        match report {
            Report::Entry(child, fault) => log.say(format_args!("registry {path}/{child}: {fault}")),
            Report::TooMany(most) => log.say(format_args!("registry {path}: more than {most} entries")),
            Report::NoPath => log.say(format_args!("registry {path}: there is no such path")),
            Report::NotAllowed => log.say(format_args!("registry {path}: not to be read by this session")),
            Report::Stale(age) => log.say(format_args!("registry {path}: nothing heard for {age} s")),
            Report::Fresh => log.say(format_args!("registry {path}: heard again")),
        }
    }
}

impl Part for Following {
    fn event(&mut self, now: Time, session: &Session, event: &Event) {
        match event {
            Event::Lost(why @ (Why::Wire(_) | Why::Credentials)) => {
                self.pool.shared.log.say(format_args!("registry {}: {why}", self.path));
            }
            Event::Reset => {
                self.pool.shared.log.say(format_args!("registry {}: begins anew", self.path));
            }
            _ => {}
        }
        self.heard(session);
        self.follower.event(now, event);
    }

    fn op(&mut self) -> Option<(u64, Op)> {
        self.follower.op()
    }

    fn tick(&mut self, now: Time, session: &Session) {
        self.heard(session);
        self.follower.tick(now);
    }

    fn deadline(&self) -> Time {
        self.follower.deadline()
    }

    fn settled(&mut self, _now: Time) {
        while let Some(report) = self.follower.report() {
            self.say(&report);
        }
        let refuses = self.follower.refuses();
        let flips = std::mem::replace(&mut self.refused, refuses) != refuses;
        let changes = self.follower.changes();
        if !self.told || flips {
            // Nothing is told before all of it is known: half a list would draw all work to half of the servers.
            if self.follower.is_known() {
                self.told = true;
                self.pool.members(ListKind::Full, self.whole());
            }
            return;
        }
        if !changes.is_empty() {
            let places = changes.iter().filter_map(|c| self.news(c)).collect();
            self.pool.members(ListKind::Delta, places);
        }
    }

    fn is_done(&self) -> bool {
        false
    }
}

// ---- this node's own entry ----

/// This node's entry in one registry.
pub struct Entered {
    wanted: Cell<Wanted>,
    told: Notify,
    gone: Notify,
    done: Cell<bool>,
}

#[derive(Clone, Copy, PartialEq)]
enum Wanted {
    NotYet,
    Stands,
    Gone,
}

impl Entered {
    /// Keeps an entry from when it is wanted until it is not.
    pub fn keep(shared: &Rc<Shared>, way: Way, path: String, data: own::Data, guarded: bool) -> Rc<Entered> {
        let entered = Rc::new(Entered {
            wanted: Cell::new(Wanted::NotYet),
            told: Notify::new(),
            gone: Notify::new(),
            done: Cell::new(false),
        });
        let acl = if guarded { vec![Acl::creator(), Acl::read_only()] } else { vec![Acl::open()] };
        let own = Own::new(path.clone(), data, acl);
        let part = Keeping { entered: entered.clone(), shared: shared.clone(), path, own: RefCell::new(own) };
        let driver = Driver::new(&way, part, shared.clock);
        let keeping = entered.clone();
        tokio::task::spawn_local(async move {
            driver.run(&keeping.told).await;
            keeping.done.set(true);
            keeping.gone.notify_one();
        });
        entered
    }

    /// The node is ready: the entry may stand.
    pub fn want(&self) {
        if self.wanted.get() == Wanted::NotYet {
            self.wanted.set(Wanted::Stands);
            self.told.notify_one();
        }
    }

    /// The node is on its way out: the entry goes. Waits until it has, but not for long.
    pub async fn withdraw(&self, within: Duration) {
        self.wanted.set(Wanted::Gone);
        self.told.notify_one();
        if !self.done.get() {
            let _ = tokio::time::timeout(within, self.gone.notified()).await;
        }
    }
}

struct Keeping {
    entered: Rc<Entered>,
    shared: Rc<Shared>,
    path: String,
    own: RefCell<Own>,
}

impl Part for Keeping {
    fn event(&mut self, now: Time, session: &Session, event: &Event) {
        self.own.get_mut().event(now, session.id(), event);
    }

    fn op(&mut self) -> Option<(u64, Op)> {
        self.own.get_mut().op()
    }

    fn tick(&mut self, now: Time, _session: &Session) {
        let own = self.own.get_mut();
        match self.entered.wanted.get() {
            Wanted::NotYet => {}
            Wanted::Stands => own.want(),
            Wanted::Gone => own.withdraw(),
        }
        own.tick(now);
    }

    fn deadline(&self) -> Time {
        self.own.borrow().deadline()
    }

    fn settled(&mut self, _now: Time) {
        let own = self.own.get_mut();
        let Some(report) = own.report() else { return };
        let (log, path) = (&self.shared.log, &self.path);
        match report {
            own::Report::Stands => log.say(format_args!("own entry {path}: stands")),
            own::Report::Taken(_) => log.say(format_args!("own entry {path}: somebody else's is there")),
            own::Report::Superseded => {
                log.say(format_args!("own entry {path}: a later life of this node has it"))
            }
            own::Report::Refused(why) => log.say(format_args!("own entry {path}: {why}")),
        }
    }

    fn is_done(&self) -> bool {
        self.entered.wanted.get() == Wanted::Gone && self.own.borrow().is_withdrawn()
    }
}
