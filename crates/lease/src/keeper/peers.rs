//! A keeper's handling of messages from its peers, the other keepers.

use super::{Destination, Keeper};
use crate::durable::Record;
use crate::message::{LogPosition, Message, PeerMessage, Promise, MAX_MESSAGE_LEN};
use crate::recovery::Status;
use crate::token::{LeaseName, MAX_LEASE_NAME_LEN};
use crate::Micros;
use std::ops::Bound;

/// Maximum size of a page of promises without the promises, in bytes.
const PAGE_OVERHEAD: usize = 2 * MAX_LEASE_NAME_LEN + 64;
/// Maximum size of a promise without its two names, in bytes: the lengths of the names, and the instance ID, the ballot
/// and the duration, each of at most 10 bytes.
const PROMISE_OVERHEAD: usize = 2 + 3 * 10;

impl Keeper {
    /// Handles a message from a peer.
    pub fn handle_peer_message(&mut self, now: Micros, from: usize, message: PeerMessage) {
        if from >= self.keepers || from == self.own_index {
            return;
        }
        match message {
            PeerMessage::PositionQuery { position } => self.handle_position_query(from, position),
            PeerMessage::PositionReply {
                recorded,
                is_voting,
            } => {
                self.recovery
                    .handle_position_reply(now, from, &self.state, recorded, is_voting);
                self.advance_recovery(now);
            }
            PeerMessage::PromiseQuery { after } => {
                let page = self.promise_page(after);
                self.send(Destination::Keeper(from), Message::Peer(page));
            }
            PeerMessage::PromisePage {
                after,
                promises,
                ballot_floor,
                is_last,
                is_voting,
            } => {
                self.adopt_promises(now, &promises, ballot_floor);
                let up_to = promises.last().map(|(lease, _)| lease.clone()).or(after);
                self.recovery
                    .handle_promise_page(now, from, up_to, is_last, is_voting);
                self.advance_recovery(now);
            }
        }
    }

    fn handle_position_query(&mut self, from: usize, position: Option<LogPosition>) {
        let recorded = self.state.peer_positions.get(&(from as u8)).copied();
        let new_storage =
            position.filter(|new| recorded.is_none_or(|old| old.storage_id < new.storage_id));
        // A folder that was in use before is not written to until the peers have verified it: an old copy would otherwise
        // grow to the number of records that the peers know before they have reported that, and would pass for the
        // latest.
        let may_write = !matches!(
            self.recovery.status(),
            Status::Verifying | Status::Rejected(_)
        );
        if position > self.peer_positions[from] && (may_write || new_storage.is_none()) {
            self.peer_positions[from] = position;
            if let Some(position) = new_storage {
                self.append(Record::PeerPosition(from as u8, position));
            }
        }
        let (recorded, is_voting) = (self.peer_positions[from], self.recovery.is_voting());
        let reply = PeerMessage::PositionReply {
            recorded,
            is_voting,
        };
        self.send(Destination::Keeper(from), Message::Peer(reply));
    }

    /// Advances the recovery as far as possible, and sends the queries that are due.
    pub(super) fn advance_recovery(&mut self, now: Micros) {
        while let Some(record) = self.recovery.advance(now, &self.state) {
            self.append(record);
        }
        for query in self.recovery.tick(now, &self.state) {
            self.send(
                Destination::Keeper(query.peer),
                Message::Peer(query.message),
            );
        }
    }

    /// A page of the promises for the leases after this one, as many as fit in a message.
    fn promise_page(&self, after: Option<LeaseName>) -> PeerMessage {
        let from = after.clone().map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self
            .state
            .promises
            .range((from, Bound::Unbounded))
            .peekable();
        let (mut promises, mut free_bytes) = (Vec::new(), MAX_MESSAGE_LEN - PAGE_OVERHEAD);
        while let Some((lease, promise)) = rest.next_if(|(lease, promise)| {
            let client = promise
                .client
                .as_ref()
                .map_or(0, |client| client.name.len());
            let size = lease.as_str().len() + client + PROMISE_OVERHEAD;
            let fits = size <= free_bytes;
            free_bytes = free_bytes.saturating_sub(size);
            fits
        }) {
            promises.push((lease.clone(), promise.clone()));
        }
        let is_last = rest.peek().is_none();
        let is_voting = self.recovery.is_voting();
        PeerMessage::PromisePage {
            after,
            promises,
            ballot_floor: self.state.ballot_floor,
            is_last,
            is_voting,
        }
    }

    /// Adopts the promises of a peer, so that no ballot that the peer has promised is promised here again.
    ///
    /// They are adopted without their clients, and the lease is granted to no client for its whole duration: a promise of
    /// one peer is not one of a majority, and the holder may have its majority only by a grant of this keeper's previous
    /// folder.
    fn adopt_promises(
        &mut self,
        now: Micros,
        promises: &[(LeaseName, Promise)],
        ballot_floor: u64,
    ) {
        if !matches!(self.recovery.status(), Status::CatchingUp) {
            return;
        }
        for (lease, promise) in promises {
            self.adopt_promise(now, lease, promise);
        }
        if ballot_floor > self.state.ballot_floor {
            self.append(Record::BallotFloor(ballot_floor));
        }
    }

    fn adopt_promise(&mut self, now: Micros, lease: &LeaseName, promise: &Promise) {
        if self.ensure_capacity(now, lease).is_err() {
            // The promise can't be stored, so the floor covers its ballot: no lease is promised a ballot as low as this.
            self.append(Record::BallotFloor(promise.ballot));
            return;
        }
        // The longest duration of all peers is stored: after a restart, the keeper knows only from its disk for how long
        // it must not grant the lease.
        let own = self
            .state
            .promises
            .get(lease)
            .map_or((0, 0), |own| (own.ballot, own.duration));
        let (ballot, duration) = (promise.ballot.max(own.0), promise.duration.max(own.1));
        if (ballot, duration) != own {
            let adopted = Promise {
                ballot,
                client: None,
                duration,
            };
            self.append(Record::Promised(lease.clone(), adopted));
        }
        let granted_until = Some(now + self.config.drift_margin.keeper_duration(promise.duration));
        let volatile = self.leases.entry(lease.clone()).or_default();
        volatile.granted_until = volatile.granted_until.max(granted_until);
        volatile.last_use = self.config.round_last_use(now);
    }
}
