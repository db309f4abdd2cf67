//! A reference implementation of endpoint list updates that iterates over all servers at each step.

use crate::random::{fraction, SplitMix64};
use reelfall_balancer::interface::{
    Endpoint, LearnedServer, LearnedState, ServerState, Settings, Time, UpdateKind,
};

pub const SEED: u64 = 7;

// Copies of constants of the decision module.
const PROBABILITY_FLOOR: f64 = 0.1;
/// In seconds.
const FLAP_TIME: Time = 0.5;
const MAX_DEPARTED: usize = 64;
/// In seconds.
const DEPARTED_RETENTION: Time = 60.0;
/// In seconds.
const MAX_BACKOFF: Time = 2.0;
const REQUESTS_PER_SERVER: f64 = 2.0;
const MIN_SUBSET_SIZE: f64 = 8.0;
const MIN_RELATIVE_WEIGHT: f64 = 0.25;
const MAX_RELATIVE_WEIGHT: f64 = 4.0;

pub struct Server {
    pub endpoint: Endpoint,
    /// Whether it is in the subset of this node.
    is_in_subset: bool,
    ejected_until: Time,
    pub probability: f64,
    pub mean_response: f64,
    pub slow_start_credit: f64,
}

/// A server that has left the list.
struct DepartedServer {
    hash: u64,
    started_at: Time,
    departed_at: Time,
    relative_probability: f64,
    mean_response: f64,
    slow_start_credit: f64,
}

pub struct Reference {
    settings: Settings,
    rng: SplitMix64,
    typical_response: f64,
    quota: f64,
    backoff: f64,
    pub servers: Vec<Server>,
    departed: Vec<DepartedServer>,
}

impl Reference {
    pub fn new(settings: Settings) -> Reference {
        let typical_response = settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .fold(f64::MAX, f64::min)
            / 4.0;
        let quota = settings.tenants.iter().map(|tenant| tenant.quota).sum();
        let mut rng = SplitMix64::new(SEED);
        // The balancer draws the time of its first sweep.
        rng.next_fraction();
        Reference {
            settings,
            rng,
            typical_response,
            quota,
            backoff: 1.0,
            servers: vec![],
            departed: vec![],
        }
    }

    /// Number of nodes that prefer each server of a list of this length.
    fn nodes_per_server(&self, servers: f64) -> u32 {
        let nodes = f64::from(self.settings.node_count);
        if self.settings.node_index.is_none() || self.quota <= 0.0 || nodes < 2.0 * MIN_SUBSET_SIZE
        {
            return self.settings.node_count;
        }
        let subset_size = (self.quota / nodes / REQUESTS_PER_SERVER).max(MIN_SUBSET_SIZE);
        (nodes * subset_size / servers.max(1.0))
            .clamp(2.0 * MIN_SUBSET_SIZE, nodes)
            .ceil() as u32
    }

    /// Whether this node prefers a server.
    fn prefers(&self, hash: u64, nodes_per_server: u32) -> bool {
        let nodes = u64::from(self.settings.node_count);
        let first = (fraction(hash) * nodes as f64) as u64;
        let position = u64::from(self.settings.node_index.unwrap_or(0)) * stride(nodes);
        (position + nodes - first) % nodes < u64::from(nodes_per_server)
    }

    /// The weight of a server relative to the mean.
    fn relative_weight(&self, weight: f64) -> f64 {
        let mean = self
            .servers
            .iter()
            .map(|server| server.endpoint.weight)
            .sum::<f64>()
            / self.servers.len() as f64;
        let relative = weight / mean;
        if self.settings.has_server_weights && relative.is_finite() {
            relative.clamp(MIN_RELATIVE_WEIGHT, MAX_RELATIVE_WEIGHT)
        } else {
            1.0
        }
    }

    /// Scales the probabilities to a sum of 1 above their floor.
    fn normalize(&mut self) {
        let servers = self.servers.len() as f64;
        let floor = PROBABILITY_FLOOR / servers.max(1.0);
        let sum_above_floor: f64 = self
            .servers
            .iter()
            .map(|server| (server.probability - floor).max(0.0))
            .sum();
        for server in &mut self.servers {
            let share = if sum_above_floor > 0.0 {
                (server.probability - floor).max(0.0) / sum_above_floor
            } else {
                1.0 / servers
            };
            server.probability = floor + (1.0 - PROBABILITY_FLOOR) * share;
        }
    }

