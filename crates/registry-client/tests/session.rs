//! A session against members that answer, keep silent, lie and go, in virtual time.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_registry_client::session::{
    Command, Event, LossReason, Session, SessionConfig, MAX_PENDING_REQUESTS,
};
use reelfall_registry_client::wire::{
    Frames, Op, OperationError, Response, WatchEventKind, WireError, Writer, MAX_FRAME_LEN,
};
use std::net::SocketAddr;

fn member(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], 2000 + n).into()
}

fn config(members: u16) -> SessionConfig {
    SessionConfig {
        members: (0..members).map(member).collect(),
        timeout: 6.0,
        connect_timeout: 1.0,
        credentials: None,
        forget_after: 60.0,
    }
}

fn handshake_response(timeout: i32, id: i64) -> Bytes {
    Writer::new()
        .int(0)
        .int(timeout)
        .long(id)
        .buffer(&[7; 16])
        .boolean(false)
        .done()
}

fn response_header(xid: i32, zxid: i64, error: i32) -> Writer {
    Writer::new().int(xid).long(zxid).int(error)
}

fn commands(session: &mut Session) -> Vec<Command> {
    std::iter::from_fn(|| session.next_command()).collect()
}

fn events(session: &mut Session) -> Vec<Event> {
    std::iter::from_fn(|| session.next_event()).collect()
}

/// A session that is up at `now`.
fn connected_session(now: f64) -> Session {
    let mut session = Session::new(config(3), now, 1);
    session.tick(now);
    session.handle_connected(now);
    session.handle_bytes(now, &handshake_response(6000, 42));
    assert_eq!(events(&mut session), [Event::Up { is_new: true }]);
    commands(&mut session);
    session
}

/// The fields of the greeting that a session sends: the state that it has seen, and its id.
fn sent_handshake(session: &mut Session) -> (i64, i64) {
    let sent = commands(session).into_iter().find_map(|d| match d {
        Command::Send(bytes) => Some(bytes),
        _ => None,
    });
    let sent = sent.expect("a greeting");
    let long = |at: usize| i64::from_be_bytes(sent[at..at + 8].try_into().unwrap());
    (long(8), long(20))
}

#[test]
fn requests_are_answered_in_their_order_and_watches_tell() {
    let mut s = connected_session(0.0);
    assert!(s.request(
        0.0,
        1,
        Op::Sync {
            path: "/a".to_owned()
        }
    ));
    assert!(s.request(
        0.0,
        2,
        Op::Delete {
            path: "/b".to_owned(),
            version: -1
        }
    ));
    assert_eq!(commands(&mut s).len(), 2);
    let mut bytes = response_header(1, 10, 0).text("/a").done().to_vec();
    bytes.extend_from_slice(&response_header(-1, 11, 0).int(2).int(3).text("/b").done());
    bytes.extend_from_slice(&response_header(2, 11, -101).done());
    // In whatever pieces they come.
    for byte in bytes {
        s.handle_bytes(0.1, &[byte]);
    }
    let got = events(&mut s);
    assert_eq!(got[0], Event::Response(1, Ok(Response::Done)));
    assert!(
        matches!(&got[1], Event::Watch(f) if f.kind == WatchEventKind::Deleted && f.path == "/b")
    );
    assert_eq!(got[2], Event::Response(2, Err(OperationError::NoNode)));
    assert_eq!((s.last_zxid(), s.pending_count()), (11, 0));
    // No more than so many at once.
    for n in 0..MAX_PENDING_REQUESTS as u64 {
        assert!(s.request(
            0.2,
            n,
            Op::Sync {
                path: "/".to_owned()
            }
        ));
    }
    assert!(!s.request(
        0.2,
        0,
        Op::Sync {
            path: "/".to_owned()
        }
    ));
}

