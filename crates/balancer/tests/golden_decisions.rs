//! Compares the actions of the decision module on a random load with those recorded at commit c58caac, to the last bit
//! of each time. `golden/decisions.blake3` has a digest for each deployment and seed. The seed and the times are
//! arguments of the module, so a digest differs only if a decision does.

use reelfall_balancer::interface::*;
use reelfall_balancer::settings::{self, stable_hash, ListedEndpoint, NameRegistry};
use reelfall_balancer::Balancer;
use std::collections::BTreeMap;

const GOLDEN: &str = include_str!("golden/decisions.blake3");
const DEPLOYMENTS: [(&str, &str); 2] = [
    ("keyed", include_str!("golden/settings-keyed.json")),
    ("zones", include_str!("golden/settings-zones.json")),
];

/// A generator of the test's own, so that no update of a library changes the load.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next_bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Uniform in [0, 1).
    fn next_fraction(&mut self) -> f64 {
        (self.next_bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next_bits() % bound as u64) as usize
    }
}

/// An event that was scheduled for a later time.
enum Scheduled {
    Timer(u64),
    AttemptEnd {
        request: RequestId,
        attempt: u32,
        server: ServerId,
        sent_at: Time,
        outcome: Outcome,
    },
    UploadEnd(RequestId),
    Disconnect(RequestId),
}

struct Simulation {
    random: SplitMix64,
    balancer: Balancer,
    names: NameRegistry,
    classes: usize,
    now: Time,
    /// Scheduled events by the bits of their time, and in the order in which they were scheduled.
    pending: BTreeMap<(u64, u64), Scheduled>,
    scheduled_events: u64,
    /// Number of attempts of each request.
    attempts: BTreeMap<RequestId, u32>,
    digest: blake3::Hasher,
    actions: u64,
}

impl Simulation {
    fn new(json: &str, seed: u64) -> Simulation {
        let (settings, names, _) = settings::read(json).unwrap();
        let classes = settings.classes.len();
        let now = 1_000.0;
        Simulation {
            random: SplitMix64(seed),
            balancer: Balancer::new(settings, seed, now).unwrap(),
            names,
            classes,
            now,
            pending: BTreeMap::new(),
            scheduled_events: 0,
            attempts: BTreeMap::new(),
            digest: blake3::Hasher::new(),
            actions: 0,
        }
    }

