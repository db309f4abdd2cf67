//! A balancer and the reference, which get the same updates and are compared after each of them.

use crate::common;
use crate::random::SplitMix64;
use crate::reference::{Reference, SEED};
use reelfall_balancer::interface::{
    Action, Endpoint, Event, MachineTypeId, ServerId, ServerState, Settings, Time, UpdateKind,
};
use reelfall_balancer::Balancer;

/// The greatest difference between a value of the two, as a fraction of the greater one.
const MAX_RELATIVE_ERROR: f64 = 1e-9;

pub struct Comparison {
    node: Balancer,
    reference: Reference,
    pub now: Time,
    rng: SplitMix64,
    /// The servers that may be listed, by their ids.
    pub servers: Vec<Endpoint>,
    /// The steps so far, for the messages of failed assertions.
    steps: Vec<String>,
}

impl Comparison {
    pub fn new(seed: u64, servers: u32, settings: Settings) -> Comparison {
        let node = Balancer::new(settings.clone(), SEED, 0.0).expect("valid settings");
        let mut rng = SplitMix64::new(seed);
        let servers = (0..servers)
            .map(|server| random_endpoint(&mut rng, server))
            .collect();
        Comparison {
            node,
            reference: Reference::new(settings),
            now: 0.0,
            rng,
            servers,
            steps: vec![],
        }
    }

    pub fn update(&mut self, kind: UpdateKind, endpoints: Vec<Endpoint>) {
        self.steps
            .push(format!("{} {kind:?} of {}", self.now, endpoints.len()));
        let retry_after = self.reference.update(self.now, kind, &endpoints);
        let mut actions = vec![];
        let event = Event::EndpointUpdate { kind, endpoints };
        self.node.handle(self.now, event, &mut actions);
        if let Some(retry_after) = retry_after {
            let is_retry_timer = |action: &Action| matches!(action, Action::StartTimer { after, .. } if *after == retry_after);
            assert!(
                actions.iter().any(is_retry_timer),
                "the balancer drew another random number: {actions:?}, expected a delay of {retry_after}, after {:?}",
                self.steps
            );
        }
        self.compare();
    }

    fn compare(&self) {
        let learned = self.node.learned(self.now);
        let probabilities = &self.node.automaton().probability;
        assert_eq!(
            probabilities.len(),
            self.reference.servers.len(),
            "after {:?}",
            self.steps
        );
        let servers = learned.servers.iter().zip(&self.reference.servers);
        for (index, (node, reference)) in servers.enumerate() {
            assert_eq!(
                node.hash, reference.endpoint.hash,
                "{index} after {:?}",
                self.steps
            );
            let pairs = [
                (probabilities[index], reference.probability),
                (node.mean_response, reference.mean_response),
                (node.slow_start_credit, reference.slow_start_credit),
            ];
            assert!(
                pairs
                    .iter()
                    .all(|(actual, expected)| is_close(*actual, *expected)),
                "{index}: {pairs:?} after {:?}",
                self.steps
            );
        }
    }

    pub fn step(&mut self) {
        self.now += self.rng.choose(&[0.1, 0.3, 0.7, 5.0, 70.0]);
        match self.rng.below(12) {
            0 | 1 => self.update_whole_list(UpdateKind::Snapshot),
            2 => self.update_whole_list(UpdateKind::Cached),
            3 => self.update(UpdateKind::Failed, vec![]),
            4..=6 => self.learn(),
            _ => self.update_delta(),
        }
    }

    pub fn update_whole_list(&mut self, kind: UpdateKind) {
        let listed_fraction = self.rng.next_fraction();
        let mut endpoints = vec![];
        for endpoint in &self.servers {
            if self.rng.next_fraction() < listed_fraction {
                endpoints.push(endpoint.clone());
            }
        }
        self.update(kind, endpoints);
    }

    /// Applies a random delta, which may contain endpoints in all states and several of the same server.
    fn update_delta(&mut self) {
        let servers = self.servers.len() as u32;
        let count = 1 + self.rng.below(servers);
        let up_fraction = self.rng.next_fraction();
        let mut endpoints = vec![];
        for _ in 0..count {
            let server = self.rng.below(servers);
            endpoints.push(self.random_change(server, up_fraction));
        }
        self.update(UpdateKind::Delta, endpoints);
    }

    /// A random endpoint for a server: up, perhaps restarted or with other properties, or draining or removed.
    fn random_change(&mut self, server: ServerId, up_fraction: f64) -> Endpoint {
        let index = server as usize;
        let is_up = self.rng.next_fraction() < up_fraction;
        if is_up && self.rng.below(4) == 0 {
            self.servers[index].started_at = self.now;
        } else if is_up && self.rng.below(8) == 0 {
            self.servers[index] = Endpoint {
                started_at: self.servers[index].started_at,
                ..random_endpoint(&mut self.rng, server)
            };
        }
        let state = if is_up {
            ServerState::Up
        } else {
            self.rng
                .choose(&[ServerState::Draining, ServerState::Removed])
        };
        Endpoint {
            state,
            ..self.servers[index].clone()
        }
    }

    /// Sets random probabilities, averages, credits and ejections, in place of those that responses would lead to.
    pub fn learn(&mut self) {
        self.steps.push(format!("{} learned", self.now));
        let mut learned = self.node.learned(self.now);
        for server in &mut learned.servers {
            let magnitude = self.rng.choose(&[1e-3, 0.1, 0.1, 1.0, 1.0, 3.0]);
            server.relative_probability = magnitude * (0.5 + self.rng.next_fraction());
            server.mean_response = 0.01 + 0.1 * self.rng.next_fraction();
            server.slow_start_credit = 0.1 * self.rng.next_fraction();
            server.ejected_for = self.rng.choose(&[0.0, 0.0, 0.4, 8.0]);
        }
        if let Some(first) = learned.servers.first_mut() {
            let has_nearly_all = self.rng.below(3) == 0;
            if has_nearly_all {
                first.relative_probability = 1e4;
            }
        }
        self.node.adopt(self.now, &learned);
        self.reference.adopt(self.now, &learned);
        self.compare();
    }
}

fn is_close(actual: f64, expected: f64) -> bool {
    (actual - expected).abs() <= MAX_RELATIVE_ERROR * actual.abs().max(expected.abs())
}

fn random_endpoint(rng: &mut SplitMix64, server: ServerId) -> Endpoint {
    let weight = 0.1 + 4.0 * rng.next_fraction();
    Endpoint {
        machine_type: rng.below(4) as MachineTypeId,
        weight,
        ..common::endpoint_of(server)
    }
}
