//! Outlier ejection: servers that fail or are slow get no requests for a while.

use super::servers::ServerTable;
use super::StrictestClass;
use crate::interface::Time;

/// Maximum share of the list that may be ejected, so that a fault that all servers have in common ejects few.
const MAX_EJECTED_SHARE: f64 = 0.2;
/// The same with servers that are unreachable, as a zone may be lost.
const MAX_EJECTED_SHARE_UNREACHABLE: f64 = 0.5;
/// The duration of ejections doubles at most this many times.
const MAX_DOUBLINGS: u32 = 3;
/// An ejection for a failure lasts for this multiple of the shortest deadline.
const FAILURE_EJECTION_DEADLINES: f64 = 4.0;

/// What a failed or overdue attempt tells about a server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Failure {
    /// The server fails, beyond being late.
    pub(super) is_failing: bool,
    /// The server can't be reached, or has not responded several times in a row, which load does not explain.
    pub(super) is_unreachable: bool,
}

/// The health of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerHealth {
    /// Failed or overdue attempts in a row.
    pub(super) consecutive_failures: u32,
    pub(super) is_failing: bool,
    pub(super) is_unreachable: bool,
    /// It has responded well, and not failed since.
    pub(super) is_proven: bool,
    pub(super) ejected_until: Time,
    /// When the verdict of the cluster's nodes against it expires.
    peer_verdict_until: Time,
    /// This node sends it trial requests in spite of the verdict.
    is_prober: bool,
}

impl ServerHealth {
    /// The health of a server that nothing is known of.
    pub(super) fn new(now: Time) -> Self {
        ServerHealth {
            consecutive_failures: 0,
            is_failing: false,
            is_unreachable: false,
            is_proven: false,
            ejected_until: now,
            peer_verdict_until: now,
            is_prober: false,
        }
    }

    /// Whether it is ejected.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Whether the verdict of the cluster's nodes holds.
    pub(super) fn has_peer_verdict(&self, now: Time) -> bool {
        self.peer_verdict_until > now
    }

    /// Whether the verdict of the cluster's nodes keeps this node from sending to it.
    pub(super) fn is_blocked_by_peers(&self, now: Time) -> bool {
        self.has_peer_verdict(now) && !self.is_prober
    }

    /// Records the verdict of the cluster's nodes.
    pub(super) fn set_peer_verdict(&mut self, until: Time, is_prober: bool) {
        self.peer_verdict_until = until;
        self.is_prober = is_prober;
    }

    /// It has responded well.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.is_failing = false;
        self.is_unreachable = false;
        self.is_proven = true;
    }

    /// An attempt has failed or is overdue. It is ejected if that is allowed; each failure in a row doubles the time.
    fn record_failure(&mut self, now: Time, failure: Failure, ejection: Option<Time>) {
        self.is_proven = false;
        if let Some(duration) = ejection {
            self.is_unreachable |= failure.is_unreachable;
            self.is_failing |= failure.is_failing;
            let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
            let factor = f64::from(1u32 << doublings);
            self.ejected_until = self.ejected_until.max(now + duration * factor);
        }
        self.consecutive_failures += 1;
    }
}

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
    (MAX_EJECTED_SHARE * servers as f64).max(1.0)
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
    let unreachable_share = if failure.is_unreachable {
        MAX_EJECTED_SHARE_UNREACHABLE
    } else {
        0.0
    };
    let limit = max_ejected(servers.len()).max(unreachable_share * servers.len() as f64);
    let is_allowed = (ejected + 1) as f64 <= limit;
    let ejection = is_allowed.then_some(base * jitter);
    servers[position]
        .health
        .record_failure(now, failure, ejection);
}
