//! The interface between a session and its owner: configuration, requests, commands and events.

use crate::wire::{Op, OperationError, Response, WatchEvent, WireError};
use crate::Time;
use bytes::Bytes;
use std::net::SocketAddr;
use thiserror::Error;

/// The credentials by which a session authenticates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// The scheme, such as `digest`.
    pub scheme: String,
    /// The proof of identity in this scheme, such as `name:password`.
    pub proof: Bytes,
}

/// A request to the registry, with a token that identifies its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// The token, chosen by the caller; it is repeated in the event that ends the request.
    pub token: u64,
    /// The requested operation.
    pub op: Op,
}

/// Configuration of a session.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// The addresses of the registry's members; at least one.
    pub members: Vec<SocketAddr>,
    /// The requested session time-out in seconds: the registry expires a session that is silent for longer. The
    /// registry may grant another value.
    pub timeout: Time,
    /// Time-out of a connection attempt, handshake included, in seconds.
    pub connect_timeout: Time,
    /// The credentials of the session, if it has any.
    pub credentials: Option<Credentials>,
    /// The time without a connection after which the session is reset, in seconds: a new session is requested that
    /// accepts a state older than the last known one, since the registry was probably set up again from scratch.
    pub forget_after: Time,
}

/// An instruction to the owner of the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect to this member, and report the result to the session.
    Connect(SocketAddr),
    /// Send these bytes on the connection.
    Send(Bytes),
    /// Close the connection or abandon the connection attempt, if there is one.
    Close,
}

/// An event for the user of the session. The numbers are tokens of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The registry has granted the session on a new connection.
    Connected {
        /// Whether it is a new session, without the entries and watches of the previous one.
        is_new_session: bool,
    },
    /// The connection was lost. The session may still exist.
    Disconnected(LossReason),
    /// The session has expired, with its entries and watches.
    Expired,
    /// The registry was probably set up again from scratch: the session and the last known state were dropped.
    Reset,
    /// The response to a request.
    Response(u64, Result<Response, OperationError>),
    /// The connection was lost before the response to a request arrived: the request may have been executed.
    RequestLost(u64),
    /// A watch has fired.
    Watch(WatchEvent),
}

/// Why a connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LossReason {
    /// The connection attempt failed.
    #[error("connecting to the registry failed")]
    ConnectFailed,
    /// The connection was closed or denied by the registry.
    #[error("the registry closed the connection")]
    Closed,
    /// The registry sent no message in time.
    #[error("the registry did not respond in time")]
    Timeout,
    /// The registry sent a message that violates the protocol.
    #[error("{0}")]
    Protocol(#[from] WireError),
    /// The registry rejected the credentials.
    #[error("the registry rejected the credentials")]
    BadCredentials,
}
