//! The timeout of an attempt's answer, which for a streamed body follows from the progress of its upload.

use super::attempt::Attempt;
use super::AttemptContext;
use crate::net::body::StreamedBody;
use crate::net::upload_clock::{UploadClock, UploadProgress};
use std::time::Instant;
use tokio::time::sleep_until;

/// Runs until the answer to an attempt is due.
pub(super) struct AnswerTimer<'a, C> {
    attempt: &'a Attempt<C>,
    answer_by: Instant,
    /// When the client's time is up; for an upload that has not ended, when that has to end at the latest.
    client_deadline: Instant,
    /// The clock of the upload; `None` for a buffered body, and once the upload has ended.
    upload: Option<UploadClock>,
}

impl<'a, C: AttemptContext> AnswerTimer<'a, C> {
    pub(super) fn new(attempt: &'a Attempt<C>) -> Self {
        let message = &attempt.message;
        let upload = message.body.streamed().map(|body| {
            let time_for_answer = message.time_after_upload.unwrap_or_default();
            UploadClock::new(body.created_at(), time_for_answer)
        });
        AnswerTimer {
            attempt,
            answer_by: attempt.deadlines.answer_by,
            client_deadline: attempt.deadlines.client_deadline,
            upload,
        }
    }

    /// When the answer is due; for an upload that has not ended, when that has to end at the latest.
    pub(super) fn answer_by(&self) -> Instant {
        self.answer_by
    }

    /// When the answer is due at the earliest; `None` if the client can't have written all of its request so far.
    pub(super) fn earliest_answer_by(&mut self) -> Option<Instant> {
        self.record_progress(Instant::now());
        match &self.upload {
            Some(upload) => upload.client_deadline(),
            None => Some(self.answer_by),
        }
    }

    /// When the client's time is up; `None` while that is unknown, as the upload has not ended.
    pub(super) fn client_deadline(&self) -> Option<Instant> {
        self.upload.is_none().then_some(self.client_deadline)
    }

    /// Whether the client's time is up when this expires, so that no other attempt can be made.
    pub(super) fn is_final(&self) -> bool {
        self.upload.is_some() || self.answer_by >= self.client_deadline
    }

    /// Lets the attempt go on until the client's time is up, as its server has begun the answer.
    pub(super) fn extend(&mut self) {
        self.answer_by = self.client_deadline;
    }

    /// Waits until the answer is due.
    pub(super) async fn expire(&mut self) {
        if self.is_upload_overdue().await {
            return;
        }
        sleep_until(self.answer_by.into()).await;
    }

    /// Waits until an upload is overdue, and forever if the body is buffered or its upload has ended.
    pub(super) async fn expire_upload(&mut self) {
        if !self.is_upload_overdue().await {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the upload has ended, is overdue, or has lost its client, without which it never ends; returns whether the
    /// attempt has to end.
    async fn is_upload_overdue(&mut self) -> bool {
        let attempt = self.attempt;
        let Some(body) = attempt.message.body.streamed() else {
            return false;
        };
        loop {
            let now = Instant::now();
            self.record_progress(now);
            let Some(upload) = &self.upload else {
                return body.error().is_some();
            };
            let deadline = upload.deadline().unwrap_or(self.answer_by);
            let deadline = deadline.min(self.answer_by);
            if now >= deadline || !attempt.context.is_answer_wanted(attempt.request) {
                return true;
            }
            let wake_at = upload.next_update(now).min(deadline);
            tokio::select! {
                biased;
                () = body.wait_for_end() => {}
                () = sleep_until(wake_at.into()) => {}
            }
        }
    }

    /// Updates the clock of the upload, and reports the end of the upload once.
    pub(super) fn record_progress(&mut self, now: Instant) {
        let message = &self.attempt.message;
        let (Some(body), Some(upload)) = (message.body.streamed(), &mut self.upload) else {
            return;
        };
        let waiter = &*message.waiter;
        let progress = UploadProgress {
            bytes_forwarded: body.bytes_forwarded(),
            bytes_remaining: body.bytes_remaining(),
            progressed_at: body.progressed_at(),
            input: waiter.input(),
        };
        upload.update(now, progress, || waiter.unread_input_bytes());
        if body.has_ended() {
            let earliest_end = upload.earliest_end();
            self.upload = None;
            self.finish_upload(body, earliest_end);
        }
    }

    fn finish_upload(&mut self, body: &StreamedBody, last_byte_at: Instant) {
        if !body.is_complete() {
            return;
        }
        let attempt = self.attempt;
        let answer_by = attempt.context.finish_upload(attempt.request, last_byte_at);
        if let Some(answer_by) = answer_by {
            self.answer_by = answer_by;
            self.client_deadline = answer_by;
        }
    }

    /// Whether the upload has not ended and its server has stopped reading it.
    pub(super) fn has_server_stalled(&self) -> bool {
        let now = Instant::now();
        let upload = self.upload.as_ref();
        upload.is_some_and(|upload| upload.has_server_stalled(now))
    }
}
