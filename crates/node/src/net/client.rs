//! One client's connection: reading, its time-outs, who has left, and its orderly end.

use super::body::FLOW_MOST;
use super::gate::Gate;
use super::message::Waiter;
use super::HEAD_MOST;
use hyper::StatusCode;
use reelfall_routes::table::ListenerId;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Sleep};

/// A new connection has to bring something within this time: what has not asked by then holds a descriptor for nothing.
const ASKS_WITHIN: Duration = Duration::from_secs(2);
/// A head may take so long from its first byte on, and nothing may rest for longer in the middle of a request.
const REQUEST_WITHIN: Duration = Duration::from_millis(2600);
/// A body may come as slowly as this, in bytes a second.
const BODY_RATE: f64 = 40e3;
/// A connection on which nothing was asked for so long is closed.
const IDLE_WITHIN: Duration = Duration::from_secs(5);
/// A client that takes nothing of its answer for this long has left; of one that flows, for the longer time.
const WRITE_WITHIN: Duration = Duration::from_secs(3);
const FLOW_TAKEN_WITHIN: Duration = Duration::from_secs(10);
/// What the system may hold of an answer that flows. More would hide whether a slow client still takes something.
const FLOW_BUFFER: usize = 128 << 10;
/// How long, and for how much, a connection that is closed on its client reads on: an answer beside unread bytes
/// may be lost with them.
const CLOSE_WITHIN: Duration = Duration::from_millis(200);
const CLOSE_READ: usize = 256 << 10;
/// The same where the answer has come before the body.
const EARLY_WITHIN: Duration = Duration::from_secs(3);
/// What is kept of requests that come before the one ahead of them is answered.
const AHEAD_MOST: usize = HEAD_MOST;
/// How often more of a flood is read, and how much: an end behind a megabyte is found in a tenth of a second.
const FLOOD_EVERY: Duration = Duration::from_millis(20);
const FLOOD_READ: usize = 256 << 10;
/// A client that was seen on its connection this lately is taken to be there still. A tenth of a second is the most.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Where a client's connection stands.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Nothing has come yet.
    Silent,
    /// A request has begun to come.
    Coming,
    /// A request's body flows on to a server as it comes.
    Flowing,
    /// A request is whole and has no answer yet.
    Open,
    /// The answer is on its way.
    Answered,
    /// The answer is out, and nothing has come since.
    Idle,
}

/// One client's connection.
pub(super) struct Client {
    /// Look at the connection again: something here has changed.
    pub wake: Notify,
    pub phase: Cell<Phase>,
    /// When the phase began; a first request begins with its connection.
    pub since: Cell<Instant>,
    /// It is closed as soon as no request is here.
    pub leave: Cell<bool>,
    /// What the client is told when its connection can't go on.
    pub fault: Cell<Option<StatusCode>>,
    /// Something was written since the last request began.
    wrote: Cell<bool>,
    /// Bytes of the request that is coming, and when the last of them came.
    came: Cell<u64>,
    last: Cell<Instant>,
    /// How long more of a body that flows has been waited for, all rests together.
    rested: Cell<Duration>,
    /// Its answer flows.
    pub streams: Cell<bool>,
    /// Whether more of it may come.
    pub comes: RefCell<Option<Rc<Cell<bool>>>>,
    /// It was answered before its body was here: it is read on for a while, or the answer might be lost.
    pub early: Cell<bool>,
    /// It goes to another process as soon as no request is here.
    pub passing: Cell<bool>,
    /// Where it came in.
    pub came_by: Rc<Mark>,
    /// It has closed its connection, or its sending on it, or has reset it. A half-close counts as leaving: a client that
    /// waits for an answer keeps its sending open.
    left: Cell<bool>,
    /// The socket, and when all that had come on it was last read.
    stream: RefCell<Weak<TcpStream>>,
    looked: Cell<Instant>,
}

