//! Outputs of the state machines: what the driver is asked to send, apply, store and log.

use crate::close_reason::CloseReason;
use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::peer::PeerId;
use crate::resource::{Change, Key, Name, Selector, Version};
use crate::rollout::record::RolloutState;
use crate::rollout::stage::StageCounts;
use serde::{Deserialize, Serialize};

/// A request to the driver. Requests have to be performed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a frame to a peer; it may be lost.
    Send {
        /// The receiver.
        to: PeerId,
        /// The frame.
        frame: Vec<u8>,
    },
    /// Applies a change (subscribers only). `key.slot` has no meaning here: the change is the resource's new content at
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
    /// The change that a node has applied; `key.slot` has no meaning. A removal means that the resource is no longer
    /// applied.
    Applied(Change),
    /// The applied content of a resource is also its content at this version.
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
    /// A change of an earlier publisher was reported that the current publisher does not have.
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
    /// A later fencing token was seen, or a relay reported one; this publisher has stepped down.
    Fenced {
        /// The later token, or this publisher's own one if a relay reported a later one.
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
    /// A publisher has taken over a rollout, and its stage soaks again from the start.
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
    /// A rollout's record is unreadable: its canary stays active and is not checked.
    RolloutUnreadable {
        /// The key of the record.
        key: Key,
    },
}
