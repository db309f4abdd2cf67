//! Tests of the records of tickets at the peer.

use crate::{ticket, ticket_of, FIRST_INCARNATION, ORIGIN_INCARNATION, RETENTION};
use reelfall_gateway::store::{Admission, TicketStore};
use reelfall_gateway::ticket::TicketStatus;

#[test]
fn later_incarnation_of_an_origin_removes_earlier_records() {
    const LATER_INCARNATION: u64 = ORIGIN_INCARNATION + 1;
    let mut store: TicketStore<()> = TicketStore::new(FIRST_INCARNATION, RETENTION, 10);
    assert_eq!(
        store.admit(0, ticket(0), FIRST_INCARNATION),
        Admission::Execute
    );
    assert_eq!(
        store.admit(0, ticket_of(LATER_INCARNATION, 0), FIRST_INCARNATION),
        Admission::Execute
    );
    assert_eq!(store.record_count(), 1);
    // A request of the earlier incarnation is not executed, although its ticket has no record.
    assert_eq!(
        store.admit(0, ticket(1), FIRST_INCARNATION),
        Admission::Reply(TicketStatus::Unknown)
    );
    assert_eq!(
        store.query(0, ticket(0), FIRST_INCARNATION),
        TicketStatus::Unknown
    );
}

#[test]
fn records_are_limited_and_those_in_progress_are_never_removed() {
    const MAX_RECORDS: usize = 4;
    const LONG_AFTER_RETENTION: u64 = 1_000_000;
    let mut store: TicketStore<u64> = TicketStore::new(FIRST_INCARNATION, RETENTION, MAX_RECORDS);
    for number in 0..MAX_RECORDS as u64 {
        assert_eq!(
            store.admit(0, ticket(number), FIRST_INCARNATION),
            Admission::Execute
        );
    }
    assert_eq!(
        store.admit(0, ticket(4), FIRST_INCARNATION),
        Admission::Reply(TicketStatus::NeverRan)
    );
    assert_eq!(
        store.admit(0, ticket(4), FIRST_INCARNATION),
        Admission::Reply(TicketStatus::Unknown),
        "the rejection raised the floor instead of adding a record"
    );
    assert_eq!(
        store.query(0, ticket(2), FIRST_INCARNATION),
        TicketStatus::InProgress
    );
    store.complete(5, ticket(2), Some(9));
    assert_eq!(
        store.query(6, ticket(2), FIRST_INCARNATION),
        TicketStatus::Completed(9)
    );
    assert_eq!(
        store.admit(7, ticket(5), FIRST_INCARNATION),
        Admission::Execute,
        "the record of a completed request is replaced"
    );
    assert_eq!(
        store.query(8, ticket(2), FIRST_INCARNATION),
        TicketStatus::Unknown
    );
    store.tick(LONG_AFTER_RETENTION);
    assert_eq!(store.record_count(), MAX_RECORDS);
}
