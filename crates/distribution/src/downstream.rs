//! The children of a relay or of an author.

use crate::child::Child;
use crate::link::Link;
use crate::message::{self, Head, Payload, Received};
use crate::output::{Event, Output};
use crate::peer::PeerId;
use crate::random::SeededRng;
use crate::replica_view::ReplicaView;
use crate::report::Report;
use crate::resource::{Key, Selector};
use crate::session_end::CloseReason;
use crate::token_bucket::{Budget, TokenBucket, TRANSPORT_OVERHEAD_BYTES};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// How children are served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DownstreamConfig {
    /// Most children at once; more are told to go elsewhere.
    pub max_children: usize,
    /// What is sent to a child that is a node.
    pub node_budget: Budget,
    /// What is sent to a child that is a relay or an author.
    pub relay_budget: Budget,
    /// A child hears something at least so often, in seconds.
    pub keepalive_interval: Time,
    /// A child that was not heard for so long is forgotten, in seconds.
    pub silence_timeout: Time,
    /// New sessions a second; more are told to come back later.
    pub sessions_per_second: f64,
    /// A child that is sent away comes back after so long at least and after twice as long at most, in seconds.
    pub min_retry_after: Time,
    /// How many times a child's own budget it may send before it is sent away.
    pub receive_budget_factor: f64,
}

impl Default for DownstreamConfig {
    fn default() -> DownstreamConfig {
        DownstreamConfig {
            max_children: 1024,
            node_budget: Budget::DOWN,
            relay_budget: Budget::CONTROL,
            keepalive_interval: 2.0,
            silence_timeout: 20.0,
            sessions_per_second: 100.0,
            min_retry_after: 2.0,
            receive_budget_factor: 4.0,
        }
    }
}

/// See the module.
#[derive(Debug)]
pub struct Downstream {
    config: DownstreamConfig,
    rng: SeededRng,
    children: BTreeMap<PeerId, Child>,
    interests: BTreeMap<Selector, BTreeSet<(PeerId, u32)>>,
    /// Budgets of children that have gone: a new session brings no new budget.
    retained_buckets: BTreeMap<PeerId, TokenBucket>,
    /// Who sent more than it may is not heard until then.
    banned_until: BTreeMap<PeerId, Time>,
    session_bucket: TokenBucket,
    wakeups: BTreeMap<PeerId, Time>,
    due: BTreeSet<(u64, PeerId)>,
    has_fencing_notice: bool,
}

/// The longest that a child that broke the rules is not heard, in seconds.
pub const BAN_DURATION: Time = 30.0;

/// A child is looked at so often at most without a cause, in seconds.
const MIN_WAKEUP_INTERVAL: Time = 1e-3;

/// For so many times as many peers as there may be children, budgets are kept.
const RETAINED_BUCKETS_PER_CHILD: usize = 4;

/// What one new session takes of the bucket of new sessions.
const OPEN_COST: f64 = 100.0;

/// Moments are not negative, so their bits are in their order.
fn sortable_bits(time: Time) -> u64 {
    time.max(0.0).to_bits()
}

impl Downstream {
    /// Without children.
    pub fn new(rules: DownstreamConfig, seed: u64, now: Time) -> Downstream {
        let rate = rules.sessions_per_second * OPEN_COST;
        Downstream {
            config: rules,
            rng: SeededRng::new(seed),
            children: BTreeMap::new(),
            interests: BTreeMap::new(),
            retained_buckets: BTreeMap::new(),
            banned_until: BTreeMap::new(),
            session_bucket: TokenBucket::new(
                Budget {
                    bytes_per_second: rate,
                    burst_bytes: rate.max(OPEN_COST),
                },
                now,
            ),
            wakeups: BTreeMap::new(),
            due: BTreeSet::new(),
            has_fencing_notice: false,
        }
    }

    /// Who the children are.
    pub fn children(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.children.keys().copied()
    }

