//! Two processes of one node and a client, through every order in which an upgrade can go, with deaths of the successor at
//! any moment and SIGTERM early or late.

use reelfall_admin::succession::{Predecessor, Successor};
use reelfall_admin::takeover::{DecodedFrame, Frame, PROTOCOL_VERSION};
use stateright::{Checker, Model, Property};

/// Where the client's connection is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Client {
    /// In the queue of the listening socket.
    Queued,
    AtPredecessor,
    /// On its way from the old process to the successor.
    InTransit,
    AtSuccessor,
    /// Ended by a process that was not killed.
    Lost,
    /// Ended with a process that was killed.
    Killed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum MessageKind {
    Hello(u32),
    Snapshot,
    Busy,
    Serving,
    Client,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    predecessor: Option<Predecessor>,
    terminated: bool,
    successor: Option<Successor>,
    /// The successor holds the listening socket.
    holds_listener: bool,
    /// It has bound one of its own.
    bound_listener: bool,
    to_predecessor: Vec<MessageKind>,
    to_successor: Vec<MessageKind>,
    /// The old process has yet to hear of its successor's death.
    loss_unnoticed: bool,
    successors: u8,
    client: Client,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    SuccessorStarts(u32),
    PredecessorReads,
    SuccessorReads,
    SuccessorIsReady,
    SuccessorDies,
    PredecessorNoticesLoss,
    Terminate,
    EndAcceptGrace,
    PredecessorEnds,
    PredecessorAccepts,
    SuccessorAccepts,
    HandOver,
}

struct Upgrade;

impl Upgrade {
    fn successor_accepts(s: &State) -> bool {
        s.successor.is_some_and(|h| h.accepts()) && (s.holds_listener || s.bound_listener)
    }
}

impl Model for Upgrade {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            predecessor: Some(Predecessor::default()),
            terminated: false,
            successor: None,
            holds_listener: false,
            bound_listener: false,
            to_predecessor: vec![],
            to_successor: vec![],
            loss_unnoticed: false,
            successors: 0,
            client: Client::Queued,
        }]
    }

    fn actions(&self, s: &State, steps: &mut Vec<Step>) {
        if s.successor.is_none() && s.successors < 2 && !s.loss_unnoticed {
            steps.extend([
                Step::SuccessorStarts(PROTOCOL_VERSION),
                Step::SuccessorStarts(PROTOCOL_VERSION + 1),
            ]);
        }
        if let Some(predecessor) = &s.predecessor {
            if !s.to_predecessor.is_empty() && !s.loss_unnoticed {
                steps.push(Step::PredecessorReads);
            }
            if s.loss_unnoticed {
                steps.push(Step::PredecessorNoticesLoss);
            }
            // Operators send SIGTERM after the yes, or too early.
            if !s.terminated {
                steps.push(Step::Terminate);
            } else {
                steps.extend([Step::EndAcceptGrace, Step::PredecessorEnds]);
            }
            if predecessor.accepts() && s.client == Client::Queued {
                steps.push(Step::PredecessorAccepts);
            }
            if predecessor.hands_over() && s.client == Client::AtPredecessor {
                steps.push(Step::HandOver);
            }
        }
        if let Some(successor) = &s.successor {
            if !s.to_successor.is_empty() {
                steps.push(Step::SuccessorReads);
            }
            let has_listener = s.holds_listener || s.bound_listener;
            if has_listener && !successor.accepts() {
                steps.push(Step::SuccessorIsReady);
            }
            if successor.accepts() && has_listener && s.client == Client::Queued {
                steps.push(Step::SuccessorAccepts);
            }
            steps.push(Step::SuccessorDies);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut s = last.clone();
        match step {
            Step::SuccessorStarts(version) => {
                s.successor = Some(Successor::default());
                s.successors += 1;
                s.to_predecessor = vec![MessageKind::Hello(version)];
                s.to_successor.clear();
                if s.predecessor.is_none() {
                    (s.bound_listener, s.to_predecessor) = (true, vec![]);
                }
            }
            Step::PredecessorReads => {
                let predecessor = s.predecessor.as_mut()?;
                match s.to_predecessor.remove(0) {
                    MessageKind::Hello(version) => {
                        s.to_successor.push(if predecessor.handle_hello(version) {
                            MessageKind::Snapshot
                        } else {
                            MessageKind::Busy
                        });
                    }
                    MessageKind::Serving => predecessor.handle_serving(),
                    _ => {}
                }
            }
            Step::SuccessorReads => {
                let successor = s.successor.as_mut()?;
                match s.to_successor.remove(0) {
                    MessageKind::Snapshot => {
                        successor.handle_snapshot();
                        s.holds_listener = true;
                    }
                    MessageKind::Busy => s.bound_listener = true,
                    MessageKind::Client => s.client = Client::AtSuccessor,
                    _ => {}
                }
            }
            Step::SuccessorIsReady => {
                s.successor.as_mut()?.set_ready();
                s.to_predecessor.push(MessageKind::Serving);
            }
            Step::SuccessorDies => {
                s.successor = None;
                if matches!(s.client, Client::AtSuccessor | Client::InTransit) {
                    s.client = Client::Killed;
                }
                (s.holds_listener, s.bound_listener, s.loss_unnoticed) =
                    (false, false, s.predecessor.is_some());
                (s.to_successor, s.to_predecessor) = (vec![], vec![]);
                // The queue ends with the last process that holds its socket.
                if s.predecessor.is_none() && s.client == Client::Queued {
                    s.client = Client::Killed;
                }
            }
            Step::PredecessorNoticesLoss => {
                let predecessor = s.predecessor.as_mut()?;
                predecessor.handle_successor_lost();
                s.loss_unnoticed = false;
                // A process that ends empties the backlog as soon as nobody else has the socket.
                if !predecessor.accepts() && s.client == Client::Queued {
                    s.client = Client::AtPredecessor;
                }
            }
            Step::Terminate => {
                s.predecessor.as_mut()?.terminate();
                s.terminated = true;
            }
            Step::EndAcceptGrace => {
                let predecessor = s.predecessor.as_mut()?;
                predecessor.end_accept_grace();
                // The backlog is emptied when nobody else has the socket.
                if !predecessor.shares_listeners() && s.client == Client::Queued {
                    s.client = Client::AtPredecessor;
                }
            }
            Step::PredecessorEnds => {
                let predecessor = s.predecessor?;
                // A process ends when it accepts nobody and has nobody left.
                if predecessor.accepts() || s.client == Client::AtPredecessor || s.loss_unnoticed {
                    return None;
                }
                s.predecessor = None;
                if s.client == Client::Queued && !s.holds_listener {
                    s.client = Client::Lost;
                }
            }
            Step::PredecessorAccepts => s.client = Client::AtPredecessor,
            Step::SuccessorAccepts => s.client = Client::AtSuccessor,
            Step::HandOver => {
                s.client = Client::InTransit;
                s.to_successor.push(MessageKind::Client);
            }
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no client is lost by a process that lives",
                |_, s: &State| s.client != Client::Lost,
            ),
            Property::always(
                "whoever waits in the queue is accepted by somebody who lives",
                |_, s: &State| {
                    let settled = s.to_predecessor.is_empty()
                        && s.to_successor.is_empty()
                        && !s.loss_unnoticed;
                    let predecessor = s.predecessor.is_some_and(|e| e.accepts());
                    // A successor that was given the socket gets ready, or dies and is heard of.
                    let successor = s.successor.is_some() && (s.holds_listener || s.bound_listener);
                    !settled
                        || s.client != Client::Queued
                        || predecessor
                        || successor
                        || s.terminated
                        || s.predecessor.is_none()
                },
            ),
            Property::always(
                "the old process accepts until its successor does",
                |_, s: &State| {
                    let predecessor = s.predecessor.is_some_and(|e| e.accepts());
                    let ended = s.terminated && s.predecessor.is_none_or(|e| !e.shares_listeners());
                    predecessor || Upgrade::successor_accepts(s) || ended || s.loss_unnoticed
                },
            ),
            Property::sometimes(
                "a client goes from one process to the other",
                |_, s: &State| s.client == Client::AtSuccessor && s.predecessor.is_none(),
            ),
            Property::sometimes(
                "a successor of another version binds its own socket",
                |_, s: &State| s.bound_listener,
            ),
            Property::sometimes(
                "the old process serves again after its successor's death",
                |_, s: &State| {
                    s.successors == 1
                        && s.successor.is_none()
                        && !s.loss_unnoticed
                        && s.predecessor.is_some_and(|e| e.accepts())
                },
            ),
        ]
    }
}