impl Client {
    pub fn new(came_by: Rc<Mark>) -> Self {
        Client {
            wake: Notify::new(),
            phase: Cell::new(Phase::Silent),
            since: Cell::new(Instant::now()),
            leave: Cell::new(false),
            fault: Cell::new(None),
            wrote: Cell::new(false),
            came: Cell::new(0),
            last: Cell::new(Instant::now()),
            rested: Cell::default(),
            streams: Cell::new(false),
            comes: RefCell::default(),
            early: Cell::new(false),
            passing: Cell::new(false),
            came_by,
            left: Cell::new(false),
            stream: RefCell::default(),
            looked: Cell::new(Instant::now()),
        }
    }

    /// The socket that it is on.
    pub fn on(&self, stream: &Rc<TcpStream>) {
        self.stream.replace(Rc::downgrade(stream));
    }

    /// Looks whether an end has come that the connection's own task has not read yet.
    fn look(&self) {
        self.looked.set(Instant::now());
        let Some(stream) = self.stream.borrow().upgrade() else { return self.left.set(true) };
        match socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => self.left.set(true),
        }
    }

    pub fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// How long what has come of a request may have taken.
    fn patience(&self) -> Duration {
        REQUEST_WITHIN + Duration::from_secs_f64(self.came.get() as f64 / BODY_RATE)
    }

    /// Bytes of a request are here.
    fn begun(&self) {
        match self.phase.get() {
            Phase::Silent | Phase::Idle => {
                self.turn(Phase::Coming);
                self.wrote.set(false);
                self.came.set(0);
                self.rested.set(Duration::ZERO);
            }
            _ => {}
        }
    }
}

impl Waiter for Client {
    /// Guards against attempts for clients that have gone, which nobody waits for: while the processor is short, an end
    /// that has come may wait long to be read. Harm: one look at the socket for what has waited for `LOOK_AGAIN`.
    fn has_left(&self) -> bool {
        if !self.left.get() && self.looked.get().elapsed() >= LOOK_AGAIN {
            self.look();
        }
        self.left.get()
    }
}

/// What clients keep of the listener that they came by. They must not keep the listener itself: its socket would stay
/// open as long as they stay, and whoever connects then would wait in a backlog that nobody empties.
pub(super) struct Mark {
    /// Its place in the plan in force; none once it was removed.
    pub id: Cell<Option<ListenerId>>,
    /// What the listener is called.
    pub name: String,
}

/// Ends a connection on which nothing more is served, without loss of what was written to it: a close over unread bytes
/// resets it, and an answer that its client has not read yet goes with that. In turn: the write side is shut down, what
/// still comes is read for a while and sent nowhere, and the socket is closed when this returns.
///
/// Guards against requests, or their rest, that cross the end. Harm: a client that never closes holds its descriptor for
/// `CLOSE_WITHIN` longer.
pub(super) async fn close(stream: &TcpStream, client: &Client) {
    if let Some(status) = client.fault.get() {
        return turn_away(stream, status, client.wrote.get()).await;
    }
    if client.comes.borrow().as_ref().is_some_and(|comes| comes.get()) {
        // An answer was cut off. One of no stated length would look whole after an orderly end: a reset never does.
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    } else if client.early.get() {
        linger(stream, FLOW_MOST as usize, EARLY_WITHIN).await;
    } else if !client.left.get() && client.phase.get() != Phase::Silent {
        linger(stream, CLOSE_READ, CLOSE_WITHIN).await;
    }
}

/// Tells a client, if nothing was told yet, why its connection ends, and ends it.
async fn turn_away(stream: &TcpStream, status: StatusCode, wrote: bool) {
    if !wrote {
        let text = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        // A socket on which nothing was written takes so little at once, or its client is gone.
        let _ = stream.try_write(text.as_bytes());
    }
    linger(stream, CLOSE_READ, CLOSE_WITHIN).await;
}

