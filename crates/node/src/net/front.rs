//! The client side: connections, requests in, answers out, and the end of it all on SIGTERM.

use super::body::{Flow, Outgoing, Payload};
use super::client::{close, Client, ClientIo, Mark, Phase};
use super::gate::{self, Gate};
use super::message::{Answer, Arrival, Message, Reply, Waiter};
use super::pool::Pool;
use super::service::{AbortOnDrop, Found, Routing, Service, Table};
use super::shared::{Held, OpenId, Permit, Shared};
use super::takeover::{Passing, Takeover};
use super::upstream::TIME_LEFT;
use super::{hurry, kib, Chance, BODY_MOST, BODY_SMALL, HEAD_MOST};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use reelfall_core::interface::{ClassId, Effect, Outcome, Time};
use reelfall_core::settings::stable_hash;
use reelfall_routes::limits::{Denial, Member};
use reelfall_routes::table::{ListenerId, Query};
use reelfall_routes::target;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{timeout, timeout_at};

/// A body that flows is given up after this time: the largest at the slowest, and a little.
const FLOW_WITHIN: Duration = Duration::from_secs(900);
/// Under pressure, a request that has been coming for so long loses its connection.
const COMING_LONG: Duration = Duration::from_secs(1);
/// What the library may read beyond the largest head.
const BUFFER_MARGIN: usize = 16 << 10;
/// How long connections go on being accepted after SIGTERM: they come for 0.4 s at the most.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than this after the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// How often a node that is being emptied looks for connections that may go.
const EMPTIES_EVERY: Duration = Duration::from_millis(100);
/// What a process that ends keeps of its time for clients that nobody takes over.
const LAST_WORDS: Duration = Duration::from_millis(400);
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

/// Binds the address; one that an earlier life left is taken again at once. With `beside`, another process of this node
/// may listen there too, which has to want that as well.
///
/// # Errors
/// Says why it can't be had.
pub fn bind(listen: SocketAddr, backlog: usize, beside: bool) -> Result<TcpListener, String> {
    let bound = || -> io::Result<TcpListener> {
        let domain = socket2::Domain::for_address(listen);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_reuse_port(beside)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
        TcpListener::from_std(socket.into())
    };
    bound().map_err(|e| format!("{listen}: {e}"))
}

/// An address where clients connect.
pub struct Listening {
    address: SocketAddr,
    mark: Rc<Mark>,
    listener: TcpListener,
}

impl Listening {
    /// Binds a listener.
    ///
    /// # Errors
    /// Says why the address can't be had.
    pub fn bind(name: &str, address: SocketAddr, backlog: usize, beside: bool) -> Result<Rc<Self>, String> {
        Ok(Self::of(name, address, bind(address, backlog, beside)?))
    }

    fn of(name: &str, address: SocketAddr, listener: TcpListener) -> Rc<Self> {
        let mark = Rc::new(Mark { id: Cell::new(Some(0)), name: name.to_owned() });
        Rc::new(Listening { address, mark, listener })
    }

    /// A listener whose socket another process gave.
    ///
    /// # Errors
    /// If it is none, or listens elsewhere.
    pub fn given(name: &str, address: SocketAddr, descriptor: OwnedFd) -> Result<Rc<Self>, String> {
        let socket = socket2::Socket::from(descriptor);
        let listens = socket.is_listener().map_err(|e| e.to_string())?;
        let at = socket.local_addr().ok().and_then(|a| a.as_socket());
        if !listens || at != Some(address) {
            return Err("what was given is no socket that listens at this address".to_owned());
        }
        socket.set_nonblocking(true).map_err(|e| e.to_string())?;
        let listener = TcpListener::from_std(socket.into()).map_err(|e| e.to_string())?;
        Ok(Self::of(name, address, listener))
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.mark.name
    }
}

impl AsFd for Listening {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.listener.as_fd()
    }
}

/// The client side of a node.
pub struct Front {
    shared: Rc<Shared>,
    routing: RefCell<Rc<Routing>>,
    listening: RefCell<Vec<(Rc<Listening>, AbortOnDrop)>>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    most: Cell<usize>,
    /// A client's connection has ended.
    freed: Notify,
    stopping: Cell<bool>,
    /// Who accepts, where several processes of this node may.
    takeover: RefCell<Option<Rc<Takeover>>>,
    /// That may have changed.
    turned: Notify,
    /// The way of clients to the process that takes over.
    passes: RefCell<Option<mpsc::UnboundedSender<Passing>>>,
    /// For ids of requests that came without one, and for advice on when to come back.
    chance: Chance,
}

