//! Requests whose bodies are still being received, with the real decision module in virtual time.

mod common;

use common::{class, endpoint_of, settings};
use reelfall_balancer::engine::{AddressedEndpoint, Arrival, Command, Engine, FinalAnswer, Host};
use reelfall_balancer::interface::{
    ClassId, Idempotency, LearnedState, Outcome, RequestId, ServerId, Time, UpdateKind,
};
use reelfall_balancer::Balancer;

const CLASS: ClassId = 0;
const SERVERS: u32 = 4;
const MAX_ATTEMPTS: u32 = 4;

/// When the body of an upload has to be complete.
const UPLOAD_DEADLINE: Time = 900.0;
/// How long after the last byte of its body a response is due.
const TIME_AFTER_UPLOAD: Time = 0.6;

struct TestHost;

impl Host for TestHost {
    type Payload = ();
    type Reply = u32;
    type Address = u32;
    type Answer = ();
}

type Commands = Vec<Command<TestHost>>;

fn engine() -> Engine<TestHost> {
    let settings = settings(vec![class(Idempotency::AtMostOnce)]);
    let classes = settings.classes.clone();
    let module = Balancer::new(settings, 7, 0.0).expect("valid settings");
    let mut engine = Engine::new(module, &classes, MAX_ATTEMPTS);
    let endpoints = (0..SERVERS)
        .map(|server| AddressedEndpoint {
            endpoint: endpoint_of(server),
            address: server,
        })
        .collect();
    engine.update_endpoints(0.0, UpdateKind::Snapshot, endpoints, &mut Vec::new());
    engine
}

/// An attempt that the engine has sent.
struct SentAttempt {
    request: RequestId,
    attempt: u32,
    server: ServerId,
    deadline: Time,
}

/// Submits an upload and returns its first attempt.
fn submit_upload(engine: &mut Engine<TestHost>, commands: &mut Commands) -> SentAttempt {
    let arrival = Arrival {
        class: CLASS,
        tenant: None,
        work_hint: None,
        key: None,
        deadline: UPLOAD_DEADLINE,
        time_after_upload: Some(TIME_AFTER_UPLOAD),
    };
    engine.submit(0.0, (), 0, arrival, commands);
    sent_attempt(commands).expect("an attempt")
}

fn sent_attempt(commands: &Commands) -> Option<SentAttempt> {
    commands.iter().find_map(|command| match command {
        Command::Send {
            request,
            attempt,
            server,
            deadline,
            ..
        } => Some(SentAttempt {
            request: *request,
            attempt: *attempt,
            server: *server,
            deadline: *deadline,
        }),
        _ => None,
    })
}

fn final_answer(commands: &Commands) -> Option<FinalAnswer<()>> {
    commands.iter().find_map(|command| match command {
        Command::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    })
}

fn mean_responses(engine: &Engine<TestHost>) -> Vec<f64> {
    engine.module().automaton().mean_response.clone()
}

#[test]
fn slow_upload_does_not_count_as_response_time_and_its_response_is_due_after_the_last_byte() {
    let (mut engine, mut commands) = (engine(), Vec::new());
    let upload = submit_upload(&mut engine, &mut commands);
    assert_eq!(upload.deadline, UPLOAD_DEADLINE);
    let means_before = mean_responses(&engine);
    // At each timer the module adds the delay of overdue attempts to the means; an upload is not overdue.
    for tick in 1..=200 {
        engine.handle_timer(f64::from(tick) * 0.1, 0, &mut commands);
    }
    assert_eq!(
        mean_responses(&engine),
        means_before,
        "the duration of an upload counts as response time of the server"
    );
    assert_eq!(
        engine.finish_upload(20.0, upload.request, 20.0, &mut commands),
        Some(20.0 + TIME_AFTER_UPLOAD)
    );
    assert_eq!(
        engine.finish_upload(20.1, upload.request, 20.1, &mut commands),
        None,
        "the response time starts twice"
    );
    commands.clear();
    engine.end_attempt(
        20.02,
        upload.request,
        upload.attempt,
        Outcome::Served,
        Some(()),
        &mut commands,
    );
    assert_eq!(final_answer(&commands), Some(FinalAnswer::Served(())));
    assert!(
        mean_responses(&engine).iter().all(|mean| *mean < 0.2),
        "{:?}",
        mean_responses(&engine)
    );
    assert_eq!(engine.open_requests(), 0);
}

