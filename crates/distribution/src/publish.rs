//! Changes to be published, and the reasons for which a publisher does not publish them.

use crate::log::{Capacity, ChangeLog};
use crate::resource::{
    Content, Draft, Group, Key, Name, NodeFraction, Slot, Urgency, ALL_NODES_THOUSANDTHS,
    CHANGE_OVERHEAD_BYTES, MAX_BODY_BYTES, MAX_NAME_BYTES,
};
use crate::rollout::policy::InvalidPolicy;
use crate::rollout::record::{RolloutRecord, RECORD_URGENCY};
use thiserror::Error;

/// Maximum number of changes in one publication.
pub const MAX_DRAFTS: usize = 10_000;

/// Why a publisher did not publish.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PublishError {
    /// The claim does not hold the lease, or no longer.
    #[error("the lease is not held")]
    LeaseNotHeld,
    /// The publisher is still reading the changes of earlier publishers.
    #[error("the changes of earlier publishers have not all been received yet")]
    TakingOver,
    /// The publisher has seen a later fencing token.
    #[error("fenced: a later publisher has token {0}")]
    Fenced(u64),
    /// There are no changes, or too many.
    #[error("a publication must have 1 to {MAX_DRAFTS} changes")]
    ChangeCount,
    /// A name, a body or a node fraction exceeds its limit.
    #[error("the name, the body or the node fraction of {0:?} exceeds its limit")]
    OutOfBounds(Box<Name>),
    /// The log has no capacity.
    #[error("the log has no capacity for {0:?}")]
    CapacityExceeded(Box<Name>),
    /// The change was replaced, or there is no change of this version.
    #[error("no current change has this version")]
    Superseded,
    /// The previous content is no longer in the history.
    #[error("the previous content is no longer in the history")]
    HistoryExpired,
    /// The resource has no canary.
    #[error("the resource has no canary")]
    NoCanary,
    /// Only publishers write resources of this group.
    #[error("{0:?} is written only by publishers")]
    Reserved(Box<Name>),
    /// The rollout's policy is invalid.
    #[error(transparent)]
    Policy(#[from] InvalidPolicy),
    /// A rollout of this resource is running or halted; it has to be promoted or reverted first.
    #[error("the resource has an open rollout")]
    RolloutOpen,
    /// Too many rollouts are open.
    #[error("at most {MAX_OPEN_ROLLOUTS} rollouts can be open")]
    TooManyRollouts,
}

/// Maximum number of open rollouts.
pub const MAX_OPEN_ROLLOUTS: usize = 16;

/// A change that has no version yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingChange {
    pub key: Key,
    pub content: Content,
    pub urgency: Urgency,
    pub fraction: NodeFraction,
}

impl PendingChange {
    /// A change for all nodes.
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

    /// A change for a fraction of the nodes.
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

    /// The removal that ends a canary.
    pub fn canary_removal(name: Name, urgency: Urgency) -> PendingChange {
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

    /// The stored record of a rollout.
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

/// Checks that an operator may write a resource.
pub(crate) fn check_writable(name: &Name) -> Result<(), PublishError> {
    match name.group {
        Group::Publishers => Err(PublishError::Reserved(Box::new(name.clone()))),
        Group::Common | Group::Service(_) | Group::Tenant(_) => Ok(()),
    }
}

/// Checks that changes are within their limits, and that the log has capacity for all of them.
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
