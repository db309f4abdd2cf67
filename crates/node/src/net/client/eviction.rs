//! Selects the connection that is closed first at the client limit.

use super::Phase;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Identifies a client's connection within its process.
pub(in crate::net) type ClientId = u64;

/// At the client limit, a connection that has had no complete request for this long is evicted before others.
pub(super) const EVICTION_GRACE: Duration = Duration::from_secs(1);
/// The shorter grace period of a new connection while many have no request yet, or no idle connection can be evicted
/// instead: other clients wait in the backlog meanwhile.
pub(in crate::net) const CROWDED_GRACE: Duration = Duration::from_millis(20);
/// The fraction of all connections that may be new while others are idle. Requests occupy at most three fifths
/// (`reelfall_config::check::ProcessShares`), so some remain for idle connections.
const MAX_NEW_FRACTION: f64 = 0.25;

/// A connection that may be evicted. Candidates are ordered by the time when they entered their phase.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    phase_since: Instant,
    id: ClientId,
}

/// Connections in one phase, the one that entered it first in front.
type Queue = BTreeSet<Candidate>;

/// The connections that may be evicted. One whose request is being answered is in none of the queues.
///
/// The order of eviction:
///
/// 1. new connections without a request for [`EVICTION_GRACE`];
/// 2. idle connections, the least recently used first;
/// 3. new connections without a request for [`CROWDED_GRACE`], the oldest first;
/// 4. connections with an incomplete request for [`EVICTION_GRACE`].
///
/// Where new connections exceed [`MAX_NEW_FRACTION`], only they are evicted, and none before its [`CROWDED_GRACE`] is
/// over. This way a flood of silent connections neither displaces all idle ones nor remains open, and a new client has
/// time to send its request.
#[derive(Default)]
pub(in crate::net) struct EvictionOrder {
    new: Queue,
    idle: Queue,
    receiving: Queue,
}

impl EvictionOrder {
    fn queue(&mut self, phase: Phase) -> Option<&mut Queue> {
        match phase {
            Phase::New => Some(&mut self.new),
            Phase::Idle => Some(&mut self.idle),
            Phase::Receiving => Some(&mut self.receiving),
            Phase::Streaming | Phase::AwaitingAnswer | Phase::Answering => None,
        }
    }

    /// Adds a connection that entered its phase at `phase_since`.
    pub fn insert(&mut self, phase: Phase, phase_since: Instant, id: ClientId) {
        if let Some(queue) = self.queue(phase) {
            queue.insert(Candidate { phase_since, id });
        }
    }

    /// Removes a connection that was added with the same arguments, if it is still in its queue.
    pub fn remove(&mut self, phase: Phase, phase_since: Instant, id: ClientId) {
        if let Some(queue) = self.queue(phase) {
            queue.remove(&Candidate { phase_since, id });
        }
    }

    /// Removes and returns the connection to be evicted at a limit of `max_clients`; `None` if none may be evicted now.
    pub fn pop(&mut self, now: Instant, max_clients: usize) -> Option<ClientId> {
        let is_crowded =
            self.idle.is_empty() || self.new.len() as f64 > max_clients as f64 * MAX_NEW_FRACTION;
        let grace = if is_crowded {
            CROWDED_GRACE
        } else {
            EVICTION_GRACE
        };
        if let Some(silent) = pop_overdue(&mut self.new, now, grace) {
            return Some(silent);
        }
        if !is_crowded {
            return self.idle.pop_first().map(|candidate| candidate.id);
        }
        if !self.new.is_empty() {
            // One of the new connections can be evicted soon.
            return None;
        }
        pop_overdue(&mut self.receiving, now, EVICTION_GRACE)
    }
}

/// Removes and returns the first connection of a queue if its grace period is over.
fn pop_overdue(queue: &mut Queue, now: Instant, grace: Duration) -> Option<ClientId> {
    let oldest = queue.first()?;
    if now.saturating_duration_since(oldest.phase_since) < grace {
        return None;
    }
    queue.pop_first().map(|candidate| candidate.id)
}
