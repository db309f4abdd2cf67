//! What each key was before its latest change, for taking that change back.

use crate::resource::{Change, Content, Key, Version};
use std::collections::{BTreeMap, BTreeSet};

/// See the module.
#[derive(Debug)]
pub struct ChangeHistory {
    /// Of each key, what its latest change took the place of, and that change's version.
    previous: BTreeMap<Key, (Change, Version)>,
    /// By the versions of the changes that took their places.
    by_successor: BTreeSet<(Version, Key)>,
    bytes: usize,
    max_bytes: usize,
}

impl ChangeHistory {
    /// Of so many bytes at most; of more, those that were replaced first are forgotten.
    pub fn new(max_bytes: usize) -> ChangeHistory {
        ChangeHistory {
            previous: BTreeMap::new(),
            by_successor: BTreeSet::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// A change has taken the place of an earlier one.
    pub fn record_replaced(&mut self, replaced: &Change, new: &Change) {
        self.forget(&new.key);
        self.bytes += replaced.size_bytes();
        self.previous
            .insert(new.key.clone(), (replaced.clone(), new.version));
        self.by_successor.insert((new.version, new.key.clone()));
        while self.bytes > self.max_bytes {
            let Some((_, key)) = self.by_successor.first().cloned() else {
                break;
            };
            self.forget(&key);
        }
    }

    fn forget(&mut self, key: &Key) {
        let Some((replaced, successor)) = self.previous.remove(key) else {
            return;
        };
        self.bytes -= replaced.size_bytes();
        self.by_successor.remove(&(successor, key.clone()));
    }

    /// What a change took the place of; none if that is no longer known.
    pub fn content_before(&self, change: &Change) -> Option<Content> {
        if change.replaces == Version::ZERO {
            return Some(Content::Removed);
        }
        let (earlier, _) = self.previous.get(&change.key)?;
        (earlier.version == change.replaces).then(|| earlier.content.clone())
    }
}
