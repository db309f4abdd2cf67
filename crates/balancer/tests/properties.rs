//! Checks over random event sequences from a fixed seed that the balancer keeps its rules: one final answer for each
//! request, no second effect, no attempt at a server that drains or was removed, and no overload of one in its slow
//! start.

mod common;

use common::{class, endpoint_of, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;
use std::collections::{BTreeMap, BTreeSet};

const SERVERS: u32 = 8;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        class: u16,
        time_left: f64,
    },
    EndAttempt {
        selector: usize,
        outcome: usize,
    },
    Disconnect {
        selector: usize,
    },
    UpdateServer {
        server: u32,
        state: u8,
    },
    Sweep,
    /// Events about a request that never arrived.
    UnknownRequest,
}

fn step() -> impl Strategy<Value = (f64, Step)> {
    let kind = prop_oneof![
        5 => (0..4u16, 0.05..0.6f64)
            .prop_map(|(class, time_left)| Step::Submit { class, time_left }),
        5 => (any::<usize>(), 0..7usize)
            .prop_map(|(selector, outcome)| Step::EndAttempt { selector, outcome }),
        1 => any::<usize>().prop_map(|selector| Step::Disconnect { selector }),
        1 => (0..SERVERS, 0..4u8).prop_map(|(server, state)| Step::UpdateServer { server, state }),
        2 => Just(Step::Sweep),
        1 => Just(Step::UnknownRequest),
    ];
    (0.0..0.03f64, kind)
}

/// What its client and the servers know about one request.
struct ObservedRequest {
    idempotency: Idempotency,
    deadline: f64,
    /// The attempt in flight: its number, its server and when it was sent.
    in_flight: Option<(u32, ServerId, f64)>,
    attempts: u32,
    /// The first attempt that may have run: its server and when it was sent.
    first_execution: Option<(ServerId, f64)>,
    is_answered: bool,
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Served,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
];

struct Harness {
    balancer: Balancer,
    idempotency_by_class: Vec<Idempotency>,
    now: f64,
    requests: BTreeMap<RequestId, ObservedRequest>,
    /// Servers that drain or were removed.
    unavailable: BTreeSet<ServerId>,
    /// The times and the work of the attempts sent to each server in its slow start.
    slow_start_work: BTreeMap<ServerId, Vec<(f64, f64)>>,
}

