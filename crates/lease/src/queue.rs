//! The queue of clients that wait for a lease, longest wait first.
//!
//! Each keeper has its own queue, ordered by the waiting times that clients report, so that the queues are alike. When a
//! lease becomes available, the first client is notified, and the lease is reserved for it: a release wakes one
//! client and not three hundred. The first client may be gone, so its reservation expires, and from then on any client
//! may acquire the lease.

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

/// A lease that is available to one client only, until the reservation expires.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reservation {
    client: ClientId,
    expires_at: Micros,
}

/// The clients that wait for one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Queue {
    waiters: Vec<Waiter>,
    reservation: Option<Reservation>,
    /// The lease is available, and it is reserved for nobody.
    open: bool,
}

/// Time limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QueueTimeouts {
    /// The time that a client has to acquire a lease that is reserved for it, in microseconds.
    pub reservation: Micros,
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
        if let Some(waiter) = self
            .waiters
            .iter_mut()
            .find(|waiter| waiter.client == *client)
        {
            waiter.last_request = now;
            return true;
        }
        if self.waiters.len() >= max_waiters {
            return false;
        }
        let since = now as i64 - i64::try_from(waited).unwrap_or(i64::MAX);
        let interval = |since: i64| since.div_euclid(ARRIVAL_INTERVAL);
        let position = self.waiters.partition_point(|waiter| {
            (interval(waiter.since), &waiter.client) < (interval(since), client)
        });
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

    /// The lease was granted to this client: it is removed from the queue, and any reservation ends.
    pub fn handle_grant(&mut self, client: &ClientId) {
        self.waiters.retain(|waiter| waiter.client != *client);
        self.reservation = None;
        self.open = false;
    }

    /// Whether this client may acquire the lease, which is available.
    pub fn may_acquire(
        &mut self,
        now: Micros,
        client: &ClientId,
        timeouts: &QueueTimeouts,
    ) -> bool {
        self.expire_reservation(now);
        if !self.open && self.reservation.is_none() {
            self.reserve_for_first(now, timeouts);
        }
        self.reservation
            .as_ref()
            .is_none_or(|reservation| reservation.client == *client)
    }

    /// The lease is available from now on: reserves it for the first client, and returns that client, to be notified.
    pub fn reserve_for_first(&mut self, now: Micros, timeouts: &QueueTimeouts) -> Option<ClientId> {
        self.waiters
            .retain(|waiter| waiter.last_request + timeouts.idle > now);
        let first = self.waiters.first().map(|first| first.client.clone());
        self.open = first.is_none();
        self.reservation = first.clone().map(|client| Reservation {
            client,
            expires_at: now + timeouts.reservation,
        });
        first
    }

    /// Ends a reservation that has expired. From then on any client may acquire the lease, since the first client may be gone,
    /// or the keepers may disagree on it so that no client would ever get a majority.
    pub fn expire_reservation(&mut self, now: Micros) {
        let has_expired = |reservation: &mut Reservation| reservation.expires_at <= now;
        if self.reservation.take_if(has_expired).is_some() {
            self.open = true;
        }
    }

    /// When the current reservation expires.
    pub fn deadline(&self) -> Option<Micros> {
        self.reservation
            .as_ref()
            .map(|reservation| reservation.expires_at)
    }

    /// The waiting clients, longest wait first.
    pub fn clients(&self) -> impl Iterator<Item = &ClientId> {
        self.waiters.iter().map(|waiter| &waiter.client)
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
