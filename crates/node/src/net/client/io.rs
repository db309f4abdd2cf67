//! A client's socket for the HTTP library: reading through the request filter, writing, and the timeouts of both.
//!
//! `frontend::accept` gives a [`ClientIo`] to the HTTP library for each connection.

use super::stream_buffers::StreamBuffers;
use super::{has_input, Client, Phase, REQUEST_TIMEOUT};
use crate::net::request_filter::RequestFilter;
use crate::net::MAX_REQUEST_HEAD_BYTES;
use hyper::StatusCode;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// A new connection is closed after this time if nothing was received.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A client that reads nothing of its answer for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// The write timeout of a streamed answer.
const STREAM_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of pipelined requests that are buffered while a request is being answered, in bytes.
const MAX_PIPELINED_BYTES: usize = MAX_REQUEST_HEAD_BYTES;
/// How much input may be buffered without a reservation of memory, in bytes.
pub(super) const MAX_UNRESERVED_INPUT: usize = 4 << 10;
/// How often excess input is read, and how many bytes at a time: a disconnect after 1 MB of it is detected within 100
/// ms.
const EXCESS_READ_INTERVAL: Duration = Duration::from_millis(20);
const EXCESS_READ_BYTES: usize = 256 << 10;

/// A client's socket behind a request filter. It enforces the timeouts of the connection.
pub(in crate::net) struct ClientIo {
    stream: Rc<TcpStream>,
    client: Rc<Client>,
    filter: RequestFilter,
    /// Whether a complete request was passed to the HTTP library and its answer is not written yet.
    is_request_delivered: bool,
    /// Whether more input followed it than may be buffered. Some of it was discarded, so no request can follow.
    has_excess: bool,
    read_timer: Option<Pin<Box<Sleep>>>,
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Runs between two reads of excess input.
    excess_timer: Option<Pin<Box<Sleep>>>,
    /// The system's buffers, which are reduced for streamed bodies and answers.
    stream_buffers: StreamBuffers,
}

impl ClientIo {
    pub fn new(stream: Rc<TcpStream>, client: Rc<Client>, filter: RequestFilter) -> Self {
        client.set_socket(&stream);
        ClientIo {
            stream,
            client,
            filter,
            is_request_delivered: false,
            has_excess: false,
            read_timer: None,
            write_timer: None,
            excess_timer: None,
            stream_buffers: StreamBuffers::default(),
        }
    }