/// A request's service, class and place among the open requests.
pub(super) struct Chosen {
    pub service: Rc<Service>,
    /// The class that the route assigns.
    pub assign: Option<ClassId>,
    /// It came by a route; on the platform, the one service has all.
    pub routed: bool,
    pub admitted: Option<Permit>,
}

impl Front {
    /// No clients yet. `seed` is for ids and advice.
    pub fn new(shared: Rc<Shared>, routing: Routing, clients: usize, seed: u64) -> Rc<Self> {
        Rc::new(Front {
            shared,
            routing: RefCell::new(Rc::new(routing)),
            listening: RefCell::default(),
            clients: RefCell::default(),
            next: Cell::new(0),
            most: Cell::new(clients),
            freed: Notify::new(),
            stopping: Cell::new(false),
            takeover: RefCell::default(),
            turned: Notify::new(),
            passes: RefCell::default(),
            chance: Chance::new(seed),
        })
    }

    /// Puts another routing in force. What has been routed stays where it is.
    pub fn route(&self, routing: Routing, clients: usize) {
        self.routing.replace(Rc::new(routing));
        self.most.set(clients);
    }

    /// Accepts clients on these listeners, and on no others from here on. Whoever has connected stays until its
    /// request is answered.
    pub fn listen(self: &Rc<Self>, listening: Vec<Rc<Listening>>) {
        let mut now = self.listening.borrow_mut();
        now.retain(|(old, _)| {
            let stays = listening.iter().any(|new| Rc::ptr_eq(new, old));
            if !stays {
                old.mark.id.set(None);
                self.empty(old);
            }
            stays
        });
        for (id, new) in listening.into_iter().enumerate() {
            new.mark.id.set(ListenerId::try_from(id).ok());
            if now.iter().any(|(old, _)| Rc::ptr_eq(old, &new)) {
                continue;
            }
            let (front, accepting) = (self.clone(), new.clone());
            let task = tokio::task::spawn_local(async move { front.accept(&accepting).await });
            now.push((new, AbortOnDrop(task.abort_handle())));
        }
    }

    /// Changes how many clients there may be.
    pub fn most(&self, clients: usize) {
        self.most.set(clients);
    }

    /// Has a succession say who accepts.
    pub fn succeed(&self, takeover: &Rc<Takeover>) {
        self.takeover.replace(Some(takeover.clone()));
        self.turn();
    }

    /// Who accepts may have changed.
    pub fn turn(&self) {
        self.turned.notify_waiters();
    }

    fn accepts(&self) -> bool {
        self.takeover.borrow().as_ref().is_none_or(|t| t.accepts())
    }

    /// The listeners there are.
    pub fn listening(&self) -> Vec<Rc<Listening>> {
        self.listening.borrow().iter().map(|(l, _)| l.clone()).collect()
    }

    /// Passes clients that have no request in hand, now or later, to another process; `None` ends that.
    pub fn pass_to(&self, passes: Option<mpsc::UnboundedSender<Passing>>) {
        let passing = passes.is_some();
        self.passes.replace(passes);
        for client in self.clients.borrow().values() {
            client.passing.set(passing);
            client.wake.notify_one();
        }
    }

    /// Takes in a client that another process passes on.
    pub fn take_in(self: &Rc<Self>, descriptor: std::net::TcpStream, listener: &str) {
        let listening = self.listening().into_iter().find(|l| l.name() == listener);
        let stream = descriptor.set_nonblocking(true).and_then(|()| TcpStream::from_std(descriptor));
        match (listening, stream) {
            (Some(listening), Ok(stream)) => self.clone().client(stream, &listening),
            // It ends here: its listener is no longer in the settings, or it is no socket.
            (_, stream) => drop(stream),
        }
    }

