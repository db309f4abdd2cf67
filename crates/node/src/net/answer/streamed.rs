//! The rest of an answer, which is forwarded to its client while it is received.

use crate::net::answer_clock::AnswerClock;
use crate::net::body::MAX_STREAMED_BYTES;
use crate::net::message::Message;
use crate::net::request_events::{RequestEvent, RequestEvents};
use crate::net::stream_window::StreamWindow;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;
use thiserror::Error;
use tokio::time::Sleep;

/// Why an answer that was forwarded incomplete has ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerBreak {
    #[error("it exceeds the size limit")]
    TooLarge,
    #[error("its server was silent for too long")]
    ServerSilent,
    #[error("it is short, and its client's time was up long before its end")]
    Late,
    #[error("the connection to its server broke")]
    ConnectionLost,
    #[error("its client has left or reads nothing, or the process has ended")]
    Abandoned,
}

impl From<AnswerBreak> for io::Error {
    fn from(reason: AnswerBreak) -> Self {
        io::Error::other(reason)
    }
}

/// The rest of an answer, which is forwarded to its client while it is received, until its clock or its server ends it.
///
/// If it ends early, the client's connection is aborted, so that a truncated answer never looks complete.
pub struct StreamedAnswer {
    incoming: Incoming,
    clock: AnswerClock,
    started_at: Instant,
    window: Arc<StreamWindow>,
    /// Since when the client has not taken what was forwarded; `None` if it has.
    window_closed_at: Option<Instant>,
    /// Runs while there is no data to forward.
    end_timer: Option<Pin<Box<Sleep>>>,
    /// Returns the connection to its pool once the answer is complete; dropped before, it closes the connection.
    on_complete: Option<Box<dyn FnOnce()>>,
    is_open: Rc<Cell<bool>>,
    broken_off: Option<AnswerBreak>,
    events: Rc<RequestEvents>,
    /// Keeps the request's id claimed and its admission in use until the answer has ended.
    message: Rc<Message>,
}

impl StreamedAnswer {
    /// The rest of an answer, of which at most `window_bytes` are on their way to the client; `on_complete` is called at its
    /// regular end.
    pub fn new(
        incoming: Incoming,
        clock: AnswerClock,
        window_bytes: usize,
        message: Rc<Message>,
        events: Rc<RequestEvents>,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        StreamedAnswer {
            incoming,
            clock,
            started_at: Instant::now(),
            window: StreamWindow::new(window_bytes),
            window_closed_at: None,
            end_timer: None,
            on_complete: Some(Box::new(on_complete)),
            is_open: Rc::new(Cell::new(true)),
            broken_off: None,
            events,
            message,
        }
    }

    /// A flag that is set until the answer has its regular end.
    pub(super) fn open_flag(&self) -> Rc<Cell<bool>> {
        self.is_open.clone()
    }

    /// How much of it is still to be received, in bytes; `None` if its length is not announced.
    pub(super) fn remaining_bytes(&self) -> Option<u64> {
        self.incoming.size_hint().exact()
    }

    /// Ready while more may be forwarded.
    pub(super) fn poll_window(&mut self, cx: &Context) -> Poll<()> {
        let polled = self.window.poll_open(cx);
        if polled.is_pending() {
            self.window_closed_at.get_or_insert_with(Instant::now);
        } else if let Some(closed_at) = self.window_closed_at.take() {
            let now = Instant::now();
            self.clock.record_client_wait(now, now - closed_at);
        }
        polled
    }

    /// Forwards a part, which counts towards the window until the client has taken it.
    pub(super) fn pass(&self, data: Bytes) -> Bytes {
        self.window.pass(data)
    }

    pub(super) fn poll(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, io::Error>>> {
        let polled = self.poll_next(cx);
        if let Poll::Ready(Some(Err(reason))) = &polled {
            self.broken_off = Some(*reason);
        }
        polled.map(|next| next.map(|part| part.map_err(io::Error::from)))
    }

    fn poll_next(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, AnswerBreak>>> {
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    // The data is copied, since it is a slice of a read buffer, all of which it would keep in use.
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(self.forward(Bytes::copy_from_slice(&data))));
                    }
                }
                Poll::Ready(Some(Err(_))) => {
                    return Poll::Ready(Some(Err(AnswerBreak::ConnectionLost)));
                }
                Poll::Ready(None) => {
                    return Poll::Ready(self.complete().err().map(Err));
                }
                Poll::Pending => {
                    return self
                        .poll_end_timer(cx)
                        .map(|()| Some(Err(AnswerBreak::ServerSilent)));
                }
            }
        }
    }

    fn forward(&mut self, data: Bytes) -> Result<Bytes, AnswerBreak> {
        self.clock.record_part(Instant::now(), data.len());
        if self.clock.received_bytes() > MAX_STREAMED_BYTES {
            return Err(AnswerBreak::TooLarge);
        }
        if self.incoming.is_end_stream() {
            // The HTTP library does not poll for the end of an answer whose length it knows.
            self.complete()?;
        }
        Ok(self.window.pass(data))
    }

    /// Records the regular end.
    fn complete(&mut self) -> Result<(), AnswerBreak> {
        let is_late = self.clock.is_late(Instant::now());
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
        if is_late {
            return Err(AnswerBreak::Late);
        }
        self.is_open.set(false);
        Ok(())
    }

    /// Ready once the answer has to end without more of it.
    fn poll_end_timer(&mut self, cx: &mut Context) -> Poll<()> {
        let ends_at = tokio::time::Instant::from_std(self.clock.ends_at());
        let end_timer = self
            .end_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(ends_at)));
        if end_timer.deadline() != ends_at {
            end_timer.as_mut().reset(ends_at);
        }
        end_timer.as_mut().poll(cx)
    }
}

impl Drop for StreamedAnswer {
    fn drop(&mut self) {
        if !self.is_open.get() {
            return;
        }
        let event = RequestEvent::BrokenOff {
            reason: self.broken_off.unwrap_or(AnswerBreak::Abandoned),
            received_bytes: self.clock.received_bytes(),
            after: self.started_at.elapsed(),
        };
        self.events.record(self.message.id(), &event);
    }
}
