//! The server side: attempts, and the idle connections of each server.

use super::body::{Payload, Rest, Sending, FLOW_MOST};
use super::message::{Answer, Message};
use super::shared::{Open, Shared};
use super::{hurry, kib, ANSWER_HELD, ANSWER_MOST, ANSWER_SMALL, BUFFER};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use reelfall_core::interface::{Outcome, RequestId, ServerId, Time};
use reelfall_routes::budget::Denied;
use reelfall_routes::keep_alive::KeepAlive;
use reelfall_routes::limits::Member;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

/// How long an attempt whose request is over may hold its connection for the answer that may yet come.
const LINGER: Duration = Duration::from_secs(1);
/// How long an answer that is too large to be held for sure is awaited whole before it is passed on as it comes.
const HELD_FOR: Duration = Duration::from_millis(25);
/// Part of the servers' idle time after which a connection is no longer used: a request written as the server
/// closes would end as a reset, and might have run.
const IDLE_PART: f64 = 0.8;

/// Time left for a request, in seconds.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

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

/// A socket that counts what was written to it, and that the pool can look at beside its connection.
pub struct Socket {
    stream: TcpStream,
    written: Cell<u64>,
}

impl Socket {
    /// Whether the other side has said nothing. An end that has come is seen here before the connection's own
    /// task has run, so that no request is written to a socket that is known to be closed.
    fn quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

struct Tap(Rc<Socket>);

impl Tap {
    fn wrote(&self, n: io::Result<usize>) -> Poll<io::Result<usize>> {
        if let Ok(n) = n {
            self.0.written.set(self.0.written.get() + n as u64);
        }
        Poll::Ready(n)
    }
}

fn blocked<T>(result: &io::Result<T>) -> bool {
    result.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for Tap {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            let read = self.0.stream.try_read_buf(buf);
            if !blocked(&read) {
                return Poll::Ready(read.map(drop));
            }
        }
    }
}

