//! Reading request bodies, which are buffered whole, streamed to a server, or discarded.

use super::error::BodyError;
use super::Frontend;
use crate::net::body::{Payload, StreamedBody};
use crate::net::chunked_buffer::ChunkedBuffer;
use crate::net::memory::stream_window_bytes;
use crate::net::shared::{BufferLayout, MemoryPermit};
use crate::net::{kib_permits, MAX_BUFFERED_BODY_BYTES, UNRESERVED_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use reelfall_routing::limits::ServiceId;

/// A request body and the memory that is reserved for its buffered part.
pub(super) struct RequestBody {
    pub(super) payload: Payload,
    pub(super) memory: Option<MemoryPermit>,
}

/// A body that was read whole.
pub(in crate::net) struct BufferedBody {
    pub data: Bytes,
    pub memory: Option<MemoryPermit>,
}

/// The next chunk of a body; `None` at its end. Trailers concern the client's connection only and are skipped.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// The size that the headers state, in bytes, or else the maximum size of a buffered body.
fn expected_size(body: &Incoming) -> usize {
    body.size_hint()
        .exact()
        .map_or(MAX_BUFFERED_BODY_BYTES, |size| size as usize)
}

impl Frontend {
    /// Buffers a body if it is small enough and there is memory for it; otherwise streams it, starting with what was
    /// read.
    pub(super) async fn buffer_or_stream(
        &self,
        mut body: Incoming,
        service_id: Option<ServiceId>,
    ) -> Result<RequestBody, BodyError> {
        let size = body.size_hint().exact();
        if size.is_some_and(|size| size > MAX_BUFFERED_BODY_BYTES as u64) {
            let payload = self.stream_body(ChunkedBuffer::new(), body, size);
            return Ok(RequestBody {
                payload,
                memory: None,
            });
        }
        let expected_size = expected_size(&body);
        let mut data = ChunkedBuffer::new();
        let mut memory = None;
        while let Some(chunk) = next_chunk(&mut body).await? {
            data.push(&chunk);
            let needs_memory = data.len() > UNRESERVED_BODY_BYTES;
            if needs_memory && memory.is_none() {
                // Reserved once for the largest possible size: growing bodies must not wait for each other's memory.
                memory = self.shared.reserve_body(
                    service_id,
                    kib_permits(expected_size),
                    BufferLayout::Chunked,
                );
            }
            if data.len() > MAX_BUFFERED_BODY_BYTES || (needs_memory && memory.is_none()) {
                let payload = self.stream_body(data, body, size);
                return Ok(RequestBody { payload, memory });
            }
        }
        let payload = Payload::buffered(data.into_chunks());
        Ok(RequestBody { payload, memory })
    }

    fn stream_body(
        &self,
        prefix: ChunkedBuffer,
        remainder: Incoming,
        size: Option<u64>,
    ) -> Payload {
        let window_bytes = stream_window_bytes(self.shared.read_bytes());
        Payload::Streamed(StreamedBody::new(
            prefix.into_chunks(),
            remainder,
            size,
            window_bytes,
        ))
    }

    /// Buffers a whole body. One that there is no memory for is read to its end before it is rejected.
    pub(in crate::net) async fn buffer_body(
        &self,
        mut body: Incoming,
        service_id: Option<ServiceId>,
    ) -> Result<BufferedBody, BodyError> {
        let expected_size = expected_size(&body);
        let mut memory: Option<MemoryPermit> = None;
        let mut data = BytesMut::new();
        let mut size = 0;
        let mut granted_size = UNRESERVED_BODY_BYTES;
        let mut is_out_of_memory = false;
        while let Some(chunk) = next_chunk(&mut body).await? {
            size += chunk.len();
            if size > MAX_BUFFERED_BODY_BYTES {
                return Err(BodyError::TooLarge);
            }
            if !is_out_of_memory && size > granted_size {
                // Reserved once for the largest possible size: growing bodies must not wait for each other's memory.
                memory = self.shared.reserve_body(
                    service_id,
                    kib_permits(expected_size),
                    BufferLayout::Contiguous,
                );
                if memory.is_some() {
                    granted_size = MAX_BUFFERED_BODY_BYTES;
                    data.reserve(expected_size.saturating_sub(data.len()));
                } else {
                    data = BytesMut::new();
                    is_out_of_memory = true;
                }
            }
            if !is_out_of_memory {
                data.extend_from_slice(&chunk);
            }
        }
        if is_out_of_memory {
            return Err(BodyError::OutOfMemory);
        }
        let data = data.freeze();
        Ok(BufferedBody { data, memory })
    }
}

/// Reads a body to its end, since an answer that is sent while input is unread may be lost.
pub(super) async fn discard(mut body: Incoming) -> Result<(), BodyError> {
    let mut size = 0;
    while let Some(chunk) = next_chunk(&mut body).await? {
        size += chunk.len();
        if size > MAX_BUFFERED_BODY_BYTES {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(())
}
