//! One child of a relay or of an author: what it is sent, and in which order.
//!
//! | order | what |
//! | --- | --- |
//! | 1 | who the author is |
//! | 2 | urgent changes, the latest first |
//! | 3 | other changes, the latest first; the earliest first while what the child covers is in many spans |
//! | 4 | where removals were forgotten since the child knew all: the digests of all keys |
//! | 5 | that all was sent, and how old that is |
//!
//! A change that a later one has replaced is in no log, so it is never sent.

use crate::bucket::{Bucket, Budget};
use crate::coverage::Span;
use crate::feed::{Partial, Pass, Source, Subscription, Told, CHANGES_OVERHEAD};
use crate::link::Link;
use crate::message::{Payload, Subscribe};
use crate::output::Output;
use crate::resource::{Change, Content, Selector, Slot, Version};
use crate::session_end::Reason;
use crate::{Time, DRIFT};
use std::collections::{BTreeMap, BTreeSet};

/// Most subscriptions of one child.
pub const SUBSCRIPTIONS_MOST: usize = 16_384;
/// An urgent change is sent as soon as the budget allows so many bytes.
const URGENT_ROOM: usize = 600;

/// A child that has not asked for anything is told that all was sent after so long, in seconds.
const FIRST_SUBSCRIPTION_WAIT: Time = 20.0;

/// What changes here once a payload was sent.
enum Effect {
    EpochTold(u64),
    Covered {
        id: u32,
        span: Span,
        urgent: bool,
    },
    Part {
        urgent: bool,
        partial: Partial,
    },
    Listed {
        id: u32,
        pass: Option<Pass>,
        floor: Version,
    },
    Current {
        head: Version,
        removals: Version,
    },
}

/// See the module.
#[derive(Debug)]
pub struct Child {
    link: Link,
    relay: bool,
    subscriptions: BTreeMap<u32, Subscription>,
    /// Subscriptions with something to send: whether that is urgent, its version, the subscription.
    queue: BTreeSet<(bool, Version, u32)>,
    partials: [Option<Partial>; 2],
    epoch_told: u64,
    told: Told,
    told_at: Time,
    /// The log's floor up to which all subscriptions know the removals.
    floor_known: Version,
    changed_since: bool,
    keepalive: Time,
    opened_at: Time,
    inflow: Bucket,
}

impl Child {
    /// A child with a new session. `inflow` is what it may send.
    pub fn new(link: Link, relay: bool, keepalive: Time, inflow: Budget, now: Time) -> Child {
        Child {
            link,
            relay,
            subscriptions: BTreeMap::new(),
            queue: BTreeSet::new(),
            partials: [None, None],
            epoch_told: 0,
            told: Told {
                count: 0,
                head: Version::ZERO,
                removals: Version::ZERO,
            },
            told_at: now,
            floor_known: Version::ZERO,
            changed_since: true,
            keepalive,
            opened_at: now,
            inflow: Bucket::new(inflow, now),
        }
    }

    /// The session.
    pub fn link(&mut self) -> &mut Link {
        &mut self.link
    }

    /// Whether it is a relay or an author.
    pub fn is_relay(&self) -> bool {
        self.relay
    }

    /// When it was heard last.
    pub fn heard_at(&self) -> Time {
        self.link.heard_at()
    }

    /// What it asks for.
    pub fn selectors(&self) -> impl Iterator<Item = (u32, &Selector)> {
        self.subscriptions
            .iter()
            .map(|(id, subscription)| (*id, &subscription.selector))
    }

    /// Takes the bytes of a frame from its budget; whether it kept to it.
    ///
    /// Guards against a child that sends without end. Harm: none; a child's own bucket is a quarter of it.
    pub fn admits(&mut self, now: Time, frame: usize) -> bool {
        self.inflow.take(now, frame)
    }

    /// Takes a subscription in.
    ///
    /// # Errors
    /// If it can't be one.
    pub fn subscribe(&mut self, new: Subscribe, source: Source) -> Result<(), Reason> {
        if self.subscriptions.contains_key(&new.id) || !new.coverage.sound() {
            return Err(Reason::Misbehaved);
        }
        if self.subscriptions.len() >= SUBSCRIPTIONS_MOST {
            return Err(Reason::Busy);
        }
        let id = new.id;
        let subscription = Subscription::new(new, self.told, source);
        self.floor_known = Version::ZERO;
        self.subscriptions.insert(id, subscription);
        self.changed_since = true;
        self.requeue(id, source);
        Ok(())
    }

