//! Reports the outcomes of attempts at this pool's servers to the fleet.

use super::{ListOrigin, Pool};
use reelfall_balancer::interface::{ClassId, Outcome, RequestId, ServerId, Time};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;

impl Pool {
    /// The instance of a listed server, as all nodes of the fleet identify it.
    pub(super) fn instance_of(&self, server: ServerId) -> Option<ServerInstance> {
        let started_at = match self.list_origin {
            ListOrigin::Discovered => self.server_list.borrow().started_at(server)?,
            ListOrigin::Configured => 0.0,
        };
        let name = self.names.borrow().servers.name(server)?.to_owned();
        Some(ServerInstance {
            name,
            started_ms: self.start_ms(started_at),
        })
    }

    /// The start that identifies a server's instance on all nodes, in milliseconds; 0 for long ago. Settings state no
    /// start, and each node reads them at a different time.
    pub(super) fn start_ms(&self, started_at: Time) -> u64 {
        match self.list_origin {
            ListOrigin::Discovered => (started_at.max(0.0) * 1e3).round() as u64,
            ListOrigin::Configured => 0,
        }
    }

    /// The latency objective of a class, in seconds.
    pub(super) fn latency_objective(&self, class: ClassId) -> Option<Time> {
        self.classes
            .get(usize::from(class))
            .map(|class| class.latency_objective)
    }

    /// Reports the outcome of an attempt to the fleet's observer, if there is one.
    pub(super) fn report_outcome(&self, request: RequestId, attempt: u32, outcome: Outcome) {
        let Some(observer) = self.shared.fleet_observer() else {
            return;
        };
        let Some(awaited) = self.engine.borrow().attempt_in_flight(request, attempt) else {
            return;
        };
        let Some(latency_objective) = self.latency_objective(awaited.class) else {
            return;
        };
        let waited = self.shared.clock.now() - awaited.since;
        let Some(outcome) = observed_outcome(outcome, waited, latency_objective) else {
            return;
        };
        if let Some(instance) = self.instance_of(awaited.server) {
            observer.attempt_ended(instance, outcome);
        }
    }
}

/// What the outcome of an attempt means for its server; `None` if it says nothing about the server. A timeout before
/// the latency objective comes from a client's short deadline.
fn observed_outcome(
    outcome: Outcome,
    waited: Time,
    latency_objective: Time,
) -> Option<AttemptOutcome> {
    match outcome {
        Outcome::Served if waited <= latency_objective => Some(AttemptOutcome::Answered),
        Outcome::Served => Some(AttemptOutcome::AnsweredLate),
        Outcome::Error => Some(AttemptOutcome::ServerError),
        Outcome::ConnectionLost => Some(AttemptOutcome::ConnectionBroken),
        Outcome::Rejected => Some(AttemptOutcome::Shed),
        Outcome::TimedOut if waited >= latency_objective => Some(AttemptOutcome::TimedOut),
        Outcome::ConnectFailed => Some(AttemptOutcome::Unreachable),
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => None,
    }
}
