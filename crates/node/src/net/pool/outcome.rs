//! What the fleet is told of attempts at this pool's servers.

use super::{ListOrigin, Pool};
use reelfall_balancer::interface::{Outcome, RequestId, ServerId, Time};
use reelfall_cluster::entry::ServerInstance;
use reelfall_cluster::observer::AttemptOutcome;

impl Pool {
    /// The instance of a server that the list names, as the whole fleet knows it.
    pub(super) fn instance_of(&self, server: ServerId) -> Option<ServerInstance> {
        let ready_at = match self.list_origin {
            ListOrigin::Discovered => {
                self.server_list
                    .borrow()
                    .endpoints
                    .get(&server)?
                    .endpoint
                    .started_at
            }
            ListOrigin::Configured => 0.0,
        };
        let name = self.names.borrow().servers.name(server)?.to_owned();
        Some(ServerInstance {
            name,
            since: self.start_ms(ready_at),
        })
    }

    /// The start that identifies the instance of a server among all nodes, in milliseconds; 0 for long ago. A list that is
    /// written by hand tells of no start: when its file was read is different on each node.
    pub(super) fn start_ms(&self, ready_at: Time) -> u64 {
        match self.list_origin {
            ListOrigin::Discovered => (ready_at.max(0.0) * 1e3).round() as u64,
            ListOrigin::Configured => 0,
        }
    }

    /// Tells the fleet's observer how an attempt ended.
    pub(super) fn report_outcome(&self, request: RequestId, attempt: u32, outcome: Outcome) {
        let Some(observer) = self.shared.fleet_observer() else {
            return;
        };
        let Some(awaited) = self.engine.borrow().attempt_in_flight(request, attempt) else {
            return;
        };
        let Some(aim) = self
            .classes
            .get(usize::from(awaited.class))
            .map(|c| c.latency_objective)
        else {
            return;
        };
        let waited = self.shared.clock.now() - awaited.since;
        let Some(attempt) = attempt_outcome(outcome, waited, aim) else {
            return;
        };
        if let Some(instance) = self.instance_of(awaited.server) {
            observer.attempt_ended(instance, attempt);
        }
    }
}

/// What the outcome of an attempt tells others about its server. A client with a short deadline tells nothing.
fn attempt_outcome(outcome: Outcome, waited: Time, aim: Time) -> Option<AttemptOutcome> {
    match outcome {
        Outcome::Served if waited <= aim => Some(AttemptOutcome::Answered),
        Outcome::Served => Some(AttemptOutcome::AnsweredLate),
        Outcome::Error => Some(AttemptOutcome::ServerError),
        Outcome::ConnectionLost => Some(AttemptOutcome::ConnectionBroken),
        Outcome::Rejected => Some(AttemptOutcome::Shed),
        Outcome::TimedOut if waited >= aim => Some(AttemptOutcome::TimedOut),
        Outcome::ConnectFailed => Some(AttemptOutcome::Unreachable),
        Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => None,
    }
}
