//! Versions and changes that the tests of several components share.

use reelfall_distribution::coverage::Span;
use reelfall_distribution::log::Capacity;
use reelfall_distribution::resource::{
    Change, Content, Key, Name, NodeFraction, Slot, Urgency, Version,
};

pub const CAPACITY: Capacity = Capacity {
    max_keys: 10,
    max_bytes: 10_000,
    max_tombstones: 2,
};

/// A version of the first token.
pub fn version(sequence: u64) -> Version {
    Version { token: 1, sequence }
}

pub fn change(item: &str, sequence: u64, content: Content) -> Change {
    Change {
        key: Key {
            name: Name::service("a", item),
            slot: Slot::Stable,
        },
        version: version(sequence),
        urgency: Urgency::Normal,
        fraction: NodeFraction::ALL,
        replaces: Version::ZERO,
        content,
    }
}

/// A change with a body of four bytes.
pub fn put(item: &str, sequence: u64) -> Change {
    change(item, sequence, Content::body(b"body"))
}

/// The versions after one up to another; after 0 from the start.
pub fn span(after: u64, through: u64) -> Span {
    let lower = if after == 0 {
        Version::ZERO
    } else {
        version(after)
    };
    Span {
        after: lower,
        through: version(through),
    }
}
