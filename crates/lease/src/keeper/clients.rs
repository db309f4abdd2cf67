//! Handles requests from clients.

use super::{Destination, Keeper};
use crate::durable::Record;
use crate::message::{
    ClientId, LogPosition, Message, Promise, RejectionReason, Request, Response, StorageId, Vote,
};
use crate::queue::Queue;
use crate::token::LeaseName;
use crate::Micros;

/// The log position that is reported for a folder without an identity.
const NO_POSITION: LogPosition = LogPosition {
    storage_id: StorageId {
        generation: 0,
        nonce: 0,
    },
    record_count: 0,
};

/// A client's request for a promise.
struct Prepare<'a> {
    client: &'a ClientId,
    lease: &'a LeaseName,
    ballot: u64,
    duration: Micros,
    waited: Micros,
}

impl Prepare<'_> {
    /// Adds the client to the queue of the lease. Returns why the request is rejected: the given reason, or
    /// [`RejectionReason::AtCapacity`] if the queue is full.
    fn enqueue(
        &self,
        now: Micros,
        queue: &mut Queue,
        max_waiters: usize,
        reason: RejectionReason,
    ) -> RejectionReason {
        if queue.enqueue(now, self.client, self.waited, max_waiters) {
            reason
        } else {
            RejectionReason::AtCapacity
        }
    }
}

impl Keeper {
    /// Handles a request from a client.
    pub fn handle_request(&mut self, now: Micros, from: &ClientId, request: Request) {
        let response = match request {
            Request::Prepare {
                lease,
                round,
                ballot,
                duration,
                waited,
            } => {
                let prepare = Prepare {
                    client: from,
                    lease: &lease,
                    ballot,
                    duration,
                    waited,
                };
                Some(match self.promise(now, &prepare) {
                    Ok(()) => Response::Promised {
                        lease,
                        round,
                        vote: self.vote(),
                    },
                    Err(reason) => self.reject(lease, round, reason),
                })
            }
            Request::Grant {
                lease,
                round,
                token,
                duration,
                known_positions,
            } => Some(
                match self.grant(now, from, &lease, token, duration, &known_positions) {
                    Ok(()) => Response::Granted {
                        lease,
                        round,
                        vote: self.vote(),
                    },
                    Err(reason) => self.reject(lease, round, reason),
                },
            ),
            Request::Release { lease, token } => {
                self.release(now, from, &lease, token);
                None
            }
        };
        if let Some(response) = response {
            self.send(
                Destination::Client(from.clone()),
                Message::Response(response),
            );
        }
    }

    fn reject(&self, lease: LeaseName, round: u64, reason: RejectionReason) -> Response {
        let promised = self.state.promised_ballot(&lease);
        Response::Rejected {
            lease,
            round,
            reason,
            promised,
        }
    }

    fn vote(&self) -> Vote {
        let own_position = self.state.log_position().unwrap_or(NO_POSITION);
        let mut known_positions = self.peer_positions.clone();
        if let Some(mine) = known_positions.get_mut(self.own_index) {
            *mine = Some(own_position);
        }
        Vote {
            own_position,
            known_positions,
        }
    }

