//! The children of a relay or of a publisher: their sessions, subscriptions and wakeups.

mod admission;

use crate::child::Child;
use crate::close_reason::CloseReason;
use crate::downstream_config::DownstreamConfig;
use crate::message::{Payload, Received};
use crate::output::Output;
use crate::peer::PeerId;
use crate::random::SeededRng;
use crate::replica_view::ReplicaView;
use crate::report::Report;
use crate::resource::{Key, Selector};
use crate::token_bucket::{Budget, TokenBucket};
use crate::Time;
use std::collections::{BTreeMap, BTreeSet};

/// All children, and the send buckets of those that have left.
#[derive(Debug)]
pub struct Downstream {
    config: DownstreamConfig,
    rng: SeededRng,
    children: BTreeMap<PeerId, Child>,
    subscriptions_by_selector: BTreeMap<Selector, BTreeSet<SubscriptionId>>,
    /// Send buckets of children that have left, so that a new session does not renew the budget.
    retained_buckets: BTreeMap<PeerId, TokenBucket>,
    /// Frames of these peers are ignored until a time, since they exceeded their budget or violated the protocol.
    banned_until: BTreeMap<PeerId, Time>,
    session_bucket: TokenBucket,
    wakeups: BTreeMap<PeerId, Time>,
    wakeup_order: BTreeSet<Wakeup>,
    has_fencing_notice: bool,
}

/// Seconds for which the frames of a child that violated the protocol are ignored.
pub const BAN_DURATION: Time = 30.0;

/// Minimum time between two scheduled polls of a child, in seconds.
const MIN_WAKEUP_INTERVAL: Time = 1e-3;

/// Buckets are retained for this multiple of the allowed number of children.
const RETAINED_BUCKETS_PER_CHILD: usize = 4;

/// Cost of one new session in the bucket that limits the rate of new sessions.
const SESSION_COST: f64 = 100.0;

/// A child's subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SubscriptionId {
    peer: PeerId,
    id: u32,
}

/// When a child has to be polled. The time's bits sort like the time, since times are not negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Wakeup {
    time_bits: u64,
    peer: PeerId,
}

impl Wakeup {
    fn new(at: Time, peer: PeerId) -> Wakeup {
        Wakeup {
            time_bits: at.max(0.0).to_bits(),
            peer,
        }
    }

    fn at(&self) -> Time {
        f64::from_bits(self.time_bits)
    }
}

impl Downstream {
    /// Serves no children yet.
    pub fn new(config: DownstreamConfig, seed: u64, now: Time) -> Downstream {
        let rate = config.sessions_per_second * SESSION_COST;
        Downstream {
            config,
            rng: SeededRng::new(seed),
            children: BTreeMap::new(),
            subscriptions_by_selector: BTreeMap::new(),
            retained_buckets: BTreeMap::new(),
            banned_until: BTreeMap::new(),
            session_bucket: TokenBucket::new(
                Budget {
                    bytes_per_second: rate,
                    burst_bytes: rate.max(SESSION_COST),
                },
                now,
            ),
            wakeups: BTreeMap::new(),
            wakeup_order: BTreeSet::new(),
            has_fencing_notice: false,
        }
    }

