//! The network between endpoints, in virtual time.

use proptest::prelude::*;
use reelfall_emulator::control::account::{Account, Usage, Window};
use reelfall_emulator::control::endpoint::{Endpoint, OutgoingFrame};
use reelfall_emulator::control::links::{Delivery, Link, Links};
use reelfall_emulator::control::network::{Network, Undelivered, MAX_FROZEN_INBOX};
use reelfall_emulator::control::times::Times;
use reelfall_emulator::control::topology::{Distance, Scope, Topology, TARGET_ZONES};

/// Notes what comes, and sends what it is told to when its timer is due.
#[derive(Default)]
struct Probe {
    received: Vec<(f64, u32, Vec<u8>)>,
    polls: u32,
    /// The period of its timer; 0 for none.
    period: f64,
    due: f64,
    peer: u32,
}

impl Probe {
    fn ticking(period: f64, peer: u32) -> Probe {
        Probe {
            period,
            due: period,
            peer,
            ..Probe::default()
        }
    }

    fn frames(&self) -> Vec<&[u8]> {
        self.received
            .iter()
            .map(|(_, _, frame)| frame.as_slice())
            .collect()
    }
}

impl Endpoint for Probe {
    fn receive(&mut self, now: f64, from: u32, frame: &[u8], _sends: &mut Vec<OutgoingFrame>) {
        self.received.push((now, from, frame.to_vec()));
    }

    fn poll(&mut self, _now: f64, sends: &mut Vec<OutgoingFrame>) {
        self.polls += 1;
        self.due += self.period;
        sends.push(OutgoingFrame {
            to: self.peer,
            frame: self.polls.to_be_bytes().to_vec(),
        });
    }

    fn next_wakeup(&self) -> f64 {
        if self.period > 0.0 {
            self.due
        } else {
            f64::INFINITY
        }
    }
}

/// Links of one fixed delay that lose nothing.
fn even_links(delay: f64) -> Links {
    let link = Link {
        min_delay: delay,
        max_delay: delay,
        loss: 0.0,
        duplication: 0.0,
    };
    let links = Links {
        within_zone: link,
        within_region: link,
        between_regions: link,
        ..Links::default()
    };
    Links {
        overhead: 0,
        ..links
    }
}

/// Four endpoints in four zones of two regions, none of which has a timer.
fn quiet(links: Links) -> Network<Probe> {
    let mut network = Network::new(Topology::even(&[2, 2], 4), links, 7);
    (0..4).for_each(|endpoint| network.start(endpoint, Probe::default()));
    network
}

fn send(network: &mut Network<Probe>, from: u32, to: u32, frame: &[u8]) {
    network.with(from, |_, _, sends| {
        sends.push(OutgoingFrame {
            to,
            frame: frame.to_vec(),
        })
    });
}

fn frames(network: &Network<Probe>, endpoint: u32) -> Vec<&[u8]> {
    network
        .endpoint(endpoint)
        .map(Probe::frames)
        .unwrap_or_default()
}

#[test]
fn endpoints_are_spread_evenly_over_the_zones_of_all_regions() {
    let topology = Topology::even(&TARGET_ZONES, 6_000);
    assert_eq!((topology.len(), topology.zones()), (6_000, 13));
    for zone in 0..13 {
        assert!((461..=462).contains(&topology.endpoints(Scope::Zone(zone)).len()));
    }
    let of_region = |region| topology.endpoints(Scope::Region(region)).len();
    assert_eq!((0..4).map(of_region).sum::<usize>(), 6_000);
    assert!(of_region(0) > of_region(1));
    assert_eq!(
        topology.endpoints(Scope::Rack { zone: 0, rack: 0 }).len(),
        40
    );
    assert_eq!(topology.distance(0, 1), Some(Distance::WithinZone));
    assert_eq!(topology.distance(0, 600), Some(Distance::WithinRegion));
    assert_eq!(topology.distance(0, 5_999), Some(Distance::BetweenRegions));
    assert_eq!(topology.distance(0, 6_000), None);
}

#[test]
fn frames_take_as_long_as_their_link_says() {
    let links = Links::default();
    let mut network = quiet(links);
    for (to, link) in [
        (0, links.within_zone),
        (1, links.within_region),
        (3, links.between_regions),
    ] {
        let sent = network.now();
        send(&mut network, 0, to, b"x");
        network.run(1.0);
        let at = network.endpoint(to).expect("it runs").received[0].0 - sent;
        assert!(at >= link.min_delay && at < link.max_delay + 1e-6, "{at}");
    }
}

