//! Protocol violations by members, and the splitting of a stream into frames.

use crate::{connected_session, response_header, take_events, NO_ERROR};
use bytes::Bytes;
use reelfall_registry_client::session::{Event, LossReason};
use reelfall_registry_client::wire::{FrameDecoder, Op, WireError, MAX_FRAME_LEN};

/// The request id of credentials.
const CREDENTIALS_XID: i32 = -4;

/// The error code of rejected credentials.
const AUTHENTICATION_FAILED: i32 = -115;

#[test]
fn protocol_violation_closes_only_the_connection() {
    const TOO_LONG: i32 = MAX_FRAME_LEN as i32 + 1;
    let truncated_record = [0, 0, 0, 2, 1, 2];
    let response_without_request = [0, 0, 0, 16, 0, 0, 0, 99, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];
    let violations: [&[u8]; 5] = [
        &(-1i32).to_be_bytes(),
        &i32::MAX.to_be_bytes(),
        &TOO_LONG.to_be_bytes(),
        &truncated_record,
        &response_without_request,
    ];
    for bytes in violations {
        let mut session = connected_session(0.0);
        session.handle_bytes(0.0, bytes);
        assert!(
            matches!(
                take_events(&mut session)[..],
                [Event::Disconnected(LossReason::Protocol(_))]
            ),
            "{bytes:?}"
        );
        assert!(!session.is_connected());
    }
}

#[test]
fn list_longer_than_its_frame_is_a_protocol_violation() {
    const NAMES: i32 = 2_000_000_000;
    let mut session = connected_session(0.0);
    let get_children = Op::GetChildren {
        path: "/".to_owned(),
        watch: false,
    };
    session.request(0.0, 1, get_children);
    let response = response_header(1, 1, NO_ERROR).int(NAMES).int(0).finish();
    session.handle_bytes(0.0, &response);
    assert!(matches!(
        take_events(&mut session)[..],
        [
            Event::RequestLost(1),
            Event::Disconnected(LossReason::Protocol(WireError::Truncated))
        ]
    ));
}

#[test]
fn rejected_credentials_are_retried_with_a_delay() {
    let mut session = connected_session(0.0);
    let response = response_header(CREDENTIALS_XID, 0, AUTHENTICATION_FAILED).finish();
    session.handle_bytes(0.0, &response);
    assert_eq!(
        take_events(&mut session),
        [Event::Disconnected(LossReason::BadCredentials)]
    );
    assert!(session.deadline().unwrap() > 0.0, "retried without a delay");
}

#[test]
fn stream_is_split_into_frames() {
    let mut frames = FrameDecoder::default();
    frames.push(&[0, 0, 0, 3, 1, 2, 3, 0, 0, 0, 0, 0, 0]);
    assert_eq!(
        frames.next_frame(),
        Ok(Some(Bytes::from_static(&[1, 2, 3])))
    );
    assert_eq!(frames.next_frame(), Ok(Some(Bytes::new())));
    assert_eq!(frames.next_frame(), Ok(None));
}
