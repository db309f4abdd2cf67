//! Links: budgets, transit times and reliable payloads.

use proptest::prelude::*;
use reelfall_distribution::link::{max_transit_time, Link};
use reelfall_distribution::message::{decode, Echo, Payload};
use reelfall_distribution::output::Output;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::token_bucket::{Budget, TokenBucket, TRANSPORT_OVERHEAD_BYTES};
use reelfall_distribution::Time;

const CHILD: PeerId = PeerId(1);
const PARENT: PeerId = PeerId(2);
const SESSION: u64 = 9;
/// Interval within which the bytes of frames are added up, in seconds.
const WINDOW: Time = 10.0;
/// The burst of the budget plus its rate over [`WINDOW`].
const MAX_WINDOW_BYTES: usize = 68_000;

struct SentFrame {
    at: Time,
    bytes: usize,
}

proptest! {
    #[test]
    fn token_bucket_stays_within_its_budget(steps in prop::collection::vec((0.0..0.5f64, 0..4000usize), 0..300)) {
        let budget = Budget { bytes_per_second: 6000.0, burst_bytes: 8000.0 };
        let mut bucket = TokenBucket::new(budget, 0.0);
        let mut now = 0.0;
        let mut sent: Vec<SentFrame> = Vec::new();
        for (elapsed, bytes) in steps {
            now += elapsed;
            let ready = bucket.ready_at(now, bytes);
            let is_admitted = bucket.take(now, bytes);
            prop_assert_eq!(is_admitted, ready <= now);
            if is_admitted {
                sent.push(SentFrame { at: now, bytes: bytes + TRANSPORT_OVERHEAD_BYTES });
            } else {
                prop_assert!(bucket.clone().take(ready, bytes));
            }
            let window_bytes: usize =
                sent.iter().filter(|frame| frame.at > now - WINDOW).map(|frame| frame.bytes).sum();
            prop_assert!(window_bytes <= MAX_WINDOW_BYTES);
        }
    }

    #[test]
    fn max_transit_time_is_an_upper_bound(
        clock_rates in (0.9995..1.0005f64, 0.9995..1.0005f64), sent_at in 0.0..1e5f64,
        request_transit in 0.0..50f64, peer_delay in 0.0..100f64, response_transit in 0.0..50f64,
    ) {
        let (own_rate, peer_rate) = clock_rates;
        let stamp_us = (sent_at * own_rate * 1e6) as u64;
        let elapsed_us = (peer_delay * peer_rate * 1e6) as u64;
        let now = (sent_at + request_transit + peer_delay + response_transit) * own_rate;
        let max_transit = max_transit_time(now, Echo { stamp_us, elapsed_us }).unwrap();
        prop_assert!(max_transit >= response_transit - 1e-5, "{} for {}", max_transit, response_transit);
        prop_assert!(max_transit <= request_transit + response_transit + 0.5);
    }
}

#[test]
fn link_accepts_each_payload_once_and_in_order() {
    let mut child_link = Link::new(PARENT, SESSION, true, Budget::CONTROL, 0.0);
    let mut parent_link = Link::new(CHILD, SESSION, false, Budget::CONTROL, 0.0);
    let mut outputs = Vec::new();
    assert!(child_link.send_reliable(0.0, &Payload::Open { is_relay: true }, &mut outputs));
    assert!(
        !child_link.send_reliable(0.0, &Payload::Acknowledge, &mut outputs),
        "one payload is in flight at a time"
    );
    assert_eq!(child_link.next_wakeup(0.0), 1.0);
    child_link.retransmit_if_due(1.0, &mut outputs);
    let heads: Vec<_> = outputs
        .iter()
        .map(|output| match output {
            Output::Send { frame, .. } => decode(frame).unwrap().0,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(heads.len(), 2);
    assert!(parent_link.accept(1.1, &heads[0]).unwrap().is_new);
    assert!(!parent_link.accept(1.1, &heads[1]).unwrap().is_new);
    outputs.clear();
    parent_link.flush_acknowledgement(1.2, &mut outputs);
    let Some(Output::Send { frame, .. }) = outputs.pop() else {
        panic!()
    };
    let arrival = child_link.accept(1.3, &decode(&frame).unwrap().0).unwrap();
    assert_eq!(arrival.acknowledged, 1);
    assert!(arrival.max_transit.unwrap() >= 0.1);
    assert!(child_link.is_idle());
}
