//! The sizes of the system's buffers of a client's connection while a body or an answer is streamed.

use tokio::net::TcpStream;

/// Size of the system's send buffer for a streamed answer, in bytes. A larger one would hide that a slow client has
/// stopped reading.
const STREAM_SEND_BUFFER: usize = 128 << 10;
/// Size of the system's receive buffer for a streamed body, in bytes. What is unread in it counts as written by its client.
const STREAM_RECEIVE_BUFFER: usize = 128 << 10;

/// Which buffers of a connection were reduced.
#[derive(Debug, Default)]
pub(super) struct StreamBuffers {
    has_small_send_buffer: bool,
    has_small_receive_buffer: bool,
}

impl StreamBuffers {
    /// Reduces the send buffer to [`STREAM_SEND_BUFFER`], once.
    pub(super) fn limit_send_buffer(&mut self, stream: &TcpStream) {
        if !std::mem::replace(&mut self.has_small_send_buffer, true) {
            // If this fails, a slow client is only detected later.
            let _ = socket2::SockRef::from(stream).set_send_buffer_size(STREAM_SEND_BUFFER);
        }
    }

    /// Reduces the receive buffer to [`STREAM_RECEIVE_BUFFER`], once.
    pub(super) fn limit_receive_buffer(&mut self, stream: &TcpStream) {
        if !std::mem::replace(&mut self.has_small_receive_buffer, true) {
            // If this fails, the client's time may begin earlier than it has to.
            let _ = socket2::SockRef::from(stream).set_recv_buffer_size(STREAM_RECEIVE_BUFFER);
        }
    }
}
