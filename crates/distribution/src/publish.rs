//! What an author is asked to write, and why it may not.

use crate::log::{Capacity, ChangeLog};
use crate::resource::{
    Content, Draft, Group, Key, Name, NodeFraction, Slot, Urgency, ALL_NODES_THOUSANDTHS,
    CHANGE_OVERHEAD_BYTES, MAX_BODY_BYTES, MAX_NAME_BYTES,
};
use crate::rollout::policy::InvalidPolicy;
use crate::rollout::record::{RolloutRecord, RECORD_URGENCY};
use thiserror::Error;

/// Most changes that are published at once.
pub const MAX_DRAFTS: usize = 10_000;

/// Why something was not published.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The lease is not held by this claim, or no longer.
    #[error("the lease is not held")]
    LeaseNotHeld,
    /// What others wrote has not come yet.
    #[error("what earlier authors wrote is still coming")]
    TakingOver,
    /// A later token has been seen.
    #[error("a later author has token {0}")]
    Fenced(u64),
    /// There is nothing to publish, or too much at once.
    #[error("1 to {MAX_DRAFTS} changes at once")]
    ChangeCount,
    /// A name, a body or a part is out of its bounds.
    #[error("the name, the body or the part of {0:?} is out of its bounds")]
    OutOfBounds(Box<Name>),
    /// There is no room.
    #[error("no room for {0:?}")]
    CapacityExceeded(Box<Name>),
    /// The change was replaced, or there was none of this version.
    #[error("no resource is at this version")]
    Superseded,
    /// What was there before the change is no longer known.
    #[error("what was there before is no longer known")]
    HistoryExpired,
    /// There is no trial of this resource.
    #[error("there is no trial of this resource")]
    NoCanary,
    /// The resource belongs to authors alone.
    #[error("{0:?} is written by authors alone")]
    Reserved(Box<Name>),
    /// A rollout's policy is out of its bounds.
    #[error(transparent)]
    Policy(#[from] InvalidPolicy),
    /// A rollout of this resource runs, or was halted: it is to be released or reverted first.
    #[error("a rollout of this resource is open")]
    RolloutOpen,
    /// Too many rollouts are open.
    #[error("{MAX_OPEN_ROLLOUTS} rollouts at once")]
    TooManyRollouts,
}

/// Most rollouts that are open at once.
pub const MAX_OPEN_ROLLOUTS: usize = 16;

/// A change that is to get a version.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    pub key: Key,
    pub content: Content,
    pub urgency: Urgency,
    pub fraction: NodeFraction,
}

impl PendingChange {
    /// For all nodes.
    pub fn stable(draft: Draft) -> PendingChange {
        let key = Key {
            name: draft.name,
            slot: Slot::Stable,
        };
        PendingChange {
            key,
            content: draft.content,
            urgency: draft.urgency,
            fraction: NodeFraction::ALL,
        }
    }

    /// For a part of the nodes.
    pub fn canary(draft: Draft, fraction: NodeFraction) -> PendingChange {
        let key = Key {
            name: draft.name,
            slot: Slot::Canary,
        };
        PendingChange {
            key,
            content: draft.content,
            urgency: draft.urgency,
            fraction,
        }
    }

    /// What ends a trial.
    pub fn end_of_canary(name: Name, urgency: Urgency) -> PendingChange {
        let key = Key {
            name,
            slot: Slot::Canary,
        };
        PendingChange {
            key,
            content: Content::Removed,
            urgency,
            fraction: NodeFraction::ALL,
        }
    }

    /// What is stored of a rollout.
    pub fn record(record: &RolloutRecord) -> PendingChange {
        let key = RolloutRecord::key_of(&record.name);
        PendingChange {
            key,
            content: record.to_content(),
            urgency: RECORD_URGENCY,
            fraction: NodeFraction::ALL,
        }
    }
}

/// Whether an operator may write a resource.
pub(crate) fn check_writable(name: &Name) -> Result<(), PublishError> {
    match name.group {
        Group::Authors => Err(PublishError::Reserved(Box::new(name.clone()))),
        Group::Common | Group::Service(_) | Group::Tenant(_) => Ok(()),
    }
}

/// Whether writes keep to their bounds and there is room for all of them.
pub(crate) fn check(
    changes: &[PendingChange],
    log: &ChangeLog,
    capacity: Capacity,
) -> Result<(), PublishError> {
    if changes.is_empty() || changes.len() > MAX_DRAFTS {
        return Err(PublishError::ChangeCount);
    }
    let mut bytes = log.bytes();
    let mut keys = log.len();
    for change in changes {
        let name = &change.key.name;
        let size = change.content.bytes().len();
        if name.check().is_err()
            || size > MAX_BODY_BYTES
            || change.fraction.thousandths > ALL_NODES_THOUSANDTHS
        {
            return Err(PublishError::OutOfBounds(Box::new(name.clone())));
        }
        let previous = log.get(&change.key);
        bytes += size + CHANGE_OVERHEAD_BYTES + 2 * MAX_NAME_BYTES;
        bytes = bytes.saturating_sub(previous.map_or(0, |previous| previous.size_bytes()));
        keys += usize::from(previous.is_none());
        if bytes > capacity.max_bytes || keys > capacity.max_keys {
            return Err(PublishError::CapacityExceeded(Box::new(name.clone())));
        }
    }
    Ok(())
}
