//! Resources: their names, versions, bodies and changes.

use crate::peer::PeerId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Longest name of a group or of an item, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// A stage that holds every node.
pub const ALL_NODES_THOUSANDTHS: u16 = 1000;

/// What a name can't be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidName {
    /// It is empty.
    #[error("a resource's name is empty")]
    Empty,
    /// It is too long.
    #[error("a resource's name has {MAX_NAME_BYTES} bytes at most")]
    Long,
}

/// What a resource belongs to; nodes subscribe by group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Group {
    /// What every node needs.
    Common,
    /// One service's settings, routes and servers.
    Service(Arc<str>),
    /// One tenant's settings, which a node asks for when it first meets the tenant.
    Tenant(Arc<str>),
    /// What authors alone need: relays and authors hold it, nodes do not.
    Authors,
}

/// The name of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// What it belongs to.
    pub group: Group,
    /// Which resource of the group.
    pub item: Arc<str>,
}

fn check(text: &str) -> Result<(), InvalidName> {
    match text.len() {
        0 => Err(InvalidName::Empty),
        n if n > MAX_NAME_BYTES => Err(InvalidName::Long),
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

    /// Whether both parts have 1 to [`MAX_NAME_BYTES`] bytes.
    ///
    /// # Errors
    /// Says which bound is passed.
    pub fn check(&self) -> Result<(), InvalidName> {
        check(&self.item)?;
        match &self.group {
            Group::Common | Group::Authors => Ok(()),
            Group::Service(text) | Group::Tenant(text) => check(text),
        }
    }
}

/// What somebody asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Selector {
    /// All resources: relays and authors.
    Everything,
    /// What every node needs and all services, without tenants: nodes that serve all.
    Services,
    /// The resources of one group.
    Group(Group),
}

impl Selector {
    /// What every node needs.
    pub fn common() -> Selector {
        Selector::Group(Group::Common)
    }

    /// A service.
    pub fn service(service: &str) -> Selector {
        Selector::Group(Group::Service(service.into()))
    }

    /// A tenant.
    pub fn tenant(tenant: &str) -> Selector {
        Selector::Group(Group::Tenant(tenant.into()))
    }

    /// All selectors that hold a group.
    pub fn all_matching(group: &Group) -> Vec<Selector> {
        let mut all = vec![Selector::Everything, Selector::Group(group.clone())];
        if Selector::Services.matches(group) {
            all.push(Selector::Services);
        }
        all
    }

    /// Whether it asks for resources of this group.
    pub fn matches(&self, group: &Group) -> bool {
        match self {
            Selector::Everything => true,
            Selector::Services => !matches!(group, Group::Tenant(_) | Group::Authors),
            Selector::Group(own) => own == group,
        }
    }
}

/// The version of a change: the token of its author's lease, then the author's count. Ordered in this order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The number of the lease's token.
    pub token: u64,
    /// Counted by the author, from 1.
    pub sequence: u64,
}

impl Version {
    /// Before all changes.
    pub const ZERO: Version = Version {
        token: 0,
        sequence: 0,
    };

    /// The greatest version that is less than this one among those of its token.
    pub fn predecessor(self) -> Version {
        Version {
            sequence: self.sequence.saturating_sub(1),
            ..self
        }
    }
}

/// Which of a resource's two places a change is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Slot {
    /// For all nodes.
    Stable,
    /// For a part of the nodes, on trial. Where it holds and is newer, it goes before [`Slot::Stable`].
    Canary,
}

/// The place that a change takes: a later change of the same key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Of which resource.
    pub name: Name,
    /// Which place of it.
    pub slot: Slot,
}

impl Key {
    /// A short hash, by which snapshots list keys.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_allocvec(self).unwrap_or_default();
        let hash = blake3::hash(&bytes);
        hash.as_bytes()
            .iter()
            .take(8)
            .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
    }
}

/// The hash of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 32]);

