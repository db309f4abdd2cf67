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

use crate::child_subscription::{
    BodyCursor, CurrentNotice, ManifestCursor, ReplicaView, Subscription, CHANGES_OVERHEAD_BYTES,
};
use crate::coverage::Span;
use crate::link::Link;
use crate::message::{Payload, Subscribe};
use crate::output::Output;
use crate::resource::{Change, Content, Selector, Slot, Version};
use crate::session_end::CloseReason;
use crate::token_bucket::{Budget, TokenBucket};
use crate::{Time, DRIFT};
use std::collections::{BTreeMap, BTreeSet};

/// Most subscriptions of one child.
pub const MAX_SUBSCRIPTIONS: usize = 16_384;
/// An urgent change is sent as soon as the budget allows so many bytes.
const MIN_URGENT_PAYLOAD_BYTES: usize = 600;

/// A child that has not asked for anything is told that all was sent after so long, in seconds.
const FIRST_SUBSCRIPTION_TIMEOUT: Time = 20.0;

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
        partial: BodyCursor,
    },
    Listed {
        id: u32,
        pass: Option<ManifestCursor>,
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
    is_relay: bool,
    subscriptions: BTreeMap<u32, Subscription>,
    /// Subscriptions with something to send: whether that is urgent, its version, the subscription.
    queue: BTreeSet<(bool, Version, u32)>,
    partials: [Option<BodyCursor>; 2],
    sent_epoch_token: u64,
    current_notice: CurrentNotice,
    current_sent_at: Time,
    /// The log's floor up to which all subscriptions know the removals.
    removals_known: Version,
    has_changed_since_current: bool,
    keepalive_interval: Time,
    opened_at: Time,
    receive_bucket: TokenBucket,
}

impl Child {
    /// A child with a new session. `inflow` is what it may send.
    pub fn new(link: Link, relay: bool, keepalive: Time, inflow: Budget, now: Time) -> Child {
        Child {
            link,
            is_relay: relay,
            subscriptions: BTreeMap::new(),
            queue: BTreeSet::new(),
            partials: [None, None],
            sent_epoch_token: 0,
            current_notice: CurrentNotice {
                sequence: 0,
                head: Version::ZERO,
                removals: Version::ZERO,
            },
            current_sent_at: now,
            removals_known: Version::ZERO,
            has_changed_since_current: true,
            keepalive_interval: keepalive,
            opened_at: now,
            receive_bucket: TokenBucket::new(inflow, now),
        }
    }

    /// The session.
    pub fn link(&mut self) -> &mut Link {
        &mut self.link
    }

