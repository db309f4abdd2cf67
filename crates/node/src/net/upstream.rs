//! The server side: attempts, and the idle connections of each server.

mod attempt;
mod socket;

pub use attempt::{attempt, Times};

use super::answer::Answer;
use super::body::PayloadBody;
use super::shared::{ConnectionPermit, Shared};
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderName;
use reelfall_balancer::interface::{Outcome, RequestId, ServerId, Time};
use reelfall_routing::budget::Denied;
use reelfall_routing::keep_alive::KeepAlive;
use reelfall_routing::limits::Member;
use socket::Socket;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Part of the servers' idle time after which a connection is no longer used: a request written as the server
/// closes would end as a reset, and might have run.
const IDLE_PART: f64 = 0.8;

/// Time left for a request, in seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");

/// What attempts need to know and whom they tell: the pool that they are made for.
pub trait Host: Clone + 'static {
    /// The connections to use.
    fn upstream(&self) -> &Upstream;
    /// The address of a server, unless the newest list says that it drains or is gone.
    fn address(&self, server: ServerId) -> Option<SocketAddr>;
    /// Whether somebody still waits for the answer to a request.
    fn wanted(&self, request: RequestId) -> bool;
    /// Whether a further attempt of this request may be out.
    fn retried(&self, request: RequestId) -> bool;
    /// Some of the body of a request is gone: no further attempt can have it.
    fn spend(&self, request: RequestId);
    /// The last byte of the body of a request has been written; when its answer is due, if that was not known before.
    fn written(&self, request: RequestId) -> Option<Instant>;
    /// An attempt has ended.
    fn ended(&self, request: RequestId, attempt: u32, outcome: Outcome, answer: Option<Answer>);
}

/// A connection to a server. It is closed when this is dropped.
pub struct Connection {
    send: SendRequest<PayloadBody>,
    socket: Rc<Socket>,
    since: Instant,
    /// It has brought an answer.
    used: bool,
    server: ServerId,
    address: SocketAddr,
    generation: u64,
    task: AbortHandle,
    _open: ConnectionPermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The server hears of it now, not once the runtime has let the task go: whatever is opened in its place comes
        // later, so that a server that bounds its connections never sees one too many.
        let _ = socket2::SockRef::from(&self.socket.stream).shutdown(std::net::Shutdown::Both);
        self.task.abort();
    }
}

/// The idle connections of a listed server.
struct Pool {
    /// The most recently used last.
    idle: Vec<Connection>,
    /// Connections of an earlier generation do not come back.
    generation: u64,
}

/// The connections to all servers.
pub struct Upstream {
    pools: RefCell<HashMap<ServerId, Pool>>,
    generations: Cell<u64>,
    shared: Rc<Shared>,
    /// The books that its connections and answers are kept in, where there are several services.
    member: Option<Member>,
    /// Whoever waits for a connection looks again.
    freed: Notify,
    keep_alive: Cell<KeepAlive>,
    /// When idle connections were looked through last.
    last_retired: Cell<Instant>,
    connect_within: Duration,
}

impl Upstream {
    /// No connections yet.
    pub fn new(
        shared: Rc<Shared>,
        member: Option<Member>,
        conn_idle: Time,
        connect_timeout: Time,
    ) -> Self {
        Upstream {
            pools: RefCell::default(),
            generations: Cell::new(0),
            shared,
            member,
            freed: Notify::new(),
            keep_alive: Cell::new(KeepAlive::new(conn_idle * IDLE_PART)),
            last_retired: Cell::new(Instant::now()),
            connect_within: Duration::try_from_secs_f64(connect_timeout).unwrap_or_default(),
        }
    }

    /// Drops the idle connections to a server and lets none that is in use come back. Nothing of it is kept.
    pub fn forget(&self, server: ServerId) {
        self.pools.borrow_mut().remove(&server);
    }

    /// Closes what has stood idle for too long or was closed from the other side.
    pub fn retire(&self) {
        let now = Instant::now();
        let mut keep_alive = self.keep_alive.get();
        keep_alive.tick((now - self.last_retired.replace(now)).as_secs_f64());
        self.keep_alive.set(keep_alive);
        let idle = self.idle();
        for pool in self.pools.borrow_mut().values_mut() {
            pool.idle
                .retain(|c| now - c.since < idle && !c.send.is_closed() && c.socket.is_quiet());
        }
    }

    /// How long an idle connection is kept now.
    fn idle(&self) -> Duration {
        Duration::try_from_secs_f64(self.keep_alive.get().seconds()).unwrap_or(Duration::MAX)
    }

    /// A server has turned a new connection away.
    fn note_refused_connection(&self) {
        let mut keep_alive = self.keep_alive.get();
        keep_alive.turned_away();
        self.keep_alive.set(keep_alive);
    }

    fn take(&self, server: ServerId) -> Option<Connection> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&server)?;
        let (mut at, idle) = (pool.idle.len(), self.idle());
        while at > 0 {
            at -= 1;
            let c = pool.idle.get(at)?;
            if c.send.is_closed() || c.since.elapsed() >= idle || !c.socket.is_quiet() {
                pool.idle.remove(at);
            } else if c.send.is_ready() {
                return Some(pool.idle.remove(at));
            }
        }
        None
    }

    fn put(&self, mut connection: Connection) {
        if connection.send.is_closed() {
            return;
        }
        (connection.since, connection.used) = (Instant::now(), true);
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .get_mut(&connection.server)
            .filter(|p| p.generation == connection.generation);
        if let Some(pool) = pool {
            pool.idle.push(connection);
            self.shared.notify_connection_freed();
        }
    }

    /// Room for one more connection. A service that has all that it may lets one of its own go.
    fn reserve_connection(&self, address: SocketAddr) -> Option<ConnectionPermit> {
        match self.shared.reserve_connection(address, self.member) {
            Err(Denied::Most) if self.drop_oldest_idle(None) => {
                self.shared.reserve_connection(address, self.member).ok()
            }
            reserved => reserved.ok(),
        }
    }

    /// Whoever waits for a connection looks again.
    pub fn freed(&self) {
        self.freed.notify_one();
    }

    /// How long the longest idle connection has been idle: since when. To one address, or to any.
    pub fn oldest_idle(&self, to: Option<SocketAddr>) -> Option<Instant> {
        let pools = self.pools.borrow();
        let fits = |c: &&Connection| to.is_none_or(|to| c.address == to);
        pools
            .values()
            .filter_map(|p| p.idle.first().filter(fits))
            .map(|c| c.since)
            .min()
    }

    /// Closes that connection; whether there was one.
    pub fn drop_oldest_idle(&self, to: Option<SocketAddr>) -> bool {
        let mut pools = self.pools.borrow_mut();
        let first = |p: &Pool| {
            p.idle
                .first()
                .filter(|c| to.is_none_or(|to| c.address == to))
                .map(|c| c.since)
        };
        let oldest = pools
            .values_mut()
            .filter_map(|p| Some((first(p)?, p)))
            .min_by_key(|(since, _)| *since);
        oldest.map(|(_, pool)| pool.idle.remove(0)).is_some()
    }

    fn generation(&self, server: ServerId) -> u64 {
        let new = || {
            self.generations.set(self.generations.get() + 1);
            Pool {
                idle: Vec::new(),
                generation: self.generations.get(),
            }
        };
        self.pools
            .borrow_mut()
            .entry(server)
            .or_insert_with(new)
            .generation
    }
}
