//! What an author does about changes of earlier authors that did not reach everybody.

use super::{Author, State};
use crate::output::{Event, Output};
use crate::publish::Write;
use crate::resource::{Content, Key, Part, Urgency, Version};
use crate::Time;

/// Orphans that are written over by one holding of the lease at most; more are not believed.
const ORPHANS_MOST: usize = 100_000;

impl Author {
    /// What others take for known without having it gets a version that they do not know.
    pub(super) fn write_own_again(
        &mut self,
        now: Time,
        own: Vec<(Key, Version)>,
        outputs: &mut Vec<Output>,
    ) {
        for (key, _) in own {
            let Some(change) = self.log().get(&key) else {
                continue;
            };
            let (content, part) = (change.content.clone(), change.part);
            let write = Write {
                key,
                content,
                urgency: Urgency::Normal,
                part,
            };
            self.write_or_tell(now, write, outputs);
        }
    }

    pub(super) fn write_or_tell(&mut self, now: Time, write: Write, outputs: &mut Vec<Output>) {
        let (key, version) = (write.key.clone(), self.head());
        if self.write(now, vec![write], outputs).is_err() {
            outputs.push(Output::Event(Event::Full { key, version }));
        }
    }

    /// Writes what is here over a change of an earlier author that is not here.
    pub(super) fn write_over(
        &mut self,
        now: Time,
        key: Key,
        version: Version,
        outputs: &mut Vec<Output>,
    ) {
        let own = self.replica.log.get(&key);
        let there = own.is_some_and(|own| own.version >= version);
        let State::Writing { epoch, orphans, .. } = &mut self.state else {
            return;
        };
        if there || version.token >= epoch.claim.token || *orphans >= ORPHANS_MOST {
            return;
        }
        *orphans += 1;
        let content = own.map_or(Content::Removed, |own| own.content.clone());
        let part = own.map_or(Part::ALL, |own| own.part);
        let write = Write {
            key,
            content,
            urgency: Urgency::Urgent,
            part,
        };
        self.write_or_tell(now, write, outputs);
    }
}
