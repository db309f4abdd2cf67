//! Publishers whose lease has expired or was granted to another one.

use crate::fixture::{publish, publisher_without_relays, small_world, LEASE_DURATION, NODES};
use crate::world::{claim, grant_lease, name, put, RecordedEvent};
use reelfall_distribution::close_reason::CloseReason;
use reelfall_distribution::output::Event;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::resource::NodeFraction;

/// A paused process is called before it is polled: the call itself has to check the time.
#[test]
fn publisher_rejects_writes_after_lease_expiry_without_a_poll() {
    let mut publisher = publisher_without_relays();
    let mut outputs = Vec::new();
    let fraction = NodeFraction {
        thousandths: 500,
        seed: 1,
    };
    publisher
        .hold_lease(1.0, &claim(1), 5.0, &mut outputs)
        .unwrap();
    let in_time = publisher
        .publish(4.9, &claim(1), vec![put("x", b"in time")], &mut outputs)
        .unwrap();
    publisher
        .publish_canary(4.9, &claim(1), put("y", b"in time"), fraction, &mut outputs)
        .unwrap();
    outputs.clear();
    let late = [
        publisher.publish(5.0, &claim(1), vec![put("x", b"late")], &mut outputs),
        publisher.publish_canary(
            5.0,
            &claim(1),
            put("y", b"late"),
            NodeFraction::ALL,
            &mut outputs,
        ),
        publisher.promote_canary(5.0, &claim(1), &name("y"), &mut outputs),
        publisher.revert(5.0, &claim(1), in_time, &mut outputs),
    ];
    assert_eq!(late, [const { Err(PublishError::LeaseNotHeld) }; 4]);
    assert!(outputs.is_empty(), "{outputs:?}");
}

#[test]
fn write_with_an_older_claim_is_fenced_with_the_later_token() {
    let mut publisher = publisher_without_relays();
    let mut outputs = Vec::new();
    publisher
        .hold_lease(1.0, &claim(2), 100.0, &mut outputs)
        .unwrap();
    let rejected = publisher.publish(2.0, &claim(1), vec![put("x", b"late")], &mut outputs);
    assert_eq!(rejected, Err(PublishError::Fenced(2)));
}

/// A publisher whose lease expires closes its sessions by itself: its children look for a successor, and nodes no
/// longer report their configuration as current.
#[test]
fn publisher_closes_its_sessions_when_the_lease_expires() {
    let mut world = small_world(1, 60.0);
    world.run(59.0);
    assert!(world.publisher_of(1).is_publishing());
    assert_eq!(world.publisher_of(1).children().count(), 2);
    world.run(1.5);
    assert!(!world.publisher_of(1).is_publishing());
    assert_eq!(world.publisher_of(1).children().count(), 0);
    let fenced_child = |recorded: &&RecordedEvent| {
        recorded.process == PeerId(1)
            && matches!(
                recorded.event,
                Event::ChildLost {
                    reason: CloseReason::Fenced,
                    ..
                }
            )
    };
    assert_eq!(
        world.invariants.events.iter().filter(fenced_child).count(),
        2
    );
    world.run(20.0);
    for id in NODES {
        let staleness = world
            .node_of(id)
            .staleness(world.processes[&PeerId(id)].clock(world.now));
        assert!(
            staleness >= 20.0,
            "{id} reports a staleness of {staleness} s, 20 s after the last publisher stepped down"
        );
    }
}

/// The relays that still follow a publisher whose lease has expired switch to the next one, and none of them reports
/// its configuration as current in the meantime.
#[test]
fn relays_of_a_publisher_with_expired_lease_switch_to_the_successor() {
    let mut world = small_world(2, 60.0);
    world.run(60.5);
    grant_lease(&mut world, 2, 2, LEASE_DURATION);
    world.run(10.0);
    publish(&mut world, 2, 2, vec![put("x", b"two")]);
    world.run(60.0);
    for id in NODES {
        assert_eq!(
            world.bytes_at(id, &name("x")).as_deref(),
            Some(&b"two"[..]),
            "{id}"
        );
    }
    world.invariants.verify();
}