    /// Whether it is a relay or an author.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// When it was heard last.
    pub fn last_received_at(&self) -> Time {
        self.link.last_received_at()
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
    pub fn admit_frame(&mut self, now: Time, frame: usize) -> bool {
        self.receive_bucket.take(now, frame)
    }

    /// Takes a subscription in.
    ///
    /// # Errors
    /// If it can't be one.
    pub fn subscribe(&mut self, new: Subscribe, source: ReplicaView) -> Result<(), CloseReason> {
        if self.subscriptions.contains_key(&new.id) || !new.coverage.is_valid() {
            return Err(CloseReason::ProtocolViolation);
        }
        if self.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return Err(CloseReason::CapacityExceeded);
        }
        let id = new.id;
        let subscription = Subscription::new(new, self.current_notice, source);
        self.removals_known = Version::ZERO;
        self.subscriptions.insert(id, subscription);
        self.has_changed_since_current = true;
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
    pub fn requeue(&mut self, id: u32, source: ReplicaView) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else {
            return;
        };
        subscription.apply_current_notice(self.current_notice);
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
    pub fn poll(&mut self, now: Time, source: ReplicaView, outputs: &mut Vec<Output>) {
        self.link.retransmit_if_due(now, outputs);
        if self.link.is_idle() {
            self.send_next(now, source, outputs);
        }
        self.link.flush_acknowledgement(now, outputs);
        if now >= self.link.last_sent_at() + self.keepalive_interval {
            self.link
                .send_unreliable(now, &Payload::Acknowledge, outputs);
        }
    }

    fn send_next(&mut self, now: Time, source: ReplicaView, outputs: &mut Vec<Output>) {
        let Some((payload, effect)) = self.next_payload(now, source) else {
            return;
        };
        if self.link.send_reliable(now, &payload, outputs) {
            self.apply_sent(now, effect, source);
        }
    }

    fn min_urgent_payload(&self) -> usize {
        MIN_URGENT_PAYLOAD_BYTES.min(self.link.max_payload_bytes())
    }

    fn next_payload(&mut self, now: Time, source: ReplicaView) -> Option<(Payload, Effect)> {
        let room = self.link.available_payload_bytes(now);
        if let Some(epoch) = source
            .epoch
            .filter(|epoch| epoch.claim.token > self.sent_epoch_token)
        {
            let effect = Effect::EpochTold(epoch.claim.token);
            return (room >= self.link.max_payload_bytes())
                .then(|| (Payload::Epoch(epoch.clone()), effect));
        }
        self.drop_replaced_bodies(source);
        if self.has_urgent() {
            return (room >= self.min_urgent_payload())
                .then(|| self.change_payload(true, source, room))
                .flatten();
        }
        if self.has_changes() {
            return (room >= self.link.max_payload_bytes())
                .then(|| self.change_payload(false, source, room))
                .flatten();
        }
        if !source.is_contiguous
            || room < self.min_urgent_payload()
            || now < self.current_allowed_from()
        {
            return None;
        }
        if let Some(id) = self.subscription_lacking_removals(source) {
            return self.manifest_payload(id, source, room);
        }
        let due =
            self.has_changed_since_current || now >= self.current_sent_at + self.keepalive_interval;
        due.then(|| current(source))
    }

    /// When the child may be told that all was sent.
    ///
    /// Guards against a node that takes the word of all for what it has not asked for yet, and says that it has it. Harm: a
    /// child that asks for nothing hears the word later.
    fn current_allowed_from(&self) -> Time {
        if self.subscriptions.is_empty() {
            self.opened_at + FIRST_SUBSCRIPTION_TIMEOUT
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
    fn drop_replaced_bodies(&mut self, source: ReplicaView) {
        for partial in &mut self.partials {
            partial.take_if(|partial| source.log.get_version(partial.version).is_none());
        }
    }

    fn change_payload(
        &self,
        urgent: bool,
        source: ReplicaView,
        room: usize,
    ) -> Option<(Payload, Effect)> {
        if let Some(partial) = self.partials[usize::from(urgent)] {
            return self.chunk_payload(partial, urgent, source, room);
        }
        let (_, version, id) = *self.queue.last()?;
        let view = |change: &Change| self.view(change);
        if view(source.log.get_version(version)?).size_bytes() + CHANGES_OVERHEAD_BYTES > room {
            return self.chunk_payload(
                BodyCursor {
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

    fn chunk_payload(
        &self,
        partial: BodyCursor,
        urgent: bool,
        source: ReplicaView,
        room: usize,
    ) -> Option<(Payload, Effect)> {
        let id = partial.id;
        let subscription = self.subscriptions.get(&id)?;
        let (payload, rest) = subscription.chunk(partial, urgent, source, room)?;
        let effect = match rest {
            Ok(span) => Effect::Covered { id, span, urgent },
            Err(partial) => Effect::Part { urgent, partial },
        };
        Some((payload, effect))
    }

    /// A change as this child is to have it: of a trial that is not for it, it hears that there is none.
    fn view(&self, change: &Change) -> Change {
        let outside = !self.is_relay
            && change.key.slot == Slot::Canary
            && !change.fraction.contains(self.link.peer());
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

    fn subscription_lacking_removals(&self, source: ReplicaView) -> Option<u32> {
        let floor = source.log.pruned_through();
        if self.removals_known >= floor {
            return None;
        }
        let lacks =
            |subscription: &Subscription| subscription.removals_known(self.current_notice) < floor;
        // A pass that was begun is brought to its end before another one.
        let mut under_way = self
            .subscriptions
            .iter()
            .filter(|(_, subscription)| subscription.manifest_cursor.is_some());
        let first = under_way.next();
        let next = || {
            self.subscriptions
                .iter()
                .find(|(_, subscription)| lacks(subscription))
        };
        first.or_else(next).map(|(id, _)| *id)
    }

    fn manifest_payload(
        &self,
        id: u32,
        source: ReplicaView,
        room: usize,
    ) -> Option<(Payload, Effect)> {
        let (payload, pass, floor) = self.subscriptions.get(&id)?.manifest(id, source, room);
        Some((payload, Effect::Listed { id, pass, floor }))
    }

    fn apply_sent(&mut self, now: Time, effect: Effect, source: ReplicaView) {
        match effect {
            Effect::EpochTold(token) => self.sent_epoch_token = token,
            Effect::Covered { id, span, urgent } => {
                self.partials[usize::from(urgent)] = None;
                if let Some(subscription) = self.subscriptions.get_mut(&id) {
                    subscription.span_sent(span);
                }
                self.has_changed_since_current = true;
                self.requeue(id, source);
            }
            Effect::Part { urgent, partial } => self.partials[usize::from(urgent)] = Some(partial),
            Effect::Listed { id, pass, floor } => self.manifest_sent(id, pass, floor),
            Effect::Current { head, removals } => {
                self.has_changed_since_current = false;
                self.current_sent_at = now;
                self.current_notice = CurrentNotice {
                    sequence: self.current_notice.sequence + 1,
                    head,
                    removals,
                };
                self.removals_known = source.log.pruned_through();
            }
        }
    }

    fn manifest_sent(&mut self, id: u32, pass: Option<ManifestCursor>, floor: Version) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else {
            return;
        };
        subscription.apply_current_notice(self.current_notice);
        subscription.manifest_cursor = pass;
        if pass.is_none() {
            subscription.manifest_sent(floor);
        }
        self.has_changed_since_current = true;
    }

    /// When there is something to send.
    pub fn next_wakeup(&self, now: Time, source: ReplicaView) -> Time {
        let keepalive = self.link.last_sent_at() + self.keepalive_interval;
        let keepalive = keepalive.max(self.link.ready_at(now, 0));
        let payload = if self.link.is_idle() {
            self.next_payload_at(now, source)
        } else {
            f64::INFINITY
        };
        self.link.next_wakeup(now).min(keepalive).min(payload)
    }

    fn next_payload_at(&self, now: Time, source: ReplicaView) -> Time {
        let full = self.link.ready_at(now, self.link.max_payload_bytes());
        let small = self.link.ready_at(now, self.min_urgent_payload());
        if source
            .epoch
            .is_some_and(|epoch| epoch.claim.token > self.sent_epoch_token)
        {
            return full;
        }
        if self.has_urgent() {
            return small;
        }
        if self.has_changes() {
            return full;
        }
        if !source.is_contiguous {
            return f64::INFINITY;
        }
        if self.has_changed_since_current || self.subscription_lacking_removals(source).is_some() {
            return small.max(self.current_allowed_from());
        }
        small
            .max(self.current_sent_at + self.keepalive_interval)
            .max(self.current_allowed_from())
    }
}

fn current(source: ReplicaView) -> (Payload, Effect) {
    let head = source.coverage.last_version();
    let age_us = source
        .age
        .map(|age| (age * (1.0 + 2.0 * DRIFT) * 1e6) as u64 + 1);
    let removals = source.removals_known.min(head);
    let payload = Payload::Current {
        head,
        removals,
        pruned_through: source.log.pruned_through(),
        age_us,
    };
    (payload, Effect::Current { head, removals })
}
