//! One HTTP client: it reuses idle connections and opens more when all are busy. Used by the load generator, scenarios and
//! tests.

use crate::{AbortOnDrop, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A connection that has been idle for longer is not reused. The node closes idle connections after 5 s; a request that
/// crosses that is lost, and one that must run at most once can't be sent again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A complete response.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why a request has no response, and what its connection was used for before.
#[derive(Debug, thiserror::Error)]
#[error("{source}, on {connection}")]
pub struct RequestError {
    /// The connection that it was sent on.
    pub connection: ConnectionUse,
    /// What went wrong.
    #[source]
    pub source: crate::Error,
}

/// The former use of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionUse {
    /// None.
    New,
    /// It had been idle for this time.
    Reused(Duration),
}

impl fmt::Display for ConnectionUse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionUse::New => write!(formatter, "a new connection"),
            ConnectionUse::Reused(idle) => write!(formatter, "a connection idle for {idle:?}"),
        }
    }
}

/// A response whose body has not been read, and its connection.
struct Exchange {
    connection: Connection,
    response: Response<Incoming>,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: AbortOnDrop,
}

/// A client of one address.
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl IdleConnection {
    fn is_reusable(&self) -> bool {
        !self.connection.sender.is_closed() && self.since.elapsed() < IDLE_TIMEOUT
    }
}

impl Client {
    /// A client without connections.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and reads its response. A request that was not read because its idle connection was closed is sent
    /// again on a new connection, once.
    ///
    /// # Errors
    /// If the connection breaks before the response is complete.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<ClientResponse, RequestError> {
        let idle = self.take_idle();
        let connection = match &idle {
            Some(idle) => ConnectionUse::Reused(idle.since.elapsed()),
            None => ConnectionUse::New,
        };
        let result = self.send_on(idle, request).await;
        result.map_err(|source| RequestError { connection, source })
    }

    /// Sends a request on an idle connection, if there is one, or on a new one.
    async fn send_on(
        &self,
        idle: Option<IdleConnection>,
        request: Request<Full<Bytes>>,
    ) -> Result<ClientResponse> {
        let exchange = match idle {
            Some(idle) => self.send_on_reused(idle.connection, request).await?,
            None => self.send_on_new(request).await?,
        };
        let Exchange {
            connection,
            response,
        } = exchange;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if !connection.sender.is_closed() {
            self.idle().push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
        Ok(ClientResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn send_on_reused(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<Exchange> {
        connection.sender.ready().await.ok();
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(Exchange {
                connection,
                response,
            }),
            Err(mut error) => match error.take_message() {
                Some(unsent) => {
                    let mut connection = self.connect().await?;
                    let response = connection.sender.send_request(unsent).await?;
                    Ok(Exchange {
                        connection,
                        response,
                    })
                }
                None => Err(error.into_error().into()),
            },
        }
    }

    async fn send_on_new(&self, request: Request<Full<Bytes>>) -> Result<Exchange> {
        let mut connection = self.connect().await?;
        connection.sender.ready().await.ok();
        let response = connection.sender.send_request(request).await?;
        Ok(Exchange {
            connection,
            response,
        })
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle();
        while let Some(candidate) = idle.pop() {
            if candidate.is_reusable() {
                return Some(candidate);
            }
        }
        None
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<Connection> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        let task = crate::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            _task: task,
        })
    }
}