#[test]
fn a_run_is_the_same_for_the_same_seed_and_another_for_another() {
    let play = |seed| {
        let mut network = Network::new(
            Topology::even(&[2, 2], 4),
            Links::default().with_loss(0.3),
            seed,
        );
        (0..4u32).for_each(|n| network.start(n, Probe::ticking(0.1, (n + 1) % 4)));
        network.run(20.0);
        (0..4)
            .map(|n| network.endpoint(n).expect("it runs").received.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(play(1), play(1));
    assert_ne!(play(1), play(2));
}

#[test]
fn losses_and_duplicates_come_as_often_as_links_say() {
    let mut links = even_links(0.01).with_loss(0.2);
    links.within_region.duplication = 0.5;
    let mut network = quiet(links);
    (0..2_000).for_each(|_| send(&mut network, 0, 1, b"x"));
    network.run(1.0);
    let lost = network.undelivered().lost as f64;
    assert!((350.0..450.0).contains(&lost), "{lost}");
    let duplicates = frames(&network, 1).len() as f64 - (2_000.0 - lost);
    assert!((900.0..1_100.0).contains(&duplicates), "{duplicates}");
}

#[test]
fn a_partition_stops_one_way_or_both_and_ends() {
    let mut network = quiet(even_links(0.01));
    network.partition(Scope::Region(0), Scope::Region(1));
    send(&mut network, 0, 2, b"stopped");
    send(&mut network, 2, 0, b"passes");
    send(&mut network, 0, 1, b"passes");
    network.run(1.0);
    assert_eq!(
        (
            frames(&network, 0).len(),
            frames(&network, 1).len(),
            frames(&network, 2).len()
        ),
        (1, 1, 0)
    );
    network.partition_both(Scope::Zone(0), Scope::All);
    send(&mut network, 2, 0, b"stopped");
    send(&mut network, 0, 0, b"to itself");
    network.run(1.0);
    assert_eq!(frames(&network, 0), [b"passes".as_slice(), b"to itself"]);
    network.heal();
    send(&mut network, 0, 2, b"passes");
    network.run(1.0);
    assert_eq!(frames(&network, 2), [b"passes"]);
    assert_eq!(
        network.undelivered(),
        Undelivered {
            partitioned: 2,
            ..Undelivered::default()
        }
    );
}

#[test]
fn a_frozen_endpoint_takes_what_its_buffer_held_and_then_what_is_due() {
    let mut network = quiet(even_links(0.01));
    network.start(1, Probe::ticking(1.0, 0));
    network.freeze(1);
    let sent = u16::try_from(MAX_FROZEN_INBOX).expect("it is small") + 5;
    (0..sent).for_each(|n| send(&mut network, 0, 1, &n.to_be_bytes()));
    network.run(10.0);
    assert!(frames(&network, 1).is_empty());
    assert_eq!(network.endpoint(1).expect("it is there").polls, 0);
    network.thaw(1);
    assert_eq!(frames(&network, 1).len(), MAX_FROZEN_INBOX);
    assert_eq!(
        frames(&network, 1)[MAX_FROZEN_INBOX - 1],
        (sent - 6).to_be_bytes()
    );
    assert_eq!(network.undelivered().overflowed, 5);
    network.run(0.1);
    assert_eq!(network.endpoint(1).expect("it is there").polls, 10);
}

#[test]
fn frames_to_an_ended_process_are_lost_and_its_successor_knows_nothing() {
    let mut network = quiet(even_links(0.01));
    send(&mut network, 0, 1, b"before");
    network.run(1.0);
    assert!(network.kill(1).is_some());
    send(&mut network, 0, 1, b"while ended");
    network.run(1.0);
    assert!(network.kill(1).is_none() && network.endpoint(1).is_none());
    network.start(1, Probe::default());
    send(&mut network, 0, 1, b"after");
    network.run(1.0);
    assert_eq!(frames(&network, 1), [b"after"]);
    assert_eq!(network.undelivered().ended, 1);
    assert!(network.with(9, |_, _, _| ()).is_none());
}

#[test]
fn streams_keep_their_order_lose_nothing_and_end_with_the_process() {
    let mut links = Links::default().with_loss(0.3);
    links.delivery = Delivery::Streams {
        retransmission_timeout: 0.2,
    };
    let mut network = quiet(links);
    (0..500u16).for_each(|n| send(&mut network, 0, 3, &n.to_be_bytes()));
    network.run(30.0);
    let expected: Vec<Vec<u8>> = (0..500u16).map(|n| n.to_be_bytes().to_vec()).collect();
    assert_eq!(frames(&network, 3), expected);
    send(&mut network, 0, 3, b"of the old connection");
    network.start(3, Probe::default());
    network.run(30.0);
    assert!(frames(&network, 3).is_empty());
    assert_eq!(network.undelivered().ended, 1);
}

#[test]
fn an_uplink_sends_no_faster_than_its_bandwidth() {
    let mut network = quiet(Links {
        bandwidth: 10_000.0,
        ..even_links(0.01)
    });
    (0..10).for_each(|_| send(&mut network, 0, 1, &[0; 1_000]));
    network.run(5.0);
    let arrivals: Vec<f64> = network
        .endpoint(1)
        .expect("it runs")
        .received
        .iter()
        .map(|(at, _, _)| *at)
        .collect();
    for (n, at) in (1u32..).zip(arrivals) {
        assert!((at - (f64::from(n) * 0.1 + 0.01)).abs() < 1e-6, "{n}: {at}");
    }
}

#[test]
fn timers_are_called_when_due_and_one_that_is_always_due_does_not_stop_the_clock() {
    let mut network = quiet(even_links(0.01));
    network.start(0, Probe::ticking(0.5, 1));
    network.start(
        2,
        Probe {
            period: f64::MIN_POSITIVE,
            ..Probe::default()
        },
    );
    network.run(10.2);
    assert_eq!(network.endpoint(0).expect("it runs").polls, 20);
    let polls = network.endpoint(2).expect("it runs").polls;
    assert!((20_000..=20_401).contains(&polls), "{polls}");
}

#[test]
fn an_earlier_timer_replaces_a_later_one() {
    let mut network = quiet(even_links(0.01));
    network.start(0, Probe::ticking(100.0, 1));
    network.run(1.0);
    network.with(0, |probe, now, _| probe.due = now + 1.0);
    network.run(2.0);
    assert_eq!(network.endpoint(0).expect("it runs").polls, 1);
    // Due again at 102 s, and no longer at 100 s.
    network.run(98.5);
    assert_eq!(network.endpoint(0).expect("it runs").polls, 1);
    network.run(1.0);
    assert_eq!(network.endpoint(0).expect("it runs").polls, 2);
}

#[test]
fn accounts_count_both_ends_and_processor_time_by_the_clock_that_is_given() {
    use std::cell::Cell;
    thread_local!(static CLOCK: Cell<f64> = const { Cell::new(0.0) });
    let mut network = quiet(Links {
        overhead: 20,
        ..even_links(0.01)
    });
    network.measure_cpu(|| CLOCK.with(|clock| clock.replace(clock.get() + 0.25)));
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
    // One call each, of one step of the clock, in 2 s.
    assert_eq!((sender.cpu, receiver.cpu), (0.125, 0.125));
    network.reset_accounts();
    network.run(1.0);
    assert_eq!(network.usage(0..4), Usage::default());
}

#[test]
fn usage_is_the_mean_over_endpoints_and_the_most_of_any() {
    let (mut quiet, mut busy) = (Account::default(), Account::default());
    quiet.received(0.0, 10);
    busy.received(0.0, 30);
    busy.sent(5.0, 40);
    let usage = Usage::of([&quiet, &busy], 10.0);
    assert_eq!((usage.bytes_in, usage.bytes_out), (2.0, 2.0));
    assert_eq!((usage.short_window_max, usage.long_window_max), (40, 70));
    assert_eq!(Usage::of([], 10.0), Usage::default());
}

proptest! {
    #[test]
    fn a_window_holds_the_most_bytes_of_any_span(
        steps in proptest::collection::vec((0u32..40, 0u64..100), 0..60),
    ) {
        let mut window = Window::new(10.0);
        let mut events = Vec::new();
        let mut now = 0.0;
        for (step, bytes) in steps {
            now += f64::from(step) / 4.0;
            window.add(now, bytes);
            events.push((now, bytes));
        }
        let ending = |end: f64| -> u64 {
            events.iter().filter(|(at, _)| *at > end - 10.0 && *at <= end).map(|(_, bytes)| bytes).sum()
        };
        let most = events.iter().map(|(at, _)| ending(*at)).max().unwrap_or(0);
        prop_assert_eq!(window.max(), most);
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
