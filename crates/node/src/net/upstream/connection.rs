//! One connection to a server.

use super::socket::{Socket, SocketIo};
use crate::net::body::PayloadBody;
use crate::net::shared::{ConnectionPermit, Shared};
use crate::net::{set_nodelay, MAX_RESPONSE_HEAD_BYTES};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use reelfall_balancer::interface::ServerId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

/// The server that a connection leads to.
#[derive(Clone, Copy)]
pub(super) struct Target {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    /// The generation of the server's connections that this one belongs to.
    pub(super) generation: u64,
}

/// A connection to a server, closed when this is dropped.
pub(super) struct Connection {
    pub(super) sender: SendRequest<PayloadBody>,
    socket: Rc<Socket>,
    /// When it was opened, or returned to the pool last.
    pub(super) idle_since: Instant,
    /// Whether it has already carried an answer.
    pub(super) is_reused: bool,
    pub(super) target: Target,
    task: AbortHandle,
    _permit: ConnectionPermit,
}

impl Connection {
    /// Opens a connection; `None` if the server can't be reached in time.
    pub(super) async fn open(
        target: Target,
        permit: ConnectionPermit,
        deadline: Instant,
        shared: &Shared,
    ) -> Option<Self> {
        let stream = timeout_at(deadline.into(), TcpStream::connect(target.address))
            .await
            .ok()?
            .ok()?;
        set_nodelay(&stream);
        let account = shared.memory().clone();
        let socket = Rc::new(Socket::new(stream, shared.read_bytes(), account));
        let io = TokioIo::new(SocketIo::new(socket.clone()));
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(io)
            .await
            .ok()?;
        let task = tokio::task::spawn_local(async move {
            // An error surfaces in the attempt that uses the connection.
            let _ = connection.await;
        });
        Some(Connection {
            sender,
            socket,
            idle_since: Instant::now(),
            is_reused: false,
            target,
            task: task.abort_handle(),
            _permit: permit,
        })
    }

    /// Bytes that the socket has accepted so far, heads of requests included.
    pub(super) fn bytes_written(&self) -> u64 {
        self.socket.bytes_written()
    }

    /// Reduces the system's send buffer for a streamed body.
    pub(super) fn limit_send_buffer(&self) {
        self.socket.limit_send_buffer();
    }

    /// Records that the head of an answer is awaited, or that it was received.
    pub(super) fn set_awaiting_head(&self, is_awaiting: bool) {
        self.socket.set_awaiting_head(is_awaiting);
    }

    /// Whether its buffers have grown, so that it should not be kept without a request.
    pub(super) fn has_large_buffers(&self) -> bool {
        self.socket.has_large_buffers()
    }

    /// Whether an idle connection can't be used any more: closed by either side, or idle for too long.
    pub(super) fn is_expired(&self, now: Instant, idle_timeout: Duration) -> bool {
        self.sender.is_closed() || now - self.idle_since >= idle_timeout || !self.socket.is_quiet()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Shut down now rather than when the runtime drops the task: a server that limits its connections must see this
        // one end before its replacement is opened.
        self.socket.shutdown();
        self.task.abort();
    }
}
