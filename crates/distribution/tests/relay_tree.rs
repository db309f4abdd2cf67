//! The relay tree under faults: crashed relays, partitioned regions, paused nodes, and nodes that start all at once.

mod world;

use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name, Selector, Version};
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::Time;
use world::{claim, grant_lease, put, RecordedEvent, World, CALM};

const NODES: std::ops::Range<u32> = 100..106;

/// One publisher, two first-tier relays, two relays of a region, six nodes; the publisher has the lease with token 1.
fn tree(seed: u64) -> World {
    let mut world = World::new(seed, CALM);
    world.add_publisher(1, &[10, 11]);
    world.add_relay(10, &[1]);
    world.add_relay(11, &[1]);
    world.add_relay(20, &[10, 11]);
    world.add_relay(21, &[10, 11]);
    for id in NODES {
        world.add_node(id, &[20, 21], &[Selector::Services]);
    }
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(20.0);
    world
}

fn publish(world: &mut World, token: u64, drafts: Vec<Draft>) -> Version {
    let published_at = world.now;
    let version = world.with_publisher(1, |publisher, now, outputs| {
        publisher.publish(now, &claim(token), drafts, outputs)
    });
    let version = version.unwrap().unwrap();
    world.invariants.published(published_at, version);
    version
}

/// Runs the world until these nodes have a version, at most `limit` seconds; returns the elapsed time.
fn wait_until_all_have(world: &mut World, nodes: &[u32], version: Version, limit: Time) -> Time {
    let began = world.now;
    while nodes.iter().any(|id| world.node_of(*id).head() < version) {
        assert!(world.now - began < limit, "not within {limit} s");
        world.run(0.1);
    }
    world.now - began
}

fn all_nodes() -> Vec<u32> {
    NODES.collect()
}

#[test]
fn change_reaches_all_nodes_within_two_seconds() {
    let mut world = tree(1);
    let version = publish(&mut world, 1, vec![put("x", b"one")]);
    wait_until_all_have(&mut world, &all_nodes(), version, 2.0);
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &Name::service("a", "x")).unwrap(),
            b"one"
        );
        assert!(
            world
                .node_of(id)
                .staleness(world.processes[&PeerId(id)].clock(world.now))
                < 8.0
        );
    }
    world.run(10.0);
    let status = world.publisher_of(1).status(version);
    assert_eq!(status.acknowledged.len(), NODES.len());
    world.invariants.verify();
}

#[test]
fn snapshot_resumes_at_another_relay_after_a_crash() {
    let mut world = tree(2);
    let drafts = (0..100)
        .map(|n| put(&format!("r{n}"), &[n; 1000]))
        .collect();
    let version = publish(&mut world, 1, drafts);
    world.run(8.0);
    let received_before: Vec<usize> = NODES
        .map(|id| world.node_of(id).applied_changes().count())
        .collect();
    assert!(
        received_before.iter().all(|n| (10..90).contains(n)),
        "{received_before:?}"
    );
    let killed = world.node_of(100).following().unwrap();
    world.kill(killed);
    let at = world.now;
    let before = world.sent_frames.len();
    wait_until_all_have(&mut world, &all_nodes(), version, 40.0);
    let disconnected: Vec<Time> = disconnection_times(&world, at, CloseReason::TimedOut);
    assert!(
        !disconnected.is_empty() && disconnected.iter().all(|t| t - at < 8.5),
        "{disconnected:?}"
    );
    let to_node: usize = world.bytes_sent_to(PeerId(100), before);
    let missing = (100 - received_before[0]) * 1100;
    assert!(to_node < missing + 20_000, "{to_node} bytes for {missing}");
    world.invariants.verify();
}

fn disconnection_times(world: &World, since: Time, reason: CloseReason) -> Vec<Time> {
    let of_node = |recorded: &&RecordedEvent| {
        recorded.at > since
            && recorded.process.0 >= 100
            && matches!(recorded.event, Event::Left { reason: left_for, .. } if left_for == reason)
    };
    world
        .invariants
        .events
        .iter()
        .filter(of_node)
        .map(|recorded| recorded.at)
        .collect()
}

