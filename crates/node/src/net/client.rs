//! One client's connection: where it stands, and who has left. Reading and its time-outs are in `io`, its orderly end in
//! `close`, its place among those that may be closed to make room in `eviction`.

mod close;
mod eviction;
mod io;
#[cfg(test)]
mod tests;

pub(super) use close::close;
pub(super) use eviction::{ClientId, EvictionOrder, CROWDED_GRACE};
pub(super) use io::ClientIo;

use super::message::Waiter;
use hyper::StatusCode;
use reelfall_routing::table::ListenerId;
use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A head may take so long from its first byte on, and nothing may rest for longer in the middle of a request.
const REQUEST_WITHIN: Duration = Duration::from_millis(2600);
/// A body may come as slowly as this, in bytes a second.
const BODY_RATE: f64 = 40e3;
/// A client that was seen on its connection this lately is taken to be there still. A tenth of a second is the most.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Where a client's connection stands.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Nothing has come yet.
    New,
    /// A request has begun to come.
    Receiving,
    /// A request's body flows on to a server as it comes.
    Streaming,
    /// A request is whole and has no answer yet.
    AwaitingAnswer,
    /// The answer is on its way.
    Answering,
    /// The answer is out, and nothing has come since.
    Idle,
}

/// One client's connection.
pub(super) struct Client {
    id: ClientId,
    /// What it is in while requests are read from it.
    eviction_order: Rc<RefCell<EvictionOrder>>,
    /// Look at the connection again: something here has changed.
    pub wake: Notify,
    pub phase: Cell<Phase>,
    /// When the phase began; a first request begins with its connection.
    pub since: Cell<Instant>,
    /// It is closed as soon as no request is here.
    pub close_when_idle: Cell<bool>,
    /// What the client is told when its connection can't go on.
    pub fault: Cell<Option<StatusCode>>,
    /// Something was written since the last request began.
    wrote: Cell<bool>,
    /// Bytes of the request that is coming, and when the last of them came.
    request_bytes: Cell<u64>,
    last_byte_at: Cell<Instant>,
    /// How long more of a body that flows has been waited for, all rests together.
    time_stalled: Cell<Duration>,
    /// Its answer flows.
    pub is_streaming: Cell<bool>,
    /// Whether more of it may come.
    pub answer_open: RefCell<Option<Rc<Cell<bool>>>>,
    /// It was answered before its body was here: it is read on for a while, or the answer might be lost.
    pub answered_early: Cell<bool>,
    /// It goes to another process as soon as no request is here.
    pub handing_over: Cell<bool>,
    /// Where it came in.
    pub listener_tag: Rc<ListenerTag>,
    /// It has closed its connection, or its sending on it, or has reset it. A half-close counts as leaving: a client that
    /// waits for an answer keeps its sending open.
    disconnected: Cell<bool>,
    /// The socket, and when all that had come on it was last read.
    stream: RefCell<Weak<TcpStream>>,
    last_checked: Cell<Instant>,
}

impl Client {
    pub fn new(
        id: ClientId,
        listener_tag: Rc<ListenerTag>,
        eviction_order: Rc<RefCell<EvictionOrder>>,
    ) -> Self {
        Client {
            id,
            eviction_order,
            wake: Notify::new(),
            phase: Cell::new(Phase::New),
            since: Cell::new(Instant::now()),
            close_when_idle: Cell::new(false),
            fault: Cell::new(None),
            wrote: Cell::new(false),
            request_bytes: Cell::new(0),
            last_byte_at: Cell::new(Instant::now()),
            time_stalled: Cell::default(),
            is_streaming: Cell::new(false),
            answer_open: RefCell::default(),
            answered_early: Cell::new(false),
            handing_over: Cell::new(false),
            listener_tag,
            disconnected: Cell::new(false),
            stream: RefCell::default(),
            last_checked: Cell::new(Instant::now()),
        }
    }

    /// The socket that it is on.
    pub fn set_socket(&self, stream: &Rc<TcpStream>) {
        self.stream.replace(Rc::downgrade(stream));
    }

    /// Looks whether an end has come that the connection's own task has not read yet.
    fn check_disconnect(&self) {
        self.last_checked.set(Instant::now());
        let Some(stream) = self.stream.borrow().upgrade() else {
            return self.disconnected.set(true);
        };
        match socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => self.disconnected.set(true),
        }
    }

    pub fn set_phase(&self, phase: Phase) {
        self.leave_eviction_order();
        self.phase.set(phase);
        self.since.set(Instant::now());
        self.enter_eviction_order();
    }

    /// It may be closed to make room from here on.
    pub fn enter_eviction_order(&self) {
        self.eviction_order
            .borrow_mut()
            .insert(self.phase.get(), self.since.get(), self.id);
    }

    /// It ends, or goes elsewhere: closing it would make no room sooner.
    pub fn leave_eviction_order(&self) {
        self.eviction_order
            .borrow_mut()
            .remove(self.phase.get(), self.since.get(), self.id);
    }

    /// How long what has come of a request may have taken.
    fn time_allowed(&self) -> Duration {
        REQUEST_WITHIN + Duration::from_secs_f64(self.request_bytes.get() as f64 / BODY_RATE)
    }

    /// Bytes of a request are here.
    fn begin_request(&self) {
        match self.phase.get() {
            Phase::New | Phase::Idle => {
                self.set_phase(Phase::Receiving);
                self.wrote.set(false);
                self.request_bytes.set(0);
                self.time_stalled.set(Duration::ZERO);
            }
            _ => {}
        }
    }
}

impl Waiter for Client {
    /// Guards against attempts for clients that have gone, which nobody waits for: while the processor is short, an end
    /// that has come may wait long to be read. Harm: one look at the socket for what has waited for `LOOK_AGAIN`.
    fn has_disconnected(&self) -> bool {
        if !self.disconnected.get() && self.last_checked.get().elapsed() >= LOOK_AGAIN {
            self.check_disconnect();
        }
        self.disconnected.get()
    }
}

/// What clients keep of the listener that they came by. They must not keep the listener itself: its socket would stay
/// open as long as they stay, and whoever connects then would wait in a backlog that nobody empties.
pub(super) struct ListenerTag {
    /// Its place in the plan in force; none once it was removed.
    pub id: Cell<Option<ListenerId>>,
    /// What the listener is called.
    pub name: String,
}
