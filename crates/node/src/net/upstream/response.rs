//! Judges an answer whose head was received: rejected answers and server errors end the attempt here, others are read by
//! `buffering`. Called by `exchange`.

use super::answer_timer::AnswerTimer;
use super::attempt::Attempt;
use super::buffering::{BufferingResponse, OpenExchange};
use super::connection::Connection;
use super::AttemptContext;
use crate::net::message::AnswerValidator;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderName};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use reelfall_balancer::interface::Outcome;

/// Header with which a server states that it has not run a request.
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");

/// Reads an answer whose head was received, and reports the outcome of its attempt.
pub(super) async fn read_response<C: AttemptContext>(
    attempt: &Attempt<C>,
    connection: Connection,
    response: Response<Incoming>,
    timer: AnswerTimer<'_, C>,
) {
    let (head, body) = response.into_parts();
    let outcome = classify(&head, attempt.validator());
    if outcome == Outcome::Rejected && closes_connection(&head) && !connection.is_reused {
        // The server is at its connection limit.
        attempt.context.connections().record_rejected_connection();
    }
    if outcome != Outcome::Served {
        attempt.end(outcome);
        return attempt.drain(connection, body).await;
    }
    // Without framing, a truncated answer can't be distinguished from a complete one. The request may have run.
    if !is_framed(&head, &body) || body.size_hint().lower() > attempt.max_answer_bytes() {
        return attempt.end(Outcome::ConnectionLost);
    }
    let announced_bytes = body.size_hint().exact().map_or(0, |length| length as usize);
    let memory = attempt
        .reserve_announced(announced_bytes, timer.answer_by())
        .await;
    let exchange = OpenExchange {
        attempt,
        connection,
        timer,
    };
    BufferingResponse::new(exchange, head, body, memory)
        .run()
        .await;
}

/// The outcome that the head of an answer indicates.
fn classify(head: &Parts, validator: Option<&dyn AnswerValidator>) -> Outcome {
    let is_unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
    match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => {
            Outcome::Rejected
        }
        status if validator.is_some_and(|validator| validator.accepts_status(status)) => {
            Outcome::Served
        }
        _ => Outcome::Error,
    }
}

/// Whether the server announces that it closes the connection after this answer.
fn closes_connection(head: &Parts) -> bool {
    head.headers
        .get(header::CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Whether the head determines where the body ends: by a length, by chunks or by an announced close.
fn is_framed(head: &Parts, body: &Incoming) -> bool {
    body.size_hint().exact().is_some()
        || head.headers.contains_key(header::TRANSFER_ENCODING)
        || closes_connection(head)
        || head.version == Version::HTTP_10
}
