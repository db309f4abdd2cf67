//! Control traffic of a fleet on a network with faults: membership, bans, and full snapshots of the configuration.

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
use std::ops::Range;
use std::rc::Rc;

const BANNED_SERVER: &str = "server-1";

/// The bandwidth of a node for its configuration, in bytes per second.
const CONTROL_BANDWIDTH: f64 = 8_192.0;

/// Nodes that all start within a second.
fn fleet(nodes: u32, seed: u64) -> Network<Member> {
    let topology = Topology::even(&TARGET_ZONES, nodes as usize);
    let mut network = Network::new(topology, Links::default(), seed);
    let roster = Roster::new(nodes, seed);
    for endpoint in 0..nodes {
        let starts_at = f64::from(endpoint) / f64::from(nodes);
        let member = Member::new(endpoint, Rc::clone(&roster), starts_at);
        network.start(endpoint, member);
    }
    network
}

fn all_know_peers(network: &Network<Member>, peers: usize) -> bool {
    network
        .endpoints()
        .all(|(_, member)| member.peer_count() == peers)
}

fn dead_declarations(network: &Network<Member>) -> u64 {
    network
        .endpoints()
        .map(|(_, member)| member.declared_dead())
        .sum()
}

fn all_have_received_the_ban(network: &Network<Member>) -> bool {
    network
        .endpoints()
        .all(|(_, member)| member.ban_received_at(BANNED_SERVER).is_some())
}

fn ban_at(network: &mut Network<Member>, node: u32) {
    network.with(node, |member, now, sends| {
        member.ban(now, BANNED_SERVER, sends);
    });
}

#[test]
fn introduced_nodes_know_all_peers_and_declare_none_dead() {
    let mut network = fleet(60, 1);
    network.run(1.0);
    assert!(all_know_peers(&network, 59));
    network.reset_accounts();
    network.run(30.0);
    assert!(all_know_peers(&network, 59));
    assert_eq!(dead_declarations(&network), 0);
    // Each node selects its peers at random, so that none is the target of many at once.
    let usage = network.usage(0..60);
    let mean = 10.0 * (usage.bytes_in + usage.bytes_out);
    assert!((usage.long_window_max as f64) < 3.0 * mean, "{usage:?}");
}

#[test]
fn ban_reaches_all_nodes_within_two_seconds() {
    let mut network = fleet(60, 2);
    network.run(10.0);
    ban_at(&mut network, 17);
    let duration = network.run_until(10.0, 0.1, all_have_received_the_ban);
    assert!(
        duration.is_some_and(|duration| duration < 2.0),
        "{duration:?}"
    );
}

/// The result of a run with a ban.
#[derive(Debug, PartialEq)]
struct RunResult {
    ban_received_at: Vec<Option<f64>>,
    bytes_out: f64,
}

fn run_with_ban(seed: u64) -> RunResult {
    const NODES: u32 = 30;
    let mut network = fleet(NODES, seed);
    network.run(5.0);
    ban_at(&mut network, 3);
    network.run(5.0);
    let ban_received_at = (0..NODES)
        .map(|node| {
            network
                .endpoint(node)
                .and_then(|member| member.ban_received_at(BANNED_SERVER))
        })
        .collect();
    RunResult {
        ban_received_at,
        bytes_out: network.usage(0..NODES).bytes_out,
    }
}

#[test]
fn fleet_run_is_determined_by_its_seed() {
    assert_eq!(run_with_ban(5), run_with_ban(5));
    assert_ne!(run_with_ban(5), run_with_ban(6));
}

#[test]
fn failed_zone_is_detected_by_all_nodes_and_rejoins() {
    let mut network = fleet(52, 3);
    network.run(3.0);
    let zone = network.topology().endpoints(Scope::Zone(4));
    assert_eq!(zone.len(), 4);
    for endpoint in &zone {
        network.kill(*endpoint);
    }
    let detected = network.run_until(60.0, 0.5, |network| all_know_peers(network, 47));
    assert!(
        detected.is_some(),
        "some node does not detect the failure within a minute"
    );
    let roster = Roster::new(52, 3);
    let now = network.now();
    for endpoint in zone {
        let incarnation_tag = 1_000 + u64::from(endpoint);
        let member = Member::restarted(endpoint, Rc::clone(&roster), now, incarnation_tag);
        network.start(endpoint, member);
    }
    let recovered = network.run_until(120.0, 0.5, |network| all_know_peers(network, 51));
    assert!(
        recovered.is_some(),
        "some node does not know all others again within two minutes"
    );
}

