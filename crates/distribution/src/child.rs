//! One child of a relay or of a publisher: its session, its subscriptions and the queue of what it is sent.
//!
//! | order | payload |
//! | --- | --- |
//! | 1 | the epoch of the current publisher |
//! | 2 | urgent changes, the latest first |
//! | 3 | other changes, the latest first; the earliest first while the child's coverage has many spans |
//! | 4 | a manifest of all keys, if tombstones were pruned that the child may not have received |
//! | 5 | [`Payload::UpToDate`]: everything was sent; with the replica's age |
//!
//! The log holds the latest change of each key only, so a change that was replaced is never sent. The choice of the
//! next payload is in `child::sender`. Used by [`crate::downstream`].

mod sender;

use crate::child_subscription::Subscription;
use crate::close_reason::CloseReason;
use crate::link::Link;
use crate::message::{Payload, Subscribe};
use crate::output::Output;
use crate::replica_view::ReplicaView;
use crate::resource::{Selector, Version};
use crate::send_progress::{BodyCursor, QueuedChange, UpToDateNotice};
use crate::token_bucket::{Budget, TokenBucket};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of subscriptions of one child.
pub const MAX_SUBSCRIPTIONS: usize = 16_384;

/// A subscription with a change to send. The last entry of the queue is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    change: QueuedChange,
    subscription: u32,
}

/// Bodies that have been sent in part: an urgent one may overtake another.
#[derive(Debug, Default)]
struct PartialBodies {
    urgent: Option<BodyCursor>,
    normal: Option<BodyCursor>,
}

impl PartialBodies {
    fn get(&self, is_urgent: bool) -> Option<BodyCursor> {
        if is_urgent {
            self.urgent
        } else {
            self.normal
        }
    }

    fn set(&mut self, is_urgent: bool, cursor: Option<BodyCursor>) {
        if is_urgent {
            self.urgent = cursor;
        } else {
            self.normal = cursor;
        }
    }

    fn remove_where(&mut self, is_obsolete: impl Fn(&BodyCursor) -> bool) {
        self.urgent.take_if(|cursor| is_obsolete(cursor));
        self.normal.take_if(|cursor| is_obsolete(cursor));
    }
}

/// A child with an open session.
#[derive(Debug)]
pub struct Child {
    link: Link,
    is_relay: bool,
    subscriptions: BTreeMap<u32, Subscription>,
    queue: BTreeSet<QueueEntry>,
    partial_bodies: PartialBodies,
    sent_epoch_token: u64,
    up_to_date_notice: UpToDateNotice,
    up_to_date_sent_at: Time,
    /// All subscriptions know the removals up to this pruning floor of the log.
    removals_known: Version,
    /// Whether something was sent or subscribed to since the last [`Payload::UpToDate`].
    has_changed_since_up_to_date: bool,
    keepalive_interval: Time,
    opened_at: Time,
    receive_bucket: TokenBucket,
}

impl Child {
    /// A child with a new session. `receive_budget` limits what the child may send.
    pub fn new(
        link: Link,
        is_relay: bool,
        keepalive_interval: Time,
        receive_budget: Budget,
        now: Time,
    ) -> Child {
        Child {
            link,
            is_relay,
            subscriptions: BTreeMap::new(),
            queue: BTreeSet::new(),
            partial_bodies: PartialBodies::default(),
            sent_epoch_token: 0,
            up_to_date_notice: UpToDateNotice {
                sequence: 0,
                head: Version::ZERO,
                removals: Version::ZERO,
            },
            up_to_date_sent_at: now,
            removals_known: Version::ZERO,
            has_changed_since_up_to_date: true,
            keepalive_interval,
            opened_at: now,
            receive_bucket: TokenBucket::new(receive_budget, now),
        }
    }

    /// The id of its session, chosen by the child.
    pub fn session(&self) -> u64 {
        self.link.session()
    }

    /// The session's link.
    pub fn link(&mut self) -> &mut Link {
        &mut self.link
    }

    /// Whether the child is a relay or a publisher, not a node.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// When the last frame of the child was received.
    pub fn last_received_at(&self) -> Time {
        self.link.last_received_at()
    }

    /// The selectors of all subscriptions, by subscription id.
    pub fn selectors(&self) -> impl Iterator<Item = (u32, &Selector)> {
        self.subscriptions
            .iter()
            .map(|(id, subscription)| (*id, &subscription.selector))
    }

    /// Takes the bytes of a received frame from the child's receive budget; returns false if the budget is exceeded,
    /// which limits a child that sends too much.
    pub fn admit_frame(&mut self, now: Time, frame_bytes: usize) -> bool {
        self.receive_bucket.take(now, frame_bytes)
    }

    /// Adds a subscription.
    ///
    /// # Errors
    /// If the id is in use, the coverage is invalid, or there are too many subscriptions.
    pub fn subscribe(
        &mut self,
        request: Subscribe,
        replica: ReplicaView,
    ) -> Result<(), CloseReason> {
        if self.subscriptions.contains_key(&request.id) || !request.coverage.is_valid() {
            return Err(CloseReason::ProtocolViolation);
        }
        if self.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return Err(CloseReason::CapacityExceeded);
        }
        let id = request.id;
        let subscription = Subscription::new(request, self.up_to_date_notice, replica);
        self.removals_known = Version::ZERO;
        self.subscriptions.insert(id, subscription);
        self.has_changed_since_up_to_date = true;
        self.requeue(id, replica);
        Ok(())
    }

    /// Ends a subscription; returns its selector.
    pub fn unsubscribe(&mut self, id: u32) -> Option<Selector> {
        let subscription = self.subscriptions.remove(&id)?;
        if let Some(change) = subscription.queued {
            self.queue.remove(&QueueEntry {
                change,
                subscription: id,
            });
        }
        self.partial_bodies
            .remove_where(|cursor| cursor.subscription == id);
        Some(subscription.selector)
    }

    /// Updates a subscription's place in the queue, after the log changed in what the subscription matches.
    pub fn requeue(&mut self, id: u32, replica: ReplicaView) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else {
            return;
        };
        subscription.apply_up_to_date_notice(self.up_to_date_notice);
        let entry = |change| QueueEntry {
            change,
            subscription: id,
        };
        if let Some(change) = subscription.queued.take() {
            self.queue.remove(&entry(change));
        }
        subscription.queued = subscription.next(replica);
        if let Some(change) = subscription.queued {
            self.queue.insert(entry(change));
        }
    }

    /// Sends what is due and what the budget allows.
    pub fn poll(&mut self, now: Time, replica: ReplicaView, outputs: &mut Vec<Output>) {
        self.link.retransmit_if_due(now, outputs);
        if self.link.is_idle() {
            self.send_next(now, replica, outputs);
        }
        self.link.flush_acknowledgement(now, outputs);
        if now >= self.link.last_sent_at() + self.keepalive_interval {
            self.link
                .send_unreliable(now, &Payload::Acknowledge, outputs);
        }
    }

    /// When [`Child::poll`] has something to send.
    pub fn next_wakeup(&self, now: Time, replica: ReplicaView) -> Time {
        let keepalive = self.link.last_sent_at() + self.keepalive_interval;
        let keepalive = keepalive.max(self.link.ready_at(now, 0));
        let payload = if self.link.is_idle() {
            self.next_payload_at(now, replica)
        } else {
            f64::INFINITY
        };
        self.link.next_wakeup(now).min(keepalive).min(payload)
    }
}
