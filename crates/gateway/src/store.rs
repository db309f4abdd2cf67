//! The records of forwarded requests at the peer, which executes each ticket at most once and answers status queries.
//!
//! To bound memory, old records are removed. For the latest incarnation of each origin, the store has a *floor*: the
//! record of a ticket below it may have been removed, so a request without a record is not executed, and a query is
//! answered with [`TicketStatus::Unknown`]. A ticket at or above the floor without a record was certainly never
//! executed. Removing a record raises the floor above its ticket.

use crate::ticket::{OriginId, Ticket, TicketStatus};
use crate::Millis;
use std::collections::BTreeMap;

/// What to do with an offered request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Admission<A> {
    /// Execute the request, and report its end to [`TicketStore::complete`] or [`TicketStore::reject`].
    Execute,
    /// Do not execute the request; reply with this status.
    Reply(TicketStatus<A>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RecordState<A> {
    /// The request was never executed, and never will be.
    Fenced,
    InProgress,
    Completed(A),
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record<A> {
    state: RecordState<A>,
    /// When the record may be removed. Records of requests in progress never expire.
    expires_at: Millis,
}

impl<A> Record<A> {
    fn has_ended(&self) -> bool {
        !matches!(self.state, RecordState::InProgress)
    }
}

/// Identifies a record in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecordKey {
    node: u32,
    number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Origin<A> {
    /// The latest known incarnation of the origin.
    incarnation: u64,
    /// The status of tickets below the floor without a record is unknown.
    floor: u64,
    records: BTreeMap<u64, Record<A>>,
}

/// The records of tickets that were offered to this incarnation of a peer, or whose status was queried.
///
/// The number of records is bounded by `max_records`, and their age after the end of the request by `retention`. An
/// origin without records takes constant memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TicketStore<A> {
    incarnation: u64,
    retention: Millis,
    max_records: usize,
    origins: BTreeMap<u32, Origin<A>>,
    record_count: usize,
}

impl<A: Clone> TicketStore<A> {
    /// Creates an empty store for an incarnation of the peer. Records of requests that have ended are kept for
    /// `retention`; the oldest is removed earlier if there would be more than `max_records`.
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

    /// Number of records, including those of requests in progress.
    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// The state of an origin; `None` if a later incarnation than `id` is known. The first use of a later incarnation
    /// removes the records of the earlier one, whose status nobody queries any more and whose requests must not be
    /// executed.
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

    /// Decides whether to execute a request that was offered to the incarnation `offered_to` of this peer.
    ///
    /// No request is executed twice: a copy is not executed if it arrives after the origin received "never ran" or
    /// after the record was removed, or if it was offered to an earlier incarnation. Requests are rejected while
    /// `max_records` are in progress.
    pub fn admit(&mut self, now: Millis, ticket: Ticket, offered_to: u64) -> Admission<A> {
        if offered_to != self.incarnation {
            // The incarnation that the request was offered to may have executed it.
            return Admission::Reply(TicketStatus::Unknown);
        }
        if let Some(status) = self.known_status(ticket) {
            return Admission::Reply(status);
        }
        if self.insert(now, ticket, RecordState::InProgress) {
            return Admission::Execute;
        }
        // The ticket has no record, but is below the floor now, so the request will never be executed.
        Admission::Reply(TicketStatus::NeverRan)
    }

    /// The status of a ticket; `None` if it was certainly neither offered nor queried before.
    fn known_status(&mut self, ticket: Ticket) -> Option<TicketStatus<A>> {
        let Some(origin) = self.origin(ticket.origin) else {
            return Some(TicketStatus::Unknown);
        };
        match origin.records.get(&ticket.number) {
            Some(record) => Some(Self::status(&record.state)),
            None => (ticket.number < origin.floor).then_some(TicketStatus::Unknown),
        }
    }

    /// Inserts a record for a new ticket, and returns whether there was capacity for it. Without capacity, the floor is
    /// raised above the ticket instead, which fences the ticket and all lower ones without a record.
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

    /// Ends a request that was executed, with or without a response.
    pub fn complete(&mut self, now: Millis, ticket: Ticket, response: Option<A>) {
        let state = response.map_or(RecordState::Failed, RecordState::Completed);
        self.end(now, ticket, state);
    }

    /// Ends a request that was admitted but did not run, because this site rejected it afterwards.
    pub fn reject(&mut self, now: Millis, ticket: Ticket) {
        self.end(now, ticket, RecordState::Fenced);
    }

    /// Sets the final state of a request in progress. Does nothing if the request has ended or has no record.
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

    /// Answers a status query of the ticket's origin. A ticket that was never executed is fenced, so that it never will
    /// be.
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

    /// If the store is full, removes the oldest record of a request that has ended. Returns whether there is capacity
    /// afterwards. Records of requests in progress are never removed.
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

    /// Removes the records whose retention time has passed.
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