    fn remove_server(&mut self, now: Time, index: usize) {
        let relative_probability = self.servers[index].probability * self.servers.len() as f64;
        let server = self.servers.swap_remove(index);
        self.normalize();
        let hash = server.endpoint.hash;
        self.departed.retain(|departed| {
            departed.hash != hash && now - departed.departed_at < DEPARTED_RETENTION
        });
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push(DepartedServer {
            hash,
            started_at: server.endpoint.started_at,
            departed_at: now,
            relative_probability,
            mean_response: server.mean_response,
            slow_start_credit: server.slow_start_credit,
        });
    }

    fn add_server(&mut self, now: Time, endpoint: Endpoint) {
        let servers = self.servers.len() as f64;
        let is_in_subset = self.prefers(endpoint.hash, self.nodes_per_server(servers + 1.0));
        let mut initial = self.initial_estimate(&endpoint, is_in_subset);
        let departed = self.take_departed(now, &endpoint);
        if let Some(departed) = &departed {
            let is_flap = now - departed.departed_at <= FLAP_TIME;
            let max_mean = if servers > 0.0 && !is_flap {
                self.mean_response_of_active(now)
            } else {
                departed.mean_response
            };
            initial = Estimate {
                relative_probability: departed.relative_probability,
                mean_response: departed.mean_response.min(max_mean),
            };
        }
        let probability = initial.relative_probability.max(PROBABILITY_FLOOR) / servers.max(1.0);
        let random_credit =
            f64::from(is_in_subset) * self.rng.next_fraction() * self.typical_response;
        let slow_start_credit = departed.map_or(random_credit, |departed| {
            departed.slow_start_credit.min(random_credit)
        });
        self.servers.push(Server {
            endpoint,
            is_in_subset,
            ejected_until: now,
            probability,
            mean_response: initial.mean_response,
            slow_start_credit,
        });
        self.normalize();
    }

    /// The means of the servers with the same machine type in the same subset, or those of the whole subset.
    fn initial_estimate(&self, endpoint: &Endpoint, is_in_subset: bool) -> Estimate {
        let servers = self.servers.len() as f64;
        let subset: Vec<&Server> = self
            .servers
            .iter()
            .filter(|server| server.is_in_subset == is_in_subset)
            .collect();
        let same_type: Vec<&Server> = subset
            .iter()
            .copied()
            .filter(|server| server.endpoint.machine_type == endpoint.machine_type)
            .collect();
        if !same_type.is_empty() {
            return Estimate {
                relative_probability: servers * mean(&same_type, |server| server.probability),
                mean_response: mean(&same_type, |server| server.mean_response),
            };
        }
        let relative_probability = if subset.is_empty() {
            1.0
        } else {
            servers
                * self.relative_weight(endpoint.weight)
                * mean(&subset, |server| server.probability)
        };
        Estimate {
            relative_probability,
            mean_response: self.typical_response,
        }
    }

    /// The mean response time of the servers that are not ejected.
    fn mean_response_of_active(&self, now: Time) -> f64 {
        let active: Vec<&Server> = self
            .servers
            .iter()
            .filter(|server| server.ejected_until <= now)
            .collect();
        if active.is_empty() {
            self.typical_response
        } else {
            mean(&active, |server| server.mean_response)
        }
    }

    fn take_departed(&mut self, now: Time, endpoint: &Endpoint) -> Option<DepartedServer> {
        let index = self.departed.iter().position(|departed| {
            departed.hash == endpoint.hash && departed.started_at == endpoint.started_at
        })?;
        let departed = self.departed.remove(index);
        (now - departed.departed_at < DEPARTED_RETENTION).then_some(departed)
    }

