//! The messages that maintain a session: handshake, ping, credentials and close; and the header of responses.

use super::interface::Credentials;
use crate::wire::{Reader, WireError, Writer};
use crate::Time;
use bytes::Bytes;

/// The reserved request id (xid) of a ping.
pub(super) const PING_XID: i32 = -2;
/// The reserved request id of the credentials.
pub(super) const AUTH_XID: i32 = -4;
/// The reserved request id of a watch event.
pub(super) const WATCH_XID: i32 = -1;

const PING_OP: i32 = 11;
const AUTH_OP: i32 = 100;
const CLOSE_OP: i32 = -11;

/// The id and the secret by which a session is resumed.
#[derive(Clone, Debug)]
pub(super) struct SessionKey {
    /// 0 requests a new session.
    pub(super) id: i64,
    pub(super) password: Bytes,
}

impl SessionKey {
    /// The key that requests a new session.
    pub(super) fn none() -> Self {
        SessionKey {
            id: 0,
            password: Bytes::from_static(&[0; 16]),
        }
    }
}

/// The first message of a connection: requests a new session, or resumes the one with this key.
pub(super) fn handshake(key: &SessionKey, last_zxid: i64, timeout: Time) -> Bytes {
    let timeout_ms = (timeout * 1e3).clamp(1.0, f64::from(i32::MAX)) as i32;
    Writer::new()
        .int(0)
        .long(last_zxid)
        .int(timeout_ms)
        .long(key.id)
        .buffer(&key.password)
        .boolean(false)
        .finish()
}

/// The response of a member to the handshake.
pub(super) struct HandshakeResponse {
    pub(super) key: SessionKey,
    /// The negotiated time-out of the session, in milliseconds.
    pub(super) timeout_ms: i32,
}

impl HandshakeResponse {
    pub(super) fn read(reader: &mut Reader) -> Result<Self, WireError> {
        let _version = reader.int()?;
        let timeout_ms = reader.int()?;
        let id = reader.long()?;
        let password = reader.buffer()?;
        Ok(HandshakeResponse {
            key: SessionKey { id, password },
            timeout_ms,
        })
    }

    /// Whether the member granted the session; otherwise the session to resume has expired.
    pub(super) fn is_granted(&self) -> bool {
        self.timeout_ms > 0 && self.key.id != 0
    }
}

/// A ping, which keeps the session alive.
pub(super) fn ping() -> Bytes {
    Writer::new().int(PING_XID).int(PING_OP).finish()
}

/// The message that authenticates the session.
pub(super) fn credentials(credentials: &Credentials) -> Bytes {
    Writer::new()
        .int(AUTH_XID)
        .int(AUTH_OP)
        .int(0)
        .string(&credentials.scheme)
        .buffer(&credentials.proof)
        .finish()
}

/// The request that closes the session.
pub(super) fn close(xid: i32) -> Bytes {
    Writer::new().int(xid).int(CLOSE_OP).finish()
}

/// The header of a response or watch event.
pub(super) struct ResponseHeader {
    /// The id of the request, or a reserved id.
    pub(super) xid: i32,
    /// Id of the last transaction that the member has applied.
    pub(super) zxid: i64,
    /// The error code; 0 for none.
    pub(super) code: i32,
}

impl ResponseHeader {
    pub(super) fn read(reader: &mut Reader) -> Result<Self, WireError> {
        Ok(ResponseHeader {
            xid: reader.int()?,
            zxid: reader.long()?,
            code: reader.int()?,
        })
    }
}