impl Harness {
    fn handle(&mut self, event: Event) {
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Attempt {
                    request, server, ..
                } => self.check_attempt(request, server),
                Action::Reject { request, .. } => {
                    let observed = self.requests.get_mut(&request).expect("a known request");
                    assert!(
                        !observed.is_answered && observed.in_flight.is_none(),
                        "answered twice"
                    );
                    let is_idempotent = matches!(observed.idempotency, Idempotency::Idempotent);
                    assert!(
                        is_idempotent || observed.first_execution.is_none(),
                        "rejected a request that may have run"
                    );
                    observed.is_answered = true;
                }
                Action::Fail { request } => {
                    let observed = self.requests.get_mut(&request).expect("a known request");
                    assert!(
                        !observed.is_answered && observed.in_flight.is_none(),
                        "answered twice"
                    );
                    observed.is_answered = true;
                }
                _ => {}
            }
        }
        // A request without an answer has an attempt in flight that can lead to one.
        assert!(
            self.requests
                .values()
                .all(|observed| observed.is_answered || observed.in_flight.is_some()),
            "a request has neither an answer nor an attempt in flight"
        );
    }

    fn check_attempt(&mut self, request: RequestId, server: ServerId) {
        let observed = self.requests.get_mut(&request).expect("a known request");
        assert!(!observed.is_answered, "sent after the final answer");
        assert!(observed.in_flight.is_none(), "two attempts in flight");
        assert!(self.now < observed.deadline, "sent after the deadline");
        assert!(
            !self.unavailable.contains(&server),
            "sent to a server that drains or was removed"
        );
        if let Some((first_server, first_sent_at)) = observed.first_execution {
            match observed.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::AtMostOnce => panic!("an at-most-once request may run twice"),
                Idempotency::Keyed {
                    scope: key_scope,
                    window,
                } => {
                    assert!(
                        self.now < first_sent_at + window,
                        "repeated after the window of its key"
                    );
                    assert!(
                        key_scope != KeyScope::Cell || first_server / 2 == server / 2,
                        "repeated in another cell"
                    );
                    assert!(
                        key_scope != KeyScope::Zone || first_server % 2 == server % 2,
                        "repeated in another zone"
                    );
                }
            }
        }
        observed.in_flight = Some((observed.attempts, server, self.now));
        observed.attempts += 1;
        if let Some(sent) = self.slow_start_work.get_mut(&server) {
            sent.push((self.now, 0.02));
        }
    }

    fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        let observed = self.requests.get_mut(&id).expect("a known request");
        let (attempt, server, sent_at) = observed.in_flight.take().expect("an attempt in flight");
        if !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed)
            && observed.first_execution.is_none()
        {
            observed.first_execution = Some((server, sent_at));
        }
        observed.is_answered |= outcome == Outcome::Served;
        let (is_answered, latency) = (observed.is_answered, self.now - sent_at);
        self.handle(Event::AttemptEnded {
            request: id,
            attempt,
            server,
            outcome,
            latency,
            request_ended: is_answered,
            load: None,
        });
    }

    /// Ends the attempts of requests whose deadline has passed, as the node does.
    fn end_expired_attempts(&mut self) {
        let is_due = |seen: &ObservedRequest| seen.in_flight.is_some() && seen.deadline <= self.now;
        let expired: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, observed)| is_due(observed))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_attempt(id, Outcome::TimedOut);
        }
    }

    fn apply(&mut self, id: RequestId, step: Step) {
        match step {
            Step::Submit { class, time_left } => {
                let idempotency = self.idempotency_by_class[class as usize];
                let deadline = self.now + time_left;
                let observed = ObservedRequest {
                    idempotency,
                    deadline,
                    in_flight: None,
                    attempts: 0,
                    first_execution: None,
                    is_answered: false,
                };
                self.requests.insert(id, observed);
                let hint = Some(0.02);
                self.handle(Event::Request {
                    request: id,
                    class,
                    tenant: None,
                    work_hint: hint,
                    key: None,
                    remaining: time_left,
                });
            }
            Step::EndAttempt { selector, outcome } => {
                let in_flight: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, observed)| observed.in_flight.is_some())
                    .map(|(id, _)| *id)
                    .collect();
                if !in_flight.is_empty() {
                    self.end_attempt(in_flight[selector % in_flight.len()], OUTCOMES[outcome]);
                }
            }
            Step::Disconnect { selector } => {
                let open: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, observed)| !observed.is_answered)
                    .map(|(id, _)| *id)
                    .collect();
                if !open.is_empty() {
                    let id = open[selector % open.len()];
                    self.requests
                        .get_mut(&id)
                        .expect("an open request")
                        .is_answered = true;
                    self.handle(Event::ClientGone { request: id });
                }
            }
            Step::UpdateServer { server, state } => {
                let mut endpoint = endpoint_of(server);
                endpoint.zone = (server % 2) as ZoneId;
                self.slow_start_work.remove(&server);
                match state {
                    0 => endpoint.state = ServerState::Draining,
                    1 => endpoint.state = ServerState::Removed,
                    _ => {
                        endpoint.started_at = self.now;
                        self.slow_start_work.insert(server, vec![]);
                    }
                }
                if endpoint.state == ServerState::Up {
                    self.unavailable.remove(&server);
                } else {
                    self.unavailable.insert(server);
                }
                self.handle(Event::EndpointUpdate {
                    kind: UpdateKind::Delta,
                    endpoints: vec![endpoint],
                });
            }
            Step::Sweep => self.handle(Event::Timer { tag: 0 }),
            Step::UnknownRequest => {
                self.handle(Event::ClientGone { request: 1 << 30 });
                let (outcome, latency) = (Outcome::Served, f64::NAN);
                let request = 1 << 30;
                self.handle(Event::AttemptEnded {
                    request,
                    attempt: 0,
                    server: 0,
                    outcome,
                    latency,
                    request_ended: false,
                    load: None,
                });
            }
        }
    }
}

#[test]
fn rules_hold_over_random_events() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&proptest::collection::vec(step(), 1..300), |steps| {
        let idempotency_by_class = vec![
            Idempotency::Idempotent,
            Idempotency::AtMostOnce,
            Idempotency::Keyed {
                scope: KeyScope::Cell,
                window: 0.3,
            },
            Idempotency::Keyed {
                scope: KeyScope::Zone,
                window: 0.2,
            },
        ];
        let settings = settings(
            idempotency_by_class
                .iter()
                .map(|kind| class(*kind))
                .collect(),
        );
        let mut harness = Harness {
            balancer: Balancer::new(settings, 3, 1.0).expect("valid settings"),
            idempotency_by_class,
            now: 1.0,
            requests: BTreeMap::new(),
            unavailable: BTreeSet::new(),
            slow_start_work: BTreeMap::new(),
        };
        let listed = (0..SERVERS)
            .map(|server| Endpoint {
                zone: (server % 2) as ZoneId,
                ..endpoint_of(server)
            })
            .collect();
        harness.handle(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: listed,
        });
        for (id, (delay, step)) in steps.into_iter().enumerate() {
            harness.now += delay;
            harness.end_expired_attempts();
            harness.apply(id as RequestId, step);
        }
        harness.now += 1.0;
        harness.end_expired_attempts();
        prop_assert!(
            harness
                .requests
                .values()
                .all(|observed| observed.is_answered),
            "a request without an answer"
        );
        for sent in harness.slow_start_work.values() {
            // The capacity of a server is at most the arriving work. One in its slow start has to get less than its
            // initial capacity times the overload factor in any second.
            let work_per_second = sent.iter().map(|(start, _)| {
                sent.iter()
                    .filter(|(sent_at, _)| sent_at >= start && *sent_at < start + 1.0)
                    .map(|(_, work)| work)
                    .sum::<f64>()
            });
            prop_assert!(
                work_per_second.fold(0.0, f64::max) <= 0.3 * 3.0,
                "a server in its slow start is overloaded"
            );
        }
        Ok(())
    });
    run.expect("the rules hold");
}
