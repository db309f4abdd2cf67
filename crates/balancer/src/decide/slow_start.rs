//! Slow start: a server that has just started has a part of its capacity, and all nodes together must not overload it.
//! Each node has a token bucket of work for each such server, filled at its fraction of what the server tolerates.

use super::servers::{relative_size, Server};
use super::Balancer;
use crate::interface::{Rules, Time};

/// Capacity of a server, in standard cores, before any server was seen working.
const DEFAULT_WORK_RATE: f64 = 0.5;
/// Rate at which the sustained work rate is forgotten, per second.
const WORK_RATE_DECAY: f64 = 0.01;
/// Fraction of a server's tolerance that very many nodes use continuously.
const CONTINUOUS_FRACTION: f64 = 0.45;
/// Fewer nodes use more of it: this, divided by the root of their number.
const CONTINUOUS_FRACTION_SPREAD: f64 = 0.6;
/// The greatest fraction that is used continuously.
const MAX_CONTINUOUS_FRACTION: f64 = 0.8;
/// The fraction that continuous work and accumulated credit use together.
const TOTAL_FRACTION: f64 = 1.0;
/// The rate of a machine type differs from the mean by this fraction at most, as few responses are known of each type.
const MAX_TYPE_DEVIATION: f64 = 0.6;
/// The least accumulated credit that a probability is divided by, in typical requests.
const MIN_ACCUMULATED_REQUESTS: f64 = 0.1;

/// The factor that slow start applies to the probability of a server.
pub(super) fn probability_factor(
    server: &Server,
    rules: &Rules,
    now: Time,
    work: f64,
    typical: f64,
) -> f64 {
    let capacity = server.capacity_fraction(rules, now);
    if capacity >= 1.0 {
        return 1.0;
    }
    if !server.credit.covers(work, typical) {
        return 0.0;
    }
    // A node that can accumulate little credit sends rarely, so it sends more when it can.
    let accumulated = server.credit.max / typical - 1.0;
    capacity / accumulated.clamp(MIN_ACCUMULATED_REQUESTS, 1.0)
}

/// The greatest work rate that a warm server was seen to sustain lately.
pub(super) struct SustainedWork {
    /// Work that was served since the last update.
    served: f64,
    /// Work served per second by this node's requests, smoothed.
    served_rate: f64,
    per_server: f64,
}

impl Default for SustainedWork {
    fn default() -> Self {
        SustainedWork {
            served: 0.0,
            served_rate: 0.0,
            per_server: DEFAULT_WORK_RATE,
        }
    }
}

impl SustainedWork {
    /// Work per second and server.
    pub(super) fn per_server(&self) -> f64 {
        self.per_server
    }

    /// Restores the rate, if it is usable.
    pub(super) fn restore(&mut self, per_server: f64) {
        if per_server.is_finite() && per_server > 0.0 {
            self.per_server = per_server;
        }
    }

    /// Adds the work of a served request.
    pub(super) fn record(&mut self, work: f64) {
        self.served += work;
    }

    /// Updates the rate after this time, with this node's fraction of the traffic and the number of warm servers.
    pub(super) fn update(
        &mut self,
        elapsed: Time,
        retained: f64,
        traffic_fraction: f64,
        warm: usize,
    ) {
        self.served_rate += (1.0 - retained) * (self.served / elapsed - self.served_rate);
        self.served = 0.0;
        let sustained = self.served_rate / traffic_fraction / warm.max(1) as f64;
        let remembered = self.per_server * (1.0 - WORK_RATE_DECAY * elapsed);
        self.per_server = sustained.max(remembered).max(DEFAULT_WORK_RATE);
    }
}

/// Number and sum of running averages.
#[derive(Clone, Copy, Default)]
struct ResponseSum {
    count: f64,
    total: f64,
}

impl ResponseSum {
    fn add(&mut self, other: ResponseSum) {
        self.count += other.count;
        self.total += other.total;
    }

    fn mean(&self) -> f64 {
        self.total / self.count
    }
}

impl Balancer {
    /// Fills the buckets of all servers in their slow start.
    pub(super) fn refill_slow_start_credit(&mut self, now: Time, elapsed: Time) {
        let nodes = f64::from(self.subset.nodes_per_server(self.servers.len() as f64));
        let continuous = CONTINUOUS_FRACTION + CONTINUOUS_FRACTION_SPREAD / nodes.sqrt();
        let continuous = continuous.min(MAX_CONTINUOUS_FRACTION);
        let mean_weight = self.servers.mean_weight();
        let typical = self.work.typical();
        let speeds = self.machine_type_speeds();
        let rules = &self.settings.rules;
        for server in self.servers.iter_mut() {
            let capacity = server.capacity_fraction(rules, now);
            if capacity >= 1.0 {
                continue;
            }
            let endpoint = &server.endpoint;
            let has_weights = self.settings.has_server_weights;
            let size = relative_size(has_weights, endpoint.weight / mean_weight);
            let size = f64::from(server.is_in_subset) * size;
            let size = size * speeds[usize::from(endpoint.machine_type)];
            let balancers = nodes * f64::from(endpoint.local_balancers.max(1));
            let work_rate = self.sustained_work.per_server();
            let tolerance = rules.overload_factor * work_rate * capacity * size / balancers;
            let accumulated = (TOTAL_FRACTION - continuous) * tolerance * rules.overload_window;
            server.credit.refill(
                continuous * tolerance * elapsed,
                typical + accumulated,
                typical,
            );
        }
    }

    /// The speed of each machine type against the mean of this node's subset, by the running averages.
    fn machine_type_speeds(&self) -> Vec<f64> {
        let type_of = |server: &Server| usize::from(server.endpoint.machine_type);
        let types = self
            .servers
            .iter()
            .map(|server| type_of(server) + 1)
            .max()
            .unwrap_or(0);
        let mut sums = vec![ResponseSum::default(); types];
        let averages = self.servers.iter().zip(&self.automaton.mean_response);
        for (server, mean_response) in averages.filter(|(server, _)| server.is_in_subset) {
            sums[type_of(server)].add(ResponseSum {
                count: 1.0,
                total: *mean_response,
            });
        }
        let mut all = ResponseSum::default();
        sums.iter().for_each(|sum| all.add(*sum));
        let speed = |sum: &ResponseSum| {
            let speed = if sum.total > 0.0 {
                all.mean() / sum.mean()
            } else {
                1.0
            };
            speed.clamp(1.0 - MAX_TYPE_DEVIATION, 1.0 + MAX_TYPE_DEVIATION)
        };
        sums.iter().map(speed).collect()
    }
}
