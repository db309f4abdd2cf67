//! Reads an answer whose head was received. It is buffered whole, or streamed while more of it is received.
//!
//! Called by `exchange`. The states of an answer:
//!
//! - head received: rejected answers and server errors end the attempt here;
//! - buffering: chunks of the body are collected;
//! - then complete, streaming, broken or timed out, each of which ends the attempt.

use super::answer_timer::AnswerTimer;
use super::attempt::{Attempt, DRAIN_TIMEOUT};
use super::connection::Connection;
use super::AttemptContext;
use crate::net::answer::{Answer, StreamedAnswer};
use crate::net::body::MAX_STREAMED_BYTES;
use crate::net::message::AnswerValidator;
use crate::net::shared::MemoryPermit;
use crate::net::{
    kib_permits, MAX_BUFFERED_RESPONSE_BYTES, MAX_IMMEDIATE_RESPONSE_BYTES,
    UNRESERVED_RESPONSE_BYTES,
};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use reelfall_balancer::interface::Outcome;
use std::time::{Duration, Instant};
use tokio::time::{sleep_until, timeout};

/// How long a large answer is buffered before it is streamed.
const MAX_BUFFERING_TIME: Duration = Duration::from_millis(25);
/// Header with which a server states that it has not run a request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// Reads an answer whose head was received, and reports the outcome of its attempt.
pub(super) async fn read_response<C: AttemptContext>(
    attempt: &Attempt<C>,
    connection: Connection,
    response: Response<Incoming>,
    timer: AnswerTimer<'_, C>,
) {
    let (head, body) = response.into_parts();
    let outcome = classify(&head, attempt.validator());
    if outcome == Outcome::Rejected && closes_connection(&head) && !connection.is_reused {
        // The server is at its connection limit.
        attempt.context.connections().record_rejected_connection();
    }
    if outcome != Outcome::Served {
        attempt.end(outcome);
        return attempt.drain(connection, body).await;
    }
    // Without framing, a truncated answer can't be distinguished from a complete one. The request may have run.
    if !is_framed(&head, &body) || body.size_hint().lower() > attempt.max_answer_bytes() {
        return attempt.end(Outcome::ConnectionLost);
    }
    let announced_bytes = body.size_hint().exact().map_or(0, |length| length as usize);
    let memory = attempt
        .reserve_announced(announced_bytes, timer.answer_by())
        .await;
    let buffering = BufferingResponse {
        memory,
        buffer: BytesMut::new(),
        body,
        head,
        connection,
        attempt,
        announced_bytes,
        timer,
        stream_after: Instant::now() + MAX_BUFFERING_TIME,
    };
    buffering.run().await;
}

/// The outcome that the head of an answer indicates.
fn classify(head: &Parts, validator: Option<&dyn AnswerValidator>) -> Outcome {
    let is_unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
    match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => {
            Outcome::Rejected
        }
        status if validator.is_some_and(|validator| validator.accepts_status(status)) => {
            Outcome::Served
        }
        _ => Outcome::Error,
    }
}

