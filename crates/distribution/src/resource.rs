//! Resources: names, versions, contents, changes and selectors.

use crate::peer::PeerId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Longest name of a group or of an item, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// The fraction that contains all nodes, in thousandths.
pub const ALL_NODES_THOUSANDTHS: u16 = 1000;

/// Why a name is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidName {
    /// It is empty.
    #[error("a resource's name is empty")]
    Empty,
    /// It is too long.
    #[error("a resource's name exceeds {MAX_NAME_BYTES} bytes")]
    TooLong,
}

/// The group that a resource belongs to; nodes subscribe by group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Group {
    /// Resources that every node needs.
    Common,
    /// Settings, routes and servers of one service.
    Service(Arc<str>),
    /// Settings of one tenant, to which a node subscribes with the first request of the tenant.
    Tenant(Arc<str>),
    /// Records that publishers keep for their successors: publishers and relays hold them, nodes do not.
    Publishers,
}

/// The name of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// The group.
    pub group: Group,
    /// The resource in the group.
    pub item: Arc<str>,
}

fn check(text: &str) -> Result<(), InvalidName> {
    match text.len() {
        0 => Err(InvalidName::Empty),
        n if n > MAX_NAME_BYTES => Err(InvalidName::TooLong),
        _ => Ok(()),
    }
}

impl Name {
    /// A resource that every node needs.
    pub fn common(item: &str) -> Name {
        Name {
            group: Group::Common,
            item: item.into(),
        }
    }

    /// A resource of a service.
    pub fn service(service: &str, item: &str) -> Name {
        Name {
            group: Group::Service(service.into()),
            item: item.into(),
        }
    }

    /// A resource of a tenant.
    pub fn tenant(tenant: &str, item: &str) -> Name {
        Name {
            group: Group::Tenant(tenant.into()),
            item: item.into(),
        }
    }

    /// Checks that both parts have 1 to [`MAX_NAME_BYTES`] bytes.
    ///
    /// # Errors
    /// Says which limit is violated.
    pub fn check(&self) -> Result<(), InvalidName> {
        check(&self.item)?;
        match &self.group {
            Group::Common | Group::Publishers => Ok(()),
            Group::Service(text) | Group::Tenant(text) => check(text),
        }
    }
}

/// The resources of a subscription.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Selector {
    /// All resources, for relays and publishers.
    Everything,
    /// Common resources and all services, without tenants, for nodes that serve everything.
    Services,
    /// The resources of one group.
    Group(Group),
}

impl Selector {
    /// The common resources.
    pub fn common() -> Selector {
        Selector::Group(Group::Common)
    }

    /// The resources of a service.
    pub fn service(service: &str) -> Selector {
        Selector::Group(Group::Service(service.into()))
    }

    /// The resources of a tenant.
    pub fn tenant(tenant: &str) -> Selector {
        Selector::Group(Group::Tenant(tenant.into()))
    }

    /// All selectors that match a group.
    pub fn all_matching(group: &Group) -> Vec<Selector> {
        let mut all = vec![Selector::Everything, Selector::Group(group.clone())];
        if Selector::Services.matches(group) {
            all.push(Selector::Services);
        }
        all
    }

    /// Whether it matches a group.
    pub fn matches(&self, group: &Group) -> bool {
        match self {
            Selector::Everything => true,
            Selector::Services => !matches!(group, Group::Tenant(_) | Group::Publishers),
            Selector::Group(selected) => selected == group,
        }
    }
}

/// The version of a change: its publisher's fencing token, then the publisher's sequence number; ordered in this order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The fencing token.
    pub token: u64,
    /// The publisher's sequence number, from 1.
    pub sequence: u64,
}

impl Version {
    /// Before all changes.
    pub const ZERO: Version = Version {
        token: 0,
        sequence: 0,
    };

    /// The greatest smaller version of the same token.
    pub fn predecessor(self) -> Version {
        Version {
            sequence: self.sequence.saturating_sub(1),
            ..self
        }
    }
}

/// The slot of a resource that a change is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Slot {
    /// For all nodes.
    Stable,
    /// For a fraction of the nodes. Where it applies and is newer, it takes precedence over [`Slot::Stable`].
    Canary,
}

/// A resource's slot; a later change of the same key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The resource.
    pub name: Name,
    /// The slot.
    pub slot: Slot,
}

