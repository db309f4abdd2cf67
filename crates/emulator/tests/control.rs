//! The control side of a fleet over a network with faults.

use reelfall_emulator::control::baseline::{
    ApplyTime, ConfigurationSize, FullSnapshots, SECONDS_PER_DAY,
};
use reelfall_emulator::control::full_snapshots::{
    ReceivedSnapshot, SnapshotEndpoint, SnapshotReceiver, SnapshotSource,
};
use reelfall_emulator::control::links::Links;
use reelfall_emulator::control::membership::{IsolatedMember, Member, PeerDatagrams, Roster};
use reelfall_emulator::control::network::Network;
use reelfall_emulator::control::topology::{Scope, Topology, TARGET_ZONES};
use std::rc::Rc;

/// Nodes that all begin within a second.
fn fleet(nodes: u32, seed: u64) -> Network<Member> {
    let topology = Topology::even(&TARGET_ZONES, nodes as usize);
    let mut network = Network::new(topology, Links::default(), seed);
    let roster = Roster::new(nodes, seed);
    for endpoint in 0..nodes {
        let begins = f64::from(endpoint) / f64::from(nodes);
        network.start(endpoint, Member::new(endpoint, Rc::clone(&roster), begins));
    }
    network
}

fn all_have(network: &Network<Member>, peers: usize) -> bool {
    network
        .endpoints()
        .all(|(_, member)| member.peer_count() == peers)
}

fn downs(network: &Network<Member>) -> u64 {
    network
        .endpoints()
        .map(|(_, member)| member.declared_dead())
        .sum()
}

fn banned_everywhere(network: &Network<Member>, server: &str) -> bool {
    network
        .endpoints()
        .all(|(_, member)| member.ban_received_at(server).is_some())
}

#[test]
fn introduced_nodes_know_all_others_at_once_and_take_nobody_for_gone() {
    let mut network = fleet(60, 1);
    network.run(1.0);
    assert!(all_have(&network, 59));
    network.reset_accounts();
    network.run(30.0);
    assert!(all_have(&network, 59));
    assert_eq!(downs(&network), 0);
    // Each draws for itself: no node is the target of many at once.
    let usage = network.usage(0..60);
    let mean = 10.0 * (usage.bytes_in + usage.bytes_out);
    assert!((usage.long_window_max as f64) < 3.0 * mean, "{usage:?}");
}

#[test]
fn a_ban_reaches_every_node_of_four_regions_within_two_seconds() {
    let mut network = fleet(60, 2);
    network.run(10.0);
    network.with(17, |member, now, sends| member.ban(now, "server-1", sends));
    let took = network.run_until(10.0, 0.1, |network| banned_everywhere(network, "server-1"));
    assert!(took.is_some_and(|took| took < 2.0), "{took:?}");
}

