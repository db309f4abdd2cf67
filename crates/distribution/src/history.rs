//! What each key was before its latest change, for taking that change back.

use crate::resource::{Change, Content, Key, Version};
use std::collections::{BTreeMap, BTreeSet};

/// See the module.
#[derive(Debug)]
pub struct History {
    /// Of each key, what its latest change took the place of, and that change's version.
    earlier: BTreeMap<Key, (Change, Version)>,
    /// By the versions of the changes that took their places.
    order: BTreeSet<(Version, Key)>,
    bytes: usize,
    most: usize,
}

impl History {
    /// Of so many bytes at most; of more, those that were replaced first are forgotten.
    pub fn new(most: usize) -> History {
        History {
            earlier: BTreeMap::new(),
            order: BTreeSet::new(),
            bytes: 0,
            most,
        }
    }

    /// A change has taken the place of an earlier one.
    pub fn replaced(&mut self, old: &Change, new: &Change) {
        self.forget(&new.key);
        self.bytes += old.size();
        self.earlier
            .insert(new.key.clone(), (old.clone(), new.version));
        self.order.insert((new.version, new.key.clone()));
        while self.bytes > self.most {
            let Some((_, key)) = self.order.first().cloned() else {
                break;
            };
            self.forget(&key);
        }
    }

    fn forget(&mut self, key: &Key) {
        let Some((old, by)) = self.earlier.remove(key) else {
            return;
        };
        self.bytes -= old.size();
        self.order.remove(&(by, key.clone()));
    }

    /// What a change took the place of; none if that is no longer known.
    pub fn before(&self, change: &Change) -> Option<Content> {
        if change.replaces == Version::ZERO {
            return Some(Content::Removed);
        }
        let (earlier, _) = self.earlier.get(&change.key)?;
        (earlier.version == change.replaces).then(|| earlier.content.clone())
    }
}
