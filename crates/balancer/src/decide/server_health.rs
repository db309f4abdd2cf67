//! The health of one server, according to this node's attempts and to the verdicts of the cluster.

use crate::interface::Time;

/// The duration of an ejection doubles at most this many times.
const MAX_DOUBLINGS: u32 = 3;
/// Number of trials of a server after its readmission.
const READMISSION_TRIALS: u32 = 1;
/// Number of trials by a prober if the first one succeeds: a single response could be chance.
const PROBE_TRIALS: u32 = 2;

/// What a failed or overdue attempt indicates about its server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Failure {
    /// The server fails, and is not just slow.
    pub(super) is_failing: bool,
    /// The server can't be reached, or has timed out several times in a row, which load does not explain.
    pub(super) is_unreachable: bool,
}

/// The health of one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerHealth {
    /// Failed or overdue attempts in a row.
    pub(super) consecutive_failures: u32,
    pub(super) is_failing: bool,
    pub(super) is_unreachable: bool,
    /// It has responded in good time and has not failed since.
    pub(super) is_proven: bool,
    pub(super) ejected_until: Time,
    /// When the cluster's verdict against it expires.
    peer_verdict_until: Time,
    /// This node sends it trial requests in spite of the verdict.
    is_prober: bool,
    /// Number of trial requests still to be sent to it before any other server is considered, because this node is its
    /// prober or because it was readmitted.
    trials_due: u32,
}

impl ServerHealth {
    /// The health of a server that nothing is known about.
    pub(super) fn new(now: Time) -> Self {
        ServerHealth {
            consecutive_failures: 0,
            is_failing: false,
            is_unreachable: false,
            is_proven: false,
            ejected_until: now,
            peer_verdict_until: now,
            is_prober: false,
            trials_due: 0,
        }
    }

    /// Whether this node has ejected it.
    pub(super) fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until > now
    }

    /// Whether a verdict of the cluster against it is in force.
    pub(super) fn has_peer_verdict(&self, now: Time) -> bool {
        self.peer_verdict_until > now
    }

    /// Whether a verdict of the cluster keeps this node from sending to it.
    pub(super) fn is_blocked_by_peers(&self, now: Time) -> bool {
        self.has_peer_verdict(now) && !self.is_prober
    }

    /// Whether this node sends it trial requests on behalf of the cluster.
    pub(super) fn is_probing(&self, now: Time) -> bool {
        self.has_peer_verdict(now) && self.is_prober
    }

    /// Records a verdict of the cluster. Trials become due when this node becomes the prober.
    pub(super) fn set_peer_verdict(&mut self, now: Time, until: Time, is_prober: bool) {
        let was_probing = self.is_probing(now);
        self.peer_verdict_until = until;
        self.is_prober = is_prober;
        if !self.is_probing(now) {
            self.trials_due = 0;
        } else if !was_probing {
            self.trials_due = PROBE_TRIALS;
        }
    }

    /// Clears all failures, as the cluster has found that it responds again; one trial becomes due.
    pub(super) fn readmit(&mut self, now: Time) {
        *self = ServerHealth {
            trials_due: READMISSION_TRIALS,
            ..ServerHealth::new(now)
        };
    }

    /// Whether it has to get the next request that may be a trial.
    pub(super) fn awaits_trial(&self) -> bool {
        self.trials_due > 0
    }

    /// Records that an attempt is sent to it.
    pub(super) fn record_attempt(&mut self) {
        self.trials_due = self.trials_due.saturating_sub(1);
    }

    /// Records a response in good time.
    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.is_failing = false;
        self.is_unreachable = false;
        self.is_proven = true;
    }

    /// Records an attempt that has failed or is overdue, and ejects the server if `ejection` is a duration. The
    /// duration doubles with each failure in a row.
    pub(super) fn record_failure(&mut self, now: Time, failure: Failure, ejection: Option<Time>) {
        self.is_proven = false;
        self.trials_due = 0;
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
