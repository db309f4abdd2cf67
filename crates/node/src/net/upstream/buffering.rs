//! Buffers an answer, which is forwarded whole, or in part while more of it is received. `response` hands over answers whose
//! head was accepted.
//!
//! The states of an answer: buffering while chunks of its body are collected; then complete, streaming, broken or timed
//! out, each of which ends the attempt. When it is streamed or has timed out is decided by its [`AnswerClock`].

use super::answer_timer::AnswerTimer;
use super::attempt::Attempt;
use super::connection::Connection;
use super::release::release;
use super::AttemptContext;
use crate::net::answer::{Answer, StreamedAnswer};
use crate::net::answer_clock::{AnswerClock, AnswerLength};
use crate::net::chunked_buffer::ChunkedBuffer;
use crate::net::memory::stream_window_bytes;
use crate::net::request_events::RequestEvent;
use crate::net::shared::{BufferLayout, MemoryPermit};
use crate::net::UNRESERVED_RESPONSE_BYTES;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::http::response::Parts;
use reelfall_balancer::interface::Outcome;
use std::time::Instant;
use tokio::time::sleep_until;

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

/// What the wait for the next frame of a body has ended with.
enum FrameWait {
    Received(Option<hyper::Result<Frame<Bytes>>>),
    /// The time of the attempt is up.
    Overdue,
    /// The start of the answer has been buffered for long enough.
    BufferedLongEnough,
    /// The server has the whole request now.
    UploadEnded,
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
    clock: AnswerClock,
}

impl<'a, C: AttemptContext> BufferingResponse<'a, C> {
    /// An answer of which only the head was read. `memory` is reserved for its body, if it has an announced length.
    pub(super) fn new(
        exchange: OpenExchange<'a, C>,
        head: Parts,
        body: Incoming,
        memory: Option<MemoryPermit>,
    ) -> Self {
        let announced_length = body.size_hint().exact();
        let announced_bytes = announced_length.map_or(0, |length| length as usize);
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
            clock: AnswerClock::new(Instant::now(), announced_length),
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
        let received = self.wait_for_frame().await;
        self.exchange.timer.record_progress(Instant::now());
        self.clock
            .set_deadline(self.exchange.timer.client_deadline());
        match received {
            FrameWait::Received(Some(Ok(frame))) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                self.buffer.push(data);
                self.clock.record_part(Instant::now(), data.len());
                self.check_size().await
            }
            FrameWait::Received(Some(Err(_))) => Progress::Broken,
            FrameWait::Received(None) if self.is_valid() => Progress::Complete,
            // What followed an invalid answer on the connection is unknown, so the connection is closed.
            FrameWait::Received(None) => Progress::Broken,
            FrameWait::BufferedLongEnough => Progress::Streaming,
            FrameWait::UploadEnded => Progress::Buffering,
            FrameWait::Overdue => self.judge_overdue(),
        }
    }

    async fn wait_for_frame(&mut self) -> FrameWait {
        let forward_by = self.forward_by();
        let held = async {
            match forward_by {
                Some(forward_by) => sleep_until(forward_by.into()).await,
                None => std::future::pending().await,
            }
        };
        let body = &self.exchange.attempt.message.body;
        let upload_ended = async {
            match body.streamed() {
                Some(body) if !body.is_complete() => body.wait_for_end().await,
                _ => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            frame = self.body.frame() => FrameWait::Received(frame),
            () = self.exchange.timer.expire() => FrameWait::Overdue,
            () = upload_ended => FrameWait::UploadEnded,
            () = held => FrameWait::BufferedLongEnough,
        }
    }

    /// When its start has to be forwarded though its client still has time. A server that does not have the whole request has
    /// not begun to process it.
    fn forward_by(&self) -> Option<Instant> {
        let attempt = self.exchange.attempt;
        let must_wait = attempt.must_buffer_whole() || attempt.message.body.is_upload_in_progress();
        self.clock.forward_by().filter(|_| !must_wait)
    }

    /// Decides what becomes of an answer that is not complete when the time of its attempt is up. One that may be long is not
    /// given up for another attempt, and is forwarded when its client's time is up, unless its server does not even have the whole
    /// request then.
    fn judge_overdue(&mut self) -> Progress {
        let attempt = self.exchange.attempt;
        if attempt.must_buffer_whole()
            || self.clock.length() == AnswerLength::Short
            || attempt.message.body.is_upload_in_progress()
        {
            return Progress::TimedOut;
        }
        if self.exchange.timer.is_final() {
            let client_deadline = self.exchange.timer.client_deadline();
            self.clock
                .set_deadline(client_deadline.or_else(|| Some(Instant::now())));
            self.record_forwarded();
            return Progress::Streaming;
        }
        self.exchange.timer.extend();
        Progress::Buffering
    }

    fn record_forwarded(&self) {
        let attempt = self.exchange.attempt;
        attempt.record(&RequestEvent::ForwardedIncomplete {
            server: attempt.context.address(attempt.server),
            received_bytes: self.clock.received_bytes(),
            silence: self.clock.silence(Instant::now()),
        });
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
        if self.exchange.attempt.must_buffer_whole() {
            return if fits {
                Progress::Buffering
            } else {
                Progress::Broken
            };
        }
        let is_buffered_long_enough = self
            .forward_by()
            .is_some_and(|forward_by| forward_by <= Instant::now());
        if !self.buffer.is_empty() && (!fits || is_buffered_long_enough) {
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
        let shared = context.connections().shared.clone();
        let window_bytes = stream_window_bytes(shared.read_bytes());
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
            self.clock,
            window_bytes,
            attempt.message.clone(),
            shared.request_events.clone(),
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