#[test]
fn reconnections_after_a_relay_crash_are_spread() {
    let mut world = World::new(3, CALM);
    world.add_publisher(1, &[10]);
    world.add_relay(10, &[1]);
    world.add_relay(20, &[10]);
    world.add_relay(21, &[10]);
    for id in 100..160 {
        world.add_node(id, &[20, 21], &[Selector::common()]);
    }
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(30.0);
    world.kill(PeerId(20));
    let at = world.now;
    world.run(30.0);
    let follows = |recorded: &&RecordedEvent| {
        recorded.at > at && matches!(recorded.event, Event::Following(peer) if peer == PeerId(21))
    };
    let mut reconnected: Vec<Time> = world
        .invariants
        .events
        .iter()
        .filter(follows)
        .map(|recorded| recorded.at - at)
        .collect();
    reconnected.sort_by(f64::total_cmp);
    assert!(reconnected.len() > 15, "{}", reconnected.len());
    assert!(*reconnected.last().unwrap() < 14.0, "{reconnected:?}");
    let within = |from: Time| {
        reconnected
            .iter()
            .filter(|t| (from..from + 0.5).contains(*t))
            .count()
    };
    let busiest = (0..60).map(|n| within(f64::from(n) * 0.25)).max().unwrap();
    assert!(
        busiest * 2 < reconnected.len(),
        "{busiest} of {} within half a second",
        reconnected.len()
    );
}

#[test]
fn region_recovers_after_all_its_relays_restart() {
    let mut world = tree(4);
    world.kill(PeerId(20));
    world.kill(PeerId(21));
    world.run(60.0);
    let version = publish(&mut world, 1, vec![put("x", b"two")]);
    let stale = world
        .node_of(100)
        .staleness(world.processes[&PeerId(100)].clock(world.now));
    assert!((58.0..72.0).contains(&stale), "{stale}");
    world.start(PeerId(20));
    world.start(PeerId(21));
    // The attempt in flight, a backoff, and the round trips of a session and a change.
    let config = UpstreamConfig::node(Vec::new());
    wait_until_all_have(
        &mut world,
        &all_nodes(),
        version,
        config.open_timeout + config.max_backoff + 1.0,
    );
    world.invariants.verify();
}

#[test]
fn paused_node_catches_up() {
    let mut world = tree(5);
    world.pause(PeerId(100), 60.0);
    for n in 0..20u8 {
        publish(&mut world, 1, vec![put("x", &[n])]);
        world.run(3.0);
    }
    let version = publish(&mut world, 1, vec![put("y", b"last")]);
    wait_until_all_have(&mut world, &[100], version, 20.0);
    assert_eq!(world.bytes_at(100, &Name::service("a", "x")).unwrap(), [19]);
    world.invariants.verify();
}

#[test]
fn partitioned_region_catches_up_within_its_bandwidth_budget() {
    let mut world = tree(6);
    let duration = 3600.0;
    for far in [10, 11] {
        for near in [20, 21] {
            world.partition(PeerId(far), PeerId(near), duration);
        }
    }
    // 540 changes per hour are 13,000 per day; a third of them are to one resource.
    let mut version = Version::ZERO;
    for n in 0..540u32 {
        let item = format!("r{}", if n % 3 == 0 { 0 } else { n });
        version = publish(&mut world, 1, vec![put(&item, &[n as u8; 300])]);
        world.run(duration / 540.0);
    }
    let changed = 361.0;
    // The bytes of the changes at the rate of the budget, and the attempt in flight and a backoff before a relay and a
    // node reconnect.
    let config = UpstreamConfig::node(Vec::new());
    let relay_config = UpstreamConfig::relay(Vec::new());
    let reconnection_time = config.open_timeout
        + config.max_backoff
        + relay_config.open_timeout
        + relay_config.max_backoff;
    let limit = changed * 400.0 / 6000.0 + reconnection_time;
    let elapsed = wait_until_all_have(&mut world, &all_nodes(), version, limit);
    println!("caught up in {elapsed:.1} s, of {limit:.1} s");
    world.invariants.verify();
}

#[test]
fn newest_change_is_delivered_first_after_a_pause() {
    let mut world = tree(7);
    world.pause(PeerId(100), 10.0);
    world.run(1.0);
    let drafts = (0..80).map(|n| put(&format!("r{n}"), &[n; 1000])).collect();
    publish(&mut world, 1, drafts);
    world.run(12.0);
    let node = world.node_of(100);
    assert!(node.applied_change(&Name::service("a", "r79")).is_some());
    assert!(node.applied_change(&Name::service("a", "r0")).is_none());
}

