//! The client side: connections, requests in, answers out, and the end of it all on SIGTERM.

use super::driver::{Arrival, Driver, Message, Reply};
use super::upstream::{AnswerBody, TIME_LEFT};
use super::{Bounds, BODY_MOST, BODY_SMALL, BUFFER};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, timeout_at};
use weldpass::interface::{Effect, Outcome};
use weldpass::settings::stable_hash;

/// A head may take 2 s to come, and a connection may stand idle before it.
const HEAD_WITHIN: Duration = Duration::from_secs(20);
/// A body comes at 64 kB a second or faster; one at less than a quarter of that is given up, after this time.
const BODY_GRACE: Duration = Duration::from_secs(10);
const BODY_RATE: f64 = 16e3;
/// How long a large body waits for its share of the budget before it is refused.
const BUDGET_WAIT: Duration = Duration::from_secs(2);
/// A client that takes nothing of its answer for this long has left.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
/// How long connections go on being accepted after SIGTERM: they come for 0.4 s at the most.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than this after the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Pause after a descriptor could not be had.
const DESCRIPTORS_OUT: Duration = Duration::from_millis(20);

const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Headers that concern one connection or one message's framing; they end here, either way.
const HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Binds the address; one that an earlier life left is taken again at once.
///
/// # Errors
/// Says why it can't be had.
pub fn bind(listen: SocketAddr, backlog: usize) -> Result<TcpListener, String> {
    let bound = || -> io::Result<TcpListener> {
        let domain = socket2::Domain::for_address(listen);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
        TcpListener::from_std(socket.into())
    };
    bound().map_err(|e| format!("{listen}: {e}"))
}

/// One client's connection.
struct Client {
    close: Notify,
    /// Nothing of a request has come since the last answer.
    idle: Cell<bool>,
    since: Cell<Instant>,
}

/// The client side of a node.
pub struct Front {
    driver: Rc<Driver>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    most: usize,
    /// A client's connection has ended.
    freed: Notify,
    stopping: Cell<bool>,
    bodies: Arc<Semaphore>,
}

impl Front {
    /// No clients yet.
    pub fn new(driver: Rc<Driver>, bounds: Bounds) -> Self {
        Front {
            driver,
            clients: RefCell::default(),
            most: bounds.clients,
            freed: Notify::new(),
            stopping: Cell::new(false),
            bodies: Arc::new(Semaphore::new(bounds.body_kib)),
        }
    }

    /// Accepts clients until `stop`, and a little longer; ends when what was taken has its answers.
    pub async fn serve(self: &Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut next = 0;
        tokio::select! {
            () = self.accept(&listener, &mut next) => {}
            () = stop => {}
        }
        let told = Instant::now();
        self.stopping.set(true);
        let _ = timeout(ACCEPT_ON, self.accept(&listener, &mut next)).await;
        // What the machine has accepted counts as taken: the backlog is emptied before the listener closes.
        while let Some(Ok((stream, _))) = now_or_never(listener.accept()).await {
            self.clone().client(stream, &mut next);
        }
        drop(listener);
        for client in self.clients.borrow().values() {
            client.close.notify_one();
        }
        let longest = self.driver.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let longest = Duration::try_from_secs_f64(longest).unwrap_or_default();
        let end = told + longest + KILL_AFTER - Duration::from_millis(100);
        while !self.clients.borrow().is_empty() {
            if timeout_at(end.into(), self.freed.notified()).await.is_err() {
                break;
            }
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener, next: &mut u64) {
        loop {
            if self.clients.borrow().len() >= self.most {
                self.make_room();
                // Without an idle one to close, clients wait in the backlog.
                let _ = timeout(DESCRIPTORS_OUT, self.freed.notified()).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.clone().client(stream, next),
                Err(e) => {
                    // Out of descriptors, as a rule: the error stays until one is free, so don't spin on it.
                    self.driver.log.say(format_args!("accept: {e}"));
                    self.make_room();
                    tokio::time::sleep(DESCRIPTORS_OUT).await;
                }
            }
        }
    }

    /// Closes the client's connection that has been idle for the longest.
    fn make_room(&self) {
        let clients = self.clients.borrow();
        if let Some(client) = clients.values().filter(|c| c.idle.get()).min_by_key(|c| c.since.get()) {
            client.idle.set(false);
            client.close.notify_one();
        }
    }

    fn client(self: Rc<Self>, stream: TcpStream, next: &mut u64) {
        let id = *next;
        *next += 1;
        let client =
            Rc::new(Client { close: Notify::new(), idle: Cell::new(true), since: Cell::new(Instant::now()) });
        self.clients.borrow_mut().insert(id, client.clone());
        tokio::task::spawn_local(async move {
            self.connection(stream, &client).await;
            self.clients.borrow_mut().remove(&id);
            self.freed.notify_waiters();
        });
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let io = TokioIo::new(ClientIo { stream, client: client.clone(), stalled: None });
        let service = service_fn(|request| self.clone().request(request, client.clone()));
        let mut connection = pin!(Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WITHIN)
            .max_buf_size(BUFFER)
            .serve_connection(io, service));
        loop {
            tokio::select! {
                // How it ended concerns the client alone.
                _ = connection.as_mut() => return,
                () = client.close.notified() => connection.as_mut().graceful_shutdown(),
            }
        }
    }

