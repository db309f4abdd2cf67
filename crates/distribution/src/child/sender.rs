//! Chooses the next payload for a child, and records what was sent.

use super::{Child, QueueEntry};
use crate::child_subscription::{Subscription, CHANGES_OVERHEAD_BYTES};
use crate::coverage::Span;
use crate::message::Payload;
use crate::output::Output;
use crate::replica_view::ReplicaView;
use crate::resource::{Change, Content, Slot, Version};
use crate::send_progress::{BodyCursor, ChunkProgress, ManifestCursor, UpToDateNotice};
use crate::{Time, DRIFT};

/// An urgent change is sent as soon as the budget allows a payload of this size.
const MIN_URGENT_PAYLOAD_BYTES: usize = 600;

/// A child without subscriptions is sent the first [`Payload::UpToDate`] after this many seconds.
const FIRST_SUBSCRIPTION_TIMEOUT: Time = 20.0;

/// A payload, and the update of the child's state once it is sent.
struct Outgoing {
    payload: Payload,
    effect: SendEffect,
}

/// What was sent, as far as the child's state depends on it.
enum SendEffect {
    Epoch {
        token: u64,
    },
    Span {
        subscription: u32,
        span: Span,
        is_urgent: bool,
    },
    Chunk {
        is_urgent: bool,
        cursor: BodyCursor,
    },
    ManifestPage {
        subscription: u32,
        next: Option<ManifestCursor>,
        pruned_through: Version,
    },
    UpToDate {
        head: Version,
        removals: Version,
    },
}

impl Child {
    pub(super) fn send_next(&mut self, now: Time, replica: ReplicaView, outputs: &mut Vec<Output>) {
        let Some(Outgoing { payload, effect }) = self.next_payload(now, replica) else {
            return;
        };
        if self.link.send_reliable(now, &payload, outputs) {
            self.apply_sent(now, effect, replica);
        }
    }

    fn min_urgent_payload(&self) -> usize {
        MIN_URGENT_PAYLOAD_BYTES.min(self.link.max_payload_bytes())
    }

    fn next_payload(&mut self, now: Time, replica: ReplicaView) -> Option<Outgoing> {
        let available = self.link.available_payload_bytes(now);
        let fits_longest = available >= self.link.max_payload_bytes();
        let unsent_epoch = replica
            .epoch
            .filter(|epoch| epoch.claim.token > self.sent_epoch_token);
        if let Some(epoch) = unsent_epoch {
            return fits_longest.then(|| Outgoing {
                payload: Payload::Epoch(epoch.clone()),
                effect: SendEffect::Epoch {
                    token: epoch.claim.token,
                },
            });
        }
        self.drop_replaced_bodies(replica);
        if self.has_urgent() {
            if available < self.min_urgent_payload() {
                return None;
            }
            return self.change_payload(true, replica, available);
        }
        if self.has_changes() {
            if !fits_longest {
                return None;
            }
            return self.change_payload(false, replica, available);
        }
        if !replica.is_contiguous
            || available < self.min_urgent_payload()
            || now < self.up_to_date_allowed_from()
        {
            return None;
        }
        if let Some(id) = self.subscription_lacking_removals(replica) {
            return self.manifest_payload(id, replica, available);
        }
        let is_due = self.has_changed_since_up_to_date
            || now >= self.up_to_date_sent_at + self.keepalive_interval;
        is_due.then(|| up_to_date_payload(replica))
    }

    /// When the child may be sent [`Payload::UpToDate`]. A node whose subscriptions have not arrived yet would apply it
    /// to them as well, and acknowledge versions that it does not have.
    fn up_to_date_allowed_from(&self) -> Time {
        if self.subscriptions.is_empty() {
            self.opened_at + FIRST_SUBSCRIPTION_TIMEOUT
        } else {
            self.opened_at
        }
    }

    fn has_urgent(&self) -> bool {
        let is_next_urgent = self
            .queue
            .last()
            .is_some_and(|entry| entry.change.is_urgent);
        self.partial_bodies.urgent.is_some() || is_next_urgent
    }

    fn has_changes(&self) -> bool {
        self.partial_bodies.normal.is_some() || !self.queue.is_empty()
    }

    /// Stops sending bodies whose change was replaced in the meantime.
    fn drop_replaced_bodies(&mut self, replica: ReplicaView) {
        self.partial_bodies
            .remove_where(|cursor| replica.log.get_version(cursor.version).is_none());
    }

    fn change_payload(
        &self,
        is_urgent: bool,
        replica: ReplicaView,
        max_bytes: usize,
    ) -> Option<Outgoing> {
        if let Some(cursor) = self.partial_bodies.get(is_urgent) {
            return self.chunk_payload(cursor, is_urgent, replica, max_bytes);
        }
        let QueueEntry {
            change,
            subscription: id,
        } = *self.queue.last()?;
        let version = change.version;
        let view = |change: &Change| self.view(change);
        let size = view(replica.log.get_version(version)?).size_bytes();
        if size + CHANGES_OVERHEAD_BYTES > max_bytes {
            let start = BodyCursor {
                subscription: id,
                version,
                offset: 0,
            };
            return self.chunk_payload(start, is_urgent, replica, max_bytes);
        }
        let subscription = self.subscriptions.get(&id)?;
        let batch = subscription.batch(id, version, is_urgent, replica, max_bytes, view)?;
        Some(Outgoing {
            payload: batch.payload,
            effect: SendEffect::Span {
                subscription: id,
                span: batch.span,
                is_urgent,
            },
        })
    }

