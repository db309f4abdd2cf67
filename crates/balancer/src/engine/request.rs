//! One request and its attempts, and whether another attempt may be sent.

use super::{Arrival, AwaitedAttempt, Host};
use crate::interface::{ClassId, Idempotency, Outcome, ServerId, Time};

/// How long an attempt may take to reach its server, in seconds. A repeat of a request has to arrive within the window
/// of its idempotency key.
const MAX_TRANSIT_TIME: Time = 0.01;

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) sent_at: Time,
}

/// The end of an upload.
pub(super) struct Uploaded {
    /// When the final answer is due.
    pub(super) deadline: Time,
    /// How long after the end of the upload that is, in seconds.
    pub(super) remaining: Time,
}

/// A request that has no final answer yet or has an attempt in flight.
pub(super) struct Request<H: Host> {
    pub(super) payload: H::Payload,
    class: ClassId,
    idempotency: Idempotency,
    deadline: Time,
    /// `None` once it has its final answer or its client has disconnected.
    reply: Option<H::Reply>,
    /// Number of attempts so far.
    attempts: u32,
    in_flight: Option<Attempt>,
    /// When the first attempt that may have run was sent.
    first_execution: Option<Time>,
    last_outcome: Option<Outcome>,
    /// How long after its upload the final answer is due, in seconds; `None` unless its body is being uploaded.
    time_after_upload: Option<Time>,
    /// When the last byte of a streamed body was written.
    uploaded_at: Option<Time>,
    /// An attempt has consumed a part of its body, so that the request can't be sent again.
    is_body_consumed: bool,
}

impl<H: Host> Request<H> {
    pub(super) fn new(
        payload: H::Payload,
        reply: H::Reply,
        arrival: &Arrival,
        idempotency: Idempotency,
    ) -> Self {
        Request {
            payload,
            class: arrival.class,
            idempotency,
            deadline: arrival.deadline,
            reply: Some(reply),
            attempts: 0,
            in_flight: None,
            first_execution: None,
            last_outcome: None,
            time_after_upload: arrival.time_after_upload,
            uploaded_at: None,
            is_body_consumed: false,
        }
    }

    /// When its final answer is due; while its body is uploaded, when the upload has to end.
    pub(super) fn deadline(&self) -> Time {
        self.deadline
    }

    pub(super) fn needs_answer(&self) -> bool {
        self.reply.is_some()
    }

    pub(super) fn take_reply(&mut self) -> Option<H::Reply> {
        self.reply.take()
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    pub(super) fn is_finished(&self) -> bool {
        self.reply.is_none() && self.in_flight.is_none()
    }

    pub(super) fn is_uploading(&self) -> bool {
        self.time_after_upload.is_some()
    }

    pub(super) fn last_outcome(&self) -> Option<Outcome> {
        self.last_outcome
    }

    /// Returns the attempt in flight with its number.
    pub(super) fn attempt_in_flight(&self) -> Option<(u32, AwaitedAttempt)> {
        let attempt = self.in_flight.as_ref()?;
        let since = self.uploaded_at.unwrap_or(attempt.sent_at);
        let awaited = AwaitedAttempt {
            server: attempt.server,
            class: self.class,
            since,
        };
        Some((attempt.number, awaited))
    }

    pub(super) fn mark_body_consumed(&mut self) {
        self.is_body_consumed = true;
    }

    /// Ends the upload and sets the deadline of the final answer; returns `None` if there was no upload.
    pub(super) fn finish_upload(&mut self, now: Time, last_byte_at: Time) -> Option<Uploaded> {
        let time_after_upload = self.time_after_upload.take()?;
        self.deadline = last_byte_at.min(now) + time_after_upload;
        self.uploaded_at = Some(now);
        Some(Uploaded {
            deadline: self.deadline,
            remaining: (self.deadline - now).max(0.0),
        })
    }

    /// Whether a retry by the client could cause a second effect.
    pub(super) fn may_have_effect(&self) -> bool {
        let may_have_run = self.first_execution.is_some() || self.in_flight.is_some();
        may_have_run && self.idempotency == Idempotency::AtMostOnce
    }

    /// Until when another attempt may be sent without a second effect, as servers remember an idempotency key only for
    /// its window.
    pub(super) fn send_by(&self) -> Time {
        match (self.idempotency, self.first_execution) {
            (_, None) | (Idempotency::Idempotent, _) => self.deadline,
            (Idempotency::AtMostOnce, Some(_)) => f64::NEG_INFINITY,
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                self.deadline.min(first + window - MAX_TRANSIT_TIME)
            }
        }
    }

    /// Whether another attempt may be sent now. Attempts are sent one at a time, and at most `max_attempts` per
    /// request.
    pub(super) fn may_send(&self, now: Time, max_attempts: u32) -> bool {
        self.needs_answer()
            && !self.has_attempt_in_flight()
            && !self.is_body_consumed
            && self.attempts < max_attempts
            && now < self.send_by()
    }

    /// Assigns a number to an attempt and returns it.
    pub(super) fn count_attempt(&mut self) -> u32 {
        let number = self.attempts;
        self.attempts += 1;
        number
    }

    /// Starts an attempt; returns its number.
    pub(super) fn start_attempt(&mut self, now: Time, server: ServerId) -> u32 {
        let number = self.count_attempt();
        self.in_flight = Some(Attempt {
            number,
            server,
            sent_at: now,
        });
        number
    }

    /// When an attempt that starts now has to end. The timeout of an attempt does not apply while a body is uploaded.
    pub(super) fn attempt_deadline(&self, now: Time, timeout: Option<Time>) -> Time {
        match timeout {
            Some(timeout) if !self.is_uploading() => self.deadline.min(now + timeout.max(0.0)),
            _ => self.deadline,
        }
    }

    /// Ends and returns the attempt with this number, if it is in flight.
    pub(super) fn end_attempt(&mut self, number: u32, outcome: Outcome) -> Option<Attempt> {
        let ended = self.in_flight.take_if(|attempt| attempt.number == number)?;
        self.last_outcome = Some(outcome);
        if !outcome.never_ran() {
            self.first_execution.get_or_insert(ended.sent_at);
        }
        Some(ended)
    }
}
