//! Clients, and the front end that distributes their requests to nodes.

use super::model::{ClientAttempt, ClientAttemptId, Event, NodeId, NodeIncarnation};
use super::{World, ANSWER_SLACK, START};
use crate::streams::sample_lognormal;
use crate::violations::Rule;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use reelfall_balancer::engine::{Arrival, FinalAnswer};
use reelfall_balancer::interface::{ClassId, Idempotency, Time, ZoneId};

/// Coefficient of variation of the work hint of a request around its work.
const HINT_VARIATION: f64 = 0.5;
/// Coefficient of variation of the work of requests of one class.
const WORK_VARIATION: f64 = 0.5;
/// Timeout of an impatient client, as a fraction of the usual one.
const IMPATIENT_TIMEOUT_RATIO: f64 = 1.0 / 3.0;
/// Minimum time before the deadline at which a client still retries, in seconds.
const MIN_RETRY_TIME: Time = 0.02;

impl World {
    /// Sends a new request of a client, and schedules the next one.
    pub(super) fn send_new_request(&mut self) {
        let now = self.queue.now();
        if now > START + self.plan.duration {
            return;
        }
        let factor = if now < self.surge.until {
            self.surge.value
        } else {
            1.0
        };
        let gap = Exp::new(self.request_rate * factor);
        let gap = gap.map_or(1.0, |distribution| {
            distribution.sample(&mut self.client_random)
        });
        self.queue.schedule(now + gap, Event::NewRequest);
        let request = self.sample_request(now);
        let weight = self.plan.classes[request.class].priority_weight;
        let second = self.report.second_at(now - START);
        second.offered_weight += weight * request.work;
        second.requests += 1;
        let id = self.client_attempts.len();
        self.client_attempts.push(request);
        self.queue.schedule(now, Event::ClientAttempt(id));
    }

    fn sample_request(&mut self, now: Time) -> ClientAttempt {
        let class = self.sample_class();
        let plan_class = &self.plan.classes[class];
        let random = &mut self.client_random;
        let work = sample_lognormal(random, plan_class.mean_work, WORK_VARIATION);
        let work_hint = sample_lognormal(random, work, HINT_VARIATION);
        let zone = u16::from(random.random::<f64>() >= self.first_zone_fraction);
        let is_impatient = random.random::<f64>() < self.plan.impatient_fraction;
        let timeout_ratio = if is_impatient {
            IMPATIENT_TIMEOUT_RATIO
        } else {
            1.0
        };
        let timeout = plan_class.deadline * self.plan.client_timeout_ratio * timeout_ratio;
        let client_deadline = now + plan_class.deadline;
        ClientAttempt {
            class,
            work,
            work_hint,
            zone,
            first_sent_at: now,
            retries: 0,
            node: None,
            client_deadline,
            timeout,
            deadline: client_deadline.min(now + timeout),
            is_answered: false,
            executions: 0,
        }
    }

    fn sample_class(&mut self) -> usize {
        let mut point = self.client_random.random::<f64>();
        let class = self.plan.classes.iter().position(|class| {
            point -= class.request_fraction;
            point < 0.0
        });
        class.unwrap_or(0)
    }