    /// Reads from the socket into the filter.
    fn fill(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(self.filter.read_buffer()) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.client.last_disconnect_check.set(Instant::now());
                }
                read => {
                    self.record_read(&read);
                    return Poll::Ready(read);
                }
            }
        }
    }

    /// Updates the client's progress after a read from its socket.
    fn record_read(&mut self, read: &io::Result<usize>) {
        let client = &self.client;
        if is_disconnect(read) {
            client.is_disconnected.set(true);
        }
        client.end_wait_for_input();
        if let Ok(length) = read {
            client
                .request_bytes
                .set(client.request_bytes.get() + *length as u64);
            client.last_byte_at.set(Instant::now());
        }
    }

    /// Continues to read while a request is being answered, to detect a disconnect; the HTTP library would not read.
    ///
    /// Pipelined input is buffered up to [`MAX_PIPELINED_BYTES`]. If there is more, all of it is discarded, and the
    /// connection is closed after the answer.
    fn poll_disconnect(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        loop {
            if self.filter.buffered() > MAX_PIPELINED_BYTES {
                self.has_excess = true;
                self.client.close_when_idle.set(true);
            }
            let read = if self.has_excess {
                self.filter.clear();
                self.discard_excess(cx)
            } else if self.may_buffer_more() {
                self.fill(cx)
            } else {
                // The rest is read when the request is answered, which wakes the task.
                return Poll::Pending;
            };
            match ready!(read) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    /// Whether there is memory to buffer more input.
    fn may_buffer_more(&self) -> bool {
        self.filter.buffered() < MAX_UNRESERVED_INPUT || self.client.reserve_input_memory()
    }

    /// Reads and discards excess input at a limited rate, which leaves processor time to other connections.
    fn discard_excess(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let start_timer = || Box::pin(tokio::time::sleep(EXCESS_READ_INTERVAL));
        let excess_timer = self.excess_timer.get_or_insert_with(start_timer);
        ready!(excess_timer.as_mut().poll(cx));
        self.excess_timer = None;
        let mut scratch = vec![0; EXCESS_READ_BYTES];
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(&mut scratch) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.client.last_disconnect_check.set(Instant::now());
                }
                read => {
                    if is_disconnect(&read) {
                        self.client.is_disconnected.set(true);
                    }
                    return Poll::Ready(read);
                }
            }
        }
    }

    /// Reads the input after a complete request before that is forwarded: its client may already have disconnected.
    fn read_ahead(&mut self, cx: &mut Context) {
        while self.filter.buffered() <= MAX_PIPELINED_BYTES
            && self.may_buffer_more()
            && !self.client.is_disconnected.get()
        {
            if self.fill(cx).is_pending() {
                return;
            }
        }
    }

    /// Reduces the system's buffers for a streamed body or answer.
    fn limit_buffers(&mut self) {
        if self.client.phase.get() == Phase::Streaming {
            self.stream_buffers.limit_receive_buffer(&self.stream);
        }
        if self.client.is_streaming.get() {
            self.stream_buffers.limit_send_buffer(&self.stream);
        }
    }

    /// Ends the connection with an error; [`close`](super::close()) responds with the status.
    fn reject(&self, status: StatusCode) -> Poll<io::Result<()>> {
        self.client.rejection_status.set(Some(status));
        self.client.rejected.notify_waiters();
        Poll::Ready(Err(io::ErrorKind::InvalidData.into()))
    }

    /// Enforces the timeouts of reading while nothing more can be read. A connection without a request ends as if its
    /// client had closed it; one with an incomplete request is answered 408.
    fn poll_timeouts(&mut self, cx: &mut Context) -> Poll<io::Result<()>> {
        if let Some(status) = self.client.rejection_status.get() {
            return self.reject(status);
        }
        let is_idle = matches!(self.client.phase.get(), Phase::New | Phase::Idle);
        if is_idle && self.client.close_when_idle.get() {
            return self.poll_end();
        }
        let Some(deadline) = self.read_deadline() else {
            return Poll::Pending;
        };
        let deadline = deadline.into();
        let read_timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        if read_timer.deadline() != deadline {
            read_timer.as_mut().reset(deadline);
        }
        ready!(read_timer.as_mut().poll(cx));
        match self.client.phase.get() {
            Phase::Receiving | Phase::Streaming => self.reject(StatusCode::REQUEST_TIMEOUT),
            _ => self.poll_end(),
        }
    }

    /// When the client has to have sent more; `None` while nothing is expected from it.
    fn read_deadline(&self) -> Option<Instant> {
        let client = &self.client;
        let phase_since = client.phase_since.get();
        match client.phase.get() {
            Phase::New => Some(phase_since + FIRST_REQUEST_TIMEOUT),
            Phase::Idle => Some(phase_since + IDLE_TIMEOUT),
            // The minimum rate limits the whole request, and the timeout each pause in it.
            Phase::Receiving => {
                let request_deadline = phase_since + client.time_allowed();
                Some(request_deadline.min(client.last_byte_at.get() + REQUEST_TIMEOUT))
            }
            // The server may have slowed the client down, so only the time spent waiting for the client counts.
            Phase::Streaming if self.filter.is_mid_request() => {
                let time_left = client
                    .time_allowed()
                    .saturating_sub(client.time_stalled.get());
                Some(client.begin_wait_for_input() + time_left.min(REQUEST_TIMEOUT))
            }
            Phase::Streaming | Phase::AwaitingAnswer | Phase::Answering => None,
        }
    }

    /// Ends a connection without a request, unless input has arrived that the runtime has not reported yet. A request
    /// that arrives at the same time as an eviction or a timeout is answered first.
    fn poll_end(&self) -> Poll<io::Result<()>> {
        if has_input(&self.stream) {
            return Poll::Pending;
        }
        self.client.is_closing_idle.set(true);
        Poll::Ready(Ok(()))
    }

    /// Records a write, or enforces the timeout of one that is pending.
    fn track_write(
        &mut self,
        cx: &mut Context,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.client.has_written.set(true);
            self.write_timer = None;
            return written;
        }
        let timeout = if self.client.is_streaming.get() {
            STREAM_WRITE_TIMEOUT
        } else {
            WRITE_TIMEOUT
        };
        let write_timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(write_timer.as_mut().poll(cx));
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
        if this.is_request_delivered || this.client.phase.get() == Phase::AwaitingAnswer {
            return this.poll_disconnect(cx);
        }
        if this.has_excess {
            return Poll::Ready(Ok(()));
        }
        this.limit_buffers();
        loop {
            let forwarded = match this.filter.forward(buf) {
                Ok(forwarded) => forwarded,
                Err(status) => return this.reject(status),
            };
            if forwarded.is_break() || this.filter.is_mid_request() {
                this.client.begin_request();
            }
            if forwarded.is_break() {
                if this.filter.is_between_requests() {
                    this.is_request_delivered = true;
                    this.read_ahead(cx);
                }
                return Poll::Ready(Ok(()));
            }
            if this.client.is_disconnected.get() {
                // `read_ahead` detected the disconnect.
                return Poll::Ready(Ok(()));
            }
            if !this.may_buffer_more() {
                return this.reject(StatusCode::SERVICE_UNAVAILABLE);
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
        this.limit_buffers();
        let written = write_when_ready(&this.stream, cx, |stream| stream.try_write(data));
        this.track_write(cx, written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        data: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.limit_buffers();
        let written = write_when_ready(&this.stream, cx, |stream| stream.try_write_vectored(data));
        this.track_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Called by the HTTP library after each part of an answer; the last one ends the request.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let answer_open = self
            .client
            .answer_open_flag
            .borrow()
            .as_ref()
            .is_some_and(|is_open| is_open.get());
        if self.client.phase.get() == Phase::Answering
            && self.client.has_written.get()
            && !answer_open
        {
            self.is_request_delivered = false;
            self.client.answer_memory.borrow().release();
            // Input that was buffered meanwhile triggers no event of the socket.
            cx.waker().wake_by_ref();
            if self.filter.is_mid_request() {
                // A pipelined request was received at least in part.
                self.client.set_phase(Phase::Receiving);
                self.client.has_written.set(false);
            } else {
                self.client.set_phase(Phase::Idle);
                if self.client.is_handing_over.get() {
                    self.client.wake.notify_one();
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        // The HTTP library shuts each connection down. `close` still has to respond to a rejected client, and until
        // then a request may arrive on a connection that is closed as idle.
        if self.client.rejection_status.get().is_some() || self.client.is_closing_idle.get() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}

/// Whether the result of a read means that the client has disconnected: end of stream, or an error.
fn is_disconnect(read: &io::Result<usize>) -> bool {
    !matches!(read, Ok(length) if *length > 0)
}

/// Writes once the socket is writable, and waits again if the write would block.
fn write_when_ready(
    stream: &TcpStream,
    cx: &mut Context,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write(stream) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
