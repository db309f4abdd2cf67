//! A copy of all resources that follows an upstream: what relays and authors have in common.

use crate::coverage::{Coverage, Span};
use crate::epoch::Epoch;
use crate::feed::Source;
use crate::log::{Log, Put};
use crate::output::{Event, Output, Record};
use crate::report::Report;
use crate::resource::{Change, Key, Selector, Version};
use crate::restore::Restored;
use crate::session::Heard;
use crate::session_end::Reason;
use crate::upstream::Upstream;
use crate::{Time, DRIFT};
use std::collections::BTreeSet;

/// The coverage is stored at least once in so many frames of changes.
const FRAMES_UNSTORED_MOST: u32 = 64;

/// What has changed by something that was heard.
#[derive(Debug, Default)]
pub(crate) struct Update {
    /// Keys with another change, or without one now.
    pub keys: Vec<Key>,
    /// Changes that were replaced, and by what.
    pub replaced: Vec<(Change, Change)>,
    /// Changes that the present author does not have.
    pub orphans: Vec<(Key, Version)>,
    /// There is another author.
    pub epoch: bool,
    /// All that the upstream has is here.
    pub current: bool,
}

/// See the module.
#[derive(Debug)]
pub(crate) struct Replica {
    pub upstream: Upstream,
    pub log: Log,
    pub epoch: Option<Epoch>,
    /// The token of the author that was heard last in this run.
    token_heard: u64,
    /// When the upstream said last that all had been sent, and how old that was.
    current: Option<(Time, Time)>,
    stored: Coverage,
    frames_unstored: u32,
}

impl Replica {
    pub fn new(mut upstream: Upstream, restored: &mut Restored) -> Replica {
        let known = restored.covered.remove(&Selector::Everything);
        let (coverage, floor) = known.unwrap_or_default();
        upstream.subscribe(Selector::Everything, coverage.clone(), floor);
        let log = std::mem::replace(&mut restored.log, Log::new(crate::log::Room::NODE));
        if !log.is_empty() {
            upstream.has_changes(&Selector::Everything);
        }
        let epoch = restored
            .epoch
            .take()
            .filter(|epoch| upstream.admit(epoch).is_ok());
        Replica {
            upstream,
            log,
            epoch,
            token_heard: 0,
            current: None,
            stored: coverage,
            frames_unstored: 0,
        }
    }

    /// Which versions are covered.
    pub fn coverage(&self) -> &Coverage {
        static EMPTY: Coverage = Coverage::EMPTY;
        self.upstream
            .held_of(&Selector::Everything)
            .map_or(&EMPTY, |held| &held.coverage)
    }

    /// The latest version that is here.
    pub fn head(&self) -> Version {
        self.coverage().top().max(self.log.top())
    }

    /// How old at most is what is here, in seconds; none if that can't be told.
    pub fn age(&self, now: Time) -> Option<Time> {
        self.current
            .map(|(at, age)| age + (now - at).max(0.0) * (1.0 + 2.0 * DRIFT))
    }

