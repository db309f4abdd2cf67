//! Invariants of the distribution, checked by what nodes do and not by what they report. The world records violations.

use super::account::LONG_WINDOW;
use super::errors::{RelaysBehind, WriteError};
use super::machine::{AppliedChange, Node};
use reelfall_distribution::peer::PeerId;
use reelfall_distribution::publish::PublishError;
use reelfall_distribution::publisher::Publisher;
use reelfall_distribution::resource::{Key, Name, Slot, Version};
use reelfall_distribution::subscriber::TooManySubscriptions;
use std::collections::HashMap;
use std::fmt;
use thiserror::Error;

/// What a node's link has for control traffic, in bytes per second, over any [`LONG_WINDOW`].
pub const CONTROL_BANDWIDTH: f64 = 8_000.0;
/// Maximum number of violations that are recorded; further ones are counted alone.
const MAX_VIOLATIONS: usize = 20;

/// A violation with its time.
#[derive(Clone, Debug)]
pub struct Violation {
    /// When, in seconds.
    pub at: f64,
    /// What was violated.
    pub kind: ViolationKind,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:.3}: {}", self.at, self.kind)
    }
}

/// How an invariant was violated.
#[derive(Clone, Debug, Error)]
pub enum ViolationKind {
    /// A node applied a version that is not greater than the one before.
    #[error("node {node}: {resource:?} went from Some({previous:?}) to {applied:?}")]
    VersionNotIncreased {
        /// The node.
        node: u32,
        /// The resource.
        resource: Box<Name>,
        /// The version before.
        previous: Version,
        /// The version that the node applied.
        applied: Version,
    },
    /// A node has other resources than the publisher.
    #[error("node {node}, which follows {following:?}, has other resources than the publisher")]
    NodeDiffers {
        /// The node.
        node: u32,
        /// The peer that it follows.
        following: Option<PeerId>,
    },
    /// A node exceeded its bandwidth.
    #[error("node {node} used {bytes} bytes within {} s", LONG_WINDOW)]
    BandwidthExceeded {
        /// The node.
        node: u32,
        /// Bytes within [`LONG_WINDOW`].
        bytes: u64,
    },
    /// A node stated a staleness that is less than the true one.
    #[error("node {node} states an age of {stated} s, it is {actual} s")]
    StalenessUnderstated {
        /// The node.
        node: u32,
        /// What it stated, in seconds.
        stated: f64,
        /// The true one, in seconds.
        actual: f64,
    },
    /// The publisher rejected a change.
    #[error("a change was refused: {0}")]
    ChangeRejected(WriteError),
    /// A batch of changes was not published.
    #[error("not published: {0}")]
    BatchRejected(WriteError),
    /// A change was not reverted.
    #[error("not taken back: {0}")]
    RevertRejected(WriteError),
    /// Relays did not receive all resources in time.
    #[error(transparent)]
    RelaysBehind(RelaysBehind),
    /// A node could not subscribe to a tenant.
    #[error("node {node} could not ask for tenant {tenant}: {error}")]
    SubscriptionRejected {
        /// The node.
        node: u32,
        /// The tenant.
        tenant: u32,
        /// Why.
        error: TooManySubscriptions,
    },
    /// A publisher rejected its lease.
    #[error("publisher {publisher} refused token {token}: {error}")]
    LeaseRejected {
        /// The publisher.
        publisher: u32,
        /// The fencing token of the lease.
        token: u64,
        /// Why.
        error: PublishError,
    },
}

/// A resource at a node.
#[derive(PartialEq, Eq, Hash)]
struct NodeResource {
    node: u32,
    name: Name,
}

/// Records violations, and the versions that it needs to find them.
#[derive(Default)]
pub struct InvariantChecker {
    /// The last version of each resource at each node.
    versions: HashMap<NodeResource, Version>,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub violation_count: usize,
}

impl InvariantChecker {
    /// Records a violation.
    pub fn record(&mut self, at: f64, kind: ViolationKind) {
        self.violation_count += 1;
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { at, kind });
        }
    }

    /// Checks that the versions that a node applies increase.
    pub fn check_applied(&mut self, node: u32, applied: &AppliedChange) {
        let resource = NodeResource {
            node,
            name: applied.name.clone(),
        };
        let previous = self.versions.insert(resource, applied.version);
        if let Some(previous) = previous.filter(|previous| *previous >= applied.version) {
            let kind = ViolationKind::VersionNotIncreased {
                node,
                resource: Box::new(applied.name.clone()),
                previous,
                applied: applied.version,
            };
            self.record(applied.at, kind);
        }
    }

    /// Forgets the versions of a node that has lost its disk.
    pub fn forget_node(&mut self, node: u32) {
        self.versions.retain(|resource, _| resource.node != node);
    }
}

/// Whether a node has applied of a resource what the publisher has.
pub fn has_same_content(publisher: &Publisher, node: &Node, name: &Name) -> bool {
    let key = Key {
        name: name.clone(),
        slot: Slot::Stable,
    };
    let published = publisher
        .log()
        .get(&key)
        .filter(|change| !change.is_removal());
    let applied = node.subscriber.applied_change(name);
    published.map(|change| &change.content) == applied.map(|change| &change.content)
}
