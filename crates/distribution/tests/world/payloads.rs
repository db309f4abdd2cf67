//! Machines without a world, and payloads for them: for tests that write the frames of a peer themselves.

use super::lease;
use reelfall_distribution::coverage::Span;
use reelfall_distribution::downstream_config::DownstreamConfig;
use reelfall_distribution::log::Capacity;
use reelfall_distribution::message::{Chunk, Payload};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::relay::{Relay, RelayConfig};
use reelfall_distribution::resource::{
    Change, Content, ContentHash, Key, Name, NodeFraction, Selector, Slot, Urgency, Version,
};
use reelfall_distribution::subscriber::{Subscriber, SubscriberConfig};
use reelfall_distribution::upstream_config::UpstreamConfig;

/// The node of [`subscriber`].
pub const SUBSCRIBER: PeerId = PeerId(100);
/// The upstream of [`relay`].
pub const RELAY_UPSTREAM: PeerId = PeerId(1);
pub const CAPACITY: Capacity = Capacity {
    max_keys: 1000,
    max_bytes: 1 << 20,
    max_tombstones: 10,
};

/// A node that follows one of these relays and subscribes to the service "a" with id 0.
pub fn subscriber(relays: Vec<PeerId>) -> Subscriber {
    let config = SubscriberConfig {
        node: SUBSCRIBER,
        lease: lease(),
        upstream: UpstreamConfig::node(relays),
        capacity: CAPACITY,
        acknowledgement_interval: 2.0,
        seed: 1,
    };
    let mut node = Subscriber::new(config, 0.0);
    node.subscribe(Selector::service("a")).unwrap();
    node
}

pub fn relay(downstream: DownstreamConfig) -> Relay {
    let config = RelayConfig {
        lease: lease(),
        upstream: UpstreamConfig::relay(vec![RELAY_UPSTREAM]),
        downstream,
        capacity: CAPACITY,
        seed: 1,
    };
    Relay::new(config, 0.0)
}

/// A version of the first token.
pub fn version(sequence: u64) -> Version {
    Version { token: 1, sequence }
}

/// All versions up to this one.
pub fn span_through(sequence: u64) -> Span {
    Span {
        after: Version::ZERO,
        through: version(sequence),
    }
}

pub fn change(name: Name, sequence: u64, body: &[u8]) -> Change {
    Change {
        key: Key {
            name,
            slot: Slot::Stable,
        },
        version: version(sequence),
        urgency: Urgency::Normal,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        content: Content::body(body),
    }
}

/// Changes for the subscription of [`subscriber`], through the last of them.
pub fn changes_payload(changes: Vec<Change>) -> Payload {
    let last = changes.iter().map(|change| change.version.sequence).max();
    Payload::Changes {
        id: 0,
        span: span_through(last.unwrap_or(0)),
        changes,
    }
}

/// A chunk of the third change, whose body has this length and hash.
pub fn chunk_payload(offset: u32, total: u32, bytes: &[u8], hash: ContentHash) -> Payload {
    const SEQUENCE: u64 = 3;
    let chunk = Chunk {
        key: Key {
            name: Name::service("a", "x"),
            slot: Slot::Stable,
        },
        version: version(SEQUENCE),
        urgency: Urgency::Normal,
        is_urgent: false,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        total,
        hash,
        offset,
        bytes: bytes.to_vec(),
    };
    Payload::Chunk {
        id: 0,
        span: span_through(SEQUENCE),
        chunk,
    }
}
