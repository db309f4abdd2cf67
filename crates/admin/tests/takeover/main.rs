//! Model checking of an upgrade with two processes of one node and a client, in every order of events. The successor may
//! die at any time, and SIGTERM may arrive before or after the successor is ready.

mod frames;
mod state;

use reelfall_admin::succession::Predecessor;
use reelfall_admin::takeover::PROTOCOL_VERSION;
use state::{Client, MessageKind, State};
use stateright::{Checker, Model, Property};

/// Maximum number of successors that are started in a run of the model.
const MAX_SUCCESSORS: u8 = 2;

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

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.successor.is_none() && state.successors < MAX_SUCCESSORS && !state.loss_unnoticed {
            steps.extend([
                Step::SuccessorStarts(PROTOCOL_VERSION),
                Step::SuccessorStarts(PROTOCOL_VERSION + 1),
            ]);
        }
        if let Some(predecessor) = &state.predecessor {
            if !state.to_predecessor.is_empty() && !state.loss_unnoticed {
                steps.push(Step::PredecessorReads);
            }
            if state.loss_unnoticed {
                steps.push(Step::PredecessorNoticesLoss);
            }
            // SIGTERM is possible at any time: operators may send it before the successor is ready.
            if !state.terminated {
                steps.push(Step::Terminate);
            } else {
                steps.extend([Step::EndAcceptGrace, Step::PredecessorEnds]);
            }
            if predecessor.accepts() && state.client == Client::Queued {
                steps.push(Step::PredecessorAccepts);
            }
            if predecessor.hands_over() && state.client == Client::AtPredecessor {
                steps.push(Step::HandOver);
            }
        }
        if let Some(successor) = &state.successor {
            if !state.to_successor.is_empty() {
                steps.push(Step::SuccessorReads);
            }
            if state.successor_has_listener() && !successor.accepts() {
                steps.push(Step::SuccessorIsReady);
            }
            if state.successor_accepts() && state.client == Client::Queued {
                steps.push(Step::SuccessorAccepts);
            }
            steps.push(Step::SuccessorDies);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::SuccessorStarts(version) => state.start_successor(version),
            Step::PredecessorReads => state.predecessor_reads()?,
            Step::SuccessorReads => state.successor_reads()?,
            Step::SuccessorIsReady => {
                state.successor.as_mut()?.set_ready();
                state.to_predecessor.push(MessageKind::Serving);
            }
            Step::SuccessorDies => state.kill_successor(),
            Step::PredecessorNoticesLoss => state.notice_loss()?,
            Step::Terminate => {
                state.predecessor.as_mut()?.terminate();
                state.terminated = true;
            }
            Step::EndAcceptGrace => state.end_accept_grace()?,
            Step::PredecessorEnds => state.end_predecessor()?,
            Step::PredecessorAccepts => state.client = Client::AtPredecessor,
            Step::SuccessorAccepts => state.client = Client::AtSuccessor,
            Step::HandOver => {
                state.client = Client::InTransit;
                state.to_successor.push(MessageKind::Client);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no client is lost by a process that was not killed",
                |_, state: &State| state.client != Client::Lost,
            ),
            Property::always(
                "a queued client can be accepted by a running process",
                |_, state: &State| state.queued_client_can_be_accepted(),
            ),
            Property::always(
                "the predecessor accepts until its successor does",
                |_, state: &State| state.some_process_accepts(),
            ),
            Property::sometimes(
                "a client moves from one process to the other",
                |_, state: &State| {
                    state.client == Client::AtSuccessor && state.predecessor.is_none()
                },
            ),
            Property::sometimes(
                "a successor of another version binds its own socket",
                |_, state: &State| state.bound_listener,
            ),
            Property::sometimes(
                "the predecessor serves again after its successor's death",
                |_, state: &State| state.predecessor_serves_after_loss(),
            ),
        ]
    }
}

#[test]
fn upgrade_invariants_hold_in_every_order_of_events() {
    let checker = Upgrade.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 100,
        "{} states",
        checker.unique_state_count()
    );
}
