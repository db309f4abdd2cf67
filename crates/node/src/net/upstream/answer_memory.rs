//! How much of an answer may be buffered, and the memory for it.

use super::attempt::Attempt;
use super::{AttemptContext, ConnectionPool};
use crate::net::body::MAX_STREAMED_BYTES;
use crate::net::message::AnswerValidator;
use crate::net::shared::{AnswerBuffer, AnswerQuota, BufferLayout, MemoryPermit};
use crate::net::{
    kib_permits, MAX_BUFFERED_RESPONSE_BYTES, MAX_IMMEDIATE_RESPONSE_BYTES,
    MAX_UNSTREAMED_RESPONSE_BYTES, UNRESERVED_RESPONSE_BYTES,
};
use std::time::Instant;

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
    pub(super) fn max_answer_bytes(&self) -> u64 {
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
    pub(super) async fn reserve_announced(
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
}
