//! The work that all nodes of a fleet together send to a server in its slow start, in virtual time.

mod common;

use common::{class, endpoint_of, settings};
use reelfall_balancer::interface::*;
use reelfall_balancer::Balancer;

/// Mean work of a request, and the rules of a deployment for servers in their slow start.
#[derive(Clone, Copy, Debug)]
struct Deployment {
    /// In seconds on a standard core.
    work: f64,
    start_capacity: f64,
    warm_up_time: f64,
    overload_factor: f64,
    window: f64,
    /// Requests state their work.
    has_work_hints: bool,
}

const DEPLOYMENTS: [Deployment; 3] = [
    Deployment {
        work: 0.035,
        start_capacity: 0.33,
        warm_up_time: 8.9,
        overload_factor: 3.0,
        window: 1.0,
        has_work_hints: true,
    },
    Deployment {
        work: 0.05,
        start_capacity: 0.14,
        warm_up_time: 23.0,
        overload_factor: 3.0,
        window: 2.0,
        has_work_hints: false,
    },
    Deployment {
        work: 0.01,
        start_capacity: 0.5,
        warm_up_time: 5.0,
        overload_factor: 2.0,
        window: 5.0,
        has_work_hints: true,
    },
];

/// Capacity of a warm server, in standard cores. It is the capacity that nodes assume before they have observed more,
/// so that an estimate that is too low adds no margin to the test.
const CAPACITY: f64 = 0.5;
const WARM_SERVERS: u32 = 6;
/// Time between two steps of the simulation, in seconds.
const STEP: f64 = 0.02;

struct SplitMix64(u64);

impl SplitMix64 {
    /// Uniform in [0, 1).
    fn next_fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let bits = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The load of the fleet around the start of the server, and what else happens then.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// There are no requests for a while, then far more than all servers can handle.
    IdleThenBurst,
    /// There are always far more requests than all servers can handle.
    Overload,
    /// As in an overload, and each node restarts once.
    NodeRestarts,
    /// As in an overload, and the server leaves the list and returns.
    ServerFlaps,
    /// One node gets nine tenths of the requests.
    UnevenTraffic,
}

const SCENARIOS: [Scenario; 5] = [
    Scenario::IdleThenBurst,
    Scenario::Overload,
    Scenario::NodeRestarts,
    Scenario::ServerFlaps,
    Scenario::UnevenTraffic,
];

struct Fleet {
    deployment: Deployment,
    seed: u64,
    /// Each node with the number of requests that it has yet to get, a fraction included.
    nodes: Vec<(Balancer, f64)>,
    /// The time and the work of each request sent to the starting server.
    sent: Vec<(f64, f64)>,
    next_request: RequestId,
    random: SplitMix64,
    /// Work that the starting server can currently handle, in seconds on a standard core.
    available_work: f64,
}

/// The server in its slow start.
fn starting_endpoint() -> Endpoint {
    Endpoint {
        started_at: 1.0,
        ..endpoint_of(WARM_SERVERS)
    }
}

