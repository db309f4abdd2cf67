//! Opening a session: candidates are tried until the first one answers.

use super::{State, Upstream};
use crate::close_reason::CloseReason;
use crate::link::Link;
use crate::message::{Payload, Received};
use crate::output::{Event, Output};
use crate::session::Session;
use crate::token_bucket::TokenBucket;
use crate::Time;

impl Upstream {
    /// Follows a candidate that has answered, unless it rejected the session.
    pub(super) fn take_answer(
        &mut self,
        now: Time,
        received: &Received,
        outputs: &mut Vec<Output>,
    ) {
        let State::Opening(attempts) = &mut self.state else {
            return;
        };
        let Some(link) = attempts.take_answered(received.from, received.head.session) else {
            return;
        };
        if let Payload::Close {
            reason,
            retry_after_ms,
        } = &received.payload
        {
            let is_last = attempts.is_empty();
            self.record_failure(
                now,
                received.from,
                *reason,
                false,
                self.requested_backoff(*retry_after_ms),
                outputs,
            );
            if is_last {
                self.state = State::BackingOff {
                    until: now + self.reconnect_delay(),
                };
            }
            return;
        }
        self.end_attempts(now, outputs);
        let link = link.with_bucket(self.bucket.clone());
        let receive_budget = TokenBucket::new(self.config.receive_budget, now);
        self.state = State::Following(Box::new(Session::new(link, receive_budget, now)));
    }

    /// Ends the attempts in progress.
    pub(super) fn end_attempts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Opening(attempts) = &mut self.state else {
            return;
        };
        for peer in attempts.end_all(now, &mut self.bucket, outputs) {
            self.record_failure(now, peer, CloseReason::Replaced, false, 0.0, outputs);
        }
    }

    pub(super) fn end_timed_out_attempts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Opening(attempts) = &mut self.state else {
            return;
        };
        let timed_out = attempts.end_timed_out(now, &mut self.bucket, outputs);
        let none_left = attempts.is_empty() && !timed_out.is_empty();
        let time_saved = attempts.time_saved(&self.config);
        for peer in timed_out {
            self.record_failure(now, peer, CloseReason::TimedOut, true, 0.0, outputs);
        }
        if none_left {
            self.state = State::BackingOff {
                until: now + self.backoff_after_failures(time_saved),
            };
        }
    }

    /// Tries one more candidate, if that is due.
    pub(super) fn begin_attempt_if_due(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Opening(attempts) = &mut self.state else {
            return;
        };
        attempts.retransmit(now, &mut self.bucket, outputs);
        if now < attempts.next_at() {
            return;
        }
        let attempted = attempts.peers();
        let Some(peer) = self.candidates.pick(now, &attempted, &mut self.rng) else {
            if attempted.is_empty() {
                let available_at = self.candidates.available_at(&attempted).max(now);
                let until = available_at + self.rng.uniform(0.0, self.config.reconnect_jitter);
                self.state = State::BackingOff { until };
            }
            return;
        };
        let link = Link::new(
            peer,
            self.rng.next_u64(),
            true,
            self.config.send_budget,
            now,
        );
        if attempts.begin(now, link, &self.config, &mut self.bucket, outputs) {
            outputs.push(Output::Event(Event::Following(peer)));
        }
    }

    /// The backoff after attempts that no candidate answered.
    ///
    /// | candidates | backoff |
    /// | --- | --- |
    /// | one of them may still answer | none: the jitter after the lost upstream has spread the children already |
    /// | all have timed out or violated the protocol | between half of `max_backoff` and all of it, plus the time saved by parallel attempts, up to `max_backoff` in all |
    ///
    /// This limits the sessions that are opened at once when the relays run again.
    pub(super) fn backoff_after_failures(&mut self, time_saved: Time) -> Time {
        if !self.candidates.all_unusable() {
            return 0.0;
        }
        let longest = self.config.max_backoff;
        (self.rng.uniform(longest / 2.0, longest) + time_saved).min(longest)
    }
}
