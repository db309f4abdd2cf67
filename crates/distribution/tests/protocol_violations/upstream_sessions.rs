//! What ends the session of a node with its relay, and what does not.

use crate::scripted_relay::{is_left_for, ScriptedRelay, SEND_INTERVAL, UNNUMBERED};
use crate::world::payloads::{change, changes_payload, chunk_payload, span_through, version};
use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::coverage::Span;
use reelfall_distribution::message::{encode, Head, Payload};
use reelfall_distribution::output::Output;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Change, ContentHash, Name, Selector, Version};

const UNKNOWN_PEER: PeerId = PeerId(99);

fn subscribed_name() -> Name {
    Name::service("a", "x")
}

fn subscribed_change(sequence: u64) -> Change {
    change(subscribed_name(), sequence, b"one")
}

fn apply_count(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, Output::Apply(_)))
        .count()
}

#[test]
fn valid_changes_and_chunks_keep_the_session() {
    let mut relay = ScriptedRelay::new();
    let outputs = relay.send_next(changes_payload(vec![subscribed_change(1)]));
    assert!(outputs
        .iter()
        .any(|output| matches!(output, Output::Apply(_))));
    let hash = ContentHash::of(b"onetwo");
    relay.send_next(chunk_payload(0, 6, b"one", hash));
    let outputs = relay.send_next(chunk_payload(3, 6, b"two", hash));
    assert!(!relay.is_left(&outputs));
    assert!(relay.node.following().is_some());
}

/// A change that the node did not request.
struct UnrequestedChange {
    subscription: u32,
    span: Span,
    change: Change,
}

fn unrequested_changes() -> Vec<UnrequestedChange> {
    let in_first_span = |subscription, change| UnrequestedChange {
        subscription,
        span: span_through(1),
        change,
    };
    let unknown_subscription = in_first_span(7, subscribed_change(1));
    let other_service = in_first_span(0, change(Name::service("b", "x"), 1, b"one"));
    let outside_span = in_first_span(0, subscribed_change(2));
    let empty_name = in_first_span(0, change(Name::service("a", ""), 1, b"one"));
    let empty_span = UnrequestedChange {
        subscription: 0,
        span: Span {
            after: version(1),
            through: version(1),
        },
        change: subscribed_change(1),
    };
    vec![
        unknown_subscription,
        other_service,
        outside_span,
        empty_name,
        empty_span,
    ]
}

#[test]
fn unrequested_changes_end_the_session() {
    for unrequested in unrequested_changes() {
        let mut relay = ScriptedRelay::new();
        let outputs = relay.send_next(Payload::Changes {
            id: unrequested.subscription,
            span: unrequested.span,
            changes: vec![unrequested.change.clone()],
        });
        assert!(relay.is_left(&outputs), "{:?}", unrequested.change);
        assert_eq!(relay.node.applied_changes().count(), 0);
        assert!(!outputs
            .iter()
            .any(|output| matches!(output, Output::Apply(_) | Output::Persist(_))));
    }
}

#[test]
fn payloads_of_a_child_sent_by_the_relay_end_the_session() {
    for payload in [
        Payload::Open { is_relay: true },
        Payload::Unsubscribe(vec![0]),
        Payload::Reports(Vec::new()),
    ] {
        let mut relay = ScriptedRelay::new();
        let outputs = relay.send_next(payload);
        assert!(relay.is_left(&outputs));
    }
}

#[test]
fn chunk_with_wrong_hash_offset_or_length_ends_the_session() {
    let hash = ContentHash::of(b"onetwo");
    let invalid_second_chunks = [
        chunk_payload(3, 6, b"owt", hash),
        chunk_payload(2, 6, b"two", hash),
        chunk_payload(3, 7, b"two", hash),
        chunk_payload(3, 6, b"twoo", hash),
        chunk_payload(3, 6, b"", hash),
        chunk_payload(3, 6, b"two", ContentHash::of(b"other")),
    ];
    for payload in invalid_second_chunks {
        let mut relay = ScriptedRelay::new();
        relay.send_next(chunk_payload(0, 6, b"one", hash));
        let outputs = relay.send_next(payload.clone());
        assert!(relay.is_left(&outputs), "{payload:?}");
    }
}

