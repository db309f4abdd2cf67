//! What an author is asked to write, and why it may not.

use crate::log::{Log, Room};
use crate::resource::{
    Content, Draft, Group, Key, Name, Part, Slot, Urgency, BODY_MOST, CHANGE_OVERHEAD, NAME_MOST,
    WHOLE,
};
use crate::rollout::policy::BadPolicy;
use crate::rollout::record::{RolloutRecord, RECORD_URGENCY};
use thiserror::Error;

/// Most changes that are published at once.
pub const DRAFTS_MOST: usize = 10_000;

/// Why something was not published.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The lease is not held by this claim, or no longer.
    #[error("the lease is not held")]
    NotHeld,
    /// What others wrote has not come yet.
    #[error("what earlier authors wrote is still coming")]
    TakingOver,
    /// A later token has been seen.
    #[error("a later author has token {0}")]
    Fenced(u64),
    /// There is nothing to publish, or too much at once.
    #[error("1 to {DRAFTS_MOST} changes at once")]
    Count,
    /// A name, a body or a part is out of its bounds.
    #[error("the name, the body or the part of {0:?} is out of its bounds")]
    Unsound(Box<Name>),
    /// There is no room.
    #[error("no room for {0:?}")]
    Full(Box<Name>),
    /// The change was replaced, or there was none of this version.
    #[error("no resource is at this version")]
    Superseded,
    /// What was there before the change is no longer known.
    #[error("what was there before is no longer known")]
    Forgotten,
    /// There is no trial of this resource.
    #[error("there is no trial of this resource")]
    NoTrial,
    /// The resource belongs to authors alone.
    #[error("{0:?} is written by authors alone")]
    Reserved(Box<Name>),
    /// A rollout's policy is out of its bounds.
    #[error(transparent)]
    Policy(#[from] BadPolicy),
    /// A rollout of this resource runs, or was halted: it is to be released or reverted first.
    #[error("a rollout of this resource is open")]
    RollingOut,
    /// Too many rollouts are open.
    #[error("{ROLLOUTS_MOST} rollouts at once")]
    Rollouts,
}

/// Most rollouts that are open at once.
pub const ROLLOUTS_MOST: usize = 16;

/// A change that is to get a version.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub key: Key,
    pub content: Content,
    pub urgency: Urgency,
    pub part: Part,
}

impl Write {
    /// For all nodes.
    pub fn whole(draft: Draft) -> Write {
        let key = Key {
            name: draft.name,
            slot: Slot::Whole,
        };
        Write {
            key,
            content: draft.content,
            urgency: draft.urgency,
            part: Part::ALL,
        }
    }

    /// For a part of the nodes.
    pub fn trial(draft: Draft, part: Part) -> Write {
        let key = Key {
            name: draft.name,
            slot: Slot::Trial,
        };
        Write {
            key,
            content: draft.content,
            urgency: draft.urgency,
            part,
        }
    }

    /// What ends a trial.
    pub fn end_of_trial(name: Name, urgency: Urgency) -> Write {
        let key = Key {
            name,
            slot: Slot::Trial,
        };
        Write {
            key,
            content: Content::Removed,
            urgency,
            part: Part::ALL,
        }
    }

    /// What is stored of a rollout.
    pub fn record(record: &RolloutRecord) -> Write {
        let key = RolloutRecord::key_of(&record.name);
        Write {
            key,
            content: record.to_content(),
            urgency: RECORD_URGENCY,
            part: Part::ALL,
        }
    }
}

/// Whether an operator may write a resource.
pub(crate) fn check_free(name: &Name) -> Result<(), Refusal> {
    match name.group {
        Group::Authors => Err(Refusal::Reserved(Box::new(name.clone()))),
        Group::Common | Group::Service(_) | Group::Tenant(_) => Ok(()),
    }
}

/// Whether writes keep to their bounds and there is room for all of them.
pub(crate) fn check(writes: &[Write], log: &Log, room: Room) -> Result<(), Refusal> {
    if writes.is_empty() || writes.len() > DRAFTS_MOST {
        return Err(Refusal::Count);
    }
    let mut bytes = log.bytes();
    let mut keys = log.len();
    for write in writes {
        let name = &write.key.name;
        let size = write.content.bytes().len();
        if name.check().is_err() || size > BODY_MOST || write.part.thousandths > WHOLE {
            return Err(Refusal::Unsound(Box::new(name.clone())));
        }
        let old = log.get(&write.key);
        bytes += size + CHANGE_OVERHEAD + 2 * NAME_MOST;
        bytes = bytes.saturating_sub(old.map_or(0, |old| old.size()));
        keys += usize::from(old.is_none());
        if bytes > room.bytes || keys > room.keys {
            return Err(Refusal::Full(Box::new(name.clone())));
        }
    }
    Ok(())
}
