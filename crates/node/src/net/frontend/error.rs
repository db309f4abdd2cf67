//! Why a client's request is rejected before it is sent to a server. The text of the error is the body of the answer.

use super::text_response::error_response;
use crate::net::answer::ResponseBody;
use crate::net::shared::ClaimError;
use hyper::{Response, StatusCode};
use reelfall_balancer::interface::Time;
use reelfall_routing::target;
use thiserror::Error;

/// Why a request can't be translated for the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(in crate::net) enum RequestError {
    #[error("unknown class")]
    UnknownClass,
    #[error("the class wants another method")]
    MethodMismatch,
    #[error("a GET with a body")]
    GetWithBody,
    #[error("no Idempotency-Key")]
    MissingIdempotencyKey,
    #[error("no path")]
    MissingPath,
    #[error("no X-Correlation-Id")]
    MissingCorrelationId,
    #[error("more than one X-Correlation-Id")]
    RepeatedCorrelationId,
    #[error("a request with this id is open")]
    CorrelationIdInUse,
    #[error("too many unsafe requests")]
    TooManyUnsafeRequests,
    #[error("X-Time-Left is no time")]
    InvalidTimeLeft,
    #[error("the client has left")]
    ClientLeft,
}

impl RequestError {
    /// The answer to the client.
    pub(super) fn response(self) -> Response<ResponseBody> {
        error_response(self.status(), &self)
    }

    fn status(self) -> StatusCode {
        match self {
            RequestError::MethodMismatch => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::CorrelationIdInUse => StatusCode::CONFLICT,
            RequestError::TooManyUnsafeRequests => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<ClaimError> for RequestError {
    fn from(error: ClaimError) -> Self {
        match error {
            ClaimError::InUse => RequestError::CorrelationIdInUse,
            ClaimError::Full => RequestError::TooManyUnsafeRequests,
        }
    }
}

/// Why the body of a request can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(in crate::net) enum BodyError {
    #[error("half a body")]
    Truncated,
    #[error("too large a body")]
    TooLarge,
    #[error("no room")]
    OutOfMemory,
}

impl BodyError {
    /// The answer to the client.
    pub(in crate::net) fn response(self) -> Response<ResponseBody> {
        error_response(self.status(), &self)
    }

    fn status(self) -> StatusCode {
        match self {
            BodyError::Truncated => StatusCode::BAD_REQUEST,
            BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Why a request is not admitted to a service.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub(super) enum AdmissionError {
    #[error(transparent)]
    InvalidTarget(#[from] target::TargetError),
    #[error("no such route")]
    NoRoute,
    #[error("draining")]
    Draining { max_retry_after: Time },
    #[error("over the rate of this service")]
    RateLimited {
        next_slot_in: Time,
        max_retry_after: Time,
    },
    #[error("this service has all the requests that it may hold")]
    AtRequestLimit { max_retry_after: Time },
}

/// When a rejected client may retry.
#[derive(Clone, Copy)]
pub(super) struct RetryAdvice {
    /// The earliest useful time, in seconds from now, to which jitter is added.
    pub(super) delay: Time,
    /// Upper bound of the delay with jitter, in seconds; 0 for no advice.
    pub(super) max_delay: Time,
}

impl AdmissionError {
    /// The status of the answer. 429 and 503 mean that the request was not run and may be retried.
    pub(super) fn status(self) -> StatusCode {
        match self {
            AdmissionError::InvalidTarget(_) => StatusCode::BAD_REQUEST,
            AdmissionError::NoRoute => StatusCode::NOT_FOUND,
            AdmissionError::RateLimited { .. } => StatusCode::TOO_MANY_REQUESTS,
            AdmissionError::Draining { .. } | AdmissionError::AtRequestLimit { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// When to retry; `None` if a retry can't help.
    pub(super) fn retry_advice(self) -> Option<RetryAdvice> {
        let (delay, max_delay) = match self {
            AdmissionError::InvalidTarget(_) | AdmissionError::NoRoute => return None,
            AdmissionError::Draining { max_retry_after } => (max_retry_after, max_retry_after),
            AdmissionError::RateLimited {
                next_slot_in,
                max_retry_after,
            } => (next_slot_in, max_retry_after),
            AdmissionError::AtRequestLimit { max_retry_after } => {
                (max_retry_after / 2.0, max_retry_after)
            }
        };
        Some(RetryAdvice { delay, max_delay })
    }
}