    fn chunk_payload(
        &self,
        cursor: BodyCursor,
        is_urgent: bool,
        replica: ReplicaView,
        max_bytes: usize,
    ) -> Option<Outgoing> {
        let subscription = self.subscriptions.get(&cursor.subscription)?;
        let chunk = subscription.chunk(cursor, is_urgent, replica, max_bytes)?;
        let effect = match chunk.progress {
            ChunkProgress::Complete(span) => SendEffect::Span {
                subscription: cursor.subscription,
                span,
                is_urgent,
            },
            ChunkProgress::Partial(cursor) => SendEffect::Chunk { is_urgent, cursor },
        };
        Some(Outgoing {
            payload: chunk.payload,
            effect,
        })
    }

    /// A change as this child may see it: a node outside of a canary's fraction sees the canary as removed.
    fn view(&self, change: &Change) -> Change {
        let is_outside = !self.is_relay
            && change.key.slot == Slot::Canary
            && !change.fraction.contains(self.link.peer());
        let content = if is_outside {
            Content::Removed
        } else {
            change.content.clone()
        };
        Change {
            content,
            ..change.clone()
        }
    }

    fn subscription_lacking_removals(&self, replica: ReplicaView) -> Option<u32> {
        let pruned_through = replica.log.pruned_through();
        if self.removals_known >= pruned_through {
            return None;
        }
        let lacks_removals = |subscription: &Subscription| {
            subscription.removals_known(self.up_to_date_notice) < pruned_through
        };
        // A manifest in progress is completed before the next one is started.
        let mut in_progress = self
            .subscriptions
            .iter()
            .filter(|(_, subscription)| subscription.manifest_cursor.is_some());
        let first_in_progress = in_progress.next();
        let next = || {
            self.subscriptions
                .iter()
                .find(|(_, subscription)| lacks_removals(subscription))
        };
        first_in_progress.or_else(next).map(|(id, _)| *id)
    }

    fn manifest_payload(
        &self,
        id: u32,
        replica: ReplicaView,
        max_bytes: usize,
    ) -> Option<Outgoing> {
        let page = self
            .subscriptions
            .get(&id)?
            .manifest(id, replica, max_bytes);
        Some(Outgoing {
            payload: page.payload,
            effect: SendEffect::ManifestPage {
                subscription: id,
                next: page.next,
                pruned_through: page.pruned_through,
            },
        })
    }

    fn apply_sent(&mut self, now: Time, effect: SendEffect, replica: ReplicaView) {
        match effect {
            SendEffect::Epoch { token } => self.sent_epoch_token = token,
            SendEffect::Span {
                subscription: id,
                span,
                is_urgent,
            } => {
                self.partial_bodies.set(is_urgent, None);
                if let Some(subscription) = self.subscriptions.get_mut(&id) {
                    subscription.span_sent(span);
                }
                self.has_changed_since_up_to_date = true;
                self.requeue(id, replica);
            }
            SendEffect::Chunk { is_urgent, cursor } => {
                self.partial_bodies.set(is_urgent, Some(cursor));
            }
            SendEffect::ManifestPage {
                subscription,
                next,
                pruned_through,
            } => self.manifest_page_sent(subscription, next, pruned_through),
            SendEffect::UpToDate { head, removals } => {
                self.has_changed_since_up_to_date = false;
                self.up_to_date_sent_at = now;
                self.up_to_date_notice = UpToDateNotice {
                    sequence: self.up_to_date_notice.sequence + 1,
                    head,
                    removals,
                };
                self.removals_known = replica.log.pruned_through();
            }
        }
    }

    fn manifest_page_sent(
        &mut self,
        id: u32,
        next: Option<ManifestCursor>,
        pruned_through: Version,
    ) {
        let Some(subscription) = self.subscriptions.get_mut(&id) else {
            return;
        };
        subscription.apply_up_to_date_notice(self.up_to_date_notice);
        subscription.manifest_cursor = next;
        if next.is_none() {
            subscription.manifest_sent(pruned_through);
        }
        self.has_changed_since_up_to_date = true;
    }

    /// When the next payload can be sent.
    pub(super) fn next_payload_at(&self, now: Time, replica: ReplicaView) -> Time {
        let longest_at = self.link.ready_at(now, self.link.max_payload_bytes());
        let urgent_at = self.link.ready_at(now, self.min_urgent_payload());
        if replica
            .epoch
            .is_some_and(|epoch| epoch.claim.token > self.sent_epoch_token)
        {
            return longest_at;
        }
        if self.has_urgent() {
            return urgent_at;
        }
        if self.has_changes() {
            return longest_at;
        }
        if !replica.is_contiguous {
            return f64::INFINITY;
        }
        if self.has_changed_since_up_to_date
            || self.subscription_lacking_removals(replica).is_some()
        {
            return urgent_at.max(self.up_to_date_allowed_from());
        }
        urgent_at
            .max(self.up_to_date_sent_at + self.keepalive_interval)
            .max(self.up_to_date_allowed_from())
    }
}

fn up_to_date_payload(replica: ReplicaView) -> Outgoing {
    let head = replica.coverage.last_version();
    let age_us = replica
        .age
        .map(|age| (age * (1.0 + 2.0 * DRIFT) * 1e6) as u64 + 1);
    let removals = replica.removals_known.min(head);
    let payload = Payload::UpToDate {
        head,
        removals,
        pruned_through: replica.log.pruned_through(),
        age_us,
    };
    Outgoing {
        payload,
        effect: SendEffect::UpToDate { head, removals },
    }
}