impl Fleet {
    fn new(deployment: Deployment, nodes: u32, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            deployment,
            seed,
            nodes: vec![],
            sent: vec![],
            next_request: 0,
            random: SplitMix64(seed),
            available_work: 0.0,
        };
        fleet.nodes = (0..nodes)
            .map(|index| (fleet.start_node(index, nodes, 0.0, false), 0.0))
            .collect();
        fleet
    }

    fn start_node(
        &mut self,
        index: u32,
        nodes: u32,
        now: f64,
        lists_starting_server: bool,
    ) -> Balancer {
        let mut node_settings = settings(vec![class(Idempotency::Idempotent)]);
        (node_settings.node_count, node_settings.node_index) = (nodes, Some(index));
        let Deployment {
            start_capacity,
            warm_up_time,
            overload_factor,
            window,
            ..
        } = self.deployment;
        node_settings.rules = Rules {
            initial_capacity: start_capacity,
            slow_start_duration: warm_up_time,
            overload_factor,
            overload_window: window,
            ..node_settings.rules
        };
        // The initial estimate of the work of a request is a quarter of the latency objective, and here the true value.
        node_settings.classes[0].latency_objective = 4.0 * self.deployment.work;
        let seed = self.seed ^ (u64::from(index) << 32) ^ now.to_bits();
        let mut node = Balancer::new(node_settings, seed, now).expect("valid settings");
        let listed = (0..WARM_SERVERS)
            .map(endpoint_of)
            .chain(lists_starting_server.then(starting_endpoint))
            .collect();
        node.handle(
            now,
            Event::EndpointUpdate {
                kind: UpdateKind::Cached,
                endpoints: listed,
            },
            &mut vec![],
        );
        node
    }

    fn update_endpoints(&mut self, now: f64, update_kind: UpdateKind, listed: &[Endpoint]) {
        for (node, _) in &mut self.nodes {
            let listed = listed.to_vec();
            node.handle(
                now,
                Event::EndpointUpdate {
                    kind: update_kind,
                    endpoints: listed,
                },
                &mut vec![],
            );
        }
    }

    /// Submits a request to a node and ends its attempt. Warm servers serve every request. The starting server serves
    /// those that it can handle; the others are cancelled, so that nodes do not learn from them that it sustains more.
    fn submit(&mut self, node: usize, now: f64) {
        let work = match self.deployment.has_work_hints {
            true => -self.deployment.work * (1.0 - self.random.next_fraction()).ln(),
            false => self.deployment.work,
        };
        let (request, mut actions) = (self.next_request, vec![]);
        self.next_request += 1;
        let hint = self.deployment.has_work_hints.then_some(work);
        let event = Event::Request {
            request,
            class: 0,
            tenant: None,
            work_hint: hint,
            key: None,
            remaining: 0.6,
        };
        self.nodes[node].0.handle(now, event, &mut actions);
        let Some(Action::Attempt { server, .. }) = actions.first() else {
            return;
        };
        let mut outcome = Outcome::Served;
        if *server == WARM_SERVERS {
            self.sent.push((now, work));
            if self.available_work < work {
                outcome = Outcome::Cancelled;
            } else {
                self.available_work -= work;
            }
        }
        let event = Event::AttemptEnded {
            request,
            attempt: 0,
            server: *server,
            outcome,
            latency: self.deployment.work,
            request_ended: true,
            load: None,
        };
        self.nodes[node]
            .0
            .handle(now + self.deployment.work, event, &mut vec![]);
    }

    /// The capacity of the starting server, as a fraction of that of a warm one.
    fn capacity_fraction(&self, now: f64) -> f64 {
        let Deployment {
            start_capacity,
            warm_up_time,
            ..
        } = self.deployment;
        (start_capacity + (1.0 - start_capacity) * (now - 1.0) / warm_up_time).min(1.0)
    }

    /// The greatest work that was sent in a window, as a multiple of the limit. With N as the number of requests that
    /// the server tolerates in the window, the limit is N + 2 sqrt(N) + 2 requests, as requests are sent at random.
    fn peak_load(&self) -> f64 {
        let Deployment {
            work,
            overload_factor,
            window,
            ..
        } = self.deployment;
        let (mut peak, mut first, mut sum) = (0.0, 0, 0.0);
        for (sent_at, amount) in &self.sent {
            sum += amount;
            while self.sent[first].0 < sent_at - window {
                sum -= self.sent[first].1;
                first += 1;
            }
            let tolerated =
                overload_factor * CAPACITY * self.capacity_fraction(*sent_at) * window / work;
            peak = f64::max(
                peak,
                sum / work / (tolerated + 2.0 * tolerated.sqrt() + 2.0),
            );
        }
        peak
    }
}

