//! Answers of servers on their way to clients: buffered whole, or streamed while they still arrive.
//!
//! `upstream` makes an [`Answer`] of each server's answer, `frontend` a [`ResponseBody`] for its client.

use super::body::{MAX_STREAMED_BYTES, STALL_TIMEOUT};
use super::message::Message;
use super::shared::MemoryPermit;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::HeaderMap;
use reelfall_balancer::engine::FinalAnswer;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::time::{Instant, Sleep};

/// The final answer to a request, of which there is exactly one.
pub type Reply = FinalAnswer<Box<Answer>>;

/// A server's answer.
pub struct Answer {
    pub headers: HeaderMap,
    /// All of the body, or what was buffered of it before it was streamed.
    pub body: Bytes,
    /// The rest of a streamed body; always `None` for an answer that was validated.
    pub remainder: Option<StreamedAnswer>,
    /// The memory reserved for the body.
    pub _memory: Option<MemoryPermit>,
}

/// Why a streamed answer has ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum StreamedAnswerError {
    #[error("the answer exceeds the size limit")]
    TooLarge,
    #[error("the server stopped sending the answer")]
    Stalled,
}

impl From<StreamedAnswerError> for io::Error {
    fn from(error: StreamedAnswerError) -> Self {
        io::Error::other(error)
    }
}

/// The rest of an answer, which is forwarded to its client while it is received.
///
/// If it ends early, the client's connection is aborted, so that a truncated answer never looks complete.
pub struct StreamedAnswer {
    incoming: Incoming,
    bytes_forwarded: u64,
    /// Runs while there is no data to forward.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Returns the connection to its pool once the answer is complete; dropped before, it closes the connection.
    on_complete: Option<Box<dyn FnOnce()>>,
    is_open: Rc<Cell<bool>>,
    /// Keeps the request's id claimed and its admission in use until the answer has ended.
    _message: Rc<Message>,
}

impl StreamedAnswer {
    /// The rest of an answer after `bytes_forwarded` bytes; `on_complete` is called at its regular end.
    pub fn new(
        incoming: Incoming,
        bytes_forwarded: u64,
        message: Rc<Message>,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        StreamedAnswer {
            incoming,
            bytes_forwarded,
            stall_timer: None,
            on_complete: Some(Box::new(on_complete)),
            is_open: Rc::new(Cell::new(true)),
            _message: message,
        }
    }

    fn complete(&mut self) {
        self.is_open.set(false);
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }

    fn poll(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, io::Error>>> {
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.stall_timer = None;
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.forward(data)));
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    return self
                        .poll_stall(cx)
                        .map(|error| Some(Err(io::Error::from(error))));
                }
            }
        }
    }

    fn forward(&mut self, data: Bytes) -> Result<Bytes, io::Error> {
        self.bytes_forwarded += data.len() as u64;
        if self.bytes_forwarded > MAX_STREAMED_BYTES {
            return Err(StreamedAnswerError::TooLarge.into());
        }
        if self.incoming.is_end_stream() {
            // The HTTP library does not poll for the end of an answer whose length it knows.
            self.complete();
        }
        Ok(data)
    }

    /// Ready once the answer has stalled.
    fn poll_stall(&mut self, cx: &mut Context) -> Poll<StreamedAnswerError> {
        let stall_timer = self.stall_timer.get_or_insert_with(|| {
            Box::pin(tokio::time::sleep_until(Instant::now() + STALL_TIMEOUT))
        });
        stall_timer
            .as_mut()
            .poll(cx)
            .map(|()| StreamedAnswerError::Stalled)
    }
}

/// The body of an answer to a client.
#[derive(Default)]
pub struct ResponseBody {
    buffered: Bytes,
    remainder: Option<StreamedAnswer>,
}

impl ResponseBody {
    /// A body that begins with `buffered` and continues with `remainder`.
    pub fn new(buffered: Bytes, remainder: Option<StreamedAnswer>) -> Self {
        ResponseBody {
            buffered,
            remainder,
        }
    }

    /// A flag that stays set while more of the body may arrive; `None` if all of it is buffered.
    pub fn open_flag(&self) -> Option<Rc<Cell<bool>>> {
        self.remainder
            .as_ref()
            .map(|remainder| remainder.is_open.clone())
    }
}

impl<T: Into<Bytes>> From<T> for ResponseBody {
    fn from(data: T) -> Self {
        ResponseBody {
            buffered: data.into(),
            remainder: None,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.buffered)))));
        }
        match &mut self.remainder {
            None => Poll::Ready(None),
            Some(remainder) => remainder
                .poll(cx)
                .map(|polled| polled.map(|data| data.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        // The end of a streamed answer has to be polled, or its connection would not be returned to the pool.
        self.buffered.is_empty() && self.remainder.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        let Some(remainder) = &self.remainder else {
            return SizeHint::with_exact(buffered);
        };
        match remainder.incoming.size_hint().exact() {
            Some(remaining) => SizeHint::with_exact(buffered + remaining),
            None => SizeHint::new(),
        }
    }
}
