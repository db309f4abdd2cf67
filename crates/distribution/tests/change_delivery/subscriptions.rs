//! Subscriptions that start and end while changes are published.

use crate::fixture::{publish, small_world, FIRST_WRITER};
use crate::world::World;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name, Selector};

#[test]
fn subscription_to_a_service_removed_meanwhile_completes_empty() {
    let mut world = small_world(11);
    let name_in_b = |index: u8| Name::service("b", &format!("r{index}"));
    publish(
        &mut world,
        FIRST_WRITER,
        (0..40)
            .map(|index| Draft::put(name_in_b(index), &[index; 1000]))
            .collect(),
    )
    .unwrap();
    world.run(5.0);
    world.with_node(100, |node, _, _| {
        node.subscribe(Selector::service("b")).unwrap()
    });
    world.run(3.0);
    assert!(!world.node_of(100).is_complete(&Selector::service("b")));
    publish(
        &mut world,
        FIRST_WRITER,
        (0..40)
            .map(|index| Draft::remove(name_in_b(index)))
            .collect(),
    )
    .unwrap();
    world.run(10.0);
    assert!(world.node_of(100).is_complete(&Selector::service("b")));
    assert_eq!(world.node_of(100).applied_changes().count(), 0);
    world.invariants.verify();
}

#[test]
fn tenants_are_delivered_on_subscription_and_removed_on_unsubscription() {
    let mut world = small_world(12);
    let tenant = |index: u8| Name::tenant(&format!("t{index}"), "limits");
    publish(
        &mut world,
        FIRST_WRITER,
        (0..50)
            .map(|index| Draft::put(tenant(index), &[index]))
            .collect(),
    )
    .unwrap();
    world.run(5.0);
    assert_eq!(world.node_of(100).applied_changes().count(), 0);
    let subscribe = |world: &mut World, tenant: &str| {
        let selector = Selector::tenant(tenant);
        world.with_node(100, |node, _, _| node.subscribe(selector).unwrap());
        world.run(1.0);
    };
    subscribe(&mut world, "t7");
    assert_eq!(world.bytes_at(100, &tenant(7)).unwrap(), [7]);
    subscribe(&mut world, "nobody");
    assert!(world.node_of(100).is_complete(&Selector::tenant("nobody")));
    publish(
        &mut world,
        FIRST_WRITER,
        vec![Draft::put(tenant(7), b"new")],
    )
    .unwrap();
    world.run(2.0);
    assert_eq!(world.bytes_at(100, &tenant(7)).unwrap(), b"new");
    world.with_node(100, |node, _, outputs| {
        node.unsubscribe(&Selector::tenant("t7"), outputs)
    });
    world.run(2.0);
    assert_eq!(world.node_of(100).applied_changes().count(), 0);
    world.kill(PeerId(100));
    world.start(PeerId(100));
    world.run(10.0);
    assert_eq!(world.node_of(100).applied_changes().count(), 0);
}
