//! Outlier ejection: servers that fail or are slow get no requests for a while, unless the cluster readmits them before.

use super::server_health::Failure;
use super::servers::{relative_size, ServerTable};
use super::{Balancer, StrictestClass};
use crate::interface::{ServerId, Time};

/// Maximum fraction of the list that may be ejected, so that a fault that all servers have in common ejects few.
const MAX_EJECTED_FRACTION: f64 = 0.2;
/// The same with servers that are unreachable, as a zone may be lost.
const MAX_EJECTED_FRACTION_UNREACHABLE: f64 = 0.5;
/// An ejection for a failure lasts for this multiple of the shortest deadline.
const FAILURE_EJECTION_DEADLINES: f64 = 4.0;

/// Whether the faults that are seen have one cause that is not the servers' own.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FaultScope {
    is_common: bool,
}

impl FaultScope {
    /// More servers fail than may be ejected.
    pub(super) fn is_common(self) -> bool {
        self.is_common
    }

    /// Counts the failing servers anew.
    pub(super) fn update(&mut self, servers: &ServerTable) {
        let failing = servers
            .iter()
            .filter(|server| server.health.is_failing && !server.health.is_unreachable);
        self.is_common = failing.count() as f64 > max_ejected(servers.len());
    }
}

/// Maximum number of servers of a list that may be ejected, at least one.
fn max_ejected(servers: usize) -> f64 {
    (MAX_EJECTED_FRACTION * servers as f64).max(1.0)
}

impl Balancer {
    /// The nodes of the cluster have found that a server responds again. Its ejection by this node ends, it gets the next
    /// request that may be a trial, and it starts anew with the average response and probability of the others: its own
    /// are those of the fault, which this node alone would take minutes to unlearn.
    pub(super) fn readmit(&mut self, now: Time, server: ServerId) {
        let Some(position) = self.servers.position(server) else {
            return;
        };
        let others = |other, _| f64::from(u8::from(other != position));
        let mean_response = self.weighted_mean_response(now, others);
        self.automaton.limit_mean_response(position, mean_response);
        let relative_weight = self.servers[position].endpoint.weight / self.servers.mean_weight();
        let relative_probability = relative_size(self.settings.has_server_weights, relative_weight);
        self.automaton.raise(position, relative_probability);
        self.servers[position].health.readmit(now);
        // Other nodes have its responses: what this one still awaits is held up on its own connections.
        self.servers[position].load.record_response(now);
    }
}

/// Ejects the server at a position, as far as the number of ejected servers allows it.
///
/// `random` is a fraction; it spreads the return of a server over the nodes that have ejected it.
pub(super) fn record_failure(
    servers: &mut ServerTable,
    position: usize,
    now: Time,
    failure: Failure,
    strictest: StrictestClass,
    random: f64,
) {
    let ejected = servers
        .iter()
        .filter(|server| server.health.is_ejected(now))
        .count();
    let base = if failure.is_failing {
        FAILURE_EJECTION_DEADLINES * strictest.deadline
    } else {
        strictest.latency_objective
    };
    let jitter = 0.75 + 0.5 * random;
    let unreachable_fraction = if failure.is_unreachable {
        MAX_EJECTED_FRACTION_UNREACHABLE
    } else {
        0.0
    };
    let limit = max_ejected(servers.len()).max(unreachable_fraction * servers.len() as f64);
    let is_allowed = (ejected + 1) as f64 <= limit;
    let ejection = is_allowed.then_some(base * jitter);
    servers[position]
        .health
        .record_failure(now, failure, ejection);
}
