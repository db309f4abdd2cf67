//! Tests of a session with members that respond, are silent, violate the protocol or close the connection, in virtual
//! time.

mod haste;
mod protocol;
mod random;
mod reconnection;
mod requests;

use bytes::Bytes;
use reelfall_registry_client::session::{Command, Event, Session, SessionConfig};
use reelfall_registry_client::wire::{Op, Writer};
use std::net::SocketAddr;

/// The number of members of a registry.
const MEMBERS: u16 = 3;

/// The session time-out that the registry grants, in milliseconds.
const SESSION_TIMEOUT_MS: i32 = 6000;

/// The id of the first session.
const SESSION_ID: i64 = 42;

/// The error code of a successful request.
const NO_ERROR: i32 = 0;

/// The request id of watch events.
const WATCH_EVENT_XID: i32 = -1;

/// The version in a request that matches any version of the entry.
const ANY_VERSION: i32 = -1;

fn member(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 2000 + index).into()
}

fn config() -> SessionConfig {
    SessionConfig {
        members: (0..MEMBERS).map(member).collect(),
        timeout: 6.0,
        connect_timeout: 1.0,
        credentials: None,
        forget_after: 60.0,
    }
}

/// The handshake response of a member that grants a session.
fn handshake_response(session_id: i64) -> Bytes {
    handshake_response_with_timeout(SESSION_TIMEOUT_MS, session_id)
}

/// The handshake response of a member that reports the session as expired.
fn expired_response() -> Bytes {
    handshake_response_with_timeout(0, 0)
}

fn handshake_response_with_timeout(timeout_ms: i32, session_id: i64) -> Bytes {
    let protocol_version = 0;
    let password = [7; 16];
    let is_read_only = false;
    Writer::new()
        .int(protocol_version)
        .int(timeout_ms)
        .long(session_id)
        .buffer(&password)
        .boolean(is_read_only)
        .finish()
}

fn response_header(xid: i32, zxid: i64, error: i32) -> Writer {
    Writer::new().int(xid).long(zxid).int(error)
}

/// The response to a request to sync `/`.
fn sync_response(xid: i32, zxid: i64) -> Bytes {
    response_header(xid, zxid, NO_ERROR).string("/").finish()
}

fn sync(path: &str) -> Op {
    Op::Sync {
        path: path.to_owned(),
    }
}

fn take_commands(session: &mut Session) -> Vec<Command> {
    std::iter::from_fn(|| session.next_command()).collect()
}

fn take_events(session: &mut Session) -> Vec<Event> {
    std::iter::from_fn(|| session.next_event()).collect()
}

/// A session that is connected at `now`.
fn connected_session(now: f64) -> Session {
    let mut session = Session::new(config(), now, 1);
    session.tick(now);
    session.handle_connected(now);
    session.handle_bytes(now, &handshake_response(SESSION_ID));
    assert_eq!(
        take_events(&mut session),
        [Event::Connected {
            is_new_session: true
        }]
    );
    take_commands(&mut session);
    session
}

/// Fields of a handshake request that a session sent.
#[derive(Debug, PartialEq)]
struct SentHandshake {
    /// The last transaction that the session has seen.
    last_zxid: i64,
    session_id: i64,
}

/// Takes all commands of a session, and decodes the handshake request among them.
fn take_handshake(session: &mut Session) -> SentHandshake {
    const LAST_ZXID_OFFSET: usize = 8;
    const SESSION_ID_OFFSET: usize = 20;
    let sent = take_commands(session)
        .into_iter()
        .find_map(|command| match command {
            Command::Send(bytes) => Some(bytes),
            _ => None,
        });
    let frame = sent.expect("a handshake");
    let long = |offset: usize| i64::from_be_bytes(frame[offset..offset + 8].try_into().unwrap());
    SentHandshake {
        last_zxid: long(LAST_ZXID_OFFSET),
        session_id: long(SESSION_ID_OFFSET),
    }
}
