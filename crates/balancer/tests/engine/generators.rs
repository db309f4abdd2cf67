//! Strategies for the events that reach an engine and for the actions of a hostile decision module.

use proptest::prelude::{any, prop, prop_oneof, Just, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_balancer::interface::{Action, Outcome, ServerState, Time};

/// Number of servers in the endpoint list; their identifiers start at 0.
pub const SERVERS: u32 = 4;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
];

const SERVER_STATES: [ServerState; 3] =
    [ServerState::Up, ServerState::Draining, ServerState::Removed];

/// An event from outside of the engine. An `index` selects one of the requests that the event can be about.
#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        class: u16,
        remaining: Time,
    },
    EndAttempt {
        index: usize,
        outcome: Outcome,
    },
    Abandon {
        index: usize,
    },
    UpdateEndpoint {
        server: u32,
        state: ServerState,
        is_snapshot: bool,
    },
    Timer,
}

/// A step and the time since the step before it.
#[derive(Clone, Debug)]
pub struct TimedStep {
    pub delay: Time,
    pub step: Step,
}

/// An action of the hostile module.
#[derive(Clone, Debug)]
pub struct HostileAction {
    /// Whether the action is applied to the request of the event that it responds to.
    pub targets_event_request: bool,
    pub action: Action,
}

fn step() -> impl Strategy<Value = TimedStep> {
    let step = prop_oneof![
        4 => (0..3u16, -0.02..0.5f64)
            .prop_map(|(class, remaining)| Step::Submit { class, remaining }),
        4 => (any::<usize>(), 0..8usize).prop_map(|(index, outcome)| Step::EndAttempt {
            index,
            outcome: OUTCOMES[outcome],
        }),
        1 => any::<usize>().prop_map(|index| Step::Abandon { index }),
        1 => (0..SERVERS, 0..3u8, any::<bool>()).prop_map(|(server, state, is_snapshot)| {
            Step::UpdateEndpoint {
                server,
                state: SERVER_STATES[usize::from(state)],
                is_snapshot,
            }
        }),
        1 => Just(Step::Timer),
    ];
    (0.0..0.05f64, step).prop_map(|(delay, step)| TimedStep { delay, step })
}

fn action() -> impl Strategy<Value = Action> {
    let timeout = prop_oneof![Just(None), (-1.0..1.0f64).prop_map(Some)];
    prop_oneof![
        6 => (0..12u32, 0..5u32, timeout)
            .prop_map(|(request, server, timeout)| Action::Attempt { request, server, timeout }),
        1 => (0..12u32).prop_map(|request| Action::Reject { request, retry_after: Some(0.1) }),
        1 => (0..12u32).prop_map(|request| Action::Fail { request }),
        1 => (0..12u32, 0..3u32).prop_map(|(request, attempt)| Action::Cancel { request, attempt }),
        1 => Just(Action::Watch),
        1 => (0..SERVERS).prop_map(|server| Action::HealthCheck { server }),
    ]
}

fn hostile_action() -> impl Strategy<Value = HostileAction> {
    (prop::bool::weighted(0.8), action()).prop_map(|(targets_event_request, action)| {
        HostileAction {
            targets_event_request,
            action,
        }
    })
}

/// The events that reach an engine, and the actions that its module returns.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub steps: Vec<TimedStep>,
    pub actions: Vec<HostileAction>,
}

pub fn schedule() -> impl Strategy<Value = Schedule> {
    let steps = prop::collection::vec(step(), 1..60);
    let actions = prop::collection::vec(hostile_action(), 0..300);
    (steps, actions).prop_map(|(steps, actions)| Schedule { steps, actions })
}

/// A runner with a fixed seed.
pub fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(
        Config {
            cases,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    )
}