    /// Promises a ballot to a client. The safety of leases rests on two rules: a lease that is granted to one client is
    /// not promised to another, and no ballot is promised twice.
    fn promise(&mut self, now: Micros, prepare: &Prepare) -> Result<(), RejectionReason> {
        let Prepare {
            client,
            lease,
            ballot,
            duration,
            ..
        } = *prepare;
        if !self.recovery.is_voting() {
            return Err(RejectionReason::NotVoting);
        }
        if duration == 0 || duration > self.config.max_duration {
            return Err(RejectionReason::InvalidDuration);
        }
        self.ensure_capacity(now, lease)?;
        let config = self.config;
        let promised_ballot = self.state.promised_ballot(lease);
        let is_promised_to_client = self
            .state
            .promises
            .get(lease)
            .is_some_and(|promise| promise.client.as_ref() == Some(client));
        let volatile = self.leases.entry(lease.clone()).or_default();
        volatile.last_use = config.round_last_use(now);
        let granted_to_other = volatile
            .granted_until
            .filter(|until| *until > now && !is_promised_to_client);
        if let Some(until) = granted_to_other {
            let reason = RejectionReason::Held {
                remaining: until - now,
            };
            return Err(prepare.enqueue(now, &mut volatile.queue, config.max_waiters, reason));
        }
        let is_repeated = is_promised_to_client && ballot == promised_ballot;
        if is_repeated {
            return Ok(());
        }
        if ballot <= promised_ballot {
            return Err(RejectionReason::StaleBallot);
        }
        // A higher ballot of the same process releases its previous grant.
        volatile.granted_until = None;
        let may_acquire = volatile
            .queue
            .may_acquire(now, client, &config.queue_timeouts);
        if !may_acquire {
            let reason = RejectionReason::NotFirstInQueue;
            return Err(prepare.enqueue(now, &mut volatile.queue, config.max_waiters, reason));
        }
        let promise = Promise {
            ballot,
            client: Some(client.clone()),
            duration,
        };
        self.append(Record::Promised(lease.clone(), promise));
        Ok(())
    }

    fn grant(
        &mut self,
        now: Micros,
        from: &ClientId,
        lease: &LeaseName,
        token: u64,
        duration: Micros,
        known_positions: &[Option<LogPosition>],
    ) -> Result<(), RejectionReason> {
        if !self.recovery.is_voting() {
            return Err(RejectionReason::NotVoting);
        }
        let is_promised = self.is_promised(lease, token, from, Some(duration));
        let volatile = self.leases.entry(lease.clone()).or_default();
        if !is_promised || volatile.released == Some(token) {
            return Err(RejectionReason::StaleBallot);
        }
        volatile.granted_until = Some(now + self.config.drift_margin.keeper_duration(duration));
        volatile.last_use = self.config.round_last_use(now);
        volatile.queue.handle_grant(from);
        self.record_positions(known_positions);
        Ok(())
    }

    /// Whether the latest promise for the lease is of this ballot to this client, and for at least this duration if one
    /// is given.
    fn is_promised(
        &self,
        lease: &LeaseName,
        ballot: u64,
        client: &ClientId,
        duration: Option<Micros>,
    ) -> bool {
        self.state.promises.get(lease).is_some_and(|promise| {
            promise.ballot == ballot
                && promise.client.as_ref() == Some(client)
                && duration.is_none_or(|duration| duration <= promise.duration)
        })
    }

    /// Records the latest positions of the other keepers, which the client has collected from their promises, so that
    /// none of them can return with an older folder undetected.
    fn record_positions(&mut self, known_positions: &[Option<LogPosition>]) {
        let (own_index, keepers) = (self.own_index, self.keepers);
        for (keeper, position) in known_positions
            .iter()
            .enumerate()
            .filter(|(keeper, _)| *keeper != own_index && *keeper < keepers)
        {
            let known = self.state.peer_positions.get(&(keeper as u8));
            let newer = position.filter(|position| known.is_none_or(|known| known < position));
            if let Some(position) = newer {
                self.append(Record::PeerPosition(keeper as u8, position));
                self.peer_positions[keeper] = self.peer_positions[keeper].max(Some(position));
            }
        }
    }

    fn release(&mut self, now: Micros, from: &ClientId, lease: &LeaseName, token: u64) {
        let is_promised = self.is_promised(lease, token, from, None);
        let Some(volatile) = self.leases.get_mut(lease).filter(|_| is_promised) else {
            return;
        };
        volatile.granted_until = None;
        volatile.released = Some(token);
        self.announce_if_available(now, lease);
    }

    /// If the lease is not granted, reserves it for the first client in the queue and notifies that client.
    pub(super) fn announce_if_available(&mut self, now: Micros, lease: &LeaseName) {
        let timeouts = self.config.queue_timeouts;
        let Some(volatile) = self.leases.get_mut(lease).filter(|v| !v.is_granted(now)) else {
            return;
        };
        volatile.granted_until = None;
        if let Some(first) = volatile.queue.reserve_for_first(now, &timeouts) {
            let response = Response::Available {
                lease: lease.clone(),
            };
            self.send(Destination::Client(first), Message::Response(response));
        }
    }
}