    /// Selects a node as the front end does: a random one of the client's zone, or of any zone if there is none.
    fn select_node(&mut self, zone: ZoneId) -> Option<NodeId> {
        let now = self.queue.now();
        let failover_delay = self.plan.failover_delay;
        let all: Vec<NodeId> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].takes_requests(now, failover_delay))
            .collect();
        let mut nodes = all.clone();
        nodes.retain(|node| self.nodes[*node].zone == zone);
        if nodes.is_empty() {
            nodes = all;
        }
        let weight = self.plan.first_node_weight;
        let first_node_probability = weight / (weight + nodes.len() as f64 - 1.0);
        let has_first = nodes.first() == Some(&0) && weight > 1.0;
        if has_first && self.client_random.random::<f64>() < first_node_probability {
            return Some(0);
        }
        let random = &mut self.client_random;
        (!nodes.is_empty()).then(|| nodes[random.random_range(0..nodes.len())])
    }

    /// Sends a request of a client to a node. If no node is available, nothing is executed and the client retries.
    pub(super) fn send_client_attempt(&mut self, id: ClientAttemptId) {
        let now = self.queue.now();
        let selected = self.select_node(self.client_attempts[id].zone);
        self.report.second_at(now - START).client_attempts += 1;
        let Some(node) = selected.filter(|node| self.nodes[*node].engine.is_some()) else {
            self.client_attempts[id].is_answered = true;
            return self.retry(id, None);
        };
        let incarnation = self.nodes[node].incarnation;
        let sent = &mut self.client_attempts[id];
        sent.node = Some(NodeIncarnation { node, incarnation });
        let arrival = Arrival {
            class: sent.class as ClassId,
            tenant: Some(0),
            work_hint: Some(sent.work_hint),
            key: None,
            deadline: sent.deadline,
            time_after_upload: None,
        };
        self.drive(node, |engine, now, commands| {
            engine.submit(now, id, id, arrival, commands);
        });
    }

    /// Schedules a retry by the client, if its retry limit and deadline permit.
    pub(super) fn retry(&mut self, id: ClientAttemptId, retry_after: Option<Time>) {
        let now = self.queue.now();
        let retries = self.plan.client_retries;
        let retry_after = retry_after
            .filter(|_| self.client_random.random::<f64>() < retries.respecting_retry_after);
        let at = now + retry_after.unwrap_or(retries.pause);
        let previous = &self.client_attempts[id];
        if previous.retries >= retries.max || at >= previous.client_deadline - MIN_RETRY_TIME {
            return;
        }
        let next = ClientAttempt {
            retries: previous.retries + 1,
            node: None,
            is_answered: false,
            executions: 0,
            deadline: previous.client_deadline.min(at + previous.timeout),
            ..*previous
        };
        self.client_attempts.push(next);
        self.queue
            .schedule(at, Event::ClientAttempt(self.client_attempts.len() - 1));
    }

    /// Delivers a final answer to a client.
    pub(super) fn receive_answer(&mut self, id: ClientAttemptId, answer: &FinalAnswer<()>) {
        let now = self.queue.now();
        let attempt = &mut self.client_attempts[id];
        if std::mem::replace(&mut attempt.is_answered, true) {
            return self.report.violations.record(now, Rule::AnsweredTwice, id);
        }
        if now > attempt.deadline + ANSWER_SLACK {
            self.report.violations.record(now, Rule::Unanswered, id);
        }
        let class = &self.plan.classes[attempt.class];
        let idempotency = class.idempotency;
        match answer {
            FinalAnswer::Served(()) => self.count_served(id),
            FinalAnswer::Rejected { retry_after } => {
                let may_have_run = attempt.executions > 0;
                self.report.second_at(now - START).rejected += 1;
                if idempotency == Idempotency::AtMostOnce && may_have_run {
                    self.report.violations.record(now, Rule::RepeatedEffect, id);
                }
                self.retry(id, *retry_after);
            }
            FinalAnswer::Failed(_) => {
                self.report.second_at(now - START).failed += 1;
                if idempotency == Idempotency::Idempotent {
                    self.retry(id, None);
                }
            }
        }
    }

    /// Counts a served request. The earned weight counts for the second in which the request was first sent.
    fn count_served(&mut self, id: ClientAttemptId) {
        let now = self.queue.now();
        let served = &self.client_attempts[id];
        let class = &self.plan.classes[served.class];
        if now - served.first_sent_at <= class.latency_objective {
            let earned = class.priority_weight * served.work;
            self.report
                .second_at(served.first_sent_at - START)
                .earned_weight += earned;
        } else {
            self.report.second_at(now - START).late += 1;
        }
    }

    /// Checks that every request was answered by its deadline, unless its node went down.
    pub(super) fn check_answers(&mut self) {
        let now = self.queue.now();
        for (id, attempt) in self.client_attempts.iter().enumerate() {
            let node_is_same = attempt
                .node
                .is_some_and(|of| self.nodes[of.node].incarnation == of.incarnation);
            let is_due = attempt.deadline + ANSWER_SLACK < now;
            if !attempt.is_answered && node_is_same && is_due {
                self.report
                    .violations
                    .record(attempt.deadline, Rule::Unanswered, id);
            }
        }
    }
}
