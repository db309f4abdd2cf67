//! Answers to clients: those of servers, and those of the node itself.

use super::translate::strip_hop_by_hop;
use crate::net::answer::{Answer, Reply, ResponseBody};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use reelfall_balancer::interface::Outcome;

pub(super) fn with_reason(
    status: StatusCode,
    why: &dyn std::fmt::Display,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(format!("{why}\n")));
    *response.status_mut() = status;
    response
}

pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from(text));
    *response.status_mut() = status;
    response
}

pub(super) fn respond(reply: Reply) -> Response<ResponseBody> {
    match reply {
        Reply::Served(answer) => {
            let Answer {
                headers,
                body,
                rest,
                ..
            } = *answer;
            let mut response = Response::new(ResponseBody::new(body, rest));
            *response.headers_mut() = headers;
            strip_hop_by_hop(response.headers_mut());
            response
        }
        Reply::Rejected { retry_after } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            let after = retry_after.and_then(|t| HeaderValue::try_from(format!("{t:.3}")).ok());
            if let Some(after) = after {
                response.headers_mut().insert(header::RETRY_AFTER, after);
            }
            response
        }
        // Never 429 or 503: those would promise that a retry is harmless.
        Reply::Failed(Some(Outcome::Error)) => {
            plain(StatusCode::BAD_GATEWAY, "the server failed\n")
        }
        Reply::Failed(Some(Outcome::TimedOut)) => {
            plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n")
        }
        Reply::Failed(Some(Outcome::ConnectionLost)) => {
            plain(StatusCode::BAD_GATEWAY, "the connection broke\n")
        }
        Reply::Failed(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n"),
    }
}