    /// Passes a client on; it comes back if nobody takes it.
    async fn pass_on(&self, stream: Rc<TcpStream>, client: &Client) -> Option<Rc<TcpStream>> {
        let passes = self.passes.borrow().clone();
        let (Some(passes), Some(stream)) = (passes, Rc::into_inner(stream)) else { return None };
        let stream = stream.into_std().ok()?;
        let (done, passed) = oneshot::channel();
        let listener = client.came_by.name.clone();
        let back = match passes.send(Passing { stream, listener, done }) {
            Err(e) => e.0.stream,
            Ok(()) => match passed.await {
                Ok(Ok(())) | Err(_) => return None,
                Ok(Err(stream)) => stream,
            },
        };
        TcpStream::from_std(back).ok().map(Rc::new)
    }

    /// The listener of a name and address, if there is one.
    pub fn listener(&self, name: &str, address: SocketAddr) -> Option<Rc<Listening>> {
        let listening = self.listening.borrow();
        let found = listening.iter().find(|(l, _)| l.name() == name && l.address == address);
        found.map(|(l, _)| l.clone())
    }

    /// The addresses that are listened on, by name.
    pub fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let listening = self.listening.borrow();
        let address = |l: &Listening| l.listener.local_addr().unwrap_or(l.address);
        listening.iter().map(|(l, _)| (l.name().to_owned(), address(l))).collect()
    }

    /// What the machine has accepted counts as taken: the backlog is emptied before a listener closes.
    fn empty(self: &Rc<Self>, listening: &Rc<Listening>) {
        let mut waker = Context::from_waker(Waker::noop());
        while let Poll::Ready(Ok((stream, _))) = listening.listener.poll_accept(&mut waker) {
            self.clone().client(stream, listening);
        }
    }

    /// Serves until `stop`, and a little longer; ends when what was taken has its answers.
    pub async fn serve(self: &Rc<Self>, stop: impl Future<Output = ()>) {
        stop.await;
        let told = Instant::now();
        let longest = self.routing.borrow().longest_deadline();
        let end = told + longest + KILL_AFTER - Duration::from_millis(100);
        let takeover = self.takeover.borrow().clone();
        if let Some(takeover) = &takeover {
            takeover.terminate();
        }
        loop {
            let now = Instant::now();
            let shares = takeover.as_ref().is_some_and(|t| t.shares());
            let (until, sends_away) = if takeover.as_ref().is_some_and(|t| t.passes()) {
                (end, false)
            } else if shares && now < end - LAST_WORDS {
                // An heir that gets ready has what is left of the time to do so.
                (end - LAST_WORDS, false)
            } else if !shares && now < told + ACCEPT_ON {
                (told + ACCEPT_ON, false)
            } else {
                (end, true)
            };
            // Clients that go to another process need not be told to connect anew.
            self.stopping.set(!shares || sends_away);
            if sends_away {
                self.send_away(takeover.as_deref(), shares);
            }
            if now >= end || (until == end && self.clients.borrow().is_empty()) {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => {}
                () = self.freed.notified() => {}
                () = self.turned.notified() => {}
            }
        }
    }

    /// Accepts nobody any more and ends every connection as soon as no request is on it.
    fn send_away(self: &Rc<Self>, takeover: Option<&Takeover>, shares: bool) {
        if let Some(takeover) = takeover {
            takeover.late();
        }
        if !shares {
            self.listen(Vec::new());
        }
        for client in self.clients.borrow().values() {
            if !client.leave.replace(true) {
                client.wake.notify_one();
            }
        }
    }

    /// Lets idle connections go while the node is being emptied, each at its time, for as long as it is polled.
    pub async fn empty_by_hand(self: Rc<Self>) {
        loop {
            if !self.shared.draining() {
                self.shared.drained.notified().await;
                continue;
            }
            for client in self.clients.borrow().values() {
                let idle = matches!(client.phase.get(), Phase::Silent | Phase::Idle);
                let until = self.shared.idle_until(client.since.get());
                if idle && until.is_some_and(|until| until <= Instant::now()) {
                    client.leave.set(true);
                    client.wake.notify_one();
                }
            }
            tokio::time::sleep(EMPTIES_EVERY).await;
        }
    }

    async fn accept(self: &Rc<Self>, listening: &Rc<Listening>) {
        loop {
            if self.clients.borrow().len() >= self.most.get() {
                self.make_room();
                // Without an idle one to close, clients wait in the backlog.
                let _ = timeout(DESCRIPTORS_OUT, self.freed.notified()).await;
                continue;
            }
            if !self.accepts() {
                self.turned.notified().await;
                continue;
            }
            let accepted = tokio::select! {
                biased;
                () = self.turned.notified() => continue,
                accepted = listening.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.clone().client(stream, listening),
                Err(e) => {
                    // Out of descriptors, as a rule: the error stays until one is free, so don't spin on it.
                    self.shared.log.say(format_args!("accept: {e}"));
                    self.make_room();
                    tokio::time::sleep(DESCRIPTORS_OUT).await;
                }
            }
        }
    }

    /// Closes the connection that can best be spared: the longest silent of those that never asked, then the
    /// longest idle, then one whose request does not get on.
    ///
    /// Guards against clients that connect by hundreds and say nothing, or next to nothing, while others wait to
    /// be let in; it ought to bear any flood of connections. Harm: a client may find an idle connection closed
    /// sooner than usual. It is read once more before that, so no request that has come is lost.
    fn make_room(&self) {
        let clients = self.clients.borrow();
        let spare = |c: &Client| match c.phase.get() {
            _ if c.leave.get() || c.fault.get().is_some() => None,
            Phase::Silent => Some((0, c.since.get())),
            Phase::Idle => Some((1, c.since.get())),
            Phase::Coming if c.since.get().elapsed() > COMING_LONG => Some((2, c.since.get())),
            _ => None,
        };
        let least = clients.values().filter_map(|c| Some((spare(c)?, c))).min_by_key(|(key, _)| *key);
        if let Some((_, client)) = least {
            match client.phase.get() {
                Phase::Coming => client.fault.set(Some(StatusCode::REQUEST_TIMEOUT)),
                _ => client.leave.set(true),
            }
            client.wake.notify_one();
        }
    }

    fn client(self: Rc<Self>, stream: TcpStream, listening: &Rc<Listening>) {
        let id = self.next.get();
        self.next.set(id + 1);
        let client = Rc::new(Client::new(listening.mark.clone()));
        self.clients.borrow_mut().insert(id, client.clone());
        tokio::task::spawn_local(async move {
            self.connection(stream, &client).await;
            self.clients.borrow_mut().remove(&id);
            self.freed.notify_waiters();
        });
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream, client: &Rc<Client>) {
        hurry(&stream);
        let mut stream = Rc::new(stream);
        while self.converse(&stream, client).await {
            match self.pass_on(stream, client).await {
                Some(back) => stream = back,
                None => return,
            }
        }
        close(&stream, client).await;
    }

    /// Answers what a client asks; true if it goes to another process now, of which nothing has been read yet that was not
    /// answered.
    async fn converse(self: &Rc<Self>, stream: &Rc<TcpStream>, client: &Rc<Client>) -> bool {
        let methods: &[&[u8]] = match &**self.routing.borrow() {
            Routing::Alone(_) => &gate::METHODS,
            Routing::Table(_) => &gate::METHODS_ROUTED,
        };
        let io = TokioIo::new(ClientIo::new(stream.clone(), client.clone(), Gate::new(methods)));
        let service = service_fn(|request| self.clone().request(request, client.clone()));
        // Times are kept by `ClientIo`, which knows whether a request has begun.
        let mut connection = pin!(Builder::new()
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST + BUFFER_MARGIN)
            .serve_connection(io, service));
        loop {
            tokio::select! {
                biased;
                // How it ended concerns the client alone.
                _ = connection.as_mut() => return false,
                () = client.wake.notified() => {
                    let idle = matches!(client.phase.get(), Phase::Silent | Phase::Idle);
                    if idle && client.passing.get() && client.fault.get().is_none() {
                        return true;
                    }
                }
            }
        }
    }

    async fn request(
        self: Rc<Self>, request: Request<Incoming>, client: Rc<Client>,
    ) -> Result<Response<Outgoing>, Infallible> {
        let (head, body) = request.into_parts();
        let routing = self.routing.borrow().clone();
        let mut response = match &*routing {
            Routing::Alone(service) => match head.uri.path() {
                "/_health" if self.shared.draining() => plain(StatusCode::SERVICE_UNAVAILABLE, DRAINED),
                "/_health" if service.pool.ready.get() => plain(StatusCode::OK, ""),
                "/_health" => plain(StatusCode::SERVICE_UNAVAILABLE, "no server list yet\n"),
                path if path == "/api" || path.starts_with("/api/") => {
                    let service = service.clone();
                    let chosen = Chosen { service, assign: None, routed: false, admitted: None };
                    drop(routing);
                    self.pass(chosen, head, body, &client).await
                }
                _ => plain(StatusCode::NOT_FOUND, "no such path\n"),
            },
            Routing::Table(table) => match head.uri.path().strip_prefix("/_health") {
                Some(name) if name.is_empty() || name.starts_with('/') => {
                    if self.shared.draining() {
                        plain(StatusCode::SERVICE_UNAVAILABLE, DRAINED)
                    } else {
                        health(table, name)
                    }
                }
                _ => match self.choose(table, &head, &client) {
                    Ok(chosen) => {
                        drop(routing);
                        self.pass(chosen, head, body, &client).await
                    }
                    Err(response) => {
                        drop(routing);
                        match discard(body).await {
                            Ok(()) => *response,
                            Err(response) => response,
                        }
                    }
                },
            },
        };
        // Whoever sends what can't be used has to connect anew for more of it.
        let routed = matches!(&**self.routing.borrow(), Routing::Table(_));
        // By routes, one connection can be for several services, of which one may be gone or over its rate.
        let elsewhere = matches!(response.status(), StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS);
        let unusable = response.status().is_client_error() && !(routed && elsewhere);
        if self.stopping.get() || self.shared.draining() || unusable || client.leave.get() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let flows = response.body().flows();
        client.streams.set(flows.is_some());
        client.comes.replace(flows);
        client.turn(Phase::Answered);
        Ok(response)
    }

    /// Finds the service of a request and its place among the open ones.
    fn choose(
        self: &Rc<Self>, table: &Table, head: &Parts, client: &Client,
    ) -> Result<Chosen, Box<Response<Outgoing>>> {
        let mut hosts = head.headers.get_all(header::HOST).iter();
        let said = target::Said {
            scheme: head.uri.scheme_str(),
            authority: head.uri.authority().map(|a| a.as_str()),
            path: head.uri.path(),
            host: hosts.next().map(HeaderValue::as_bytes),
            more_hosts: hosts.next().is_some(),
        };
        let target = target::read(said).map_err(|fault| Box::new(told(StatusCode::BAD_REQUEST, &fault)))?;
        let class = head.headers.get(&SERVICE_CLASS).and_then(|v| v.to_str().ok());
        let query = Query {
            listener: client.came_by.id.get().unwrap_or(ListenerId::MAX),
            host: &target.host,
            path: target.path,
            method: head.method.as_str(),
            class,
        };
        let found =
            table.find(&query).ok_or_else(|| Box::new(plain(StatusCode::NOT_FOUND, "no such route\n")))?;
        let Found { service, assign } = found;
        if service.draining.get() {
            let most = service.retry_after.get();
            return Err(Box::new(self.refusal(StatusCode::SERVICE_UNAVAILABLE, "draining\n", most, most)));
        }
        let admitted = match service.member.map(|member| self.shared.admit(member)) {
            None => None,
            Some(Ok(admitted)) => admitted,
            // Nothing of the request has run: trying again is harmless, as both say.
            Some(Err(denial)) => {
                let most = service.retry_after.get();
                return Err(Box::new(match denial {
                    Denial::Rate(wait) => self.refusal(
                        StatusCode::TOO_MANY_REQUESTS,
                        "over the rate of this service\n",
                        wait,
                        most,
                    ),
                    Denial::Held(..) => {
                        let text = "this service has all the requests that it may hold\n";
                        self.refusal(StatusCode::SERVICE_UNAVAILABLE, text, most / 2.0, most)
                    }
                }));
            }
        };
        Ok(Chosen { service, assign, routed: true, admitted })
    }

    /// A refusal with advice on when to come back: about `wait`, spread so that not all come back together, and no
    /// longer than `most`; none if that is 0.
    fn refusal(&self, status: StatusCode, text: &'static str, wait: Time, most: Time) -> Response<Outgoing> {
        let mut response = plain(status, text);
        if most > 0.0 {
            let spread = 1.0 + self.chance.fraction();
            let after = (wait * spread).clamp(0.001, most);
            if let Ok(after) = HeaderValue::try_from(format!("{after:.3}")) {
                response.headers_mut().insert(header::RETRY_AFTER, after);
            }
        }
        response
    }

    async fn pass(
        self: &Rc<Self>, chosen: Chosen, head: Parts, body: Incoming, client: &Rc<Client>,
    ) -> Response<Outgoing> {
        let pool = chosen.service.pool.clone();
        let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        let graphql = chosen.service.graphql.borrow().clone();
        if let Some(graphql) = graphql {
            let mut response = self.graphql(&graphql, chosen, head, body, client).await;
            if chunked {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            return response;
        }
        // A fault in the head is told only when the body is in: an answer beside unread data may be lost.
        let (body, held) = match self.intake(body, chosen.service.member).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        let flow = body.flow().cloned();
        client.turn(if flow.is_some() { Phase::Flowing } else { Phase::Open });
        let mut response = self.ask(&pool, chosen, head, body, held, client).await;
        let unread = flow.is_some_and(|flow| !flow.is_done());
        if unread {
            // The rest of the body is for nobody; what follows it can't be told apart.
            client.early.set(true);
        }
        if chunked || unread {
            // Nothing behind a body of no stated length was looked at by the gate.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Hands a request to the module and waits for its one answer.
    async fn ask(
        self: &Rc<Self>, pool: &Rc<Pool>, chosen: Chosen, head: Parts, body: Payload, held: Option<Held>,
        client: &Rc<Client>,
    ) -> Response<Outgoing> {
        let (message, arrival) = match self.translate(chosen, head, body, held, client.clone()) {
            Ok(request) => request,
            Err((status, text)) => return plain(status, text),
        };
        if client.has_left() {
            return plain(StatusCode::BAD_REQUEST, LEFT);
        }
        let deadline = arrival.deadline;
        let (id, answer) = pool.submit(message, arrival);
        let mut waiting = Waiting::new(pool, id);
        // The guard: attempts end at the deadline and bring an answer; if nothing has, this is it.
        let guard =
            deadline + Duration::try_from_secs_f64(pool.figures.answer_slack / 2.0).unwrap_or_default();
        match timeout_at(guard.into(), answer).await {
            Ok(Ok(reply)) => {
                waiting.answered();
                respond(reply)
            }
            _ => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
        }
    }

    /// Reads a body whole if it is small enough and finds room; else it flows, with what has been read of it.
    async fn intake(
        &self, mut body: Incoming, member: Option<Member>,
    ) -> Result<(Payload, Option<Held>), Response<Outgoing>> {
        let size = body.size_hint().exact();
        if size.is_some_and(|size| size > BODY_MOST as u64) {
            return Ok((Payload::Flow(Flow::new(Bytes::new(), body, size)), None));
        }
        let stated = size.map_or(BODY_MOST, |n| n as usize);
        let (mut data, mut held) = (BytesMut::new(), None);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(plain(StatusCode::BAD_REQUEST, "half a body\n")) };
            let Ok(part) = frame.into_data() else { continue };
            data.extend_from_slice(&part);
            if data.len() > BODY_SMALL && held.is_none() {
                // The largest that it can be, taken once: bodies that grow must not wait for each other.
                held = self.shared.body(member, kib(stated));
            }
            if data.len() > BODY_MOST || (data.len() > BODY_SMALL && held.is_none()) {
                return Ok((Payload::Flow(Flow::new(data.freeze(), body, size)), held));
            }
        }
        Ok((Payload::Held(data.freeze()), held))
    }

    /// Reads a body whole. What finds no room is still read to its end before it is answered.
    pub(super) async fn body(
        &self, mut body: Incoming, member: Option<Member>,
    ) -> Result<(Bytes, Option<Held>), Response<Outgoing>> {
        let stated = body.size_hint().exact().map_or(BODY_MOST, |n| n as usize);
        let mut held: Option<Held> = None;
        let (mut data, mut size, mut granted, mut room) = (BytesMut::new(), 0, BODY_SMALL, true);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(plain(StatusCode::BAD_REQUEST, "half a body\n")) };
            let Ok(part) = frame.into_data() else { continue };
            size += part.len();
            if size > BODY_MOST {
                return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "too large a body\n"));
            }
            if room && size > granted {
                // The largest that it can be, taken once: bodies that grow must not wait for each other.
                match self.shared.body(member, kib(stated)) {
                    Some(leave) => (held, granted) = (Some(leave), BODY_MOST),
                    None => (data, room) = (BytesMut::new(), false),
                }
            }
            if room {
                data.extend_from_slice(&part);
            }
        }
        if room {
            Ok((data.freeze(), held))
        } else {
            Err(plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n"))
        }
    }

    /// Puts a request's head into the module's terms.
    fn translate(
        &self, chosen: Chosen, head: Parts, body: Payload, held: Option<Held>, waiter: Rc<Client>,
    ) -> Result<(Message, Arrival), (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let Chosen { service, assign, routed, admitted } = chosen;
        let pool = &service.pool;
        let Parts { method, uri, mut headers, .. } = head;
        if routed {
            self.name_it(&mut headers);
        }
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let names = pool.names.borrow();
        // A service with one class has no other; where there are more, a request that states none is not guessed at.
        let only = (routed && pool.classes.len() == 1 && !headers.contains_key(&SERVICE_CLASS)).then_some(0);
        let stated = || text(&SERVICE_CLASS).and_then(|name| names.classes.get(name)).map(|c| c as ClassId);
        let class = assign.or(only).or_else(stated).ok_or(bad("unknown class\n"))?;
        let rules = pool.classes.get(usize::from(class)).ok_or(bad("unknown class\n"))?;
        if !fits(&method, rules.effect, routed) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "the class wants another method\n"));
        }
        if method == Method::GET && !matches!(&body, Payload::Held(held) if held.is_empty()) {
            return Err(bad("a GET with a body\n"));
        }
        correlation_id(&headers).map_err(bad)?;
        if matches!(rules.effect, Effect::Keyed { .. }) && text(&IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
            return Err(bad("no Idempotency-Key\n"));
        }
        let left = time_left(&headers).map_err(bad)?.map_or(rules.deadline, |left| left.min(rules.deadline));
        // The answer has to be back before the client's time is up: the slack that answers have in the rules
        // is what the way back and a late wake-up may take.
        let left = Duration::try_from_secs_f64(left - pool.figures.answer_slack).unwrap_or_default();
        drop(names);
        let flows = body.flow().map(|_| left);
        let due = Instant::now() + flows.map_or(left, |_| FLOW_WITHIN);
        let arrival = Arrival { class, flows, ..self.arrival(pool, &headers, due) };
        let path = uri.into_parts().path_and_query.ok_or(bad("no path\n"))?;
        let id = correlation_id(&headers).map_err(bad)?;
        let id = self.shared.claim(id).ok_or((StatusCode::CONFLICT, ID_OPEN))?;
        strip(&mut headers);
        let message = Message {
            method,
            path,
            headers,
            body,
            _held: held.map(Rc::new),
            _id: id,
            _admitted: admitted,
            judge: None,
            waiter,
        };
        Ok((message, arrival))
    }

    /// What the module is told of a request by its headers; its class is the caller's to say.
    pub(super) fn arrival(&self, pool: &Pool, headers: &HeaderMap, deadline: Instant) -> Arrival {
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        Arrival {
            class: ClassId::MAX,
            tenant: text(&ACCOUNT).and_then(|name| pool.names.borrow().tenant(name)),
            hint: text(&WEIGHT_HINT).and_then(|t| t.trim().parse::<f64>().ok()).map(|us| us / 1e6),
            key: headers.get_all(header::COOKIE).iter().find_map(key).map(stable_hash),
            deadline,
            flows: None,
        }
    }

    /// Gives a request an id if it came without.
    fn name_it(&self, headers: &mut HeaderMap) {
        if !headers.contains_key(&CORRELATION_ID) {
            if let Ok(id) = HeaderValue::try_from(format!("{:016x}", self.chance.draw())) {
                headers.insert(CORRELATION_ID, id);
            }
        }
    }

    /// Takes the id of a request, or of one entry of several, which has one made from it.
    pub(super) fn correlate(
        &self, headers: &mut HeaderMap, place: Option<usize>,
    ) -> Result<OpenId, &'static str> {
        self.name_it(headers);
        if let Some(place) = place {
            let id = correlation_id(headers)?;
            let id = [id, format!(".{place}").as_bytes()].concat();
            let id = HeaderValue::from_bytes(&id).map_err(|_| "no X-Correlation-Id\n")?;
            headers.insert(CORRELATION_ID, id);
        }
        self.shared.claim(correlation_id(headers)?).ok_or(ID_OPEN)
    }

    pub(super) fn shared(&self) -> &Rc<Shared> {
        &self.shared
    }
}