    /// Ends a subscription.
    pub fn unsubscribe(&mut self, id: u32) -> Option<Selector> {
        let subscription = self.subscriptions.remove(&id)?;
        if let Some((urgent, version)) = subscription.queued {
            self.queue.remove(&(urgent, version, id));
        }
        for partial in &mut self.partials {
            partial.take_if(|partial| partial.id == id);
        }
        Some(subscription.selector)
    }

    /// The log has changed in what a subscription holds: looks anew for what comes next.
    pub fn requeue(&mut self, id: u32, source: Source) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else {
            return;
        };
        subscription.settle(self.told);
        if let Some((urgent, version)) = subscription.queued.take() {
            self.queue.remove(&(urgent, version, id));
        }
        let next = subscription.next(source);
        subscription.queued = next;
        if let Some((urgent, version)) = next {
            self.queue.insert((urgent, version, id));
        }
    }

    /// Sends what is due and what the budget allows.
    pub fn poll(&mut self, now: Time, source: Source, outputs: &mut Vec<Output>) {
        self.link.flush_repeats(now, outputs);
        if self.link.is_free() {
            self.send_next(now, source, outputs);
        }
        self.link.flush(now, outputs);
        if now >= self.link.wrote_at() + self.keepalive {
            self.link.say(now, &Payload::Acknowledge, outputs);
        }
    }

    fn send_next(&mut self, now: Time, source: Source, outputs: &mut Vec<Output>) {
        let Some((payload, effect)) = self.choose(now, source) else {
            return;
        };
        if self.link.send(now, &payload, outputs) {
            self.sent(now, effect, source);
        }
    }

    fn urgent_room(&self) -> usize {
        URGENT_ROOM.min(self.link.room_most())
    }

    fn choose(&mut self, now: Time, source: Source) -> Option<(Payload, Effect)> {
        let room = self.link.room(now);
        if let Some(epoch) = source
            .epoch
            .filter(|epoch| epoch.claim.token > self.epoch_told)
        {
            let effect = Effect::EpochTold(epoch.claim.token);
            return (room >= self.link.room_most())
                .then(|| (Payload::Epoch(epoch.clone()), effect));
        }
        self.drop_stale_partials(source);
        if self.has_urgent() {
            return (room >= self.urgent_room())
                .then(|| self.change(true, source, room))
                .flatten();
        }
        if self.has_changes() {
            return (room >= self.link.room_most())
                .then(|| self.change(false, source, room))
                .flatten();
        }
        if !source.whole || room < self.urgent_room() || now < self.told_from() {
            return None;
        }
        if let Some(id) = self.lacks_removals(source) {
            return self.manifest(id, source, room);
        }
        let due = self.changed_since || now >= self.told_at + self.keepalive;
        due.then(|| current(source))
    }

    /// When the child may be told that all was sent.
    ///
    /// Guards against a node that takes the word of all for what it has not asked for yet, and says that it has it. Harm: a
    /// child that asks for nothing hears the word later.
    fn told_from(&self) -> Time {
        if self.subscriptions.is_empty() {
            self.opened_at + FIRST_SUBSCRIPTION_WAIT
        } else {
            self.opened_at
        }
    }

    fn has_urgent(&self) -> bool {
        self.partials[1].is_some() || self.queue.last().is_some_and(|(urgent, _, _)| *urgent)
    }

    fn has_changes(&self) -> bool {
        self.partials[0].is_some() || !self.queue.is_empty()
    }

    /// A body whose change was replaced meanwhile is not sent to its end.
    fn drop_stale_partials(&mut self, source: Source) {
        for partial in &mut self.partials {
            partial.take_if(|partial| source.log.at(partial.version).is_none());
        }
    }

    fn change(&self, urgent: bool, source: Source, room: usize) -> Option<(Payload, Effect)> {
        if let Some(partial) = self.partials[usize::from(urgent)] {
            return self.part(partial, urgent, source, room);
        }
        let (_, version, id) = *self.queue.last()?;
        let view = |change: &Change| self.view(change);
        if view(source.log.at(version)?).size() + CHANGES_OVERHEAD > room {
            return self.part(
                Partial {
                    id,
                    version,
                    offset: 0,
                },
                urgent,
                source,
                room,
            );
        }
        let subscription = self.subscriptions.get(&id)?;
        let (payload, span) = subscription.batch(id, version, urgent, source, room, view)?;
        Some((payload, Effect::Covered { id, span, urgent }))
    }

    fn part(
        &self,
        partial: Partial,
        urgent: bool,
        source: Source,
        room: usize,
    ) -> Option<(Payload, Effect)> {
        let id = partial.id;
        let subscription = self.subscriptions.get(&id)?;
        let (payload, rest) = subscription.part(partial, urgent, source, room)?;
        let effect = match rest {
            Ok(span) => Effect::Covered { id, span, urgent },
            Err(partial) => Effect::Part { urgent, partial },
        };
        Some((payload, effect))
    }

    /// A change as this child is to have it: of a trial that is not for it, it hears that there is none.
    fn view(&self, change: &Change) -> Change {
        let outside =
            !self.relay && change.key.slot == Slot::Trial && !change.part.holds(self.link.peer());
        let content = if outside {
            Content::Removed
        } else {
            change.content.clone()
        };
        Change {
            content,
            ..change.clone()
        }
    }

    fn lacks_removals(&self, source: Source) -> Option<u32> {
        let floor = source.log.floor();
        if self.floor_known >= floor {
            return None;
        }
        let lacks = |subscription: &Subscription| subscription.known(self.told) < floor;
        // A pass that was begun is brought to its end before another one.
        let mut under_way = self
            .subscriptions
            .iter()
            .filter(|(_, subscription)| subscription.pass.is_some());
        let first = under_way.next();
        let next = || {
            self.subscriptions
                .iter()
                .find(|(_, subscription)| lacks(subscription))
        };
        first.or_else(next).map(|(id, _)| *id)
    }

    fn manifest(&self, id: u32, source: Source, room: usize) -> Option<(Payload, Effect)> {
        let (payload, pass, floor) = self.subscriptions.get(&id)?.list(id, source, room);
        Some((payload, Effect::Listed { id, pass, floor }))
    }

    fn sent(&mut self, now: Time, effect: Effect, source: Source) {
        match effect {
            Effect::EpochTold(token) => self.epoch_told = token,
            Effect::Covered { id, span, urgent } => {
                self.partials[usize::from(urgent)] = None;
                if let Some(subscription) = self.subscriptions.get_mut(&id) {
                    subscription.span_sent(span);
                }
                self.changed_since = true;
                self.requeue(id, source);
            }
            Effect::Part { urgent, partial } => self.partials[usize::from(urgent)] = Some(partial),
            Effect::Listed { id, pass, floor } => self.listed(id, pass, floor),
            Effect::Current { head, removals } => {
                self.changed_since = false;
                self.told_at = now;
                self.told = Told {
                    count: self.told.count + 1,
                    head,
                    removals,
                };
                self.floor_known = source.log.floor();
            }
        }
    }

    fn listed(&mut self, id: u32, pass: Option<Pass>, floor: Version) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else {
            return;
        };
        subscription.settle(self.told);
        subscription.pass = pass;
        if pass.is_none() {
            subscription.list_sent(floor);
        }
        self.changed_since = true;
    }

    /// When there is something to send.
    pub fn next_wakeup(&self, now: Time, source: Source) -> Time {
        let keepalive = self.link.wrote_at() + self.keepalive;
        let keepalive = keepalive.max(self.link.ready(now, 0));
        let payload = if self.link.is_free() {
            self.next_payload(now, source)
        } else {
            f64::INFINITY
        };
        self.link.next_wakeup(now).min(keepalive).min(payload)
    }

    fn next_payload(&self, now: Time, source: Source) -> Time {
        let full = self.link.ready(now, self.link.room_most());
        let small = self.link.ready(now, self.urgent_room());
        if source
            .epoch
            .is_some_and(|epoch| epoch.claim.token > self.epoch_told)
        {
            return full;
        }
        if self.has_urgent() {
            return small;
        }
        if self.has_changes() {
            return full;
        }
        if !source.whole {
            return f64::INFINITY;
        }
        if self.changed_since || self.lacks_removals(source).is_some() {
            return small.max(self.told_from());
        }
        small
            .max(self.told_at + self.keepalive)
            .max(self.told_from())
    }
}

fn current(source: Source) -> (Payload, Effect) {
    let head = source.coverage.top();
    let age_us = source
        .age
        .map(|age| (age * (1.0 + 2.0 * DRIFT) * 1e6) as u64 + 1);
    let removals = source.removals_known.min(head);
    let payload = Payload::Current {
        head,
        removals,
        floor: source.log.floor(),
        age_us,
    };
    (payload, Effect::Current { head, removals })
}
