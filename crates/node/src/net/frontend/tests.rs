//! The status and text with which clients' requests are rejected.

use super::error::{AdmissionError, BodyError, RequestError};
use super::text_response::error_response;
use crate::net::answer::ResponseBody;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use reelfall_routing::target;

/// Checks the status and the exact bytes of an answer.
async fn assert_answer(response: Response<ResponseBody>, status: StatusCode, text: &str) {
    assert_eq!(response.status(), status, "{text:?}");
    let body = response.into_body().collect().await.expect("a body");
    assert_eq!(body.to_bytes(), text.as_bytes());
}

#[tokio::test]
async fn untranslatable_requests_are_answered_with_the_error_text() {
    let bad = StatusCode::BAD_REQUEST;
    let answers = [
        (RequestError::UnknownClass, bad, "unknown class\n"),
        (
            RequestError::MethodMismatch,
            StatusCode::METHOD_NOT_ALLOWED,
            "the class wants another method\n",
        ),
        (RequestError::GetWithBody, bad, "a GET with a body\n"),
        (
            RequestError::MissingIdempotencyKey,
            bad,
            "no Idempotency-Key\n",
        ),
        (RequestError::MissingPath, bad, "no path\n"),
        (
            RequestError::MissingCorrelationId,
            bad,
            "no X-Correlation-Id\n",
        ),
        (
            RequestError::RepeatedCorrelationId,
            bad,
            "more than one X-Correlation-Id\n",
        ),
        (
            RequestError::CorrelationIdInUse,
            StatusCode::CONFLICT,
            "a request with this id is open\n",
        ),
        (
            RequestError::InvalidTimeLeft,
            bad,
            "X-Time-Left is no time\n",
        ),
        (RequestError::ClientLeft, bad, "the client has left\n"),
    ];
    for (error, status, text) in answers {
        assert_answer(error.response(), status, text).await;
    }
}

#[tokio::test]
async fn unusable_bodies_are_answered_with_the_error_text() {
    let answers = [
        (
            BodyError::Truncated,
            StatusCode::BAD_REQUEST,
            "half a body\n",
        ),
        (
            BodyError::TooLarge,
            StatusCode::PAYLOAD_TOO_LARGE,
            "too large a body\n",
        ),
        (
            BodyError::OutOfMemory,
            StatusCode::SERVICE_UNAVAILABLE,
            "no room\n",
        ),
    ];
    for (error, status, text) in answers {
        assert_answer(error.response(), status, text).await;
    }
}

#[tokio::test]
async fn rejected_requests_are_answered_with_the_error_text() {
    let max_retry_after = 1.0;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let answers = [
        (
            AdmissionError::InvalidTarget(target::TargetError::MissingHost),
            StatusCode::BAD_REQUEST,
            "no Host\n",
        ),
        (
            AdmissionError::NoRoute,
            StatusCode::NOT_FOUND,
            "no such route\n",
        ),
        (
            AdmissionError::Draining { max_retry_after },
            unavailable,
            "draining\n",
        ),
        (
            AdmissionError::RateLimited {
                next_slot_in: 0.5,
                max_retry_after,
            },
            StatusCode::TOO_MANY_REQUESTS,
            "over the rate of this service\n",
        ),
        (
            AdmissionError::AtRequestLimit { max_retry_after },
            unavailable,
            "this service has all the requests that it may hold\n",
        ),
    ];
    for (error, status, text) in answers {
        assert_answer(error_response(error.status(), &error), status, text).await;
    }
}
