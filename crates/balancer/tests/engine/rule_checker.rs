//! Checks each command of an engine against the rules for requests and attempts.

use crate::{Commands, AT_MOST_ONCE_CLASS, IDEMPOTENCY_WINDOW, KEYED_CLASS};
use reelfall_balancer::engine::{Command, FinalAnswer};
use reelfall_balancer::interface::{ServerId, ServerState, Time};
use std::collections::{BTreeMap, HashMap};

pub const MAX_ATTEMPTS: u32 = 3;

/// What is known outside of the engine about one request.
#[derive(Default)]
pub struct ObservedRequest {
    class: u16,
    deadline: Time,
    pub attempt_in_flight: Option<u32>,
    attempts_sent: u32,
    may_have_executed: bool,
    last_sent_at: Time,
    /// When the first attempt was sent that can have executed.
    first_executed_at: Option<Time>,
    pub answers: u32,
    pub is_abandoned: bool,
}

impl ObservedRequest {
    pub fn new(class: u16, deadline: Time) -> ObservedRequest {
        ObservedRequest {
            class,
            deadline,
            ..ObservedRequest::default()
        }
    }

    /// Records that the latest attempt can have executed.
    pub fn record_execution(&mut self) {
        self.may_have_executed = true;
        self.first_executed_at.get_or_insert(self.last_sent_at);
    }
}

/// An attempt that the engine sends.
struct SentAttempt {
    attempt: u32,
    server: ServerId,
    send_by: Time,
    deadline: Time,
}

/// The requests and servers of an engine as they are known outside of it.
#[derive(Default)]
pub struct RuleChecker {
    pub now: Time,
    pub requests: BTreeMap<u32, ObservedRequest>,
    pub listed: HashMap<ServerId, ServerState>,
}

impl RuleChecker {
    pub fn check(&mut self, commands: Commands) {
        for command in commands {
            match command {
                Command::Send {
                    request,
                    attempt,
                    server,
                    send_by,
                    deadline,
                    client_deadline,
                } => {
                    assert!(deadline <= client_deadline, "due after its client's time");
                    let sent = SentAttempt {
                        attempt,
                        server,
                        send_by,
                        deadline,
                    };
                    self.check_send(request, &sent);
                }
                Command::CancelAttempt { request, attempt } => self.check_cancel(request, attempt),
                Command::Answer {
                    request,
                    to,
                    answer,
                } => {
                    assert_eq!(request, to, "the answer went to another client");
                    self.check_answer(request, &answer);
                }
                Command::Watch | Command::StartTimer { .. } | Command::CloseConnections { .. } => {}
                Command::ReleaseServerId { server } => assert!(!self.listed.contains_key(&server)),
            }
        }
    }

    pub fn requests_in_flight(&self) -> Vec<u32> {
        self.requests
            .iter()
            .filter(|(_, request)| request.attempt_in_flight.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    fn submitted(&mut self, request: u32) -> &mut ObservedRequest {
        self.requests
            .get_mut(&request)
            .expect("a request that was submitted")
    }

    fn check_send(&mut self, request: u32, sent: &SentAttempt) {
        let now = self.now;
        let is_listed = self.listed.contains_key(&sent.server);
        let request = self.submitted(request);
        assert_eq!(request.answers, 0, "sent after the final answer");
        assert!(!request.is_abandoned, "sent for a client that disconnected");
        assert!(
            request.attempt_in_flight.is_none(),
            "two attempts in flight"
        );
        assert!(
            request.attempts_sent < MAX_ATTEMPTS,
            "more attempts than allowed"
        );
        assert!(
            request.class != AT_MOST_ONCE_CLASS || !request.may_have_executed,
            "an at-most-once request can execute twice"
        );
        assert!(is_listed, "sent to a server that is not listed");
        assert!(now < request.deadline, "sent after the deadline");
        assert!(
            sent.deadline <= request.deadline && sent.deadline >= now,
            "an attempt that outlasts the deadline"
        );
        let first_keyed = request
            .first_executed_at
            .filter(|_| request.class == KEYED_CLASS);
        if let Some(first) = first_keyed {
            // The server must still have the idempotency key of the first attempt.
            assert!(
                sent.send_by < first + IDEMPOTENCY_WINDOW,
                "a keyed request is retried after its window"
            );
        }
        assert!(
            sent.send_by <= sent.deadline,
            "an attempt that is sent after its deadline"
        );
        request.attempt_in_flight = Some(sent.attempt);
        request.last_sent_at = now;
        request.attempts_sent += 1;
    }

    fn check_cancel(&mut self, request: u32, attempt: u32) {
        let request = self.submitted(request);
        assert_eq!(
            request.attempt_in_flight.take(),
            Some(attempt),
            "cancelled an attempt that is not in flight"
        );
        request.record_execution();
    }

    fn check_answer(&mut self, request: u32, answer: &FinalAnswer<&'static str>) {
        let request = self.submitted(request);
        assert!(
            !request.is_abandoned,
            "an answer for a client that disconnected"
        );
        request.answers += 1;
        assert_eq!(request.answers, 1, "two final answers");
        let is_rejected = matches!(answer, FinalAnswer::Rejected { .. });
        if is_rejected && request.class == AT_MOST_ONCE_CLASS {
            assert!(
                !request.may_have_executed && request.attempt_in_flight.is_none(),
                "rejected a request that can have executed"
            );
        }
    }
}
