//! Bodies of requests: buffered whole, or streamed from the client's connection to the server's.
//!
//! Reading a streamed body polls the client's connection. Nothing is buffered beyond the buffers of the two
//! connections, so the slower side applies backpressure to the faster one. `frontend` makes the bodies, `upstream`
//! sends them.

use super::stream_window::StreamWindow;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::Notify;

/// Maximum size of a streamed request or answer body, in bytes: 32 MB, with a margin for clients that count in other
/// units.
pub const MAX_STREAMED_BYTES: u64 = 40 << 20;

/// A streamed request or answer body is aborted if its server makes no progress with it for this long.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a streamed body has ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StreamedBodyError {
    #[error("the client aborted the upload")]
    ClientAborted,
    #[error("the body is too large")]
    TooLarge,
}

type FrameResult = Result<Frame<Bytes>, io::Error>;

/// The body of a request on its way from its client to one server.
pub struct StreamedBody {
    /// The data that was read before the decision to stream the body.
    prefix: RefCell<VecDeque<Bytes>>,
    remainder: RefCell<Incoming>,
    window: Arc<StreamWindow>,
    /// The value of `Content-Length`, in bytes, if the client sent one.
    announced_size: Option<u64>,
    bytes_forwarded: Cell<u64>,
    is_consumed: Cell<bool>,
    is_complete: Cell<bool>,
    error: Cell<Option<StreamedBodyError>>,
    created_at: Instant,
    /// When part of it was consumed last; when it was created, before that.
    progressed_at: Cell<Instant>,
    /// Notified when the body is complete or has ended early.
    ended: Notify,
}

impl StreamedBody {
    /// A body of which `prefix` has already been read. At most `window_bytes` of it are on their way to the server.
    pub fn new(
        prefix: VecDeque<Bytes>,
        remainder: Incoming,
        announced_size: Option<u64>,
        window_bytes: usize,
    ) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(StreamedBody {
            prefix: RefCell::new(prefix),
            remainder: RefCell::new(remainder),
            window: StreamWindow::new(window_bytes),
            announced_size,
            bytes_forwarded: Cell::new(0),
            is_consumed: Cell::new(false),
            is_complete: Cell::new(false),
            error: Cell::new(None),
            created_at: now,
            progressed_at: Cell::new(now),
            ended: Notify::new(),
        })
    }

    /// Whether part of it was consumed, so that it can't be sent again.
    pub fn is_consumed(&self) -> bool {
        self.is_consumed.get()
    }

    /// Whether all of it was consumed.
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }

    /// Why it has ended early, if it has.
    pub fn error(&self) -> Option<StreamedBodyError> {
        self.error.get()
    }

    /// When it was decided to stream it.
    pub fn created_at(&self) -> Instant {
        self.created_at
    }

    /// How much of it was consumed, in bytes.
    pub fn bytes_forwarded(&self) -> u64 {
        self.bytes_forwarded.get()
    }

    /// How much of it was not consumed, in bytes; `None` if its size is not announced.
    pub fn bytes_remaining(&self) -> Option<u64> {
        let forwarded = self.bytes_forwarded.get();
        self.announced_size
            .map(|size| size.saturating_sub(forwarded))
    }

    /// Whether it is complete or has ended early.
    pub fn has_ended(&self) -> bool {
        self.is_complete.get() || self.error.get().is_some()
    }

    /// When part of it was consumed last; when it was created, before that.
    pub fn progressed_at(&self) -> Instant {
        self.progressed_at.get()
    }

    /// Waits until it is complete or has ended early.
    pub async fn wait_for_end(&self) {
        while !self.has_ended() {
            self.ended.notified().await;
        }
    }

    /// Ends it early, as its client has stopped sending it. Its server may not be reading it, so that nothing polls for the
    /// error of the connection.
    pub fn abort(&self) {
        if !self.has_ended() {
            self.end_early(StreamedBodyError::ClientAborted);
        }
    }

    fn complete(&self) {
        self.is_complete.set(true);
        self.ended.notify_waiters();
    }

    fn end_early(&self, error: StreamedBodyError) {
        self.error.set(Some(error));
        self.ended.notify_waiters();
    }

    fn fail(&self, error: StreamedBodyError) -> FrameResult {
        self.end_early(error);
        Err(io::Error::other(error))
    }

    fn poll(&self, cx: &mut Context) -> Poll<Option<FrameResult>> {
        self.is_consumed.set(true);
        ready!(self.window.poll_open(cx));
        let prefix = self.prefix.borrow_mut().pop_front();
        if let Some(chunk) = prefix {
            return Poll::Ready(Some(self.forward(chunk)));
        }
        loop {
            let polled = Pin::new(&mut *self.remainder.borrow_mut()).poll_frame(cx);
            match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => {
                    return Poll::Ready(Some(self.fail(StreamedBodyError::ClientAborted)));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers concern the client's connection only. The data is copied, since it is a slice of a
                    // read buffer, all of which it would keep in use.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.forward(Bytes::copy_from_slice(&data))));
                    }
                }
            }
        }
    }

    /// Passes on a part of the body, and records that it was the last one if it was.
    fn forward(&self, data: Bytes) -> FrameResult {
        let forwarded = self.bytes_forwarded.get() + data.len() as u64;
        self.bytes_forwarded.set(forwarded);
        self.progressed_at.set(Instant::now());
        if forwarded > MAX_STREAMED_BYTES {
            return self.fail(StreamedBodyError::TooLarge);
        }
        if self.announced_size == Some(forwarded) {
            // The HTTP library may never poll for the end of a body whose length it knows.
            self.complete();
        }
        Ok(Frame::data(self.window.pass(data)))
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes_remaining()
            .map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

/// The progress of the upload, for the log.
impl fmt::Display for StreamedBody {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} of ", self.bytes_forwarded.get())?;
        match self.announced_size {
            Some(size) => write!(f, "{size} bytes forwarded")?,
            None => write!(f, "an unknown number of bytes forwarded")?,
        }
        match self.error.get() {
            Some(error) => write!(f, ", {error}"),
            None if self.is_complete() => write!(f, ", complete"),
            None => write!(f, ", not complete"),
        }
    }
}

