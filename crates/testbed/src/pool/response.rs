//! Builds the responses of a server. Called by `respond`.

use super::behavior::Corruption;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::{Response, StatusCode};

/// Response header that marks a request as rejected before any processing.
const UNPROCESSED: &str = "x-unprocessed";
const NOT_JSON: &str = "<html>oops</html>";
const OTHER_RESPONSE: &str = "{\"data\":{\"somebodyElses\":1}}";

/// Makes hyper close the connection without a complete response.
#[derive(Debug, thiserror::Error)]
#[error("the server closed the connection")]
pub(super) struct ConnectionClosed;

pub(super) type ResponseBody = BoxBody<Bytes, ConnectionClosed>;

/// A response with the whole body.
pub(super) fn full(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

/// The response to a request with an injected error.
pub(super) fn failed() -> Response<ResponseBody> {
    full(StatusCode::INTERNAL_SERVER_ERROR, "failed\n")
}

/// The response to a request that the server rejects unprocessed.
pub(super) fn shed() -> Response<ResponseBody> {
    let mut response = full(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    response
        .headers_mut()
        .insert(UNPROCESSED, HeaderValue::from_static("1"));
    response
}

/// A response that states the full content length, but breaks off after half of the body.
pub(super) fn truncated(status: StatusCode, body: &str) -> Response<ResponseBody> {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    let frames = futures_util::stream::iter([Ok(Frame::data(half)), Err(ConnectionClosed)]);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_LENGTH, body.len().into());
    response
}

/// A complete response with a corrupt body.
pub(super) fn corrupt(body: &str, corruption: Corruption) -> Response<ResponseBody> {
    let corrupt = match corruption {
        Corruption::Truncated => body.chars().take(body.chars().count() / 2).collect(),
        Corruption::WrongContentType => NOT_JSON.to_owned(),
        Corruption::OtherResponse => OTHER_RESPONSE.to_owned(),
    };
    full(StatusCode::OK, corrupt)
}
