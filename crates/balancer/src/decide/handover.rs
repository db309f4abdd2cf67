//! Handover of the learned state from one balancer to its successor, so that a new process does not start untrained.

use super::departed::{DepartedServer, RETENTION};
use super::servers::Server;
use super::Balancer;
use crate::interface::{LearnedServer, LearnedState, Time};
use std::collections::HashMap;

/// Identifies one incarnation of a server: its hash and the bits of its start time, where -0 equals 0.
type Incarnation = (u64, u64);

fn incarnation(hash: u64, started_at: Time) -> Incarnation {
    (hash, (started_at + 0.0).to_bits())
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_usable(learned: &LearnedServer) -> bool {
    is_positive(learned.relative_probability)
        && is_positive(learned.mean_response)
        && learned.slow_start_credit.is_finite()
}

impl Balancer {
    /// Returns what this balancer has learned, for its successor.
    pub fn learned(&self, now: Time) -> LearnedState {
        let servers = self.servers.len() as f64;
        let learned = |(position, server): (usize, &Server)| LearnedServer {
            hash: server.endpoint.hash,
            started_at: server.endpoint.started_at,
            relative_probability: self.automaton.probability[position] * servers,
            mean_response: self.automaton.mean_response[position],
            slow_start_credit: server.credit.level,
            ejected_for: (server.health.ejected_until - now).max(0.0),
        };
        LearnedState {
            servers: self.servers.iter().enumerate().map(learned).collect(),
            class_work: self.work.all().to_vec(),
            typical_work: self.work.typical(),
            unloaded_response: self.unloaded_response,
            sustainable_work_rate: self.sustained_work.per_server(),
            admitted_fraction: self.admission.admitted_fraction(),
            zone_spill_weight: self.zone_spill.weight(),
        }
    }

    /// Takes over what another balancer has learned; the endpoint list has to be known before. Invalid values are
    /// ignored.
    pub fn adopt(&mut self, now: Time, learned: &LearnedState) {
        let mut positions: HashMap<Incarnation, usize> = HashMap::new();
        for (position, server) in self.servers.iter().enumerate().rev() {
            let endpoint = &server.endpoint;
            positions.insert(incarnation(endpoint.hash, endpoint.started_at), position);
        }
        for server in learned.servers.iter().filter(|server| is_usable(server)) {
            match positions.get(&incarnation(server.hash, server.started_at)) {
                Some(position) => self.adopt_listed(now, *position, server),
                None => self.adopt_departed(now, server),
            }
        }
        self.automaton.normalize();
        self.work.restore(&learned.class_work, learned.typical_work);
        if is_positive(learned.unloaded_response) {
            self.unloaded_response = learned.unloaded_response;
        }
        self.sustained_work.restore(learned.sustainable_work_rate);
        self.admission.restore(learned.admitted_fraction);
        self.zone_spill.restore(learned.zone_spill_weight);
    }

    fn adopt_listed(&mut self, now: Time, position: usize, learned: &LearnedServer) {
        let servers = self.servers.len() as f64;
        self.automaton.probability[position] = learned.relative_probability / servers;
        self.automaton.mean_response[position] = learned.mean_response;
        let server = &mut self.servers[position];
        server.credit.lower_to(learned.slow_start_credit);
        server.health.ejected_until = now + learned.ejected_for.clamp(0.0, RETENTION);
    }

    fn adopt_departed(&mut self, now: Time, learned: &LearnedServer) {
        self.departed.restore(DepartedServer {
            hash: learned.hash,
            started_at: learned.started_at,
            departed_at: now,
            relative_probability: learned.relative_probability,
            mean_response: learned.mean_response,
            credit: learned.slow_start_credit,
        });
    }
}
