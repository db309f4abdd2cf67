//! Opening, resuming and closing sessions, and authentication.

use super::{Handled, Reply, RequestContext};
use crate::registry::acl::{digest_id, Identity};
use crate::registry::jute::{Reader, Writer};
use crate::registry::protocol::ErrorCode;
use crate::registry::state::{RegistryState, SessionPassword};
use crate::registry::watches::ConnectionId;
use std::time::{Duration, Instant};

/// Minimum session timeout.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum session timeout.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Protocol version in connect responses.
const PROTOCOL_VERSION: i32 = 0;

/// The first frame on a connection.
struct ConnectRequest {
    /// Id of the last transaction that the client has seen.
    last_zxid: i64,
    timeout_ms: i32,
    /// Id of the session to resume; 0 to open a new one.
    session: i64,
    password: Vec<u8>,
    /// Whether the request has the read-only flag, in which case the response has one, too.
    has_read_only_field: bool,
}

impl ConnectRequest {
    fn read(frame: &[u8]) -> Result<ConnectRequest, ErrorCode> {
        let mut reader = Reader::new(frame);
        let _protocol_version = reader.int()?;
        Ok(ConnectRequest {
            last_zxid: reader.long()?,
            timeout_ms: reader.int()?,
            session: reader.long()?,
            password: reader.buffer()?.to_vec(),
            has_read_only_field: reader.bool().is_ok(),
        })
    }
}

/// The session in a connect response.
struct GrantedSession {
    /// Session id; 0 if the session to resume has expired.
    id: i64,
    password: SessionPassword,
    timeout: Duration,
}

/// Handles the first frame on a connection, which opens or resumes a session; on `None` the caller closes the
/// connection.
pub(in crate::registry) fn connect(
    state: &mut RegistryState,
    connection: ConnectionId,
    frame: &[u8],
) -> Option<Handled> {
    let request = ConnectRequest::read(frame).ok()?;
    let member = state.connections.get(&connection)?.member;
    // A client that has seen a newer state than this member's must connect to another member.
    if request.last_zxid > state.members.get(member)?.tree.zxid {
        return None;
    }
    let timeout = Duration::from_millis(u64::try_from(request.timeout_ms).ok()?);
    let timeout = timeout.clamp(SHORTEST_TIMEOUT, LONGEST_TIMEOUT);
    let granted = if request.session == 0 {
        open(state, connection, timeout)?
    } else {
        resume(state, connection, &request, timeout)
    };
    state.connections.get_mut(&connection)?.session = granted.id;
    let response = Writer::default()
        .int(PROTOCOL_VERSION)
        .int(granted.timeout.as_millis() as i32)
        .long(granted.id)
        .buffer(&granted.password);
    let response = if request.has_read_only_field {
        response.bool(false)
    } else {
        response
    };
    Some(Handled {
        response: response.into_frame(),
        required_zxid: 0,
        closes_connection: granted.id == 0,
    })
}

fn open(
    state: &mut RegistryState,
    connection: ConnectionId,
    timeout: Duration,
) -> Option<GrantedSession> {
    let id = state.open_session(timeout, connection);
    let password = state.sessions.get(&id)?.password;
    Some(GrantedSession {
        id,
        password,
        timeout,
    })
}

/// Resumes a session if the password matches, and closes the previous connection of the session.
fn resume(
    state: &mut RegistryState,
    connection: ConnectionId,
    request: &ConnectRequest,
    timeout: Duration,
) -> GrantedSession {
    let session = state
        .sessions
        .get_mut(&request.session)
        .filter(|session| session.password[..] == request.password[..]);
    let Some(session) = session else {
        return GrantedSession {
            id: 0,
            password: SessionPassword::default(),
            timeout: Duration::ZERO,
        };
    };
    let former = std::mem::replace(&mut session.connection, connection);
    session.last_request_at = Instant::now();
    session.timeout = timeout;
    let password = session.password;
    if former != connection {
        if let Some(former) = state.connections.get(&former) {
            former.close();
        }
    }
    GrantedSession {
        id: request.session,
        password,
        timeout,
    }
}

/// Closes a session at the client's request, which is not counted as an expiry.
pub(super) fn close(state: &mut RegistryState, context: &RequestContext) -> Reply {
    let required_zxid = state.delete_ephemerals(context.session);
    state.sessions.remove(&context.session);
    Reply {
        body: Writer::default(),
        required_zxid,
    }
}

/// Authenticates a client with `name:password` in the scheme `digest`, and adds the identity to its connection.
pub(super) fn authenticate(
    state: &mut RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let (scheme, credentials) = read_credentials(reader).map_err(|_| ErrorCode::AuthFailed)?;
    if scheme != "digest" || !credentials.contains(':') {
        return Err(ErrorCode::AuthFailed);
    }
    if let Some(connection) = state.connections.get_mut(&context.connection) {
        let id = digest_id(&credentials);
        connection.identities.push(Identity { scheme, id });
    }
    Ok(Reply::immediate(Writer::default()))
}

/// Decodes the scheme and the credentials of an authentication request.
fn read_credentials(reader: &mut Reader<'_>) -> Result<(String, String), ErrorCode> {
    let _type = reader.int()?;
    let scheme = reader.text()?;
    let credentials = reader.text()?;
    Ok((scheme, credentials))
}
