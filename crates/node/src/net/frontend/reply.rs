//! Answers to clients: those of servers, and those of the node itself.

use super::headers::strip_hop_by_hop;
use super::text_response::text_response;
use crate::net::answer::{Answer, Reply, ResponseBody};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use reelfall_balancer::interface::{Outcome, Time};

/// The answer to a request whose deadline has passed.
pub(super) fn timed_out() -> Response<ResponseBody> {
    text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
}

/// Sets `Retry-After` to a delay in seconds, if there is one.
pub(in crate::net) fn set_retry_after(
    response: &mut Response<ResponseBody>,
    retry_after: Option<Time>,
) {
    let value = retry_after.and_then(|t| HeaderValue::try_from(format!("{t:.3}")).ok());
    if let Some(value) = value {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Announces that the connection is closed after this answer.
pub(super) fn set_connection_close(response: &mut Response<ResponseBody>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// The answer to a client from the final answer of the engine.
pub(super) fn respond(reply: Reply) -> Response<ResponseBody> {
    match reply {
        Reply::Served(answer) => forward_answer(*answer),
        Reply::Rejected { retry_after } => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            set_retry_after(&mut response, retry_after);
            response
        }
        // Never 429 or 503, which would state that a retry is safe.
        Reply::Failed(Some(Outcome::Error)) => {
            text_response(StatusCode::BAD_GATEWAY, "the server failed\n")
        }
        Reply::Failed(Some(Outcome::TimedOut)) => timed_out(),
        Reply::Failed(Some(Outcome::ConnectionLost)) => {
            text_response(StatusCode::BAD_GATEWAY, "the connection broke\n")
        }
        Reply::Failed(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}

fn forward_answer(answer: Answer) -> Response<ResponseBody> {
    let Answer {
        headers,
        body,
        remainder,
        memory,
    } = answer;
    let mut response = Response::new(ResponseBody::new(body, remainder, memory));
    *response.headers_mut() = headers;
    strip_hop_by_hop(response.headers_mut());
    response
}
