//! Changes that not every publisher and relay had when the lease changed hands.

use crate::fixture::{publish, small_world, LEASE_DURATION, NODES, RELAYS};
use crate::world::{claim, grant_lease, name, put, World, CALM};
use reelfall_distribution::coverage::Coverage;
use reelfall_distribution::epoch::Epoch;
use reelfall_distribution::output::Record;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Change, Content, Draft, Selector, Version};

/// The next publisher catches up from all first-tier relays, not from the first one alone: the last publisher had
/// reached one relay before it crashed.
#[test]
fn change_that_reached_one_first_tier_relay_survives_the_publisher() {
    let mut world = small_world(3, LEASE_DURATION);
    world.run(60.0);
    let follows_second =
        |world: &World, relay: u32| world.relay_of(relay).children().any(|id| id == PeerId(2));
    let (lagging, current) = if follows_second(&world, 10) {
        (10, 11)
    } else {
        (11, 10)
    };
    assert!(follows_second(&world, lagging) && !follows_second(&world, current));
    world.partition(PeerId(1), PeerId(lagging), 60.0);
    let version = publish(&mut world, 1, 1, vec![put("x", b"one")]);
    world.run(2.0);
    assert_eq!(world.relay_of(current).log().last_version(), version);
    assert!(world.relay_of(lagging).log().last_version() < version);
    world.kill(PeerId(1));
    grant_lease(&mut world, 2, 2, LEASE_DURATION);
    world.run(60.0);
    assert!(world.publisher_of(2).is_publishing());
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"one"[..]),
            "{id}"
        );
    }
    world.invariants.verify();
}

/// A partitioned publisher acquires the lease again without the changes of the publisher in between, which did not have
/// its last change. The coverage that the relays have from the publisher in between includes that change, so they do
/// not request it.
#[test]
fn change_unknown_to_an_intermediate_publisher_reaches_all_nodes() {
    let mut world = small_world(4, LEASE_DURATION);
    world.run(60.0);
    publish(&mut world, 1, 1, vec![put("x", b"one")]);
    world.run(10.0);
    for relay in RELAYS {
        world.partition(PeerId(1), PeerId(relay), 120.0);
    }
    publish(&mut world, 1, 1, vec![put("x", b"partitioned")]);
    world.with_publisher(1, |publisher, now, outputs| {
        publisher.step_down(now, outputs)
    });
    grant_lease(&mut world, 2, 2, LEASE_DURATION);
    world.run(80.0);
    publish(&mut world, 2, 2, vec![put("y", b"between")]);
    world.run(10.0);
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"one"[..]),
            "{id}"
        );
        assert_eq!(
            world.bytes_at(id, &name("y")).as_deref(),
            Some(&b"between"[..]),
            "{id}"
        );
    }
    world.with_publisher(2, |publisher, now, outputs| {
        publisher.step_down(now, outputs)
    });
    grant_lease(&mut world, 1, 3, LEASE_DURATION);
    world.run(200.0);
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"partitioned"[..]),
            "{id}"
        );
        assert_eq!(
            world.bytes_at(id, &name("y")),
            None,
            "{id}: the publisher does not have the change"
        );
    }
}