/// Simulates five seconds, of which four follow the start of the server. Returns its peak load and the work that it was
/// sent, in mean requests. All other servers begin to drain when it starts, so that only its slow start credit limits
/// what it is sent.
fn simulate(deployment: Deployment, nodes: u32, scenario: Scenario, seed: u64) -> (f64, f64) {
    let mut fleet = Fleet::new(deployment, nodes, seed);
    // The number of requests per node and step that the warm servers can handle.
    let full_load = f64::from(WARM_SERVERS) * CAPACITY / deployment.work * STEP / f64::from(nodes);
    let restarts: Vec<f64> = (0..nodes)
        .map(|_| 1.5 + 2.0 * fleet.random.next_fraction())
        .collect();
    let mut is_listed = false;
    for step in 0..250 {
        let now = f64::from(step) * STEP;
        if now >= 1.0 && !is_listed {
            is_listed = true;
            let draining = (0..WARM_SERVERS).map(|server| Endpoint {
                state: ServerState::Draining,
                ..endpoint_of(server)
            });
            fleet.update_endpoints(
                now,
                UpdateKind::Delta,
                &draining.chain([starting_endpoint()]).collect::<Vec<_>>(),
            );
        }
        if scenario == Scenario::ServerFlaps && [80, 81, 110, 111].contains(&step) {
            let state = if step % 10 == 0 {
                ServerState::Removed
            } else {
                ServerState::Up
            };
            fleet.update_endpoints(
                now,
                UpdateKind::Delta,
                &[Endpoint {
                    state,
                    ..starting_endpoint()
                }],
            );
        }
        if is_listed {
            fleet.available_work = (fleet.available_work
                + CAPACITY * fleet.capacity_fraction(now) * STEP)
                .min(deployment.work.max(CAPACITY * STEP));
        }
        for (index, restart) in restarts.iter().enumerate() {
            if scenario == Scenario::NodeRestarts && (*restart..restart + STEP).contains(&now) {
                fleet.nodes[index].0 = fleet.start_node(index as u32, nodes, now, true);
            }
            fleet.nodes[index]
                .0
                .handle(now, Event::Timer { tag: 0 }, &mut vec![]);
            let arriving = match scenario {
                Scenario::IdleThenBurst if now < 2.5 => 0.0,
                // The burst uses all accumulated credit at once.
                Scenario::IdleThenBurst => full_load * 10.0,
                Scenario::UnevenTraffic if index == 0 => full_load * 0.9 * f64::from(nodes),
                Scenario::UnevenTraffic => full_load * 0.1,
                _ => full_load,
            };
            fleet.nodes[index].1 += arriving;
            while fleet.nodes[index].1 >= 1.0 {
                fleet.nodes[index].1 -= 1.0;
                fleet.submit(index, now);
            }
        }
    }
    (
        fleet.peak_load(),
        fleet
            .sent
            .iter()
            .map(|(_, work)| work / deployment.work)
            .sum(),
    )
}

#[test]
fn all_nodes_together_do_not_overload_a_server_in_slow_start() {
    let mut highest = (0.0, String::new());
    for deployment in DEPLOYMENTS {
        for nodes in [1, 5, 20, 30, 120] {
            for scenario in SCENARIOS {
                for seed in 0..SEEDS {
                    let (peak, _) = simulate(deployment, nodes, scenario, seed);
                    if peak > highest.0 {
                        highest = (
                            peak,
                            format!("{nodes} nodes, {scenario:?}, seed {seed}, {deployment:?}"),
                        );
                    }
                }
            }
        }
    }
    assert!(
        highest.0 <= 1.0,
        "{:.2} of the limit: {}",
        highest.0,
        highest.1
    );
}

#[test]
fn server_in_slow_start_gets_at_least_half_of_the_work_that_it_can_handle() {
    for deployment in DEPLOYMENTS {
        for nodes in [1, 5, 30, 120] {
            let sent: f64 = (0..10)
                .map(|seed| simulate(deployment, nodes, Scenario::Overload, seed).1 / 10.0)
                .sum();
            // In four seconds at its initial capacity.
            let possible = 4.0 * CAPACITY * deployment.start_capacity / deployment.work;
            assert!(
                sent > 0.5 * possible,
                "{sent:.0} of {possible:.0} with {nodes} nodes, {deployment:?}"
            );
        }
    }
}

/// Number of seeds per combination of deployment, number of nodes and scenario; there are 75 combinations.
const SEEDS: u64 = 14;
