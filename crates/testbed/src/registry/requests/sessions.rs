//! Sessions opened, resumed and closed, and authentication.

use super::{Handled, Reply, RequestContext};
use crate::registry::acl::{digest_id, Identity};
use crate::registry::jute::{Reader, Writer};
use crate::registry::protocol::ErrorCode;
use crate::registry::state::{RegistryState, SessionPassword};
use crate::registry::watches::ConnectionId;
use std::time::{Duration, Instant};

/// Shortest time-out of a session.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time-out of a session.
const LONGEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Version of the protocol in responses.
const PROTOCOL_VERSION: i32 = 0;

/// The first frame of a client.
struct ConnectRequest {
    /// The last transaction that the client has seen.
    last_zxid: i64,
    timeout_ms: i32,
    /// 0 for a new session.
    session: i64,
    password: Vec<u8>,
    /// The client states whether a read-only member will do, and expects the field in the response.
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

/// The session that a client gets.
struct GrantedSession {
    /// 0 if there is none: the client's former one has expired.
    id: i64,
    password: SessionPassword,
    timeout: Duration,
}

/// Handles the first frame of a connection, which opens or resumes a session; `None` closes the connection.
pub(in crate::registry) fn connect(
    state: &mut RegistryState,
    connection: ConnectionId,
    frame: &[u8],
) -> Option<Handled> {
    let request = ConnectRequest::read(frame).ok()?;
    let member = state.connections.get(&connection)?.member;
    // A client that has seen more than this member has to connect to another one.
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

/// Resumes the session that a client names, if its password is correct. The former connection of the session is closed.
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

/// Closes the session of a client by its own request, which does not count as an expiry.
pub(super) fn close(state: &mut RegistryState, context: &RequestContext) -> Reply {
    let required_zxid = state.delete_ephemerals(context.session);
    state.sessions.remove(&context.session);
    Reply {
        body: Writer::default(),
        required_zxid,
    }
}

/// Adds an identity to a client that proves it by `name:password`.
pub(super) fn authenticate(
    state: &mut RegistryState,
    context: &RequestContext,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    let (scheme, proof) = read_proof(reader).map_err(|_| ErrorCode::AuthFailed)?;
    if scheme != "digest" || !proof.contains(':') {
        return Err(ErrorCode::AuthFailed);
    }
    if let Some(connection) = state.connections.get_mut(&context.connection) {
        let id = digest_id(&proof);
        connection.identities.push(Identity { scheme, id });
    }
    Ok(Reply::immediate(Writer::default()))
}

/// The scheme and the proof of an authentication.
fn read_proof(reader: &mut Reader<'_>) -> Result<(String, String), ErrorCode> {
    let _type = reader.int()?;
    let scheme = reader.text()?;
    let proof = reader.text()?;
    Ok((scheme, proof))
}