#[test]
fn a_lost_connection_is_not_an_expired_session() {
    let mut s = connected_session(0.0);
    s.request(
        0.0,
        9,
        Op::Sync {
            path: "/".to_owned(),
        },
    );
    s.handle_bytes(
        0.0,
        &response_header(-1, 77, 0).int(3).int(3).text("/x").done(),
    );
    s.handle_disconnected(1.0);
    let got = events(&mut s);
    assert_eq!(
        got[1..],
        [Event::Lost(LossReason::Closed), Event::RequestLost(9)]
    );
    assert!(
        !s.request(
            1.0,
            1,
            Op::Sync {
                path: "/".to_owned()
            }
        ),
        "asked of nobody"
    );
    // The next member, at once, with the same session and the state that was seen.
    let first = commands(&mut s);
    assert_eq!(first.last(), Some(&Command::Close));
    s.tick(1.0);
    assert!(matches!(commands(&mut s)[..], [Command::Connect(_)]));
    s.handle_connected(1.0);
    assert_eq!(sent_handshake(&mut s), (77, 42));
    s.handle_bytes(1.0, &handshake_response(6000, 42));
    assert_eq!(events(&mut s), [Event::Up { is_new: false }]);
    // Only the registry's word ends it, and a new one is asked for.
    s.handle_disconnected(2.0);
    s.tick(2.0);
    s.handle_connected(2.0);
    commands(&mut s);
    s.handle_bytes(2.0, &handshake_response(0, 0));
    assert_eq!(
        events(&mut s),
        [Event::Lost(LossReason::Closed), Event::Expired]
    );
    s.tick(2.0);
    s.handle_connected(2.0);
    assert_eq!(sent_handshake(&mut s), (77, 0));
    s.handle_bytes(2.0, &handshake_response(6000, 43));
    assert_eq!(events(&mut s), [Event::Up { is_new: true }]);
    assert_eq!(s.id(), 43);
}

#[test]
fn a_silent_member_is_left_in_time_and_pings_keep_a_quiet_one() {
    let mut s = connected_session(0.0);
    let mut now = 0.0;
    let mut pings = 0;
    // Quiet, but alive.
    for _ in 0..20 {
        now = s.deadline().unwrap();
        s.tick(now);
        for d in commands(&mut s) {
            assert!(matches!(d, Command::Send(_)), "{d:?}");
            pings += 1;
            s.handle_bytes(now + 0.01, &response_header(-2, 5, 0).done());
        }
    }
    assert!(pings >= 19 && events(&mut s).is_empty() && s.is_up());
    // Half open: what is sent goes nowhere, nothing comes.
    let heard = now;
    while s.is_up() {
        now = s.deadline().unwrap();
        s.tick(now);
    }
    assert_eq!(events(&mut s), [Event::Lost(LossReason::Timeout)]);
    assert!(
        now - heard <= 4.1,
        "left after {} s of a session of 6",
        now - heard
    );
    // One that accepts and says nothing is passed over.
    commands(&mut s);
    s.tick(now);
    s.handle_connected(now);
    now = s.deadline().unwrap();
    s.tick(now);
    assert_eq!(events(&mut s), [Event::Lost(LossReason::Timeout)]);
}

#[test]
fn members_that_fail_are_tried_in_turn_and_then_more_rarely() {
    let mut s = Session::new(config(3), 0.0, 5);
    let (mut now, mut tried, mut rests) = (0.0, vec![], vec![]);
    for _ in 0..30 {
        s.tick(now);
        for d in commands(&mut s) {
            if let Command::Connect(address) = d {
                tried.push(address);
            }
        }
        s.handle_disconnected(now);
        let next = s.deadline().unwrap();
        rests.push(next - now);
        now = next;
    }
    let first: std::collections::BTreeSet<_> = tried[..3].iter().collect();
    assert_eq!(first.len(), 3, "each once");
    assert_eq!(rests[..2], [0.0, 0.0]);
    assert!(
        rests[3] > 0.0 && rests[29] > 2.0 && rests.iter().all(|r| *r <= 7.5),
        "{rests:?}"
    );
}

#[test]
fn an_older_state_is_never_taken_unless_nobody_has_the_newer() {
    let mut s = connected_session(0.0);
    s.request(
        0.0,
        1,
        Op::Sync {
            path: "/".to_owned(),
        },
    );
    s.handle_bytes(0.0, &response_header(1, 100, 0).text("/").done());
    s.request(
        0.0,
        2,
        Op::Sync {
            path: "/".to_owned(),
        },
    );
    s.handle_bytes(0.0, &response_header(2, 99, 0).text("/").done());
    let got = events(&mut s);
    assert_eq!(
        got[1..],
        [
            Event::RequestLost(2),
            Event::Lost(LossReason::Protocol(WireError::StaleState(99, 100)))
        ]
    );
    // Members that lag close the connection; that goes on until the state is given up, and then it begins anew.
    let (mut now, mut reset) = (0.0, None);
    while reset.is_none() && now < 200.0 {
        s.tick(now);
        s.handle_connected(now);
        let greeted = commands(&mut s)
            .iter()
            .any(|d| matches!(d, Command::Send(_)));
        if greeted {
            s.handle_disconnected(now);
        }
        reset = events(&mut s).contains(&Event::Reset).then_some(now);
        now = s.deadline().unwrap().max(now);
    }
    assert!(
        reset.is_some_and(|at| (60.0..80.0).contains(&at)),
        "{reset:?}"
    );
    s.tick(now);
    s.handle_connected(now);
    assert_eq!(sent_handshake(&mut s), (0, 0));
}