/// The body of a request, shared by all of its attempts.
#[derive(Clone)]
pub enum Payload {
    /// Buffered whole, in chunks; it can be sent again.
    Buffered(Rc<[Bytes]>),
    /// Streamed; it can be sent once.
    Streamed(Rc<StreamedBody>),
}

impl Payload {
    /// A body that was buffered whole.
    pub fn buffered(chunks: impl IntoIterator<Item = Bytes>) -> Payload {
        let chunks = chunks.into_iter().filter(|chunk| !chunk.is_empty());
        Payload::Buffered(chunks.collect())
    }

    /// Whether it is known to have no bytes.
    pub fn is_empty(&self) -> bool {
        matches!(self, Payload::Buffered(chunks) if chunks.is_empty())
    }

    /// The streamed body, if it is one.
    pub fn streamed(&self) -> Option<&Rc<StreamedBody>> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streamed(body) => Some(body),
        }
    }

    /// Whether part of a streamed body is still to be consumed.
    pub fn is_upload_in_progress(&self) -> bool {
        self.streamed().is_some_and(|body| !body.is_complete())
    }
}

/// The total length of these chunks, in bytes.
pub fn byte_count<'a>(chunks: impl IntoIterator<Item = &'a Bytes>) -> u64 {
    chunks.into_iter().map(|chunk| chunk.len() as u64).sum()
}

/// The body of one attempt's request, for the HTTP library.
pub struct PayloadBody {
    payload: Payload,
    /// The number of chunks of a buffered body that were passed on.
    chunks_passed: usize,
}

impl PayloadBody {
    /// The body for one more attempt. Only the first attempt gets all of a streamed body.
    pub fn new(payload: &Payload) -> Self {
        PayloadBody {
            payload: payload.clone(),
            chunks_passed: 0,
        }
    }
}

impl Body for PayloadBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<FrameResult>> {
        let chunk = match &self.payload {
            Payload::Buffered(chunks) => chunks.get(self.chunks_passed).cloned(),
            Payload::Streamed(body) => return body.poll(cx),
        };
        self.chunks_passed += 1;
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.payload {
            Payload::Buffered(chunks) => self.chunks_passed >= chunks.len(),
            Payload::Streamed(body) => body.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.payload {
            Payload::Buffered(chunks) => {
                let left = chunks.iter().skip(self.chunks_passed);
                SizeHint::with_exact(byte_count(left))
            }
            Payload::Streamed(body) => body.size_hint(),
        }
    }
}
