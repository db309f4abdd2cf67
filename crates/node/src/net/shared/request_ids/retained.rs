//! The ids of unsafe requests that have ended and may have run.

#[cfg(test)]
mod tests;

use super::{IdDigest, MAX_RETAINED_IDS, MIN_RETENTION, RETENTION};
use std::collections::{HashSet, VecDeque};
use std::time::Instant;

/// An id and when its request ended.
struct EndedRequest {
    id: IdDigest,
    ended_at: Instant,
}

/// Ids in the order in which their requests ended.
#[derive(Default)]
pub(super) struct RetainedIds {
    by_end: VecDeque<EndedRequest>,
    ids: HashSet<IdDigest>,
}

impl RetainedIds {
    /// Retains the id of a request that has just ended.
    pub(super) fn insert(&mut self, id: IdDigest, now: Instant) {
        self.ids.insert(id);
        self.by_end.push_back(EndedRequest { id, ended_at: now });
    }

    pub(super) fn contains(&self, id: &IdDigest) -> bool {
        self.ids.contains(id)
    }

    /// Whether no further id can be retained, since too many requests have ended within [`MIN_RETENTION`].
    pub(super) fn is_full(&self, now: Instant) -> bool {
        let is_recent = |oldest: &EndedRequest| now - oldest.ended_at < MIN_RETENTION;
        self.by_end.len() >= MAX_RETAINED_IDS && self.by_end.front().is_some_and(is_recent)
    }

    /// Removes and returns the ids whose retention has ended.
    pub(super) fn expire(&mut self, now: Instant) -> Vec<IdDigest> {
        let mut expired = Vec::new();
        while let Some(oldest) = self.by_end.front() {
            let retention = if self.by_end.len() >= MAX_RETAINED_IDS {
                MIN_RETENTION
            } else {
                RETENTION
            };
            if now - oldest.ended_at < retention {
                break;
            }
            self.ids.remove(&oldest.id);
            expired.push(oldest.id);
            self.by_end.pop_front();
        }
        if self.by_end.is_empty() {
            *self = RetainedIds::default();
        }
        expired
    }

    /// The ids whose retention has not ended.
    pub(super) fn ids(&self) -> impl Iterator<Item = IdDigest> + '_ {
        self.ids.iter().copied()
    }
}