    /// Takes a child's frame in; gives back what it reports.
    pub fn receive(
        &mut self,
        now: Time,
        received: Received,
        source: ReplicaView,
        outputs: &mut Vec<Output>,
    ) -> Vec<Report> {
        let Received {
            from,
            bytes,
            head,
            payload,
        } = received;
        if self
            .banned_until
            .get(&from)
            .is_some_and(|until| now < *until)
        {
            return Vec::new();
        }
        if let (Payload::Open { is_relay: relay }, 1) = (&payload, head.number) {
            if !self.open_session(now, from, &head, *relay, outputs) {
                return Vec::new();
            }
        }
        let Some(child) = self.children.get_mut(&from) else {
            self.reject(
                now,
                from,
                head.session,
                CloseReason::UnknownSession,
                outputs,
            );
            return Vec::new();
        };
        if child.link().session() != head.session {
            self.reject(
                now,
                from,
                head.session,
                CloseReason::UnknownSession,
                outputs,
            );
            return Vec::new();
        }
        if !child.admit_frame(now, bytes) {
            self.close_session(now, from, CloseReason::RateExceeded, outputs);
            return Vec::new();
        }
        let told = match child.link().accept(now, &head) {
            Ok(arrival) if arrival.is_new => self.handle(from, payload, source),
            Ok(_) => Ok(Vec::new()),
            Err(why) => Err(why),
        };
        self.schedule(now, from);
        told.unwrap_or_else(|why| {
            self.close_session(now, from, why, outputs);
            Vec::new()
        })
    }

    fn handle(
        &mut self,
        from: PeerId,
        payload: Payload,
        source: ReplicaView,
    ) -> Result<Vec<Report>, CloseReason> {
        let child = self
            .children
            .get_mut(&from)
            .ok_or(CloseReason::UnknownSession)?;
        match payload {
            Payload::Acknowledge | Payload::Open { .. } => {}
            Payload::Subscribe(list) => {
                for new in list {
                    let (id, selector) = (new.id, new.selector.clone());
                    child.subscribe(new, source)?;
                    self.interests
                        .entry(selector)
                        .or_default()
                        .insert((from, id));
                }
            }
            Payload::Unsubscribe(list) => {
                for id in list {
                    if let Some(selector) = child.unsubscribe(id) {
                        forget(&mut self.interests, &selector, (from, id));
                    }
                }
            }
            Payload::Reports(reports) => {
                let sound = reports.iter().all(Report::is_valid);
                return if sound {
                    Ok(reports)
                } else {
                    Err(CloseReason::ProtocolViolation)
                };
            }
            Payload::Close { reason: why, .. } => {
                self.has_fencing_notice |= why == CloseReason::Fenced && child.is_relay();
                return Err(if why == CloseReason::Fenced {
                    why
                } else {
                    CloseReason::Replaced
                });
            }
            _ => return Err(CloseReason::ProtocolViolation),
        }
        Ok(Vec::new())
    }

    /// Whether a relay has said since the last call that it has heard of a later token.
    pub fn take_fencing_notice(&mut self) -> bool {
        std::mem::take(&mut self.has_fencing_notice)
    }

    /// Begins a session, unless there are too many or too many begin at once; whether it is there.
    ///
    /// Guards against all children of a relay that died coming at once. Harm: some come some seconds later.
    fn open_session(
        &mut self,
        now: Time,
        from: PeerId,
        head: &Head,
        relay: bool,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let old = self.children.get_mut(&from);
        if old.is_some_and(|child| child.link().session() == head.session) {
            return true;
        }
        let full =
            !self.children.contains_key(&from) && self.children.len() >= self.config.max_children;
        if full
            || !self
                .session_bucket
                .take(now, OPEN_COST as usize - TRANSPORT_OVERHEAD_BYTES)
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
        let budget = if relay {
            self.config.relay_budget
        } else {
            self.config.node_budget
        };
        let mut link = Link::new(from, head.session, false, budget, now);
        let spent = self.retained_buckets.remove(&from);
        if let Some(bucket) = spent.filter(|bucket| bucket.budget() == budget) {
            link = link.with_bucket(bucket);
        }
        let own = if relay { Budget::CONTROL } else { Budget::UP };
        let inflow = Budget {
            bytes_per_second: self.config.receive_budget_factor * own.bytes_per_second,
            burst_bytes: self.config.receive_budget_factor * own.burst_bytes,
        };
        self.children.insert(
            from,
            Child::new(link, relay, self.config.keepalive_interval, inflow, now),
        );
        true
    }

    /// Ends a child's session and tells it so.
    fn close_session(
        &mut self,
        now: Time,
        child: PeerId,
        why: CloseReason,
        outputs: &mut Vec<Output>,
    ) {
        if matches!(
            why,
            CloseReason::RateExceeded | CloseReason::ProtocolViolation
        ) {
            self.ban(now, child);
        }
        let session = self
            .children
            .get_mut(&child)
            .map(|child| child.link().session());
        self.drop_child(child);
        outputs.push(Output::Event(Event::ChildLost { child, reason: why }));
        if let Some(session) = session {
            self.reject(now, child, session, why, outputs);
        }
    }

