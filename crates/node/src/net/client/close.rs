//! The orderly end of a client's connection.

use super::{Client, Phase};
use crate::net::body::FLOW_MOST;
use hyper::StatusCode;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long, and for how much, a connection that is closed on its client reads on: an answer beside unread bytes
/// may be lost with them.
const CLOSE_WITHIN: Duration = Duration::from_millis(200);
const CLOSE_READ: usize = 256 << 10;
/// The same where the answer has come before the body.
const EARLY_WITHIN: Duration = Duration::from_secs(3);

/// Ends a connection on which nothing more is served, without loss of what was written to it: a close over unread bytes
/// resets it, and an answer that its client has not read yet goes with that. In turn: the write side is shut down, what
/// still comes is read for a while and sent nowhere, and the socket is closed when this returns.
///
/// Guards against requests, or their rest, that cross the end. Harm: a client that never closes holds its descriptor for
/// `CLOSE_WITHIN` longer.
pub(in crate::net) async fn close(stream: &TcpStream, client: &Client) {
    if let Some(status) = client.fault.get() {
        return reject(stream, status, client.wrote.get()).await;
    }
    if client
        .answer_open
        .borrow()
        .as_ref()
        .is_some_and(|answer_open| answer_open.get())
    {
        // An answer was cut off. One of no stated length would look whole after an orderly end: a reset never does.
        let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    } else if client.answered_early.get() {
        linger(stream, FLOW_MOST as usize, EARLY_WITHIN).await;
    } else if !client.disconnected.get() && client.phase.get() != Phase::New {
        linger(stream, CLOSE_READ, CLOSE_WITHIN).await;
    }
}

/// Tells a client, if nothing was told yet, why its connection ends, and ends it.
async fn reject(stream: &TcpStream, status: StatusCode, wrote: bool) {
    if !wrote {
        let text = format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        // A socket on which nothing was written takes so little at once, or its client is gone.
        let _ = stream.try_write(text.as_bytes());
    }
    linger(stream, CLOSE_READ, CLOSE_WITHIN).await;
}

/// Shuts the write side down and reads to the client's end, so much and so long at most.
async fn linger(stream: &TcpStream, most: usize, within: Duration) {
    let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
    let rest = async {
        let (mut scratch, mut size) = ([0; 4096], 0);
        while size < most && stream.readable().await.is_ok() {
            match stream.try_read(&mut scratch) {
                Ok(0) => break,
                Ok(n) => size += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    };
    let _ = timeout(within, rest).await;
}