#[test]
fn upload_is_retried_only_until_its_body_is_consumed() {
    for is_consumed in [false, true] {
        let (mut engine, mut commands) = (engine(), Vec::new());
        let first = submit_upload(&mut engine, &mut commands);
        if is_consumed {
            engine.mark_body_consumed(first.request);
        }
        commands.clear();
        engine.end_attempt(
            3.0,
            first.request,
            first.attempt,
            Outcome::ConnectFailed,
            None,
            &mut commands,
        );
        match sent_attempt(&commands) {
            Some(retry) => assert!(
                !is_consumed && retry.request == first.request && retry.server != first.server
            ),
            // The request never ran, so it is rejected and its client may retry.
            None => assert!(
                is_consumed
                    && matches!(final_answer(&commands), Some(FinalAnswer::Rejected { .. }))
            ),
        }
    }
}

#[test]
fn upload_that_can_have_executed_fails_and_is_not_rejected() {
    let (mut engine, mut commands) = (engine(), Vec::new());
    let upload = submit_upload(&mut engine, &mut commands);
    engine.mark_body_consumed(upload.request);
    engine.finish_upload(5.0, upload.request, 5.0, &mut commands);
    commands.clear();
    engine.end_attempt(
        5.1,
        upload.request,
        upload.attempt,
        Outcome::ConnectionLost,
        None,
        &mut commands,
    );
    assert_eq!(
        final_answer(&commands),
        Some(FinalAnswer::Failed(Some(Outcome::ConnectionLost)))
    );
    assert!(sent_attempt(&commands).is_none());
}

#[test]
fn answer_is_due_from_when_the_client_had_written_the_last_byte() {
    for (last_byte_at, finished_at, due) in [(5.0, 5.4, 5.6), (5.0, 6.0, 5.6), (7.0, 5.0, 5.6)] {
        let (mut engine, mut commands) = (engine(), Vec::new());
        let upload = submit_upload(&mut engine, &mut commands);
        let deadline =
            engine.finish_upload(finished_at, upload.request, last_byte_at, &mut commands);
        assert!(
            deadline.is_some_and(|deadline| (deadline - due).abs() < 1e-9),
            "written at {last_byte_at}, received at {finished_at}: {deadline:?}"
        );
    }
}

/// Runs 400 requests within 20 seconds; one server responds more slowly than the others.
fn run_requests_with_slow_server(engine: &mut Engine<TestHost>) {
    const SLOW_SERVER: ServerId = 2;
    let mut commands = Vec::new();
    for index in 0..400 {
        let now = 0.05 * f64::from(index);
        let arrival = Arrival {
            class: CLASS,
            tenant: None,
            work_hint: None,
            key: None,
            deadline: now + 0.6,
            time_after_upload: None,
        };
        commands.clear();
        engine.submit(now, (), 0, arrival, &mut commands);
        let Some(sent) = sent_attempt(&commands) else {
            continue;
        };
        let response_time = if sent.server == SLOW_SERVER {
            0.12
        } else {
            0.02
        };
        engine.end_attempt(
            now + response_time,
            sent.request,
            sent.attempt,
            Outcome::Served,
            Some(()),
            &mut commands,
        );
    }
}

/// Replaces some values of a learned state by invalid ones.
fn corrupted(mut learned: LearnedState) -> LearnedState {
    for server in &mut learned.servers {
        server.relative_probability = f64::NAN;
    }
    learned.typical_work = -1.0;
    learned.admitted_fraction = f64::INFINITY;
    learned.class_work = vec![];
    learned
}

#[test]
fn learned_state_is_adopted_by_the_next_module_unless_it_is_corrupt() {
    let mut old = engine();
    run_requests_with_slow_server(&mut old);
    let learned = old.module().learned(20.0);
    let mut new = engine();
    new.adopt(20.0, &learned);
    let (old_automaton, new_automaton) = (old.module().automaton(), new.module().automaton());
    for server in 0..SERVERS as usize {
        let difference = old_automaton.probability[server] - new_automaton.probability[server];
        assert!(
            difference.abs() < 0.02,
            "{:?} {:?}",
            old_automaton.probability,
            new_automaton.probability
        );
        let difference = old_automaton.mean_response[server] - new_automaton.mean_response[server];
        assert!(difference.abs() < 1e-9);
    }
    let mut unaffected = engine();
    unaffected.adopt(20.0, &corrupted(learned));
    let initial_probability = 1.0 / f64::from(SERVERS);
    assert!(unaffected
        .module()
        .automaton()
        .probability
        .iter()
        .all(|probability| (probability - initial_probability).abs() < 1e-9));
}
