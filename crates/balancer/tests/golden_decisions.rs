//! The decision module answers a drawn load with the actions that it had at commit c58caac, to the last bit of each time.
//! `golden/decisions.blake3` has a line for each deployment and seed. The module has no randomness and no clock of its own,
//! so a digest that differs is a decision that differs.

use reelfall_balancer::interface::*;
use reelfall_balancer::settings::{self, stable_hash, ListedEndpoint, NameRegistry};
use reelfall_balancer::Balancer;
use std::collections::BTreeMap;

const GOLDEN: &str = include_str!("golden/decisions.blake3");
const DEPLOYMENTS: [(&str, &str); 2] = [
    ("keyed", include_str!("golden/settings-keyed.json")),
    ("zones", include_str!("golden/settings-zones.json")),
];

/// SplitMix64: the load is drawn by a generator of the test's own, so that no library can change it.
struct Random(u64);

impl Random {
    fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, n: usize) -> usize {
        (self.bits() % n as u64) as usize
    }
}

enum Due {
    Timer(u64),
    Ends {
        request: RequestId,
        attempt: u32,
        server: ServerId,
        sent: Time,
        outcome: Outcome,
    },
    Uploaded(RequestId),
    Gone(RequestId),
}

struct Play {
    random: Random,
    balancer: Balancer,
    names: NameRegistry,
    classes: usize,
    now: Time,
    due: BTreeMap<(u64, u64), Due>,
    scheduled: u64,
    made: BTreeMap<RequestId, u32>,
    digest: blake3::Hasher,
    actions: u64,
}

impl Play {
    fn new(json: &str, seed: u64) -> Play {
        let (settings, names, _) = settings::read(json).unwrap();
        let classes = settings.classes.len();
        let now = 1_000.0;
        Play {
            random: Random(seed),
            balancer: Balancer::new(settings, seed, now).unwrap(),
            names,
            classes,
            now,
            due: BTreeMap::new(),
            scheduled: 0,
            made: BTreeMap::new(),
            digest: blake3::Hasher::new(),
            actions: 0,
        }
    }

