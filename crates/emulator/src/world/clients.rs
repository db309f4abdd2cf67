//! Clients and the front: what is asked, of which node, and what clients make of the answers.

use super::*;

impl World {
    pub(super) fn ask(&mut self) {
        let now = self.queue.now();
        if now > BEGINS + self.plan.length {
            return;
        }
        let next = Exp::new(
            self.rate
                * if now < self.surge.1 {
                    self.surge.0
                } else {
                    1.0
                },
        )
        .map_or(1.0, |d| d.sample(&mut self.clients));
        self.queue.put(now + next, Event::Asks);
        let mut at = self.clients.random::<f64>();
        let class = self.plan.classes.iter().position(|c| {
            at -= c.share;
            at < 0.0
        });
        let class = class.unwrap_or(0);
        let c = &self.plan.classes[class];
        let (mean, worth, deadline) = (c.work, c.worth, c.deadline);
        let work = lognormal(&mut self.clients, mean, WORK_CV);
        let hint = lognormal(&mut self.clients, work, HINT_CV);
        let zone = u16::from(self.clients.random::<f64>() >= self.shift);
        let hurried = self.clients.random::<f64>() < self.plan.hurried;
        let second = self.report.at(now - BEGINS);
        second.asked += worth * work;
        second.first += 1;
        let id = self.tries.len();
        let patience = deadline * self.plan.patience * if hurried { 1.0 / 3.0 } else { 1.0 };
        let until = now + deadline;
        self.tries.push(Try {
            class,
            work,
            hint,
            zone,
            first: now,
            number: 0,
            node: None,
            until,
            patience,
            deadline: until.min(now + patience),
            answered: false,
            ran: 0,
        });
        self.queue.put(now, Event::Tries(id));
    }

    /// The front picks a node of the client's zone; that one has died is noticed late.
    pub(super) fn pick(&mut self, zone: ZoneId) -> Option<NodeId> {
        let (now, front) = (self.queue.now(), self.plan.front);
        let open = |n: &Node| {
            (n.engine.is_some() || now - n.died < front)
                && n.shunned <= now
                && n.stops.iter().all(|(from, to)| now < *from || now >= *to)
        };
        let near: Vec<NodeId> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].zone == zone && open(&self.nodes[*n]))
            .collect();
        let all = || {
            (0..self.nodes.len())
                .filter(|n| open(&self.nodes[*n]))
                .collect()
        };
        let from: Vec<NodeId> = if near.is_empty() { all() } else { near };
        // The first node may have a share of its own.
        let heavy = self.plan.heavy / (self.plan.heavy + from.len() as f64 - 1.0);
        if from.first() == Some(&0) && self.plan.heavy > 1.0 && self.clients.random::<f64>() < heavy
        {
            return Some(0);
        }
        (!from.is_empty()).then(|| from[self.clients.random_range(0..from.len())])
    }

    pub(super) fn try_once(&mut self, id: TryId) {
        let now = self.queue.now();
        let picked = self.pick(self.tries[id].zone);
        self.report.at(now - BEGINS).tries += 1;
        let Some(n) = picked.filter(|n| self.nodes[*n].engine.is_some()) else {
            // Nobody is there: nothing has run.
            self.tries[id].answered = true;
            return self.again(id, None);
        };
        let life = self.nodes[n].life;
        let t = &mut self.tries[id];
        t.node = Some((n, life));
        let arrival = Arrival {
            class: t.class as ClassId,
            tenant: Some(0),
            work_hint: Some(t.hint),
            key: None,
            deadline: t.deadline,
            time_after_upload: None,
        };
        self.drive(n, |engine, now, out| {
            engine.submit(now, id, id, arrival, out);
        });
    }

    /// The client tries again, if it does and there is time.
    pub(super) fn again(&mut self, id: TryId, retry_after: Option<Time>) {
        let (now, (most, pause, follows)) = (self.queue.now(), self.plan.retries);
        let advice = retry_after.filter(|_| self.clients.random::<f64>() < follows);
        let at = now + advice.unwrap_or(pause);
        let t = &self.tries[id];
        if t.number >= most || at >= t.until - 0.02 {
            return;
        }
        let next = Try {
            number: t.number + 1,
            node: None,
            answered: false,
            ran: 0,
            deadline: t.until.min(at + t.patience),
            ..*t
        };
        self.tries.push(next);
        self.queue.put(at, Event::Tries(self.tries.len() - 1));
    }

    /// A try has its final answer.
    pub(super) fn answer(&mut self, id: TryId, answer: &FinalAnswer<()>) {
        let now = self.queue.now();
        let class = &self.plan.classes[self.tries[id].class];
        let (aim, worth, effect) = (class.aim, class.worth, class.effect);
        let t = &mut self.tries[id];
        if std::mem::replace(&mut t.answered, true) {
            return self.report.rules.breach(now, Broken::AnsweredTwice, id);
        }
        if now > t.deadline + SLACK {
            self.report.rules.breach(now, Broken::Unanswered, id);
        }
        let (work, first, ran) = (t.work, t.first, t.ran);
        let second = self.report.at(now - BEGINS);
        match answer {
            FinalAnswer::Served(()) if now - first <= aim => {
                self.report.at(first - BEGINS).earned += worth * work
            }
            FinalAnswer::Served(()) => second.late += 1,
            FinalAnswer::Rejected { retry_after } => {
                second.refused += 1;
                if effect == Idempotency::AtMostOnce && ran > 0 {
                    self.report.rules.breach(now, Broken::RanTwice, id);
                }
                self.again(id, *retry_after);
            }
            FinalAnswer::Failed(_) => {
                second.failed += 1;
                if effect == Idempotency::Idempotent {
                    self.again(id, None);
                }
            }
        }
    }

    /// Whatever a node took and lived to answer has its answer.
    pub(super) fn judge_answers(&mut self) {
        let now = self.queue.now();
        for (id, t) in self.tries.iter().enumerate() {
            let lived = t.node.is_some_and(|(n, life)| self.nodes[n].life == life);
            if !t.answered && lived && t.deadline + SLACK < now {
                self.report.rules.breach(t.deadline, Broken::Unanswered, id);
            }
        }
    }
}