    /// What there is to send, as a follower.
    pub fn source(&self, now: Time) -> Source<'_> {
        let coverage = self.coverage();
        let (whole, age) = (coverage.is_whole(), self.age(now));
        let held = self.upstream.held_of(&Selector::Everything);
        let removals_known = held.map_or(Version::ZERO, |held| held.floor);
        Source {
            log: &self.log,
            coverage,
            whole,
            removals_known,
            age,
            epoch: self.epoch.as_ref(),
        }
    }

    /// Takes in what the upstream has said.
    pub fn take(&mut self, now: Time, heard: Heard, outputs: &mut Vec<Output>) -> Update {
        match heard {
            Heard::Epoch(epoch) => self.take_epoch(now, epoch, outputs),
            Heard::Changes { span, changes, .. } => self.take_changes(now, span, changes, outputs),
            Heard::Listed { floor, digests, .. } => self.take_listed(floor, &digests, outputs),
            Heard::Current { floor, age, .. } => {
                self.raise_floor(floor, outputs);
                if let Some(age) = age {
                    self.current = Some((now, age));
                }
                self.store_coverage(outputs);
                Update {
                    current: true,
                    ..Update::default()
                }
            }
        }
    }

    fn take_epoch(&mut self, now: Time, epoch: Epoch, outputs: &mut Vec<Output>) -> Update {
        if epoch.claim.token <= self.token_heard {
            return Update::default();
        }
        self.token_heard = epoch.claim.token;
        // Once in each run: the last one may have ended before it could report.
        let orphans = orphans(&self.log, &epoch);
        for (key, version) in orphans.iter().cloned() {
            self.upstream.report(Report::Orphan { key, version });
        }
        if self
            .epoch
            .as_ref()
            .is_some_and(|known| known.claim.token >= epoch.claim.token)
        {
            return Update {
                orphans,
                ..Update::default()
            };
        }
        let known = self.epoch.as_ref();
        let lacking = known.map_or(Coverage::EMPTY, |known| {
            lacking(known, &epoch, self.coverage())
        });
        self.upstream.ask_anew(now, &lacking, outputs);
        self.store_coverage(outputs);
        self.set_epoch(epoch, outputs);
        Update {
            orphans,
            epoch: true,
            ..Update::default()
        }
    }

    /// This is the author now.
    pub fn set_epoch(&mut self, epoch: Epoch, outputs: &mut Vec<Output>) {
        outputs.push(Output::Persist(Record::Epoch(epoch.clone())));
        self.epoch = Some(epoch);
    }

    /// What is here of what authors wrote: what the last one knew when it took over, and what it wrote itself. It may be
    /// less than what is covered, where an earlier author wrote what its successor never heard.
    pub fn known(&self) -> Coverage {
        let Some(epoch) = &self.epoch else {
            return self.coverage().clone();
        };
        known_since(epoch, self.head()).both(self.coverage())
    }

    fn take_changes(
        &mut self,
        now: Time,
        span: Span,
        changes: Vec<Change>,
        outputs: &mut Vec<Output>,
    ) -> Update {
        let mut update = Update::default();
        let mut full = false;
        for change in changes {
            full |= !self.put(change, &mut update, outputs);
        }
        update.keys.extend(self.forget_removals(outputs));
        if full {
            // What is not held must not be covered: children would take it for no change at all.
            self.upstream.leave(now, Reason::Busy, outputs);
        } else {
            self.upstream.cover(&Selector::Everything, span);
        }
        self.frames_unstored += 1;
        if self.frames_unstored >= FRAMES_UNSTORED_MOST {
            self.store_coverage(outputs);
        }
        update
    }

    /// Stores a change, if it is the latest of its key; whether there was room.
    pub fn put(&mut self, change: Change, update: &mut Update, outputs: &mut Vec<Output>) -> bool {
        let old = self.log.get(&change.key).cloned();
        match self.log.put(change.clone()) {
            Put::Old => true,
            Put::Full => {
                outputs.push(Output::Event(Event::Full {
                    key: change.key,
                    version: change.version,
                }));
                false
            }
            Put::Taken => {
                outputs.push(Output::Persist(Record::Put(change.clone())));
                update.keys.push(change.key.clone());
                update.replaced.extend(old.map(|old| (old, change)));
                true
            }
        }
    }

    /// Forgets removals of which there are too many.
    pub fn forget_removals(&mut self, outputs: &mut Vec<Output>) -> Vec<Key> {
        let forgotten = self.log.forget_removals();
        for key in &forgotten {
            outputs.push(Output::Persist(Record::Forget(key.clone())));
        }
        if !forgotten.is_empty() {
            outputs.push(Output::Persist(Record::Floor(self.log.floor())));
        }
        forgotten
    }

    fn take_listed(
        &mut self,
        floor: Version,
        digests: &BTreeSet<u64>,
        outputs: &mut Vec<Output>,
    ) -> Update {
        let keys = unlisted(&self.log, &Selector::Everything, floor, digests);
        for key in &keys {
            self.log.take_out(key);
            outputs.push(Output::Persist(Record::Forget(key.clone())));
        }
        self.raise_floor(floor, outputs);
        self.upstream.removals_known(&Selector::Everything, floor);
        Update {
            keys,
            ..Update::default()
        }
    }

    fn raise_floor(&mut self, floor: Version, outputs: &mut Vec<Output>) {
        if floor > self.log.floor() {
            self.log.raise_floor(floor);
            outputs.push(Output::Persist(Record::Floor(floor)));
        }
    }

    /// All versions up to this one are here, by an author's own word.
    pub fn cover_all(&mut self, head: Version, outputs: &mut Vec<Output>) {
        self.upstream.cover(
            &Selector::Everything,
            Span {
                after: Version::ZERO,
                upto: head,
            },
        );
        self.upstream.removals_known(&Selector::Everything, head);
        self.store_coverage(outputs);
    }

    fn store_coverage(&mut self, outputs: &mut Vec<Output>) {
        self.frames_unstored = 0;
        let Some(held) = self.upstream.held_of(&Selector::Everything) else {
            return;
        };
        if held.coverage == self.stored {
            return;
        }
        self.stored = held.coverage.clone();
        let (coverage, floor) = (held.coverage.clone(), held.floor);
        let selector = Selector::Everything;
        outputs.push(Output::Persist(Record::Covered {
            selector,
            coverage,
            floor,
        }));
    }
}

/// Changes of earlier authors that the present one did not have when it took over.
pub(crate) fn orphans(log: &Log, epoch: &Epoch) -> Vec<(Key, Version)> {
    let earlier = |change: &&Change| change.version.token < epoch.claim.token;
    let unknown = |change: &&Change| !epoch.known.holds(change.version);
    let orphans = log.changes().filter(earlier).filter(unknown);
    orphans
        .map(|change| (change.key.clone(), change.version))
        .collect()
}

/// What an author knew when it took over, and what it has written since.
fn known_since(epoch: &Epoch, head: Version) -> Coverage {
    let mut known = epoch.known.clone();
    let after = Version {
        token: epoch.claim.token,
        sequence: 0,
    };
    known.add(Span { after, upto: head });
    known
}

/// Versions that the present author knows, and that are covered here by the word of an earlier one alone, which did not know
/// them: a change among them has never come.
pub(crate) fn lacking(earlier: &Epoch, present: &Epoch, covered: &Coverage) -> Coverage {
    let known = known_since(earlier, covered.top());
    present.known.both(covered).without(&known)
}

/// The keys of a selector with a version up to a floor that a list does not hold.
pub(crate) fn unlisted(
    log: &Log,
    selector: &Selector,
    floor: Version,
    digests: &BTreeSet<u64>,
) -> Vec<Key> {
    let keys = log.keys_after(selector, Version::ZERO);
    let old = keys.take_while(|(version, _)| *version <= floor);
    old.filter(|(_, key)| !digests.contains(&key.digest()))
        .map(|(_, key)| key.clone())
        .collect()
}
