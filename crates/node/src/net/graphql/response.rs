//! Answers to GraphQL clients.

use crate::net::answer::{Answer, Reply, ResponseBody, ValidatedAnswer};
use crate::net::frontend::{set_retry_after, RequestError};
use crate::net::shared::MemoryPermit;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use reelfall_balancer::interface::{Outcome, Time};
use reelfall_graphql::answer;
use reelfall_graphql::batch::EntryResult;
use reelfall_graphql::media::{self, Media};
use reelfall_graphql::{GraphQlError, GraphQlErrorKind};
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};

pub(super) type HttpResponse = Response<ResponseBody>;

/// An answer of JSON text, for which `memory` is reserved.
pub(super) fn json_response(
    status: StatusCode,
    media: Media,
    body: impl Into<Bytes>,
    memory: Vec<MemoryPermit>,
) -> HttpResponse {
    let mut response = Response::new(ResponseBody::complete(body.into(), memory));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(media.content_type()),
    );
    response
}

/// The answer to a request that can't be run.
pub(super) fn error_response(media: Media, error: &GraphQlError) -> HttpResponse {
    let status = StatusCode::from_u16(media::status(media, error.kind))
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(
        status,
        media,
        answer::error_response(error).to_string(),
        Vec::new(),
    );
    if error.kind == GraphQlErrorKind::Method {
        set_allowed_methods(&mut response, "POST");
    }
    response
}

/// The answer to a request with a method other than GET and POST.
pub(super) fn method_not_allowed(media: Media) -> HttpResponse {
    let error = GraphQlError::new(
        GraphQlErrorKind::Method,
        "GraphQL is served by GET and POST",
    );
    let mut response = error_response(media, &error);
    set_allowed_methods(&mut response, "GET, POST");
    response
}

fn set_allowed_methods(response: &mut HttpResponse, methods: &'static str) {
    response
        .headers_mut()
        .insert(header::ALLOW, HeaderValue::from_static(methods));
}

/// The GraphQL error that reports a rejected request.
pub(super) fn to_graphql_error(error: RequestError) -> GraphQlError {
    GraphQlError::new(GraphQlErrorKind::Request, error.to_string())
}

/// The answer to an operation that was not submitted.
pub(super) fn request_error_response(media: Media, error: RequestError) -> HttpResponse {
    let mut response = error_response(media, &to_graphql_error(error));
    match error {
        RequestError::CorrelationIdInUse => *response.status_mut() = StatusCode::CONFLICT,
        RequestError::TooManyUnsafeRequests => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        _ => {}
    }
    response
}

/// The answer to a single operation from the final answer of the engine.
pub(super) fn operation_response(reply: Reply, media: Media) -> HttpResponse {
    match reply {
        Reply::Served(answer) => served_response(*answer, media),
        Reply::Rejected { retry_after } => {
            let result = EntryResult::Rejected(retry_after);
            let mut response = entry_response(StatusCode::SERVICE_UNAVAILABLE, media, &result);
            set_retry_after(&mut response, retry_after);
            response
        }
        Reply::Failed(Some(Outcome::TimedOut)) => {
            entry_response(StatusCode::GATEWAY_TIMEOUT, media, &EntryResult::Failed)
        }
        Reply::Failed(_) => entry_response(StatusCode::BAD_GATEWAY, media, &EntryResult::Failed),
    }
}

fn served_response(answer: Answer, media: Media) -> HttpResponse {
    let ValidatedAnswer { body, memory } = answer.into_validated();
    // An answer without data means that the request was not run; the newer media type states that in the status.
    let has_data =
        serde_json::from_slice::<DataPresence>(&body).is_ok_and(|answer| answer.data.is_some());
    let status = if media == Media::Response && !has_data {
        StatusCode::BAD_REQUEST
    } else {
        StatusCode::OK
    };
    json_response(status, media, body, memory)
}

fn entry_response(status: StatusCode, media: Media, result: &EntryResult<()>) -> HttpResponse {
    let text = answer::entry_response(result)
        .unwrap_or_default()
        .to_string();
    json_response(status, media, text, Vec::new())
}

/// The delay to advise before a retry, in seconds; `None` if the maximum is 0.
pub(super) fn retry_advice(max_retry_after: Time) -> Option<Time> {
    (max_retry_after > 0.0).then_some(max_retry_after)
}

/// Whether an answer has a `data` field, even if it is null.
#[derive(Deserialize)]
struct DataPresence {
    #[serde(default, deserialize_with = "present")]
    data: Option<IgnoredAny>,
}

fn present<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<IgnoredAny>, D::Error> {
    Deserialize::deserialize(deserializer).map(Some)
}
