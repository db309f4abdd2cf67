//! The deployment and calls that the cases of this test share.

use crate::world::{claim, grant_lease, lease, two_publishers_and_relays, World};
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::log::Capacity;
use reelfall_distribution::publisher::{Publisher, PublisherConfig};
use reelfall_distribution::resource::{Draft, Selector, Version};
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::Time;
use std::ops::Range;

pub use crate::world::writer::{LEASE_DURATION, RELAYS};

pub const NODES: Range<u32> = 100..104;

/// A publisher without upstreams, which publishes as soon as it holds the lease.
pub fn publisher_without_relays() -> Publisher {
    let config = PublisherConfig {
        lease: lease(),
        upstream: UpstreamConfig::relay(Vec::new()),
        downstream: DownstreamConfig::default(),
        capacity: Capacity {
            max_keys: 100,
            max_bytes: 1 << 20,
            max_tombstones: 10,
        },
        history_bytes: 1 << 20,
        takeover_timeout: 5.0,
        seed: 1,
    };
    Publisher::new(config, 0.0)
}

/// Two publishers, the first of which holds the lease for this long; two relays, four nodes.
pub fn small_world(seed: u64, lease_duration: Time) -> World {
    let mut world = two_publishers_and_relays(seed);
    for id in NODES {
        world.add_node(id, &RELAYS, &[Selector::service("a")]);
    }
    grant_lease(&mut world, 1, 1, lease_duration);
    world
}

/// Publishes changes under the lease with this token.
pub fn publish(world: &mut World, publisher: u32, token: u64, drafts: Vec<Draft>) -> Version {
    let published_at = world.now;
    let version = world
        .with_publisher(publisher, |publisher, now, outputs| {
            publisher.publish(now, &claim(token), drafts, outputs)
        })
        .unwrap()
        .unwrap();
    world.invariants.published(published_at, version);
    version
}