/// What health says of a node that is being emptied.
const DRAINED: &str = "drained by hand\n";
/// What nobody reads.
const LEFT: &str = "the client has left\n";
/// What is said of an id that is taken.
pub(super) const ID_OPEN: &str = "a request with this id is open\n";

/// The id of a request.
fn correlation_id(headers: &HeaderMap) -> Result<&[u8], &'static str> {
    let mut ids = headers.get_all(&CORRELATION_ID).iter();
    let id = ids.next().map(HeaderValue::as_bytes).filter(|id| !id.is_empty());
    match (id, ids.next()) {
        (Some(id), None) => Ok(id),
        (_, Some(_)) => Err("more than one X-Correlation-Id\n"),
        (None, None) => Err("no X-Correlation-Id\n"),
    }
}

/// How long a client waits, if it says so, in seconds.
pub(super) fn time_left(headers: &HeaderMap) -> Result<Option<Time>, &'static str> {
    let Some(left) = headers.get(TIME_LEFT) else { return Ok(None) };
    let left = left.to_str().ok().and_then(|t| t.trim().parse::<f64>().ok());
    left.filter(|t| t.is_finite() && *t >= 0.0).map(Some).ok_or("X-Time-Left is no time\n")
}

/// Whether a method goes with what a second run would do. On the platform the method follows from the class; by a
/// route it is the operators', but for a GET: whoever stands between may repeat it, so it must be harmless.
fn fits(method: &Method, effect: Effect, routed: bool) -> bool {
    match (effect, routed) {
        (Effect::Idempotent, true) => true,
        (_, true) => method != Method::GET,
        (Effect::Idempotent, false) => method == Method::GET,
        (_, false) => method == Method::POST,
    }
}

