//! Opens, closes and rejects sessions, within the configured limits.

use super::{
    remove_from_index, Downstream, SubscriptionId, BAN_DURATION, RETAINED_BUCKETS_PER_CHILD,
    SESSION_COST,
};
use crate::child::Child;
use crate::close_reason::CloseReason;
use crate::link::Link;
use crate::message::{self, Head, Payload};
use crate::output::{Event, Output};
use crate::peer::PeerId;
use crate::token_bucket::{Budget, TokenBucket, TRANSPORT_OVERHEAD_BYTES};
use crate::Time;

impl Downstream {
    /// Opens a session, unless there are too many children or too many new sessions; returns whether it is open. The
    /// limit on new sessions spreads the reconnections of the children of a failed relay.
    pub(super) fn open_session(
        &mut self,
        now: Time,
        from: PeerId,
        head: &Head,
        is_relay: bool,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let existing = self.children.get_mut(&from);
        if existing.is_some_and(|child| child.link().session() == head.session) {
            return true;
        }
        let is_full =
            !self.children.contains_key(&from) && self.children.len() >= self.config.max_children;
        if is_full
            || !self
                .session_bucket
                .take(now, SESSION_COST as usize - TRANSPORT_OVERHEAD_BYTES)
        {
            self.reject(
                now,
                from,
                head.session,
                CloseReason::CapacityExceeded,
                outputs,
            );
            return false;
        }
        if self.children.contains_key(&from) {
            self.drop_child(from);
            outputs.push(Output::Event(Event::ChildLost {
                child: from,
                reason: CloseReason::Replaced,
            }));
        }
        let child = self.new_child(now, from, head.session, is_relay);
        self.children.insert(from, child);
        true
    }

    /// A child with a new session; a bucket that was retained for the peer is used again.
    fn new_child(&mut self, now: Time, peer: PeerId, session: u64, is_relay: bool) -> Child {
        let budget = if is_relay {
            self.config.relay_budget
        } else {
            self.config.node_budget
        };
        let mut link = Link::new(peer, session, false, budget, now);
        let retained = self.retained_buckets.remove(&peer);
        if let Some(bucket) = retained.filter(|bucket| bucket.budget() == budget) {
            link = link.with_bucket(bucket);
        }
        let child_budget = if is_relay {
            Budget::CONTROL
        } else {
            Budget::NODE_UPLINK
        };
        let receive_budget = Budget {
            bytes_per_second: self.config.receive_budget_factor * child_budget.bytes_per_second,
            burst_bytes: self.config.receive_budget_factor * child_budget.burst_bytes,
        };
        Child::new(
            link,
            is_relay,
            self.config.keepalive_interval,
            receive_budget,
            now,
        )
    }

    /// Ends a child's session and tells the child.
    pub(super) fn close_session(
        &mut self,
        now: Time,
        child: PeerId,
        reason: CloseReason,
        outputs: &mut Vec<Output>,
    ) {
        if matches!(
            reason,
            CloseReason::RateExceeded | CloseReason::ProtocolViolation
        ) {
            self.ban(now, child);
        }
        let session = self
            .children
            .get_mut(&child)
            .map(|child| child.link().session());
        self.drop_child(child);
        outputs.push(Output::Event(Event::ChildLost { child, reason }));
        if let Some(session) = session {
            self.reject(now, child, session, reason, outputs);
        }
    }

    /// Ends all sessions.
    pub fn close_all(&mut self, now: Time, reason: CloseReason, outputs: &mut Vec<Output>) {
        let all: Vec<PeerId> = self.children().collect();
        for child in all {
            self.close_session(now, child, reason, outputs);
        }
    }

    pub(super) fn ban(&mut self, now: Time, child: PeerId) {
        self.banned_until.retain(|_, until| now < *until);
        if self.banned_until.len() < self.config.max_children {
            self.banned_until.insert(child, now + BAN_DURATION);
        }
    }

    /// Rejects a session, within the peer's budget.
    pub fn reject(
        &mut self,
        now: Time,
        to: PeerId,
        session: u64,
        reason: CloseReason,
        outputs: &mut Vec<Output>,
    ) {
        let retry_after = self.rng.uniform(
            self.config.min_retry_after,
            2.0 * self.config.min_retry_after,
        );
        let payload = Payload::Close {
            reason,
            retry_after_ms: (retry_after * 1e3) as u32,
        };
        let head = Head {
            session,
            from_child: false,
            number: 0,
            acknowledged: 0,
            sent_at_us: 0,
            echo: None,
        };
        let frame = message::encode(&head, &payload);
        self.drop_full_buckets(now);
        if !self.retained_buckets.contains_key(&to)
            && self.retained_buckets.len() >= self.max_retained_buckets()
        {
            return;
        }
        let full = TokenBucket::new(self.config.node_budget, now);
        let bucket = match self.children.get_mut(&to) {
            Some(child) => child.link().bucket_mut(),
            None => self.retained_buckets.entry(to).or_insert(full),
        };
        if bucket.take(now, frame.len()) {
            outputs.push(Output::Send { to, frame });
        }
    }

    pub(super) fn max_retained_buckets(&self) -> usize {
        RETAINED_BUCKETS_PER_CHILD * self.config.max_children
    }

    /// Drops buckets that are full again, since they equal new ones.
    pub(super) fn drop_full_buckets(&mut self, now: Time) {
        if self.retained_buckets.len() >= self.max_retained_buckets() {
            let burst_bytes = self.config.node_budget.burst_bytes;
            self.retained_buckets
                .retain(|_, bucket| bucket.available(now) < burst_bytes);
        }
    }

    pub(super) fn drop_child(&mut self, peer: PeerId) {
        let Some(mut child) = self.children.remove(&peer) else {
            return;
        };
        if self.retained_buckets.len() < self.max_retained_buckets() {
            self.retained_buckets
                .insert(peer, child.link().bucket().clone());
        }
        for (id, selector) in child.selectors() {
            remove_from_index(
                &mut self.subscriptions_by_selector,
                selector,
                SubscriptionId { peer, id },
            );
        }
        self.unschedule(peer);
    }
}
