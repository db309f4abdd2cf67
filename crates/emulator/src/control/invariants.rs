//! Invariants of configuration distribution. They are checked against what nodes apply, not against what they report.

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

/// Bandwidth budget of a node's control traffic, in bytes per second, over any [`LONG_WINDOW`].
pub const CONTROL_BANDWIDTH: f64 = 8_000.0;
/// Maximum number of violations that are recorded; further ones are only counted.
const MAX_VIOLATIONS: usize = 20;

/// A violation with its time.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The simulation time, in seconds.
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
    /// A node applied a version that is not greater than the previous one.
    #[error("node {node} applied version {applied:?} of {resource:?} after version {previous:?}")]
    VersionNotIncreased {
        /// The node.
        node: u32,
        /// The resource.
        resource: Box<Name>,
        /// The version that it had applied before.
        previous: Version,
        /// The version that the node applied.
        applied: Version,
    },
    /// A node's resources differ from those of the publisher.
    #[error(
        "the resources of node {node}, which follows {following:?}, differ from the publisher's"
    )]
    NodeDiffers {
        /// The node.
        node: u32,
        /// The peer that it follows.
        following: Option<PeerId>,
    },
    /// A node exceeded its bandwidth budget.
    #[error(
        "node {node} exceeded its bandwidth budget with {bytes} bytes within {} s",
        LONG_WINDOW
    )]
    BandwidthExceeded {
        /// The node.
        node: u32,
        /// Bytes within [`LONG_WINDOW`].
        bytes: u64,
    },
    /// A node reported a staleness that is less than the actual one.
    #[error("node {node} reported a staleness of {stated} s, but it was {actual} s")]
    StalenessUnderstated {
        /// The node.
        node: u32,
        /// The reported staleness, in seconds.
        stated: f64,
        /// The actual staleness, in seconds.
        actual: f64,
    },
    /// The publisher rejected a change.
    #[error("a change was rejected: {0}")]
    ChangeRejected(WriteError),
    /// A batch of changes was not published.
    #[error("a batch of changes was not published: {0}")]
    BatchRejected(WriteError),
    /// A change was not reverted.
    #[error("a change was not reverted: {0}")]
    RevertRejected(WriteError),
    /// Relays did not receive all resources in time.
    #[error(transparent)]
    RelaysBehind(RelaysBehind),
    /// A node could not subscribe to a tenant.
    #[error("node {node} could not subscribe to tenant {tenant}: {error}")]
    SubscriptionRejected {
        /// The node.
        node: u32,
        /// The tenant.
        tenant: u32,
        /// The cause.
        error: TooManySubscriptions,
    },
    /// A publisher rejected the lease that it was granted.
    #[error("publisher {publisher} rejected the lease with token {token}: {error}")]
    LeaseRejected {
        /// The publisher.
        publisher: u32,
        /// The fencing token of the lease.
        token: u64,
        /// The cause.
        error: PublishError,
    },
}

/// A resource at one node.
#[derive(PartialEq, Eq, Hash)]
struct NodeResource {
    node: u32,
    name: Name,
}

/// Records violations, and the state that is needed to detect them.
#[derive(Default)]
pub struct InvariantChecker {
    /// The last applied version of each resource at each node.
    versions: HashMap<NodeResource, Version>,
    /// The first violations, up to a limit.
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

    /// Checks that a node applies increasing versions of a resource.
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

    /// Discards the recorded versions of a node whose disk was erased.
    pub fn forget_node(&mut self, node: u32) {
        self.versions.retain(|resource, _| resource.node != node);
    }
}

/// Whether the content of a resource that a node has applied is that of the publisher.
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
