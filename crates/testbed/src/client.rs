//! An HTTP/1.1 client with a connection pool: it reuses idle connections and opens a new one if none is idle. Used by the
//! load generator, the relay, scenarios and tests.

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

/// Idle time after which a connection is no longer reused. The node closes idle connections after 5 s. A request that is
/// sent while the node closes the connection is lost, and one that must take effect at most once can't be retried.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A complete response.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response, read to its end.
    pub body: Bytes,
}

/// A request failed without a complete response.
#[derive(Debug, thiserror::Error)]
#[error("{source}, on {connection}")]
pub struct RequestError {
    /// Whether the connection was new or reused.
    pub connection: ConnectionUse,
    /// The underlying error.
    #[source]
    pub source: crate::Error,
}

/// Whether a connection had been used before the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionUse {
    /// The connection was opened for the request.
    New,
    /// The connection was reused after this idle time.
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

/// A response whose body has not been read yet, and the connection on which it arrives.
struct Exchange {
    connection: Connection,
    response: Response<Incoming>,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _task: AbortOnDrop,
}

/// An HTTP client for one server address.
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
    /// Creates a client. Connections are opened on demand.
    pub fn new(address: SocketAddr) -> Client {
        Client {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and reads the response. A request that could not be sent because the reused connection was closed is
    /// sent once more on a new connection.
    ///
    /// # Errors
    /// Fails if no connection can be opened, or if it breaks before the response is complete.
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

    /// Sends a request on the given idle connection or, without one, on a new connection.
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
