//! Requests, their responses and watch events.

use crate::{
    connected_session, response_header, sync, take_commands, take_events, ANY_VERSION, NO_ERROR,
    WATCH_EVENT_XID,
};
use reelfall_registry_client::session::{Event, MAX_PENDING_REQUESTS};
use reelfall_registry_client::wire::{Op, OperationError, Response, WatchEventKind};

/// The error code of a request for an entry that does not exist.
const NO_NODE: i32 = -101;

/// The type of the watch event of a removed entry.
const NODE_DELETED: i32 = 2;

/// The connection state in a watch event.
const CONNECTED: i32 = 3;

#[test]
fn responses_and_watch_events_arrive_in_order() {
    let mut session = connected_session(0.0);
    assert!(session.request(0.0, 1, sync("/a")));
    let delete = Op::Delete {
        path: "/b".to_owned(),
        version: ANY_VERSION,
    };
    assert!(session.request(0.0, 2, delete));
    assert_eq!(take_commands(&mut session).len(), 2);
    let sync_response = response_header(1, 10, NO_ERROR).string("/a").finish();
    let watch_event = response_header(WATCH_EVENT_XID, 11, NO_ERROR)
        .int(NODE_DELETED)
        .int(CONNECTED)
        .string("/b")
        .finish();
    let delete_response = response_header(2, 11, NO_NODE).finish();
    // The connection may split the frames anywhere.
    for byte in [sync_response, watch_event, delete_response].concat() {
        session.handle_bytes(0.1, &[byte]);
    }
    let events = take_events(&mut session);
    assert_eq!(events[0], Event::Response(1, Ok(Response::Done)));
    assert!(
        matches!(&events[1], Event::Watch(event) if event.kind == WatchEventKind::Deleted && event.path == "/b")
    );
    assert_eq!(events[2], Event::Response(2, Err(OperationError::NoNode)));
    assert_eq!((session.last_zxid(), session.pending_count()), (11, 0));
    // The number of requests in flight is limited.
    for token in 0..MAX_PENDING_REQUESTS as u64 {
        assert!(session.request(0.2, token, sync("/")));
    }
    assert!(!session.request(0.2, 0, sync("/")));
}
