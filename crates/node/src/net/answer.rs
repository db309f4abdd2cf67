//! Answers of servers on their way to clients: held whole, or forwarded in pieces.

use super::body::{fault, FLOW_MOST};
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
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// An answer that flows has stalled when nothing of it has come for so long.
const STALLED: Duration = Duration::from_secs(10);

/// The one final answer of a request.
pub type Reply = FinalAnswer<Box<Answer>>;

/// A server's answer.
pub struct Answer {
    pub headers: HeaderMap,
    /// All of it, or what has come of one that flows.
    pub body: Bytes,
    /// What is to come; never of an answer that has a judge.
    pub rest: Option<StreamedAnswer>,
    /// What the body holds of the memory for answers.
    pub _memory: Option<MemoryPermit>,
}

/// What is to come of an answer that flows.
pub struct StreamedAnswer {
    incoming: Incoming,
    passed: u64,
    /// When it counts as stalled; set while nothing is here.
    stall_timer: Option<Pin<Box<Sleep>>>,
    /// Has the connection used again when the answer came whole; dropped, it closes the connection.
    on_complete: Option<Box<dyn FnOnce()>>,
    /// More may come.
    open: Rc<Cell<bool>>,
    /// The request's id and place are held as long as its answer comes.
    _message: Rc<Message>,
}

impl StreamedAnswer {
    /// What is to come after `passed` bytes; `whole` is called when all has come.
    pub fn new(
        incoming: Incoming,
        passed: u64,
        message: Rc<Message>,
        on_complete: impl FnOnce() + 'static,
    ) -> Self {
        StreamedAnswer {
            incoming,
            passed,
            stall_timer: None,
            on_complete: Some(Box::new(on_complete)),
            open: Rc::new(Cell::new(true)),
            _message: message,
        }
    }

    fn end(&mut self) {
        self.open.set(false);
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }

    /// Guards against answers without end and servers that stop in the middle; the client is told by a message that is cut
    /// off, never by one that looks whole. Harm: a server that rests for longer loses its client.
    fn poll(&mut self, cx: &mut Context) -> Poll<Option<Result<Bytes, io::Error>>> {
        loop {
            match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.stall_timer = None;
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.passed += data.len() as u64;
                    if self.passed > FLOW_MOST {
                        return Poll::Ready(Some(Err(fault("an answer without end"))));
                    }
                    if self.incoming.is_end_stream() {
                        // The library does not ask for the end of an answer whose length it knows.
                        self.end();
                    }
                    return Poll::Ready(Some(Ok(data)));
                }
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
                Poll::Ready(None) => {
                    self.end();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    let due = || Box::pin(tokio::time::sleep_until(Instant::now() + STALLED));
                    let stall_timer = self.stall_timer.get_or_insert_with(due);
                    return match stall_timer.as_mut().poll(cx) {
                        Poll::Pending => Poll::Pending,
                        Poll::Ready(()) => Poll::Ready(Some(Err(fault("the answer has stalled")))),
                    };
                }
            }
        }
    }
}

/// The body of what a client is sent.
#[derive(Default)]
pub struct ResponseBody {
    held: Bytes,
    rest: Option<StreamedAnswer>,
}

impl ResponseBody {
    /// What is here, and what is to come.
    pub fn new(held: Bytes, rest: Option<StreamedAnswer>) -> Self {
        ResponseBody { held, rest }
    }

    /// Tells, now and later, whether more of it may come; `None` if it is all here.
    pub fn open_flag(&self) -> Option<Rc<Cell<bool>>> {
        self.rest.as_ref().map(|r| r.open.clone())
    }
}

impl<T: Into<Bytes>> From<T> for ResponseBody {
    fn from(held: T) -> Self {
        ResponseBody {
            held: held.into(),
            rest: None,
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
        if !self.held.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.held)))));
        }
        match &mut self.rest {
            None => Poll::Ready(None),
            Some(rest) => rest
                .poll(cx)
                .map(|polled| polled.map(|data| data.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        // The end of a flow has to be polled, or its connection would not be used again.
        self.held.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        let rest = self.rest.as_ref().map(|r| r.incoming.size_hint());
        match rest.map(|r| r.exact()) {
            None => SizeHint::with_exact(held),
            Some(Some(rest)) => SizeHint::with_exact(held + rest),
            Some(None) => SizeHint::new(),
        }
    }
}