/// A relay that has persisted the epoch and crashed before it could report its orphans reports them after its restart.
#[test]
fn orphans_are_reported_after_a_relay_crash() {
    let mut world = World::new(5, CALM);
    world.add_publisher(1, &[10]);
    world.add_relay(10, &[1]);
    world.add_node(100, &[10], &[Selector::service("a")]);
    grant_lease(&mut world, 1, 1, LEASE_DURATION);
    world.run(30.0);
    let known = publish(&mut world, 1, 1, vec![put("x", b"one")]);
    world.run(10.0);
    let known_change = world.relay_of(10).log().get_version(known).unwrap().clone();
    world.kill(PeerId(10));
    world.with_publisher(1, |publisher, now, outputs| {
        publisher.step_down(now, outputs)
    });
    grant_lease(&mut world, 1, 2, LEASE_DURATION);
    world.run(10.0);
    assert!(world.publisher_of(1).is_publishing());
    let version = Version {
        sequence: known.sequence + 5,
        ..known
    };
    let covered = Record::Covered {
        selector: Selector::Everything,
        coverage: Coverage::up_to(version),
        removals_known: Version::ZERO,
    };
    let epoch = Epoch {
        claim: claim(2),
        known: Coverage::up_to(known),
    };
    let orphan = Change {
        version,
        content: Content::body(b"orphan"),
        ..known_change
    };
    let records = [Record::Put(orphan), covered, Record::Epoch(epoch)];
    world
        .processes
        .get_mut(&PeerId(10))
        .unwrap()
        .disk
        .extend(records);
    world.start(PeerId(10));
    world.run(60.0);
    assert_eq!(
        world.bytes_at(100, &name("x")).as_deref(),
        Some(&b"one"[..])
    );
    assert!(
        world
            .node_of(100)
            .applied_change(&name("x"))
            .unwrap()
            .version
            .token
            == 2,
        "the change was not published again"
    );
    world.invariants.verify();
}

/// A relay that lost all of its coverage, because a publisher in between did not have it, still has changes: it
/// receives removals whose tombstones were pruned meanwhile.
#[test]
fn relay_without_coverage_receives_pruned_removals() {
    const KEYS: usize = 60;
    let mut world = World::new(6, CALM);
    world.add_publisher(1, &[10]);
    world.add_publisher(2, &[10]);
    world.add_relay(10, &[1, 2]);
    world.partition(PeerId(2), PeerId(10), 100.0);
    grant_lease(&mut world, 1, 1, LEASE_DURATION);
    world.run(40.0);
    let item = |index: usize| format!("r{index}");
    publish(
        &mut world,
        1,
        1,
        (0..KEYS).map(|index| put(&item(index), b"one")).collect(),
    );
    world.run(20.0);
    assert_eq!(world.relay_of(10).log().len(), KEYS);
    // The second publisher has no changes; the relay receives its epoch, and nothing else.
    world.partition(PeerId(1), PeerId(10), LEASE_DURATION);
    world.with_publisher(1, |publisher, now, outputs| {
        publisher.step_down(now, outputs)
    });
    world.run(39.0);
    grant_lease(&mut world, 2, 2, LEASE_DURATION);
    let has_second_epoch = |world: &World| {
        let epoch =
            |record: &Record| matches!(record, Record::Epoch(epoch) if epoch.claim.token == 2);
        world.processes[&PeerId(10)].disk.iter().any(epoch)
    };
    while !has_second_epoch(&world) {
        world.run(0.001);
        assert!(
            world.now < 300.0,
            "the relay does not follow the second publisher"
        );
    }
    world.partition(PeerId(2), PeerId(10), LEASE_DURATION);
    let last_covered = world.relay_of(10).coverage().last_version();
    assert_eq!(
        last_covered.token, 1,
        "the second publisher has sent more than its epoch"
    );
    // The first publisher publishes again without the changes of the second one, and prunes tombstones.
    grant_lease(&mut world, 1, 3, LEASE_DURATION);
    world.run(10.0);
    let last = publish(
        &mut world,
        1,
        3,
        (0..KEYS)
            .map(|index| Draft::remove(name(&item(index))))
            .collect(),
    );
    assert!(
        world.publisher_of(1).log().len() < KEYS,
        "no tombstone was pruned"
    );
    world.partition(PeerId(1), PeerId(10), 0.0);
    world.run(60.0);
    let relay = world.relay_of(10);
    assert_eq!(relay.coverage().contiguous_end(), last);
    let retained = relay
        .log()
        .changes()
        .filter(|change| !change.is_removal())
        .count();
    assert_eq!(retained, 0, "removed keys are retained");
}
