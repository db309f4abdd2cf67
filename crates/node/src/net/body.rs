//! Bodies of requests: buffered whole, or streamed from the client's connection to the server's.
//!
//! Reading a streamed body polls the client's connection. Nothing is buffered beyond the buffers of the two
//! connections, so the slower side applies backpressure to the faster one. `frontend` makes the bodies, `upstream`
//! sends them.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
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
    prefix: RefCell<Option<Bytes>>,
    remainder: RefCell<Incoming>,
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
    /// A body of which `prefix` has already been read.
    pub fn new(prefix: Bytes, remainder: Incoming, announced_size: Option<u64>) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(StreamedBody {
            prefix: RefCell::new(Some(prefix).filter(|prefix| !prefix.is_empty())),
            remainder: RefCell::new(remainder),
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

    /// Whether all of it had arrived when it was decided to stream it, and none of it was consumed.
    pub fn has_arrived(&self) -> bool {
        let prefix = self.prefix.borrow();
        let arrived = prefix.as_ref().map(|prefix| prefix.len() as u64);
        arrived.is_some() && arrived == self.announced_size
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
        if let Some(prefix) = self.prefix.borrow_mut().take() {
            return Poll::Ready(Some(self.forward(prefix)));
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
                    // Trailers concern the client's connection only.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.forward(data)));
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
        Ok(Frame::data(data))
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
    /// Buffered whole; it can be sent again.
    Buffered(Bytes),
    /// Streamed; it can be sent once.
    Streamed(Rc<StreamedBody>),
}

impl Payload {
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

/// The body of one attempt's request, for the HTTP library.
pub struct PayloadBody {
    payload: Payload,
}

impl PayloadBody {
    /// The body for one more attempt. Only the first attempt gets all of a streamed body.
    pub fn new(payload: &Payload) -> Self {
        PayloadBody {
            payload: payload.clone(),
        }
    }
}

impl Body for PayloadBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<FrameResult>> {
        match &mut self.payload {
            Payload::Buffered(data) if data.is_empty() => Poll::Ready(None),
            Payload::Buffered(data) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(data))))),
            Payload::Streamed(body) => body.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.payload {
            Payload::Buffered(data) => data.is_empty(),
            Payload::Streamed(body) => body.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.payload {
            Payload::Buffered(data) => SizeHint::with_exact(data.len() as u64),
            Payload::Streamed(body) => body.size_hint(),
        }
    }
}
