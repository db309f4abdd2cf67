//! The deployment and calls that the cases of this test share.

use crate::world::{claim, grant_lease, two_publishers_and_relays, World};
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::resource::{Draft, Selector, Version};
use std::ops::Range;

pub use crate::world::writer::{Writer, FIRST_WRITER, LEASE_DURATION, RELAYS, SECOND_WRITER};

pub const NODES: Range<u32> = 100..106;

/// Two publishers, the first of which holds the lease; two relays, six nodes.
pub fn small_world(seed: u64) -> World {
    let mut world = two_publishers_and_relays(seed);
    for id in NODES {
        let selectors = [Selector::common(), Selector::service("a")];
        world.add_node(id, &RELAYS, &selectors);
    }
    grant_lease(
        &mut world,
        FIRST_WRITER.publisher,
        FIRST_WRITER.token,
        LEASE_DURATION,
    );
    world.run(90.0);
    world
}

pub fn publish(
    world: &mut World,
    writer: Writer,
    drafts: Vec<Draft>,
) -> Result<Version, PublishError> {
    world
        .with_publisher(writer.publisher, |publisher, now, outputs| {
            publisher.publish(now, &claim(writer.token), drafts, outputs)
        })
        .unwrap()
}
