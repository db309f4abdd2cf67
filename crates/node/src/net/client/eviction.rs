//! Which client's connection is closed first when there is no room for another.

use super::Phase;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Identifies a client's connection within its process.
pub(in crate::net) type ClientId = u64;

/// Under pressure, a connection that has brought no whole request for so long loses its place before others.
pub(super) const EVICTION_GRACE: Duration = Duration::from_secs(1);
/// The same for a new connection where many of them have not asked yet, or none rests that could go in its place: others
/// wait in the backlog meanwhile.
pub(in crate::net) const CROWDED_GRACE: Duration = Duration::from_millis(20);
/// The part of all places that connections which have not asked yet may hold while others rest. Requests hold three fifths
/// at most (`reelfall_config::check::parts`): some are left for connections that rest.
const NEW_PART: f64 = 0.25;

/// Connections in one phase, the longest in it first.
type Queue = BTreeSet<(Instant, ClientId)>;

/// The connections that may be evicted. One whose request is being answered is in none of the queues.
///
/// In this order: what has not asked anything for [`EVICTION_GRACE`]; what rests after an answer, the least recently used
/// first; what has not asked for [`CROWDED_GRACE`], the oldest first; what has brought part of a request for
/// [`EVICTION_GRACE`]. Where connections that have not asked yet hold more than [`NEW_PART`] of all places, they alone go,
/// and none before its [`CROWDED_GRACE`] is over.
///
/// Guards against a new connection's end while its client pauses before asking, and against floods of silent connections,
/// which can push out neither all that rest nor keep any place. Harm: a client may find an idle connection closed sooner
/// than usual, and others wait in the backlog for up to [`CROWDED_GRACE`] more.
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

    /// Adds a connection that is in a phase since then.
    pub fn insert(&mut self, phase: Phase, since: Instant, id: ClientId) {
        if let Some(queue) = self.queue(phase) {
            queue.insert((since, id));
        }
    }

    /// Takes a connection out that was added so, if it still is here.
    pub fn remove(&mut self, phase: Phase, since: Instant, id: ClientId) {
        if let Some(queue) = self.queue(phase) {
            queue.remove(&(since, id));
        }
    }

    /// Takes out the connection to be evicted where there are places for `max_clients`; `None` if all stay for now.
    pub fn pop(&mut self, now: Instant, max_clients: usize) -> Option<ClientId> {
        let crowded = self.idle.is_empty() || self.new.len() as f64 > max_clients as f64 * NEW_PART;
        let grace = if crowded {
            CROWDED_GRACE
        } else {
            EVICTION_GRACE
        };
        if let Some(silent) = pop_overdue(&mut self.new, now, grace) {
            return Some(silent);
        }
        if !crowded {
            return self
                .idle
                .pop_first()
                .map(|(_, least_recently_used)| least_recently_used);
        }
        if !self.new.is_empty() {
            // The grace of one of them is over soon.
            return None;
        }
        pop_overdue(&mut self.receiving, now, EVICTION_GRACE)
    }
}

/// Takes out the first connection of a queue if its grace is over.
fn pop_overdue(queue: &mut Queue, now: Instant, grace: Duration) -> Option<ClientId> {
    let (since, _) = queue.first()?;
    if now.saturating_duration_since(*since) < grace {
        return None;
    }
    queue.pop_first().map(|(_, id)| id)
}