/// Whether the server announces that it closes the connection after this answer.
fn closes_connection(head: &Parts) -> bool {
    head.headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Whether the head determines where the body ends: by a length, by chunks or by an announced close.
fn is_framed(head: &Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_some()
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || closes_connection(head)
        || head.version == Version::HTTP_10
}

impl<C: AttemptContext> Attempt<C> {
    fn validator(&self) -> Option<&dyn AnswerValidator> {
        self.message.validator.as_deref()
    }

    /// Whether the answer has to be buffered whole, because it is validated before it is forwarded.
    fn must_buffer_whole(&self) -> bool {
        self.message.validator.is_some()
    }

    /// Maximum size of an accepted answer, in bytes.
    fn max_answer_bytes(&self) -> u64 {
        if self.must_buffer_whole() {
            MAX_BUFFERED_RESPONSE_BYTES as u64
        } else {
            MAX_STREAMED_BYTES
        }
    }

    /// Maximum size of a buffered answer, in bytes.
    fn max_buffered_bytes(&self) -> usize {
        if self.must_buffer_whole() {
            MAX_BUFFERED_RESPONSE_BYTES
        } else {
            MAX_IMMEDIATE_RESPONSE_BYTES
        }
    }

    /// Reserves memory for an answer of announced length, if it needs a reservation.
    async fn reserve_announced(
        &self,
        announced_bytes: usize,
        deadline: Instant,
    ) -> Option<MemoryPermit> {
        if announced_bytes <= UNRESERVED_RESPONSE_BYTES {
            return None;
        }
        let pool = self.context.connections();
        if self.must_buffer_whole() {
            // Without memory in time the answer is not read, and the wait for its body times out.
            let permits = kib_permits(announced_bytes);
            return pool
                .shared
                .reserve_answer_by(pool.service, permits, deadline)
                .await;
        }
        let permits = kib_permits(announced_bytes.min(MAX_IMMEDIATE_RESPONSE_BYTES));
        pool.shared.reserve_answer(pool.service, permits)
    }

    /// Reads and discards the rest of an answer, so that its connection can be used again.
    pub(super) async fn drain(&self, connection: Connection, mut body: Incoming) {
        let read_to_end = async {
            let mut size = 0;
            while let Some(frame) = body.frame().await {
                size += frame.ok()?.data_ref().map_or(0, Bytes::len);
                (size <= MAX_BUFFERED_RESPONSE_BYTES).then_some(())?;
            }
            Some(())
        };
        if let Ok(Some(())) = timeout(DRAIN_TIMEOUT, read_to_end).await {
            self.release(connection);
        }
    }

    /// Returns a connection whose answer was read to its end to the pool, or closes it if the server has answered before
    /// it had received the body.
    fn release(&self, connection: Connection) {
        if !self.message.body.is_upload_in_progress() {
            self.context.connections().put(connection);
        }
    }
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
struct BufferingResponse<'a, C> {
    memory: Option<MemoryPermit>,
    buffer: BytesMut,
    body: Incoming,
    head: Parts,
    connection: Connection,
    attempt: &'a Attempt<C>,
    /// The length that the head states, in bytes; 0 if it states none.
    announced_bytes: usize,
    timer: AnswerTimer<'a, C>,
    /// A large answer that is not complete by then is streamed.
    stream_after: Instant,
}

impl<C: AttemptContext> BufferingResponse<'_, C> {
    async fn run(mut self) {
        loop {
            match self.read_frame().await {
                Progress::Buffering => {}
                Progress::Complete => return self.complete(),
                Progress::Streaming => return self.start_streaming(),
                Progress::Broken => return self.attempt.end(Outcome::ConnectionLost),
                Progress::TimedOut => return self.time_out().await,
            }
        }
    }

    async fn read_frame(&mut self) -> Progress {
        let can_stream = self.can_stream();
        let received = tokio::select! {
            biased;
            frame = self.body.frame() => Some(frame),
            () = self.timer.expire() => None,
            () = sleep_until(self.stream_after.into()), if can_stream => None,
        };
        self.timer.record_progress(Instant::now());
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
        self.is_large() && !self.attempt.must_buffer_whole() && !self.buffer.is_empty()
    }

    fn is_valid(&self) -> bool {
        self.attempt
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
        let fits = has_memory && self.buffer.len() <= self.attempt.max_buffered_bytes();
        if self.attempt.must_buffer_whole() {
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
            let pool = self.attempt.context.connections();
            let permits = kib_permits(self.attempt.max_buffered_bytes());
            self.memory = pool.shared.reserve_answer(pool.service, permits);
        }
    }

    fn complete(self) {
        let attempt = self.attempt;
        attempt.release(self.connection);
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
        let attempt = self.attempt;
        let (context, connection) = (attempt.context.clone(), self.connection);
        let message = attempt.message.clone();
        let return_connection = move || {
            if !message.body.is_upload_in_progress() {
                context.connections().put(connection);
            }
        };
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
        let attempt = self.attempt;
        attempt.log_upload(Outcome::TimedOut);
        attempt.end(Outcome::TimedOut);
        if !attempt.context.has_attempt_in_flight(attempt.request) {
            attempt.drain(self.connection, self.body).await;
        }
    }
}
