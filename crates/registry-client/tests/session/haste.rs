//! Sessions that make haste, since their owner is about to exit.

use crate::{
    config, connected_session, handshake_response, sync, take_commands, take_events, MEMBERS,
    SESSION_ID,
};
use reelfall_registry_client::session::{Command, Event, LossReason, Session};

/// Time between two ticks of a session, in seconds.
const STEP: f64 = 0.005;
/// Within this time a session in haste tries a further member, in seconds.
const SOON: f64 = 0.3;

/// The number of attempts to connect in `duration` seconds to members that refuse connections.
fn attempts_at_refusing_members(session: &mut Session, from: f64, duration: f64) -> usize {
    let mut attempts = 0;
    let mut now = from;
    while now < from + duration {
        session.tick(now);
        for command in take_commands(session) {
            if matches!(command, Command::Connect(_)) {
                attempts += 1;
                session.handle_disconnected(now);
            }
        }
        now += STEP;
    }
    attempts
}

/// Advances the time in steps until the session connects to another member; returns when it does.
fn next_connection(session: &mut Session, from: f64) -> f64 {
    let mut now = from;
    loop {
        session.tick(now);
        let connects = |command: &Command| matches!(command, Command::Connect(_));
        if take_commands(session).iter().any(connects) {
            return now;
        }
        now += STEP;
        assert!(now < from + 60.0, "the session stays at its member");
    }
}

/// Guards against a session that waits out a long backoff although its owner exits before it ends.
#[test]
fn attempts_follow_each_other_soon_after_long_outage() {
    const OUTAGE: f64 = 20.0;
    let mut session = Session::new(config(), 0.0, 1);
    attempts_at_refusing_members(&mut session, 0.0, OUTAGE);
    let before = attempts_at_refusing_members(&mut session, OUTAGE, 1.0);
    assert!(
        before <= 1,
        "{before} attempts in a second after an outage of 20 s"
    );
    session.make_haste(OUTAGE + 1.0);
    let after = attempts_at_refusing_members(&mut session, OUTAGE + 1.0, 1.0);
    assert!(after >= 10, "{after} attempts in a second with haste");
}

/// Guards against a session that stays at a silent member for two thirds of its timeout although its owner exits before.
#[test]
fn silent_member_is_left_soon() {
    let mut session = connected_session(0.0);
    session.make_haste(1.0);
    session.request(1.0, 1, sync("/"));
    assert!(next_connection(&mut session, 1.0) < 1.0 + SOON);
    assert_eq!(
        take_events(&mut session),
        [
            Event::Disconnected(LossReason::Timeout),
            Event::RequestLost(1)
        ]
    );
}

/// The time before the haste does not count: a request may have been pending for long.
#[test]
fn pending_request_and_handshake_have_some_time_from_the_haste_on() {
    let mut session = connected_session(0.0);
    session.request(0.0, 1, sync("/"));
    session.make_haste(1.0);
    session.tick(1.0 + STEP);
    assert!(session.is_connected());
    let left_at = next_connection(&mut session, 1.0);
    assert!(left_at < 1.0 + SOON, "{left_at}");
    // The next member does not respond to the handshake.
    session.handle_connected(left_at);
    assert!(next_connection(&mut session, left_at) < left_at + 2.0 * SOON);
}

/// Guards against haste that never lets a slow registry finish.
#[test]
fn slow_members_get_more_time_each_time() {
    /// Each member responds after this time, which exceeds the first timeouts.
    const RESPONSE_TIME: f64 = 0.7;
    let mut session = connected_session(0.0);
    session.make_haste(0.0);
    session.request(0.0, 1, sync("/"));
    let mut now = 0.0;
    for _ in 1..MEMBERS {
        now = next_connection(&mut session, now);
        session.handle_connected(now);
    }
    session.tick(now + RESPONSE_TIME);
    session.handle_bytes(now + RESPONSE_TIME, &handshake_response(SESSION_ID));
    assert!(session.is_connected());
    now += RESPONSE_TIME;
    // A grant of the session does not shorten the time for the next response.
    session.request(now, 2, sync("/"));
    session.tick(now + RESPONSE_TIME);
    assert!(session.is_connected());
}

/// An idle connection is not left: without a request, no response is due.
#[test]
fn idle_connection_is_kept() {
    let mut session = connected_session(0.0);
    session.make_haste(0.0);
    session.tick(SOON);
    assert!(session.is_connected());
}
