//! Answers of servers on their way to clients: buffered whole, or streamed while they still arrive.
//!
//! `upstream` makes an [`Answer`] of each server's answer, `frontend` a [`ResponseBody`] for its client. `streamed` forwards
//! the rest of an answer that still arrives.

mod streamed;

pub use streamed::{AnswerBreak, StreamedAnswer};

use super::body::byte_count;
use super::shared::MemoryPermit;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::HeaderMap;
use reelfall_balancer::engine::FinalAnswer;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The final answer to a request, of which there is exactly one.
pub type Reply = FinalAnswer<Box<Answer>>;

/// A server's answer.
pub struct Answer {
    pub headers: HeaderMap,
    /// All of the body, or what was buffered of it before it was streamed, in chunks. An answer that was validated has one at
    /// most.
    pub body: VecDeque<Bytes>,
    /// The rest of a streamed body; always `None` for an answer that was validated.
    pub remainder: Option<StreamedAnswer>,
    /// The memory reserved for `body`.
    pub memory: Vec<MemoryPermit>,
}

impl Answer {
    /// The body of an answer that was validated.
    pub fn into_validated(self) -> ValidatedAnswer {
        let mut chunks = self.body;
        ValidatedAnswer {
            body: chunks.pop_front().unwrap_or_default(),
            memory: self.memory,
        }
    }
}

/// The body of an answer that was buffered whole and validated.
pub struct ValidatedAnswer {
    pub body: Bytes,
    /// The memory reserved for it.
    pub memory: Vec<MemoryPermit>,
}

/// The memory that is reserved for the buffered part of an answer until it was sent.
#[derive(Clone, Default)]
pub struct AnswerMemory(Option<Rc<RefCell<Vec<MemoryPermit>>>>);

impl AnswerMemory {
    fn new(permits: Vec<MemoryPermit>) -> Self {
        let has_permits = !permits.is_empty();
        AnswerMemory(has_permits.then(|| Rc::new(RefCell::new(permits))))
    }

    /// Releases the memory, since the buffered part was sent or dropped.
    pub fn release(&self) {
        if let Some(permits) = &self.0 {
            permits.take();
        }
    }
}

/// The body of an answer to a client.
#[derive(Default)]
pub struct ResponseBody {
    buffered: VecDeque<Bytes>,
    remainder: Option<StreamedAnswer>,
    /// Set while a part of the body was not passed to the HTTP library; `None` if that takes all of it at once.
    is_open: Option<Rc<Cell<bool>>>,
    memory: AnswerMemory,
}

impl ResponseBody {
    /// A body that is complete, for which `memory` is reserved.
    pub fn complete(data: Bytes, memory: Vec<MemoryPermit>) -> Self {
        let buffered = Some(data).filter(|data| !data.is_empty());
        ResponseBody::new(buffered.into_iter().collect(), None, memory)
    }

    /// A body that begins with `buffered`, for which `memory` is reserved, and continues with `remainder`.
    pub fn new(
        buffered: VecDeque<Bytes>,
        remainder: Option<StreamedAnswer>,
        memory: Vec<MemoryPermit>,
    ) -> Self {
        let is_open = match &remainder {
            Some(remainder) => Some(remainder.open_flag()),
            None => (buffered.len() > 1).then(|| Rc::new(Cell::new(true))),
        };
        ResponseBody {
            buffered,
            remainder,
            is_open,
            memory: AnswerMemory::new(memory),
        }
    }

    /// The next part of a body that is buffered whole.
    fn next_buffered(&mut self) -> Option<Bytes> {
        let chunk = self.buffered.pop_front();
        if let (true, Some(is_open)) = (self.buffered.is_empty(), &self.is_open) {
            is_open.set(false);
        }
        chunk
    }

    /// The memory of the buffered part, which the client's connection releases when the answer was sent: this body is
    /// dropped when the HTTP library has queued all of it.
    pub fn memory(&self) -> AnswerMemory {
        self.memory.clone()
    }

    /// A flag that stays set while a part of the body was not passed to the HTTP library, which flushes the socket between two
    /// parts; `None` if it takes all of it at once.
    pub fn open_flag(&self) -> Option<Rc<Cell<bool>>> {
        self.is_open.clone()
    }

    /// Whether a part of the body may not have arrived.
    pub fn is_streamed(&self) -> bool {
        self.remainder.is_some()
    }
}

impl<T: Into<Bytes>> From<T> for ResponseBody {
    fn from(data: T) -> Self {
        ResponseBody::complete(data.into(), Vec::new())
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let ResponseBody {
            buffered,
            remainder,
            memory,
            ..
        } = &mut *self;
        let Some(remainder) = remainder else {
            return Poll::Ready(self.next_buffered().map(|chunk| Ok(Frame::data(chunk))));
        };
        ready!(remainder.poll_window(cx));
        if let Some(chunk) = buffered.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(remainder.pass(chunk)))));
        }
        // The buffered part was sent but for what the connection to the server has memory for.
        memory.release();
        remainder
            .poll(cx)
            .map(|polled| polled.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        // The end of a streamed answer has to be polled, or its connection would not be returned to the pool.
        self.buffered.is_empty() && self.remainder.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = byte_count(&self.buffered);
        let Some(remainder) = &self.remainder else {
            return SizeHint::with_exact(buffered);
        };
        match remainder.remaining_bytes() {
            Some(remaining) => SizeHint::with_exact(buffered + remaining),
            None => SizeHint::new(),
        }
    }
}
