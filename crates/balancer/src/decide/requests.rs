//! A request from its arrival to the end of its last attempt: admission, attempts and retries.

use super::admission::Segment;
use super::Balancer;
use crate::interface::{
    Action, Class, ClassId, Idempotency, KeyScope, Outcome, RequestId, ServerId, TenantId, Time,
    ZoneId,
};

/// An attempt is overdue at this multiple of the mean response time for its size.
pub(super) const OVERDUE_FACTOR: f64 = 3.0;
/// `Retry-After` is drawn at random between this fraction of its maximum and the maximum.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.5;

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    pub(super) work_hint: Option<f64>,
    pub(super) key: Option<u64>,
    /// How much longer the client waits, in seconds.
    pub(super) remaining: Time,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEnd {
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    pub(super) outcome: Outcome,
    pub(super) request_ended: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// The server's list entry when the attempt was sent.
    pub(super) list_entry: u32,
    /// Since when the server is expected to respond; `f64::MAX` while a body is uploaded.
    pub(super) sent_at: Time,
    pub(super) is_overdue: bool,
}

/// Where and when the first attempt that may have run was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Execution {
    pub(super) zone: ZoneId,
    pub(super) cell: u32,
    pub(super) started_at: Time,
}

/// A request that has no final answer yet, or has an attempt in flight.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: ClassId,
    pub(super) key: Option<u64>,
    pub(super) segment: Segment,
    /// Its estimated work, in seconds on a standard core.
    pub(super) work: f64,
    /// The work was stated with the request and not estimated from its class.
    pub(super) has_work_hint: bool,
    /// Its expected response time as a multiple of that of a typical request.
    pub(super) relative_size: f64,
    pub(super) deadline: Time,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    pub(super) in_flight: Option<Attempt>,
    pub(super) tried_servers: Vec<ServerId>,
    /// The first attempt that may have run; `None` if none has.
    pub(super) first_execution: Option<Execution>,
    /// It has its final answer, or its client has disconnected.
    pub(super) has_ended: bool,
}

impl Request {
    /// Whether another attempt can be sent without repeating an effect. To which servers is decided by the selection.
    fn is_retryable(&self, idempotency: Idempotency, now: Time) -> bool {
        match (idempotency, self.first_execution) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::AtMostOnce, Some(_)) => false,
            (Idempotency::Keyed { window, .. }, Some(first)) => now < first.started_at + window,
        }
    }

    /// Whether the client may retry the request after a rejection without repeating an effect.
    fn is_safe_to_reject(&self, idempotency: Idempotency) -> bool {
        match idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::AtMostOnce => self.first_execution.is_none(),
        }
    }

    /// Returns the timeout of an attempt that can be retried, in seconds, if it leaves enough time for a retry.
    ///
    /// At an unproven server, an overdue response is more likely lost than late, so the timeout is short. At a proven
    /// one the request is probably queued and a retry doubles the work, so the timeout leaves just enough time for a
    /// retry at another server.
    fn attempt_timeout(
        &self,
        class: &Class,
        mean_response: Time,
        is_proven: bool,
        now: Time,
    ) -> Option<Time> {
        let remaining = self.deadline - now;
        let retry_time = OVERDUE_FACTOR * mean_response * self.relative_size;
        let shortest = retry_time.max(class.latency_objective);
        let timeout = if is_proven {
            shortest.max(remaining - retry_time)
        } else {
            shortest
        };
        let is_worthwhile = remaining - timeout > mean_response * self.relative_size;
        (class.idempotency != Idempotency::AtMostOnce && is_worthwhile).then_some(timeout)
    }
}

