//! Slow start: a server that has just started has only a fraction of its capacity, and all nodes together must not
//! overload it. Each node has a token bucket of work for each such server, filled at the node's fraction of the
//! tolerated work rate.

use super::servers::{relative_size, Server};
use super::Balancer;
use crate::interface::{Rules, Time};

/// Sustainable work rate of a server, in standard cores, until a higher one has been observed.
const DEFAULT_WORK_RATE: f64 = 0.5;
/// Relative decay of the sustained work rate, per second.
const WORK_RATE_DECAY: f64 = 0.01;
/// Fraction of the tolerated work rate that buckets are filled at, in the limit of many nodes. The rest is left for
/// accumulated credit.
const CONTINUOUS_FRACTION: f64 = 0.45;
/// Addition to that fraction, divided by the square root of the number of nodes.
const CONTINUOUS_FRACTION_SPREAD: f64 = 0.6;
/// The greatest fraction of the tolerated work rate that buckets are filled at.
const MAX_CONTINUOUS_FRACTION: f64 = 0.8;
/// The fraction of the tolerated work that the fill rate and the accumulated credit use together.
const TOTAL_FRACTION: f64 = 1.0;
/// The relative speed of a machine type differs from 1 by at most this, as only few responses per type are known.
const MAX_TYPE_DEVIATION: f64 = 0.6;
/// The least accumulated credit, in typical requests, that a probability is divided by.
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
    // A node that can accumulate little credit is rarely able to send, so the probability is higher when it is.
    let accumulated = server.credit.max_level / typical - 1.0;
    capacity / accumulated.clamp(MIN_ACCUMULATED_REQUESTS, 1.0)
}

/// The greatest work rate that a warm server has recently sustained.
pub(super) struct SustainedWork {
    /// Work served since the last update, in seconds on a standard core.
    served: f64,
    /// Smoothed work rate of this node's served requests, in standard cores.
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
    /// The sustained work rate per server, in standard cores.
    pub(super) fn per_server(&self) -> f64 {
        self.per_server
    }

    /// Restores the rate, if it is valid.
    pub(super) fn restore(&mut self, per_server: f64) {
        if per_server.is_finite() && per_server > 0.0 {
            self.per_server = per_server;
        }
    }

    /// Adds the work of a served request.
    pub(super) fn record(&mut self, work: f64) {
        self.served += work;
    }

    /// Updates the rate. `retained` is the smoothing weight of the old rate, `traffic_fraction` this node's fraction of
    /// the traffic of all nodes, and `warm` the number of warm servers.
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

/// Number and sum of the running averages of some servers.
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
    /// Refills the buckets of all servers in their slow start, for the elapsed time.
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

    /// The speed of each machine type relative to the mean of this node's subset, from the running averages.
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
