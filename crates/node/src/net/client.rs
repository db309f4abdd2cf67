//! The connection of one client: its phase, its progress and whether the client has disconnected.
//!
//! Created by `frontend::accept` for each connection.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `io` | reading and writing its socket, with the timeouts of both |
//! | `stream_buffers` | the sizes of its socket's buffers while something is streamed |
//! | `close` | closing it without losing an answer |
//! | `eviction` | which connection is closed first at the client limit |

mod close;
mod eviction;
mod io;
mod stream_buffers;
#[cfg(test)]
mod tests;

pub(super) use close::close;
pub(super) use eviction::{ClientId, EvictionOrder, CROWDED_GRACE};
pub(super) use io::ClientIo;

use super::answer::AnswerMemory;
use super::memory::{MemoryAccount, Reservation, CLIENT_CONNECTION_BYTES};
use super::message::{ClientInput, Waiter};
use futures_util::FutureExt;
use hyper::StatusCode;
use reelfall_routing::table::ListenerId;
use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long the head of a request may take from its first byte on, and the longest pause within a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2600);
/// The lowest rate at which the body of a request may be received, in bytes per second.
const MIN_BODY_RATE: f64 = 40e3;
/// Reserved for input beyond [`io::MAX_UNRESERVED_INPUT`], in bytes: the buffers of the connection, which grow to twice the
/// largest head, and the copies of a head that are sent to servers.
const LONG_INPUT_BYTES: usize = 96 << 10;
/// How long the result of the last check whether a client is connected stays valid.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The phase of a client's connection.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Phase {
    /// Nothing has been received yet.
    New,
    /// A request is being received.
    Receiving,
    /// The body of a request is streamed to a server while it is received.
    Streaming,
    /// A complete request has no answer yet.
    AwaitingAnswer,
    /// The answer is being written.
    Answering,
    /// The answer was written, and nothing was received since.
    Idle,
}

/// One client's connection.
pub(super) struct Client {
    id: ClientId,
    /// The eviction queues of all clients, which contain this one while it may be evicted.
    eviction_order: Rc<RefCell<EvictionOrder>>,
    /// Wakes the task that serves the connection, after a change here.
    pub wake: Notify,
    pub phase: Cell<Phase>,
    /// When the phase began; [`Phase::New`] begins when the connection is accepted.
    pub phase_since: Cell<Instant>,
    /// Whether it is closed as soon as no request is in progress.
    pub close_when_idle: Cell<bool>,
    /// The status to respond with before the connection is closed, if its request was rejected, timed out or evicted.
    pub rejection_status: Cell<Option<StatusCode>>,
    /// Notified when the status is set because the request was not received in time.
    pub rejected: Notify,
    /// Whether anything was written since the last request began.
    has_written: Cell<bool>,
    /// Bytes received of the current request, and when the last of them were received.
    request_bytes: Cell<u64>,
    last_byte_at: Cell<Instant>,
    /// How long the reading of a streamed body has waited for the client, in total.
    time_stalled: Cell<Duration>,
    /// When the present wait for more of a streamed body began.
    awaited_since: Cell<Option<Instant>>,
    /// When the latest of these waits ended.
    awaited_until: Cell<Option<Instant>>,
    /// Whether the current answer is streamed.
    pub is_streaming: Cell<bool>,
    /// Set while a part of the answer was not passed to the HTTP library.
    pub answer_open_flag: RefCell<Option<Rc<Cell<bool>>>>,
    /// Whether a request was answered before its body was received. The close then lingers, since the answer might be
    /// lost otherwise.
    pub was_answered_early: Cell<bool>,
    /// Whether the connection is being closed because it is idle. A request that arrives before the close is still
    /// served.
    is_closing_idle: Cell<bool>,
    /// Whether it is handed over to another process as soon as no request is in progress.
    pub is_handing_over: Cell<bool>,
    /// The listener that accepted it.
    pub listener_tag: Rc<ListenerTag>,
    /// Whether the client has closed or reset its connection. A half-close counts: a client that waits for an answer
    /// keeps its write side open.
    is_disconnected: Cell<bool>,
    /// The socket, for checks outside the HTTP library.
    stream: RefCell<Weak<TcpStream>>,
    /// When the socket was last checked for a disconnect: by a read of all that had arrived, or by a peek.
    last_disconnect_check: Cell<Instant>,
    account: Rc<MemoryAccount>,
    _connection_memory: Reservation,
    /// The memory for long input: a large head, or requests behind the one that is being answered. Kept as long as the
    /// connection, whose buffers have grown for it, and as long as a request of it is at a server.
    input_memory: RefCell<Option<Reservation>>,
    /// The memory of the answer that is being written.
    pub answer_memory: RefCell<AnswerMemory>,
}

impl Client {
    /// A connection that was just accepted.
    pub fn new(
        id: ClientId,
        listener_tag: Rc<ListenerTag>,
        eviction_order: Rc<RefCell<EvictionOrder>>,
        account: Rc<MemoryAccount>,
    ) -> Self {
        Client {
            id,
            eviction_order,
            wake: Notify::new(),
            phase: Cell::new(Phase::New),
            phase_since: Cell::new(Instant::now()),
            close_when_idle: Cell::new(false),
            rejection_status: Cell::new(None),
            rejected: Notify::new(),
            has_written: Cell::new(false),
            request_bytes: Cell::new(0),
            last_byte_at: Cell::new(Instant::now()),
            time_stalled: Cell::default(),
            awaited_since: Cell::new(None),
            awaited_until: Cell::new(None),
            is_streaming: Cell::new(false),
            answer_open_flag: RefCell::default(),
            was_answered_early: Cell::new(false),
            is_closing_idle: Cell::new(false),
            is_handing_over: Cell::new(false),
            listener_tag,
            is_disconnected: Cell::new(false),
            stream: RefCell::default(),
            last_disconnect_check: Cell::new(Instant::now()),
            _connection_memory: account.reserve_connection(CLIENT_CONNECTION_BYTES),
            account,
            input_memory: RefCell::default(),
            answer_memory: RefCell::default(),
        }
    }

