//! What is known of a server: its answers, failures and silences, and when it is left out.

use super::admission::{early, LATE_FROM};
use super::state::*;
use crate::interface::*;

/// Step of the share of answers past the aim, inside and outside the zone.
const MISSED_STEP: f64 = 0.05;

/// Most of the list that ejection may mask, so that a trouble common to all ejects nobody in effect.
const EJECT_CAP: f64 = 0.2;

/// The same for servers that can't be reached: a zone may be lost.
const DEAD_CAP: f64 = 0.5;

/// Longest doubling of an ejection.
const EJECT_DOUBLINGS: u32 = 3;

impl Balancer {
    pub(super) fn learn(&mut self, now: Time, r: &Request, out: &Attempt, outcome: Outcome) {
        let Some(i) = self.at(out.server, out.stay) else {
            return;
        };
        let mean = self.mean(now);
        // One that ends while its body comes has waited for nothing.
        let (sent, waited) = (out.sent.min(now), (now - out.sent).max(0.0));
        let (aim, class) = (
            self.settings.classes[r.class as usize].latency_objective,
            r.class as usize,
        );
        let s = &mut self.servers[i];
        s.open = s.open.saturating_sub(1);
        s.overdue = s.overdue.saturating_sub(u32::from(out.overdue));
        let suspect = !s.sound && !self.common;
        let (response, far) = (waited / r.size, self.far(i));
        match outcome {
            Outcome::Served => {
                self.missed[far] += MISSED_STEP * (f64::from(waited > aim) - self.missed[far]);
                let s = &mut self.servers[i];
                s.heard = s.heard.max(sent);
                s.overdue = 0;
                self.automaton.observe(i, response);
                if response <= mean {
                    self.automaton.reward(i);
                }
                if response <= OVERDUE * mean {
                    let s = &mut self.servers[i];
                    (s.strikes, s.failing, s.sound, s.dead) = (0, false, true, false);
                }
                self.delivered += r.work;
                self.tally[r.row].served += r.work;
                if !r.hinted {
                    // The class's own response stands in for its work.
                    self.class_work[class] += 0.02 * (waited - self.class_work[class]);
                }
            }
            Outcome::NotSent | Outcome::Cancelled => return,
            // The client's time was short: that tells nothing of the server but that it takes longer, and
            // nothing of the load. Taken for failures, a few hurried clients would eject a sound fleet.
            Outcome::TimedOut if self.servers[i].heard > out.sent => return,
            Outcome::TimedOut if waited < (OVERDUE * mean * r.size).min(aim) => {
                return self
                    .automaton
                    .observe(i, response.max(self.automaton.average[i]));
            }
            // A quick error answer must not win payoffs: it is a miss, charged at least the aim.
            _ => {
                self.automaton.observe(i, waited.max(aim) / r.size);
                // One broken connection, spoilt or overlong answer can come from any server; the second in a
                // row, silence to the end, or an error that the server itself states tells of a sick one.
                let again = self.servers[i].strikes > u32::from(out.overdue)
                    || outcome == Outcome::TimedOut;
                let failing = outcome == Outcome::Error || (outcome != Outcome::Rejected && again);
                let silent = self.servers[i].strikes > 1 + u32::from(out.overdue);
                let dead =
                    outcome == Outcome::ConnectFailed || (silent && outcome == Outcome::TimedOut);
                self.strike(now, i, failing, dead);
            }
        }
        let late = outcome != Outcome::Served
            || waited > early(aim, self.base * r.size).max(LATE_FROM * aim);
        // What a server already known to fail does says nothing of the fleet's load.
        let told = matches!(
            outcome,
            Outcome::Error | Outcome::ConnectionLost | Outcome::ConnectFailed
        );
        if !late || (!suspect && !out.overdue && !told) {
            self.pressure(now, late);
        }
    }

    /// Ejection, when an attempt fails or is overdue: of the `dead`, more may be out. Each strike in a row
    /// doubles the time, jittered so that nodes do not return together.
    fn strike(&mut self, now: Time, i: usize, failing: bool, dead: bool) {
        let ejected = self
            .servers
            .iter()
            .filter(|s| s.ejected_until > now)
            .count();
        let base = if failing {
            4.0 * self.shortest(|c| c.deadline)
        } else {
            self.shortest(|c| c.latency_objective)
        };
        let jitter = 0.75 + 0.5 * self.random();
        let cap = f64::from(dead) * DEAD_CAP * self.servers.len() as f64;
        let room = (ejected + 1) as f64 <= self.ejectable().max(cap);
        let s = &mut self.servers[i];
        s.sound = false;
        if room {
            s.dead |= dead;
            s.failing |= failing;
            let doubled = f64::from(1u32 << s.strikes.min(EJECT_DOUBLINGS));
            s.ejected_until = s.ejected_until.max(now + base * jitter * doubled);
        }
        s.strikes += 1;
    }

    /// What the nodes of a fleet hold of a server together, until then; this one may try it now.
    pub(super) fn told(&mut self, server: ServerId, until: Time, tries: bool) {
        if let Some(i) = self.slot.get(server) {
            (self.servers[i].told_until, self.servers[i].tries) = (until, tries);
        }
    }

    /// How many servers ejection may mask; one of a short list.
    pub(super) fn ejectable(&self) -> f64 {
        (EJECT_CAP * self.servers.len() as f64).max(1.0)
    }

    /// A hung server answers nothing and so would never lose share: attempts out beyond `OVERDUE` means are
    /// charged and struck before they end.
    pub(super) fn charge_overdue(&mut self, now: Time) {
        let mean = self.mean(now);
        let mut struck = Vec::new();
        for r in self.requests.values_mut() {
            let Some(out) = r.out.as_mut().filter(|o| !o.overdue) else {
                continue;
            };
            let aim = self.settings.classes[r.class as usize].latency_objective;
            if now - out.sent > (OVERDUE * mean * r.size).clamp(early(aim, self.base * r.size), aim)
            {
                out.overdue = true;
                struck.push((out.server, out.stay, out.sent, (now - out.sent) / r.size));
            }
        }
        for (server, stay, sent, waited) in struck {
            if let Some(i) = self
                .at(server, stay)
                .filter(|i| self.servers[*i].heard <= sent)
            {
                if self.common || self.servers[i].sound {
                    self.pressure(now, true);
                }
                self.automaton.observe(i, waited);
                self.servers[i].overdue += 1;
                self.strike(now, i, false, false);
            }
        }
    }
}