    fn update_subset(&mut self, is_first_list: bool) {
        let nodes_per_server = self.nodes_per_server(self.servers.len() as f64);
        let has_whole_list = nodes_per_server >= self.settings.node_count;
        if has_whole_list && self.servers.iter().all(|server| server.is_in_subset) {
            return;
        }
        let members: Vec<bool> = self
            .servers
            .iter()
            .map(|server| self.prefers(server.endpoint.hash, nodes_per_server))
            .collect();
        let member_probabilities: Vec<f64> = self
            .servers
            .iter()
            .zip(&members)
            .filter(|(_, is_in_subset)| **is_in_subset)
            .map(|(server, _)| server.probability)
            .collect();
        let member_mean =
            member_probabilities.iter().sum::<f64>() / member_probabilities.len().max(1) as f64;
        let weights: Vec<f64> = self
            .servers
            .iter()
            .map(|server| self.relative_weight(server.endpoint.weight))
            .collect();
        for ((server, is_in_subset), weight) in self.servers.iter_mut().zip(members).zip(weights) {
            if is_first_list || is_in_subset != server.is_in_subset {
                let initial = if is_first_list { weight } else { member_mean };
                server.probability = if is_in_subset { initial } else { 0.0 };
            }
            server.is_in_subset = is_in_subset;
        }
        self.normalize();
    }

    /// Applies an update; returns the backoff in seconds after a failed poll.
    pub fn update(&mut self, now: Time, kind: UpdateKind, endpoints: &[Endpoint]) -> Option<Time> {
        if kind == UpdateKind::Failed {
            let retry_after = self.backoff * (0.5 + 0.5 * self.rng.next_fraction());
            self.backoff = (self.backoff * 2.0).min(MAX_BACKOFF);
            return Some(retry_after);
        }
        if kind != UpdateKind::Cached {
            self.backoff = 1.0;
        }
        if kind != UpdateKind::Delta {
            self.remove_unlisted(now, endpoints);
        }
        let is_first_list = self.servers.is_empty() && self.departed.is_empty();
        for endpoint in endpoints {
            self.apply(now, endpoint.clone());
        }
        self.update_subset(is_first_list);
        None
    }

    fn remove_unlisted(&mut self, now: Time, endpoints: &[Endpoint]) {
        for index in (0..self.servers.len()).rev() {
            let server = self.servers[index].endpoint.server;
            if endpoints.iter().all(|listed| listed.server != server) {
                self.remove_server(now, index);
            }
        }
    }

    fn apply(&mut self, now: Time, endpoint: Endpoint) {
        let index = self
            .servers
            .iter()
            .position(|server| server.endpoint.server == endpoint.server);
        let is_up = endpoint.state == ServerState::Up;
        match index {
            Some(index) if !is_up => self.remove_server(now, index),
            Some(index) if self.servers[index].endpoint.started_at < endpoint.started_at => {
                self.remove_server(now, index);
                self.add_server(now, endpoint);
            }
            Some(index) => self.servers[index].endpoint = endpoint,
            None if is_up => self.add_server(now, endpoint),
            None => {}
        }
    }

    pub fn adopt(&mut self, now: Time, learned: &LearnedState) {
        for server in &learned.servers {
            self.adopt_server(now, server);
        }
        self.normalize();
    }

    fn adopt_server(&mut self, now: Time, learned: &LearnedServer) {
        let servers = self.servers.len() as f64;
        let listed = self.servers.iter_mut().find(|server| {
            server.endpoint.hash == learned.hash && server.endpoint.started_at == learned.started_at
        });
        if let Some(server) = listed {
            server.probability = learned.relative_probability / servers;
            server.mean_response = learned.mean_response;
            server.slow_start_credit = server.slow_start_credit.min(learned.slow_start_credit);
            server.ejected_until = now + learned.ejected_for.clamp(0.0, DEPARTED_RETENTION);
        } else if self.departed.len() < MAX_DEPARTED {
            self.departed.push(DepartedServer {
                hash: learned.hash,
                started_at: learned.started_at,
                departed_at: now,
                relative_probability: learned.relative_probability,
                mean_response: learned.mean_response,
                slow_start_credit: learned.slow_start_credit,
            });
        }
    }
}

/// The initial values of a server that joins the list.
struct Estimate {
    /// As a multiple of the mean probability.
    relative_probability: f64,
    mean_response: f64,
}

fn mean(servers: &[&Server], value: fn(&Server) -> f64) -> f64 {
    servers.iter().map(|server| value(server)).sum::<f64>() / servers.len() as f64
}

/// The distance between the positions of successive nodes: coprime to their number, and near the golden ratio.
fn stride(nodes: u64) -> u64 {
    let first = ((nodes as f64 * 0.618) as u64).max(1);
    (first..nodes)
        .find(|step| greatest_common_divisor(*step, nodes) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(mut one: u64, mut other: u64) -> u64 {
    while other > 0 {
        (one, other) = (other, one % other);
    }
    one
}
