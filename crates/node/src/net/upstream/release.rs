//! What becomes of a connection after its attempt: read to the end of its answer and returned to the pool, or closed.

use super::attempt::Attempt;
use super::connection::Connection;
use super::AttemptContext;
use crate::net::message::Message;
use crate::net::MAX_BUFFERED_RESPONSE_BYTES;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// How long a connection may stay occupied after its attempt has ended, to read the rest of the answer.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection that has carried a larger head of a request, in bytes, is not kept, as its buffers have grown.
const MAX_KEPT_HEAD_BYTES: usize = 4 << 10;

impl<C: AttemptContext> Attempt<C> {
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
