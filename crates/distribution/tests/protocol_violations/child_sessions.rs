//! The sessions of a relay's children: bounds, violations, repeated payloads and budgets.

use crate::world::payloads::{relay, SUBSCRIBER};
use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::coverage::Coverage;
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::message::{decode, encode, Head, Payload, Subscribe};
use reelfall_distribution::output::Output;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::relay::Relay;
use reelfall_distribution::resource::{Selector, Version};
use reelfall_distribution::Time;

const MAX_CHILDREN: usize = 4;
const OTHER_CHILD: PeerId = PeerId(101);

fn small_relay() -> Relay {
    relay(DownstreamConfig {
        max_children: MAX_CHILDREN,
        ..DownstreamConfig::default()
    })
}

/// The head of a child's payload.
fn child_head(session: u64, number: u64) -> Head {
    Head {
        session,
        from_child: true,
        number,
        acknowledged: 0,
        sent_at_us: 1,
        echo: None,
    }
}

/// A child opens a session; returns the outputs of the relay.
fn open_session(relay: &mut Relay, child: PeerId, now: Time, session: u64) -> Vec<Output> {
    let mut outputs = Vec::new();
    let frame = encode(&child_head(session, 1), &Payload::Open { is_relay: false });
    relay.receive(now, child, &frame, &mut outputs);
    relay.poll(now, &mut outputs);
    outputs
}

fn is_close_for(output: &Output, expected: CloseReason) -> bool {
    let Output::Send { frame, .. } = output else {
        return false;
    };
    let Some((_, Payload::Close { reason, .. })) = decode(frame) else {
        return false;
    };
    reason == expected
}

/// Processed a second time, the subscription would have an id that is in use and end the session.
#[test]
fn repeated_subscription_is_processed_once() {
    let mut relay = small_relay();
    open_session(&mut relay, SUBSCRIBER, 1.0, 7);
    let subscribe = Subscribe {
        id: 0,
        selector: Selector::service("a"),
        coverage: Coverage::EMPTY,
        removals_known: Version::ZERO,
        has_changes: false,
    };
    let frame = encode(&child_head(7, 2), &Payload::Subscribe(vec![subscribe]));
    let mut outputs = Vec::new();
    for now in [1.1, 1.2] {
        relay.receive(now, SUBSCRIBER, &frame, &mut outputs);
    }
    assert_eq!(
        relay.children().collect::<Vec<_>>(),
        [SUBSCRIBER],
        "{outputs:?}"
    );
}

#[test]
fn relay_with_max_children_closes_further_sessions_for_capacity() {
    let mut relay = small_relay();
    for child in 100..110 {
        open_session(&mut relay, PeerId(child), 1.0, 7);
    }
    assert_eq!(relay.children().count(), MAX_CHILDREN);
    let outputs = open_session(&mut relay, PeerId(110), 1.0, 7);
    assert!(outputs
        .iter()
        .any(|output| is_close_for(output, CloseReason::CapacityExceeded)));
}

#[test]
fn child_that_violates_the_protocol_or_its_rate_loses_only_its_own_session() {
    let mut relay = small_relay();
    open_session(&mut relay, SUBSCRIBER, 1.0, 7);
    open_session(&mut relay, OTHER_CHILD, 1.0, 7);
    let payload_of_an_upstream = Payload::UpToDate {
        head: Version::ZERO,
        removals: Version::ZERO,
        pruned_through: Version::ZERO,
        age_us: None,
    };
    let mut outputs = Vec::new();
    let frame = encode(&child_head(7, 2), &payload_of_an_upstream);
    relay.receive(1.1, SUBSCRIBER, &frame, &mut outputs);
    assert_eq!(relay.children().collect::<Vec<_>>(), [OTHER_CHILD]);
    open_session(&mut relay, SUBSCRIBER, 2.0, 8);
    assert_eq!(relay.children().count(), 1, "the child is banned for 30 s");
    open_session(&mut relay, SUBSCRIBER, 40.0, 9);
    assert_eq!(
        relay.children().count(),
        1,
        "the other child was silent for 20 s, and the first one has a new session"
    );
    let reports = encode(&child_head(9, 2), &Payload::Reports(Vec::new()));
    for _ in 0..1000 {
        relay.receive(40.0, SUBSCRIBER, &reports, &mut outputs);
    }
    assert_eq!(relay.children().count(), 0);
}

#[test]
fn new_session_does_not_renew_the_send_budget() {
    const OVERHEAD_BYTES_PER_FRAME: usize = 60;
    const MAX_BYTES_IN_10_S: usize = 68_000;
    let mut relay = small_relay();
    let mut bytes = 0;
    for session in 0..1000u64 {
        let now = 1.0 + session as f64 * 0.01;
        for output in open_session(&mut relay, SUBSCRIBER, now, session) {
            if let Output::Send {
                to: SUBSCRIBER,
                frame,
            } = output
            {
                bytes += frame.len() + OVERHEAD_BYTES_PER_FRAME;
            }
        }
    }
    assert!(bytes <= MAX_BYTES_IN_10_S, "{bytes} bytes in 10 s");
}
