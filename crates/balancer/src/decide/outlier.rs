//! Outlier ejection: servers that fail or are slow get no requests for a while, or until the cluster readmits them.

use super::server_health::Failure;
use super::servers::{relative_size, ServerTable};
use super::{Balancer, StrictestTimes};
use crate::interface::{ServerId, Time};

/// Maximum fraction of the list that may be ejected, so that a fault common to all servers ejects few of them.
const MAX_EJECTED_FRACTION: f64 = 0.2;
/// The same for ejections of unreachable servers: higher, as a whole zone may be lost.
const MAX_EJECTED_FRACTION_UNREACHABLE: f64 = 0.5;
/// Duration of the first ejection for a failure, in shortest deadlines.
const FAILURE_EJECTION_DEADLINES: f64 = 4.0;

/// Whether the observed faults have a common cause outside the servers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FaultScope {
    is_common: bool,
}

impl FaultScope {
    /// Whether more servers fail than may be ejected.
    pub(super) fn is_common(self) -> bool {
        self.is_common
    }

    /// Recounts the failing servers.
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
    /// Readmits a server, as the cluster has found that it responds again. Its ejection by this node ends, and it gets
    /// the next request that may be a trial. Its running average is lowered to the mean of the other servers, and its
    /// probability raised to that of an average server of its size: both reflect the fault, and this node alone would
    /// take minutes to unlearn them.
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
        // Other nodes get its responses, so the attempts that this node still awaits are stalled on their own
        // connections.
        self.servers[position].load.record_response(now);
    }
}

/// Records a failure of the server at a position, and ejects it if the number of ejected servers allows it.
///
/// `random` is a fraction that adds jitter to the duration, so that the nodes that have ejected a server do not all
/// send to it again at the same time.
pub(super) fn record_failure(
    servers: &mut ServerTable,
    position: usize,
    now: Time,
    failure: Failure,
    strictest: StrictestTimes,
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