    fn schedule(&mut self, after: Time, event: Scheduled) {
        self.scheduled_events += 1;
        self.pending
            .insert(((self.now + after).to_bits(), self.scheduled_events), event);
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.carry_out(action);
        }
    }

    /// Adds the numbers in an action to the digest, which does not depend on any names.
    fn record(&mut self, action: &Action) {
        const NONE: f64 = -1.0;
        let (kind, first, second, time): (u8, u64, u64, Time) = match action {
            Action::Attempt {
                request,
                server,
                timeout,
            } => (
                0,
                (*request).into(),
                (*server).into(),
                timeout.unwrap_or(NONE),
            ),
            Action::Reject {
                request,
                retry_after,
            } => (1, (*request).into(), 0, retry_after.unwrap_or(NONE)),
            Action::Fail { request } => (2, (*request).into(), 0, NONE),
            Action::Cancel { request, attempt } => (3, (*request).into(), (*attempt).into(), NONE),
            Action::Watch => (4, 0, 0, NONE),
            Action::HealthCheck { server } => (5, (*server).into(), 0, NONE),
            Action::StartTimer { after, tag } => (6, *tag, 0, *after),
        };
        self.actions += 1;
        self.digest
            .update(&self.now.to_bits().to_le_bytes())
            .update(&[kind]);
        self.digest
            .update(&first.to_le_bytes())
            .update(&second.to_le_bytes());
        self.digest.update(&time.to_bits().to_le_bytes());
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Attempt {
                request,
                server,
                timeout,
            } => {
                let attempts = self.attempts.entry(request).or_default();
                let number = *attempts;
                *attempts += 1;
                let (outcome, duration) = self.random_end(server, timeout);
                let end = Scheduled::AttemptEnd {
                    request,
                    attempt: number,
                    server,
                    sent_at: self.now,
                    outcome,
                };
                self.schedule(duration, end);
            }
            Action::StartTimer { after, tag } => self.schedule(after, Scheduled::Timer(tag)),
            Action::Watch => {
                let listed = self.endpoints(|_| ServerState::Up);
                let update_kind = if self.random.below(3) == 0 {
                    UpdateKind::Failed
                } else {
                    UpdateKind::Snapshot
                };
                self.handle(Event::EndpointUpdate {
                    kind: update_kind,
                    endpoints: listed,
                });
            }
            _ => {}
        }
    }

    /// The outcome and the duration of an attempt: servers differ in speed, and one of seven fails often for half of
    /// the time.
    fn random_end(&mut self, server: ServerId, timeout: Option<Time>) -> (Outcome, Time) {
        let slowness = 1.0 + f64::from(server % 5) * 0.6;
        let duration = 0.02 * slowness * (0.3 + 1.4 * self.random.next_fraction());
        let is_faulty = server % 7 == 3 && (self.now / 8.0) as u64 % 2 == 1;
        let outcome = match self.random.below(if is_faulty { 8 } else { 80 }) {
            0 => Outcome::Error,
            1 => Outcome::ConnectionLost,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Rejected,
            4 | 5 => Outcome::TimedOut,
            _ => Outcome::Served,
        };
        match (outcome, timeout) {
            (Outcome::TimedOut, timeout) => (outcome, timeout.unwrap_or(0.45)),
            (_, Some(timeout)) if duration > timeout => (Outcome::TimedOut, timeout),
            _ => (outcome, duration),
        }
    }

    fn endpoints(&mut self, state: impl Fn(u32) -> ServerState) -> Vec<Endpoint> {
        let mut endpoints = Vec::new();
        for server in 0..24u32 {
            let listed = ListedEndpoint {
                name: &format!("server-{server}"),
                zone: Some(["north", "south", "east"][server as usize % 3]),
                machine_type: Some(["small", "large"][server as usize % 2]),
                cell: server / 4,
                state: state(server),
                weight: (server % 4 != 3).then(|| 0.5 + f64::from(server % 4)),
                started_at: server
                    .is_multiple_of(5)
                    .then_some(self.now - f64::from(server % 3)),
            };
            endpoints.push(self.names.endpoint(&listed));
        }
        endpoints
    }

    /// Changes the state of one server, or fails to update the list.
    fn change_list(&mut self) {
        let target = self.random.below(24) as u32;
        let state =
            [ServerState::Draining, ServerState::Removed, ServerState::Up][self.random.below(3)];
        let state_of = |id: u32| if id == target { state } else { ServerState::Up };
        let mut listed = self.endpoints(state_of);
        let update_kind = match self.random.below(4) {
            0 => {
                listed.remove(target as usize);
                UpdateKind::Snapshot
            }
            1 => UpdateKind::Failed,
            _ => {
                listed.retain(|endpoint| endpoint.server == target || endpoint.server % 9 == 0);
                UpdateKind::Delta
            }
        };
        self.handle(Event::EndpointUpdate {
            kind: update_kind,
            endpoints: listed,
        });
    }

    /// Submits a random request, which may be followed by an upload, a disconnection, a started response or a verdict.
    fn submit(&mut self, request: RequestId) {
        let class = self.random.below(self.classes + 1) as ClassId;
        let tenant = ["ada", "obi", "nobody"][self.random.below(3)];
        let tenant = self.names.tenant(tenant);
        let hint = (self.random.below(3) > 0).then(|| 0.01 + 0.05 * self.random.next_fraction());
        let key = (self.random.below(4) > 0)
            .then(|| stable_hash(&format!("key-{}", self.random.below(60))));
        let time_left = 0.15 + 0.6 * self.random.next_fraction();
        self.handle(Event::Request {
            request,
            class,
            tenant,
            work_hint: hint,
            key,
            remaining: time_left,
        });
        match self.random.below(30) {
            0 => self.schedule(0.03, Scheduled::Disconnect(request)),
            1 => {
                self.handle(Event::Upload {
                    request,
                    remaining: None,
                });
                self.schedule(0.04, Scheduled::UploadEnd(request));
            }
            2 => self.handle(Event::ResponseStarted {
                request,
                attempt: 0,
                latency: 0.01,
            }),
            3 => {
                let server = self.random.below(24) as ServerId;
                let (until, sends_trials) = (
                    self.now + self.random.next_fraction(),
                    self.random.below(2) == 0,
                );
                self.handle(Event::PeerVerdict {
                    server,
                    until,
                    is_prober: sends_trials,
                });
            }
            _ => {}
        }
    }

    fn handle_scheduled(&mut self, event: Scheduled) {
        match event {
            Scheduled::Timer(tag) => self.handle(Event::Timer { tag }),
            Scheduled::Disconnect(request) => self.handle(Event::ClientGone { request }),
            Scheduled::UploadEnd(request) => self.handle(Event::Upload {
                request,
                remaining: Some(0.3),
            }),
            Scheduled::AttemptEnd {
                request,
                attempt,
                server,
                sent_at,
                outcome,
            } => {
                let is_answered = outcome == Outcome::Served || self.random.below(40) == 0;
                let latency = self.now - sent_at;
                let load = Some(LoadReport {
                    in_flight: Some(2.0),
                    ..LoadReport::default()
                });
                self.handle(Event::AttemptEnded {
                    request,
                    attempt,
                    server,
                    outcome,
                    latency,
                    request_ended: is_answered,
                    load,
                });
            }
        }
    }

    /// Runs for some seconds, in which requests arrive at random intervals with this mean rate per second.
    fn run(&mut self, seconds: Time, rate: f64) {
        let end = self.now + seconds;
        let mut next_arrival = self.now;
        let mut request = self
            .attempts
            .last_key_value()
            .map_or(0, |(last, _)| last + 1_000_000);
        while self.now < end {
            let earliest = self
                .pending
                .first_key_value()
                .map(|((bits, _), _)| f64::from_bits(*bits));
            match earliest.filter(|time| *time <= next_arrival) {
                Some(time) => {
                    self.now = self.now.max(time);
                    if let Some((_, event)) = self.pending.pop_first() {
                        self.handle_scheduled(event);
                    }
                }
                None => {
                    self.now = self.now.max(next_arrival);
                    self.submit(request);
                    request += 1;
                    next_arrival += 2.0 * self.random.next_fraction() / rate;
                    if self.random.below(150) == 0 {
                        self.change_list();
                    }
                }
            }
        }
    }

    /// Replaces the balancer by a new one that adopts its learned state.
    fn replace_balancer(&mut self, json: &str) {
        let learned = self.balancer.learned(self.now);
        let (settings, _, _) = settings::read(json).unwrap();
        self.balancer = Balancer::new(settings, 77, self.now).unwrap();
        self.pending.clear();
        let listed = self.endpoints(|_| ServerState::Up);
        self.handle(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: listed,
        });
        self.balancer.adopt(self.now, &learned);
        for probability in &self.balancer.automaton().probability {
            self.digest.update(&probability.to_bits().to_le_bytes());
        }
        let json = serde_json::to_string(&learned).unwrap();
        self.digest.update(json.as_bytes());
    }
}

fn digest(json: &str, seed: u64) -> String {
    let mut simulation = Simulation::new(json, seed);
    let listed = simulation.endpoints(|_| ServerState::Up);
    simulation.handle(Event::EndpointUpdate {
        kind: UpdateKind::Cached,
        endpoints: listed,
    });
    simulation.run(12.0, 300.0);
    simulation.run(4.0, 1_500.0);
    simulation.replace_balancer(json);
    simulation.run(8.0, 300.0);
    assert!(
        simulation.actions > 10_000,
        "{} actions",
        simulation.actions
    );
    simulation.digest.finalize().to_hex().to_string()
}

#[test]
fn decisions_match_the_recorded_ones() {
    let mut lines = Vec::new();
    for (name, json) in DEPLOYMENTS {
        for seed in 1..=8 {
            lines.push(format!("{name} {seed} {}", digest(json, seed)));
        }
    }
    assert_eq!(lines, GOLDEN.lines().collect::<Vec<_>>());
}
