//! Learning from attempts that end or are overdue: the health and response time of their server, the load of all
//! servers, and the work of requests.

use super::admission::{is_late, queueing_threshold};
use super::outlier::record_failure;
use super::requests::{Attempt, Request, OVERDUE_FACTOR};
use super::server_health::Failure;
use super::Balancer;
use crate::interface::{Outcome, ServerId, Time};

/// An attempt that has become overdue and has not been counted against its server yet.
struct OverdueAttempt {
    server: ServerId,
    list_entry: u32,
    sent_at: Time,
    /// How long the server has been awaited, in seconds, scaled to a request of typical size.
    waited: Time,
}

/// An attempt that has ended, with the data that its outcome is judged by.
struct EndedAttempt<'a> {
    request: &'a Request,
    attempt: &'a Attempt,
    outcome: Outcome,
    /// Position of the server.
    position: usize,
    /// How long the server was awaited, in seconds.
    waited: Time,
    /// The mean of the running averages of response times before it ended, in seconds.
    mean_response: Time,
    latency_objective: Time,
}

impl EndedAttempt<'_> {
    /// How long the server was awaited, in seconds, scaled to a request of typical size.
    fn response(&self) -> Time {
        self.waited / self.request.relative_size
    }

    /// Whether the timeout was so short that it proves no fault, only that the server takes longer.
    fn had_short_timeout(&self) -> bool {
        let overdue_after = OVERDUE_FACTOR * self.mean_response * self.request.relative_size;
        self.outcome == Outcome::TimedOut && self.waited < overdue_after.min(self.latency_objective)
    }

    /// Whether the attempt ended with an error or a failed connection, unlike a rejection or a timeout.
    fn has_stated_failure(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Error | Outcome::ConnectionLost | Outcome::ConnectFailed
        )
    }
}

impl Balancer {
    /// Learns from the end of an attempt.
    pub(super) fn record_attempt_end(
        &mut self,
        now: Time,
        request: &Request,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let entry = self
            .servers
            .position_of_entry(attempt.server, attempt.list_entry);
        let Some(position) = entry else { return };
        let class = &self.settings.classes[usize::from(request.class)];
        let ended = EndedAttempt {
            request,
            attempt,
            outcome,
            position,
            // No response is awaited while the body is uploaded: `sent_at` is in the future, and this is 0.
            waited: (now - attempt.sent_at).max(0.0),
            mean_response: self.mean_response(now),
            latency_objective: class.latency_objective,
        };
        let server = &mut self.servers[position];
        server.load.in_flight = server.load.in_flight.saturating_sub(1);
        let was_overdue = u32::from(attempt.is_overdue);
        server.load.overdue = server.load.overdue.saturating_sub(was_overdue);
        let is_suspect = !server.health.is_proven && !self.fault_scope.is_common();
        let was_answered_later = server.load.last_answered_sent_at > attempt.sent_at;
        match outcome {
            Outcome::Served => self.record_response(now, &ended),
            Outcome::NotSent | Outcome::Cancelled => return,
            Outcome::TimedOut if was_answered_later => return,
            // Not counted as a failure, or a few clients with short deadlines could eject healthy servers.
            Outcome::TimedOut if ended.had_short_timeout() => {
                let average = self.automaton.mean_response[position];
                self.automaton
                    .observe(position, ended.response().max(average));
                return;
            }
            _ => self.record_failed_attempt(now, &ended),
        }
        self.record_lateness(now, &ended, is_suspect);
    }

    fn record_response(&mut self, now: Time, ended: &EndedAttempt) {
        let request = ended.request;
        let response = ended.response();
        let server = &mut self.servers[ended.position];
        let is_remote = self
            .settings
            .zone
            .is_some_and(|zone| zone != server.endpoint.zone);
        self.zone_spill
            .record(is_remote, ended.waited > ended.latency_objective);
        let sent_at = ended.attempt.sent_at.min(now);
        server.load.record_response(sent_at);
        self.automaton.observe(ended.position, response);
        if response <= ended.mean_response {
            self.automaton.reward(ended.position);
        }
        if response <= OVERDUE_FACTOR * ended.mean_response {
            server.health.record_success();
        }
        self.sustained_work.record(request.work);
        self.admission.record_served(request.segment, request.work);
        if !request.has_work_hint {
            self.work
                .record_response(usize::from(request.class), ended.waited);
        }
    }

