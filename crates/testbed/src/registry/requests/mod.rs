//! Handling of client requests to a member.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `sessions` | opening, resuming and closing sessions; authentication |
//! | `writes` | creating, changing and deleting entries |
//! | `reads` | reading entries |
//! | `batches` | requests with several writes or several reads |
//! | `watches` | adding, looking up and removing watches |
//!
//! A connection task calls [`connect`] with the first frame and [`handle`] with all later ones.

mod batches;
mod reads;
mod sessions;
mod watches;
mod writes;

pub(super) use sessions::connect;

use super::acl::Identity;
use super::jute::{Reader, Writer};
use super::protocol::{ErrorCode, Operation, OK};
use super::state::RegistryState;
use super::watches::ConnectionId;
use bytes::Bytes;
use std::time::Instant;

/// A response, and what has to happen before and after it is sent.
pub(super) struct Handled {
    /// The response frame.
    pub(super) response: Bytes,
    /// Id of the transaction that the member has to apply before the response is sent; 0 for none.
    pub(super) required_zxid: i64,
    /// Whether the connection is closed after the response.
    pub(super) closes_connection: bool,
}

/// The body of a successful response.
struct Reply {
    body: Writer,
    /// Id of the transaction that the member has to apply before the response is sent; 0 for none.
    required_zxid: i64,
}

impl Reply {
    /// A reply that does not wait for a transaction.
    fn immediate(body: Writer) -> Reply {
        Reply {
            body,
            required_zxid: 0,
        }
    }
}

/// The sender of a request, and the member that received it.
struct RequestContext {
    connection: ConnectionId,
    member: usize,
    session: i64,
    identities: Vec<Identity>,
}

/// The response to a four-letter command, which operators and clients send in place of a frame; `None` if `command` is
/// none.
pub(super) fn four_letter_response(command: &[u8; 4]) -> Option<Bytes> {
    match command {
        b"ruok" => Some(Bytes::from_static(b"imok")),
        b"srvr" => Some(Bytes::from_static(
            b"Zookeeper version: 3.9.0-reelfall-testbed, built on 2026-01-01 00:00 UTC\nMode: follower\n",
        )),
        _ => None,
    }
}

/// Handles a request within a session; on `None` the caller closes the connection.
pub(super) fn handle(
    state: &mut RegistryState,
    connection: ConnectionId,
    frame: &[u8],
) -> Option<Handled> {
    let mut reader = Reader::new(frame);
    let xid = reader.int().ok()?;
    let operation = Operation::from_number(reader.int().ok()?);
    let context = context(state, connection)?;
    let session = state.sessions.get_mut(&context.session)?;
    session.last_request_at = Instant::now();
    let member_zxid = state.members.get(context.member)?.tree.zxid;
    if operation != Some(Operation::Ping) {
        state.counters.requests += 1;
    }
    let result = match operation {
        Some(operation) => execute(state, &context, operation, &mut reader),
        None => Err(ErrorCode::Unimplemented),
    };
    let closes_connection = match operation {
        Some(Operation::CloseSession) => true,
        Some(Operation::Authenticate) => result.is_err(),
        _ => false,
    };
    let header = |zxid: i64, error: i32| Writer::default().int(xid).long(zxid).int(error);
    let (response, required_zxid) = match result {
        Ok(reply) => {
            let zxid = member_zxid.max(reply.required_zxid);
            (header(zxid, OK).append(&reply.body), reply.required_zxid)
        }
        Err(error) => (header(member_zxid, error.code()), 0),
    };
    Some(Handled {
        response: response.into_frame(),
        required_zxid,
        closes_connection,
    })
}

fn context(state: &RegistryState, id: ConnectionId) -> Option<RequestContext> {
    let connection = state.connections.get(&id)?;
    Some(RequestContext {
        connection: id,
        member: connection.member,
        session: connection.session,
        identities: connection.identities.clone(),
    })
}

fn execute(
    state: &mut RegistryState,
    context: &RequestContext,
    operation: Operation,
    reader: &mut Reader<'_>,
) -> Result<Reply, ErrorCode> {
    match operation {
        Operation::Ping => Ok(Reply::immediate(Writer::default())),
        Operation::CloseSession => Ok(sessions::close(state, context)),
        Operation::Authenticate => sessions::authenticate(state, context, reader),
        Operation::Create
        | Operation::CreateWithStat
        | Operation::CreateContainer
        | Operation::CreateWithTtl
        | Operation::Delete
        | Operation::SetData
        | Operation::SetAcl => writes::write(state, context, operation, reader),
        Operation::CheckVersion => {
            writes::check_version(&state.tree, reader)?;
            Ok(Reply::immediate(Writer::default()))
        }
        Operation::Multi => batches::write_all(state, context, reader),
        Operation::MultiRead => {
            let tree = &state.members[context.member].tree;
            Ok(Reply::immediate(batches::read_all(tree, context, reader)))
        }
        Operation::Sync => {
            let path = reader.text()?;
            Ok(Reply {
                body: Writer::default().text(&path),
                required_zxid: state.tree.zxid,
            })
        }
        Operation::WhoAmI => Ok(Reply::immediate(reads::identities(context))),
        Operation::GetEphemerals => reads::ephemerals(state, context, reader),
        Operation::Exists
        | Operation::GetData
        | Operation::GetAcl
        | Operation::GetChildren
        | Operation::GetChildrenWithStat
        | Operation::CountDescendants => reads::read(state, context, operation, reader),
        Operation::CheckWatches => watches::check(state, context, reader),
        Operation::RemoveWatches => watches::remove(state, context, reader),
        Operation::SetWatches => watches::set(state, context, reader, false),
        Operation::SetAllWatches => watches::set(state, context, reader, true),
        Operation::AddWatch => watches::add(state, context, reader),
    }
}