#[test]
fn chunk_of_an_oversized_body_ends_the_session() {
    let mut relay = ScriptedRelay::new();
    let outputs = relay.send_next(chunk_payload(0, u32::MAX, &[1; 1000], ContentHash::of(b"")));
    assert!(relay.is_left(&outputs));
}

#[test]
fn relay_above_the_receive_rate_loses_the_session() {
    let mut relay = ScriptedRelay::new();
    let mut is_left = false;
    for sequence in 1..100u64 {
        let changes = vec![change(subscribed_name(), sequence, &[1; 10_000])];
        // All payloads are sent at the same time.
        relay.now -= SEND_INTERVAL;
        let outputs = relay.send_next(changes_payload(changes));
        is_left |= is_left_for(&outputs, CloseReason::RateExceeded);
    }
    assert!(is_left);
}

#[test]
fn frames_of_unknown_peers_and_other_sessions_are_ignored() {
    let mut relay = ScriptedRelay::new();
    let payload = changes_payload(vec![subscribed_change(1)]);
    let head = relay.head(1);
    let mut outputs = Vec::new();
    relay.node.receive(
        relay.now,
        UNKNOWN_PEER,
        &encode(&head, &payload),
        &mut outputs,
    );
    let other_session = Head {
        session: relay.session ^ 1,
        ..head
    };
    relay.node.receive(
        relay.now,
        relay.peer,
        &encode(&other_session, &payload),
        &mut outputs,
    );
    assert!(outputs.is_empty(), "{outputs:?}");
    assert_eq!(relay.node.following(), Some(relay.peer));
}

#[test]
fn repeated_frame_is_applied_once_and_acknowledged_again() {
    let mut relay = ScriptedRelay::new();
    let payload = changes_payload(vec![subscribed_change(1)]);
    let first = relay.send_next(payload.clone());
    let repeated = relay.send(payload, relay.number);
    assert_eq!((apply_count(&first), apply_count(&repeated)), (1, 0));
    assert!(
        repeated
            .iter()
            .any(|output| matches!(output, Output::Send { .. })),
        "it is acknowledged again"
    );
}

/// Processed a second time, the last chunk of a body would have a wrong offset and end the session.
#[test]
fn repeated_last_chunk_is_processed_once() {
    let mut relay = ScriptedRelay::new();
    let hash = ContentHash::of(b"onetwo");
    relay.send_next(chunk_payload(0, 6, b"one", hash));
    let last = chunk_payload(3, 6, b"two", hash);
    relay.send_next(last.clone());
    let outputs = relay.send(last, relay.number);
    assert!(!relay.is_left(&outputs), "{outputs:?}");
    assert!(relay.node.following().is_some());
}

/// [`Payload::UpToDate`] crosses a new subscription: the relay sent it before it received the subscription.
#[test]
fn up_to_date_payload_does_not_complete_a_later_subscription() {
    let mut relay = ScriptedRelay::new();
    let earlier = Selector::service("a");
    let later = Selector::service("b");
    relay.node.subscribe(later.clone()).unwrap();
    let acknowledged_before = relay.acknowledged;
    relay.send(Payload::Acknowledge, UNNUMBERED);
    assert_eq!(
        relay.acknowledged,
        acknowledged_before + 1,
        "the node has sent the subscription"
    );
    let up_to_date = Payload::UpToDate {
        head: version(5),
        removals: version(5),
        pruned_through: Version::ZERO,
        age_us: Some(0),
    };
    relay.acknowledged = acknowledged_before;
    relay.send_next(up_to_date.clone());
    assert!(relay.node.is_complete(&earlier));
    assert!(
        !relay.node.is_complete(&later),
        "the relay had not received the subscription"
    );
    relay.acknowledged = acknowledged_before + 1;
    relay.send_next(up_to_date);
    assert!(relay.node.is_complete(&later));
}
