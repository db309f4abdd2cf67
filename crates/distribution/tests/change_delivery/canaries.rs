//! Canaries: their fractions, promotions and reverts.

use crate::fixture::{publish, small_world, FIRST_WRITER, NODES};
use crate::world::{claim, name, put, World};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::NodeFraction;

#[test]
fn canary_reaches_its_fraction_then_is_promoted_or_reverted() {
    let mut world = small_world(9);
    publish(&mut world, FIRST_WRITER, vec![put("x", b"old")]).unwrap();
    world.run(5.0);
    let fraction = NodeFraction {
        thousandths: 400,
        seed: 3,
    };
    let inside: Vec<u32> = NODES.filter(|id| fraction.contains(PeerId(*id))).collect();
    assert!(!inside.is_empty() && inside.len() < 6, "{inside:?}");
    let canary = world
        .with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
            publisher.publish_canary(
                now,
                &claim(FIRST_WRITER.token),
                put("x", b"new"),
                fraction,
                outputs,
            )
        })
        .unwrap()
        .unwrap();
    world.run(5.0);
    for id in NODES {
        let expected: &[u8] = if inside.contains(&id) { b"new" } else { b"old" };
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), expected);
    }
    world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.revert(now, &claim(FIRST_WRITER.token), canary, outputs)
    });
    world.run(5.0);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"old");
    }
    world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.publish_canary(
            now,
            &claim(FIRST_WRITER.token),
            put("x", b"newer"),
            fraction,
            outputs,
        )
    });
    world.run(5.0);
    world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
        publisher.promote_canary(now, &claim(FIRST_WRITER.token), &name("x"), outputs)
    });
    world.run(5.0);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"newer");
    }
    world.invariants.verify();
}

#[test]
fn shrunk_canary_is_withdrawn_from_the_nodes_outside_it() {
    let mut world = small_world(10);
    publish(&mut world, FIRST_WRITER, vec![put("x", b"old")]).unwrap();
    let publish_canary = |world: &mut World, thousandths| {
        let fraction = NodeFraction {
            thousandths,
            seed: 3,
        };
        let draft = put("x", b"new");
        world.with_publisher(FIRST_WRITER.publisher, |publisher, now, outputs| {
            publisher.publish_canary(now, &claim(FIRST_WRITER.token), draft, fraction, outputs)
        });
        world.run(5.0);
    };
    publish_canary(&mut world, 1000);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"new");
    }
    publish_canary(&mut world, 0);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), b"old");
    }
}