impl ContentHash {
    /// Of these bytes.
    pub fn of(body: &[u8]) -> ContentHash {
        ContentHash(*blake3::hash(body).as_bytes())
    }
}

/// What a resource is after a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Content {
    /// These bytes, opaque here.
    Body(Arc<[u8]>),
    /// It is no more. Of a trial: the trial is over, and what is for all nodes holds.
    Removed,
}

impl Content {
    /// A body.
    pub fn body(bytes: &[u8]) -> Content {
        Content::Body(bytes.into())
    }

    /// Its bytes; none if it was removed.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Content::Body(bytes) => bytes,
            Content::Removed => &[],
        }
    }
}

/// What goes first where a link is full.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Urgency {
    /// After all that is urgent.
    #[default]
    Normal,
    /// A ban, a drain, a change taken back.
    Urgent,
}

/// A part of the nodes, in thousandths. A greater part of the same seed holds the smaller ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeFraction {
    /// How many nodes of a thousand.
    pub thousandths: u16,
    /// Which nodes come first.
    pub seed: u64,
}

impl NodeFraction {
    /// All nodes.
    pub const ALL: NodeFraction = NodeFraction {
        thousandths: ALL_NODES_THOUSANDTHS,
        seed: 0,
    };

    /// Whether a node is in it.
    pub fn contains(&self, node: PeerId) -> bool {
        if self.thousandths >= ALL_NODES_THOUSANDTHS {
            return true;
        }
        let place = crate::random::mix_bits(self.seed ^ (u64::from(node.0) << 20))
            % u64::from(ALL_NODES_THOUSANDTHS);
        place < u64::from(self.thousandths)
    }
}

/// A change as an author asks for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// Of which resource.
    pub name: Name,
    /// What it is to be.
    pub content: Content,
    /// What goes first.
    pub urgency: Urgency,
}

impl Draft {
    /// A body that is not urgent.
    pub fn put(name: Name, body: &[u8]) -> Draft {
        Draft {
            name,
            content: Content::body(body),
            urgency: Urgency::Normal,
        }
    }

    /// The resource's end.
    pub fn remove(name: Name) -> Draft {
        Draft {
            name,
            content: Content::Removed,
            urgency: Urgency::Normal,
        }
    }

    /// The same, urgent.
    pub fn urgent(self) -> Draft {
        Draft {
            urgency: Urgency::Urgent,
            ..self
        }
    }
}

/// A change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// What it replaces.
    pub key: Key,
    /// Its version; greater than those of all earlier changes.
    pub version: Version,
    /// What goes first.
    pub urgency: Urgency,
    /// Which nodes it is for.
    pub fraction: NodeFraction,
    /// The version of the change whose place it took at its author; [`Version::ZERO`] if there was none.
    pub replaces: Version,
    /// What the resource is by it.
    pub content: Content,
}

impl Change {
    /// The hash of its body; of no bytes if it is a removal.
    pub fn hash(&self) -> ContentHash {
        ContentHash::of(self.content.bytes())
    }

    /// Whether it is a removal.
    pub fn is_removal(&self) -> bool {
        self.content == Content::Removed
    }

    /// About how many bytes it takes in memory and in a frame.
    pub fn size_bytes(&self) -> usize {
        let group = match &self.key.name.group {
            Group::Common | Group::Authors => 0,
            Group::Service(text) | Group::Tenant(text) => text.len(),
        };
        CHANGE_OVERHEAD_BYTES + group + self.key.name.item.len() + self.content.bytes().len()
    }

    /// Whether its parts keep to their bounds.
    pub fn is_valid(&self) -> bool {
        self.key.name.check().is_ok()
            && self.content.bytes().len() <= MAX_BODY_BYTES
            && self.version.sequence > 0
    }
}

/// What a change takes beside its names and its body, in bytes.
pub const CHANGE_OVERHEAD_BYTES: usize = 96;
