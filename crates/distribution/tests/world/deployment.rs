//! Publishers, relays and nodes of a world, and the names and contents that they share.

use super::process::Config;
use super::{World, CALM};
use rand::Rng;
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::log::Capacity;
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publisher::PublisherConfig;
use reelfall_distribution::relay::RelayConfig;
use reelfall_distribution::resource::{Draft, Name, Selector};
use reelfall_distribution::subscriber::SubscriberConfig;
use reelfall_distribution::upstream_config::UpstreamConfig;
use reelfall_distribution::Time;
use reelfall_lease::token::{Claim, LeaseName};

/// Nodes have odd and even ids; the odd ones reject bodies with this prefix.
pub const REJECTED_BY_ODD_NODES: &[u8] = b"bad for odd";

/// Limits of the logs of publishers and relays.
const SERVER_CAPACITY: Capacity = Capacity {
    max_keys: 10_000,
    max_bytes: 64 << 20,
    max_tombstones: 50,
};
const NODE_CAPACITY: Capacity = Capacity {
    max_bytes: 8 << 20,
    ..SERVER_CAPACITY
};
/// Minimum time between two acknowledgements of a node, in seconds.
const ACKNOWLEDGEMENT_INTERVAL: Time = 2.0;

pub fn lease() -> LeaseName {
    LeaseName::try_from("settings".to_owned()).unwrap()
}

pub fn claim(token: u64) -> Claim {
    Claim {
        lease: lease(),
        token,
    }
}

/// A publisher acquires the lease with this token, for this many seconds.
pub fn grant_lease(world: &mut World, publisher: u32, token: u64, duration: Time) {
    let until = world.processes[&PeerId(publisher)].clock(world.now + duration);
    let granted = world.with_publisher(publisher, |publisher, now, outputs| {
        publisher.hold_lease(now, &claim(token), until, outputs)
    });
    assert_eq!(granted, Some(Ok(())));
}

/// Two publishers without the lease, and two relays that follow both.
pub fn two_publishers_and_relays(seed: u64) -> World {
    let mut world = World::new(seed, CALM);
    world.add_publisher(1, &[10, 11]);
    world.add_publisher(2, &[10, 11]);
    world.add_relay(10, &[1, 2]);
    world.add_relay(11, &[1, 2]);
    world
}

/// A node that subscribes to all services and follows relays of its region, with those of others as fallbacks.
pub fn node_of_region(world: &mut World, id: u32, near: &[u32], far: &[u32]) {
    let upstream = UpstreamConfig {
        fallbacks: peers(far),
        ..UpstreamConfig::node(peers(near))
    };
    node_with_upstream(world, id, upstream);
}

/// A node that subscribes to all services.
pub fn node_with_upstream(world: &mut World, id: u32, upstream: UpstreamConfig) {
    world.add_subscriber(id, upstream, vec![Selector::Services]);
}

/// A resource of the service that the nodes of most tests subscribe to.
pub fn name(item: &str) -> Name {
    Name::service("a", item)
}

/// A change of that resource.
pub fn put(item: &str, bytes: &[u8]) -> Draft {
    Draft::put(name(item), bytes)
}

pub fn peers(ids: &[u32]) -> Vec<PeerId> {
    ids.iter().map(|id| PeerId(*id)).collect()
}

impl World {
    pub fn add_publisher(&mut self, id: u32, relays: &[u32]) {
        let config = PublisherConfig {
            lease: lease(),
            upstream: UpstreamConfig::relay(peers(relays)),
            downstream: DownstreamConfig::default(),
            capacity: SERVER_CAPACITY,
            history_bytes: 1 << 20,
            takeover_timeout: 5.0,
            seed: self.rng.random(),
        };
        self.add_process(PeerId(id), Config::Publisher(config));
    }

    pub fn add_relay(&mut self, id: u32, upstreams: &[u32]) {
        let config = RelayConfig {
            lease: lease(),
            upstream: UpstreamConfig::relay(peers(upstreams)),
            downstream: DownstreamConfig::default(),
            capacity: SERVER_CAPACITY,
            seed: self.rng.random(),
        };
        self.add_process(PeerId(id), Config::Relay(config));
    }

    pub fn add_node(&mut self, id: u32, relays: &[u32], selectors: &[Selector]) {
        let upstream = UpstreamConfig::node(peers(relays));
        self.add_subscriber(id, upstream, selectors.to_vec());
    }

    fn add_subscriber(&mut self, id: u32, upstream: UpstreamConfig, selectors: Vec<Selector>) {
        let config = SubscriberConfig {
            node: PeerId(id),
            lease: lease(),
            upstream,
            capacity: NODE_CAPACITY,
            acknowledgement_interval: ACKNOWLEDGEMENT_INTERVAL,
            seed: self.rng.random(),
        };
        self.add_process(PeerId(id), Config::Node(config, selectors));
    }
}
