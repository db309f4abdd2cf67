//! The timers of the membership protocol, which a bad local health score extends, and notices to suspected members.

use super::library::RequestedTimer;
use super::Members;
use crate::node::Node;
use crate::wire::{MemberState, MemberUpdate};
use crate::{Time, MICROS_PER_SECOND};
use foca::Timer;
use std::time::Duration;

/// Number of notices that a node sends to a member that it suspects.
const SUSPICION_NOTICES: u32 = 3;

/// Orders timers by the time at which they are due, then by the order in which they were set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    /// When the timer is due, in microseconds of the node's clock.
    due_us: u64,
    number: u64,
}

impl Members {
    /// When [`Members::tick`] or [`Members::next_suspicion_notice`] has to be called next.
    pub fn deadline(&self) -> Option<Time> {
        let timer = self.timers.first_key_value().map(|(key, _)| key.due_us);
        let notice = self
            .suspicion_notices
            .first_key_value()
            .map(|(key, _)| key.due_us);
        [timer, notice]
            .into_iter()
            .flatten()
            .min()
            .map(|due_us| due_us as f64 / MICROS_PER_SECOND)
    }

    /// Handles the timers that are due at `now`.
    pub fn tick(&mut self, now: Time) {
        while let Some(first) = self.timers.first_entry() {
            let due_us = first.key().due_us;
            if due_us > (now * MICROS_PER_SECOND) as u64 {
                break;
            }
            let timer = first.remove();
            let is_late = now - due_us as f64 / MICROS_PER_SECOND > self.config.probe_timeout;
            if is_late && matches!(timer, Timer::ChangeSuspectToDown { .. }) {
                // This process was paused and may have lost the member's refutation, so the timeout starts again.
                let after = Duration::from_secs_f64(self.config.suspicion_timeout);
                self.output.timers.push(RequestedTimer { timer, after });
            } else {
                self.handle_timer(now, timer);
            }
            self.process_output(now);
        }
    }

    fn handle_timer(&mut self, now: Time, timer: Timer<Node>) {
        let is_probe = matches!(timer, Timer::ProbeRandomMember(_));
        self.output.failed_probes = 0;
        // A late timer makes the library return an error, after which it continues with the next probe.
        let _ = self.library.handle_timer(timer, &mut self.output);
        if !is_probe {
            return;
        }
        let started = std::mem::replace(&mut self.probe_started_at, now);
        if self.output.failed_probes == 0 {
            self.health_score = self.health_score.saturating_sub(1);
        } else if self.last_contact < started {
            self.degrade_health();
        }
    }

    /// Removes and returns the next notice to a suspected member that is due.
    ///
    /// This is Lifeguard's buddy system: by gossip alone, a suspected member of a large fleet may learn of the
    /// suspicion too late to refute it.
    pub fn next_suspicion_notice(&mut self, now: Time) -> Option<MemberUpdate> {
        let first = self.suspicion_notices.first_entry()?;
        let is_due = first.key().due_us <= (now * MICROS_PER_SECOND) as u64;
        is_due.then(|| first.remove())
    }

    /// Schedules the notices to a suspected member, evenly distributed over its suspicion timeout.
    fn schedule_notices(&mut self, now: Time, timer: &Timer<Node>, time: Time) {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return;
        };
        for index in 0..SUSPICION_NOTICES {
            let due = now + time * f64::from(index) / f64::from(SUSPICION_NOTICES);
            let notice = MemberUpdate {
                node: member_id.clone(),
                swim_incarnation: *incarnation,
                state: MemberState::Suspected,
            };
            let key = self.next_timer_key((due * MICROS_PER_SECOND) as u64);
            self.suspicion_notices.insert(key, notice);
        }
    }

    pub(super) fn set_timer(&mut self, now: Time, requested: RequestedTimer) {
        let RequestedTimer { timer, after } = requested;
        let is_extended = matches!(
            timer,
            Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. }
        );
        let factor = if is_extended {
            f64::from(1 + self.health_score)
        } else {
            1.0
        };
        let time = after.as_secs_f64() * factor;
        let due_us = ((now + time) * MICROS_PER_SECOND) as u64;
        self.schedule_notices(now, &timer, time);
        let key = self.next_timer_key(due_us);
        self.timers.insert(key, timer);
    }

    fn next_timer_key(&mut self, due_us: u64) -> TimerKey {
        self.last_timer_number += 1;
        TimerKey {
            due_us,
            number: self.last_timer_number,
        }
    }

    pub(super) fn degrade_health(&mut self) {
        self.health_score = (self.health_score + 1).min(self.config.max_health_score);
    }
}
