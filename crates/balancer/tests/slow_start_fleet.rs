//! What all nodes of a fleet send to a server that has just started, in virtual time.

mod common;

use common::{class, entry, settings};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

/// Mean work of a request, and how a deployment limits what a cold server may be sent.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    work: f64,
    cold_from: f64,
    warm_after: f64,
    overload_factor: f64,
    tip_after: f64,
    hints: bool,
}

const DEPLOYMENTS: [Deployment; 3] = [
    Deployment {
        work: 0.035,
        cold_from: 0.33,
        warm_after: 8.9,
        overload_factor: 3.0,
        tip_after: 1.0,
        hints: true,
    },
    Deployment {
        work: 0.05,
        cold_from: 0.14,
        warm_after: 23.0,
        overload_factor: 3.0,
        tip_after: 2.0,
        hints: false,
    },
    Deployment {
        work: 0.01,
        cold_from: 0.5,
        warm_after: 5.0,
        overload_factor: 2.0,
        tip_after: 5.0,
        hints: true,
    },
];

/// What a server can do when it is warm, in seconds of work a second: what nodes take for granted before they have seen
/// more, so that no margin comes from an estimate that is too low.
const CAPACITY: f64 = 0.5;
const WARM: u32 = 6;
const STEP: f64 = 0.02;

/// SplitMix64.
struct Chance(u64);

impl Chance {
    fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What happens to the fleet around the start of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// Nothing is asked for a while, then far more than all servers can do.
    IdleThenBurst,
    /// Far more than all can do, all the time.
    Flood,
    /// The same, and each node is started again once.
    Restarts,
    /// The same, and the server is taken off the list and put back.
    Flaps,
    /// One node gets nine tenths of what is asked.
    Uneven,
}

const WAYS: [Way; 5] = [
    Way::IdleThenBurst,
    Way::Flood,
    Way::Restarts,
    Way::Flaps,
    Way::Uneven,
];

struct Fleet {
    of: Deployment,
    seed: u64,
    nodes: Vec<(Balancer, f64)>,
    sent: Vec<(f64, f64)>,
    next: RequestId,
    chance: Chance,
    /// Work that the cold server can still do at the moment.
    able: f64,
}

fn cold() -> Endpoint {
    Endpoint {
        started_at: 1.0,
        ..entry(WARM)
    }
}

impl Fleet {
    fn new(of: Deployment, nodes: u32, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            of,
            seed,
            nodes: vec![],
            sent: vec![],
            next: 0,
            chance: Chance(seed),
            able: 0.0,
        };
        fleet.nodes = (0..nodes)
            .map(|n| (fleet.started(n, nodes, 0.0, false), 0.0))
            .collect();
        fleet
    }

    fn started(&mut self, number: u32, nodes: u32, now: f64, with_cold: bool) -> Balancer {
        let mut s = settings(vec![class(Idempotency::Idempotent)]);
        (s.node_count, s.node_index) = (nodes, Some(number));
        let Deployment {
            cold_from,
            warm_after,
            overload_factor,
            tip_after,
            ..
        } = self.of;
        s.rules = Rules {
            initial_capacity: cold_from,
            slow_start_duration: warm_after,
            overload_factor,
            overload_window: tip_after,
            ..s.rules
        };
        // As much as a node may learn that a request takes, learned already.
        s.classes[0].latency_objective = 4.0 * self.of.work;
        let seed = self.seed ^ (u64::from(number) << 32) ^ now.to_bits();
        let mut node = Balancer::new(s, seed, now).expect("usable settings");
        let entries = (0..WARM).map(entry).chain(with_cold.then(cold)).collect();
        node.handle(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints: entries,
            },
            &mut vec![],
        );
        node
    }

    fn list(&mut self, now: f64, list: UpdateKind, entries: &[Endpoint]) {
        for (node, _) in &mut self.nodes {
            let entries = entries.to_vec();
            node.handle(
                now,
                Event::EndpointUpdate {
                    kind: list,
                    endpoints: entries,
                },
                &mut vec![],
            );
        }
    }

    /// One request at a node. A warm server answers at once, a cold one as many as it can do: what it is sent beyond that
    /// teaches nobody that it bears more.
    fn ask(&mut self, n: usize, now: f64) {
        let work = match self.of.hints {
            true => -self.of.work * (1.0 - self.chance.draw()).ln(),
            false => self.of.work,
        };
        let (request, mut actions) = (self.next, vec![]);
        self.next += 1;
        let hint = self.of.hints.then_some(work);
        let event = Event::Request {
            request,
            class: 0,
            tenant: None,
            work_hint: hint,
            key: None,
            remaining: 0.6,
        };
        self.nodes[n].0.handle(now, event, &mut actions);
        let Some(Action::Attempt { server, .. }) = actions.first() else {
            return;
        };
        let mut outcome = Outcome::Served;
        if *server == WARM {
            self.sent.push((now, work));
            if self.able < work {
                outcome = Outcome::Cancelled;
            } else {
                self.able -= work;
            }
        }
        let event = Event::AttemptEnded {
            request,
            attempt: 0,
            server: *server,
            outcome,
            latency: self.of.work,
            request_ended: true,
            load: None,
        };
        self.nodes[n]
            .0
            .handle(now + self.of.work, event, &mut vec![]);
    }

    fn warmth(&self, now: f64) -> f64 {
        let Deployment {
            cold_from,
            warm_after,
            ..
        } = self.of;
        (cold_from + (1.0 - cold_from) * (now - 1.0) / warm_after).min(1.0)
    }

    /// The most that was sent in a window, as a part of what may be put down to chance: N + 2 root N + 2.
    fn worst(&self) -> f64 {
        let Deployment {
            work,
            overload_factor,
            tip_after,
            ..
        } = self.of;
        let (mut worst, mut first, mut sum) = (0.0, 0, 0.0);
        for (at, amount) in &self.sent {
            sum += amount;
            while self.sent[first].0 < at - tip_after {
                sum -= self.sent[first].1;
                first += 1;
            }
            let n = overload_factor * CAPACITY * self.warmth(*at) * tip_after / work;
            worst = f64::max(worst, sum / work / (n + 2.0 * n.sqrt() + 2.0));
        }
        worst
    }
}