    async fn request(
        self: Rc<Self>, request: Request<Incoming>, client: Rc<Client>,
    ) -> Result<Response<AnswerBody>, Infallible> {
        let (head, body) = request.into_parts();
        client.idle.set(false);
        let mut response = match head.uri.path() {
            "/_health" if self.driver.ready.get() => plain(StatusCode::OK, ""),
            "/_health" => plain(StatusCode::SERVICE_UNAVAILABLE, "no server list yet\n"),
            path if path == "/api" || path.starts_with("/api/") => self.api(head, body).await,
            _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
        };
        if self.stopping.get() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        client.idle.set(true);
        client.since.set(Instant::now());
        Ok(response)
    }

    async fn api(self: &Rc<Self>, head: Parts, body: Incoming) -> Response<AnswerBody> {
        // A fault in the head is told only when the body is in: an answer beside unread data may be lost.
        let (body, held) = match self.body(body).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let taken = Instant::now();
        let (message, arrival) = match self.translate(head, body, held, taken) {
            Ok(request) => request,
            Err((status, text)) => return plain(status, text),
        };
        let deadline = arrival.deadline;
        let (id, answer) = self.driver.submit(message, arrival);
        let mut waiting = Waiting { driver: &self.driver, id: Some(id) };
        // The guard: attempts end at the deadline and bring an answer; if nothing has, this is it.
        let guard = deadline
            + Duration::try_from_secs_f64(self.driver.figures.answer_slack / 2.0).unwrap_or_default();
        let Ok(Ok(reply)) = timeout_at(guard.into(), answer).await else {
            return plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n");
        };
        waiting.id = None;
        respond(reply)
    }

    /// Reads a body whole. What is too large, or finds no room, is still read to its end before it is answered.
    async fn body(
        &self, mut body: Incoming,
    ) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Response<AnswerBody>> {
        if body.is_end_stream() {
            return Ok((Bytes::new(), None));
        }
        let stated = body.size_hint().exact().map_or(0, |n| usize::try_from(n).unwrap_or(usize::MAX));
        let mut refused = (stated > BODY_MOST).then_some(StatusCode::PAYLOAD_TOO_LARGE);
        let mut held = None;
        if refused.is_none() && stated > BODY_SMALL {
            held = timeout(BUDGET_WAIT, self.bodies.clone().acquire_many_owned(kib(stated))).await.ok();
            if held.is_none() {
                refused = Some(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        let mut held = held.and_then(Result::ok);
        let began = Instant::now();
        let (mut data, mut size) = (BytesMut::new(), 0);
        if refused.is_none() {
            data.reserve(stated);
        }
        loop {
            let most = BODY_GRACE + Duration::from_secs_f64(size as f64 / BODY_RATE);
            let Ok(frame) = timeout_at((began + most).into(), body.frame()).await else {
                return Err(closing(StatusCode::REQUEST_TIMEOUT));
            };
            let Some(frame) = frame else { break };
            let Ok(frame) = frame else { return Err(closing(StatusCode::BAD_REQUEST)) };
            let Ok(part) = frame.into_data() else { continue };
            size += part.len();
            if size > 2 * BODY_MOST {
                return Err(closing(StatusCode::PAYLOAD_TOO_LARGE));
            }
            if size > BODY_MOST {
                refused = Some(StatusCode::PAYLOAD_TOO_LARGE);
            } else if refused.is_none() && size > stated.max(BODY_SMALL) {
                // Chunked: leave is taken as it grows, twice as much for the room that growing takes.
                match self.bodies.clone().try_acquire_many_owned(2 * kib(part.len())) {
                    Ok(more) => match &mut held {
                        Some(held) => held.merge(more),
                        None => held = Some(more),
                    },
                    Err(_) => refused = Some(StatusCode::SERVICE_UNAVAILABLE),
                }
            }
            if refused.is_some() {
                data = BytesMut::new();
                held = None;
            } else {
                data.extend_from_slice(&part);
            }
        }
        match refused {
            None => Ok((data.freeze(), held)),
            Some(StatusCode::SERVICE_UNAVAILABLE) => Err(plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n")),
            Some(status) => Err(closing(status)),
        }
    }

    /// Puts a request's head into the module's terms.
    fn translate(
        &self, head: Parts, body: Bytes, held: Option<OwnedSemaphorePermit>, taken: Instant,
    ) -> Result<(Message, Arrival), (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let Parts { method, uri, mut headers, .. } = head;
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let names = self.driver.names.borrow();
        let class = text(&SERVICE_CLASS).and_then(|name| names.classes.get(name));
        let class = class.ok_or(bad("unknown class\n"))? as usize;
        let rules = self.driver.classes.get(class).ok_or(bad("unknown class\n"))?;
        let fits =
            if rules.effect == Effect::Idempotent { method == Method::GET } else { method == Method::POST };
        if !fits {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "the class wants another method\n"));
        }
        if method == Method::GET && !body.is_empty() {
            return Err(bad("a GET with a body\n"));
        }
        if text(&CORRELATION_ID).is_none_or(str::is_empty) {
            return Err(bad("no X-Correlation-Id\n"));
        }
        if matches!(rules.effect, Effect::Keyed { .. }) && text(&IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
            return Err(bad("no Idempotency-Key\n"));
        }
        let left = match headers.get(TIME_LEFT) {
            None => rules.deadline,
            Some(_) => {
                let left = text(&TIME_LEFT).and_then(|t| t.trim().parse::<f64>().ok());
                let left = left.filter(|t| t.is_finite() && *t >= 0.0);
                left.ok_or(bad("X-Time-Left is no time\n"))?.min(rules.deadline)
            }
        };
        // The answer has to be back before the client's time is up: the slack that answers have in the rules
        // is what the way back and a late wake-up may take.
        let left = Duration::try_from_secs_f64(left - self.driver.figures.answer_slack).unwrap_or_default();
        let arrival = Arrival {
            class: class as u16,
            tenant: text(&ACCOUNT).and_then(|name| names.tenant(name)),
            hint: text(&WEIGHT_HINT).and_then(|t| t.trim().parse::<f64>().ok()).map(|us| us / 1e6),
            key: headers.get_all(header::COOKIE).iter().find_map(key).map(stable_hash),
            deadline: taken + left,
        };
        let path = uri.into_parts().path_and_query.ok_or(bad("no path\n"))?;
        strip(&mut headers);
        Ok((Message { method, path, headers, body, _held: held }, arrival))
    }
}

/// The cookie that says what a request is about.
fn key(cookies: &HeaderValue) -> Option<&str> {
    let mut pairs = cookies.to_str().ok()?.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(name, _)| *name == "key").map(|(_, value)| value)
}

fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CORRELATION_ID && *name != IDEMPOTENCY_KEY)
        .collect();
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
}

