//! The records of forwarded requests at the peer, which executes each ticket at most once and answers status queries.
//!
//! Memory is bounded. For each incarnation of an origin the store has a *floor*: the record of a ticket below it may have
//! been removed, so that a copy without a record is not executed, and a query is answered with
//! [`TicketStatus::Unknown`]. A ticket at or above the floor without a record was certainly never executed. Removing a
//! record raises the floor.

use crate::ticket::{OriginId, Ticket, TicketStatus};
use crate::Millis;
use std::collections::BTreeMap;

/// What to do with an offered request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Admission<A> {
    /// Execute it, and report its end to [`TicketStore::complete`].
    Execute,
    /// Do not execute it; reply with this status.
    Reply(TicketStatus<A>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RecordState<A> {
    /// It was never executed, and never will be.
    Fenced,
    InProgress,
    Completed(A),
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record<A> {
    state: RecordState<A>,
    /// When the record may be removed; requests in progress never expire.
    expires_at: Millis,
}

impl<A> Record<A> {
    fn has_ended(&self) -> bool {
        !matches!(self.state, RecordState::InProgress)
    }
}

/// The place of a record in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordKey {
    node: u32,
    number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Origin<A> {
    /// The latest known incarnation.
    incarnation: u64,
    /// Tickets below it without a record are unknown.
    floor: u64,
    records: BTreeMap<u64, Record<A>>,
}

/// The records of tickets that were offered to this incarnation of a peer, or whose status was queried.
///
/// Their number is bounded by `max_records`, and their age by `retention`. An origin without records takes constant memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TicketStore<A> {
    incarnation: u64,
    retention: Millis,
    max_records: usize,
    origins: BTreeMap<u32, Origin<A>>,
    record_count: usize,
}

impl<A: Clone> TicketStore<A> {
    /// An empty store. `incarnation` is that of the peer. Records of requests that have ended are retained for `retention`,
    /// unless there would be more than `max_records`; then the oldest of them is removed.
    pub fn new(incarnation: u64, retention: Millis, max_records: usize) -> Self {
        let max_records = max_records.max(1);
        TicketStore {
            incarnation,
            retention,
            max_records,
            origins: BTreeMap::new(),
            record_count: 0,
        }
    }

    /// Number of records.
    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// The origin, if `id` is its latest known incarnation. A later incarnation removes the records of the earlier one,
    /// whose status nobody will query and whose requests must not be executed any more.
    fn origin(&mut self, id: OriginId) -> Option<&mut Origin<A>> {
        let new_origin = || Origin {
            incarnation: id.incarnation,
            floor: 0,
            records: BTreeMap::new(),
        };
        let origin = self.origins.entry(id.node).or_insert_with(new_origin);
        if origin.incarnation < id.incarnation {
            self.record_count -= origin.records.len();
            *origin = new_origin();
        }
        (origin.incarnation == id.incarnation).then_some(origin)
    }

    /// Decides on a request that was offered to the incarnation `offered_to` of this peer.
    ///
    /// No request is executed twice: neither a late copy, after its origin received "never ran" or after its record was
    /// removed, nor a copy that was offered to an earlier incarnation. Requests beyond `max_records` in progress are
    /// rejected.
    pub fn admit(&mut self, now: Millis, ticket: Ticket, offered_to: u64) -> Admission<A> {
        if offered_to != self.incarnation {
            // The incarnation that it was offered to may have executed it.
            return Admission::Reply(TicketStatus::Unknown);
        }
        if let Some(status) = self.known_status(ticket) {
            return Admission::Reply(status);
        }
        if self.insert(now, ticket, RecordState::InProgress) {
            return Admission::Execute;
        }
        // It has no record, but the floor is above it now, so it will never be executed.
        Admission::Reply(TicketStatus::NeverRan)
    }

    /// The status of a ticket; `None` if it is certain that it was neither offered nor queried before.
    fn known_status(&mut self, ticket: Ticket) -> Option<TicketStatus<A>> {
        let Some(origin) = self.origin(ticket.origin) else {
            return Some(TicketStatus::Unknown);
        };
        match origin.records.get(&ticket.number) {
            Some(record) => Some(Self::status(&record.state)),
            None => (ticket.number < origin.floor).then_some(TicketStatus::Unknown),
        }
    }

    /// Inserts a record for a new ticket and returns whether there was capacity for it. If there was none, the floor rises
    /// past the ticket, which fences it as well, and all tickets below it without a record.
    fn insert(&mut self, now: Millis, ticket: Ticket, state: RecordState<A>) -> bool {
        let has_capacity = self.ensure_capacity();
        let expires_at = now.saturating_add(self.retention);
        let Some(origin) = self.origin(ticket.origin) else {
            return false;
        };
        if has_capacity {
            origin
                .records
                .insert(ticket.number, Record { state, expires_at });
            self.record_count += 1;
        } else {
            origin.floor = origin.floor.max(ticket.number + 1);
        }
        has_capacity
    }

    /// Ends a request that was executed, with a response or without.
    pub fn complete(&mut self, now: Millis, ticket: Ticket, response: Option<A>) {
        let state = response.map_or(RecordState::Failed, RecordState::Completed);
        self.end(now, ticket, state);
    }

    /// Ends a request that was admitted but is known not to have run, because this site rejected it.
    pub fn reject(&mut self, now: Millis, ticket: Ticket) {
        self.end(now, ticket, RecordState::Fenced);
    }

    /// Sets the final state of a request in progress.
    fn end(&mut self, now: Millis, ticket: Ticket, state: RecordState<A>) {
        let expires_at = now.saturating_add(self.retention);
        let Some(origin) = self.origin(ticket.origin) else {
            return;
        };
        let Some(record) = origin.records.get_mut(&ticket.number) else {
            return;
        };
        if !record.has_ended() {
            *record = Record { state, expires_at };
        }
    }

    /// The status of a ticket, for its origin. If it was never executed, it is fenced: it never will be.
    pub fn query(&mut self, now: Millis, ticket: Ticket, offered_to: u64) -> TicketStatus<A> {
        if offered_to != self.incarnation {
            return TicketStatus::Unknown;
        }
        self.known_status(ticket).unwrap_or_else(|| {
            self.insert(now, ticket, RecordState::Fenced);
            TicketStatus::NeverRan
        })
    }

    fn status(state: &RecordState<A>) -> TicketStatus<A> {
        match state {
            RecordState::Fenced => TicketStatus::NeverRan,
            RecordState::InProgress => TicketStatus::InProgress,
            RecordState::Completed(response) => TicketStatus::Completed(response.clone()),
            RecordState::Failed => TicketStatus::Failed,
        }
    }

    /// Removes the oldest record of a request that has ended, if there is no capacity. Returns whether there is capacity
    /// now. Records of requests in progress are never removed.
    fn ensure_capacity(&mut self) -> bool {
        if self.record_count < self.max_records {
            return true;
        }
        let oldest = self
            .ended_records()
            .map(|(key, record)| (record.expires_at, key))
            .min();
        match oldest {
            Some((_, key)) => {
                self.remove(key);
                true
            }
            None => false,
        }
    }

    /// All records of requests that have ended.
    fn ended_records(&self) -> impl Iterator<Item = (RecordKey, &Record<A>)> {
        self.origins.iter().flat_map(|(node, origin)| {
            origin
                .records
                .iter()
                .filter(|(_, record)| record.has_ended())
                .map(|(number, record)| {
                    let key = RecordKey {
                        node: *node,
                        number: *number,
                    };
                    (key, record)
                })
        })
    }

    fn remove(&mut self, key: RecordKey) {
        let Some(origin) = self.origins.get_mut(&key.node) else {
            return;
        };
        if origin.records.remove(&key.number).is_some() {
            self.record_count -= 1;
            origin.floor = origin.floor.max(key.number + 1);
        }
    }

    /// Removes the records whose retention is over.
    pub fn tick(&mut self, now: Millis) {
        let expired: Vec<RecordKey> = self
            .ended_records()
            .filter(|(_, record)| record.expires_at <= now)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.remove(key);
        }
    }
}
