//! What a machine asks its driver to do.

use crate::coverage::Coverage;
use crate::epoch::Epoch;
use crate::peer::PeerId;
use crate::resource::{Change, Key, Name, Selector, Version};
use crate::rollout::record::RolloutState;
use crate::rollout::stage::StageCounts;
use crate::session_end::CloseReason;
use serde::{Deserialize, Serialize};

/// Something to be done. Outputs are done in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A frame for a peer; it may be lost.
    Send {
        /// Whom to.
        to: PeerId,
        /// The bytes.
        frame: Vec<u8>,
    },
    /// A change to put in force (a subscriber's alone). Its `key.slot` says nothing here: it is what the resource is
    /// now at this node. The driver answers with `accepted` or `rejected` and its version.
    Apply(Change),
    /// To be stored, before any later [`Output::Send`] leaves.
    Persist(Record),
    /// For logs and figures.
    Event(Event),
}

/// What is stored; the records that were stored, in their order, start a machine anew.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A change; it replaces earlier ones with its key.
    Put(Change),
    /// What is now in force at a node; `key.slot` says nothing. A removal: the resource is no longer in force.
    Applied(Change),
    /// What is in force of a resource is what it is to be at this version, too.
    Confirmed(Name, Version),
    /// A removal that is no longer kept, and a snapshot's word that a key is no more.
    Forget(Key),
    /// Removals up to this version may have been forgotten.
    PrunedThrough(Version),
    /// Who the author is, as an author or a relay has heard last.
    Epoch(Epoch),
    /// So much of what a selector holds has been stored.
    Covered {
        /// Of what.
        selector: Selector,
        /// Which versions.
        coverage: Coverage,
        /// All removals up to this version are known.
        removals_known: Version,
    },
    /// The selector is no longer subscribed; what is gone by that is said beside.
    Unsubscribed(Selector),
}

/// Something worth telling.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An upstream is followed.
    Following(PeerId),
    /// An upstream was left.
    Left {
        /// Which.
        upstream: PeerId,
        /// Why.
        reason: CloseReason,
    },
    /// A child's session was ended.
    ChildLost {
        /// Which.
        child: PeerId,
        /// Why.
        reason: CloseReason,
    },
    /// A change of ours that the present author does not have: it was taken back.
    Orphaned {
        /// Of which key.
        key: Key,
        /// Which change.
        version: Version,
    },
    /// A change was not taken, for lack of room.
    CapacityExceeded {
        /// Of which key.
        key: Key,
        /// Which change.
        version: Version,
    },
    /// An author with a later token has been heard: this one writes no more.
    Fenced {
        /// The later token.
        token: u64,
    },
    /// A rollout has come to its next stage.
    RolloutAdvanced {
        /// Of which resource.
        name: Name,
        /// The new stage, in thousandths of the nodes.
        thousandths: u16,
        /// What the nodes of the stage before had said.
        counts: StageCounts,
    },
    /// An author has taken over a rollout: its stage soaks anew.
    RolloutResumed {
        /// Of which resource.
        name: Name,
        /// The stage, in thousandths of the nodes.
        thousandths: u16,
    },
    /// A rollout goes on no more by itself.
    RolloutStopped {
        /// Of which resource.
        name: Name,
        /// Why.
        state: RolloutState,
        /// What the nodes of its last stage had said.
        counts: StageCounts,
    },
    /// A record of a rollout can't be read: its trial stays as it is, and nobody watches it.
    RolloutUnreadable {
        /// Of which record.
        key: Key,
    },
}
