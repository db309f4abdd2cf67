//! Judges an answer whose head was received: rejected answers and server errors end the attempt here, others are read by
//! `buffering`. Called by `exchange`.

use super::answer_timer::AnswerTimer;
use super::attempt::{Attempt, DRAIN_TIMEOUT};
use super::buffering::{BufferingResponse, OpenExchange};
use super::connection::Connection;
use super::{AttemptContext, ConnectionPool};
use crate::net::body::MAX_STREAMED_BYTES;
use crate::net::message::{AnswerValidator, Message};
use crate::net::shared::{AnswerBuffer, AnswerQuota, BufferLayout, MemoryPermit};
use crate::net::{
    kib_permits, MAX_BUFFERED_RESPONSE_BYTES, MAX_IMMEDIATE_RESPONSE_BYTES,
    MAX_UNSTREAMED_RESPONSE_BYTES, UNRESERVED_RESPONSE_BYTES,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use reelfall_balancer::interface::Outcome;
use std::time::Instant;
use tokio::time::timeout;

/// Header with which a server states that it has not run a request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// A connection that has carried a larger head of a request, in bytes, is not kept, as its buffers have grown.
const MAX_KEPT_HEAD_BYTES: usize = 4 << 10;

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
    let exchange = OpenExchange {
        attempt,
        connection,
        timer,
    };
    BufferingResponse::new(exchange, head, body, memory)
        .run()
        .await;
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
    pub(super) fn validator(&self) -> Option<&dyn AnswerValidator> {
        self.message.validator.as_deref()
    }

    /// Whether the answer has to be buffered whole, because it is validated before it is forwarded.
    pub(super) fn must_buffer_whole(&self) -> bool {
        self.message.validator.is_some()
    }

    /// How the answer is buffered.
    pub(super) fn buffer_layout(&self) -> BufferLayout {
        if self.must_buffer_whole() {
            BufferLayout::Contiguous
        } else {
            BufferLayout::Chunked
        }
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
    pub(super) fn max_buffered_bytes(&self) -> usize {
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
            // The connection of the client has memory for this much.
            return None;
        }
        let bytes = announced_bytes.min(self.max_buffered_bytes());
        // Without memory in time an answer that is validated is not read, and the wait for its body times out.
        self.reserve_answer(bytes, bytes, deadline).await
    }

    /// Reserves memory for another `added_bytes` of an answer, of which `total_bytes` are buffered then. Waits for it if the
    /// answer can't be streamed instead.
    pub(super) async fn reserve_answer(
        &self,
        added_bytes: usize,
        total_bytes: usize,
        deadline: Instant,
    ) -> Option<MemoryPermit> {
        let ConnectionPool {
            shared, service, ..
        } = self.context.connections();
        let buffer = AnswerBuffer {
            kib: kib_permits(added_bytes),
            layout: self.buffer_layout(),
            quota: if total_bytes <= MAX_UNSTREAMED_RESPONSE_BYTES {
                AnswerQuota::Exempt
            } else {
                AnswerQuota::Of(*service)
            },
        };
        if self.must_buffer_whole() {
            shared.reserve_answer_by(buffer, deadline).await
        } else {
            shared.reserve_answer(buffer)
        }
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

    /// Returns a connection whose answer was read to its end to the pool.
    pub(super) fn release(&self, connection: Connection) {
        release(&self.context, &self.message, connection);
    }
}

/// Returns a connection whose answer to a request was read to its end to the pool, or closes it if the server has answered
/// before it had received the body, or the buffers have grown for a large head.
pub(super) fn release<C: AttemptContext>(context: &C, message: &Message, connection: Connection) {
    let has_small_buffers = message.head_bytes() <= MAX_KEPT_HEAD_BYTES;
    if !message.body.is_upload_in_progress() && has_small_buffers {
        context.connections().put(connection);
    }
}