/// Plays four seconds around a start and gives the worst window and all that the cold server got. When it starts, all
/// others begin to drain: nothing but its budget keeps the fleet from it.
fn play(of: Deployment, nodes: u32, way: Way, seed: u64) -> (f64, f64) {
    let mut fleet = Fleet::new(of, nodes, seed);
    // As much as the warm servers can do, for each node and step.
    let full = f64::from(WARM) * CAPACITY / of.work * STEP / f64::from(nodes);
    let restarts: Vec<f64> = (0..nodes)
        .map(|_| 1.5 + 2.0 * fleet.chance.draw())
        .collect();
    let mut listed = false;
    for step in 0..250 {
        let now = f64::from(step) * STEP;
        if now >= 1.0 && !listed {
            listed = true;
            let drains = (0..WARM).map(|n| Endpoint {
                state: ServerState::Draining,
                ..entry(n)
            });
            fleet.list(
                now,
                UpdateKind::Delta,
                &drains.chain([cold()]).collect::<Vec<_>>(),
            );
        }
        if way == Way::Flaps && [80, 81, 110, 111].contains(&step) {
            let state = if step % 10 == 0 {
                ServerState::Removed
            } else {
                ServerState::Up
            };
            fleet.list(now, UpdateKind::Delta, &[Endpoint { state, ..cold() }]);
        }
        if listed {
            fleet.able = (fleet.able + CAPACITY * fleet.warmth(now) * STEP)
                .min(of.work.max(CAPACITY * STEP));
        }
        for (n, restart) in restarts.iter().enumerate() {
            if way == Way::Restarts && (*restart..restart + STEP).contains(&now) {
                fleet.nodes[n].0 = fleet.started(n as u32, nodes, now, true);
            }
            fleet.nodes[n]
                .0
                .handle(now, Event::Timer { tag: 0 }, &mut vec![]);
            let asked = match way {
                Way::IdleThenBurst if now < 2.5 => 0.0,
                // What was saved goes at once.
                Way::IdleThenBurst => full * 10.0,
                Way::Uneven if n == 0 => full * 0.9 * f64::from(nodes),
                Way::Uneven => full * 0.1,
                _ => full,
            };
            fleet.nodes[n].1 += asked;
            while fleet.nodes[n].1 >= 1.0 {
                fleet.nodes[n].1 -= 1.0;
                fleet.ask(n, now);
            }
        }
    }
    (
        fleet.worst(),
        fleet.sent.iter().map(|(_, w)| w / of.work).sum(),
    )
}

#[test]
fn all_nodes_together_keep_within_what_a_cold_server_bears() {
    let mut worst = (0.0, String::new());
    for of in DEPLOYMENTS {
        for nodes in [1, 5, 20, 30, 120] {
            for way in WAYS {
                for seed in 0..SEEDS {
                    let (at, _) = play(of, nodes, way, seed);
                    if at > worst.0 {
                        worst = (at, format!("{nodes} nodes, {way:?}, seed {seed}, {of:?}"));
                    }
                }
            }
        }
    }
    assert!(worst.0 <= 1.0, "{:.2} of the limit: {}", worst.0, worst.1);
}

#[test]
fn a_cold_server_still_gets_what_it_can_do() {
    for of in DEPLOYMENTS {
        for nodes in [1, 5, 30, 120] {
            let got: f64 = (0..10)
                .map(|seed| play(of, nodes, Way::Flood, seed).1 / 10.0)
                .sum();
            // Four seconds at its least.
            let able = 4.0 * CAPACITY * of.cold_from / of.work;
            assert!(
                got > 0.5 * able,
                "{got:.0} of {able:.0} with {nodes} nodes, {of:?}"
            );
        }
    }
}

/// Drawn anew for each fleet, way and deployment; 75 of these are played for each.
const SEEDS: u64 = 14;