    /// Records a failed attempt. A quick failure must not look like a quick response, so its response time counts as at
    /// least the latency objective.
    fn record_failed_attempt(&mut self, now: Time, ended: &EndedAttempt) {
        let waited = ended.waited.max(ended.latency_objective);
        self.automaton
            .observe(ended.position, waited / ended.request.relative_size);
        let failure = self.classify_failure(ended);
        let random = self.random.fraction();
        record_failure(
            &mut self.servers,
            ended.position,
            now,
            failure,
            self.strictest,
            random,
        );
    }

    /// Classifies a failed attempt. Any server may lose a connection or send a slow or corrupt response once. A second
    /// failure in a row, a timeout, or an error response indicates a faulty server.
    fn classify_failure(&self, ended: &EndedAttempt) -> Failure {
        let outcome = ended.outcome;
        let is_timeout = outcome == Outcome::TimedOut;
        let failures = self.servers[ended.position].health.consecutive_failures;
        // An overdue attempt was already counted as a failure before it ended.
        let counted = u32::from(ended.attempt.is_overdue);
        let is_repeated = failures > counted || is_timeout;
        let is_persistent = failures > 1 + counted && is_timeout;
        Failure {
            is_failing: outcome == Outcome::Error || (outcome != Outcome::Rejected && is_repeated),
            is_unreachable: outcome == Outcome::ConnectFailed || is_persistent,
        }
    }

    /// Reports to admission control whether the attempt was late. Left out are late attempts at a server that is
    /// suspected of a fault or has stated a failure, as they are no sign of overload, and those that were reported when
    /// overdue.
    fn record_lateness(&mut self, now: Time, ended: &EndedAttempt, is_suspect: bool) {
        let unloaded = self.unloaded_response * ended.request.relative_size;
        let is_late = ended.outcome != Outcome::Served
            || is_late(ended.waited, ended.latency_objective, unloaded);
        let is_attributed = ended.attempt.is_overdue || ended.has_stated_failure();
        if !is_late || (!is_suspect && !is_attributed) {
            self.adjust_admission(now, is_late);
        }
    }

    fn adjust_admission(&mut self, now: Time, is_late: bool) {
        let arrivals = self.arrivals.estimate();
        self.admission
            .record_response(now, is_late, self.strictest.deadline, arrivals);
    }

    /// Counts overdue attempts as slow responses before they end, as a server that hangs never responds.
    pub(super) fn penalize_overdue_attempts(&mut self, now: Time) {
        let overdue = self.mark_overdue_attempts(now);
        for attempt in overdue {
            let position = self
                .servers
                .position_of_entry(attempt.server, attempt.list_entry);
            if let Some(position) = position {
                self.penalize_overdue_attempt(now, position, &attempt);
            }
        }
    }

    fn mark_overdue_attempts(&mut self, now: Time) -> Vec<OverdueAttempt> {
        let mean_response = self.mean_response(now);
        let mut overdue = Vec::new();
        for request in self.requests.values_mut() {
            let in_flight = request
                .in_flight
                .as_mut()
                .filter(|attempt| !attempt.is_overdue);
            let Some(attempt) = in_flight else { continue };
            let class = &self.settings.classes[usize::from(request.class)];
            let objective = class.latency_objective;
            let unloaded = self.unloaded_response * request.relative_size;
            let expected = OVERDUE_FACTOR * mean_response * request.relative_size;
            let limit = expected.clamp(queueing_threshold(objective, unloaded), objective);
            if now - attempt.sent_at > limit {
                attempt.is_overdue = true;
                overdue.push(OverdueAttempt {
                    server: attempt.server,
                    list_entry: attempt.list_entry,
                    sent_at: attempt.sent_at,
                    waited: (now - attempt.sent_at) / request.relative_size,
                });
            }
        }
        overdue
    }

    fn penalize_overdue_attempt(&mut self, now: Time, position: usize, attempt: &OverdueAttempt) {
        let server = &mut self.servers[position];
        if server.load.last_answered_sent_at > attempt.sent_at {
            return;
        }
        server.load.overdue += 1;
        if self.fault_scope.is_common() || server.health.is_proven {
            self.adjust_admission(now, true);
        }
        self.automaton.observe(position, attempt.waited);
        let random = self.random.fraction();
        let failure = Failure::default();
        record_failure(
            &mut self.servers,
            position,
            now,
            failure,
            self.strictest,
            random,
        );
    }
}
