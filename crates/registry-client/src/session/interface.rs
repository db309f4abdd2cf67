//! What a session exchanges with its owner: configuration, commands and events.

use crate::wire::{Op, OperationError, Response, WatchEvent, WireError};
use crate::Time;
use bytes::Bytes;
use std::net::SocketAddr;
use thiserror::Error;

/// The credentials of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// The scheme, such as `digest`.
    pub scheme: String,
    /// The proof of that scheme, such as `name:password`.
    pub proof: Bytes,
}

/// A request to the registry, and the token that its response comes with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// The token.
    pub token: u64,
    /// The request.
    pub op: Op,
}

/// Configuration of a session.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// The members; at least one.
    pub members: Vec<SocketAddr>,
    /// The requested time after which the registry expires a silent session, in seconds. The registry may grant another.
    pub timeout: Time,
    /// The time-out of connecting to a member, handshake included, in seconds.
    pub connect_timeout: Time,
    /// The credentials of the session, if it has any.
    pub credentials: Option<Credentials>,
    /// The time without a connection after which a new session is requested that does not insist on the last known state,
    /// in seconds: the registry was probably set up again.
    pub forget_after: Time,
}

/// An instruction to the owner of the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect to this member, and report the result.
    Connect(SocketAddr),
    /// Send these bytes.
    Send(Bytes),
    /// Close the connection, if there is one.
    Close,
}

/// An event for the users of the session. Numbers are tokens of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The session is connected.
    Connected {
        /// It is a new session, without the entries and watches of the one before.
        is_new_session: bool,
    },
    /// The connection is lost. The session may still exist.
    Disconnected(LossReason),
    /// The session has expired, with its entries and watches.
    Expired,
    /// The registry was probably set up again: the last known state is obsolete.
    Reset,
    /// A request has a response.
    Response(u64, Result<Response, OperationError>),
    /// A request was lost with its connection: it may have been executed.
    RequestLost(u64),
    /// A watch has fired.
    Watch(WatchEvent),
}

/// Why a connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LossReason {
    /// Connecting failed.
    #[error("no connection")]
    ConnectFailed,
    /// The registry closed it.
    #[error("closed by the registry")]
    Closed,
    /// The registry was silent for too long.
    #[error("the registry is silent")]
    Timeout,
    /// The registry violated the protocol.
    #[error("{0}")]
    Protocol(#[from] WireError),
    /// The registry rejected the credentials.
    #[error("the registry does not take the credentials")]
    BadCredentials,
}
