//! Closing a client's connection without losing the answer that was written to it.

use super::{Client, Phase};
use crate::net::body::MAX_STREAMED_BYTES;
use hyper::StatusCode;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Limits on the input that is read before a close. A close with unread input may lose the answer.
const LINGER_LIMITS: LingerLimits = LingerLimits {
    timeout: Duration::from_millis(200),
    max_bytes: 256 << 10,
};
/// The limits for a request that was answered before its body was read.
const EARLY_ANSWER_LINGER_LIMITS: LingerLimits = LingerLimits {
    timeout: Duration::from_secs(3),
    max_bytes: MAX_STREAMED_BYTES as usize,
};
const READ_BYTES: usize = 4096;

/// How long and how many bytes to read from a connection that is being closed.
#[derive(Clone, Copy)]
struct LingerLimits {
    timeout: Duration,
    max_bytes: usize,
}

/// Closes a connection on which nothing more is served.
///
/// The write side is shut down, and further input is read for a while and discarded; the socket can be dropped when
/// this returns. A close with unread input would reset the connection, and the client would lose an answer that it has
/// not read yet.
pub(in crate::net) async fn close(stream: &TcpStream, client: &Client) {
    if let Some(status) = client.rejection_status.get() {
        return reject(stream, status, client.has_written.get()).await;
    }
    if client
        .answer_open_flag
        .borrow()
        .as_ref()
        .is_some_and(|is_open| is_open.get())
    {
        // The answer is truncated. Without an announced length it would look complete after a regular close, so the
        // connection is reset.
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    } else if client.was_answered_early.get() {
        linger(stream, EARLY_ANSWER_LINGER_LIMITS).await;
    } else if !client.is_disconnected.get() && client.phase.get() != Phase::New {
        linger(stream, LINGER_LIMITS).await;
    }
}

/// Responds with the status, unless part of another answer was already written, and closes the connection.
async fn reject(stream: &TcpStream, status: StatusCode, has_written: bool) {
    if !has_written {
        let text = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        // The socket's send buffer has space for this, unless the client is gone.
        let _ = stream.try_write(text.as_bytes());
    }
    linger(stream, LINGER_LIMITS).await;
}

/// Shuts down the write side and reads until the client closes, within the limits.
async fn linger(stream: &TcpStream, limits: LingerLimits) {
    let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
    let read_to_end = async {
        let mut scratch = [0; READ_BYTES];
        let mut bytes_read = 0;
        while bytes_read < limits.max_bytes && stream.readable().await.is_ok() {
            match stream.try_read(&mut scratch) {
                Ok(0) => break,
                Ok(length) => bytes_read += length,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    };
    let _ = timeout(limits.timeout, read_to_end).await;
}
