//! A client's socket for the HTTP library: reading behind the gate, writing, and the time-outs of both.

use super::{Client, Phase, REQUEST_WITHIN};
use crate::net::gate::Gate;
use crate::net::MAX_REQUEST_HEAD_BYTES;
use hyper::StatusCode;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// A new connection has to bring something within this time: what has not asked by then holds a descriptor for nothing.
const ASKS_WITHIN: Duration = Duration::from_secs(2);
/// A connection on which nothing was asked for so long is closed.
const IDLE_WITHIN: Duration = Duration::from_secs(5);
/// A client that takes nothing of its answer for this long has left; of one that flows, for the longer time.
const WRITE_WITHIN: Duration = Duration::from_secs(3);
const FLOW_TAKEN_WITHIN: Duration = Duration::from_secs(10);
/// What the system may hold of an answer that flows. More would hide whether a slow client still takes something.
const FLOW_BUFFER: usize = 128 << 10;
/// What is kept of requests that come before the one ahead of them is answered.
const AHEAD_MOST: usize = MAX_REQUEST_HEAD_BYTES;
/// How often more of a flood is read, and how much: an end behind a megabyte is found in a tenth of a second.
const FLOOD_EVERY: Duration = Duration::from_millis(20);
const FLOOD_READ: usize = 256 << 10;

/// A client's socket behind its gate. It keeps the times of the connection and ends one whose client does not
/// read.
pub(in crate::net) struct ClientIo {
    stream: Rc<TcpStream>,
    client: Rc<Client>,
    gate: Gate,
    /// A whole request was handed over, and its answer is not out yet.
    request_delivered: bool,
    /// More came behind it than is kept: what follows can't be told apart any more.
    overrun: bool,
    timer: Option<Pin<Box<Sleep>>>,
    stalled: Option<Pin<Box<Sleep>>>,
    /// Until when nothing of a flood is read.
    pause: Option<Pin<Box<Sleep>>>,
    /// Since when more of a body that flows is waited for.
    waiting_since: Option<Instant>,
    /// The system holds little of what is written.
    send_buffer_limited: bool,
}

impl ClientIo {
    pub fn new(stream: Rc<TcpStream>, client: Rc<Client>, gate: Gate) -> Self {
        client.set_socket(&stream);
        ClientIo {
            stream,
            client,
            gate,
            request_delivered: false,
            overrun: false,
            timer: None,
            stalled: None,
            pause: None,
            waiting_since: None,
            send_buffer_limited: false,
        }
    }