fn kib(bytes: usize) -> u32 {
    u32::try_from(bytes / 1024 + 1).unwrap_or(u32::MAX)
}

/// A request whose answer is awaited; the client has left if this is dropped before.
struct Waiting<'a> {
    driver: &'a Rc<Driver>,
    id: Option<u32>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.driver.gone(id);
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn closing(status: StatusCode) -> Response<AnswerBody> {
    let mut response = plain(status, "");
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn respond(reply: Reply) -> Response<AnswerBody> {
    match reply {
        Reply::Served(answer) => {
            let mut response = Response::new(answer.body);
            *response.headers_mut() = answer.headers;
            strip(response.headers_mut());
            response
        }
        Reply::Refused { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            let after = retry_after.and_then(|t| HeaderValue::try_from(format!("{t:.3}")).ok());
            if let Some(after) = after {
                response.headers_mut().insert(header::RETRY_AFTER, after);
            }
            response
        }
        // Never 429 or 503: those would promise that a retry is harmless.
        Reply::Failed(Some(Outcome::Error)) => plain(StatusCode::BAD_GATEWAY, "the server failed\n"),
        Reply::Failed(Some(Outcome::Expired)) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
        Reply::Failed(Some(Outcome::Dropped)) => plain(StatusCode::BAD_GATEWAY, "the connection broke\n"),
        Reply::Failed(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

/// Polls once.
async fn now_or_never<F: Future>(future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    std::future::poll_fn(|cx| match future.as_mut().poll(cx) {
        Poll::Ready(done) => Poll::Ready(Some(done)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// A client's socket. It notes that a request has begun, and ends a connection whose client reads nothing.
struct ClientIo {
    stream: TcpStream,
    client: Rc<Client>,
    stalled: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl ClientIo {
    fn wrote(&mut self, cx: &mut Context, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if wrote.is_ready() {
            self.stalled = None;
            return wrote;
        }
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(tokio::time::sleep(WRITE_WITHIN)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.client.idle.set(false);
        }
        read
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, data: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write(cx, data);
        self.wrote(cx, wrote)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context, data: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let wrote = Pin::new(&mut self.stream).poll_write_vectored(cx, data);
        self.wrote(cx, wrote)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
