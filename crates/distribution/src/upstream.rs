//! The upstream of a process: a publisher for first-tier relays, a relay for other relays and for nodes.
//!
//! | state | ends |
//! | --- | --- |
//! | idle | when [`Upstream::resume`] is called |
//! | backing off | after a random delay or a backoff |
//! | opening: candidates are tried | when the first answers; when none has answered within [`UpstreamConfig::open_timeout`] |
//! | following | after no frame for [`UpstreamConfig::silence_timeout`]; after no fresh data for [`UpstreamConfig::stale_timeout`] if there is another candidate; when the upstream ends the session or violates the protocol |

use crate::candidates::Candidates;
use crate::close_reason::CloseReason;
use crate::coverage::{Coverage, Span};
use crate::epoch::Epoch;
use crate::message::Payload;
use crate::output::{Event, Output};
use crate::peer::PeerId;
use crate::random::SeededRng;
use crate::report::{Report, ReportQueue};
use crate::resource::{Selector, Version};
use crate::session::Session;
use crate::session_attempts::SessionAttempts;
use crate::subscriptions::{SubscriptionState, Subscriptions};
use crate::token_bucket::TokenBucket;
use crate::upstream_config::{UpstreamConfig, MAX_STALE_FACTOR};
use crate::Time;
use reelfall_lease::token::{Fence, LeaseName};

mod opening;
mod receive;

#[derive(Debug)]
enum State {
    BackingOff { until: Time },
    Opening(SessionAttempts),
    Following(Box<Session>),
}

/// Seconds for which an upstream is avoided after it violated the protocol.
const VIOLATION_BACKOFF: Time = 120.0;
/// Seconds for which an upstream is avoided after this process ran out of capacity; any upstream would send the same
/// again.
const NO_CAPACITY_BACKOFF: Time = 30.0;

/// Connection state, subscriptions and reports of a follower.
#[derive(Debug)]
pub struct Upstream {
    config: UpstreamConfig,
    lease: LeaseName,
    rng: SeededRng,
    state: State,
    subscriptions: Subscriptions,
    candidates: Candidates,
    /// Factor on [`UpstreamConfig::stale_timeout`]; grows with each upstream that sent no fresh data.
    stale_factor: f64,
    fence: Fence,
    /// The send bucket while no session is followed.
    bucket: TokenBucket,
    reports: ReportQueue,
}

impl Upstream {
    /// Follows no upstream yet; the first attempt is made within [`UpstreamConfig::reconnect_jitter`].
    pub fn new(config: UpstreamConfig, lease: LeaseName, seed: u64, now: Time) -> Upstream {
        let mut rng = SeededRng::new(seed);
        let until = now + rng.uniform(0.0, config.reconnect_jitter);
        Upstream {
            candidates: Candidates::new(&config),
            bucket: TokenBucket::new(config.send_budget, now),
            config,
            lease,
            rng,
            state: State::BackingOff { until },
            subscriptions: Subscriptions::default(),
            stale_factor: 1.0,
            fence: Fence::new(1),
            reports: ReportQueue::default(),
        }
    }

    /// Adds a subscription of which `coverage` has already been received.
    pub fn subscribe(&mut self, selector: Selector, coverage: Coverage, removals_known: Version) {
        if self.subscriptions.by_selector.contains_key(&selector) {
            return;
        }
        let complete = coverage.is_contiguous();
        let has_changes = !coverage.is_empty();
        let subscription = SubscriptionState {
            coverage,
            removals_known,
            is_complete: complete,
            has_changes,
            ..SubscriptionState::default()
        };
        self.subscriptions.pending.insert(selector.clone());
        self.subscriptions
            .by_selector
            .insert(selector, subscription);
    }

    /// Ends a subscription; returns whether there was one.
    pub fn unsubscribe(&mut self, selector: &Selector) -> bool {
        let Some(subscription) = self.subscriptions.by_selector.remove(selector) else {
            return false;
        };
        self.subscriptions.pending.remove(selector);
        if let (State::Following(session), Some(id)) = (&mut self.state, subscription.id) {
            session.end_subscription(id);
        }
        true
    }

    /// All subscriptions.
    pub fn subscriptions(&self) -> impl Iterator<Item = (&Selector, &SubscriptionState)> {
        self.subscriptions.by_selector.iter()
    }

    /// The state of a subscription.
    pub fn subscription(&self, selector: &Selector) -> Option<&SubscriptionState> {
        self.subscriptions.by_selector.get(selector)
    }

    /// The upstream that is followed; while none has answered, the one that was tried last.
    pub fn following(&self) -> Option<PeerId> {
        match &self.state {
            State::Following(session) => Some(session.link.peer()),
            State::Opening(attempts) => attempts.latest(),
            State::BackingOff { .. } => None,
        }
    }

