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
use crate::net::shared::MemoryPermit;
use crate::net::{kib_permits, UNRESERVED_RESPONSE_BYTES};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use reelfall_balancer::interface::Outcome;
use std::time::{Duration, Instant};
use tokio::time::sleep_until;

/// How long a large answer is buffered before it is streamed.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(25);

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
    memory: Option<MemoryPermit>,
    buffer: BytesMut,
    body: Incoming,
    head: Parts,
    /// The length that the head states, in bytes; 0 if it states none.
    announced_bytes: usize,
    /// A large answer that is not complete by then is streamed.
    stream_after: Instant,
}

impl<'a, C: AttemptContext> BufferingResponse<'a, C> {
    /// An answer of which only the head was read. `memory` is reserved for its body.
    pub(super) fn new(
        exchange: OpenExchange<'a, C>,
        head: Parts,
        body: Incoming,
        memory: Option<MemoryPermit>,
    ) -> Self {
        BufferingResponse {
            exchange,
            memory,
            buffer: BytesMut::new(),
            announced_bytes: body.size_hint().exact().map_or(0, |length| length as usize),
            body,
            head,
            stream_after: Instant::now() + MAX_BUFFERING_TIME,
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
                self.buffer.extend_from_slice(data);
                self.check_size()
            }
            Some(Some(Err(_))) => Progress::Broken,
            Some(None) if self.is_valid() => Progress::Complete,
            // What followed an invalid answer on the connection is unknown, so the connection is closed.
            Some(None) => Progress::Broken,
            None if can_stream => Progress::Streaming,
            None => Progress::TimedOut,
        }
    }

    /// Whether the answer is too large to be buffered without a memory permit.
    fn is_large(&self) -> bool {
        self.announced_bytes > UNRESERVED_RESPONSE_BYTES
            || self.buffer.len() > UNRESERVED_RESPONSE_BYTES
    }

    fn can_stream(&self) -> bool {
        self.is_large() && !self.exchange.attempt.must_buffer_whole() && !self.buffer.is_empty()
    }

    fn is_valid(&self) -> bool {
        self.exchange
            .attempt
            .validator()
            .is_none_or(|validator| validator.is_valid_answer(&self.buffer))
    }

    /// Decides after each frame whether to continue buffering.
    fn check_size(&mut self) -> Progress {
        if !self.is_large() {
            return Progress::Buffering;
        }
        self.reserve_unannounced();
        let has_memory = self.memory.is_some();
        let fits = has_memory && self.buffer.len() <= self.exchange.attempt.max_buffered_bytes();
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

    /// Reserves memory for a large answer without an announced length; if there is no memory, the answer is streamed.
    fn reserve_unannounced(&mut self) {
        if self.memory.is_none() && self.announced_bytes == 0 {
            let pool = self.exchange.attempt.context.connections();
            let permits = kib_permits(self.exchange.attempt.max_buffered_bytes());
            self.memory = pool.shared.reserve_answer(pool.service, permits);
        }
    }

    fn complete(self) {
        let attempt = self.exchange.attempt;
        attempt.release(self.exchange.connection);
        let answer = Answer {
            headers: self.head.headers,
            body: self.buffer.freeze(),
            remainder: None,
            _memory: self.memory,
        };
        attempt.end_with_answer(answer);
    }

    /// Forwards the answer while the rest is received, which ends the attempt.
    fn start_streaming(self) {
        let attempt = self.exchange.attempt;
        let (context, connection) = (attempt.context.clone(), self.exchange.connection);
        let message = attempt.message.clone();
        let return_connection = move || release(&context, &message, connection);
        let remainder = StreamedAnswer::new(
            self.body,
            self.buffer.len() as u64,
            attempt.message.clone(),
            return_connection,
        );
        let answer = Answer {
            headers: self.head.headers,
            body: self.buffer.freeze(),
            remainder: Some(remainder),
            _memory: None,
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