    /// Ends all sessions: an author has lost its lease.
    pub fn close_all(&mut self, now: Time, why: CloseReason, outputs: &mut Vec<Output>) {
        let all: Vec<PeerId> = self.children().collect();
        for child in all {
            self.close_session(now, child, why, outputs);
        }
    }

    fn ban(&mut self, now: Time, child: PeerId) {
        self.banned_until.retain(|_, until| now < *until);
        if self.banned_until.len() < self.config.max_children {
            self.banned_until.insert(child, now + BAN_DURATION);
        }
    }

    /// Tells somebody that its session is not there, within its budget.
    pub fn reject(
        &mut self,
        now: Time,
        to: PeerId,
        session: u64,
        why: CloseReason,
        outputs: &mut Vec<Output>,
    ) {
        let rest = self.rng.uniform(
            self.config.min_retry_after,
            2.0 * self.config.min_retry_after,
        );
        let payload = Payload::Close {
            reason: why,
            retry_after_ms: (rest * 1e3) as u32,
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

    fn max_retained_buckets(&self) -> usize {
        RETAINED_BUCKETS_PER_CHILD * self.config.max_children
    }

    /// Buckets that are full again say nothing.
    fn drop_full_buckets(&mut self, now: Time) {
        if self.retained_buckets.len() >= self.max_retained_buckets() {
            let most = self.config.node_budget.burst_bytes;
            self.retained_buckets
                .retain(|_, bucket| bucket.available(now) < most);
        }
    }

    fn drop_child(&mut self, peer: PeerId) {
        let Some(mut child) = self.children.remove(&peer) else {
            return;
        };
        if self.retained_buckets.len() < self.max_retained_buckets() {
            self.retained_buckets
                .insert(peer, child.link().bucket().clone());
        }
        for (id, selector) in child.selectors() {
            forget(&mut self.interests, selector, (peer, id));
        }
        self.unschedule(peer);
    }

    /// The log has changed at a key.
    pub fn notify_changed(&mut self, now: Time, key: &Key, source: ReplicaView) {
        for selector in Selector::all_matching(&key.name.group) {
            let Some(interested) = self.interests.get(&selector) else {
                continue;
            };
            for (peer, id) in interested.clone() {
                if let Some(child) = self.children.get_mut(&peer) {
                    child.requeue(id, source);
                }
                self.schedule(now, peer);
            }
        }
    }

    /// Something has changed that concerns all children.
    pub fn schedule_all(&mut self, now: Time) {
        let all: Vec<PeerId> = self.children().collect();
        for peer in all {
            self.schedule(now, peer);
        }
    }

    fn schedule(&mut self, at: Time, peer: PeerId) {
        if !self.children.contains_key(&peer) {
            return;
        }
        self.unschedule(peer);
        self.wakeups.insert(peer, at);
        self.due.insert((sortable_bits(at), peer));
    }

    fn unschedule(&mut self, peer: PeerId) {
        if let Some(at) = self.wakeups.remove(&peer) {
            self.due.remove(&(sortable_bits(at), peer));
        }
    }

    /// Sends what is due and what the budgets allow.
    pub fn poll(&mut self, now: Time, source: ReplicaView, outputs: &mut Vec<Output>) {
        let due = self.due.range(..=(sortable_bits(now), PeerId(u32::MAX)));
        let due: Vec<PeerId> = due.map(|(_, peer)| *peer).collect();
        for peer in due {
            let Some(child) = self.children.get_mut(&peer) else {
                continue;
            };
            let silent_at = child.last_received_at() + self.config.silence_timeout;
            if now >= silent_at {
                self.close_session(now, peer, CloseReason::TimedOut, outputs);
                continue;
            }
            child.poll(now, source, outputs);
            let next = child.next_wakeup(now, source).min(silent_at);
            self.schedule(next.max(now + MIN_WAKEUP_INTERVAL), peer);
        }
    }

    /// When a child is due.
    pub fn next_wakeup(&self) -> Time {
        self.due
            .first()
            .map_or(f64::INFINITY, |(bits, _)| f64::from_bits(*bits))
    }
}

fn forget(
    interests: &mut BTreeMap<Selector, BTreeSet<(PeerId, u32)>>,
    selector: &Selector,
    who: (PeerId, u32),
) {
    if let Some(set) = interests.get_mut(selector) {
        set.remove(&who);
        if set.is_empty() {
            interests.remove(selector);
        }
    }
}
