//! Outputs of the state machines: what the driver is asked to send, apply, store and log.

use crate::close_reason::CloseReason;
use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::peer::PeerId;
use crate::resource::{Change, Key, Name, Selector, Version};
use crate::rollout::record::RolloutState;
use crate::rollout::stage::StageCounts;
use serde::{Deserialize, Serialize};

/// Work for the driver, to be done in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a frame to a peer; it may be lost.
    Send {
        /// The receiver.
        to: PeerId,
        /// The frame.
        frame: Vec<u8>,
    },
    /// Applies a change (subscribers only). `key.slot` has no meaning here: the change is what the resource is now at
    /// this node. The driver answers with `accepted` or `rejected` and the version.
    Apply(Change),
    /// Stores a record before any later [`Output::Send`] is sent.
    Persist(Record),
    /// Logs an event.
    Event(Event),
}

/// A stored record; all records in order restore a state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A change; it replaces earlier ones of its key.
    Put(Change),
    /// The change that a node has applied; `key.slot` has no meaning. A removal: the resource is no longer applied.
    Applied(Change),
    /// What is applied of a resource is also its content at this version.
    Confirmed(Name, Version),
    /// The key was pruned or removed.
    Forget(Key),
    /// Tombstones up to this version may have been pruned.
    PrunedThrough(Version),
    /// The term of the last known publisher.
    Epoch(Epoch),
    /// The coverage of a selector.
    Covered {
        /// The selector.
        selector: Selector,
        /// The versions whose changes have been stored.
        coverage: Coverage,
        /// All removals up to this version are known.
        removals_known: Version,
    },
    /// The subscription has ended; records of the keys that it drops are stored separately.
    Unsubscribed(Selector),
}

/// An event for logs and metrics.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An upstream is followed or tried.
    Following(PeerId),
    /// An upstream was left.
    Left {
        /// The upstream.
        upstream: PeerId,
        /// The reason.
        reason: CloseReason,
    },
    /// A child's session ended.
    ChildLost {
        /// The child.
        child: PeerId,
        /// The reason.
        reason: CloseReason,
    },
    /// A change of an earlier publisher that the present publisher does not have was reported.
    Orphaned {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
    },
    /// A change was not stored, for lack of capacity.
    CapacityExceeded {
        /// The key.
        key: Key,
        /// The version.
        version: Version,
    },
    /// A later fencing token was seen; this publisher no longer writes.
    Fenced {
        /// The token.
        token: u64,
    },
    /// A rollout advanced to its next stage.
    RolloutAdvanced {
        /// The resource.
        name: Name,
        /// The new stage, in thousandths of the nodes.
        thousandths: u16,
        /// What the nodes of the previous stage reported.
        counts: StageCounts,
    },
    /// A publisher has taken over a rollout, and its stage soaks again.
    RolloutResumed {
        /// The resource.
        name: Name,
        /// The stage, in thousandths of the nodes.
        thousandths: u16,
    },
    /// A rollout ended or halted.
    RolloutStopped {
        /// The resource.
        name: Name,
        /// The state that it ended in.
        state: RolloutState,
        /// What the nodes of its last stage reported.
        counts: StageCounts,
    },
    /// A rollout's record is unreadable: its canary stays, and nobody checks it.
    RolloutUnreadable {
        /// The key of the record.
        key: Key,
    },
}
