//! Buffers an answer, which is forwarded whole, or streamed while more of it is received. `response` passes on answers whose
//! head was accepted.
//!
//! The states of an answer: buffering while chunks of its body are collected; then complete, streaming, broken or timed
//! out, each of which ends the attempt.

use super::answer_timer::AnswerTimer;
use super::attempt::Attempt;
use super::connection::Connection;
use super::response::release;
use super::AttemptContext;
use crate::net::answer::{Answer, StreamedAnswer};
use crate::net::chunked_buffer::ChunkedBuffer;
use crate::net::memory::stream_window_bytes;
use crate::net::shared::{BufferLayout, MemoryPermit};
use crate::net::{MAX_UNSTREAMED_RESPONSE_BYTES, UNRESERVED_RESPONSE_BYTES};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use reelfall_balancer::interface::Outcome;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// How long a large answer is buffered before it is streamed.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(25);

/// A server that has written nothing of an answer for this long has stopped writing it.
const MAX_PROGRESS_PAUSE: Duration = Duration::from_millis(500);

/// An attempt whose answer is being received on its connection.
pub(super) struct OpenExchange<'a, C> {
    pub(super) attempt: &'a Attempt<C>,
    pub(super) connection: Connection,
    pub(super) timer: AnswerTimer<'a, C>,
}

/// The result of reading the next frame of a body.
enum Progress {
    /// More of the body is awaited.
    Buffering,
    /// The body has ended, and is a valid answer.
    Complete,
    /// The buffered part is forwarded, and the rest is streamed.
    Streaming,
    /// The answer is unusable, and the request may have run.
    Broken,
    TimedOut,
}

/// An answer whose body is being buffered.
pub(super) struct BufferingResponse<'a, C> {
    exchange: OpenExchange<'a, C>,
    memory: Vec<MemoryPermit>,
    /// How much may be buffered with the memory that is reserved, in bytes.
    reserved_bytes: usize,
    buffer: ChunkedBuffer,
    body: Incoming,
    head: Parts,
    /// The length that the head states, in bytes; 0 if it states none.
    announced_bytes: usize,
    /// A large answer that is not complete by then is streamed.
    stream_after: Instant,
    /// When a part of the body was received last; when the head was, before that.
    progressed_at: Instant,
}

impl<'a, C: AttemptContext> BufferingResponse<'a, C> {
    /// An answer of which only the head was read. `memory` is reserved for its body, if it has an announced length.
    pub(super) fn new(
        exchange: OpenExchange<'a, C>,
        head: Parts,
        body: Incoming,
        memory: Option<MemoryPermit>,
    ) -> Self {
        let announced_bytes = body.size_hint().exact().map_or(0, |length| length as usize);
        let max_buffered_bytes = exchange.attempt.max_buffered_bytes();
        let reserved_bytes = match memory {
            Some(_) => announced_bytes.min(max_buffered_bytes),
            None => UNRESERVED_RESPONSE_BYTES,
        };
        let buffer = match exchange.attempt.buffer_layout() {
            BufferLayout::Contiguous => {
                ChunkedBuffer::contiguous(announced_bytes.min(reserved_bytes))
            }
            BufferLayout::Chunked => ChunkedBuffer::new(),
        };
        BufferingResponse {
            exchange,
            memory: memory.into_iter().collect(),
            reserved_bytes,
            buffer,
            announced_bytes,
            body,
            head,
            stream_after: Instant::now() + MAX_BUFFERING_TIME,
            progressed_at: Instant::now(),
        }
    }

    /// Reads the body, and reports the outcome of its attempt.
    pub(super) async fn run(mut self) {
        loop {
            match self.read_frame().await {
                Progress::Buffering => {}
                Progress::Complete => return self.complete(),
                Progress::Streaming => return self.start_streaming(),
                Progress::Broken => return self.exchange.attempt.end(Outcome::ConnectionLost),
                Progress::TimedOut => return self.time_out().await,
            }
        }
    }

