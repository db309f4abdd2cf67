//! The previous content of each key, from which a publisher reverts a change.

use crate::resource::{Change, Content, Key, Version};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug)]
struct ReplacedChange {
    change: Change,
    /// The version of the change that replaced it.
    successor: Version,
}

/// Orders keys by the version of the change that replaced their previous one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SuccessorKey {
    successor: Version,
    key: Key,
}

/// The previous change of each key, within a byte limit.
#[derive(Debug)]
pub struct ChangeHistory {
    /// The replaced change of each key, and the version of its successor.
    previous: BTreeMap<Key, ReplacedChange>,
    /// Keys by the version of the successor: the oldest are dropped first.
    by_successor: BTreeSet<SuccessorKey>,
    bytes: usize,
    max_bytes: usize,
}

impl ChangeHistory {
    /// A history of `max_bytes` at most; beyond it the oldest replacements are dropped.
    pub fn new(max_bytes: usize) -> ChangeHistory {
        ChangeHistory {
            previous: BTreeMap::new(),
            by_successor: BTreeSet::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Records that a change replaced another one.
    pub fn record_replaced(&mut self, replaced: &Change, new: &Change) {
        self.forget(&new.key);
        self.bytes += replaced.size_bytes();
        self.previous.insert(
            new.key.clone(),
            ReplacedChange {
                change: replaced.clone(),
                successor: new.version,
            },
        );
        self.by_successor.insert(SuccessorKey {
            successor: new.version,
            key: new.key.clone(),
        });
        while self.bytes > self.max_bytes {
            let Some(SuccessorKey { key, .. }) = self.by_successor.first().cloned() else {
                break;
            };
            self.forget(&key);
        }
    }

    fn forget(&mut self, key: &Key) {
        let Some(ReplacedChange { change, successor }) = self.previous.remove(key) else {
            return;
        };
        self.bytes -= change.size_bytes();
        self.by_successor.remove(&SuccessorKey {
            successor,
            key: key.clone(),
        });
    }

    /// The content before a change; `None` if the history no longer has it.
    pub fn content_before(&self, change: &Change) -> Option<Content> {
        if change.replaces == Version::ZERO {
            return Some(Content::Removed);
        }
        let earlier = &self.previous.get(&change.key)?.change;
        (earlier.version == change.replaces).then(|| earlier.content.clone())
    }
}
