//! What datagrams of a fleet contain is told from the datagrams themselves.

use reelfall_emulator::inspect::{Contents, Inspector};
use reelfall_emulator::together::{rules, secret, World};

/// A fleet whose nodes know each other, with an inspector from its beginning on.
fn gathered(nodes: usize) -> World {
    let mut world = World::new(nodes, 1, |_| rules());
    world.inspector = Some(Inspector::new(secret()));
    world.until(60.0, World::gathered);
    world
}

fn seen(world: &World) -> Contents {
    world.inspector.as_ref().expect("it was put in").seen
}

#[test]
fn all_datagrams_are_counted_with_their_bytes() {
    let world = gathered(8);
    let seen = seen(&world);
    assert_eq!((seen.datagrams, seen.bytes), (world.sent, world.bytes));
    assert!(seen.swim_bytes > 0 && seen.swim_bytes < seen.bytes);
}

#[test]
fn news_of_joins_are_seen_to_end_and_a_ban_to_be_told() {
    let mut world = gathered(8);
    let joining = seen(&world);
    let joined = world.t;
    world.run(60.0);
    let before = seen(&world);
    world.run(20.0);
    let quiet = seen(&world).since(&before);
    assert_eq!(quiet.entries, 0);
    let each = |contents: Contents| contents.swim_bytes as f64 / contents.datagrams as f64;
    assert!(
        each(quiet) < each(joining),
        "{quiet:?} {joining:?} after {joined} s"
    );
    world.at(0, |fleet, now| fleet.ban(now, "server-1", "ada", None));
    let before = seen(&world);
    world.run(5.0);
    assert!(seen(&world).since(&before).entries > 0);
}

#[test]
fn a_datagram_of_another_key_is_counted_by_its_length_alone() {
    let mut inspector = Inspector::new(secret());
    inspector.add(&[7; 100]);
    assert_eq!(
        inspector.seen,
        Contents {
            datagrams: 1,
            bytes: 100,
            ..Contents::default()
        }
    );
}
