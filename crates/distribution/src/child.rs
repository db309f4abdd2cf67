//! One child of a relay or of an author: what it is sent, and in which order.
//!
//! | order | what |
//! | --- | --- |
//! | 1 | who the author is |
//! | 2 | urgent changes, the latest first |
//! | 3 | other changes, the latest first |
//! | 4 | where removals were forgotten since the child knew all: the digests of all keys |
//! | 5 | that all was sent, and how old that is |
//!
//! A change that a later one has replaced is in no log, so it is never sent.

use crate::bucket::{Bucket, Budget};
use crate::coverage::{Coverage, SPANS_MANY};
use crate::link::Link;
use crate::log::Log;
use crate::message::{Chunk, Epoch, Payload, Span, Subscribe, MANIFEST_KEYS};
use crate::output::{Output, Reason};
use crate::peer::PeerId;
use crate::resource::{Change, Content, Selector, Slot, Version};
use crate::{Time, DRIFT};
use std::collections::{BTreeMap, BTreeSet};

/// Most subscriptions of one child.
pub const SUBSCRIPTIONS_MOST: usize = 16_384;
/// An urgent change is sent as soon as the budget allows so many bytes.
const URGENT_ROOM: usize = 600;
/// What a frame of changes takes beside the changes.
const CHANGES_OVERHEAD: usize = 64;
/// What a frame with a part of a body takes beside the part.
const CHUNK_OVERHEAD: usize = 288;

/// What a relay or an author has to send.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The changes.
    pub log: &'a Log,
    /// Which versions they cover.
    pub coverage: &'a Coverage,
    /// Whether they cover all versions up to the greatest.
    pub whole: bool,
    /// How old that is, in seconds, if it is known.
    pub age: Option<Time>,
    /// Who the author is.
    pub epoch: Option<&'a Epoch>,
}

#[derive(Clone, Copy, Debug)]
struct Pass {
    /// Keys up to this version have been listed.
    after: Version,
    /// The log's floor when it began.
    floor: Version,
    first: bool,
}

#[derive(Debug)]
struct Subscription {
    selector: Selector,
    coverage: Coverage,
    /// All removals up to here are known to the child.
    known: Version,
    pass: Option<Pass>,
    queued: Option<(bool, Version)>,
    /// The last [`Payload::Current`] that is taken into account in `coverage` and `known`.
    settled: u64,
}

/// The last [`Payload::Current`] that the child was sent.
#[derive(Clone, Copy, Debug)]
struct Told {
    count: u64,
    head: Version,
}