    /// Records that the changes of a span have been stored.
    pub fn add_coverage(&mut self, selector: &Selector, span: Span) {
        if let Some(subscription) = self.subscriptions.by_selector.get_mut(selector) {
            subscription.coverage.add(span);
            subscription.has_changes = true;
        }
    }

    /// Records that the log has changes of a subscription, regardless of its coverage. Otherwise a process that failed
    /// before it stored its coverage would count as one without changes, and would never receive the later removals.
    pub fn mark_has_changes(&mut self, selector: &Selector) {
        if let Some(subscription) = self.subscriptions.by_selector.get_mut(selector) {
            subscription.has_changes = true;
        }
    }

    /// Subscribes again, after removing from the coverage the versions that were never received.
    pub(crate) fn resubscribe(&mut self, now: Time, missing: &Coverage, outputs: &mut Vec<Output>) {
        let Some(first) = missing.spans().first() else {
            return;
        };
        for subscription in self.subscriptions.by_selector.values_mut() {
            subscription.coverage = subscription.coverage.difference(missing);
            subscription.removals_known = subscription.removals_known.min(first.after);
        }
        self.leave(now, CloseReason::Replaced, outputs);
    }

    /// Records that all removals of a selector up to a version are known.
    pub fn mark_removals_known(&mut self, selector: &Selector, removals_known: Version) {
        if let Some(subscription) = self.subscriptions.by_selector.get_mut(selector) {
            subscription.removals_known = subscription.removals_known.max(removals_known);
        }
    }

    /// Queues a report for the upstream.
    pub fn queue_report(&mut self, report: Report) {
        self.reports.add(report);
    }

    /// Checks the fencing token of a publisher's epoch.
    ///
    /// # Errors
    /// If the claim is of another lease, or a later token has been seen.
    pub fn admit_epoch(&mut self, epoch: &Epoch) -> Result<(), CloseReason> {
        if epoch.claim.lease != self.lease {
            return Err(CloseReason::ProtocolViolation);
        }
        self.fence
            .admit(&epoch.claim)
            .map_err(|_| CloseReason::Fenced)
    }

    /// The highest fencing token that was seen.
    pub fn highest_token(&self) -> u64 {
        self.fence.highest(&self.lease).unwrap_or(0)
    }

    /// Ends the session, and follows no upstream until [`Upstream::resume`].
    pub fn suspend(&mut self, now: Time, outputs: &mut Vec<Output>) {
        self.end_attempts(now, outputs);
        self.leave(now, CloseReason::Replaced, outputs);
        self.state = State::BackingOff {
            until: f64::INFINITY,
        };
    }

    /// Follows an upstream again, after [`Upstream::suspend`].
    pub fn resume(&mut self, now: Time) {
        if let State::BackingOff { until } = &mut self.state {
            *until = until.min(now + self.rng.uniform(0.0, self.config.reconnect_jitter));
        }
    }

    /// Leaves an upstream that has sent everything, excludes it for `exclusion` seconds, and follows another one at
    /// once.
    pub fn switch_upstream(&mut self, now: Time, exclusion: Time, outputs: &mut Vec<Output>) {
        let State::Following(session) = &self.state else {
            return;
        };
        let peer = session.link.peer();
        self.leave(now, CloseReason::Replaced, outputs);
        self.candidates.exclude_until(peer, now + exclusion);
        self.state = State::BackingOff { until: now };
    }

    /// Leaves the upstream; another one is picked after a backoff.
    pub fn leave(&mut self, now: Time, reason: CloseReason, outputs: &mut Vec<Output>) {
        let backoff = match reason {
            CloseReason::ProtocolViolation | CloseReason::RateExceeded => VIOLATION_BACKOFF,
            CloseReason::CapacityExceeded => NO_CAPACITY_BACKOFF,
            CloseReason::Fenced => self.config.max_backoff,
            CloseReason::UnknownSession
            | CloseReason::Replaced
            | CloseReason::TimedOut
            | CloseReason::Stale => 0.0,
        };
        if let State::Following(session) = &mut self.state {
            session.link.send_unreliable(
                now,
                &Payload::Close {
                    reason,
                    retry_after_ms: 0,
                },
                outputs,
            );
        }
        self.end_session(now, reason, backoff, outputs);
    }

