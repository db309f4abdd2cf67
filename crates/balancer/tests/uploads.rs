//! Requests whose bodies are still on their way, with the real module in virtual time.

mod common;

use common::{class, entry, settings};
use reelfall_balancer::engine::{AddressedEndpoint, Arrival, Command, Engine, FinalAnswer, Host};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

struct Test;

impl Host for Test {
    type Payload = ();
    type Reply = u32;
    type Address = u32;
    type Answer = ();
}

type Out = Vec<Command<Test>>;

fn engine() -> Engine<Test> {
    let settings = settings(vec![class(Idempotency::AtMostOnce)]);
    let classes = settings.classes.clone();
    let module = Balancer::new(settings, 7, 0.0).expect("usable settings");
    let mut engine = Engine::new(module, &classes, 4);
    let places = (0..4)
        .map(|s| AddressedEndpoint {
            endpoint: entry(s),
            address: s,
        })
        .collect();
    engine.update_endpoints(0.0, UpdateKind::Snapshot, places, &mut Vec::new());
    engine
}

/// Submits an upload and gives its id, attempt, server and when the attempt ends.
fn upload(engine: &mut Engine<Test>, out: &mut Out) -> (RequestId, u32, ServerId, Time) {
    let arrival = Arrival {
        class: 0,
        tenant: None,
        work_hint: None,
        key: None,
        deadline: 900.0,
        time_after_upload: Some(0.6),
    };
    engine.submit(0.0, (), 0, arrival, out);
    sent(out).expect("an attempt")
}

fn sent(out: &Out) -> Option<(RequestId, u32, ServerId, Time)> {
    out.iter().find_map(|c| match c {
        Command::Send {
            request,
            attempt,
            server,
            deadline,
            ..
        } => Some((*request, *attempt, *server, *deadline)),
        _ => None,
    })
}

fn answer(out: &Out) -> Option<FinalAnswer<()>> {
    out.iter().find_map(|c| match c {
        Command::Answer { answer, .. } => Some(answer.clone()),
        _ => None,
    })
}

fn average(engine: &Engine<Test>) -> Vec<f64> {
    engine.module().automaton().mean_response.clone()
}

#[test]
fn a_slow_upload_is_not_held_against_its_server_and_the_answer_is_due_after_the_last_byte() {
    let (mut engine, mut out) = (engine(), Vec::new());
    let (id, attempt, _, deadline) = upload(&mut engine, &mut out);
    assert_eq!(deadline, 900.0);
    let before = average(&engine);
    // Sweeps charge whatever is overdue; this is not.
    for n in 1..=200 {
        engine.handle_timer(f64::from(n) * 0.1, 0, &mut out);
    }
    assert_eq!(
        average(&engine),
        before,
        "a server is charged for its client's slowness"
    );
    assert_eq!(engine.finish_upload(20.0, id, &mut out), Some(20.6));
    assert_eq!(
        engine.finish_upload(20.1, id, &mut out),
        None,
        "the time runs twice"
    );
    out.clear();
    engine.end_attempt(20.02, id, attempt, Outcome::Served, Some(()), &mut out);
    assert_eq!(answer(&out), Some(FinalAnswer::Served(())));
    assert!(
        average(&engine).iter().all(|a| *a < 0.2),
        "{:?}",
        average(&engine)
    );
    assert_eq!(engine.open_requests(), 0);
}

#[test]
fn an_upload_goes_elsewhere_only_while_all_of_it_is_here() {
    for spent in [false, true] {
        let (mut engine, mut out) = (engine(), Vec::new());
        let (id, attempt, first, _) = upload(&mut engine, &mut out);
        if spent {
            engine.mark_body_consumed(id);
        }
        out.clear();
        engine.end_attempt(3.0, id, attempt, Outcome::ConnectFailed, None, &mut out);
        match sent(&out) {
            Some((again, _, other, _)) => assert!(!spent && again == id && other != first),
            // It never ran, and its client is told so.
            None => assert!(spent && matches!(answer(&out), Some(FinalAnswer::Rejected { .. }))),
        }
    }
}

#[test]
fn an_upload_that_may_have_run_is_failed_and_never_refused() {
    let (mut engine, mut out) = (engine(), Vec::new());
    let (id, attempt, ..) = upload(&mut engine, &mut out);
    engine.mark_body_consumed(id);
    engine.finish_upload(5.0, id, &mut out);
    out.clear();
    engine.end_attempt(5.1, id, attempt, Outcome::ConnectionLost, None, &mut out);
    assert_eq!(
        answer(&out),
        Some(FinalAnswer::Failed(Some(Outcome::ConnectionLost)))
    );
    assert!(sent(&out).is_none());
}

#[test]
fn what_was_learned_goes_from_one_module_to_the_next() {
    let mut old = engine();
    let mut out = Vec::new();
    for n in 0..400 {
        let now = 0.05 * f64::from(n);
        let arrival = Arrival {
            class: 0,
            tenant: None,
            work_hint: None,
            key: None,
            deadline: now + 0.6,
            time_after_upload: None,
        };
        out.clear();
        old.submit(now, (), 0, arrival, &mut out);
        let Some((id, attempt, server, _)) = sent(&out) else {
            continue;
        };
        let takes = if server == 2 { 0.12 } else { 0.02 };
        old.end_attempt(
            now + takes,
            id,
            attempt,
            Outcome::Served,
            Some(()),
            &mut out,
        );
    }
    let learned = old.module().learned(20.0);
    let mut new = engine();
    new.adopt(20.0, &learned);
    let (a, b) = (old.module().automaton(), new.module().automaton());
    for i in 0..4 {
        assert!(
            (a.probability[i] - b.probability[i]).abs() < 0.02,
            "{:?} {:?}",
            a.probability,
            b.probability
        );
        assert!((a.mean_response[i] - b.mean_response[i]).abs() < 1e-9);
    }
    // Figures that can be none change nothing.
    let mut spoilt = learned;
    spoilt
        .servers
        .iter_mut()
        .for_each(|s| s.relative_probability = f64::NAN);
    (
        spoilt.typical_work,
        spoilt.admitted_fraction,
        spoilt.class_work,
    ) = (-1.0, f64::INFINITY, vec![]);
    let mut other = engine();
    other.adopt(20.0, &spoilt);
    assert!(other
        .module()
        .automaton()
        .probability
        .iter()
        .all(|p| (p - 0.25).abs() < 1e-9));
}