    fn schedule(&mut self, after: Time, due: Due) {
        self.scheduled += 1;
        self.due
            .insert(((self.now + after).to_bits(), self.scheduled), due);
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.record(&action);
            self.carry_out(action);
        }
    }

    /// Adds an action to the digest by the numbers that it holds, whatever its names are.
    fn record(&mut self, action: &Action) {
        const NONE: f64 = -1.0;
        let (kind, who, what, time): (u8, u64, u64, Time) = match action {
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
            .update(&who.to_le_bytes())
            .update(&what.to_le_bytes());
        self.digest.update(&time.to_bits().to_le_bytes());
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Attempt {
                request,
                server,
                timeout,
            } => {
                let attempt = self.made.entry(request).or_default();
                let number = *attempt;
                *attempt += 1;
                let (outcome, takes) = self.draw_end(server, timeout);
                let ends = Due::Ends {
                    request,
                    attempt: number,
                    server,
                    sent: self.now,
                    outcome,
                };
                self.schedule(takes, ends);
            }
            Action::StartTimer { after, tag } => self.schedule(after, Due::Timer(tag)),
            Action::Watch => {
                let entries = self.entries(|_| ServerState::Up);
                let list = if self.random.below(3) == 0 {
                    UpdateKind::Failed
                } else {
                    UpdateKind::Snapshot
                };
                self.tell(Event::EndpointUpdate {
                    kind: list,
                    endpoints: entries,
                });
            }
            _ => {}
        }
    }

    /// How an attempt ends, and when: servers differ in speed, and one of seven is sick for half of the time.
    fn draw_end(&mut self, server: ServerId, timeout: Option<Time>) -> (Outcome, Time) {
        let speed = 1.0 + f64::from(server % 5) * 0.6;
        let takes = 0.02 * speed * (0.3 + 1.4 * self.random.unit());
        let sick = server % 7 == 3 && (self.now / 8.0) as u64 % 2 == 1;
        let outcome = match self.random.below(if sick { 8 } else { 80 }) {
            0 => Outcome::Error,
            1 => Outcome::ConnectionLost,
            2 => Outcome::ConnectFailed,
            3 => Outcome::Rejected,
            4 | 5 => Outcome::TimedOut,
            _ => Outcome::Served,
        };
        match (outcome, timeout) {
            (Outcome::TimedOut, timeout) => (outcome, timeout.unwrap_or(0.45)),
            (_, Some(timeout)) if takes > timeout => (Outcome::TimedOut, timeout),
            _ => (outcome, takes),
        }
    }

    fn entries(&mut self, state: impl Fn(u32) -> ServerState) -> Vec<Endpoint> {
        let mut entries = Vec::new();
        for n in 0..24u32 {
            let line = ListedEndpoint {
                name: &format!("server-{n}"),
                zone: Some(["north", "south", "east"][n as usize % 3]),
                machine_type: Some(["small", "large"][n as usize % 2]),
                cell: n / 4,
                state: state(n),
                weight: (n % 4 != 3).then(|| 0.5 + f64::from(n % 4)),
                started_at: n.is_multiple_of(5).then_some(self.now - f64::from(n % 3)),
            };
            entries.push(self.names.endpoint(&line));
        }
        entries
    }

    fn change_list(&mut self) {
        let victim = self.random.below(24) as u32;
        let state =
            [ServerState::Draining, ServerState::Removed, ServerState::Up][self.random.below(3)];
        let of = |n: u32| if n == victim { state } else { ServerState::Up };
        let mut entries = self.entries(of);
        let list = match self.random.below(4) {
            0 => {
                entries.remove(victim as usize);
                UpdateKind::Snapshot
            }
            1 => UpdateKind::Failed,
            _ => {
                entries.retain(|entry| entry.server == victim || entry.server % 9 == 0);
                UpdateKind::Delta
            }
        };
        self.tell(Event::EndpointUpdate {
            kind: list,
            endpoints: entries,
        });
    }

    fn arrive(&mut self, request: RequestId) {
        let class = self.random.below(self.classes + 1) as ClassId;
        let tenant = ["ada", "obi", "nobody"][self.random.below(3)];
        let tenant = self.names.tenant(tenant);
        let hint = (self.random.below(3) > 0).then(|| 0.01 + 0.05 * self.random.unit());
        let key = (self.random.below(4) > 0)
            .then(|| stable_hash(&format!("key-{}", self.random.below(60))));
        let left = 0.15 + 0.6 * self.random.unit();
        self.tell(Event::Request {
            request,
            class,
            tenant,
            work_hint: hint,
            key,
            remaining: left,
        });
        match self.random.below(30) {
            0 => self.schedule(0.03, Due::Gone(request)),
            1 => {
                self.tell(Event::Upload {
                    request,
                    remaining: None,
                });
                self.schedule(0.04, Due::Uploaded(request));
            }
            2 => self.tell(Event::ResponseStarted {
                request,
                attempt: 0,
                latency: 0.01,
            }),
            3 => {
                let server = self.random.below(24) as ServerId;
                let (until, tries) = (self.now + self.random.unit(), self.random.below(2) == 0);
                self.tell(Event::PeerVerdict {
                    server,
                    until,
                    is_prober: tries,
                });
            }
            _ => {}
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Timer(tag) => self.tell(Event::Timer { tag }),
            Due::Gone(request) => self.tell(Event::ClientGone { request }),
            Due::Uploaded(request) => self.tell(Event::Upload {
                request,
                remaining: Some(0.3),
            }),
            Due::Ends {
                request,
                attempt,
                server,
                sent,
                outcome,
            } => {
                let ended = outcome == Outcome::Served || self.random.below(40) == 0;
                let latency = self.now - sent;
                let load = Some(LoadReport {
                    in_flight: Some(2.0),
                    ..LoadReport::default()
                });
                self.tell(Event::AttemptEnded {
                    request,
                    attempt,
                    server,
                    outcome,
                    latency,
                    request_ended: ended,
                    load,
                });
            }
        }
    }

    /// Plays until this time; a request comes at each step.
    fn run(&mut self, seconds: Time, rate: f64) {
        let end = self.now + seconds;
        let mut next = self.now;
        let mut request = self
            .made
            .last_key_value()
            .map_or(0, |(last, _)| last + 1_000_000);
        while self.now < end {
            let first = self
                .due
                .first_key_value()
                .map(|((bits, _), _)| f64::from_bits(*bits));
            match first.filter(|at| *at <= next) {
                Some(at) => {
                    self.now = self.now.max(at);
                    if let Some((_, due)) = self.due.pop_first() {
                        self.happen(due);
                    }
                }
                None => {
                    self.now = self.now.max(next);
                    self.arrive(request);
                    request += 1;
                    next += 2.0 * self.random.unit() / rate;
                    if self.random.below(150) == 0 {
                        self.change_list();
                    }
                }
            }
        }
    }

    /// Puts a balancer that has learned nothing in the place of this one and gives it what that has learned.
    fn take_over(&mut self, json: &str) {
        let learned = self.balancer.learned(self.now);
        let (settings, _, _) = settings::read(json).unwrap();
        self.balancer = Balancer::new(settings, 77, self.now).unwrap();
        self.due.clear();
        let entries = self.entries(|_| ServerState::Up);
        self.tell(Event::EndpointUpdate {
            kind: UpdateKind::Cached,
            endpoints: entries,
        });
        self.balancer.adopt(self.now, &learned);
        for share in &self.balancer.automaton().probability {
            self.digest.update(&share.to_bits().to_le_bytes());
        }
        let json = serde_json::to_string(&learned).unwrap();
        self.digest.update(json.as_bytes());
    }
}

fn digest(json: &str, seed: u64) -> String {
    let mut play = Play::new(json, seed);
    let entries = play.entries(|_| ServerState::Up);
    play.tell(Event::EndpointUpdate {
        kind: UpdateKind::Cached,
        endpoints: entries,
    });
    play.run(12.0, 300.0);
    play.run(4.0, 1_500.0);
    play.take_over(json);
    play.run(8.0, 300.0);
    assert!(play.actions > 10_000, "{} actions", play.actions);
    play.digest.finalize().to_hex().to_string()
}

#[test]
fn decisions_are_those_that_they_were() {
    let mut lines = Vec::new();
    for (name, json) in DEPLOYMENTS {
        for seed in 1..=8 {
            lines.push(format!("{name} {seed} {}", digest(json, seed)));
        }
    }
    assert_eq!(lines, GOLDEN.lines().collect::<Vec<_>>());
}
