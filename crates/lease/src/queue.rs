//! The queue of clients that wait for a lease, longest wait first.
//!
//! Each keeper has its own queue, ordered by the waiting times that clients report, so that the queues of all keepers
//! agree. When a lease becomes available, it is reserved for the first client, and only that client is notified: a
//! release wakes one client rather than, for example, three hundred. The first client may be gone, so its reservation
//! expires, and from then on any client may acquire the lease.

use crate::message::ClientId;
use crate::Micros;

/// Clients whose waits began within the same interval of this length, in microseconds, are ordered by their identities.
/// Otherwise keepers would disagree on the order of two clients that began at the same time, since the reported waiting
/// times reach each keeper after a different delay.
const ARRIVAL_INTERVAL: i64 = 250_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiter {
    client: ClientId,
    /// When the wait began, on this keeper's clock; negative if it began before the clock's zero.
    waiting_since: i64,
    /// When the keeper handled its last request.
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
    /// Whether the lease is available and reserved for no client.
    is_unreserved: bool,
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
    /// Adds a client whose request was rejected, or notes its request if it waits already. Returns whether the queue had
    /// capacity for it.
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
        let waiting_since = now as i64 - i64::try_from(waited).unwrap_or(i64::MAX);
        let interval = |since: i64| since.div_euclid(ARRIVAL_INTERVAL);
        let position = self.waiters.partition_point(|waiter| {
            (interval(waiter.waiting_since), &waiter.client) < (interval(waiting_since), client)
        });
        self.waiters.insert(
            position,
            Waiter {
                client: client.clone(),
                waiting_since,
                last_request: now,
            },
        );
        true
    }

    /// Removes the client that was granted the lease from the queue, and ends any reservation.
    pub fn handle_grant(&mut self, client: &ClientId) {
        self.waiters.retain(|waiter| waiter.client != *client);
        self.reservation = None;
        self.is_unreserved = false;
    }

    /// Returns whether this client may acquire the lease, which must be available; reserves it first if that was not done
    /// when it became available.
    pub fn may_acquire(
        &mut self,
        now: Micros,
        client: &ClientId,
        timeouts: &QueueTimeouts,
    ) -> bool {
        self.expire_reservation(now);
        if !self.is_unreserved && self.reservation.is_none() {
            self.reserve_for_first(now, timeouts);
        }
        self.reservation
            .as_ref()
            .is_none_or(|reservation| reservation.client == *client)
    }

    /// Reserves the lease, which is available from now on, for the first client; returns that client, which has to be
    /// notified. Clients that have been idle for too long are removed before.
    pub fn reserve_for_first(&mut self, now: Micros, timeouts: &QueueTimeouts) -> Option<ClientId> {
        self.waiters
            .retain(|waiter| waiter.last_request + timeouts.idle > now);
        let first = self.waiters.first().map(|first| first.client.clone());
        self.is_unreserved = first.is_none();
        self.reservation = first.clone().map(|client| Reservation {
            client,
            expires_at: now + timeouts.reservation,
        });
        first
    }

    /// Ends a reservation that has expired. From then on any client may acquire the lease: the first client may be gone,
    /// or the keepers may have reserved the lease for different clients, so that none of them would ever get a majority.
    pub fn expire_reservation(&mut self, now: Micros) {
        let has_expired = |reservation: &mut Reservation| reservation.expires_at <= now;
        if self.reservation.take_if(has_expired).is_some() {
            self.is_unreserved = true;
        }
    }

    /// When the reservation expires; `None` if there is none.
    pub fn deadline(&self) -> Option<Micros> {
        self.reservation
            .as_ref()
            .map(|reservation| reservation.expires_at)
    }

    /// The waiting clients, longest wait first.
    pub fn clients(&self) -> impl Iterator<Item = &ClientId> {
        self.waiters.iter().map(|waiter| &waiter.client)
    }

    /// Whether no client waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
