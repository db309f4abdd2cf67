//! The delivery of frames: delay, loss, duplication, partitions, streams and bandwidth.

use crate::{
    frames, network_without_timers, running, send, topology, uniform_links, ReceivedFrame,
    Recorder, DELAY, ENDPOINTS,
};
use reelfall_emulator::control::links::{Delivery, Links};
use reelfall_emulator::control::network::{Network, Undelivered};
use reelfall_emulator::control::topology::Scope;

#[test]
fn delay_is_within_the_range_of_the_link() {
    let links = Links::default();
    let mut network = network_without_timers(links);
    for (to, link) in [
        (0, links.within_zone),
        (1, links.within_region),
        (3, links.between_regions),
    ] {
        let sent_at = network.now();
        send(&mut network, 0, to, b"x");
        network.run(1.0);
        let delay = running(&network, to).received[0].at - sent_at;
        assert!(
            delay >= link.min_delay && delay < link.max_delay + 1e-6,
            "{delay}"
        );
    }
}

fn received_by_all(seed: u64) -> Vec<Vec<ReceivedFrame>> {
    let mut network = Network::new(topology(), Links::default().with_loss(0.3), seed);
    for endpoint in 0..ENDPOINTS {
        let peer = (endpoint + 1) % ENDPOINTS;
        network.start(endpoint, Recorder::with_timer(0.1, peer));
    }
    network.run(20.0);
    (0..ENDPOINTS)
        .map(|endpoint| running(&network, endpoint).received.clone())
        .collect()
}

#[test]
fn run_is_determined_by_its_seed() {
    assert_eq!(received_by_all(1), received_by_all(1));
    assert_ne!(received_by_all(1), received_by_all(2));
}

#[test]
fn loss_and_duplication_have_the_rates_of_the_link() {
    let mut links = uniform_links(DELAY).with_loss(0.2);
    links.within_region.duplication = 0.5;
    let mut network = network_without_timers(links);
    for _ in 0..2_000 {
        send(&mut network, 0, 1, b"x");
    }
    network.run(1.0);
    let lost = network.undelivered().lost as f64;
    assert!((350.0..450.0).contains(&lost), "{lost}");
    let duplicates = frames(&network, 1).len() as f64 - (2_000.0 - lost);
    assert!((900.0..1_100.0).contains(&duplicates), "{duplicates}");
}

#[test]
fn partition_applies_to_one_or_both_directions_until_it_is_healed() {
    let mut network = network_without_timers(uniform_links(DELAY));
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
fn streams_are_ordered_and_lossless_until_the_process_ends() {
    let mut links = Links::default().with_loss(0.3);
    links.delivery = Delivery::Streams {
        retransmission_timeout: 0.2,
    };
    let mut network = network_without_timers(links);
    let sent: Vec<[u8; 2]> = (0..500u16).map(u16::to_be_bytes).collect();
    for frame in &sent {
        send(&mut network, 0, 3, frame);
    }
    network.run(30.0);
    assert_eq!(frames(&network, 3), sent);
    send(&mut network, 0, 3, b"of the old connection");
    network.start(3, Recorder::default());
    network.run(30.0);
    assert!(frames(&network, 3).is_empty());
    assert_eq!(network.undelivered().ended, 1);
}

#[test]
fn uplink_is_limited_to_its_bandwidth() {
    const BANDWIDTH: f64 = 10_000.0;
    const FRAME_BYTES: usize = 1_000;
    const TRANSMISSION_TIME: f64 = 0.1;
    let mut network = network_without_timers(Links {
        bandwidth: BANDWIDTH,
        ..uniform_links(DELAY)
    });
    for _ in 0..10 {
        send(&mut network, 0, 1, &[0; FRAME_BYTES]);
    }
    network.run(5.0);
    for (number, frame) in (1u32..).zip(&running(&network, 1).received) {
        let expected = f64::from(number) * TRANSMISSION_TIME + DELAY;
        assert!((frame.at - expected).abs() < 1e-6, "{number}: {}", frame.at);
    }
}