    fn fill(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(self.gate.read_buffer()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.client.last_checked.set(Instant::now())
                }
                read => {
                    if !matches!(read, Ok(n) if n > 0) {
                        self.client.disconnected.set(true);
                    }
                    let time_stalled = self
                        .waiting_since
                        .take()
                        .map_or(Duration::ZERO, |since| since.elapsed());
                    self.client
                        .time_stalled
                        .set(self.client.time_stalled.get() + time_stalled);
                    if let Ok(n) = read {
                        self.client
                            .request_bytes
                            .set(self.client.request_bytes.get() + n as u64);
                        self.client.last_byte_at.set(Instant::now());
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
    fn poll_disconnect(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        loop {
            if self.gate.buffered() > AHEAD_MOST {
                self.overrun = true;
                self.client.close_when_idle.set(true);
            }
            let read = if self.overrun {
                self.gate.clear();
                self.discard_excess(cx)
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
    fn discard_excess(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let due = || Box::pin(tokio::time::sleep(FLOOD_EVERY));
        let pause = self.pause.get_or_insert_with(due);
        ready!(pause.as_mut().poll(cx));
        self.pause = None;
        let mut scratch = vec![0; FLOOD_READ];
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut scratch) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.client.last_checked.set(Instant::now())
                }
                read => {
                    if !matches!(read, Ok(n) if n > 0) {
                        self.client.disconnected.set(true);
                    }
                    return Poll::Ready(read);
                }
            }
        }
    }

    /// Reads what has come behind a whole request before that goes on: its client may have left already.
    fn read_ahead(&mut self, cx: &mut Context) {
        while self.gate.buffered() <= AHEAD_MOST && !self.client.disconnected.get() {
            if self.fill(cx).is_pending() {
                return;
            }
        }
    }

    /// An answer that flows is held by as little as will do.
    fn limit_send_buffer(&mut self) {
        if self.client.is_streaming.get() && !self.send_buffer_limited {
            // Without the bound the client is only judged later.
            let _ = socket2::SockRef::from(&*self.stream).set_send_buffer_size(FLOW_BUFFER);
            self.send_buffer_limited = true;
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
    fn poll_timeouts(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        let client = self.client.clone();
        if let Some(status) = client.fault.get() {
            return self.fault(status);
        }
        let due = match client.phase.get() {
            Phase::New | Phase::Idle if client.close_when_idle.get() => return self.poll_end(),
            Phase::New => client.since.get() + ASKS_WITHIN,
            Phase::Idle => client.since.get() + IDLE_WITHIN,
            // As slowly as a body may come, but never at rest for long.
            Phase::Receiving => (client.since.get() + client.time_allowed())
                .min(client.last_byte_at.get() + REQUEST_WITHIN),
            // Here it is the server that may have kept the client waiting: only rests count.
            Phase::Streaming if self.gate.is_mid_request() => {
                let left = client
                    .time_allowed()
                    .saturating_sub(client.time_stalled.get());
                *self.waiting_since.get_or_insert_with(Instant::now) + left.min(REQUEST_WITHIN)
            }
            Phase::Streaming | Phase::AwaitingAnswer | Phase::Answering => return Poll::Pending,
        };
        let due = due.into();
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(due)));
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        ready!(timer.as_mut().poll(cx));
        match client.phase.get() {
            Phase::Receiving | Phase::Streaming => self.fault(StatusCode::REQUEST_TIMEOUT),
            _ => self.poll_end(),
        }
    }

    /// Ends a connection on which nothing is asked, unless bytes have come that the runtime has not told of yet: it will,
    /// and what they ask is answered first.
    ///
    /// Guards against requests that come in the moment of an eviction or a time-out, which would be dropped unread or
    /// unanswered while the processor is short. Harm: one look at the socket for each such end.
    fn poll_end(&self) -> Poll<io::Result<()>> {
        match socket2::SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Ok(n) if n > 0 => Poll::Pending,
            _ => Poll::Ready(Ok(())),
        }
    }

    fn track_write(
        &mut self,
        cx: &mut Context,
        wrote: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if wrote.is_ready() {
            self.client.wrote.set(true);
            self.stalled = None;
            return wrote;
        }
        let within = if self.client.is_streaming.get() {
            FLOW_TAKEN_WITHIN
        } else {
            WRITE_WITHIN
        };
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(within)));
        ready!(stalled.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        if this.request_delivered || this.client.phase.get() == Phase::AwaitingAnswer {
            return this.poll_disconnect(cx);
        }
        if this.overrun {
            return Poll::Ready(Ok(()));
        }
        loop {
            let passed = match this.gate.forward(buf) {
                Ok(passed) => passed,
                Err(status) => return this.fault(status),
            };
            if passed.is_break() || this.gate.is_mid_request() {
                this.client.begin_request();
            }
            if passed.is_break() {
                if this.gate.is_between_requests() {
                    this.request_delivered = true;
                    this.read_ahead(cx);
                }
                return Poll::Ready(Ok(()));
            }
            if this.client.disconnected.get() {
                // Its end was read ahead.
                return Poll::Ready(Ok(()));
            }
            match this.fill(cx) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => return this.poll_timeouts(cx),
            }
        }
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, data: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.limit_send_buffer();
        let wrote = write_when_ready(&this.stream, cx, |stream| stream.try_write(data));
        this.track_write(cx, wrote)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        data: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.limit_send_buffer();
        let wrote = write_when_ready(&this.stream, cx, |stream| stream.try_write_vectored(data));
        this.track_write(cx, wrote)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The library flushes when all that is here of an answer is written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let answer_open = self
            .client
            .answer_open
            .borrow()
            .as_ref()
            .is_some_and(|answer_open| answer_open.get());
        if self.client.phase.get() == Phase::Answering && self.client.wrote.get() && !answer_open {
            self.request_delivered = false;
            // What came meanwhile is here already: nobody else says that it is to be read.
            cx.waker().wake_by_ref();
            if self.gate.is_mid_request() {
                // The next request is here already, in part or whole.
                self.client.set_phase(Phase::Receiving);
                self.client.wrote.set(false);
            } else {
                self.client.set_phase(Phase::Idle);
                if self.client.handing_over.get() {
                    self.client.wake.notify_one();
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        if self.client.fault.get().is_some() {
            // The library ends what it can't read; the client is still to be told why (`reject`).
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

fn write_when_ready(
    stream: &TcpStream,
    cx: &mut Context,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            wrote => return Poll::Ready(wrote),
        }
    }
}
