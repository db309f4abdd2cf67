//! Changes that nodes reject, and reverts.

use crate::fixture::{publish, small_world, FIRST_WRITER, NODES};
use crate::world::{claim, name, put, World, REJECTED_BY_ODD_NODES};

#[test]
fn change_rejected_by_half_of_the_nodes_is_reported_and_reverted() {
    let mut world = small_world(1);
    publish(&mut world, FIRST_WRITER, vec![put("x", b"good")]).unwrap();
    world.run(10.0);
    let version = publish(
        &mut world,
        FIRST_WRITER,
        vec![put("x", REJECTED_BY_ODD_NODES)],
    )
    .unwrap();
    world.run(10.0);
    let status = world.publisher_of(FIRST_WRITER.publisher).status(version);
    let rejecting: Vec<u32> = status
        .rejections
        .iter()
        .map(|rejection| rejection.node.0)
        .collect();
    assert_eq!(rejecting, [101, 103, 105]);
    assert!(status
        .rejections
        .iter()
        .all(|rejection| rejection.reason == "odd numbers can't"));
    assert!(status
        .rejections
        .iter()
        .all(|rejection| rejection.key.name == name("x")));
    assert_eq!(
        status.acknowledged.len(),
        6,
        "a rejection acknowledges the change too"
    );
    for id in NODES {
        let expected = if id % 2 == 1 {
            &b"good"[..]
        } else {
            REJECTED_BY_ODD_NODES
        };
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), expected);
    }
    let reverted = world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.revert(now, &claim(FIRST_WRITER.token), version, outputs)
    });
    let reverted = reverted.unwrap().unwrap();
    assert!(reverted > version);
    world.run(5.0);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"good");
        assert_eq!(
            world
                .node_of(id)
                .applied_change(&name("x"))
                .unwrap()
                .version,
            reverted
        );
    }
    world.invariants.verify();
}

#[test]
fn revert_overtakes_the_change_still_in_transfer() {
    let mut world = small_world(2);
    publish(&mut world, FIRST_WRITER, vec![put("x", b"good")]).unwrap();
    world.run(10.0);
    // So many changes are queued before it that the nodes do not have the change when it is reverted.
    let drafts = (0..60)
        .map(|index| put(&format!("r{index}"), &[index; 1000]))
        .collect();
    publish(&mut world, FIRST_WRITER, drafts).unwrap();
    let version = publish(&mut world, FIRST_WRITER, vec![put("x", &[1; 30_000])]).unwrap();
    world.run(2.0);
    world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.revert(now, &claim(FIRST_WRITER.token), version, outputs)
    });
    world.run(1.5);
    let has_revert = |id: u32, world: &World| {
        let change = world
            .node_of(id)
            .applied_change(&name("x"))
            .unwrap()
            .clone();
        assert_eq!(change.content.bytes(), b"good");
        change.version > version
    };
    assert!(
        NODES.into_iter().all(|id| has_revert(id, &world)),
        "the urgent revert was not sent first"
    );
    world.run(40.0);
    assert!(NODES.into_iter().all(|id| has_revert(id, &world)));
    world.invariants.verify();
}