    /// The children.
    pub fn children(&self) -> impl Iterator<Item = PeerId> + '_ {
        self.children.keys().copied()
    }

    /// Handles a frame of a child; returns the reports that it contains.
    pub fn receive(
        &mut self,
        now: Time,
        received: Received,
        replica: ReplicaView,
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
        let child = self.children.get_mut(&from);
        let Some(child) = child.filter(|child| child.session() == head.session) else {
            let reason = CloseReason::UnknownSession;
            self.reject(now, from, head.session, reason, outputs);
            return Vec::new();
        };
        if !child.admit_frame(now, bytes) {
            self.close_session(now, from, CloseReason::RateExceeded, outputs);
            return Vec::new();
        }
        let reports = match child.link().accept(now, &head) {
            Ok(receipt) if receipt.is_new => self.handle(from, payload, replica),
            Ok(_) => Ok(Vec::new()),
            Err(reason) => Err(reason),
        };
        self.schedule(now, from);
        reports.unwrap_or_else(|reason| {
            self.close_session(now, from, reason, outputs);
            Vec::new()
        })
    }

    fn handle(
        &mut self,
        from: PeerId,
        payload: Payload,
        replica: ReplicaView,
    ) -> Result<Vec<Report>, CloseReason> {
        let child = self
            .children
            .get_mut(&from)
            .ok_or(CloseReason::UnknownSession)?;
        match payload {
            Payload::Acknowledge | Payload::Open { .. } => {}
            Payload::Subscribe(items) => {
                for request in items {
                    let (id, selector) = (request.id, request.selector.clone());
                    child.subscribe(request, replica)?;
                    self.subscriptions_by_selector
                        .entry(selector)
                        .or_default()
                        .insert(SubscriptionId { peer: from, id });
                }
            }
            Payload::Unsubscribe(items) => {
                for id in items {
                    if let Some(selector) = child.unsubscribe(id) {
                        remove_from_index(
                            &mut self.subscriptions_by_selector,
                            &selector,
                            SubscriptionId { peer: from, id },
                        );
                    }
                }
            }
            Payload::Reports(reports) => {
                let are_valid = reports.iter().all(Report::is_valid);
                return if are_valid {
                    Ok(reports)
                } else {
                    Err(CloseReason::ProtocolViolation)
                };
            }
            Payload::Close { reason, .. } => {
                self.has_fencing_notice |= reason == CloseReason::Fenced && child.is_relay();
                return Err(if reason == CloseReason::Fenced {
                    reason
                } else {
                    CloseReason::Replaced
                });
            }
            _ => return Err(CloseReason::ProtocolViolation),
        }
        Ok(Vec::new())
    }

    /// Whether a relay has reported a later fencing token since the last call.
    pub fn take_fencing_notice(&mut self) -> bool {
        std::mem::take(&mut self.has_fencing_notice)
    }

    /// Queues the change of a key for all children that subscribe to it.
    pub fn notify_changed(&mut self, now: Time, key: &Key, replica: ReplicaView) {
        for selector in Selector::all_matching(&key.name.group) {
            let Some(subscribed) = self.subscriptions_by_selector.get(&selector) else {
                continue;
            };
            for SubscriptionId { peer, id } in subscribed.clone() {
                if let Some(child) = self.children.get_mut(&peer) {
                    child.requeue(id, replica);
                }
                self.schedule(now, peer);
            }
        }
    }

    /// Schedules a poll of all children, after a change that concerns all of them.
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
        self.wakeup_order.insert(Wakeup::new(at, peer));
    }

    fn unschedule(&mut self, peer: PeerId) {
        if let Some(at) = self.wakeups.remove(&peer) {
            self.wakeup_order.remove(&Wakeup::new(at, peer));
        }
    }

    /// Sends what is due and what the budgets allow.
    pub fn poll(&mut self, now: Time, replica: ReplicaView, outputs: &mut Vec<Output>) {
        let due = self
            .wakeup_order
            .range(..=Wakeup::new(now, PeerId(u32::MAX)));
        let due: Vec<PeerId> = due.map(|wakeup| wakeup.peer).collect();
        for peer in due {
            let Some(child) = self.children.get_mut(&peer) else {
                continue;
            };
            let silent_at = child.last_received_at() + self.config.silence_timeout;
            if now >= silent_at {
                self.close_session(now, peer, CloseReason::TimedOut, outputs);
                continue;
            }
            child.poll(now, replica, outputs);
            let next = child.next_wakeup(now, replica).min(silent_at);
            self.schedule(next.max(now + MIN_WAKEUP_INTERVAL), peer);
        }
    }

    /// When the next child has to be polled.
    pub fn next_wakeup(&self) -> Time {
        self.wakeup_order.first().map_or(f64::INFINITY, Wakeup::at)
    }
}

fn remove_from_index(
    subscriptions_by_selector: &mut BTreeMap<Selector, BTreeSet<SubscriptionId>>,
    selector: &Selector,
    subscription: SubscriptionId,
) {
    if let Some(set) = subscriptions_by_selector.get_mut(selector) {
        set.remove(&subscription);
        if set.is_empty() {
            subscriptions_by_selector.remove(selector);
        }
    }
}