#[test]
fn a_fleet_is_played_the_same_for_the_same_seed() {
    let play = |seed| {
        let mut network = fleet(30, seed);
        network.run(5.0);
        network.with(3, |member, now, sends| member.ban(now, "server-1", sends));
        network.run(5.0);
        let heard = (0..30).map(|n| {
            network
                .endpoint(n)
                .and_then(|member| member.ban_received_at("server-1"))
        });
        (heard.collect::<Vec<_>>(), network.usage(0..30).bytes_out)
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}

#[test]
fn a_zone_that_ends_is_seen_by_all_others_and_comes_back() {
    let mut network = fleet(52, 3);
    network.run(3.0);
    let zone = network.topology().endpoints(Scope::Zone(4));
    assert_eq!(zone.len(), 4);
    zone.iter()
        .for_each(|endpoint| drop(network.kill(*endpoint)));
    let seen = network.run_until(60.0, 0.5, |network| all_have(network, 47));
    assert!(
        seen.is_some(),
        "the others take them for gone within a minute"
    );
    let roster = Roster::new(52, 3);
    let now = network.now();
    for endpoint in zone {
        let tag = 1_000 + u64::from(endpoint);
        network.start(
            endpoint,
            Member::restarted(endpoint, Rc::clone(&roster), now, tag),
        );
    }
    let back = network.run_until(120.0, 0.5, |network| all_have(network, 51));
    assert!(back.is_some(), "all know all again within two minutes");
}

#[test]
fn a_region_cut_off_hears_of_bans_once_it_is_back() {
    let mut network = fleet(52, 4);
    network.run(3.0);
    network.partition_both(Scope::Region(1), Scope::All);
    network.run(20.0);
    network.with(0, |member, now, sends| member.ban(now, "server-1", sends));
    network.run(10.0);
    assert!(!banned_everywhere(&network, "server-1"));
    network.heal();
    let heard = network.run_until(60.0, 0.5, |network| banned_everywhere(network, "server-1"));
    assert!(heard.is_some(), "all hear of it within a minute");
}

#[test]
fn replayed_datagrams_are_refused_for_as_many_peers_as_a_node_remembers() {
    let mut node = IsolatedMember::new(PeerDatagrams::new(300, 1));
    assert_eq!((node.peer_count(), node.accepted_datagrams), (300, 300));
    assert_eq!(node.replay(), 0);
    node.run_alone(0.5);
    node.ban("server-1");
    node.run_alone(0.5);
    assert_eq!((node.peer_count(), node.replay()), (300, 0));
}

#[test]
fn whole_copies_need_more_than_the_budget_at_the_target_and_less_for_a_small_system() {
    let changes = 13_000.0 / SECONDS_PER_DAY;
    let target = FullSnapshots {
        size: ConfigurationSize::TARGET,
        changes_per_second: changes,
        list_interval: 60.0,
        bandwidth: 8_192.0,
    };
    assert!(target.bandwidth_demand() > 100.0 * target.bandwidth);
    assert_eq!(target.apply_time(), ApplyTime::Never);
    let size = ConfigurationSize {
        servers: 50,
        services: 3,
        routes: 20,
        tenants: 10,
    };
    let small = FullSnapshots {
        size,
        changes_per_second: 10.0 / SECONDS_PER_DAY,
        ..target
    };
    let ApplyTime::Within { min, max } = small.apply_time() else {
        panic!("it fits")
    };
    assert!(min > 0.0 && max == 2.0 * min && max < 15.0, "{min} {max}");
    let no_lists = FullSnapshots {
        list_interval: f64::INFINITY,
        ..target
    };
    let ApplyTime::Within { min, .. } = no_lists.apply_time_coalesced() else {
        panic!("it passes in time")
    };
    assert_eq!(min, ConfigurationSize::TARGET.settings_bytes() / 8_192.0);
}

/// One source and three nodes, which take in so many bytes a second each.
fn copiers(file_bytes: usize, bandwidth: f64) -> Network<SnapshotEndpoint> {
    let links = Links {
        overhead: 0,
        ..Links::default().with_loss(0.0)
    };
    let mut network = Network::new(Topology::even(&TARGET_ZONES, 4), links, 1);
    network.start(
        0,
        SnapshotEndpoint::Source(SnapshotSource::new(1..4, file_bytes, bandwidth)),
    );
    (1..4).for_each(|node| {
        network.start(
            node,
            SnapshotEndpoint::Receiver(SnapshotReceiver::default()),
        )
    });
    network
}

fn change(network: &mut Network<SnapshotEndpoint>) {
    network.with(0, |copier, now, _| match copier {
        SnapshotEndpoint::Source(source) => source.change(now),
        SnapshotEndpoint::Receiver(_) => panic!("the first endpoint is the source"),
    });
}

fn in_force(network: &Network<SnapshotEndpoint>, node: u32) -> Vec<ReceivedSnapshot> {
    match network.endpoint(node) {
        Some(SnapshotEndpoint::Receiver(receiver)) => receiver.received.clone(),
        _ => panic!("endpoint {node} is a receiver"),
    }
}

#[test]
fn whole_copies_take_as_long_as_the_formula_says() {
    let size = ConfigurationSize {
        servers: 100,
        services: 5,
        routes: 100,
        tenants: 200,
    };
    let bandwidth = 8_000.0;
    let copies = FullSnapshots {
        size,
        changes_per_second: 0.0,
        list_interval: f64::INFINITY,
        bandwidth,
    };
    let ApplyTime::Within { min, max } = copies.apply_time() else {
        panic!("it passes in time")
    };
    let mut network = copiers(size.settings_bytes() as usize, bandwidth);
    change(&mut network);
    network.run(0.3);
    // While the first file is under way: it has to end, then the second and the third come as one file.
    change(&mut network);
    change(&mut network);
    network.run(60.0);
    for node in 1..4 {
        let times = in_force(&network, node);
        assert_eq!(
            times
                .iter()
                .map(|snapshot| snapshot.version)
                .collect::<Vec<_>>(),
            [1, 3]
        );
        assert!((times[0].at - min).abs() < 0.2, "{times:?}, {min}");
        assert!((times[1].at - 0.3 - max).abs() < 0.5, "{times:?}, {max}");
        let bytes = network.usage([node]).bytes_in * network.now();
        assert!(
            (bytes - 2.0 * copies.bytes_per_change()).abs() < 10.0,
            "{bytes}"
        );
        assert!(network.usage([node]).long_window_max as f64 <= 10.2 * bandwidth);
    }
}
