//! Lost connections, expired sessions, and the choice of the next member.

use crate::{
    config, connected_session, expired_response, handshake_response, response_header, sync,
    sync_response, take_commands, take_events, take_handshake, SentHandshake, NO_ERROR, SESSION_ID,
    WATCH_EVENT_XID,
};
use bytes::Bytes;
use reelfall_registry_client::session::{Command, Event, LossReason, Session};
use reelfall_registry_client::wire::WireError;
use std::collections::BTreeSet;

/// The request id of pings.
const PING_XID: i32 = -2;

/// The type of the watch event of changed data.
const DATA_CHANGED: i32 = 3;

/// The connection state in a watch event.
const CONNECTED: i32 = 3;

/// A watch event of changed data.
fn data_changed_event(zxid: i64) -> Bytes {
    response_header(WATCH_EVENT_XID, zxid, NO_ERROR)
        .int(DATA_CHANGED)
        .int(CONNECTED)
        .string("/x")
        .finish()
}

#[test]
fn lost_connection_keeps_the_session_until_it_expires() {
    const LAST_ZXID: i64 = 77;
    const NEXT_SESSION_ID: i64 = 43;
    let mut session = connected_session(0.0);
    session.request(0.0, 9, sync("/"));
    session.handle_bytes(0.0, &data_changed_event(LAST_ZXID));
    session.handle_disconnected(1.0);
    let events = take_events(&mut session);
    assert_eq!(
        events[1..],
        [
            Event::Disconnected(LossReason::Closed),
            Event::RequestLost(9)
        ]
    );
    assert!(
        !session.request(1.0, 1, sync("/")),
        "a request was accepted without a connection"
    );
    // The session connects to the next member at once, and sends its id and the last transaction id that it has seen.
    let commands = take_commands(&mut session);
    assert_eq!(commands.last(), Some(&Command::Close));
    session.tick(1.0);
    assert!(matches!(
        take_commands(&mut session)[..],
        [Command::Connect(_)]
    ));
    session.handle_connected(1.0);
    assert_eq!(
        take_handshake(&mut session),
        SentHandshake {
            last_zxid: LAST_ZXID,
            session_id: SESSION_ID
        }
    );
    session.handle_bytes(1.0, &handshake_response(SESSION_ID));
    assert_eq!(
        take_events(&mut session),
        [Event::Connected {
            is_new_session: false
        }]
    );
    // The session ends only when the registry reports it as expired; then a new one is requested.
    session.handle_disconnected(2.0);
    session.tick(2.0);
    session.handle_connected(2.0);
    take_commands(&mut session);
    session.handle_bytes(2.0, &expired_response());
    assert_eq!(
        take_events(&mut session),
        [Event::Disconnected(LossReason::Closed), Event::Expired]
    );
    session.tick(2.0);
    session.handle_connected(2.0);
    assert_eq!(
        take_handshake(&mut session),
        SentHandshake {
            last_zxid: LAST_ZXID,
            session_id: 0
        }
    );
    session.handle_bytes(2.0, &handshake_response(NEXT_SESSION_ID));
    assert_eq!(
        take_events(&mut session),
        [Event::Connected {
            is_new_session: true
        }]
    );
    assert_eq!(session.id(), NEXT_SESSION_ID);
}

#[test]
fn silent_member_is_disconnected_and_pings_keep_an_idle_connection() {
    const IDLE_INTERVALS: usize = 20;
    // Two thirds of the session time-out of 6 s, plus a margin for rounding.
    const MAX_SILENCE: f64 = 4.1;
    let mut session = connected_session(0.0);
    let mut now = 0.0;
    let mut pings = 0;
    for _ in 0..IDLE_INTERVALS {
        now = session.deadline().unwrap();
        session.tick(now);
        for command in take_commands(&mut session) {
            assert!(matches!(command, Command::Send(_)), "{command:?}");
            pings += 1;
            session.handle_bytes(now + 0.01, &response_header(PING_XID, 5, NO_ERROR).finish());
        }
    }
    assert!(pings >= 19 && take_events(&mut session).is_empty() && session.is_connected());
    // A half-open connection: pings are sent, and no responses arrive.
    let last_response = now;
    while session.is_connected() {
        now = session.deadline().unwrap();
        session.tick(now);
    }
    assert_eq!(
        take_events(&mut session),
        [Event::Disconnected(LossReason::Timeout)]
    );
    assert!(
        now - last_response <= MAX_SILENCE,
        "disconnected after {} s with a session time-out of 6 s",
        now - last_response
    );
    // A member that accepts the connection but does not respond to the handshake is disconnected too.
    take_commands(&mut session);
    session.tick(now);
    session.handle_connected(now);
    now = session.deadline().unwrap();
    session.tick(now);
    assert_eq!(
        take_events(&mut session),
        [Event::Disconnected(LossReason::Timeout)]
    );
}

#[test]
fn failing_members_are_tried_in_turn_with_backoff() {
    let mut session = Session::new(config(), 0.0, 5);
    let mut now = 0.0;
    let mut attempts = vec![];
    let mut delays = vec![];
    for _ in 0..30 {
        session.tick(now);
        for command in take_commands(&mut session) {
            if let Command::Connect(address) = command {
                attempts.push(address);
            }
        }
        session.handle_disconnected(now);
        let next_attempt = session.deadline().unwrap();
        delays.push(next_attempt - now);
        now = next_attempt;
    }
    let first_round: BTreeSet<_> = attempts[..3].iter().collect();
    assert_eq!(
        first_round.len(),
        3,
        "a member was tried twice in the first round"
    );
    assert_eq!(delays[..2], [0.0, 0.0]);
    assert!(
        delays[3] > 0.0 && delays[29] > 2.0 && delays.iter().all(|delay| *delay <= 7.5),
        "{delays:?}"
    );
}

#[test]
fn older_state_is_accepted_only_after_a_reset() {
    const NEWER_ZXID: i64 = 100;
    const OLDER_ZXID: i64 = 99;
    const GIVE_UP: f64 = 200.0;
    let mut session = connected_session(0.0);
    session.request(0.0, 1, sync("/"));
    session.handle_bytes(0.0, &sync_response(1, NEWER_ZXID));
    session.request(0.0, 2, sync("/"));
    session.handle_bytes(0.0, &sync_response(2, OLDER_ZXID));
    let events = take_events(&mut session);
    assert_eq!(
        events[1..],
        [
            Event::RequestLost(2),
            Event::Disconnected(LossReason::Protocol(WireError::StaleState(
                OLDER_ZXID, NEWER_ZXID
            )))
        ]
    );
    // Members that lag behind close the connection, until the session resets and no longer requires the last
    // transaction.
    let mut now = 0.0;
    let mut reset_time = None;
    while reset_time.is_none() && now < GIVE_UP {
        session.tick(now);
        session.handle_connected(now);
        let sent_handshake = take_commands(&mut session)
            .iter()
            .any(|command| matches!(command, Command::Send(_)));
        if sent_handshake {
            session.handle_disconnected(now);
        }
        reset_time = take_events(&mut session)
            .contains(&Event::Reset)
            .then_some(now);
        now = session.deadline().unwrap().max(now);
    }
    assert!(
        reset_time.is_some_and(|time| (60.0..80.0).contains(&time)),
        "{reset_time:?}"
    );
    session.tick(now);
    session.handle_connected(now);
    assert_eq!(
        take_handshake(&mut session),
        SentHandshake {
            last_zxid: 0,
            session_id: 0
        }
    );
}