    fn end_session(
        &mut self,
        now: Time,
        reason: CloseReason,
        backoff: Time,
        outputs: &mut Vec<Output>,
    ) {
        if !matches!(self.state, State::Following(_)) {
            return;
        }
        let previous = std::mem::replace(&mut self.state, State::BackingOff { until: now });
        let State::Following(session) = previous else {
            return;
        };
        let is_silent = now >= self.silent_at(&session);
        self.record_failure(
            now,
            session.link.peer(),
            reason,
            is_silent,
            backoff,
            outputs,
        );
        if reason == CloseReason::Stale && !session.has_progressed {
            self.stale_factor = (2.0 * self.stale_factor).min(MAX_STALE_FACTOR);
        }
        let delay = if session.link.is_answered() {
            self.reconnect_delay()
        } else {
            self.backoff_after_failures(0.0)
        };
        self.state = State::BackingOff { until: now + delay };
        self.bucket = session.link.bucket().clone();
        self.reports.requeue(session.reports);
        self.subscriptions.reset_for_new_session();
    }

    /// Records a failed candidate, which is avoided for `backoff` seconds.
    fn record_failure(
        &mut self,
        now: Time,
        upstream: PeerId,
        reason: CloseReason,
        is_silent: bool,
        backoff: Time,
        outputs: &mut Vec<Output>,
    ) {
        self.candidates.exclude_until(upstream, now + backoff);
        if reason != CloseReason::Replaced {
            let is_violation = matches!(
                reason,
                CloseReason::ProtocolViolation | CloseReason::RateExceeded
            );
            self.candidates
                .record_failure(upstream, now, is_violation || is_silent);
        }
        outputs.push(Output::Event(Event::Left { upstream, reason }));
    }

    /// Jitter before the next attempt, which spreads the reconnections of the children of a failed relay.
    fn reconnect_delay(&mut self) -> Time {
        self.rng.uniform(
            0.0,
            self.config.reconnect_jitter.min(self.config.max_backoff),
        )
    }

    /// Sends what is due; picks an upstream after a backoff, and leaves one that has failed.
    pub fn poll(&mut self, now: Time, outputs: &mut Vec<Output>) {
        match &self.state {
            State::BackingOff { until } if now >= *until => {
                self.state = State::Opening(SessionAttempts::new(now));
            }
            State::BackingOff { .. } | State::Opening(_) => {}
            State::Following(session) => {
                if let Some(reason) = self.session_fault(now, session) {
                    self.leave(now, reason, outputs);
                }
            }
        }
        self.end_timed_out_attempts(now, outputs);
        self.begin_attempt_if_due(now, outputs);
        let State::Following(session) = &mut self.state else {
            return;
        };
        session.link.retransmit_if_due(now, outputs);
        session.send_next(now, &mut self.subscriptions, &mut self.reports, outputs);
        session.link.flush_acknowledgement(now, outputs);
        if now >= session.link.last_sent_at() + self.config.keepalive_interval {
            session
                .link
                .send_unreliable(now, &Payload::Acknowledge, outputs);
        }
    }

    /// The reason to leave the upstream, if it is silent or stale, or if too many subscriptions have ended in the
    /// session.
    fn session_fault(&self, now: Time, session: &Session) -> Option<CloseReason> {
        if now >= self.silent_at(session) {
            return Some(CloseReason::TimedOut);
        }
        if now >= self.stale_at(session) {
            return Some(CloseReason::Stale);
        }
        session
            .has_too_many_ended()
            .then_some(CloseReason::Replaced)
    }

    fn silent_at(&self, session: &Session) -> Time {
        session.link.last_received_at() + self.config.silence_timeout
    }

    /// When the upstream counts as stale. The timeout grows with each stale upstream in a row: while all relays are
    /// partitioned, their children would otherwise switch between them in vain.
    fn stale_at(&self, session: &Session) -> Time {
        if self.candidates.has_others() {
            session.progress_at + self.stale_factor * self.config.stale_timeout
        } else {
            f64::INFINITY
        }
    }

    /// The backoff that an upstream requests, within the configured limit.
    fn requested_backoff(&self, retry_after_ms: u32) -> Time {
        let backoff = f64::from(retry_after_ms) / 1e3;
        backoff.min(self.config.max_backoff)
    }

    /// When something is due.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let session = match &self.state {
            State::BackingOff { until } => return *until,
            State::Opening(attempts) => {
                let available_at = self.candidates.available_at(&attempts.peers());
                return attempts.next_wakeup(now, &self.bucket, available_at);
            }
            State::Following(session) => session,
        };
        let fault_at = self.silent_at(session).min(self.stale_at(session));
        let keepalive = session.link.last_sent_at() + self.config.keepalive_interval;
        let keepalive = keepalive.max(session.link.ready_at(now, 0));
        let has_work = session.link.is_idle()
            && session.has_pending_payloads(&self.subscriptions, &self.reports);
        let payload = if has_work {
            session.link.ready_at(now, session.link.max_payload_bytes())
        } else {
            f64::INFINITY
        };
        fault_at
            .min(keepalive)
            .min(payload)
            .min(session.link.next_wakeup(now))
    }
}
