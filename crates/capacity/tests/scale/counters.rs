//! Counters, samples of datagrams and distributions of times.

use reelfall_capacity::scale::counters::{per_node, Counters, PeakMeter, Totals};
use reelfall_capacity::scale::datagram::{ClassifiedDatagram, DatagramKind};
use reelfall_capacity::scale::report::{Times, Traffic};
use reelfall_capacity::scale::sampler::{KindShares, Sample};
use reelfall_capacity::scale::window::distribution;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};

fn datagram(kind: DatagramKind, base_bytes: usize, entry_bytes: usize) -> ClassifiedDatagram {
    ClassifiedDatagram {
        kind,
        base_bytes,
        entry_bytes,
    }
}

fn shares(messages: f64, bytes: f64) -> KindShares {
    KindShares { messages, bytes }
}

#[test]
fn fractions_of_a_sample_sum_to_one() {
    let mut sample = Sample::default();
    sample.add(datagram(DatagramKind::Membership, 300, 100));
    sample.add(datagram(DatagramKind::AntiEntropy, 500, 0));
    sample.add(datagram(DatagramKind::Entries, 60, 40));
    assert_eq!(
        sample.shares(DatagramKind::Membership),
        shares(1.0 / 3.0, 0.3)
    );
    assert_eq!(sample.shares(DatagramKind::Entries), shares(1.0 / 3.0, 0.2));
    assert_eq!(sample.shares(DatagramKind::Application), shares(0.0, 0.0));
    let sum = |field: fn(KindShares) -> f64| {
        DatagramKind::ALL
            .into_iter()
            .map(|kind| field(sample.shares(kind)))
            .sum::<f64>()
    };
    assert!((sum(|shares| shares.messages) - 1.0).abs() < 1e-12);
    assert!((sum(|shares| shares.bytes) - 1.0).abs() < 1e-12);
    assert_eq!(
        Sample::default().shares(DatagramKind::Membership),
        shares(0.0, 0.0)
    );
}

#[test]
fn window_cost_is_the_difference_of_totals_per_node_and_second() {
    let before = Totals {
        messages_in: 10,
        bytes_in: 1_000,
        messages_out: 20,
        bytes_out: 2_000,
        list_messages: 1,
        list_bytes: 50,
        cpu: 1.0,
    };
    let after = Totals {
        messages_in: 50,
        bytes_in: 5_000,
        messages_out: 100,
        bytes_out: 10_000,
        list_messages: 3,
        list_bytes: 250,
        cpu: 1.5,
    };
    let mut sample = Sample::default();
    sample.add(datagram(DatagramKind::Membership, 300, 100));
    let cost = per_node(&before, &after, &sample, 4, 10.0);
    let by_kind: BTreeMap<&str, &Traffic> = cost
        .traffic
        .iter()
        .map(|traffic| (traffic.kind.as_str(), traffic))
        .collect();
    assert_eq!(by_kind.len(), DatagramKind::ALL.len() + 1);
    let membership = by_kind["membership"];
    assert_eq!(
        (membership.messages_in, membership.messages_out),
        (1.0, 2.0)
    );
    assert_eq!((membership.bytes_in, membership.bytes_out), (75.0, 150.0));
    assert_eq!(
        (
            by_kind["verdicts"].bytes_in,
            by_kind["verdicts"].messages_in
        ),
        (25.0, 0.0)
    );
    assert_eq!(
        (
            by_kind["list"].bytes_in,
            by_kind["list"].messages_in,
            by_kind["list"].bytes_out
        ),
        (5.0, 0.05, 0.0)
    );
    assert_eq!(cost.cpu, 0.0125);
}

#[test]
fn peak_is_the_maximum_of_one_second_within_one_window() {
    let (counters, window, mut meter) =
        (Counters::default(), AtomicU32::new(1), PeakMeter::default());
    let peak = || counters.peak_bytes.load(Ordering::Relaxed);
    meter.add(&counters, &window, 5.1, 100);
    meter.add(&counters, &window, 5.9, 50);
    meter.add(&counters, &window, 6.0, 120);
    assert_eq!(peak(), 150);
    window.store(2, Ordering::Relaxed);
    meter.add(&counters, &window, 6.2, 30);
    assert_eq!(peak(), 30);
}

#[test]
fn distribution_consists_of_observed_times() {
    assert_eq!(distribution(&[]), None);
    let hundred: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(
        distribution(&hundred),
        Some(Times {
            p50: 50.0,
            p99: 99.0,
            last: 100.0
        })
    );
    assert_eq!(
        distribution(&[2.0]),
        Some(Times {
            p50: 2.0,
            p99: 2.0,
            last: 2.0
        })
    );
}
