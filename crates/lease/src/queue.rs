//! The queue of clients that wait for a lease, longest wait first.
//!
//! Each keeper has its own queue, ordered by the waiting times that clients report, so that the queues are alike. When a
//! lease becomes available, the first client is notified, and during its turn nobody else is promised the lease: a
//! release wakes one client and not three hundred. The first client may be gone, so its turn expires, and from then on
//! any client may acquire the lease.

use crate::message::ClientId;
use crate::Micros;

/// Clients whose waits began within the same interval of this length, in microseconds, are ordered by their identities.
/// Otherwise keepers would disagree on the order of two that began together, since the reported waiting times reach each
/// keeper after a different delay.
const ARRIVAL_INTERVAL: i64 = 250_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiter {
    client: ClientId,
    /// When the wait began, by this keeper's clock; negative if it began before the clock did.
    since: i64,
    /// When its last request was received.
    last_request: Micros,
}

/// The clients that wait for one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Queue {
    waiters: Vec<Waiter>,
    /// The client whose turn it is, and when the turn expires.
    turn: Option<(ClientId, Micros)>,
    /// The lease is available, and it is nobody's turn.
    open: bool,
}

/// Time limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QueueTimeouts {
    /// The time that a client has to acquire the lease in its turn, in microseconds.
    pub turn: Micros,
    /// A client that has sent no request for this time, in microseconds, is removed from the queue.
    pub idle: Micros,
}

impl Queue {
    /// Adds a client whose request was rejected. Returns whether the queue has capacity for it.
    pub fn enqueue(
        &mut self,
        now: Micros,
        client: &ClientId,
        waited: Micros,
        max_waiters: usize,
    ) -> bool {
        if let Some(waiter) = self.waiters.iter_mut().find(|w| w.client == *client) {
            waiter.last_request = now;
            return true;
        }
        if self.waiters.len() >= max_waiters {
            return false;
        }
        let since = now as i64 - i64::try_from(waited).unwrap_or(i64::MAX);
        let interval = |since: i64| since.div_euclid(ARRIVAL_INTERVAL);
        let position = self
            .waiters
            .partition_point(|w| (interval(w.since), &w.client) < (interval(since), client));
        self.waiters.insert(
            position,
            Waiter {
                client: client.clone(),
                since,
                last_request: now,
            },
        );
        true
    }

    /// The lease was granted to this client: it leaves the queue, and any turn is over.
    pub fn handle_grant(&mut self, client: &ClientId) {
        self.waiters.retain(|w| w.client != *client);
        (self.turn, self.open) = (None, false);
    }

    /// Whether this client may acquire the lease, which is available.
    pub fn may_acquire(
        &mut self,
        now: Micros,
        client: &ClientId,
        timeouts: &QueueTimeouts,
    ) -> bool {
        self.expire_turn(now);
        if !self.open && self.turn.is_none() {
            self.begin_turn(now, timeouts);
        }
        self.turn.as_ref().is_none_or(|(first, _)| first == client)
    }

    /// The lease is available from now on; returns the client to notify, whose turn begins.
    pub fn begin_turn(&mut self, now: Micros, timeouts: &QueueTimeouts) -> Option<ClientId> {
        self.waiters
            .retain(|w| w.last_request + timeouts.idle > now);
        let first = self.waiters.first().map(|first| first.client.clone());
        self.open = first.is_none();
        self.turn = first.clone().map(|first| (first, now + timeouts.turn));
        first
    }

    /// Ends a turn whose time is over. From then on any client may acquire the lease, since the first client may be gone,
    /// or the keepers may disagree on it so that no client would ever get a majority.
    pub fn expire_turn(&mut self, now: Micros) {
        if self.turn.take_if(|(_, until)| *until <= now).is_some() {
            self.open = true;
        }
    }

    /// When the current turn expires.
    pub fn deadline(&self) -> Option<Micros> {
        self.turn.as_ref().map(|(_, until)| *until)
    }

    /// The waiting clients, longest wait first.
    pub fn clients(&self) -> impl Iterator<Item = &ClientId> {
        self.waiters.iter().map(|w| &w.client)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
