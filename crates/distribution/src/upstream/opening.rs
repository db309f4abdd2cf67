//! How a session is begun: candidates are asked one after the other until the first answers.

use super::{State, Upstream};
use crate::bucket::Bucket;
use crate::link::Link;
use crate::message::{Payload, Received};
use crate::output::{Event, Output};
use crate::session::Session;
use crate::session_end::Reason;
use crate::Time;

impl Upstream {
    /// Follows who has answered first, unless the answer is a refusal.
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
        if let Payload::Close { why, rest_ms } = &received.payload {
            let is_last = attempts.is_empty();
            self.failed(
                now,
                received.from,
                *why,
                false,
                self.rest_asked(*rest_ms),
                outputs,
            );
            if is_last {
                self.state = State::Resting {
                    until: now + self.rest(),
                };
            }
            return;
        }
        self.end_attempts(now, outputs);
        let link = link.with_bucket(self.bucket.clone());
        let inflow = Bucket::new(self.rules.inflow, now);
        self.state = State::Following(Box::new(Session::new(link, inflow, now)));
    }

    /// Ends the attempts that are under way: somebody has answered, or nobody is to be followed.
    pub(super) fn end_attempts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Opening(attempts) = &mut self.state else {
            return;
        };
        for peer in attempts.end_all(now, &mut self.bucket, outputs) {
            self.failed(now, peer, Reason::Replaced, false, 0.0, outputs);
        }
    }

    pub(super) fn end_late_attempts(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Opening(attempts) = &mut self.state else {
            return;
        };
        let late = attempts.end_late(now, &mut self.bucket, outputs);
        let none_left = attempts.is_empty() && !late.is_empty();
        let time_saved = attempts.time_saved(&self.rules);
        for peer in late {
            self.failed(now, peer, Reason::Silent, true, 0.0, outputs);
        }
        if none_left {
            self.state = State::Resting {
                until: now + self.rest_in_vain(time_saved),
            };
        }
    }

    /// Asks one more candidate for a session, if one is due.
    pub(super) fn begin_attempt(&mut self, now: Time, outputs: &mut Vec<Output>) {
        let State::Opening(attempts) = &mut self.state else {
            return;
        };
        attempts.repeat(now, &mut self.bucket, outputs);
        if now < attempts.next_at() {
            return;
        }
        let asked = attempts.peers();
        let Some(peer) = self.candidates.draw(now, &asked, &mut self.chance) else {
            if asked.is_empty() {
                let free_at = self.candidates.free_at(&asked).max(now);
                let until = free_at + self.chance.between(0.0, self.rules.spread);
                self.state = State::Resting { until };
            }
            return;
        };
        let link = Link::new(peer, self.chance.number(), true, self.rules.budget, now);
        if attempts.begin(now, link, &self.rules, &mut self.bucket, outputs) {
            outputs.push(Output::Event(Event::Following(peer)));
        }
    }

    /// How long to rest after attempts that nobody answered.
    ///
    /// | | rest |
    /// | --- | --- |
    /// | there is a candidate left that may answer | none: the rest after the upstream that was lost has spread the children already |
    /// | none of them has answered, or all broke the rules | between half of [`FollowRules::rest_most`] and all of it, and the time that was saved by asking them beside each other, up to `rest_most` together |
    ///
    /// Guards against more new sessions than relays take once they run again. Harm: a child alone waits, too.
    pub(super) fn rest_in_vain(&mut self, time_saved: Time) -> Time {
        if !self.candidates.all_unusable() {
            return 0.0;
        }
        let longest = self.rules.rest_most;
        (self.chance.between(longest / 2.0, longest) + time_saved).min(longest)
    }
}
