//! The responses of a server. Called by `respond`.

use super::behavior::Corruption;
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::{Response, StatusCode};

/// The header of a request that was shed before any processing.
const UNPROCESSED: &str = "x-unprocessed";
const NOT_JSON: &str = "<html>oops</html>";
const OTHER_RESPONSE: &str = "{\"data\":{\"somebodyElses\":1}}";

/// Closes the connection without a complete response.
#[derive(Debug, thiserror::Error)]
#[error("the server died")]
pub(super) struct ConnectionClosed;

pub(super) type ResponseBody = BoxBody<Bytes, ConnectionClosed>;

/// A complete response.
pub(super) fn full(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = status;
    response
}

/// The response of a server that has failed.
pub(super) fn failed() -> Response<ResponseBody> {
    full(StatusCode::INTERNAL_SERVER_ERROR, "failed\n")
}

/// The response of a server that sheds load.
pub(super) fn shed() -> Response<ResponseBody> {
    let mut response = full(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    response
        .headers_mut()
        .insert(UNPROCESSED, HeaderValue::from_static("1"));
    response
}

/// A response with the full content length, of which half is sent.
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