    async fn read_frame(&mut self) -> Progress {
        let can_stream = self.can_stream();
        let received = tokio::select! {
            biased;
            frame = self.body.frame() => Some(frame),
            () = self.exchange.timer.expire() => None,
            () = sleep_until(self.stream_after.into()), if can_stream => None,
        };
        self.exchange.timer.record_progress(Instant::now());
        match received {
            Some(Some(Ok(frame))) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                self.buffer.push(data);
                self.progressed_at = Instant::now();
                self.check_size().await
            }
            Some(Some(Err(_))) => Progress::Broken,
            Some(None) if self.is_valid() => Progress::Complete,
            // What followed an invalid answer on the connection is unknown, so the connection is closed.
            Some(None) => Progress::Broken,
            None if can_stream || self.is_slow_but_wanted() => Progress::Streaming,
            None => Progress::TimedOut,
        }
    }

    /// Whether the answer is so large that it is streamed unless it is complete soon.
    fn is_large(&self) -> bool {
        self.announced_bytes > MAX_UNSTREAMED_RESPONSE_BYTES
            || self.buffer.len() > MAX_UNSTREAMED_RESPONSE_BYTES
    }

    fn can_stream(&self) -> bool {
        self.is_large() && !self.exchange.attempt.must_buffer_whole() && !self.buffer.is_empty()
    }

    /// Whether an answer of unknown length whose time is up is streamed: it is long, its first bytes are in time, its server
    /// writes on, and no other attempt can be made. A short one is timed as a whole.
    fn is_slow_but_wanted(&self) -> bool {
        let attempt = self.exchange.attempt;
        self.body.size_hint().exact().is_none()
            && !attempt.must_buffer_whole()
            && self.buffer.len() > UNRESERVED_RESPONSE_BYTES
            && self.progressed_at.elapsed() < MAX_PROGRESS_PAUSE
            && !attempt.context.could_send_again(attempt.request)
    }

    fn is_valid(&self) -> bool {
        self.exchange
            .attempt
            .validator()
            .is_none_or(|validator| validator.is_valid_answer(self.buffer.last_chunk()))
    }

    /// Decides after each frame whether to continue buffering.
    async fn check_size(&mut self) -> Progress {
        let fits = self.buffer.len() <= self.reserved_bytes || self.reserve_more().await;
        if fits && !self.is_large() {
            return Progress::Buffering;
        }
        if self.exchange.attempt.must_buffer_whole() {
            return if fits {
                Progress::Buffering
            } else {
                Progress::Broken
            };
        }
        if !self.buffer.is_empty() && (!fits || self.stream_after <= Instant::now()) {
            return Progress::Streaming;
        }
        Progress::Buffering
    }

    /// Reserves memory for what is buffered of an answer without an announced length; `false` if there is none.
    ///
    /// Each step doubles what is reserved, as the buffer does when it grows.
    async fn reserve_more(&mut self) -> bool {
        let attempt = self.exchange.attempt;
        let max_bytes = attempt.max_buffered_bytes();
        if self.announced_bytes > 0 || self.buffer.len() > max_bytes {
            return false;
        }
        let needed_bytes = self.buffer.len().max(2 * self.reserved_bytes);
        let reserved_bytes = needed_bytes.next_power_of_two().min(max_bytes);
        let added_bytes = reserved_bytes - self.reserved_bytes;
        let deadline = self.exchange.timer.answer_by();
        let permit = attempt
            .reserve_answer(added_bytes, reserved_bytes, deadline)
            .await;
        let is_reserved = permit.is_some();
        if is_reserved {
            self.memory.extend(permit);
            self.reserved_bytes = reserved_bytes;
        }
        is_reserved
    }

    fn complete(self) {
        let attempt = self.exchange.attempt;
        attempt.release(self.exchange.connection);
        let answer = Answer {
            headers: self.head.headers,
            body: self.buffer.into_chunks(),
            remainder: None,
            memory: self.memory,
        };
        attempt.end_with_answer(answer);
    }

    /// Forwards the answer while the rest is received, which ends the attempt.
    fn start_streaming(self) {
        let attempt = self.exchange.attempt;
        let (context, connection) = (attempt.context.clone(), self.exchange.connection);
        let window_bytes = stream_window_bytes(context.connections().shared.read_bytes());
        let start_bytes = self.buffer.len();
        // The connection to the server has memory for as much as the window.
        let memory = if start_bytes <= window_bytes {
            Vec::new()
        } else {
            self.memory
        };
        let message = attempt.message.clone();
        let return_connection = move || release(&context, &message, connection);
        let remainder = StreamedAnswer::new(
            self.body,
            start_bytes as u64,
            window_bytes,
            attempt.message.clone(),
            return_connection,
        );
        let answer = Answer {
            headers: self.head.headers,
            body: self.buffer.into_chunks(),
            remainder: Some(remainder),
            memory,
        };
        attempt.end_with_answer(answer);
    }

    async fn time_out(self) {
        let attempt = self.exchange.attempt;
        attempt.log_upload(Outcome::TimedOut);
        attempt.end(Outcome::TimedOut);
        if !attempt.context.has_attempt_in_flight(attempt.request) {
            attempt.drain(self.exchange.connection, self.body).await;
        }
    }
}
