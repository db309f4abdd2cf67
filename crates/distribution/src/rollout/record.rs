//! What is stored of a rollout.
//!
//! The record is a resource of [`Group::Authors`]: relays and authors hold it, nodes do not. It is written before the first
//! trial and again when the rollout ends; which stage it has come to is told by the trial itself. So an author that takes
//! over finds both, or knows what is missing.

use crate::peer::PeerId;
use crate::resource::{
    Change, Content, ContentHash, Group, Key, Name, NodeFraction, Slot, Urgency, Version,
};
use crate::rollout::policy::RolloutPolicy;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;

/// Most refusing nodes that a record names; the count tells of all.
pub const MAX_STORED_REJECTIONS: usize = 16;

/// How many bytes of a name's hash name its record.
const DIGEST_BYTES: usize = 16;
/// The form of the record, first in its bytes.
const FORMAT: u8 = 1;

/// A node that refused what was rolled out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectingNode {
    /// Which node.
    pub node: PeerId,
    /// Why, in the node's words; empty where too many refused to keep all reasons.
    pub reason: String,
}

/// Why a rollout was stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopSummary {
    /// The stage that it had come to, in thousandths of the nodes.
    pub thousandths: u16,
    /// How many nodes accepted.
    pub accepted: u32,
    /// How many nodes refused.
    pub rejected: u32,
    /// Some of those, [`MAX_STORED_REJECTIONS`] at most.
    pub rejecting_nodes: Vec<RejectingNode>,
}

/// How far a rollout has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// It goes on by itself.
    Running,
    /// Too many nodes refused: it stays at its stage until an operator releases or reverts the trial.
    Halted(StopSummary),
    /// Too many nodes refused: the trial was ended.
    RolledBack(StopSummary),
    /// What was on trial holds for all nodes.
    Completed,
    /// The trial was ended by hand, or by an author that did not live to say why.
    Ended,
    /// A later change of the resource has taken its place.
    Superseded,
    /// It was completed by an earlier author, and what was released has not come: the earlier content holds.
    Lost,
}

impl RolloutState {
    /// Whether the trial is still in force at its stage.
    pub fn is_open(&self) -> bool {
        matches!(self, RolloutState::Running | RolloutState::Halted(_))
    }
}

/// See the module.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Which resource is rolled out.
    pub name: Name,
    /// The hash of what is rolled out.
    pub content_hash: ContentHash,
    /// Which nodes come first, as [`NodeFraction::seed`].
    pub seed: u64,
    /// All changes of this rollout are later.
    pub after: Version,
    /// The rules.
    pub policy: RolloutPolicy,
    /// How many nodes of each stage were known when it began: a later author may not have heard of all of them.
    pub expected: Vec<u32>,
    /// How far it has come.
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
                group: Group::Authors,
                item: item.into(),
            },
            slot: Slot::Stable,
        }
    }

    /// The record's bytes, as a resource's content.
    pub fn to_content(&self) -> Content {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        Content::body(&[&[FORMAT], body.as_slice()].concat())
    }

    /// Reads a record back; none if it is not one of this form, or not sound.
    pub fn from_change(change: &Change) -> Option<RolloutRecord> {
        let body = change.content.bytes().strip_prefix(&[FORMAT])?;
        let record: RolloutRecord = postcard::from_bytes(body).ok()?;
        let is_valid =
            record.policy.check().is_ok() && record.expected.len() == record.policy.stages.len();
        (is_valid && RolloutRecord::key_of(&record.name) == change.key).then_some(record)
    }

    /// The trial of this rollout, if it is what is on trial.
    pub fn own_canary<'a>(&self, canary: Option<&'a Change>) -> Option<&'a Change> {
        let canary = canary.filter(|canary| !canary.is_removal())?;
        let is_stage = self.policy.stage_of(canary.fraction.thousandths).is_some();
        let is_own =
            is_stage && canary.fraction.seed == self.seed && canary.hash() == self.content_hash;
        is_own.then_some(canary)
    }

    /// The part of the nodes that is in a stage.
    pub fn fraction(&self, thousandths: u16) -> NodeFraction {
        NodeFraction {
            thousandths,
            seed: self.seed,
        }
    }

    /// Whether a change of the resource is what this rollout brings.
    pub fn is_content_of(&self, change: &Change) -> bool {
        !change.is_removal() && change.hash() == self.content_hash
    }
}

/// The record is urgent and the trial is not: each link carries the record first, so nobody has a trial that its author
/// watched without the record.
pub const RECORD_URGENCY: Urgency = Urgency::Urgent;