/// Shuts the write side down and reads to the client's end, so much and so long at most.
async fn linger(stream: &TcpStream, most: usize, within: Duration) {
    let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
    let rest = async {
        let (mut scratch, mut size) = ([0; 4096], 0);
        while size < most && stream.readable().await.is_ok() {
            match stream.try_read(&mut scratch) {
                Ok(0) => break,
                Ok(n) => size += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    };
    let _ = timeout(within, rest).await;
}

/// A client's socket behind its gate. It keeps the times of the connection and ends one whose client does not
/// read.
pub(super) struct ClientIo {
    stream: Rc<TcpStream>,
    client: Rc<Client>,
    gate: Gate,
    /// A whole request was handed over, and its answer is not out yet.
    handed: bool,
    /// More came behind it than is kept: what follows can't be told apart any more.
    overrun: bool,
    timer: Option<Pin<Box<Sleep>>>,
    stalled: Option<Pin<Box<Sleep>>>,
    /// Until when nothing of a flood is read.
    pause: Option<Pin<Box<Sleep>>>,
    /// Since when more of a body that flows is waited for.
    waits: Option<Instant>,
    /// The system holds little of what is written.
    bounded: bool,
}

impl ClientIo {
    pub fn new(stream: Rc<TcpStream>, client: Rc<Client>, gate: Gate) -> Self {
        client.on(&stream);
        ClientIo {
            stream,
            client,
            gate,
            handed: false,
            overrun: false,
            timer: None,
            stalled: None,
            pause: None,
            waits: None,
            bounded: false,
        }
    }

    fn fill(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(self.gate.room()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.client.looked.set(Instant::now()),
                read => {
                    if !matches!(read, Ok(n) if n > 0) {
                        self.client.left.set(true);
                    }
                    let rested = self.waits.take().map_or(Duration::ZERO, |since| since.elapsed());
                    self.client.rested.set(self.client.rested.get() + rested);
                    if let Ok(n) = read {
                        self.client.came.set(self.client.came.get() + n as u64);
                        self.client.last.set(Instant::now());
                    }
                    return Poll::Ready(read);
                }
            }
        }
    }

    /// While a request is here, nothing behind it goes through: the library would read no further then, and not see that
    /// its client has left. A little is kept for later, the rest is read and dropped, and the connection ends with the
    /// answer.
    ///
    /// Guards against clients that send much at once and go. Harm: one that sends more than `AHEAD_MOST` ahead of its
    /// answers has to send it again on another connection.
    fn watch(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        loop {
            if self.gate.ahead() > AHEAD_MOST {
                self.overrun = true;
                self.client.leave.set(true);
            }
            let read = if self.overrun {
                self.gate.forget();
                self.drop_flood(cx)
            } else {
                self.fill(cx)
            };
            match ready!(read) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// A flood is read by the piece, with rests: it must not take the processor from others.
    fn drop_flood(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let due = || Box::pin(tokio::time::sleep(FLOOD_EVERY));
        let pause = self.pause.get_or_insert_with(due);
        ready!(pause.as_mut().poll(cx));
        self.pause = None;
        let mut scratch = vec![0; FLOOD_READ];
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut scratch) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.client.looked.set(Instant::now()),
                read => {
                    if !matches!(read, Ok(n) if n > 0) {
                        self.client.left.set(true);
                    }
                    return Poll::Ready(read);
                }
            }
        }
    }

    /// Reads what has come behind a whole request before that goes on: its client may have left already.
    fn look_ahead(&mut self, cx: &mut Context) {
        while self.gate.ahead() <= AHEAD_MOST && !self.client.left.get() {
            if self.fill(cx).is_pending() {
                return;
            }
        }
    }

    /// An answer that flows is held by as little as will do.
    fn bound(&mut self) {
        if self.client.streams.get() && !self.bounded {
            // Without the bound the client is only judged later.
            let _ = socket2::SockRef::from(&*self.stream).set_send_buffer_size(FLOW_BUFFER);
            self.bounded = true;
        }
    }

    fn fault(&self, status: StatusCode) -> Poll<io::Result<()>> {
        self.client.fault.set(Some(status));
        Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
    }

    /// Nothing more is here now. Whether to wait for it: a connection that asks nothing ends like one that its
    /// client has closed, one that is slow in asking with an error.
    ///
    /// Guards against silent connections, heads and bodies that never end, and clients that ask once and stay;
    /// it ought to catch whatever holds a connection without a whole request. Harm: a request that takes longer
    /// than `REQUEST_WITHIN` to come is turned away, however honest its client.
    fn wait(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        let client = self.client.clone();
        if let Some(status) = client.fault.get() {
            return self.fault(status);
        }
        let due = match client.phase.get() {
            Phase::Silent | Phase::Idle if client.leave.get() => return Poll::Ready(Ok(())),
            Phase::Silent => client.since.get() + ASKS_WITHIN,
            Phase::Idle => client.since.get() + IDLE_WITHIN,
            // As slowly as a body may come, but never at rest for long.
            Phase::Coming => (client.since.get() + client.patience()).min(client.last.get() + REQUEST_WITHIN),
            // Here it is the server that may have kept the client waiting: only rests count.
            Phase::Flowing if self.gate.amid() => {
                let left = client.patience().saturating_sub(client.rested.get());
                *self.waits.get_or_insert_with(Instant::now) + left.min(REQUEST_WITHIN)
            }
            Phase::Flowing | Phase::Open | Phase::Answered => return Poll::Pending,
        };
        let due = due.into();
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        ready!(timer.as_mut().poll(cx));
        match client.phase.get() {
            Phase::Coming | Phase::Flowing => self.fault(StatusCode::REQUEST_TIMEOUT),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn wrote(&mut self, cx: &mut Context, wrote: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if wrote.is_ready() {
            self.client.wrote.set(true);
            self.stalled = None;
            return wrote;
        }
        let within = if self.client.streams.get() { FLOW_TAKEN_WITHIN } else { WRITE_WITHIN };
        let stalled = self.stalled.get_or_insert_with(|| Box::pin(tokio::time::sleep(within)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        if this.handed || this.client.phase.get() == Phase::Open {
            return this.watch(cx);
        }
        if this.overrun {
            return Poll::Ready(Ok(()));
        }
        loop {
            let passed = match this.gate.pass(buf) {
                Ok(passed) => passed,
                Err(status) => return this.fault(status),
            };
            if passed.is_break() || this.gate.amid() {
                this.client.begun();
            }
            if passed.is_break() {
                if this.gate.between() {
                    this.handed = true;
                    this.look_ahead(cx);
                }
                return Poll::Ready(Ok(()));
            }
            if this.client.left.get() {
                // Its end was read ahead.
                return Poll::Ready(Ok(()));
            }
            match this.fill(cx) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => return this.wait(cx),
            }
        }
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, data: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.bound();
        let wrote = write_when_ready(&this.stream, cx, |stream| stream.try_write(data));
        this.wrote(cx, wrote)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, data: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.bound();
        let wrote = write_when_ready(&this.stream, cx, |stream| stream.try_write_vectored(data));
        this.wrote(cx, wrote)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The library flushes when all that is here of an answer is written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let comes = self.client.comes.borrow().as_ref().is_some_and(|comes| comes.get());
        if self.client.phase.get() == Phase::Answered && self.client.wrote.get() && !comes {
            self.handed = false;
            // What came meanwhile is here already: nobody else says that it is to be read.
            cx.waker().wake_by_ref();
            if self.gate.amid() {
                // The next request is here already, in part or whole.
                self.client.turn(Phase::Coming);
                self.client.wrote.set(false);
            } else {
                self.client.turn(Phase::Idle);
                if self.client.passing.get() {
                    self.client.wake.notify_one();
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        if self.client.fault.get().is_some() {
            // The library ends what it can't read; the client is still to be told why (`turn_away`).
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

fn write_when_ready(
    stream: &TcpStream, cx: &mut Context, write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            wrote => return Poll::Ready(wrote),
        }
    }
}
