//! One request, from its arrival to the end of its last attempt.

use super::state::*;
use crate::interface::*;

/// Retries that a quiet stretch may save up: those of a second, within bounds. Hundreds of nodes that each
/// save ten would spend thousands at the moment when servers are full.
pub(super) const SAVED_LEAST: f64 = 2.0;
const SAVED_MOST: f64 = 10.0;

impl Balancer {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn arrive(
        &mut self,
        now: Time,
        id: RequestId,
        class: ClassId,
        tenant: Option<TenantId>,
        hint: Option<f64>,
        key: Option<u64>,
        left: Time,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        let c = class as usize;
        if c >= self.settings.classes.len() || !left.is_finite() || left <= 0.0 {
            return actions.push(Action::Reject {
                request: id,
                retry_after: None,
            });
        }
        let hint = hint.filter(|h| h.is_finite() && *h > 0.0);
        let work = hint.unwrap_or(self.class_work[c]);
        self.class_work[c] += 0.02 * (work - self.class_work[c]);
        self.typical += 0.01 * (work - self.typical);
        if let Some(k) = key {
            self.keys[k as usize % KEY_SLOTS] += 1.0;
        }
        self.came += 1.0;
        let over = tenant.is_some_and(|t| self.over_share(now, t));
        let row = 2 * c + usize::from(over);
        self.tally[row].asked += work;
        if !self.admitted(row) {
            return self.refuse(id, actions);
        }
        let request = Request {
            class,
            key,
            work,
            hinted: hint.is_some(),
            size: 0.5 + 0.5 * work / self.typical,
            deadline: now + left,
            row,
            ..Request::default()
        };
        let share = self.settings.limits.retry_budget_ratio;
        self.retries =
            (self.retries + share).min((share * self.arrivals).clamp(SAVED_LEAST, SAVED_MOST));
        self.requests.insert(id, request);
        if !self.send(now, id, actions) {
            self.requests.remove(&id);
            self.refuse(id, actions);
        }
    }

    fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let longest = self.settings.limits.max_retry_after;
        let retry_after = (longest > 0.0).then(|| longest * (0.5 + 0.5 * self.random()));
        actions.push(Action::Reject {
            request: id,
            retry_after,
        });
    }

    /// Draws a server and starts an attempt; false if no server may be used.
    pub(super) fn send(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(i) = self.draw(now, id) else {
            return false;
        };
        let mean = self.mean(now);
        let Some(r) = self.requests.get_mut(&id) else {
            return false;
        };
        let class = &self.settings.classes[r.class as usize];
        let server = self.servers[i].entry.server;
        let timeout = timeout(class, r, mean, self.servers[i].sound, now).filter(|_| {
            self.retries >= 1.0
                && self.admit >= 1.0
                && r.made + 1 < self.settings.limits.max_attempts
        });
        r.made += 1;
        r.tried.push(server);
        r.out = Some(Attempt {
            server,
            stay: self.servers[i].stay,
            sent: now,
            overdue: false,
        });
        self.servers[i].open += 1;
        self.servers[i].asked = now;
        self.servers[i].budget -= r.work;
        actions.push(Action::Attempt {
            request: id,
            server,
            timeout,
        });
        true
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn outcome(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        ended: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut r) = self.requests.remove(&id) else {
            return;
        };
        let Some(out) = r
            .out
            .take_if(|o| o.server == server && attempt + 1 == r.made)
        else {
            self.requests.insert(id, r);
            return;
        };
        let never_ran = matches!(
            outcome,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        self.learn(now, &r, &out, outcome);
        if !never_ran && r.ran.is_none() {
            let at = self.slot.get(server).map(|i| &self.servers[i].entry);
            let sent = out.sent.min(now);
            r.ran = Some(at.map_or((ZoneId::MAX, u32::MAX, sent), |e| (e.zone, e.cell, sent)));
        }
        if ended || r.answered {
            return;
        }
        let room = r.deadline - now > self.mean(now) * r.size / 2.0;
        let may = room
            && outcome != Outcome::NotSent
            && r.made < self.settings.limits.max_attempts
            && self.retries >= 1.0
            && self.repeatable(now, &r);
        let class = &self.settings.classes[r.class as usize];
        let all = matches!(
            class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: KeyScope::All,
                    ..
                }
        );
        let harmless = all || r.ran.is_none();
        self.requests.insert(id, r);
        if may && self.send(now, id, actions) {
            self.retries -= 1.0;
            return;
        }
        self.requests.remove(&id);
        if harmless {
            self.refuse(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    /// A body that comes slowly is its client's affair: a server is waited for from the last byte on.
    pub(super) fn upload(&mut self, now: Time, id: RequestId, left: Option<Time>) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = r.out.as_mut() else { return };
        out.sent = if left.is_some() { now } else { f64::MAX };
        r.deadline = left.map_or(r.deadline, |left| now + left);
    }

    /// Whether another attempt keeps "no effect twice"; where it may go is `draw`'s to mask.
    fn repeatable(&self, now: Time, r: &Request) -> bool {
        match (self.settings.classes[r.class as usize].idempotency, r.ran) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::AtMostOnce, Some(_)) => false,
            (Idempotency::Keyed { window, .. }, Some((_, _, first))) => now < first + window,
        }
    }
}

/// Time-out of an attempt that may be repeated, where that leaves room for another. At a server in doubt, an
/// overdue answer is more likely lost than late. At a sound one it is queued, and a repeat doubles the work:
/// it is waited for while another still has its time, lest a server just frozen keeps the request to its end.
fn timeout(class: &Class, r: &Request, mean: f64, sound: bool, now: Time) -> Option<Time> {
    let left = r.deadline - now;
    let another = OVERDUE * mean * r.size;
    let soon = another.max(class.latency_objective);
    let patience = if sound {
        soon.max(left - another)
    } else {
        soon
    };
    (class.idempotency != Idempotency::AtMostOnce && left - patience > mean * r.size)
        .then_some(patience)
}