impl AsyncWrite for Tap {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            let wrote = self.0.stream.try_write(data);
            if !blocked(&wrote) {
                return self.wrote(wrote);
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, data: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            let wrote = self.0.stream.try_write_vectored(data);
            if !blocked(&wrote) {
                return self.wrote(wrote);
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// A connection to a server. It is closed when this is dropped.
pub struct Connection {
    send: SendRequest<Sending>,
    socket: Rc<Socket>,
    since: Instant,
    /// It has brought an answer.
    used: bool,
    server: ServerId,
    address: SocketAddr,
    generation: u64,
    task: AbortHandle,
    _open: Open,
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
    looked: Cell<Instant>,
    connect_within: Duration,
}

impl Upstream {
    /// No connections yet.
    pub fn new(shared: Rc<Shared>, member: Option<Member>, conn_idle: Time, connect_timeout: Time) -> Self {
        Upstream {
            pools: RefCell::default(),
            generations: Cell::new(0),
            shared,
            member,
            freed: Notify::new(),
            keep_alive: Cell::new(KeepAlive::new(conn_idle * IDLE_PART)),
            looked: Cell::new(Instant::now()),
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
        keep_alive.tick((now - self.looked.replace(now)).as_secs_f64());
        self.keep_alive.set(keep_alive);
        let idle = self.idle();
        for pool in self.pools.borrow_mut().values_mut() {
            pool.idle.retain(|c| now - c.since < idle && !c.send.is_closed() && c.socket.quiet());
        }
    }

    /// How long an idle connection is kept now.
    fn idle(&self) -> Duration {
        Duration::try_from_secs_f64(self.keep_alive.get().seconds()).unwrap_or(Duration::MAX)
    }

    /// A server has turned a new connection away.
    fn turned_away(&self) {
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
            if c.send.is_closed() || c.since.elapsed() >= idle || !c.socket.quiet() {
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
        let pool = pools.get_mut(&connection.server).filter(|p| p.generation == connection.generation);
        if let Some(pool) = pool {
            pool.idle.push(connection);
            self.shared.freed();
        }
    }

    /// Room for one more connection. A service that has all that it may lets one of its own go.
    fn room(&self, address: SocketAddr) -> Option<Open> {
        match self.shared.room(address, self.member) {
            Err(Denied::Most) if self.drop_oldest_idle(None) => self.shared.room(address, self.member).ok(),
            room => room.ok(),
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
        pools.values().filter_map(|p| p.idle.first().filter(fits)).map(|c| c.since).min()
    }

    /// Closes that connection; whether there was one.
    pub fn drop_oldest_idle(&self, to: Option<SocketAddr>) -> bool {
        let mut pools = self.pools.borrow_mut();
        let first =
            |p: &Pool| p.idle.first().filter(|c| to.is_none_or(|to| c.address == to)).map(|c| c.since);
        let oldest = pools.values_mut().filter_map(|p| Some((first(p)?, p))).min_by_key(|(since, _)| *since);
        oldest.map(|(_, pool)| pool.idle.remove(0)).is_some()
    }

    fn generation(&self, server: ServerId) -> u64 {
        let new = || {
            self.generations.set(self.generations.get() + 1);
            Pool { idle: Vec::new(), generation: self.generations.get() }
        };
        self.pools.borrow_mut().entry(server).or_insert_with(new).generation
    }
}

/// A connection and whether it is new, or why there is none. That this node has none left says nothing of the
/// server: counted against it, a shortage here would put out one server after the other. So one is waited for.
async fn acquire(
    host: &impl Host, id: RequestId, server: ServerId, expires: Instant,
) -> Result<(Connection, bool), Outcome> {
    let upstream = host.upstream();
    let most = upstream.connect_within;
    let until = expires.min(Instant::now() + most);
    loop {
        if !host.wanted(id) {
            return Err(Outcome::Unused);
        }
        if let Some(connection) = upstream.take(server) {
            return Ok((connection, false));
        }
        let Some(address) = host.address(server) else { return Err(Outcome::DialFailed) };
        if let Some(open) = upstream.room(address) {
            let until = expires.min(Instant::now() + most);
            let new = connect(host, server, address, open, until).await;
            return new.map(|c| (c, true)).ok_or(Outcome::DialFailed);
        }
        let _waits = upstream.shared.wait();
        if timeout_at(until.into(), upstream.freed.notified()).await.is_err() {
            host.upstream().shared.log.say(format_args!("all connections to servers are in use"));
            return Err(Outcome::Unused);
        }
    }
}

async fn connect(
    host: &impl Host, server: ServerId, address: SocketAddr, open: Open, until: Instant,
) -> Option<Connection> {
    let generation = host.upstream().generation(server);
    let stream = timeout_at(until.into(), TcpStream::connect(address)).await.ok()?.ok()?;
    hurry(&stream);
    let socket = Rc::new(Socket { stream, written: Cell::new(0) });
    let io = TokioIo::new(Tap(socket.clone()));
    let (send, connection) = Builder::new().max_buf_size(BUFFER).handshake(io).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        // How it ended shows in the attempt that was on it.
        let _ = connection.await;
    });
    let task = task.abort_handle();
    Some(Connection {
        send,
        socket,
        since: Instant::now(),
        used: false,
        server,
        address,
        generation,
        task,
        _open: open,
    })
}

/// The limits of an attempt.
#[derive(Clone, Copy)]
pub struct Times {
    /// It is not sent later: a repeat may no longer be known for one.
    pub starts_by: Instant,
    /// It ends by then.
    pub expires: Instant,
}

/// Makes one attempt and tells its host how it ended. What it says of the server's side is proved: an
/// attempt never ran only if its last byte was not written or the server says so.
pub async fn attempt(
    host: impl Host, id: RequestId, number: u32, server: ServerId, message: Rc<Message>, times: Times,
) {
    let Times { starts_by, expires } = times;
    let never = |outcome| host.ended(id, number, outcome, None);
    loop {
        let (mut connection, fresh) = match acquire(&host, id, server, starts_by).await {
            Ok(acquired) => acquired,
            Err(outcome) => return never(outcome),
        };
        // The list may have changed while the connection came up, and the client may have left.
        if !host.wanted(id) {
            host.upstream().put(connection);
            return never(Outcome::Unused);
        }
        if host.address(server).is_none() || Instant::now() >= starts_by {
            return never(Outcome::DialFailed);
        }
        let before = connection.socket.written.get();
        // Whether the last byte may have been written: told by what the socket took, and of a flow by what was taken of it.
        let unwritten = |c: &Connection| match &message.body {
            Payload::Held(held) => c.socket.written.get() - before <= held.len() as u64,
            Payload::Flow(flow) => !flow.is_done(),
        };
        let spent = || {
            if message.body.flow().is_some_and(|flow| flow.is_taken()) {
                host.spend(id);
            }
        };
        let mut expires = expires;
        let mut answer = std::pin::pin!(connection.send.try_send_request(request(&message, expires)));
        if let Some(flow) = message.body.flow() {
            tokio::select! {
                biased;
                () = flow.ended() => {}
                () = tokio::time::sleep_until(expires.into()) => {}
                early = answer.as_mut() => {
                    if flow.is_done() {
                        expires = host.written(id).unwrap_or(expires);
                    }
                    spent();
                    match early {
                        Ok(response) => return take_in(&host, id, number, connection, response, expires, &message).await,
                        Err(mut e) => {
                            if e.take_message().is_some() && !fresh && !flow.is_taken() {
                                continue;
                            }
                            let broken = broken(&message, unwritten(&connection));
                            return host.ended(id, number, broken, None);
                        }
                    }
                }
            }
            if flow.is_done() {
                expires = host.written(id).unwrap_or(expires);
            }
        }
        let answer = match timeout_at(expires.into(), answer.as_mut()).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut e)) => {
                // Nothing was written: a stale connection is no outcome, a fresh one is.
                let taken = message.body.flow().is_some_and(|flow| flow.is_taken());
                if e.take_message().is_some() && !fresh && !taken {
                    continue;
                }
                spent();
                let broken = broken(&message, unwritten(&connection));
                return host.ended(id, number, broken, None);
            }
            Err(_) => {
                spent();
                if unwritten(&connection) {
                    drop(connection);
                    return never(Outcome::DialFailed);
                }
                host.ended(id, number, Outcome::Expired, None);
                // A second copy must not be out beside this one; with none, the connection outlives the time.
                if !host.retried(id) {
                    if let Ok(Ok(response)) = tokio::time::timeout(LINGER, answer).await {
                        finish(&host, connection, response.into_body()).await;
                    }
                }
                return;
            }
        };
        spent();
        return take_in(&host, id, number, connection, answer, expires, &message).await;
    }
}

/// What an attempt has come to whose connection broke.
fn broken(message: &Message, unwritten: bool) -> Outcome {
    match message.body.flow() {
        // Its client broke off: that says nothing of the server.
        Some(flow) if flow.fault().is_some() => Outcome::Unused,
        _ if unwritten => Outcome::DialFailed,
        _ => Outcome::Dropped,
    }
}

fn request(message: &Message, expires: Instant) -> Request<Sending> {
    let mut request = Request::new(Sending::new(&message.body));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = Uri::from(message.path.clone());
    let mut headers = message.headers.clone();
    // How long the last byte of a flow takes is not known; its client has said how long it waits after that.
    if message.body.flow().is_none() {
        let left = expires.saturating_duration_since(Instant::now()).as_secs_f64();
        if let Ok(left) = HeaderValue::try_from(format!("{left:.3}")) {
            headers.insert(TIME_LEFT, left);
        }
    }
    *request.headers_mut() = headers;
    request
}

/// Reads an answer whose head has come.
async fn take_in(
    host: &impl Host, id: RequestId, number: u32, connection: Connection, response: Response<Incoming>,
    expires: Instant, message: &Rc<Message>,
) {
    let (head, mut body) = response.into_parts();
    let judge = message.judge.as_deref();
    let unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Delivered,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Shed,
        status if judge.is_some_and(|j| j.may_answer(status)) => Outcome::Delivered,
        _ => Outcome::Error,
    };
    let closes =
        head.headers.get(header::CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if outcome == Outcome::Shed && closes && !connection.used {
        // The server has all the connections that it takes, and ends this one.
        host.upstream().turned_away();
    }
    if outcome != Outcome::Delivered {
        host.ended(id, number, outcome, None);
        return finish(host, connection, body).await;
    }
    // Guards against answers that are spoilt: longer than any can be, or of a length that nothing states, so that
    // none could tell a whole one from half of one. They may have run, and their connection is of no further use.
    // It ought to catch every answer that is not plainly framed; it does harm to servers that end an answer by
    // closing without having said so.
    let framed = body.size_hint().exact().is_some()
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || closes
        || head.version == Version::HTTP_10;
    let most = if judge.is_some() { ANSWER_MOST as u64 } else { FLOW_MOST };
    if !framed || body.size_hint().lower() > most {
        return host.ended(id, number, Outcome::Dropped, None);
    }
    let stated = body.size_hint().exact().map_or(0, |n| n as usize);
    let Upstream { shared, member, .. } = host.upstream();
    let mut leave = match (stated > ANSWER_SMALL, judge.is_some()) {
        // Without a share in time, the answer is not read, and the next wait tells that time is up.
        (true, true) => shared.answer_by(*member, kib(stated), expires).await,
        (true, false) => shared.answer(*member, kib(stated.min(ANSWER_HELD))),
        (false, _) => None,
    };
    let mut held = BytesMut::new();
    // From when on an answer that is too large to be held for sure is passed on as it comes.
    let flows = Instant::now() + HELD_FOR;
    loop {
        let large = stated > ANSWER_SMALL || held.len() > ANSWER_SMALL;
        let patience = large && judge.is_none() && !held.is_empty();
        let until = if patience { expires.min(flows) } else { expires };
        match timeout_at(until.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                held.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
                if held.len() <= ANSWER_SMALL && stated <= ANSWER_SMALL {
                    continue;
                }
                if leave.is_none() && stated == 0 {
                    // Chunked, and growing: it gets a share at once, or is passed on as it comes.
                    let most = if judge.is_some() { ANSWER_MOST } else { ANSWER_HELD };
                    leave = shared.answer(*member, kib(most));
                }
                if judge.is_some() {
                    if held.len() > ANSWER_MOST || leave.is_none() {
                        return host.ended(id, number, Outcome::Dropped, None);
                    }
                } else if !held.is_empty()
                    && (leave.is_none() || held.len() > ANSWER_HELD || flows <= Instant::now())
                {
                    break;
                }
            }
            Ok(Some(Err(_))) => return host.ended(id, number, Outcome::Dropped, None),
            Ok(None) => {
                if !judge.is_none_or(|j| j.is_answer(&held)) {
                    // Nobody knows what went on behind it: the connection goes, and the request may have run.
                    return host.ended(id, number, Outcome::Dropped, None);
                }
                host.upstream().put(connection);
                let answer = Answer { headers: head.headers, body: held.freeze(), rest: None, _leave: leave };
                return host.ended(id, number, outcome, Some(answer));
            }
            Err(_) if patience => break,
            Err(_) => {
                host.ended(id, number, Outcome::Expired, None);
                if !host.retried(id) {
                    finish(host, connection, body).await;
                }
                return;
            }
        }
    }
    // It goes to its client while it still comes. The attempt has ended with that.
    let back = host.clone();
    let rest = Rest::new(body, held.len() as u64, message.clone(), move || back.upstream().put(connection));
    let answer = Answer { headers: head.headers, body: held.freeze(), rest: Some(rest), _leave: None };
    host.ended(id, number, Outcome::Delivered, Some(answer));
}

/// Reads what is left of an answer that nobody waits for, so that its connection can be used again.
async fn finish(host: &impl Host, connection: Connection, mut body: Incoming) {
    let rest = async {
        let mut size = 0;
        while let Some(frame) = body.frame().await {
            size += frame.ok()?.data_ref().map_or(0, Bytes::len);
            (size <= ANSWER_MOST).then_some(())?;
        }
        Some(())
    };
    if let Ok(Some(())) = tokio::time::timeout(LINGER, rest).await {
        host.upstream().put(connection);
    }
}