    /// Reserves memory for long input, unless that is done already; `false` if there is none.
    fn reserve_input_memory(&self) -> bool {
        let mut memory = self.input_memory.borrow_mut();
        if memory.is_none() {
            *memory = self.account.try_reserve(LONG_INPUT_BYTES);
        }
        memory.is_some()
    }

    /// Sets the socket that is checked for a disconnect.
    pub fn set_socket(&self, stream: &Rc<TcpStream>) {
        self.stream.replace(Rc::downgrade(stream));
    }

    /// Ends the closing of an idle connection, if one is in progress. Returns whether a request has arrived meanwhile.
    pub fn take_late_request(&self, stream: &TcpStream) -> bool {
        self.is_closing_idle.take() && has_input(stream)
    }

    /// Checks for a disconnect that the connection's own task has not read yet.
    fn check_disconnect(&self) {
        self.last_disconnect_check.set(Instant::now());
        let Some(stream) = self.stream.borrow().upgrade() else {
            return self.is_disconnected.set(true);
        };
        match socket2::SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
            // The end of the connection may lie behind input that is not read.
            Ok(length) if length > 0 => self.is_disconnected.set(is_read_closed(&stream)),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => self.is_disconnected.set(true),
        }
    }

    /// Whether its answer is forwarded while more of it may arrive.
    pub fn is_answer_unfinished(&self) -> bool {
        let is_open = self.answer_open_flag.borrow();
        self.phase.get() == Phase::Answering
            && self.is_streaming.get()
            && is_open.as_ref().is_some_and(|is_open| is_open.get())
    }

    /// Enters a phase now.
    pub fn set_phase(&self, phase: Phase) {
        self.leave_eviction_order();
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
        self.enter_eviction_order();
    }

    /// Makes the connection eligible for eviction, if its phase permits that.
    pub fn enter_eviction_order(&self) {
        self.eviction_order
            .borrow_mut()
            .insert(self.phase.get(), self.phase_since.get(), self.id);
    }

    /// Makes the connection ineligible for eviction.
    pub fn leave_eviction_order(&self) {
        self.eviction_order
            .borrow_mut()
            .remove(self.phase.get(), self.phase_since.get(), self.id);
    }

    /// The maximum time since the start of the request, given the bytes received so far.
    fn time_allowed(&self) -> Duration {
        REQUEST_TIMEOUT + Duration::from_secs_f64(self.request_bytes.get() as f64 / MIN_BODY_RATE)
    }

    /// Begins a wait for more of a streamed body, unless one is in progress; returns when it began.
    fn begin_wait_for_input(&self) -> Instant {
        let since = self.awaited_since.get().unwrap_or_else(Instant::now);
        self.awaited_since.set(Some(since));
        since
    }

    /// Ends a wait for more of a streamed body, if one is in progress.
    fn end_wait_for_input(&self) {
        let Some(since) = self.awaited_since.take() else {
            return;
        };
        let now = Instant::now();
        self.awaited_until.set(Some(now));
        self.time_stalled
            .set(self.time_stalled.get() + (now - since));
    }

    /// Enters [`Phase::Receiving`] if the received bytes start a request.
    fn begin_request(&self) {
        match self.phase.get() {
            Phase::New | Phase::Idle => {
                self.set_phase(Phase::Receiving);
                self.has_written.set(false);
                self.request_bytes.set(0);
                self.time_stalled.set(Duration::ZERO);
                self.awaited_since.set(None);
                self.awaited_until.set(None);
            }
            _ => {}
        }
    }
}

/// Whether the runtime has seen the end of the client's data, which may lie behind unread data.
fn is_read_closed(stream: &TcpStream) -> bool {
    let readiness = stream.ready(Interest::READABLE).now_or_never();
    readiness.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
}

/// Whether the socket has unread data, even if the runtime has not reported it yet.
fn has_input(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_ok_and(|length| length > 0)
}

impl Waiter for Client {
    /// Checks the socket as well: on a busy processor, the connection's own task may notice a disconnect late, and
    /// attempts would be made for a client that is gone.
    fn has_disconnected(&self) -> bool {
        if !self.is_disconnected.get()
            && self.last_disconnect_check.get().elapsed() >= DISCONNECT_CHECK_INTERVAL
        {
            self.check_disconnect();
        }
        self.is_disconnected.get()
    }

    fn input(&self) -> ClientInput {
        ClientInput {
            is_awaited: self.awaited_since.get().is_some(),
            awaited_until: self.awaited_until.get(),
        }
    }

    fn unread_input_bytes(&self) -> Option<u64> {
        let stream = self.stream.borrow().upgrade()?;
        rustix::io::ioctl_fionread(&*stream).ok()
    }
}

/// The identity of a listener, shared with its clients. They must not share the listener itself: its socket would stay
/// open as long as they do, and new clients would wait in a backlog that is never accepted from.
pub(super) struct ListenerTag {
    /// Its index in the active settings; `None` once it was removed.
    pub id: Cell<Option<ListenerId>>,
    /// The name that the settings give it.
    pub name: String,
}