#[test]
fn a_registry_that_lies_costs_its_connection_and_nothing_else() {
    let lies: [&[u8]; 5] = [
        &(-1i32).to_be_bytes(),
        &i32::MAX.to_be_bytes(),
        &(MAX_FRAME_LEN as i32 + 1).to_be_bytes(),
        // A record cut short, and an answer that nobody asked for.
        &[0, 0, 0, 2, 1, 2],
        &[0, 0, 0, 16, 0, 0, 0, 99, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0],
    ];
    for lie in lies {
        let mut s = connected_session(0.0);
        s.handle_bytes(0.0, lie);
        assert!(
            matches!(events(&mut s)[..], [Event::Lost(LossReason::Protocol(_))]),
            "{lie:?}"
        );
        assert!(!s.is_up());
    }
    // A list of two thousand million names in a frame of sixteen bytes.
    let mut s = connected_session(0.0);
    s.request(
        0.0,
        1,
        Op::GetChildren {
            path: "/".to_owned(),
            watch: false,
        },
    );
    s.handle_bytes(
        0.0,
        &response_header(1, 1, 0).int(2_000_000_000).int(0).done(),
    );
    assert!(matches!(
        events(&mut s)[..],
        [
            Event::RequestLost(1),
            Event::Lost(LossReason::Protocol(WireError::Truncated))
        ]
    ));
    // Credentials that are not taken.
    let mut s = connected_session(0.0);
    s.handle_bytes(0.0, &response_header(-4, 0, -115).done());
    assert_eq!(events(&mut s), [Event::Lost(LossReason::BadCredentials)]);
    assert!(s.deadline().unwrap() > 0.0, "tried again without a rest");
}

#[test]
fn frames_hold_no_more_than_one() {
    let mut frames = Frames::default();
    frames.push(&[0, 0, 0, 3, 1, 2, 3, 0, 0, 0, 0, 0, 0]);
    assert_eq!(
        frames.next_frame(),
        Ok(Some(Bytes::from_static(&[1, 2, 3])))
    );
    assert_eq!(frames.next_frame(), Ok(Some(Bytes::new())));
    assert_eq!(frames.next_frame(), Ok(None));
}

/// Whatever bytes come in whatever state: no panic, each request has one end, and what is to be done stays bounded.
#[test]
fn no_bytes_break_a_session() {
    let step = prop_oneof![
        3 => prop::collection::vec(any::<u8>(), 0..60).prop_map(|b| (0u8, b, 0.0)),
        3 => (1..6u8, prop::collection::vec(any::<u8>(), 0..40)).prop_map(|(n, b)| (n, b, 0.0)),
        2 => (0.0..3.0f64).prop_map(|t| (9u8, vec![], t)),
    ];
    let steps = prop::collection::vec(step, 1..80);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let config = Config {
        cases: 600,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let (mut s, mut now) = (connected_session(0.0), 0.0);
            let (mut asked, mut ended, mut token, mut xid) = (0u64, 0u64, 0, 0);
            for (what, bytes, after) in steps {
                now += after;
                match what {
                    0 => s.handle_bytes(now, &bytes),
                    1 => s.handle_bytes(
                        now,
                        &handshake_response(6000, 42 + i64::from(bytes.len() as u8 % 3)),
                    ),
                    2 => {
                        // An answer that is next, with a body that may be anything.
                        let frame = bytes
                            .iter()
                            .fold(response_header(xid + 1, token as i64, 0), |w, b| {
                                w.boolean(*b > 99)
                            });
                        s.handle_bytes(now, &frame.done());
                    }
                    3 => s.handle_disconnected(now),
                    4 => s.handle_connected(now),
                    5 => {
                        token += 1;
                        let op = match token % 3 {
                            0 => Op::GetData {
                                path: "/x".to_owned(),
                                watch: true,
                            },
                            1 => Op::GetChildren {
                                path: "/".to_owned(),
                                watch: true,
                            },
                            _ => Op::GetAcl {
                                path: "/x".to_owned(),
                            },
                        };
                        if s.request(now, token, op) {
                            asked += 1;
                            xid = token as i32;
                        }
                    }
                    _ => s.tick(now),
                }
                commands(&mut s);
                for event in events(&mut s) {
                    ended +=
                        u64::from(matches!(event, Event::Response(..) | Event::RequestLost(_)));
                }
                prop_assert_eq!(
                    asked,
                    ended + s.pending_count() as u64,
                    "a request without an end"
                );
            }
            s.close(now);
            ended += events(&mut s)
                .iter()
                .filter(|e| matches!(e, Event::RequestLost(_)))
                .count() as u64;
            prop_assert_eq!(asked, ended);
            prop_assert_eq!(s.deadline(), None);
            Ok(())
        })
        .unwrap();
}
