//! The peer's side of a forwarded request: it executes each ticket at most once, and answers queries about tickets.
//!
//! The memory is bounded. For each incarnation of an origin the store has a *floor*: of a ticket below the floor that has no
//! record, nothing is known any more; a copy of it is not executed, and a query is answered with
//! [`TicketStatus::Unknown`]. A ticket at or above the floor without a record was certainly never executed. Memory that runs
//! out raises the floor.

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
    /// The record may be removed then.
    expires_at: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Origin<A> {
    incarnation: u64,
    floor: u64,
    records: BTreeMap<u64, Record<A>>,
}

/// The records of all tickets that this incarnation of a peer was offered or asked about, as far as they are kept.
///
/// Bounded by `max_records` and by `retention`; an origin without records takes a few numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TicketStore<A> {
    incarnation: u64,
    retention: Millis,
    max_records: usize,
    origins: BTreeMap<u32, Origin<A>>,
    record_count: usize,
}

impl<A: Clone> TicketStore<A> {
    /// An empty store. `incarnation` is that of the peer. Records of requests that have ended are kept for `retention` at
    /// least, unless there would be more than `max_records`; then the oldest of them is removed.
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

    /// The records of an origin, if `id` is its latest known incarnation. A later incarnation removes the records of the
    /// earlier one: nobody asks for them any more, and copies of its requests must not be executed.
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

    /// A request has arrived that was offered to the incarnation `offered_to` of this peer.
    ///
    /// Guards against executing a request twice: by a copy that comes late, after its origin was told that it never ran or
    /// after its record was removed, and by one that was offered to an earlier incarnation. Harm: while as many requests
    /// are in progress as there may be records, further ones are rejected.
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
        // Without a record, and never to be executed: the floor is above it now.
        Admission::Reply(TicketStatus::NeverRan)
    }

    /// The status of a ticket; `None` if it is certain that it was never offered or asked about.
    fn known_status(&mut self, ticket: Ticket) -> Option<TicketStatus<A>> {
        let Some(origin) = self.origin(ticket.origin) else {
            return Some(TicketStatus::Unknown);
        };
        match origin.records.get(&ticket.number) {
            Some(record) => Some(Self::status(&record.state)),
            None => (ticket.number < origin.floor).then_some(TicketStatus::Unknown),
        }
    }

    /// Inserts a record for a new ticket, if there is room. If there is none, the floor rises past the ticket, which fences
    /// it as well, and all tickets below it without a record. Returns whether there was room.
    fn insert(&mut self, now: Millis, ticket: Ticket, state: RecordState<A>) -> bool {
        let has_room = self.make_room();
        let expires_at = now.saturating_add(self.retention);
        let Some(origin) = self.origin(ticket.origin) else {
            return false;
        };
        if has_room {
            origin
                .records
                .insert(ticket.number, Record { state, expires_at });
            self.record_count += 1;
        } else {
            origin.floor = origin.floor.max(ticket.number + 1);
        }
        has_room
    }

    /// A request that was executed has ended: with an answer, or without one, so that it may have run.
    pub fn complete(&mut self, now: Millis, ticket: Ticket, answer: Option<A>) {
        let state = answer.map_or(RecordState::Failed, RecordState::Completed);
        self.end(now, ticket, state);
    }

    /// A request that was admitted is known not to have run after all: this site's module has refused it.
    pub fn reject(&mut self, now: Millis, ticket: Ticket) {
        self.end(now, ticket, RecordState::Fenced);
    }

    /// Ends a request that is in progress.
    fn end(&mut self, now: Millis, ticket: Ticket, state: RecordState<A>) {
        let expires_at = now.saturating_add(self.retention);
        let Some(origin) = self.origin(ticket.origin) else {
            return;
        };
        let Some(record) = origin.records.get_mut(&ticket.number) else {
            return;
        };
        if matches!(record.state, RecordState::InProgress) {
            *record = Record { state, expires_at };
        }
    }

    /// An origin asks for the status of a ticket. One that was never executed never will be from here on.
    pub fn query(&mut self, now: Millis, ticket: Ticket, offered_to: u64) -> TicketStatus<A> {
        if offered_to != self.incarnation {
            return TicketStatus::Unknown;
        }
        self.known_status(ticket).unwrap_or_else(|| {
            // The fence.
            self.insert(now, ticket, RecordState::Fenced);
            TicketStatus::NeverRan
        })
    }

    fn status(state: &RecordState<A>) -> TicketStatus<A> {
        match state {
            RecordState::Fenced => TicketStatus::NeverRan,
            RecordState::InProgress => TicketStatus::InProgress,
            RecordState::Completed(answer) => TicketStatus::Completed(answer.clone()),
            RecordState::Failed => TicketStatus::Failed,
        }
    }

    /// Removes the oldest record of a request that has ended, if there is no room. Returns whether there is room now. Records
    /// of requests in progress are never removed.
    fn make_room(&mut self) -> bool {
        if self.record_count < self.max_records {
            return true;
        }
        let ended = self.origins.iter().flat_map(|(node, o)| {
            let ended = o
                .records
                .iter()
                .filter(|(_, r)| !matches!(r.state, RecordState::InProgress));
            ended.map(move |(number, r)| (r.expires_at, *node, *number))
        });
        match ended.min() {
            Some((_, node, number)) => {
                self.remove(node, number);
                true
            }
            None => false,
        }
    }

    fn remove(&mut self, node: u32, number: u64) {
        if let Some(origin) = self.origins.get_mut(&node) {
            if origin.records.remove(&number).is_some() {
                self.record_count -= 1;
                origin.floor = origin.floor.max(number + 1);
            }
        }
    }

    /// Removes the records whose retention is over.
    pub fn tick(&mut self, now: Millis) {
        let expired: Vec<(u32, u64)> = self
            .origins
            .iter()
            .flat_map(|(node, o)| {
                let expired = o.records.iter().filter(|(_, r)| {
                    !matches!(r.state, RecordState::InProgress) && r.expires_at <= now
                });
                expired.map(move |(number, _)| (*node, *number))
            })
            .collect();
        expired
            .into_iter()
            .for_each(|(node, number)| self.remove(node, number));
    }
}
