//! One client: it keeps its connections and opens more when all are busy.

use crate::{AbortOnDrop, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use tokio::net::TcpStream;

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Got {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

struct Connection {
    send: SendRequest<Full<Bytes>>,
    _task: AbortOnDrop,
}

/// See the module.
pub struct Client {
    to: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// A client without connections yet.
    pub fn new(to: SocketAddr) -> Client {
        Client {
            to,
            idle: Mutex::default(),
        }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<Connection> {
        let stream = TcpStream::connect(self.to).await?;
        stream.set_nodelay(true)?;
        let (send, connection) = handshake(TokioIo::new(stream)).await?;
        let task = crate::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection { send, _task: task })
    }

    /// Sends a request and reads its answer. One that crosses the close of an idle connection unread is sent again
    /// on a new one, once.
    ///
    /// # Errors
    /// If the connection breaks before the answer is whole.
    pub async fn ask(&self, request: Request<Full<Bytes>>) -> Result<Got> {
        let kept = loop {
            match self.idle().pop() {
                Some(c) if c.send.is_closed() => {}
                kept => break kept,
            }
        };
        let fresh = kept.is_none();
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        connection.send.ready().await.ok();
        let answer = match connection.send.try_send_request(request).await {
            Ok(answer) => answer,
            Err(mut e) => match e.take_message().filter(|_| !fresh) {
                Some(request) => {
                    connection = self.connect().await?;
                    connection.send.send_request(request).await?
                }
                None => return Err(e.into_error().into()),
            },
        };
        let (head, body) = answer.into_parts();
        let body = body.collect().await?.to_bytes();
        if !connection.send.is_closed() {
            self.idle().push(connection);
        }
        Ok(Got {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}
