//! Bodies of requests: held whole, or forwarded from the client's connection to the server's in pieces.
//!
//! Whoever reads a flow polls the connection that it comes from, so that nothing is held between the two but their
//! buffers, and the slower side sets the pace.

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::Notify;

/// Largest body or answer that flows; 32 MB and a little for whoever counts in other units.
pub const FLOW_MOST: u64 = 40 << 20;

pub(super) fn fault(text: &'static str) -> io::Error {
    io::Error::other(text)
}

/// The body of a request on its way from its client to one server.
pub struct StreamedBody {
    /// What was read before it was known that the body would flow.
    first: RefCell<Option<Bytes>>,
    rest: RefCell<Incoming>,
    size: Option<u64>,
    passed: Cell<u64>,
    /// Some of it was taken: it can't be sent again.
    taken: Cell<bool>,
    /// All of it was taken.
    done: Cell<bool>,
    /// It is done, or has broken off.
    ended: Notify,
    /// Why it can't come to its end.
    fault: Cell<Option<&'static str>>,
}

impl StreamedBody {
    /// A body of which `first` has been read.
    pub fn new(first: Bytes, rest: Incoming, size: Option<u64>) -> Rc<Self> {
        Rc::new(StreamedBody {
            first: RefCell::new(Some(first).filter(|f| !f.is_empty())),
            rest: RefCell::new(rest),
            size,
            passed: Cell::new(0),
            taken: Cell::new(false),
            done: Cell::new(false),
            ended: Notify::new(),
            fault: Cell::new(None),
        })
    }

    /// Some of it was taken: it can't be sent again.
    pub fn is_taken(&self) -> bool {
        self.taken.get()
    }

    /// All of it was taken.
    pub fn is_done(&self) -> bool {
        self.done.get()
    }

    /// Why it can't come to its end, if it can't.
    pub fn fault(&self) -> Option<&'static str> {
        self.fault.get()
    }

    /// Waits until all of it was taken, or it has broken off.
    pub async fn ended(&self) {
        while !self.done.get() && self.fault.get().is_none() {
            self.ended.notified().await;
        }
    }

    fn end(&self, fault: Option<&'static str>) {
        match fault {
            Some(fault) => self.fault.set(Some(fault)),
            None => self.done.set(true),
        }
        self.ended.notify_waiters();
    }

    fn poll(&self, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        self.taken.set(true);
        if let Some(first) = self.first.borrow_mut().take() {
            self.passed.set(first.len() as u64);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let broken = |why| {
            self.end(Some(why));
            Poll::Ready(Some(Err(fault(why))))
        };
        loop {
            let polled = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx);
            match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    self.end(None);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(_))) => return broken("the client has broken off"),
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers concern this connection.
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.passed.set(self.passed.get() + data.len() as u64);
                    if self.passed.get() > FLOW_MOST {
                        return broken("the body is too large");
                    }
                    if self.size == Some(self.passed.get()) {
                        // The library may never ask for more of a body whose length it knows.
                        self.end(None);
                    }
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
            }
        }
    }
}

/// The body of a request, the same at every attempt.
#[derive(Clone)]
pub enum Payload {
    /// It is held, and can be sent again.
    Buffered(Bytes),
    /// It flows, once.
    Streamed(Rc<StreamedBody>),
}

impl Payload {
    /// The flow, if it is one.
    pub fn streamed(&self) -> Option<&Rc<StreamedBody>> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streamed(flow) => Some(flow),
        }
    }
}

/// A payload on its way to a server.
pub struct PayloadBody(Payload);

impl PayloadBody {
    /// For one attempt.
    pub fn new(payload: &Payload) -> Self {
        PayloadBody(payload.clone())
    }
}

impl Body for PayloadBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.0 {
            Payload::Buffered(held) if held.is_empty() => Poll::Ready(None),
            Payload::Buffered(held) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(held))))),
            Payload::Streamed(flow) => flow.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Payload::Buffered(held) => held.is_empty(),
            Payload::Streamed(flow) => flow.is_done(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Payload::Buffered(held) => SizeHint::with_exact(held.len() as u64),
            Payload::Streamed(flow) => flow.size.map_or_else(SizeHint::new, |size| {
                SizeHint::with_exact(size.saturating_sub(flow.passed.get()))
            }),
        }
    }
}