#[test]
fn in_every_order_of_an_upgrade_somebody_accepts_and_no_client_is_dropped() {
    let checked = Upgrade.checker().spawn_bfs().join();
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 100,
        "{} states",
        checked.unique_state_count()
    );
}

#[test]
fn frames_come_back_as_they_were_written_and_nothing_else_is_one() {
    let frames = [
        Frame::Hello {
            version: PROTOCOL_VERSION,
        },
        Frame::Snapshot {
            listeners: vec!["client".to_owned()],
            learned: vec![("a".to_owned(), 1.5.into())],
        },
        Frame::Busy,
        Frame::Serving,
        Frame::Client {
            listener: "client".to_owned(),
        },
    ];
    for frame in frames {
        let bytes = frame.encode().unwrap();
        for part in 0..bytes.len() {
            assert!(Frame::decode(&bytes[..part]).unwrap().is_none());
        }
        let DecodedFrame {
            frame: again,
            encoded_len: length,
        } = Frame::decode(&bytes).unwrap().unwrap();
        assert_eq!(
            (format!("{again:?}"), length),
            (format!("{frame:?}"), bytes.len())
        );
    }
    assert!(Frame::decode(b"\xff\xff\xff\xff").is_err());
    assert!(Frame::decode(b"\0\0\0\x04nope").is_err());
    let many = Frame::Snapshot {
        listeners: vec![String::new(); 100],
        learned: vec![],
    };
    assert!(many.encode().is_err());
}

#[test]
fn the_encoding_of_frames_is_that_of_the_protocol_version() {
    let listeners = vec!["client".to_owned()];
    let learned = vec![("a".to_owned(), 1.5.into())];
    for (frame, text) in [
        (Frame::Hello { version: 1 }, r#"{"Hello":{"version":1}}"#),
        (
            Frame::Snapshot { listeners, learned },
            r#"{"Give":{"listeners":["client"],"learned":[["a",1.5]]}}"#,
        ),
        (Frame::Busy, r#""Busy""#),
        (Frame::Serving, r#""Serving""#),
        (
            Frame::Client {
                listener: "client".to_owned(),
            },
            r#"{"Client":{"listener":"client"}}"#,
        ),
    ] {
        let bytes = frame.encode().unwrap();
        let (length, body) = bytes.split_first_chunk::<4>().unwrap();
        assert_eq!(u32::from_be_bytes(*length) as usize, body.len());
        assert_eq!(std::str::from_utf8(body).unwrap(), text);
    }
}