impl Subscription {
    fn settle(&mut self, told: Told) {
        if self.settled < told.count {
            self.settled = told.count;
            self.coverage.add(Span { after: Version::ZERO, upto: told.head });
            self.known = self.known.max(told.head);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Partial {
    id: u32,
    version: Version,
    offset: usize,
}

/// What changes here once a payload was sent.
enum Effect {
    EpochTold(u64),
    Covered { id: u32, span: Span, urgent: bool },
    Part { urgent: bool, partial: Partial },
    Listed { id: u32, pass: Option<Pass>, floor: Version },
    Current { head: Version },
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
            told: Told { count: 0, head: Version::ZERO },
            told_at: now,
            floor_known: Version::ZERO,
            changed_since: true,
            keepalive,
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
        self.subscriptions.iter().map(|(id, subscription)| (*id, &subscription.selector))
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
        // Who has nothing has no removals to hear of.
        let known = if new.coverage.is_empty() { source.log.floor() } else { new.floor };
        let subscription = Subscription {
            selector: new.selector,
            coverage: new.coverage,
            known,
            pass: None,
            queued: None,
            settled: self.told.count,
        };
        self.floor_known = Version::ZERO;
        self.subscriptions.insert(new.id, subscription);
        self.changed_since = true;
        self.requeue(new.id, source);
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
        let Some(subscription) = self.subscriptions.get_mut(&id) else { return };
        subscription.settle(self.told);
        if let Some((urgent, version)) = subscription.queued.take() {
            self.queue.remove(&(urgent, version, id));
        }
        let (selector, coverage) = (&subscription.selector, &subscription.coverage);
        let scattered = coverage.spans().len() >= SPANS_MANY;
        let urgent = (!scattered).then(|| source.log.newest_urgent(selector, coverage)).flatten();
        let next = match urgent {
            Some(version) => Some((true, version)),
            None => source.log.newest(selector, coverage).map(|version| (false, version)),
        };
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
        let Some((payload, effect)) = self.choose(now, source) else { return };
        if self.link.send(now, &payload, outputs) {
            self.sent(now, effect, source);
        }
    }

    fn urgent_room(&self) -> usize {
        URGENT_ROOM.min(self.link.room_most())
    }

    fn choose(&mut self, now: Time, source: Source) -> Option<(Payload, Effect)> {
        let room = self.link.room(now);
        if let Some(epoch) = source.epoch.filter(|epoch| epoch.claim.token > self.epoch_told) {
            let effect = Effect::EpochTold(epoch.claim.token);
            return (room >= self.link.room_most()).then(|| (Payload::Epoch(epoch.clone()), effect));
        }
        self.drop_stale_partials(source);
        if self.has_urgent() {
            return (room >= self.urgent_room()).then(|| self.change(true, source, room)).flatten();
        }
        if self.has_changes() {
            return (room >= self.link.room_most()).then(|| self.change(false, source, room)).flatten();
        }
        if !source.whole || room < self.urgent_room() {
            return None;
        }
        if let Some(id) = self.lacks_removals(source) {
            return self.manifest(id, source, room);
        }
        let due = self.changed_since || now >= self.told_at + self.keepalive;
        due.then(|| current(source))
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
        let change = self.view(source.log.at(version)?);
        if change.size() + CHANGES_OVERHEAD > room {
            return self.part(Partial { id, version, offset: 0 }, urgent, source, room);
        }
        self.batch(id, version, urgent, source, room)
    }

    /// A change as this child is to have it: of a trial that is not for it, it hears that there is none.
    fn view(&self, change: &Change) -> Change {
        let outside =
            !self.relay && change.key.slot == Slot::Trial && !change.part.holds(self.link.peer());
        let content = if outside { Content::Removed } else { change.content.clone() };
        Change { content, ..change.clone() }
    }

    /// Whole changes from a version downwards.
    fn batch(
        &self, id: u32, newest: Version, urgent: bool, source: Source, room: usize,
    ) -> Option<(Payload, Effect)> {
        let subscription = self.subscriptions.get(&id)?;
        let mut span = reach(newest, subscription, source);
        let least = span.after;
        let mut changes = Vec::new();
        let mut bytes = CHANGES_OVERHEAD;
        let mut next = Some(newest);
        while let Some(version) = next {
            let change = self.view(source.log.at(version)?);
            bytes += change.size();
            if bytes > room {
                break;
            }
            changes.push(change);
            let earlier = source.log.earlier(&subscription.selector, version);
            span.after = earlier.map_or(least, |earlier| earlier.max(least));
            next = earlier.filter(|earlier| *earlier > least && !urgent);
        }
        if urgent {
            span = Span { after: newest.before(), upto: newest };
        }
        let effect = Effect::Covered { id, span, urgent };
        Some((Payload::Changes { id, span, changes }, effect))
    }

    /// The next part of a long body.
    fn part(
        &self, partial: Partial, urgent: bool, source: Source, room: usize,
    ) -> Option<(Payload, Effect)> {
        let Partial { id, version, offset } = partial;
        let subscription = self.subscriptions.get(&id)?;
        let change = source.log.at(version)?;
        let body = change.content.bytes();
        let end = body.len().min(offset + room.saturating_sub(CHUNK_OVERHEAD));
        let mut span = reach(version, subscription, source);
        let earlier = source.log.earlier(&subscription.selector, version);
        span.after = earlier.map_or(span.after, |earlier| earlier.max(span.after));
        if urgent {
            span = Span { after: version.before(), upto: version };
        }
        let chunk = Chunk {
            key: change.key.clone(),
            version,
            urgency: change.urgency,
            express: urgent,
            part: change.part,
            replaces: change.replaces,
            total: u32::try_from(body.len()).ok()?,
            hash: change.hash(),
            offset: u32::try_from(offset).ok()?,
            bytes: body.get(offset..end)?.to_vec(),
        };
        let effect = if end == body.len() {
            Effect::Covered { id, span, urgent }
        } else {
            Effect::Part { urgent, partial: Partial { offset: end, ..partial } }
        };
        Some((Payload::Chunk { id, span, chunk }, effect))
    }

    fn lacks_removals(&self, source: Source) -> Option<u32> {
        let floor = source.log.floor();
        if self.floor_known >= floor {
            return None;
        }
        let lacks = |subscription: &Subscription| {
            let settled = subscription.settled == self.told.count;
            let known = if settled { subscription.known } else { subscription.known.max(self.told.head) };
            known < floor
        };
        // A pass that was begun is brought to its end before another one.
        let mut under_way = self.subscriptions.iter().filter(|(_, subscription)| subscription.pass.is_some());
        let first = under_way.next();
        let next = || self.subscriptions.iter().find(|(_, subscription)| lacks(subscription));
        first.or_else(next).map(|(id, _)| *id)
    }

    fn manifest(&self, id: u32, source: Source, room: usize) -> Option<(Payload, Effect)> {
        let subscription = self.subscriptions.get(&id)?;
        let fresh = Pass { after: Version::ZERO, floor: source.log.floor(), first: true };
        let pass = subscription.pass.unwrap_or(fresh);
        let count = MANIFEST_KEYS.min(room.saturating_sub(CHANGES_OVERHEAD) / DIGEST_BYTES).max(1);
        let keys: Vec<_> = source.log.keys_after(&subscription.selector, pass.after).take(count).collect();
        let last = keys.len() < count;
        let digests = keys.iter().map(|(_, key)| key.digest()).collect();
        let after = keys.last().map_or(pass.after, |(version, _)| *version);
        let next = (!last).then_some(Pass { after, first: false, ..pass });
        let payload = Payload::Manifest { id, first: pass.first, last, floor: pass.floor, digests };
        Some((payload, Effect::Listed { id, pass: next, floor: pass.floor }))
    }

    fn sent(&mut self, now: Time, effect: Effect, source: Source) {
        match effect {
            Effect::EpochTold(token) => self.epoch_told = token,
            Effect::Covered { id, span, urgent } => {
                self.partials[usize::from(urgent)] = None;
                if let Some(subscription) = self.subscriptions.get_mut(&id) {
                    subscription.coverage.add(span);
                }
                self.changed_since = true;
                self.requeue(id, source);
            }
            Effect::Part { urgent, partial } => self.partials[usize::from(urgent)] = Some(partial),
            Effect::Listed { id, pass, floor } => self.listed(id, pass, floor),
            Effect::Current { head } => {
                self.changed_since = false;
                self.told_at = now;
                self.told = Told { count: self.told.count + 1, head };
                self.floor_known = source.log.floor();
            }
        }
    }

    fn listed(&mut self, id: u32, pass: Option<Pass>, floor: Version) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else { return };
        subscription.settle(self.told);
        subscription.pass = pass;
        if pass.is_none() {
            subscription.known = subscription.known.max(floor);
        }
        self.changed_since = true;
    }

    /// When there is something to send.
    pub fn next_wakeup(&self, now: Time, source: Source) -> Time {
        let keepalive = self.link.wrote_at() + self.keepalive;
        let keepalive = keepalive.max(self.link.ready(now, 0));
        let payload = if self.link.is_free() { self.next_payload(now, source) } else { f64::INFINITY };
        self.link.next_wakeup(now).min(keepalive).min(payload)
    }

    fn next_payload(&self, now: Time, source: Source) -> Time {
        let full = self.link.ready(now, self.link.room_most());
        let small = self.link.ready(now, self.urgent_room());
        if source.epoch.is_some_and(|epoch| epoch.claim.token > self.epoch_told) {
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
            return small;
        }
        small.max(self.told_at + self.keepalive)
    }
}

/// What one digest takes in a frame at most.
const DIGEST_BYTES: usize = 10;

fn current(source: Source) -> (Payload, Effect) {
    let head = source.coverage.top();
    let age_us = source.age.map(|age| (age * (1.0 + 2.0 * DRIFT) * 1e6) as u64 + 1);
    let payload = Payload::Current { head, floor: source.log.floor(), age_us };
    (payload, Effect::Current { head })
}

/// The widest span around an uncovered version in which the source itself lacks nothing and the child has nothing.
fn reach(version: Version, subscription: &Subscription, source: Source) -> Span {
    let point = Span { after: version.before(), upto: version };
    let own = source.coverage.span_of(version).unwrap_or(point);
    let above = subscription.coverage.next_above(version).unwrap_or(own.upto);
    let below = subscription.coverage.next_below(version);
    Span { after: own.after.max(below), upto: own.upto.min(above).max(version) }
}
