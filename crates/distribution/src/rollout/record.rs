//! The stored record of a rollout.
//!
//! The record is a resource of [`Group::Publishers`]: relays and publishers hold it, nodes do not. It is written before
//! the first canary and again when the rollout ends; the current stage follows from the canary. So a publisher that
//! takes over finds both, or can tell which one is missing.

use crate::peer::PeerId;
use crate::resource::{
    Change, Content, ContentHash, Group, Key, Name, NodeFraction, Slot, Urgency, Version,
};
use crate::rollout::policy::RolloutPolicy;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Maximum number of rejecting nodes that a record lists; its count includes all of them.
pub const MAX_STORED_REJECTIONS: usize = 16;

/// Length of the hash of a resource's name in the name of its record, in bytes.
const DIGEST_BYTES: usize = 16;
/// Version of the record format, stored as the first byte.
const FORMAT: u8 = 1;

/// A node that rejected the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectingNode {
    /// The node.
    pub node: PeerId,
    /// The node's reason; empty where too many nodes rejected to retain all reasons.
    pub reason: String,
}

/// The state of a rollout when it was stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopSummary {
    /// Its stage, in thousandths of the nodes.
    pub thousandths: u16,
    /// Number of accepting nodes.
    pub accepted: u32,
    /// Number of rejecting nodes.
    pub rejected: u32,
    /// Some of the rejecting nodes, [`MAX_STORED_REJECTIONS`] at most.
    pub rejecting_nodes: Vec<RejectingNode>,
}

/// State of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// It advances by itself.
    Running,
    /// Too many nodes rejected: it stays at its stage until an operator promotes or reverts the canary.
    Halted(StopSummary),
    /// Too many nodes rejected: the canary was ended.
    RolledBack(StopSummary),
    /// The change was promoted to all nodes.
    Completed,
    /// The canary was ended manually, or by a publisher that failed before it stored the reason.
    Ended,
    /// A later change of the resource replaced it.
    Superseded,
    /// An earlier publisher completed it, and the promoted change was never received: the earlier content stays.
    Lost,
}

impl RolloutState {
    /// Whether the canary is still active at its stage.
    pub fn is_open(&self) -> bool {
        matches!(self, RolloutState::Running | RolloutState::Halted(_))
    }
}

/// Record of one rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The resource.
    pub name: Name,
    /// Hash of the new content.
    pub content_hash: ContentHash,
    /// Seed of the order in which nodes are included, as in [`NodeFraction::seed`].
    pub seed: u64,
    /// All changes of this rollout are later than this version.
    pub after: Version,
    /// When the rollout advances, and when it stops.
    pub policy: RolloutPolicy,
    /// Number of known nodes in each stage when it began; a later publisher may not know all of them.
    pub expected: Vec<u32>,
    /// Its state.
    pub state: RolloutState,
}

impl RolloutRecord {
    /// The key of a resource's record.
    pub fn key_of(name: &Name) -> Key {
        let bytes = postcard::to_allocvec(name).unwrap_or_default();
        let digest = blake3::hash(&bytes);
        let mut item = String::with_capacity(2 * DIGEST_BYTES);
        for byte in &digest.as_bytes()[..DIGEST_BYTES] {
            let _ = write!(item, "{byte:02x}");
        }
        Key {
            name: Name {
                group: Group::Publishers,
                item: item.into(),
            },
            slot: Slot::Stable,
        }
    }

    /// The record as a resource's content.
    pub fn to_content(&self) -> Content {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        Content::body(&[&[FORMAT], body.as_slice()].concat())
    }

    /// Decodes a record; `None` if its format is unknown or a field is invalid.
    pub fn from_change(change: &Change) -> Option<RolloutRecord> {
        let body = change.content.bytes().strip_prefix(&[FORMAT])?;
        let record: RolloutRecord = postcard::from_bytes(body).ok()?;
        let is_valid =
            record.policy.check().is_ok() && record.expected.len() == record.policy.stages.len();
        (is_valid && RolloutRecord::key_of(&record.name) == change.key).then_some(record)
    }

    /// The canary, if it belongs to this rollout.
    pub fn own_canary<'a>(&self, canary: Option<&'a Change>) -> Option<&'a Change> {
        let canary = canary.filter(|canary| !canary.is_removal())?;
        let is_stage = self.policy.stage_of(canary.fraction.thousandths).is_some();
        let is_own =
            is_stage && canary.fraction.seed == self.seed && canary.hash() == self.content_hash;
        is_own.then_some(canary)
    }

    /// The nodes of a stage.
    pub fn fraction(&self, thousandths: u16) -> NodeFraction {
        NodeFraction {
            thousandths,
            seed: self.seed,
        }
    }

    /// Whether a change has the content of this rollout.
    pub fn is_content_of(&self, change: &Change) -> bool {
        !change.is_removal() && change.hash() == self.content_hash
    }
}

/// The record is urgent and the canary is not: each link sends the record first, so no process has the canary of a
/// rollout without its record.
pub const RECORD_URGENCY: Urgency = Urgency::Urgent;
