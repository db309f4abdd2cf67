//! Runs an attempt: one exchange on a connection, and another exchange if that connection turns out to be closed.

use super::answer_timer::AnswerTimer;
use super::attempt::{Attempt, AttemptDeadlines};
use super::connection::Connection;
use super::release::DRAIN_TIMEOUT;
use super::response::read_response;
use super::AttemptContext;
use crate::net::body::{byte_count, Payload, PayloadBody};
use crate::net::message::Message;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use reelfall_balancer::interface::{Outcome, RequestId, ServerId};
use std::cell::Cell;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Instant;
use tokio::time::timeout;

/// The result of one exchange on a connection.
enum ExchangeResult {
    /// The outcome of the attempt has been reported.
    Ended,
    /// An idle connection turned out to be closed before anything was sent; the attempt continues on another one.
    ConnectionWasStale,
}

/// The result of waiting for the head of an answer.
enum HeadWait {
    Received(Response<Incoming>),
    SendFailed(TrySendError<Request<PayloadBody>>),
    TimedOut,
}

type HeadResult = Result<Response<Incoming>, TrySendError<Request<PayloadBody>>>;

/// Makes one attempt and reports to its context how it ended.
pub async fn run_attempt<C: AttemptContext>(
    context: C,
    request: RequestId,
    number: u32,
    server: ServerId,
    message: Rc<Message>,
    deadlines: AttemptDeadlines,
) {
    let attempt = Attempt {
        message,
        context,
        request,
        number,
        server,
        deadlines,
        is_sent: Cell::new(false),
        started_at: Instant::now(),
    };
    while let ExchangeResult::ConnectionWasStale = attempt.exchange().await {}
}

impl<C: AttemptContext> Attempt<C> {
    /// Sends the request on one connection and reads the answer.
    async fn exchange(&self) -> ExchangeResult {
        let mut timer = AnswerTimer::new(self);
        let acquired = tokio::select! {
            biased;
            acquired = self.acquire() => acquired,
            // The client has waited for its answer since before the first attempt, so there is no time for another one.
            () = timer.expire_upload() => Err(Outcome::NotSent),
        };
        let connection = match acquired {
            Ok(connection) => connection,
            Err(outcome) => {
                self.end(outcome);
                return ExchangeResult::Ended;
            }
        };
        // While the connection was opened, the client may have disconnected and the endpoint list may have changed.
        if !self.context.is_answer_wanted(self.request) {
            self.context.connections().put(connection);
            self.end(Outcome::NotSent);
            return ExchangeResult::Ended;
        }
        let is_current = self.context.address(self.server).is_some()
            && self.context.connections().is_current(&connection);
        if !is_current || Instant::now() >= self.deadlines.send_by {
            self.end(Outcome::ConnectFailed);
            return ExchangeResult::Ended;
        }
        Exchange::new(self, connection, timer).run().await
    }
}

/// The request of an attempt on its connection.
struct Exchange<'a, C> {
    attempt: &'a Attempt<C>,
    connection: Connection,
    /// The number of bytes that had been written on the connection before this request.
    bytes_written_before: u64,
    timer: AnswerTimer<'a, C>,
}

impl<'a, C: AttemptContext> Exchange<'a, C> {
    fn new(attempt: &'a Attempt<C>, connection: Connection, timer: AnswerTimer<'a, C>) -> Self {
        if attempt.message.body.streamed().is_some() {
            connection.limit_send_buffer();
        }
        Exchange {
            attempt,
            bytes_written_before: connection.bytes_written(),
            connection,
            timer,
        }
    }

    async fn run(mut self) -> ExchangeResult {
        let answer_by = self.timer.earliest_answer_by();
        let request = self.attempt.build_request(answer_by);
        self.connection.set_awaiting_head(true);
        self.attempt.record_sent();
        let mut head = pin!(self.connection.sender.try_send_request(request));
        let result = self.wait_for_head(head.as_mut()).await;
        self.connection.set_awaiting_head(false);
        self.attempt.report_body_consumed();
        match result {
            HeadWait::Received(response) => {
                read_response(self.attempt, self.connection, response, self.timer).await;
                ExchangeResult::Ended
            }
            HeadWait::SendFailed(error) => self.handle_send_error(error),
            HeadWait::TimedOut => {
                self.handle_timeout(head).await;
                ExchangeResult::Ended
            }
        }
    }

    async fn wait_for_head<F>(&mut self, head: Pin<&mut F>) -> HeadWait
    where
        F: Future<Output = HeadResult>,
    {
        let result = tokio::select! {
            biased;
            result = head => HeadWait::from(result),
            () = self.timer.expire() => HeadWait::TimedOut,
        };
        self.timer.record_progress(Instant::now());
        result
    }

    /// Whether the last byte of the request may have been written.
    fn may_be_fully_sent(&self) -> bool {
        match &self.attempt.message.body {
            Payload::Buffered(body) => {
                self.connection.bytes_written() - self.bytes_written_before > byte_count(&**body)
            }
            Payload::Streamed(body) => body.is_complete(),
        }
    }

    fn handle_send_error(self, mut error: TrySendError<Request<PayloadBody>>) -> ExchangeResult {
        let is_unsent = error.take_message().is_some();
        if is_unsent && self.connection.is_reused && !self.attempt.is_body_consumed() {
            self.attempt.record_never_ran();
            return ExchangeResult::ConnectionWasStale;
        }
        let outcome = self.connection_error_outcome();
        self.attempt.log_upload(outcome);
        self.attempt.end(outcome);
        ExchangeResult::Ended
    }

    fn connection_error_outcome(&self) -> Outcome {
        if self.attempt.has_upload_failed() {
            Outcome::NotSent
        } else if self.may_be_fully_sent() {
            Outcome::ConnectionLost
        } else {
            Outcome::ConnectFailed
        }
    }

    fn timeout_outcome(&self) -> Outcome {
        let is_upload = self.attempt.message.body.streamed().is_some();
        if self.attempt.has_upload_failed() {
            Outcome::NotSent
        } else if self.may_be_fully_sent() {
            Outcome::TimedOut
        } else if is_upload && !self.timer.has_server_stalled() {
            // The server reads the body, only too slowly for the client's time, which may be the client's doing.
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }

    async fn handle_timeout<F>(self, head: Pin<&mut F>)
    where
        F: Future<Output = HeadResult>,
    {
        let attempt = self.attempt;
        let outcome = self.timeout_outcome();
        attempt.log_upload(outcome);
        if outcome.never_ran() {
            drop(self.connection);
            return attempt.end(outcome);
        }
        attempt.end(outcome);
        // The connection is only kept if no retry is in flight, since two copies must not run at the same time.
        if !attempt.context.has_attempt_in_flight(attempt.request) {
            if let Ok(Ok(response)) = timeout(DRAIN_TIMEOUT, head).await {
                attempt.drain(self.connection, response.into_body()).await;
            }
        }
    }
}

impl From<HeadResult> for HeadWait {
    fn from(result: HeadResult) -> Self {
        match result {
            Ok(response) => HeadWait::Received(response),
            Err(error) => HeadWait::SendFailed(error),
        }
    }
}