impl Key {
    /// A short hash, by which manifests list keys.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        let hash = blake3::hash(&bytes);
        hash.as_bytes()
            .iter()
            .take(8)
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
    }
}

/// The BLAKE3 hash of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 32]);

impl ContentHash {
    /// Hashes a body.
    pub fn of(body: &[u8]) -> ContentHash {
        ContentHash(*blake3::hash(body).as_bytes())
    }
}

/// The content of a resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Content {
    /// A body of opaque bytes.
    Body(Arc<[u8]>),
    /// Removed. For a canary: it has ended, and the stable change applies.
    Removed,
}

impl Content {
    /// A body with these bytes.
    pub fn body(bytes: &[u8]) -> Content {
        Content::Body(bytes.into())
    }

    /// The body's bytes; none for a removal.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Content::Body(bytes) => bytes,
            Content::Removed => &[],
        }
    }
}

/// Priority of a change while a link's budget is exhausted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Urgency {
    /// Sent after urgent changes.
    #[default]
    Normal,
    /// Sent first: a ban, a drain, a revert.
    Urgent,
}

/// A fraction of the nodes. A greater fraction with the same seed contains the smaller ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeFraction {
    /// Number of nodes in a thousand.
    pub thousandths: u16,
    /// Seed of the order in which nodes are included.
    pub seed: u64,
}

impl NodeFraction {
    /// All nodes.
    pub const ALL: NodeFraction = NodeFraction {
        thousandths: ALL_NODES_THOUSANDTHS,
        seed: 0,
    };

    /// Whether it contains a node.
    pub fn contains(&self, node: PeerId) -> bool {
        if self.thousandths >= ALL_NODES_THOUSANDTHS {
            return true;
        }
        let rank = crate::random::mix_bits(self.seed ^ (u64::from(node.0) << 20))
            % u64::from(ALL_NODES_THOUSANDTHS);
        rank < u64::from(self.thousandths)
    }
}

/// A change that a publisher is asked to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The resource.
    pub name: Name,
    /// The new content.
    pub content: Content,
    /// The priority.
    pub urgency: Urgency,
}

impl Draft {
    /// A body with normal priority.
    pub fn put(name: Name, body: &[u8]) -> Draft {
        Draft {
            name,
            content: Content::body(body),
            urgency: Urgency::Normal,
        }
    }

    /// A removal with normal priority.
    pub fn remove(name: Name) -> Draft {
        Draft {
            name,
            content: Content::Removed,
            urgency: Urgency::Normal,
        }
    }

    /// The same change with urgent priority.
    pub fn urgent(self) -> Draft {
        Draft {
            urgency: Urgency::Urgent,
            ..self
        }
    }
}

/// A published change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key whose previous change it replaces.
    pub key: Key,
    /// The version, greater than those of all earlier changes.
    pub version: Version,
    /// The priority.
    pub urgency: Urgency,
    /// The nodes that it is for.
    pub fraction: NodeFraction,
    /// The version of the change that it replaced at its publisher; [`Version::ZERO`] if there was none.
    pub replaces: Version,
    /// The new content.
    pub content: Content,
}

impl Change {
    /// Hash of the body; of no bytes for a removal.
    pub fn hash(&self) -> ContentHash {
        ContentHash::of(self.content.bytes())
    }

    /// Whether it is a removal.
    pub fn is_removal(&self) -> bool {
        self.content == Content::Removed
    }

    /// Its approximate size in memory and in a frame, in bytes.
    pub fn size_bytes(&self) -> usize {
        let group = match &self.key.name.group {
            Group::Common | Group::Publishers => 0,
            Group::Service(text) | Group::Tenant(text) => text.len(),
        };
        CHANGE_OVERHEAD_BYTES + group + self.key.name.item.len() + self.content.bytes().len()
    }

    /// Whether all fields are within their limits.
    pub fn is_valid(&self) -> bool {
        self.key.name.check().is_ok()
            && self.content.bytes().len() <= MAX_BODY_BYTES
            && self.version.sequence > 0
    }
}

/// A change that a later one of the same key has replaced.
#[derive(Clone, Debug)]
pub struct Replacement {
    /// The replaced change.
    pub previous: Change,
    /// The change that replaced it.
    pub successor: Change,
}

/// A change by its key and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeId {
    /// The key.
    pub key: Key,
    /// The version.
    pub version: Version,
}

/// Size of a change without its names and its body, in bytes.
pub const CHANGE_OVERHEAD_BYTES: usize = 96;
