//! Two publishers that both assume that they hold the lease, and the succession of one by the other.

use crate::fixture::{
    publish, small_world, FIRST_WRITER, LEASE_DURATION, NODES, RELAYS, SECOND_WRITER,
};
use crate::world::{grant_lease, name, put, RecordedEvent};
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::resource::Version;

#[test]
fn publisher_with_an_older_token_is_fenced() {
    let mut world = small_world(6);
    publish(&mut world, FIRST_WRITER, vec![put("x", b"one")]).unwrap();
    world.run(10.0);
    // The second publisher acquires the lease while the first one still assumes that it holds it. All relays switch to
    // the second one.
    grant_lease(
        &mut world,
        SECOND_WRITER.publisher,
        SECOND_WRITER.token,
        LEASE_DURATION,
    );
    for relay in RELAYS {
        world.partition(FIRST_WRITER.peer(), PeerId(relay), 60.0);
    }
    world.run(60.0);
    let successor_version = publish(&mut world, SECOND_WRITER, vec![put("x", b"two")]).unwrap();
    assert!(
        successor_version
            > Version {
                token: 1,
                sequence: u64::MAX
            }
    );
    publish(&mut world, FIRST_WRITER, vec![put("x", b"late")]).unwrap();
    for relay in RELAYS {
        world.partition(SECOND_WRITER.peer(), PeerId(relay), 30.0);
    }
    world.run(120.0);
    let fenced = |recorded: &RecordedEvent| {
        recorded.process == FIRST_WRITER.peer() && matches!(recorded.event, Event::Fenced { .. })
    };
    assert!(
        world.invariants.events.iter().any(fenced),
        "the first publisher was not fenced"
    );
    assert!(!world.publisher_of(FIRST_WRITER.publisher).is_publishing());
    let rejected = publish(&mut world, FIRST_WRITER, vec![put("x", b"later")]);
    assert!(rejected.is_err(), "{rejected:?}");
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"two");
    }
    let orphaned = |recorded: &RecordedEvent| {
        recorded.process == FIRST_WRITER.peer()
            && matches!(&recorded.event, Event::Orphaned { key, .. } if key.name == name("x"))
    };
    assert!(
        world.invariants.events.iter().any(orphaned),
        "the loss of the first publisher's change was not reported"
    );
}

#[test]
fn changes_of_a_partitioned_publisher_are_reverted_everywhere() {
    let mut world = small_world(7);
    publish(&mut world, FIRST_WRITER, vec![put("x", b"one")]).unwrap();
    world.run(10.0);
    // One side of the partition: the first publisher, a relay and its nodes.
    let near_relay = world.node_of(100).following().unwrap();
    let far_relay = if near_relay.0 == 10 { 11 } else { 10 };
    let region: Vec<u32> = NODES
        .filter(|id| world.node_of(*id).following() == Some(near_relay))
        .collect();
    let duration = 100.0;
    for far in [2, far_relay] {
        for near in region.iter().copied().chain([1, near_relay.0]) {
            world.partition(PeerId(far), PeerId(near), duration);
        }
    }
    publish(
        &mut world,
        FIRST_WRITER,
        vec![put("x", b"partitioned"), put("y", b"partitioned")],
    )
    .unwrap();
    world.run(20.0);
    for id in &region {
        assert_eq!(world.bytes_at(*id, &name("x")).unwrap(), b"partitioned");
    }
    world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.step_down(now, outputs)
    });
    grant_lease(
        &mut world,
        SECOND_WRITER.publisher,
        SECOND_WRITER.token,
        LEASE_DURATION,
    );
    world.run(30.0);
    publish(&mut world, SECOND_WRITER, vec![put("z", b"two")]).unwrap();
    world.run(200.0);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"one", "{id}");
        assert_eq!(world.bytes_at(id, &name("y")), None, "{id}");
        assert_eq!(world.bytes_at(id, &name("z")).unwrap(), b"two", "{id}");
    }
    world.invariants.verify();
}

#[test]
fn successor_has_the_changes_of_the_earlier_publisher() {
    let mut world = small_world(8);
    publish(&mut world, FIRST_WRITER, vec![put("x", b"one")]).unwrap();
    world.run(60.0);
    world.kill(FIRST_WRITER.peer());
    grant_lease(
        &mut world,
        SECOND_WRITER.publisher,
        SECOND_WRITER.token,
        LEASE_DURATION,
    );
    assert_eq!(
        publish(&mut world, SECOND_WRITER, vec![put("y", b"two")]),
        Err(PublishError::TakingOver)
    );
    world.run(60.0);
    publish(&mut world, SECOND_WRITER, vec![put("y", b"two")]).unwrap();
    world.run(10.0);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"one");
        assert_eq!(world.bytes_at(id, &name("y")).unwrap(), b"two");
    }
    world.invariants.verify();
}

#[test]
fn publisher_with_expired_lease_cannot_publish() {
    let mut world = small_world(14);
    grant_lease(&mut world, FIRST_WRITER.publisher, FIRST_WRITER.token, 5.0);
    world.run(4.0);
    assert!(publish(&mut world, FIRST_WRITER, vec![put("x", b"in time")]).is_ok());
    world.run(2.0);
    assert_eq!(
        publish(&mut world, FIRST_WRITER, vec![put("x", b"late")]),
        Err(PublishError::LeaseNotHeld)
    );
}
