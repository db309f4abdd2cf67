//! An HTTP connection to the discovery service, with a deadline for each step.

use super::error::WatchError;
use crate::net::task::AbortOnDrop;
use crate::net::MAX_RESPONSE_HEAD_BYTES;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// An open connection; it is closed when this is dropped.
pub(super) struct Connection {
    _task: AbortOnDrop,
    sender: SendRequest<Empty<Bytes>>,
    address: SocketAddr,
}

impl Connection {
    /// Connects by `connect_deadline` and is ready for requests by `deadline`.
    pub(super) async fn open(
        address: SocketAddr,
        connect_deadline: Instant,
        deadline: Instant,
    ) -> Result<Connection, WatchError> {
        let stream = with_deadline(connect_deadline, TcpStream::connect(address)).await?;
        let handshake = Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = with_deadline(deadline, handshake).await?;
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            _task: AbortOnDrop(task.abort_handle()),
            sender,
            address,
        })
    }

    /// Waits until the next request can be sent.
    pub(super) async fn ready(&mut self, deadline: Instant) -> Result<(), WatchError> {
        with_deadline(deadline, self.sender.ready()).await
    }

    /// Requests a path and returns the body of the response.
    ///
    /// # Errors
    /// If there is no response with status 200 by the deadline.
    pub(super) async fn get(
        &mut self,
        path: &str,
        deadline: Instant,
    ) -> Result<Incoming, WatchError> {
        let request = Request::get(path)
            .header("host", self.address.to_string())
            .body(Empty::new())?;
        let response = with_deadline(deadline, self.sender.send_request(request)).await?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        Ok(response.into_body())
    }
}

/// The next data of a body; `None` at its end.
pub(super) async fn next_data(
    body: &mut Incoming,
    deadline: Instant,
) -> Result<Option<Bytes>, WatchError> {
    loop {
        let frame = timeout_at(deadline, body.frame())
            .await
            .map_err(|_| WatchError::TimedOut)?;
        match frame.transpose()?.map(Frame::into_data) {
            None => return Ok(None),
            Some(Ok(data)) => return Ok(Some(data)),
            // Trailers are skipped.
            Some(Err(_)) => {}
        }
    }
}

async fn with_deadline<T, E: Into<WatchError>>(
    deadline: Instant,
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, WatchError> {
    timeout_at(deadline, future)
        .await
        .map_err(|_| WatchError::TimedOut)?
        .map_err(Into::into)
}
