//! One attempt at a server: its deadlines, the request that it sends, and the reports of its outcome.
//!
//! An attempt reports only what is certain: a request counts as not run only if its last byte was not written, or if
//! the server states that it did not run it.

use super::{AttemptContext, TIME_LEFT};
use crate::net::answer::Answer;
use crate::net::body::PayloadBody;
use crate::net::message::Message;
use crate::net::request_events::RequestEvent;
use hyper::header::HeaderValue;
use hyper::{Request, Uri};
use reelfall_balancer::interface::{Outcome, RequestId, ServerId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

/// The deadlines of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// The request is not sent after this time, since the server might no longer recognize it as a retry.
    pub send_by: Instant,
    /// When the attempt times out, unless its server has begun its answer.
    pub answer_by: Instant,
    /// When the client's time is up, which is not before `answer_by`.
    pub client_deadline: Instant,
}

/// One attempt of a request at a server.
pub(super) struct Attempt<C> {
    pub(super) message: Rc<Message>,
    pub(super) context: C,
    pub(super) request: RequestId,
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) deadlines: AttemptDeadlines,
    /// Whether a part of the request may have been sent.
    pub(super) is_sent: Cell<bool>,
    pub(super) started_at: Instant,
}

impl<C: AttemptContext> Attempt<C> {
    /// Records that the request is sent from now on.
    pub(super) fn record_sent(&self) {
        if !self.is_sent.replace(true) {
            self.message.id_claim.attempt_sent();
        }
    }

    /// Records that nothing of the request was sent, or that the server has not run it.
    pub(super) fn record_never_ran(&self) {
        if self.is_sent.replace(false) {
            self.message.id_claim.attempt_never_ran();
        }
    }

    /// Reports an outcome without an answer.
    pub(super) fn end(&self, outcome: Outcome) {
        if outcome.never_ran() {
            self.record_never_ran();
        }
        self.record(&RequestEvent::AttemptEnded {
            attempt: self.number,
            server: self.context.address(self.server),
            outcome,
            after: self.started_at.elapsed(),
        });
        self.context
            .end_attempt(self.request, self.number, outcome, None);
    }

    /// Records an event of its request.
    pub(super) fn record(&self, event: &RequestEvent) {
        let shared = &self.context.connections().shared;
        shared.request_events.record(self.message.id(), event);
    }

    /// Reports an answer.
    pub(super) fn end_with_answer(&self, answer: Answer) {
        let (request, number) = (self.request, self.number);
        self.context
            .end_attempt(request, number, Outcome::Served, Some(answer));
    }

    /// The request; `answer_by` is when its answer is due at the earliest, if its client may have written all of it.
    pub(super) fn build_request(&self, answer_by: Option<Instant>) -> Request<PayloadBody> {
        let message = &*self.message;
        let mut request = Request::new(PayloadBody::new(&message.body));
        *request.method_mut() = message.method.clone();
        *request.uri_mut() = Uri::from(message.path.clone());
        let mut headers = message.headers.clone();
        // Otherwise the client's time has not begun, and the server is told all of it.
        if let Some(answer_by) = answer_by {
            let time_left = answer_by
                .saturating_duration_since(Instant::now())
                .as_secs_f64();
            if let Ok(time_left) = HeaderValue::try_from(format!("{time_left:.3}")) {
                headers.insert(TIME_LEFT, time_left);
            }
        }
        *request.headers_mut() = headers;
        request
    }

    /// Whether part of a streamed body was consumed, so that it can't be sent again.
    pub(super) fn is_body_consumed(&self) -> bool {
        self.message
            .body
            .streamed()
            .is_some_and(|body| body.is_consumed())
    }

    /// Whether a streamed body has ended early, which is the client's doing and says nothing about the server.
    pub(super) fn has_upload_failed(&self) -> bool {
        let body = self.message.body.streamed();
        body.is_some_and(|body| body.error().is_some())
    }

    /// Logs how far the upload of a streamed body had come when its attempt ended without an answer.
    pub(super) fn log_upload(&self, outcome: Outcome) {
        let Some(body) = self.message.body.streamed() else {
            return;
        };
        let context = &self.context;
        let address = context.address(self.server);
        let address = address.map_or_else(|| "a former server".to_owned(), |it| it.to_string());
        context.connections().shared.log.write_line(format_args!(
            "an upload to {address} ended without an answer ({outcome:?}): {body}"
        ));
    }

    pub(super) fn report_body_consumed(&self) {
        if self.is_body_consumed() {
            self.context.mark_body_consumed(self.request);
        }
    }
}
