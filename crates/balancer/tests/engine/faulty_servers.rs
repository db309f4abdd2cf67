//! The real decision module in virtual time with servers of which some fail fast, some stall, and some run requests
//! whose attempts fail.

use crate::{
    classes, endpoint, settings, Commands, TestHost, AT_MOST_ONCE_CLASS, IDEMPOTENT_CLASS,
};
use reelfall_balancer::engine::{Arrival, Command, Engine};
use reelfall_balancer::interface::{Outcome, RequestId, ServerId, ServerState, Time, UpdateKind};
use reelfall_balancer::Balancer;
use std::collections::{HashMap, HashSet};

const SEEDS: u64 = 20;
const SERVERS: u32 = 6;
const REQUESTS: u32 = 600;
const ARRIVAL_INTERVAL: Time = 0.01;
const DEADLINE: Time = 0.6;
const SIMULATION_END: Time = 12.0;
const MAX_ATTEMPTS: u32 = 4;

/// A linear congruential generator.
struct RandomNumbers(u64);

impl RandomNumbers {
    /// Uniform in [0, 1).
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// How a server handles an attempt.
struct Handling {
    duration: Time,
    outcome: Outcome,
    is_executed: bool,
}

impl Handling {
    fn new(duration: Time, outcome: Outcome, is_executed: bool) -> Handling {
        Handling {
            duration,
            outcome,
            is_executed,
        }
    }

    /// `sample` is uniform in [0, 1). Half of the failed attempts at servers 0 to 2 are executed.
    fn of_server(server: ServerId, sample: f64) -> Handling {
        match server {
            0 if sample < 0.8 => Handling::new(0.002, Outcome::Error, sample < 0.4),
            1 if sample < 0.5 => Handling::new(9.0, Outcome::TimedOut, sample < 0.25),
            2 if sample < 0.3 => Handling::new(0.01, Outcome::ConnectionLost, sample < 0.15),
            3 if sample < 0.3 => Handling::new(0.001, Outcome::ConnectFailed, false),
            4 if sample < 0.3 => Handling::new(0.001, Outcome::Rejected, false),
            _ => Handling::new(0.01 + 0.02 * sample, Outcome::Served, true),
        }
    }
}

enum Occurrence {
    Arrival,
    AttemptEnd {
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    Timer {
        tag: u64,
    },
}

struct Scheduled {
    at: Time,
    occurrence: Occurrence,
}

struct Simulation {
    engine: Engine<TestHost>,
    random: RandomNumbers,
    now: Time,
    /// Unordered, as it is short enough to be searched for the earliest event.
    pending: Vec<Scheduled>,
    commands: Commands,
    executions: HashMap<RequestId, u32>,
    answers: HashMap<RequestId, u32>,
    idempotent_requests: HashSet<RequestId>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let module = Balancer::new(settings(classes()), seed, 0.0).expect("valid settings");
        let mut simulation = Simulation {
            engine: Engine::new(module, &classes(), MAX_ATTEMPTS),
            random: RandomNumbers(seed),
            now: 0.0,
            pending: arrivals(),
            commands: Commands::new(),
            executions: HashMap::new(),
            answers: HashMap::new(),
            idempotent_requests: HashSet::new(),
        };
        let servers = (0..SERVERS)
            .map(|server| endpoint(server, ServerState::Up))
            .collect();
        simulation.engine.update_endpoints(
            0.0,
            UpdateKind::Cached,
            servers,
            &mut simulation.commands,
        );
        simulation
    }

    fn run(&mut self) {
        self.execute_commands();
        while let Some(next) = self.remove_earliest() {
            if next.at > SIMULATION_END {
                break;
            }
            self.now = next.at;
            self.handle(next.occurrence);
            self.execute_commands();
        }
    }

    fn execute_commands(&mut self) {
        for command in std::mem::take(&mut self.commands) {
            match command {
                Command::Send {
                    request,
                    attempt,
                    server,
                    deadline,
                    ..
                } => self.send(request, attempt, server, deadline),
                Command::Answer { request, .. } => *self.answers.entry(request).or_default() += 1,
                Command::StartTimer { after, tag } => {
                    self.schedule(self.now + after, Occurrence::Timer { tag });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, request: RequestId, attempt: u32, server: ServerId, deadline: Time) {
        let handling = Handling::of_server(server, self.random.next());
        *self.executions.entry(request).or_default() += u32::from(handling.is_executed);
        let end = self.now + handling.duration;
        let outcome = if end > deadline {
            Outcome::TimedOut
        } else {
            handling.outcome
        };
        let occurrence = Occurrence::AttemptEnd {
            request,
            attempt,
            outcome,
        };
        self.schedule(end.min(deadline), occurrence);
    }

    fn schedule(&mut self, at: Time, occurrence: Occurrence) {
        self.pending.push(Scheduled { at, occurrence });
    }

    fn remove_earliest(&mut self) -> Option<Scheduled> {
        let at = |index: &usize| self.pending[*index].at;
        let earliest =
            (0..self.pending.len()).min_by(|left, right| at(left).total_cmp(&at(right)))?;
        Some(self.pending.swap_remove(earliest))
    }

    fn handle(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Arrival => self.submit(),
            Occurrence::AttemptEnd {
                request,
                attempt,
                outcome,
            } => {
                let answer = (outcome == Outcome::Served).then_some("done");
                self.engine.end_attempt(
                    self.now,
                    request,
                    attempt,
                    outcome,
                    answer,
                    &mut self.commands,
                );
            }
            Occurrence::Timer { tag } => {
                self.engine.handle_timer(self.now, tag, &mut self.commands);
            }
        }
    }

    fn submit(&mut self) {
        let class = if self.random.next() * 2.0 < 1.0 {
            IDEMPOTENT_CLASS
        } else {
            AT_MOST_ONCE_CLASS
        };
        let arrival = Arrival {
            class,
            tenant: None,
            work_hint: Some(0.02),
            key: None,
            deadline: self.now + DEADLINE,
            time_after_upload: None,
        };
        let request = self
            .engine
            .submit(self.now, 0, 0, arrival, &mut self.commands);
        if class == IDEMPOTENT_CLASS {
            self.idempotent_requests.insert(request);
        }
    }
}

fn arrivals() -> Vec<Scheduled> {
    (0..REQUESTS)
        .map(|index| Scheduled {
            at: f64::from(index) * ARRIVAL_INTERVAL,
            occurrence: Occurrence::Arrival,
        })
        .collect()
}

#[test]
fn requests_are_answered_once_and_unsafe_ones_execute_at_most_once() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        simulation.run();
        assert_eq!(
            simulation.answers.len(),
            REQUESTS as usize,
            "seed {seed}: a request without an answer"
        );
        assert!(
            simulation.answers.values().all(|answers| *answers == 1),
            "seed {seed}: two answers"
        );
        let idempotent = &simulation.idempotent_requests;
        assert!(
            simulation
                .executions
                .iter()
                .all(|(request, executions)| *executions <= 1 || idempotent.contains(request)),
            "seed {seed}: an at-most-once request executed twice"
        );
        assert_eq!(
            simulation.engine.open_requests(),
            0,
            "seed {seed}: a request remains open"
        );
    }
}
