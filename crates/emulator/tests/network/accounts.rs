//! Accounts of traffic and processor time, and percentiles of times.

use crate::{network_without_timers, send, uniform_links, DELAY, ENDPOINTS};
use proptest::{prop_assert_eq, proptest};
use reelfall_emulator::control::account::{Account, Usage, Window};
use reelfall_emulator::control::links::Links;
use reelfall_emulator::control::times::Times;
use std::cell::Cell;

thread_local!(static CLOCK: Cell<f64> = const { Cell::new(0.0) });

/// A clock of processor time that advances by a quarter of a second each time it is read.
fn read_clock() -> f64 {
    CLOCK.with(|clock| clock.replace(clock.get() + 0.25))
}

#[test]
fn accounts_count_sender_and_receiver_and_processor_time_by_the_given_clock() {
    let mut network = network_without_timers(Links {
        overhead: 20,
        ..uniform_links(DELAY)
    });
    network.measure_cpu(read_clock);
    send(&mut network, 0, 1, &[0; 80]);
    network.run(1.0);
    network.run(1.0);
    let (sender, receiver) = (network.usage([0]), network.usage([1]));
    assert_eq!(
        (sender.bytes_out, sender.messages_out, sender.bytes_in),
        (50.0, 0.5, 0.0)
    );
    assert_eq!(
        (
            receiver.bytes_in,
            receiver.messages_in,
            receiver.long_window_max
        ),
        (50.0, 0.5, 100)
    );
    // Within 2 s, each had one call that took one step of the clock.
    assert_eq!((sender.cpu, receiver.cpu), (0.125, 0.125));
    network.reset_accounts();
    network.run(1.0);
    assert_eq!(network.usage(0..ENDPOINTS), Usage::default());
}

#[test]
fn usage_has_the_mean_over_endpoints_and_the_maximum_of_any() {
    let (mut idle, mut busy) = (Account::default(), Account::default());
    idle.received(0.0, 10);
    busy.received(0.0, 30);
    busy.sent(5.0, 40);
    let usage = Usage::of([&idle, &busy], 10.0);
    assert_eq!((usage.bytes_in, usage.bytes_out), (2.0, 2.0));
    assert_eq!((usage.short_window_max, usage.long_window_max), (40, 70));
    assert_eq!(Usage::of([], 10.0), Usage::default());
}

/// The length of the window, in seconds.
const WINDOW: f64 = 10.0;

struct Transfer {
    at: f64,
    bytes: u64,
}

/// The bytes of the transfers in the window that ends at `end`.
fn bytes_in_window(transfers: &[Transfer], end: f64) -> u64 {
    transfers
        .iter()
        .filter(|transfer| transfer.at > end - WINDOW && transfer.at <= end)
        .map(|transfer| transfer.bytes)
        .sum()
}

proptest! {
    #[test]
    fn window_has_the_maximum_bytes_of_any_interval(
        steps in proptest::collection::vec((0u32..40, 0u64..100), 0..60),
    ) {
        let mut window = Window::new(WINDOW);
        let mut transfers = Vec::new();
        let mut now = 0.0;
        for (quarter_seconds, bytes) in steps {
            now += f64::from(quarter_seconds) / 4.0;
            window.add(now, bytes);
            transfers.push(Transfer { at: now, bytes });
        }
        let expected = transfers
            .iter()
            .map(|transfer| bytes_in_window(&transfers, transfer.at))
            .max()
            .unwrap_or(0);
        prop_assert_eq!(window.max(), expected);
    }
}

#[test]
fn percentiles_are_by_nearest_rank() {
    assert_eq!(Times::of(Vec::new()), None);
    assert_eq!(
        Times::of(vec![3.0]),
        Some(Times {
            p50: 3.0,
            p99: 3.0,
            last: 3.0
        })
    );
    let times = (1..=200).rev().map(f64::from).collect();
    assert_eq!(
        Times::of(times),
        Some(Times {
            p50: 100.0,
            p99: 198.0,
            last: 200.0
        })
    );
}
