//! The engine in virtual time: under a module that asks for whatever may break a rule, and with the real module
//! over servers that fail, stall and run what they were thought not to run.

mod common;

use common::{class, entry, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_balancer::engine::{
    AddressedEndpoint, Arrival, Command, DecisionModule, Engine, FinalAnswer, Host,
};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;
use std::collections::{BTreeMap, HashMap};

const ATTEMPTS: u32 = 3;

struct Test;

impl Host for Test {
    type Payload = u32;
    type Reply = u32;
    type Address = u32;
    type Answer = &'static str;
}

type Out = Vec<Command<Test>>;

/// Answers each event with the next of the actions that it was given, most of them for the request that the event
/// is about: there a rule is broken most easily.
struct Hostile(std::vec::IntoIter<(bool, Action)>);

impl DecisionModule for Hostile {
    fn handle(&mut self, _: Time, event: Event, actions: &mut Vec<Action>) {
        let about = match event {
            Event::Request { request, .. }
            | Event::AttemptEnded { request, .. }
            | Event::ClientGone { request } => Some(request),
            _ => None,
        };
        for (same, mut action) in self.0.by_ref().take(1) {
            if let (true, Some(about)) = (same, about) {
                match &mut action {
                    Action::Attempt { request, .. }
                    | Action::Reject { request, .. }
                    | Action::Fail { request }
                    | Action::Cancel { request, .. } => *request = about,
                    _ => {}
                }
            }
            actions.push(action);
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Submit { class: u16, left: f64 },
    End { pick: usize, outcome: usize },
    Leave { pick: usize },
    List { server: u32, state: u8, full: bool },
    Timer,
}

fn step() -> impl Strategy<Value = (f64, Step)> {
    let step = prop_oneof![
        4 => (0..3u16, -0.02..0.5f64).prop_map(|(class, left)| Step::Submit { class, left }),
        4 => (any::<usize>(), 0..8usize).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        1 => (0..4u32, 0..3u8, any::<bool>()).prop_map(|(server, state, full)| Step::List { server, state, full }),
        1 => Just(Step::Timer),
    ];
    (0.0..0.05f64, step)
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
        1 => (0..4u32).prop_map(|server| Action::HealthCheck { server }),
    ]
}

/// How long repeats of a keyed request are known for such, shorter than what it may take to be sent twice.
const WINDOW: f64 = 0.06;

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

/// What the outside has seen of one request.
#[derive(Default)]
struct Seen {
    class: u16,
    deadline: f64,
    out: Option<(u32, f64)>,
    sent: u32,
    maybe_ran: bool,
    /// When the last attempt was sent, and the first of those that may have run.
    last: f64,
    first: Option<f64>,
    answers: u32,
    left: bool,
}

/// Checks every command against the rules.
struct World {
    now: f64,
    requests: BTreeMap<u32, Seen>,
    listed: HashMap<u32, ServerState>,
}

impl World {
    fn check(&mut self, commands: Out) {
        for command in commands {
            match command {
                Command::Send {
                    request,
                    attempt,
                    server,
                    send_by,
                    deadline,
                } => {
                    let r = self
                        .requests
                        .get_mut(&request)
                        .expect("a request that was submitted");
                    assert_eq!(r.answers, 0, "sent after the final answer");
                    assert!(!r.left, "sent for a client that left");
                    assert!(r.out.is_none(), "two attempts at once");
                    assert!(r.sent < ATTEMPTS, "more attempts than allowed");
                    assert!(
                        r.class != 1 || !r.maybe_ran,
                        "an unsafe request may run twice"
                    );
                    assert!(
                        self.listed.contains_key(&server),
                        "sent to a server that nobody named"
                    );
                    assert!(self.now < r.deadline, "sent after the deadline");
                    assert!(
                        deadline <= r.deadline && deadline >= self.now,
                        "an attempt past the deadline"
                    );
                    if let Some(first) = r.first.filter(|_| r.class == 2) {
                        // It has to be there while its servers still know the first for one of the same.
                        assert!(
                            send_by < first + WINDOW,
                            "a keyed request is repeated past its window"
                        );
                    }
                    assert!(send_by <= deadline, "an attempt that is sent after its end");
                    r.out = Some((attempt, deadline));
                    r.last = self.now;
                    r.sent += 1;
                }
                Command::CancelAttempt { request, attempt } => {
                    let r = self
                        .requests
                        .get_mut(&request)
                        .expect("a request that was submitted");
                    assert_eq!(
                        r.out.take().map(|o| o.0),
                        Some(attempt),
                        "stopped what is not out"
                    );
                    r.maybe_ran = true;
                    r.first.get_or_insert(r.last);
                }
                Command::Answer {
                    request,
                    to,
                    answer,
                } => {
                    assert_eq!(request, to, "the answer went to another's client");
                    let r = self
                        .requests
                        .get_mut(&request)
                        .expect("a request that was submitted");
                    assert!(!r.left, "an answer for a client that left");
                    r.answers += 1;
                    assert_eq!(r.answers, 1, "two final answers");
                    if matches!(answer, FinalAnswer::Rejected { .. }) && r.class == 1 {
                        assert!(!r.maybe_ran && r.out.is_none(), "refused what may have run");
                    }
                }
                Command::Watch | Command::StartTimer { .. } | Command::CloseConnections { .. } => {}
                Command::ReleaseServerId { server } => assert!(!self.listed.contains_key(&server)),
            }
        }
    }
}

fn place(server: u32, state: ServerState) -> AddressedEndpoint<u32> {
    AddressedEndpoint {
        endpoint: Endpoint {
            state,
            ..entry(server)
        },
        address: server,
    }
}

fn runner(cases: u32) -> TestRunner {
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

fn classes() -> Vec<Class> {
    let keyed = Idempotency::Keyed {
        scope: KeyScope::All,
        window: WINDOW,
    };
    vec![
        class(Idempotency::Idempotent),
        class(Idempotency::AtMostOnce),
        class(keyed),
    ]
}

#[test]
fn no_module_can_make_the_engine_break_a_rule() {
    let strategy = (
        prop::collection::vec(step(), 1..60),
        prop::collection::vec((prop::bool::weighted(0.8), action()), 0..300),
    );
    runner(400)
        .run(&strategy, |(steps, actions)| {
            let mut engine: Engine<Test, Hostile> =
                Engine::new(Hostile(actions.into_iter()), &classes(), ATTEMPTS);
            let mut world = World {
                now: 0.0,
                requests: BTreeMap::new(),
                listed: HashMap::new(),
            };
            let mut out = Out::new();
            let all = (0..4).map(|s| place(s, ServerState::Up)).collect();
            engine.update_endpoints(0.0, UpdateKind::Snapshot, all, &mut out);
            world.listed = (0..4).map(|s| (s, ServerState::Up)).collect();
            world.check(out);
            for (after, step) in steps {
                world.now += after;
                play(&mut engine, &mut world, step);
            }
            drain(&mut engine, &mut world);
            Ok(())
        })
        .unwrap();
}

fn play<D: DecisionModule>(engine: &mut Engine<Test, D>, world: &mut World, step: Step) {
    let (now, mut out) = (world.now, Out::new());
    match step {
        Step::Submit { class, left } => {
            let id = world.requests.len() as u32;
            let deadline = now + left;
            world.requests.insert(
                id,
                Seen {
                    class,
                    deadline,
                    ..Seen::default()
                },
            );
            let arrival = Arrival {
                class,
                tenant: None,
                work_hint: None,
                key: None,
                deadline,
                time_after_upload: None,
            };
            assert_eq!(engine.submit(now, id, id, arrival, &mut out), id);
        }
        Step::End { pick, outcome } => {
            let open: Vec<u32> = world
                .requests
                .iter()
                .filter(|(_, r)| r.out.is_some())
                .map(|(id, _)| *id)
                .collect();
            let Some(id) = open.get(pick % open.len().max(1)).copied() else {
                return;
            };
            end(engine, world, id, OUTCOMES[outcome], &mut out);
        }
        Step::Leave { pick } => {
            let open: Vec<u32> = world.requests.keys().copied().collect();
            let Some(id) = open.get(pick % open.len().max(1)).copied() else {
                return;
            };
            if let Some(r) = world.requests.get_mut(&id).filter(|r| r.answers == 0) {
                r.left = true;
            }
            engine.abandon(now, id, &mut out);
        }
        Step::List {
            server,
            state,
            full,
        } => {
            let state =
                [ServerState::Up, ServerState::Draining, ServerState::Removed][usize::from(state)];
            if full {
                world.listed.clear();
            }
            match state {
                ServerState::Removed => world.listed.remove(&server),
                _ => world.listed.insert(server, state),
            };
            let list = if full {
                UpdateKind::Snapshot
            } else {
                UpdateKind::Delta
            };
            engine.update_endpoints(now, list, vec![place(server, state)], &mut out);
            let up = state == ServerState::Up;
            assert_eq!(
                engine.address(server).is_some(),
                up,
                "a server that drains or went has an address"
            );
        }
        Step::Timer => engine.handle_timer(now, 0, &mut out),
    }
    world.check(out);
}

fn end<D: DecisionModule>(
    engine: &mut Engine<Test, D>,
    world: &mut World,
    id: u32,
    outcome: Outcome,
    out: &mut Out,
) {
    let r = world.requests.get_mut(&id).expect("an open request");
    let Some((attempt, _)) = r.out.take() else {
        return;
    };
    r.maybe_ran |= !outcome.never_ran();
    if r.maybe_ran {
        r.first.get_or_insert(r.last);
    }
    let answer = (outcome == Outcome::Served).then_some("done");
    engine.end_attempt(world.now, id, attempt, outcome, answer, out);
    // A second word on the same attempt changes nothing.
    let said = out.len();
    if world.requests[&id].out.is_none() && !out.iter().any(|c| matches!(c, Command::Send { .. })) {
        engine.end_attempt(world.now, id, attempt, Outcome::Rejected, None, out);
        assert_eq!(out.len(), said, "an attempt ended twice");
    }
}

/// Ends what is out and lets every client leave: nothing may be kept.
fn drain<D: DecisionModule>(engine: &mut Engine<Test, D>, world: &mut World) {
    for id in 0..world.requests.len() as u32 {
        let mut out = Out::new();
        if let Some(r) = world.requests.get_mut(&id).filter(|r| r.answers == 0) {
            r.left = true;
        }
        engine.abandon(world.now, id, &mut out);
        world.check(out);
    }
    while let Some(id) = world
        .requests
        .iter()
        .find(|(_, r)| r.out.is_some())
        .map(|(id, _)| *id)
    {
        let mut out = Out::new();
        end(engine, world, id, Outcome::Error, &mut out);
        world.check(out);
    }
    assert_eq!(engine.open_requests(), 0, "a request is kept after its end");
}

/// A day in virtual time: servers of which some fail fast, some stall, some die before or after the effect.
#[test]
fn the_real_module_answers_every_request_once_and_runs_no_effect_twice() {
    for seed in 0..20u64 {
        let mut draw = seed;
        let mut random = move || {
            draw = draw
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (draw >> 33) as f64 / (1u64 << 31) as f64
        };
        let module = Balancer::new(settings(classes()), seed, 0.0).expect("usable settings");
        let mut engine: Engine<Test> = Engine::new(module, &classes(), 4);
        let (mut now, mut effects, mut answers) =
            (0.0, HashMap::<u32, u32>::new(), HashMap::<u32, u32>::new());
        // What is due: (when, kind), the earliest is looked for; small enough for a list.
        let mut due: Vec<(f64, Due)> = (0..600)
            .map(|n| (f64::from(n) * 0.01, Due::Arrive))
            .collect();
        let mut out = Out::new();
        engine.update_endpoints(
            0.0,
            UpdateKind::Cached,
            (0..6).map(|s| place(s, ServerState::Up)).collect(),
            &mut out,
        );
        loop {
            for command in out.drain(..) {
                match command {
                    Command::Send {
                        request,
                        attempt,
                        server,
                        deadline,
                        ..
                    } => {
                        let fate = random();
                        let (took, outcome, ran) = match server {
                            0 if fate < 0.8 => (0.002, Outcome::Error, fate < 0.4),
                            1 if fate < 0.5 => (9.0, Outcome::TimedOut, fate < 0.25),
                            2 if fate < 0.3 => (0.01, Outcome::ConnectionLost, fate < 0.15),
                            3 if fate < 0.3 => (0.001, Outcome::ConnectFailed, false),
                            4 if fate < 0.3 => (0.001, Outcome::Rejected, false),
                            _ => (0.01 + 0.02 * fate, Outcome::Served, true),
                        };
                        *effects.entry(request).or_default() += u32::from(ran);
                        let at = (now + took).min(deadline);
                        let outcome = if now + took > deadline {
                            Outcome::TimedOut
                        } else {
                            outcome
                        };
                        due.push((at, Due::End(request, attempt, outcome)));
                    }
                    Command::Answer { request, .. } => *answers.entry(request).or_default() += 1,
                    Command::StartTimer { after, tag } => due.push((now + after, Due::Timer(tag))),
                    _ => {}
                }
            }
            let Some(next) = (0..due.len()).min_by(|a, b| due[*a].0.total_cmp(&due[*b].0)) else {
                break;
            };
            let (at, what) = due.swap_remove(next);
            if at > 12.0 {
                break;
            }
            now = at;
            match what {
                Due::Arrive => {
                    let class = (random() * 2.0) as u16;
                    let arrival = Arrival {
                        class,
                        tenant: None,
                        work_hint: Some(0.02),
                        key: None,
                        deadline: now + 0.6,
                        time_after_upload: None,
                    };
                    let id = engine.submit(now, 0, 0, arrival, &mut out);
                    if class == 0 {
                        effects.insert(id, u32::MAX / 2);
                    }
                }
                Due::End(request, attempt, outcome) => {
                    let answer = (outcome == Outcome::Served).then_some("done");
                    engine.end_attempt(now, request, attempt, outcome, answer, &mut out);
                }
                Due::Timer(tag) => engine.handle_timer(now, tag, &mut out),
            }
        }
        assert_eq!(
            answers.len(),
            600,
            "seed {seed}: a request without an answer"
        );
        assert!(
            answers.values().all(|n| *n == 1),
            "seed {seed}: two answers"
        );
        assert!(
            effects.values().all(|n| *n <= 1 || *n >= u32::MAX / 2),
            "seed {seed}: an effect twice"
        );
        assert_eq!(engine.open_requests(), 0, "seed {seed}: a request is kept");
    }
}

enum Due {
    Arrive,
    End(u32, u32, Outcome),
    Timer(u64),
}

#[test]
fn a_server_that_drains_or_went_has_no_address_and_its_number_rests() {
    let module = Balancer::new(settings(classes()), 1, 0.0).expect("usable settings");
    let mut engine: Engine<Test> = Engine::new(module, &classes(), 4);
    let mut out = Out::new();
    engine.update_endpoints(
        0.0,
        UpdateKind::Snapshot,
        vec![place(1, ServerState::Up), place(2, ServerState::Up)],
        &mut out,
    );
    assert_eq!((engine.address(1), engine.address(2)), (Some(&1), Some(&2)));
    out.clear();
    engine.update_endpoints(
        1.0,
        UpdateKind::Delta,
        vec![place(1, ServerState::Draining)],
        &mut out,
    );
    assert_eq!(engine.address(1), None);
    engine.update_endpoints(
        1.0,
        UpdateKind::Snapshot,
        vec![place(1, ServerState::Draining)],
        &mut out,
    );
    assert_eq!(engine.address(2), None);
    let forgotten = |out: &Out, s: u32| {
        out.iter()
            .any(|c| matches!(c, Command::CloseConnections { server } if *server == s))
    };
    assert!(
        forgotten(&out, 1) && forgotten(&out, 2),
        "connections to what left are kept"
    );
    let released = |out: &Out| {
        out.iter()
            .any(|c| matches!(c, Command::ReleaseServerId { server: 2 }))
    };
    engine.update_endpoints(30.0, UpdateKind::Delta, vec![], &mut out);
    assert!(
        !released(&out),
        "a number is given away while an attempt may name it"
    );
    engine.update_endpoints(31.5, UpdateKind::Delta, vec![], &mut out);
    assert!(
        released(&out),
        "the number of a server that went is kept for ever"
    );
}
