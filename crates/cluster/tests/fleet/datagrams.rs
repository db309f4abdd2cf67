//! Tests of datagrams that are dropped, and of entries that are ignored.

use crate::fixture::{converged_cluster, is_banned_on_none};
use reelfall_cluster::fleet::Fleet;
use reelfall_cluster::wire::{DropReason, GossipDatagram, Secret};
use reelfall_emulator::cluster::{address, default_config, secret, Violation};

#[test]
fn forged_corrupt_foreign_and_replayed_datagrams_are_dropped_and_counted() {
    let mut cluster = converged_cluster(3, 47);
    cluster
        .with_node(0, |fleet, now| fleet.ban(now, "srv0", "ada", Some(2.0)))
        .unwrap();
    // The datagrams of one node are recorded and injected later.
    let mut recorded = Vec::new();
    let process = cluster.processes[0].as_mut().unwrap();
    let now = process.local_time(cluster.now);
    process.fleet.tick(now + 0.2, 20);
    while let Some(datagram) = process.fleet.next_datagram() {
        recorded.push((datagram.to, datagram.bytes));
    }
    assert!(!recorded.is_empty());
    for (to, datagram) in &recorded {
        let to = usize::from(to.port()) - 10_000;
        for delay in [0.0, 0.001, 3.0, 10.0] {
            cluster.inject(to, datagram.clone(), delay);
        }
        for position in [0, 2, 5, 25, datagram.len() - 1] {
            let mut corrupt = datagram.clone();
            corrupt[position] ^= 0x40;
            cluster.inject(to, corrupt, 0.0);
        }
        cluster.inject(to, datagram[..datagram.len() / 2].to_vec(), 0.0);
        cluster.inject(to, vec![0; 9000], 0.0);
    }
    cluster.run(1.0);
    cluster.run(14.0);
    assert!(
        is_banned_on_none(&cluster, "srv0"),
        "a replayed ban is active"
    );
    assert_eq!(cluster.violations, Vec::<Violation>::new());
    let dropped = |node: usize, reason: DropReason| {
        cluster.processes[node].as_ref().map_or(0, |process| {
            process
                .fleet
                .counters()
                .dropped_datagrams
                .get(&reason)
                .copied()
                .unwrap_or(0)
        })
    };
    for reason in [
        DropReason::Duplicate,
        DropReason::Unauthenticated,
        DropReason::Foreign,
        DropReason::TooLong,
    ] {
        assert!(
            (1..3).any(|node| dropped(node, reason) > 0),
            "{reason} is not counted"
        );
    }
    let other = Secret::new(b"a key of this world's own", "abuja").unwrap();
    assert_eq!(
        GossipDatagram::open(&other, &recorded[0].1).unwrap_err(),
        DropReason::Unauthenticated,
        "a datagram under the key of another fleet name was accepted"
    );
    assert!(Secret::new(b"short", "lagos").is_err());
}

#[test]
fn entries_of_unproven_age_are_ignored() {
    // The nodes have had no contact, and the network delays the datagrams of the sender by a minute.
    let mut sender = Fleet::new("one", address(0), 1, default_config(), secret(), 1, 0.0);
    let mut receiver = Fleet::new("two", address(1), 2, default_config(), secret(), 2, 0.0);
    sender.ban(0.0, "srv0", "ada", Some(5.0)).unwrap();
    let mut now = 0.0;
    let mut delayed = Vec::new();
    while now < 3.0 {
        sender.tick(now, 1);
        receiver.tick(now, 1);
        while let Some(datagram) = receiver.next_datagram() {
            sender.receive(now, &datagram.bytes);
        }
        while let Some(datagram) = sender.next_datagram() {
            delayed.push(datagram.bytes);
        }
        now += 0.05;
    }
    for datagram in delayed {
        receiver.receive(60.0, &datagram);
    }
    assert_eq!(
        receiver.remaining_ban("srv0", 60.0),
        None,
        "a ban in a datagram that was in transit for a minute is active"
    );
    assert!(receiver.counters().expired_entries + receiver.counters().unproven_entries > 0);
}