/// How the process, or the service that the path names, stands.
fn health(table: &Table, path: &str) -> Response<Outgoing> {
    let services = table.services();
    let unready = match path.strip_prefix('/') {
        // One that drains on purpose does not make the process unready.
        None => services.iter().filter(|s| !s.draining.get()).find_map(|s| s.unready()),
        Some(name) => match services.iter().find(|s| s.name == name) {
            Some(service) => service.unready(),
            None => return plain(StatusCode::NOT_FOUND, "no such service\n"),
        },
    };
    if let Some(why) = unready {
        return plain(StatusCode::SERVICE_UNAVAILABLE, why);
    }
    let named = path.strip_prefix('/').and_then(|name| services.iter().find(|s| s.name == name));
    let mut response = plain(StatusCode::OK, "");
    if let Some(age) = named.and_then(|s| s.pool.list_age()) {
        *response.body_mut() = Outgoing::from(Bytes::from(format!("registry heard {age:.1} s ago\n")));
    }
    response
}

/// Reads a body to its end without keeping it: an answer beside unread data may be lost.
async fn discard(mut body: Incoming) -> Result<(), Response<Outgoing>> {
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(plain(StatusCode::BAD_REQUEST, "half a body\n")) };
        size += frame.data_ref().map_or(0, Bytes::len);
        if size > BODY_MOST {
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "too large a body\n"));
        }
    }
    Ok(())
}

fn told(status: StatusCode, why: &dyn std::fmt::Display) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::from(format!("{why}\n")));
    *response.status_mut() = status;
    response
}

/// The cookie that says what a request is about.
fn key(cookies: &HeaderValue) -> Option<&str> {
    let mut pairs = cookies.to_str().ok()?.split(';').filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(name, _)| *name == "key").map(|(_, value)| value)
}

pub(super) fn strip(headers: &mut HeaderMap) {
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

/// A request whose answer is awaited; the client has left if this is dropped before.
pub(super) struct Waiting<'a> {
    pool: &'a Rc<Pool>,
    id: Option<u32>,
}

impl<'a> Waiting<'a> {
    pub fn new(pool: &'a Rc<Pool>, id: u32) -> Self {
        Waiting { pool, id: Some(id) }
    }

    /// The answer has come.
    pub fn answered(&mut self) {
        self.id = None;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.pool.gone(id);
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::from(text));
    *response.status_mut() = status;
    response
}

fn respond(reply: Reply) -> Response<Outgoing> {
    match reply {
        Reply::Served(answer) => {
            let Answer { headers, body, rest, .. } = *answer;
            let mut response = Response::new(Outgoing::new(body, rest));
            *response.headers_mut() = headers;
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