#[test]
fn partitioned_region_receives_bans_after_the_partition() {
    let mut network = fleet(52, 4);
    network.run(3.0);
    network.partition_both(Scope::Region(1), Scope::All);
    network.run(20.0);
    ban_at(&mut network, 0);
    network.run(10.0);
    assert!(!all_have_received_the_ban(&network));
    network.heal();
    let duration = network.run_until(60.0, 0.5, all_have_received_the_ban);
    assert!(
        duration.is_some(),
        "some node receives no ban within a minute"
    );
}

#[test]
fn replayed_datagrams_of_all_known_peers_are_rejected() {
    let mut node = IsolatedMember::new(PeerDatagrams::new(300, 1));
    assert_eq!((node.peer_count(), node.accepted_datagrams), (300, 300));
    assert_eq!(node.replay(), 0);
    node.run_alone(0.5);
    node.ban(BANNED_SERVER);
    node.run_alone(0.5);
    assert_eq!((node.peer_count(), node.replay()), (300, 0));
}

#[test]
fn full_snapshots_exceed_the_bandwidth_at_target_size_but_not_for_a_small_system() {
    let changes_per_second = 13_000.0 / SECONDS_PER_DAY;
    let target = FullSnapshots {
        size: ConfigurationSize::TARGET,
        changes_per_second,
        list_interval: 60.0,
        bandwidth: CONTROL_BANDWIDTH,
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
        panic!("the demand is above the bandwidth")
    };
    assert!(min > 0.0 && max == 2.0 * min && max < 15.0, "{min} {max}");
    let no_lists = FullSnapshots {
        list_interval: f64::INFINITY,
        ..target
    };
    let ApplyTime::Within { min, .. } = no_lists.apply_time_coalesced() else {
        panic!("the demand is above the bandwidth")
    };
    assert_eq!(
        min,
        ConfigurationSize::TARGET.settings_bytes() / CONTROL_BANDWIDTH
    );
}

const SOURCE: u32 = 0;
const RECEIVERS: Range<u32> = 1..4;

/// A source of snapshots and three receivers, each with this bandwidth, in bytes per second.
fn snapshot_network(file_bytes: usize, bandwidth: f64) -> Network<SnapshotEndpoint> {
    let links = Links {
        overhead: 0,
        ..Links::default().with_loss(0.0)
    };
    let mut network = Network::new(Topology::even(&TARGET_ZONES, 4), links, 1);
    let source = SnapshotSource::new(RECEIVERS, file_bytes, bandwidth);
    network.start(SOURCE, SnapshotEndpoint::Source(source));
    for node in RECEIVERS {
        let receiver = SnapshotReceiver::default();
        network.start(node, SnapshotEndpoint::Receiver(receiver));
    }
    network
}

fn change(network: &mut Network<SnapshotEndpoint>) {
    network.with(SOURCE, |endpoint, now, _| match endpoint {
        SnapshotEndpoint::Source(source) => source.change(now),
        SnapshotEndpoint::Receiver(_) => panic!("the first endpoint is the source"),
    });
}

fn received_snapshots(network: &Network<SnapshotEndpoint>, node: u32) -> Vec<ReceivedSnapshot> {
    match network.endpoint(node) {
        Some(SnapshotEndpoint::Receiver(receiver)) => receiver.received.clone(),
        _ => panic!("endpoint {node} is a receiver"),
    }
}

#[test]
fn full_snapshot_apply_times_match_the_formula() {
    let size = ConfigurationSize {
        servers: 100,
        services: 5,
        routes: 100,
        tenants: 200,
    };
    let bandwidth = 8_000.0;
    let snapshots = FullSnapshots {
        size,
        changes_per_second: 0.0,
        list_interval: f64::INFINITY,
        bandwidth,
    };
    let ApplyTime::Within { min, max } = snapshots.apply_time() else {
        panic!("the demand is above the bandwidth")
    };
    let mut network = snapshot_network(size.settings_bytes() as usize, bandwidth);
    let second_change_at = 0.3;
    change(&mut network);
    network.run(second_change_at);
    // The first snapshot is still being transferred: it is completed, then the second and third are sent as one.
    change(&mut network);
    change(&mut network);
    network.run(60.0);
    for node in RECEIVERS {
        let received = received_snapshots(&network, node);
        let versions: Vec<_> = received.iter().map(|snapshot| snapshot.version).collect();
        assert_eq!(versions, [1, 3]);
        assert!((received[0].at - min).abs() < 0.2, "{received:?}, {min}");
        assert!(
            (received[1].at - second_change_at - max).abs() < 0.5,
            "{received:?}, {max}"
        );
        let bytes = network.usage([node]).bytes_in * network.now();
        assert!(
            (bytes - 2.0 * snapshots.bytes_per_change()).abs() < 10.0,
            "{bytes}"
        );
        assert!(network.usage([node]).long_window_max as f64 <= 10.2 * bandwidth);
    }
}
