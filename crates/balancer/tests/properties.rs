//! The four rules over random event sequences, from a fixed seed.

mod common;

use common::{class, entry, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;
use std::collections::{BTreeMap, BTreeSet};

const SERVERS: u32 = 8;

#[derive(Clone, Debug)]
enum Step {
    Arrive { class: u16, left: f64 },
    End { pick: usize, outcome: usize },
    Leave { pick: usize },
    Server { server: u32, state: u8 },
    Sweep,
    Stray,
}

fn step() -> impl Strategy<Value = (f64, Step)> {
    let kind = prop_oneof![
        5 => (0..4u16, 0.05..0.6f64).prop_map(|(class, left)| Step::Arrive { class, left }),
        5 => (any::<usize>(), 0..7usize).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        1 => (0..SERVERS, 0..4u8).prop_map(|(server, state)| Step::Server { server, state }),
        2 => Just(Step::Sweep),
        1 => Just(Step::Stray),
    ];
    (0.0..0.03f64, kind)
}

/// What a client and the servers know of one request.
struct Told {
    effect: Idempotency,
    deadline: f64,
    out: Option<(u32, ServerId, f64)>,
    made: u32,
    ran: Option<(ServerId, f64)>,
    answered: bool,
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

struct World {
    balancer: Balancer,
    effects: Vec<Idempotency>,
    now: f64,
    told: BTreeMap<RequestId, Told>,
    closed: BTreeSet<ServerId>,
    cold_work: BTreeMap<ServerId, Vec<(f64, f64)>>,
}

impl World {
    fn tell(&mut self, event: Event) {
        let mut actions = vec![];
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Attempt {
                    request, server, ..
                } => self.attempted(request, server),
                Action::Reject { request, .. } => {
                    let t = self.told.get_mut(&request).expect("a request that exists");
                    assert!(!t.answered && t.out.is_none(), "answered twice");
                    let harmless = matches!(t.effect, Idempotency::Idempotent);
                    assert!(
                        harmless || t.ran.is_none(),
                        "refused though it may have run"
                    );
                    t.answered = true;
                }
                Action::Fail { request } => {
                    let t = self.told.get_mut(&request).expect("a request that exists");
                    assert!(!t.answered && t.out.is_none(), "answered twice");
                    t.answered = true;
                }
                _ => {}
            }
        }
        // Nobody is left without an answer and without an attempt that will bring one.
        assert!(
            self.told.values().all(|t| t.answered || t.out.is_some()),
            "a request is held"
        );
    }

    fn attempted(&mut self, request: RequestId, server: ServerId) {
        let t = self.told.get_mut(&request).expect("a request that exists");
        assert!(!t.answered, "sent after the end");
        assert!(t.out.is_none(), "two attempts out");
        assert!(self.now < t.deadline, "sent after the deadline");
        assert!(!self.closed.contains(&server), "sent to a drained server");
        if let Some((first, at)) = t.ran {
            match t.effect {
                Idempotency::Idempotent => {}
                Idempotency::AtMostOnce => panic!("an effect twice"),
                Idempotency::Keyed {
                    scope: group,
                    window,
                } => {
                    assert!(self.now < at + window, "repeat outside the window");
                    assert!(
                        group != KeyScope::Cell || first / 2 == server / 2,
                        "repeat outside the cell"
                    );
                    assert!(
                        group != KeyScope::Zone || first % 2 == server % 2,
                        "repeat outside the zone"
                    );
                }
            }
        }
        t.out = Some((t.made, server, self.now));
        t.made += 1;
        if let Some(sends) = self.cold_work.get_mut(&server) {
            sends.push((self.now, 0.02));
        }
    }

    fn end(&mut self, id: RequestId, outcome: Outcome) {
        let t = self.told.get_mut(&id).expect("a request that exists");
        let (attempt, server, sent) = t.out.take().expect("an attempt out");
        if !matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed) && t.ran.is_none() {
            t.ran = Some((server, sent));
        }
        t.answered |= outcome == Outcome::Served;
        let (ended, latency) = (t.answered, self.now - sent);
        self.tell(Event::AttemptEnded {
            request: id,
            attempt,
            server,
            outcome,
            latency,
            request_ended: ended,
            load: None,
        });
    }

    /// The bench's clock cuts every attempt at its request's deadline.
    fn expire(&mut self) {
        let due = |t: &Told| t.out.is_some() && t.deadline <= self.now;
        let late: Vec<_> = self
            .told
            .iter()
            .filter(|(_, t)| due(t))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.end(id, Outcome::TimedOut);
        }
    }

    fn play(&mut self, id: RequestId, step: Step) {
        match step {
            Step::Arrive { class, left } => {
                let effect = self.effects[class as usize];
                let deadline = self.now + left;
                let t = Told {
                    effect,
                    deadline,
                    out: None,
                    made: 0,
                    ran: None,
                    answered: false,
                };
                self.told.insert(id, t);
                let hint = Some(0.02);
                self.tell(Event::Request {
                    request: id,
                    class,
                    tenant: None,
                    work_hint: hint,
                    key: None,
                    remaining: left,
                });
            }
            Step::End { pick, outcome } => {
                let out: Vec<_> = self
                    .told
                    .iter()
                    .filter(|(_, t)| t.out.is_some())
                    .map(|(id, _)| *id)
                    .collect();
                if !out.is_empty() {
                    self.end(out[pick % out.len()], OUTCOMES[outcome]);
                }
            }
            Step::Leave { pick } => {
                let open: Vec<_> = self
                    .told
                    .iter()
                    .filter(|(_, t)| !t.answered)
                    .map(|(id, _)| *id)
                    .collect();
                if !open.is_empty() {
                    let id = open[pick % open.len()];
                    self.told.get_mut(&id).expect("an open request").answered = true;
                    self.tell(Event::ClientGone { request: id });
                }
            }
            Step::Server { server, state } => {
                let mut e = entry(server);
                e.zone = (server % 2) as ZoneId;
                self.cold_work.remove(&server);
                match state {
                    0 => e.state = ServerState::Draining,
                    1 => e.state = ServerState::Removed,
                    _ => {
                        e.started_at = self.now;
                        self.cold_work.insert(server, vec![]);
                    }
                }
                if e.state == ServerState::Up {
                    self.closed.remove(&server);
                } else {
                    self.closed.insert(server);
                }
                self.tell(Event::EndpointUpdate {
                    kind: UpdateKind::Delta,
                    endpoints: vec![e],
                });
            }
            Step::Sweep => self.tell(Event::Timer { tag: 0 }),
            Step::Stray => {
                self.tell(Event::ClientGone { request: 1 << 30 });
                let (outcome, latency) = (Outcome::Served, f64::NAN);
                let request = 1 << 30;
                self.tell(Event::AttemptEnded {
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
fn the_four_rules_hold_over_random_events() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[17; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let run = runner.run(&proptest::collection::vec(step(), 1..300), |steps| {
        let effects = vec![
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
        let settings = settings(effects.iter().map(|e| class(*e)).collect());
        let mut world = World {
            balancer: Balancer::new(settings, 3, 1.0).expect("usable settings"),
            effects,
            now: 1.0,
            told: BTreeMap::new(),
            closed: BTreeSet::new(),
            cold_work: BTreeMap::new(),
        };
        let list = (0..SERVERS)
            .map(|s| Endpoint {
                zone: (s % 2) as ZoneId,
                ..entry(s)
            })
            .collect();
        world.tell(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: list,
        });
        for (id, (dt, step)) in steps.into_iter().enumerate() {
            world.now += dt;
            world.expire();
            world.play(id as RequestId, step);
        }
        world.now += 1.0;
        world.expire();
        prop_assert!(
            world.told.values().all(|t| t.answered),
            "a request without an answer"
        );
        for sends in world.cold_work.values() {
            // All servers at most as capable as what arrives; a cold one gets well under that in any second.
            let most = sends.iter().map(|(from, _)| {
                sends
                    .iter()
                    .filter(|(at, _)| at >= from && *at < from + 1.0)
                    .map(|(_, w)| w)
                    .sum::<f64>()
            });
            prop_assert!(
                most.fold(0.0, f64::max) <= 0.3 * 3.0,
                "a cold server is pushed over"
            );
        }
        Ok(())
    });
    run.expect("the rules hold");
}
