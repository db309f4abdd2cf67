//! Urgency, bursts and the budget of links.

use crate::fixture::{publish, small_world, FIRST_WRITER, NODES};
use crate::world::{name, put};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::resource::{Draft, Name};

#[test]
fn urgent_change_overtakes_queued_changes() {
    let mut world = small_world(3);
    let drafts = (0..200)
        .map(|index| put(&format!("r{index}"), &[index; 1000]))
        .collect();
    publish(&mut world, FIRST_WRITER, drafts).unwrap();
    world.run(5.0);
    let ban = Draft::put(Name::common("bans"), b"ban").urgent();
    publish(&mut world, FIRST_WRITER, vec![ban]).unwrap();
    publish(
        &mut world,
        FIRST_WRITER,
        (0..50)
            .map(|index| put(&format!("s{index}"), &[index; 1000]))
            .collect(),
    )
    .unwrap();
    world.run(2.0);
    for id in NODES {
        assert!(
            world
                .node_of(id)
                .applied_change(&Name::common("bans"))
                .is_some(),
            "{id}"
        );
        assert!(world.node_of(id).applied_changes().count() < 100);
    }
}

#[test]
fn burst_of_changes_to_one_resource_sends_only_the_last() {
    let mut world = small_world(4);
    let frames_before = world.sent_frames.len();
    for index in 0..500u32 {
        publish(
            &mut world,
            FIRST_WRITER,
            vec![put("x", &[index as u8; 1000])],
        )
        .unwrap();
    }
    world.run(5.0);
    for id in NODES {
        assert_eq!(world.bytes_at(id, &name("x")).unwrap(), [243; 1000]);
    }
    let to_node: usize = world.bytes_sent_to(PeerId(100), frames_before);
    assert!(to_node < 8000, "{to_node} bytes");
}

#[test]
fn burst_to_500_resources_stays_within_the_link_budget() {
    let mut world = small_world(5);
    let drafts = (0..500)
        .map(|index| put(&format!("r{index}"), &[index as u8; 200]))
        .collect();
    let version = publish(&mut world, FIRST_WRITER, drafts).unwrap();
    // 500 times 300 bytes at 6,000 bytes a second.
    world.run(35.0);
    for id in NODES {
        assert!(world.node_of(id).head() >= version);
        assert_eq!(world.node_of(id).applied_changes().count(), 500);
    }
    assert!(
        world.invariants.max_window_bytes > 40_000,
        "the budget was not used: {}",
        world.invariants.max_window_bytes
    );
    world.invariants.verify();
}