#[test]
fn simultaneous_first_starts_receive_all_changes() {
    let mut world = World::new(8, CALM);
    world.add_publisher(1, &[10]);
    world.add_relay(10, &[1]);
    world.add_relay(20, &[10]);
    world.add_relay(21, &[10]);
    grant_lease(&mut world, 1, 1, 1e6);
    world.run(10.0);
    let drafts = (0..50).map(|n| put(&format!("r{n}"), &[n; 500])).collect();
    let version = publish(&mut world, 1, drafts);
    world.run(5.0);
    for id in 100..180 {
        world.add_node(id, &[20, 21], &[Selector::Services]);
    }
    let nodes: Vec<u32> = (100..180).collect();
    // 33 kB at 6 kB/s, and up to 4 s of jitter before each node connects.
    wait_until_all_have(&mut world, &nodes, version, 20.0);
    world.invariants.verify();
}

#[test]
fn node_starts_from_a_stale_snapshot_without_relays() {
    let mut world = tree(9);
    publish(&mut world, 1, vec![put("x", b"old")]);
    world.run(30.0);
    world.kill(PeerId(100));
    for relay in [20, 21] {
        world.kill(PeerId(relay));
    }
    let month = 30.0 * 86_400.0;
    let disk = world.processes[&PeerId(100)].disk.clone();
    let world::Config::Node(config, _) = world.processes[&PeerId(100)].config.clone() else {
        panic!()
    };
    let mut node =
        reelfall_distribution::subscriber::Subscriber::restore(config, disk, Some(month), 5.0);
    let mut outputs = Vec::new();
    node.poll(5.0, &mut outputs);
    let x = node.applied_change(&Name::service("a", "x")).unwrap();
    assert_eq!(x.content.bytes(), b"old");
    assert!(node.staleness(5.0) >= month);
    assert!(node.staleness(65.0) >= month + 60.0);
    // It keeps trying to connect, at a low rate.
    let mut attempts = 0;
    let mut now = 5.0;
    while now < 605.0 {
        now = node.next_wakeup().max(now + 1e-3);
        outputs.clear();
        node.poll(now, &mut outputs);
        let is_attempt = |output: &&reelfall_distribution::output::Output| {
            matches!(
                output,
                reelfall_distribution::output::Output::Event(Event::Following(_))
            )
        };
        attempts += outputs.iter().filter(is_attempt).count();
    }
    assert!(
        (5..60).contains(&attempts),
        "{attempts} sessions in ten minutes"
    );
    assert!(node.applied_change(&Name::service("a", "x")).is_some());
}

#[test]
fn snapshot_covers_only_what_the_log_no_longer_retains() {
    let mut world = tree(10);
    let drafts = (0..30).map(|n| put(&format!("r{n}"), &[n; 800])).collect();
    publish(&mut world, 1, drafts);
    world.run(30.0);
    world.kill(PeerId(100));
    // 70 removals where 50 are retained: the first 20 are discarded.
    for n in 0..70 {
        publish(&mut world, 1, vec![put(&format!("s{n}"), b"short")]);
    }
    publish(&mut world, 1, vec![Draft::remove(Name::service("a", "r3"))]);
    for n in 0..70 {
        publish(
            &mut world,
            1,
            vec![Draft::remove(Name::service("a", &format!("s{n}")))],
        );
    }
    let version = publish(&mut world, 1, vec![put("r4", b"new")]);
    world.run(20.0);
    let before = world.sent_frames.len();
    world.start(PeerId(100));
    wait_until_all_have(&mut world, &[100], version, 20.0);
    world.run(1.0);
    assert!(
        world
            .node_of(100)
            .applied_change(&Name::service("a", "r3"))
            .is_none(),
        "a removal was missed"
    );
    assert_eq!(
        world.bytes_at(100, &Name::service("a", "r4")).unwrap(),
        b"new"
    );
    assert_eq!(world.node_of(100).applied_changes().count(), 29);
    let bytes: usize = world.bytes_sent_to(PeerId(100), before);
    assert!(
        bytes < 15_000,
        "{bytes} bytes: the node has 29 bodies of 800 bytes already"
    );
    world.invariants.verify();
}