impl Balancer {
    /// Handles the arrival of a request.
    pub(super) fn handle_request(
        &mut self,
        now: Time,
        id: RequestId,
        arrival: Arrival,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&id) {
            return;
        }
        let class = usize::from(arrival.class);
        let remaining = arrival.remaining;
        if class >= self.settings.classes.len() || !remaining.is_finite() || remaining <= 0.0 {
            return actions.push(Action::Reject {
                request: id,
                retry_after: None,
            });
        }
        let work_hint = arrival
            .work_hint
            .filter(|hint| hint.is_finite() && *hint > 0.0);
        let work = self.work.record_arrival(class, work_hint);
        if let Some(key) = arrival.key {
            self.key_counts.record(key);
        }
        self.arrivals.record();
        let segment = Segment::new(class, self.is_over_quota(now, arrival.tenant));
        self.admission.record_offered(segment, work);
        if !self.is_admitted(segment) {
            return self.reject(id, actions);
        }
        let request = Request {
            class: arrival.class,
            key: arrival.key,
            segment,
            work,
            has_work_hint: work_hint.is_some(),
            relative_size: self.work.relative_size(work),
            deadline: now + remaining,
            ..Request::default()
        };
        let ratio = self.settings.limits.retry_budget_ratio;
        self.retry_budget.earn(ratio, self.arrivals.per_second());
        self.requests.insert(id, request);
        if !self.start_attempt(now, id, actions) {
            self.requests.remove(&id);
            self.reject(id, actions);
        }
    }

    fn is_over_quota(&mut self, now: Time, tenant: Option<TenantId>) -> bool {
        let traffic_fraction = self.traffic_fraction();
        tenant.is_some_and(|tenant| self.quotas.is_exceeded(now, tenant, traffic_fraction))
    }

    fn is_admitted(&mut self, segment: Segment) -> bool {
        if self.admission.admits_all() {
            return true;
        }
        let probability = self
            .admission
            .segment_probability(segment, &self.settings, &self.work);
        self.random.fraction() < probability
    }

    fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let max = self.settings.limits.max_retry_after;
        let retry_after = (max > 0.0).then(|| {
            let spread = 1.0 - MIN_RETRY_AFTER_FRACTION;
            max * (MIN_RETRY_AFTER_FRACTION + spread * self.random.fraction())
        });
        actions.push(Action::Reject {
            request: id,
            retry_after,
        });
    }

    /// Selects a server and starts an attempt there; returns false if no server is eligible.
    fn start_attempt(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(position) = self.select_server(now, id) else {
            return false;
        };
        let mean_response = self.mean_response(now);
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let class = &self.settings.classes[usize::from(request.class)];
        let server = &mut self.servers[position];
        let can_retry = self.retry_budget.allows_retry()
            && self.admission.admits_all()
            && request.attempts + 1 < self.settings.limits.max_attempts;
        let timeout = request
            .attempt_timeout(class, mean_response, server.health.is_proven, now)
            .filter(|_| can_retry);
        let server_id = server.endpoint.server;
        request.attempts += 1;
        request.tried_servers.push(server_id);
        request.in_flight = Some(Attempt {
            server: server_id,
            list_entry: server.list_entry,
            sent_at: now,
            is_overdue: false,
        });
        server.load.in_flight += 1;
        server.load.last_sent_at = now;
        server.health.record_attempt();
        server.credit.spend(request.work);
        actions.push(Action::Attempt {
            request: id,
            server: server_id,
            timeout,
        });
        true
    }

    /// Handles the end of an attempt: learns from it, and retries, rejects or fails a request that has no answer yet.
    pub(super) fn handle_attempt_end(
        &mut self,
        now: Time,
        id: RequestId,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let is_last = end.attempt + 1 == request.attempts;
        let is_same = |attempt: &mut Attempt| attempt.server == end.server && is_last;
        let Some(attempt) = request.in_flight.take_if(is_same) else {
            self.requests.insert(id, request);
            return;
        };
        self.record_attempt_end(now, &request, &attempt, end.outcome);
        if !end.outcome.never_ran() && request.first_execution.is_none() {
            request.first_execution = Some(self.execution_of(&attempt, now));
        }
        if end.request_ended || request.has_ended {
            return;
        }
        let idempotency = self.settings.classes[usize::from(request.class)].idempotency;
        let can_retry =
            end.outcome != Outcome::NotSent && self.can_retry(now, &request, idempotency);
        let is_safe_to_reject = request.is_safe_to_reject(idempotency);
        self.requests.insert(id, request);
        if can_retry && self.start_attempt(now, id, actions) {
            self.retry_budget.spend();
            return;
        }
        self.requests.remove(&id);
        if is_safe_to_reject {
            self.reject(id, actions);
        } else {
            actions.push(Action::Fail { request: id });
        }
    }

    /// Where and when an attempt may have run. The zone and cell of a server that is no longer listed are unknown, and
    /// match no server.
    fn execution_of(&self, attempt: &Attempt, now: Time) -> Execution {
        let started_at = attempt.sent_at.min(now);
        match self.servers.position(attempt.server) {
            Some(position) => {
                let endpoint = &self.servers[position].endpoint;
                Execution {
                    zone: endpoint.zone,
                    cell: endpoint.cell,
                    started_at,
                }
            }
            None => Execution {
                zone: ZoneId::MAX,
                cell: u32::MAX,
                started_at,
            },
        }
    }

    fn can_retry(&self, now: Time, request: &Request, idempotency: Idempotency) -> bool {
        let expected = self.mean_response(now) * request.relative_size;
        request.deadline - now > expected / 2.0
            && request.attempts < self.settings.limits.max_attempts
            && self.retry_budget.allows_retry()
            && request.is_retryable(idempotency, now)
    }

    /// Handles the start and the end of an upload. The client determines how long an upload takes, so the response time
    /// of the server counts from the last byte of the body.
    pub(super) fn handle_upload(&mut self, now: Time, id: RequestId, remaining: Option<Time>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.in_flight.as_mut() else {
            return;
        };
        match remaining {
            None => attempt.sent_at = f64::MAX,
            Some(remaining) => {
                attempt.sent_at = now;
                request.deadline = now + remaining;
            }
        }
    }

    /// Ends a request that needs no final answer any more; it is removed once its attempt in flight has ended.
    pub(super) fn end_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.has_ended = true;
        if request.in_flight.is_none() {
            self.requests.remove(&id);
        }
    }
}
