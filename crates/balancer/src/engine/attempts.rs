//! Starting, ending and cancelling attempts, and final answers.

use super::request::{Attempt, Request};
use super::{Command, DecisionModule, Engine, FinalAnswer, Host};
use crate::interface::{Action, Event, Outcome, RequestId, ServerId, Time};

impl<H: Host, D: DecisionModule> Engine<H, D> {
    /// Reports the end of an attempt. `answer` is the server's response; without one the client is not answered, even
    /// if the outcome is [`Outcome::Served`].
    pub fn end_attempt(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        answer: Option<H::Answer>,
        commands: &mut Vec<Command<H>>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(ended) = open.end_attempt(attempt, outcome) else {
            return;
        };
        if let Some(answer) = answer {
            if let Some(to) = open.take_reply() {
                let answer = FinalAnswer::Served(answer);
                commands.push(Command::Answer {
                    request,
                    to,
                    answer,
                });
            }
        }
        let request_ended = !open.needs_answer();
        self.remove_if_finished(request);
        let event = attempt_ended(now, request, &ended, outcome, request_ended);
        self.handle_event(now, event, commands);
    }

    /// Carries out an action of the module; returns the event that it causes at once, if any.
    pub(super) fn carry_out(
        &mut self,
        now: Time,
        action: Action,
        commands: &mut Vec<Command<H>>,
    ) -> Option<Event> {
        match action {
            Action::Attempt {
                request,
                server,
                timeout,
            } => {
                return self.start_attempt(now, request, server, timeout, commands);
            }
            Action::Cancel { request, attempt } => {
                return self.cancel_attempt(now, request, attempt, commands);
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.reject(request, retry_after, commands);
            }
            Action::Fail { request } => self.fail(request, commands),
            Action::Watch => commands.push(Command::Watch),
            Action::StartTimer { after, tag } => commands.push(Command::StartTimer { after, tag }),
            // Health checks are not implemented: no deployment allows them, and the module requests none.
            Action::HealthCheck { server } => {
                let outcome = Outcome::NotSent;
                return Some(Event::HealthChecked {
                    server,
                    outcome,
                    load: None,
                });
            }
        }
        None
    }

    /// Starts an attempt if the rules allow it. Otherwise returns its end, with the outcome [`Outcome::NotSent`].
    fn start_attempt(
        &mut self,
        now: Time,
        request: RequestId,
        server: ServerId,
        timeout: Option<Time>,
        commands: &mut Vec<Command<H>>,
    ) -> Option<Event> {
        let is_listed = self.servers.is_listed(server);
        let max_attempts = self.max_attempts;
        let Some(open) = self.requests.get_mut(&request) else {
            return Some(attempt_not_sent(request, 0, server, true));
        };
        if !is_listed || !open.may_send(now, max_attempts) {
            let request_ended = !open.needs_answer();
            let attempt = open.count_attempt();
            return Some(attempt_not_sent(request, attempt, server, request_ended));
        }
        let attempt = open.start_attempt(now, server);
        let deadline = open.attempt_deadline(now, timeout);
        let client_deadline = open.deadline();
        let send_by = open.send_by().min(deadline);
        let is_uploading = open.is_uploading();
        commands.push(Command::Send {
            request,
            attempt,
            server,
            send_by,
            deadline,
            client_deadline,
        });
        is_uploading.then_some(Event::Upload {
            request,
            remaining: None,
        })
    }

    fn cancel_attempt(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: u32,
        commands: &mut Vec<Command<H>>,
    ) -> Option<Event> {
        let outcome = Outcome::Cancelled;
        let open = self.requests.get_mut(&request)?;
        let cancelled = open.end_attempt(attempt, outcome)?;
        let request_ended = !open.needs_answer();
        commands.push(Command::CancelAttempt { request, attempt });
        self.remove_if_finished(request);
        Some(attempt_ended(
            now,
            request,
            &cancelled,
            outcome,
            request_ended,
        ))
    }

    /// Rejects a request. One that may have had an effect fails instead, even if the module asks for a rejection, as
    /// clients retry rejected requests.
    fn reject(
        &mut self,
        request: RequestId,
        retry_after: Option<Time>,
        commands: &mut Vec<Command<H>>,
    ) {
        let Some(open) = self.requests.get(&request) else {
            return;
        };
        let answer = if open.may_have_effect() {
            FinalAnswer::Failed(open.last_outcome())
        } else {
            FinalAnswer::Rejected { retry_after }
        };
        self.answer(request, answer, commands);
    }

    fn fail(&mut self, request: RequestId, commands: &mut Vec<Command<H>>) {
        let Some(last_outcome) = self.requests.get(&request).map(Request::last_outcome) else {
            return;
        };
        self.answer(request, FinalAnswer::Failed(last_outcome), commands);
    }

    fn answer(
        &mut self,
        request: RequestId,
        answer: FinalAnswer<H::Answer>,
        commands: &mut Vec<Command<H>>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some(to) = open.take_reply() {
            commands.push(Command::Answer {
                request,
                to,
                answer,
            });
        }
        self.remove_if_finished(request);
    }
}

fn attempt_ended(
    now: Time,
    request: RequestId,
    attempt: &Attempt,
    outcome: Outcome,
    request_ended: bool,
) -> Event {
    Event::AttemptEnded {
        request,
        attempt: attempt.number,
        server: attempt.server,
        outcome,
        latency: now - attempt.sent_at,
        request_ended,
        load: None,
    }
}

fn attempt_not_sent(
    request: RequestId,
    attempt: u32,
    server: ServerId,
    request_ended: bool,
) -> Event {
    Event::AttemptEnded {
        request,
        attempt,
        server,
        outcome: Outcome::NotSent,
        latency: 0.0,
        request_ended,
        load: None,
    }
}
